#include "Transport/IngressAdmission.h"

#include "TestSeed.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <numeric>

namespace marigold::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Link of 10 Mbit/s.
constexpr double LinkRate = 10e6 / 8;

struct IngressAdmissionFixture {
  BodyDeadlines dueIn(Duration Time) const {
    return {Now_ + Time, Now_ + 2 * Time};
  }

  std::size_t granted() {
    std::size_t Total = 0;
    for (const auto &Next : Admission_.grant(Now_)) {
      Granted_[Next.Body_] += Next.Bytes_;
      Total += Next.Bytes_;
    }
    return Total;
  }

  TimePoint Now_{seconds(1000)};
  IngressAdmission Admission_{LinkRate};
  std::map<IngressAdmission::BodyNumber, std::size_t> Granted_;
};

} // namespace

// Guards against a receiver's link that holds more than a short time of bodies,
// and against a sender whose body ends short of credit.
TEST_CASE_FIXTURE(IngressAdmissionFixture,
                  "bodies of many senders are granted a share of the link") {
  constexpr int Senders = 72;
  constexpr std::size_t Size = 60'000;
  constexpr std::size_t Total = Senders * Size;
  for (int Sender = 0; Sender < Senders; ++Sender)
    REQUIRE(Admission_.add(Size, dueIn(seconds(10)), Now_));
  CHECK(granted() <= static_cast<std::size_t>(LinkRate / 10));
  CHECK(granted() == 0);
  std::size_t Arrived = 0;
  while (Arrived < Total) {
    REQUIRE_FALSE(Granted_.empty());
    auto [Body, Bytes] = *Granted_.begin();
    Granted_.erase(Granted_.begin());
    Arrived += Bytes;
    Now_ += milliseconds(1);
    Admission_.onReceived(Body, Bytes, Now_);
    granted();
    CHECK(Admission_.outstanding() <= static_cast<std::size_t>(LinkRate / 10));
  }
  CHECK(Arrived == Total);
  CHECK(Admission_.outstanding() == 0);
}

// Guards against a large body that is not urgent ahead of an urgent one that
// came later.
TEST_CASE_FIXTURE(IngressAdmissionFixture, "earliest due body is first") {
  for (int Body = 0; Body < 10; ++Body)
    REQUIRE(Admission_.add(1'000'000, dueIn(seconds(60)), Now_));
  granted();
  auto Urgent = Admission_.add(20'000, dueIn(milliseconds(500)), Now_);
  REQUIRE(Urgent);
  auto [First, Bytes] = *Granted_.begin();
  Admission_.onReceived(First, Bytes, Now_);
  granted();
  CHECK(Granted_[*Urgent] == 20'000);
}

// Guards against a body that takes link time although it arrives too late.
TEST_CASE_FIXTURE(IngressAdmissionFixture,
                  "body that cannot arrive in time is refused at once") {
  // 800 ms of the link alone.
  CHECK_FALSE(Admission_.add(1'000'000, dueIn(milliseconds(300)), Now_));
  REQUIRE(Admission_.add(1'000'000, dueIn(milliseconds(700)), Now_));
  // Another 400 ms that are due earlier; the first body still arrives in time.
  CHECK(Admission_.add(500'000, dueIn(milliseconds(450)), Now_));
  // This one would arrive in time and make the first one late.
  CHECK_FALSE(Admission_.add(500'000, dueIn(milliseconds(600)), Now_));
  CHECK(Admission_.add(500'000, dueIn(seconds(2)), Now_));
}

// Guards against a body that delays others although its caller has left.
TEST_CASE_FIXTURE(IngressAdmissionFixture, "body past its deadline is last") {
  auto Late =
      Admission_.add(100'000, {Now_ + seconds(1), Now_ + seconds(1)}, Now_);
  REQUIRE(Late);
  Now_ += seconds(1);
  for (int Body = 0; Body < 10; ++Body)
    REQUIRE(Admission_.add(20'000, dueIn(seconds(5)), Now_));
  CHECK(granted() > 0);
  CHECK_FALSE(Granted_.contains(*Late));
  Admission_.remove(*Late);
}

// Guards against senders with slow links, or in a stopped host, that hold up
// the bodies of all others.
TEST_CASE_FIXTURE(IngressAdmissionFixture,
                  "senders without progress do not stop the others") {
  std::size_t Target = 0;
  for (int Sender = 0; Sender < 40; ++Sender)
    Admission_.addAlways(60'000, dueIn(seconds(60)), Now_);
  Target = granted();
  CHECK(Target > 0);
  Now_ += milliseconds(100);
  CHECK(granted() == 0);
  auto Next = Admission_.nextGrant(Now_);
  REQUIRE(Next);
  CHECK(*Next - Now_ == milliseconds(100));
  Now_ = *Next;
  CHECK(granted() == Target);
  // What slow senders may still send is bounded too.
  Now_ += milliseconds(200);
  CHECK(granted() > 0);
  CHECK(Admission_.outstanding() <= Admission_.limit());
  CHECK(Admission_.limit() <= static_cast<std::size_t>(LinkRate / 4));
  Now_ += milliseconds(200);
  CHECK(granted() == 0);
  // The hosts have stopped.
  Now_ += seconds(1);
  CHECK(granted() == Target);
}

// Guards against calls that are refused because of bodies whose senders have
// stopped.
TEST_CASE_FIXTURE(IngressAdmissionFixture,
                  "body of a stopped sender makes no other one wait") {
  REQUIRE(Admission_.add(1'000'000, dueIn(seconds(10)), Now_));
  granted();
  CHECK_FALSE(Admission_.add(
      100'000, {Now_ + milliseconds(60), Now_ + milliseconds(100)}, Now_));
  Now_ += seconds(1);
  CHECK(Admission_.add(
      100'000, {Now_ + milliseconds(60), Now_ + milliseconds(100)}, Now_));
}

// Guards against a body that waits forever for the credit that its sender did
// not need, because it had begun before it knew that it has to wait.
TEST_CASE_FIXTURE(IngressAdmissionFixture,
                  "bytes sent without credit count as granted") {
  auto Body = Admission_.add(60'000, dueIn(seconds(10)), Now_);
  REQUIRE(Body);
  Admission_.onReceived(*Body, 50'000, Now_);
  CHECK(granted() == 10'000);
  CHECK(Admission_.outstanding() == 10'000);
}

// Guards against a body that is removed with credit left, which would be lost
// for the others.
TEST_CASE_FIXTURE(IngressAdmissionFixture, "credit of a removed body is free") {
  std::vector<IngressAdmission::BodyNumber> Bodies;
  for (int Sender = 0; Sender < 8; ++Sender)
    Bodies.push_back(Admission_.addAlways(60'000, dueIn(seconds(10)), Now_));
  std::size_t Target = granted();
  Admission_.remove(Bodies.front());
  CHECK(granted() > 0);
  CHECK(Admission_.outstanding() <= Target);
}

namespace {

/// Replay of uploads from many hosts to one: each sender has its own link and a
/// time between a grant and its data. The receiver's link carries what arrives
/// in order.
struct UploadReplay {
  struct Upload {
    TimePoint Deadline_{};
    std::size_t Left_ = 0;
  };

  /// Runs for Time with Arrivals uploads per second, and returns the share of
  /// the link that was used. Unless Admits, each accepted body is sent at once.
  double run(Random &Rng, Duration Time, double Arrivals, bool Admits) {
    TimePoint Now{seconds(1000)};
    TimePoint End = Now + Time;
    IngressAdmission Admission(LinkRate);
    std::map<IngressAdmission::BodyNumber, Upload> Uploads;
    struct Flight {
      TimePoint At_{};
      IngressAdmission::BodyNumber Body_ = 0;
      std::size_t Bytes_ = 0;
    };
    std::vector<Flight> Sending;
    std::deque<Flight> Link;
    std::size_t Queued = 0;
    std::size_t Carried = 0;
    double Room = 0;
    constexpr milliseconds Step(1);
    for (; Now < End; Now += Step) {
      if (Rng.chance(Arrivals * 0.001)) {
        std::size_t Size = 60'000;
        Duration Limit = milliseconds(1000 + Rng.below(2000));
        auto Body = Admission.add(Size, {Now + Limit / 2, Now + Limit}, Now);
        if (Body) {
          Uploads[*Body] = {Now + Limit, Size};
          if (!Admits)
            Sending.push_back({Now + milliseconds(5), *Body, Size});
        } else {
          ++Refused_;
        }
      }
      if (Admits)
        for (const auto &Grant : Admission.grant(Now))
          Sending.push_back({Now + milliseconds(5 + Rng.below(30)), Grant.Body_,
                             Grant.Bytes_});
      std::erase_if(Sending, [&](const Flight &Next) {
        if (Next.At_ > Now)
          return false;
        Link.push_back(Next);
        Queued += Next.Bytes_;
        return true;
      });
      LongestQueue_ = std::max(LongestQueue_, Queued);
      Room = std::min(Room + LinkRate * 0.001, LinkRate * 0.002);
      while (!Link.empty() && Room >= 1) {
        Flight &First = Link.front();
        auto Bytes = std::min(First.Bytes_, static_cast<std::size_t>(Room));
        Room -= static_cast<double>(Bytes);
        Carried += Bytes;
        Queued -= Bytes;
        First.Bytes_ -= Bytes;
        Admission.onReceived(First.Body_, Bytes, Now);
        auto Position = Uploads.find(First.Body_);
        if (Position != Uploads.end() &&
            (Position->second.Left_ -= Bytes) == 0) {
          ++(Now <= Position->second.Deadline_ ? InTime_ : Late_);
          Admission.remove(First.Body_);
          Uploads.erase(Position);
        }
        if (First.Bytes_ == 0)
          Link.pop_front();
      }
      std::erase_if(Uploads, [&](const auto &Next) {
        if (Next.second.Deadline_ > Now)
          return false;
        Admission.remove(Next.first);
        ++Late_;
        return true;
      });
    }
    return static_cast<double>(Carried) /
           (LinkRate * std::chrono::duration<double>(Time).count());
  }

  std::size_t LongestQueue_ = 0;
  int InTime_ = 0;
  int Late_ = 0;
  int Refused_ = 0;
};

} // namespace

// Guards against a link that is left idle for want of credit, and against one
// whose queue delays the small messages behind the bodies: more uploads than
// the link carries, from hosts that answer a grant within 35 ms.
TEST_CASE(
    "replay: uploads beyond the link keep it in use and its queue short") {
  forEachSeed(5, [](Random &Rng) {
    UploadReplay Replay;
    double Used = Replay.run(Rng, seconds(30), 40, true);
    CHECK(Used >= 0.9);
    CHECK(Replay.LongestQueue_ <= static_cast<std::size_t>(LinkRate / 10));
    // Of 1,200 uploads the link carries 625.
    CHECK(Replay.InTime_ >= 500);
    CHECK(Replay.Late_ <= Replay.InTime_ / 20);
    // The same load without credit fills the queue.
    UploadReplay Unbounded;
    Unbounded.run(Rng, seconds(30), 40, false);
    CHECK(Unbounded.LongestQueue_ > static_cast<std::size_t>(LinkRate / 4));
  });
}

} // namespace marigold::transport
