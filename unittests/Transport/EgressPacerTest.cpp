#include "Transport/EgressPacer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace marigold::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct BucketFixture {
  TimePoint Now_{seconds(1000)};
  /// A link of 9 Mbit/s.
  EgressBucket Bucket_{9e6 / 8, Now_};
};

} // namespace

// Guards against a link whose queue fills with large bodies.
TEST_CASE_FIXTURE(BucketFixture,
                  "large bodies stay below the rate of the link") {
  std::size_t Sent = 0;
  for (int Step = 0; Step < 10'000; ++Step) {
    Now_ += milliseconds(1);
    while (Bucket_.allow(16'384, Now_))
      Sent += 16'384;
  }
  // Ten seconds of the link, and the burst at the start.
  CHECK(Sent <= 11'250'000);
  CHECK(Sent >= 11'250'000 * 9 / 10);
}

// Guards against an urgent message that waits, and against a rate that does not
// count it.
TEST_CASE_FIXTURE(BucketFixture, "small messages pass and are paid for later") {
  Bucket_.charge(1'000'000, Now_);
  CHECK_FALSE(Bucket_.allow(16'384, Now_));
  Duration Wait = Bucket_.wait(Now_);
  CHECK(Wait > milliseconds(800));
  CHECK_FALSE(Bucket_.allow(16'384, Now_ + Wait / 2));
  CHECK(Bucket_.allow(16'384, Now_ + Wait));
}

TEST_CASE_FIXTURE(BucketFixture,
                  "time of a transfer includes what is before it") {
  Duration Alone = Bucket_.transferTime(90'000, Now_);
  CHECK(Alone > milliseconds(75));
  CHECK(Alone < milliseconds(100));
  Bucket_.charge(122'768, Now_);
  CHECK(Bucket_.transferTime(90'000, Now_) > Alone + milliseconds(70));
  CHECK(Bucket_.unloadedTransferTime(90'000) == Alone);
}

TEST_CASE("large body is due by its objective while it can meet it") {
  TimePoint Now{seconds(1000)};
  BodyDeadlines Deadlines{Now + milliseconds(300), Now + seconds(3)};
  CHECK(dueTime(Deadlines, milliseconds(300), Now) == Deadlines.Objective_);
  CHECK(dueTime(Deadlines, milliseconds(301), Now) == Deadlines.Deadline_);
  CHECK(dueTime({}, milliseconds(1), Now) == TimePoint::max());
}

TEST_CASE("turns go to the earliest body, of equal ones to the first") {
  EgressQueue Queue;
  TimePoint Now{seconds(1000)};
  std::string Order;
  const std::array<int, 3> Owner{};
  CHECK_FALSE(Queue.popEarliest());
  Queue.push(&Owner[0], Now + seconds(2), [&] { Order += 'a'; });
  Queue.push(&Owner[1], Now + seconds(1), [&] { Order += 'b'; });
  Queue.push(&Owner[2], Now + seconds(1), [&] { Order += 'c'; });
  // A connection got a body that is due earlier.
  Queue.push(&Owner[0], Now, [&] { Order += 'd'; });
  while (auto Resume = Queue.popEarliest())
    Resume();
  CHECK(Order == "dbc");
  CHECK(Queue.empty());
}

namespace {

/// An answer on its way to the link.
struct PendingBody {
  BodyDeadlines Deadlines_;
  std::size_t Remaining_ = 0;
};

/// Replays documents on a link of 18.5 Mbit/s and returns how many met their
/// objective. Next picks the one that sends a piece.
struct LinkReplay {
  static constexpr std::size_t ChunkSize_ = 16'384;

  template <class Pick> std::size_t countOnTime(Pick PickNext) {
    TimePoint Now{seconds(1000)};
    EgressBucket Bucket(Rate_, Now);
    std::vector<PendingBody> Waiting;
    std::size_t Met = 0;
    for (int Step = 0; Step < 60'000; ++Step, Now += milliseconds(1)) {
      // A document of 280,000 bytes each 125 ms takes 97 % of the link; each
      // fifth is four times as large as the others.
      if (Step % 125 == 0) {
        bool Large = Step / 125 % 5 == 4;
        Waiting.push_back({{Now + milliseconds(600), Now + seconds(4)},
                           Large ? 700'000U : 175'000U});
      }
      while (!Waiting.empty() && Bucket.allow(ChunkSize_, Now)) {
        std::size_t Index = PickNext(Waiting, Now);
        PendingBody &Sent = Waiting[Index];
        Sent.Remaining_ -= std::min(Sent.Remaining_, ChunkSize_);
        if (Sent.Remaining_ != 0)
          continue;
        Met += Now <= Sent.Deadlines_.Objective_ ? 1 : 0;
        Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Index));
      }
    }
    return Met;
  }

  static constexpr double Rate_ = 18.5e6 / 8;
};

} // namespace

// Replays documents that fill a link. Guards against answers that share the
// link until each is late.
TEST_CASE("more documents are on time by due time than by turns") {
  LinkReplay Replay;
  std::size_t Turn = 0;
  std::size_t ByTurns =
      Replay.countOnTime([&](const std::vector<PendingBody> &Waiting,
                             TimePoint) { return ++Turn % Waiting.size(); });
  std::size_t ByDueTime = Replay.countOnTime(
      [](const std::vector<PendingBody> &Waiting, TimePoint Now) {
        EgressBucket Alone(LinkReplay::Rate_, Now);
        auto Due = [&](const PendingBody &Value) {
          return dueTime(Value.Deadlines_,
                         Alone.unloadedTransferTime(Value.Remaining_), Now);
        };
        return static_cast<std::size_t>(
            std::ranges::min_element(Waiting, {}, Due) - Waiting.begin());
      });
  MESSAGE("on time by turns ", ByTurns, ", by due time ", ByDueTime);
  CHECK(ByDueTime > ByTurns);
}

} // namespace marigold::transport
