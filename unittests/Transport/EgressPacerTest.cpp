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
  /// Link of 9 Mbit/s.
  EgressBucket Bucket_{9e6 / 8, Now_};
};

} // namespace

// Guards against large bodies filling the send queue of the link.
TEST_CASE_FIXTURE(BucketFixture,
                  "large bodies stay below the rate of the link") {
  std::size_t Sent = 0;
  for (int Step = 0; Step < 10'000; ++Step) {
    Now_ += milliseconds(1);
    while (Bucket_.allow(16'384, Now_))
      Sent += 16'384;
  }
  // Capacity of the link in ten seconds plus the initial burst.
  CHECK(Sent <= 11'250'000);
  CHECK(Sent >= 11'250'000 * 9 / 10);
}

// Guards against delaying an urgent message and against not charging it.
TEST_CASE_FIXTURE(BucketFixture,
                  "small messages are sent at once and charged") {
  Bucket_.charge(1'000'000, Now_);
  CHECK_FALSE(Bucket_.allow(16'384, Now_));
  Duration Wait = Bucket_.wait(Now_);
  CHECK(Wait > milliseconds(800));
  CHECK_FALSE(Bucket_.allow(16'384, Now_ + Wait / 2));
  CHECK(Bucket_.allow(16'384, Now_ + Wait));
}

TEST_CASE_FIXTURE(BucketFixture,
                  "transfer time includes bytes charged earlier") {
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

TEST_CASE("egress queue returns the earliest body, on a tie the first") {
  EgressQueue Queue;
  TimePoint Now{seconds(1000)};
  std::string Order;
  const std::array<int, 3> Owner{};
  CHECK_FALSE(Queue.popEarliest());
  Queue.push(&Owner[0], Now + seconds(2), [&] { Order += 'a'; });
  Queue.push(&Owner[1], Now + seconds(1), [&] { Order += 'b'; });
  Queue.push(&Owner[2], Now + seconds(1), [&] { Order += 'c'; });
  // The connection now has a body that is due earlier.
  Queue.push(&Owner[0], Now, [&] { Order += 'd'; });
  while (auto Resume = Queue.popEarliest())
    Resume();
  CHECK(Order == "dbc");
  CHECK(Queue.empty());
}

namespace {

/// Response body that waits to be sent.
struct PendingBody {
  BodyDeadlines Deadlines_;
  std::size_t Remaining_ = 0;
};

/// Simulates responses on a link of 18.5 Mbit/s and counts those that meet
/// their objective. PickNext selects the body that sends the next chunk.
struct LinkReplay {
  static constexpr std::size_t ChunkSize_ = 16'384;

  template <class Pick> std::size_t countOnTime(Pick PickNext) {
    TimePoint Now{seconds(1000)};
    EgressBucket Bucket(Rate_, Now);
    std::vector<PendingBody> Waiting;
    std::size_t Met = 0;
    for (int Step = 0; Step < 60'000; ++Step, Now += milliseconds(1)) {
      // One response per 125 ms, 280,000 bytes on average, uses 97 % of the
      // link; every fifth is four times as large as the others.
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

// Load pattern: responses almost fill the link. Guards against sharing the link
// evenly until every response is late.
TEST_CASE("more responses are on time by due time than by round-robin") {
  LinkReplay Replay;
  std::size_t Turn = 0;
  std::size_t ByRoundRobin =
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
  MESSAGE("on time by round-robin ", ByRoundRobin, ", by due time ", ByDueTime);
  CHECK(ByDueTime > ByRoundRobin);
}

} // namespace marigold::transport
