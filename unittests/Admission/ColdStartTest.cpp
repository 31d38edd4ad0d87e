#include "Admission/AdmissionControl.h"

#include "../TestSeed.h"

#include "Support/Random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace marigold::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ColdStartSettings Limits{seconds(3), 10, 1.5, 4};
/// Starts that Limits allows in any second while the target is cold.
constexpr int Allowed = 15;

/// A limiter of a process that has been running for long, and a target that has
/// just started.
struct ColdTargetFixture {
  TimePoint Now_{seconds(1000)};
  ColdStartLimiter Limiter_;

  ColdTargetFixture() {
    Limiter_.configure(Limits);
    Limiter_.onTargetStarted(Now_);
  }

  /// Starts as many requests as possible at this moment.
  int startAll() {
    int Started = 0;
    for (; Started < 1000 && Limiter_.mayStart(Now_); ++Started)
      Limiter_.onStart(Now_);
    return Started;
  }
};

/// A target that crashes when it gets more requests within a second than it
/// tolerates while it is cold, and comes back cold.
class FragileTarget {
public:
  explicit FragileTarget(TimePoint Begin) : ColdUntil_(Begin + seconds(3)) {}

  void onRequest(TimePoint Now) {
    std::erase_if(Arrivals_,
                  [&](TimePoint At) { return At <= Now - seconds(1); });
    Arrivals_.push_back(Now);
    if (Now < ColdUntil_ && Arrivals_.size() > std::size_t{2} * Limits.Rate_) {
      ++Crashes_;
      Arrivals_.clear();
      ColdUntil_ = Now + seconds(3);
    }
  }

  int crashes() const { return Crashes_; }

private:
  TimePoint ColdUntil_;
  std::vector<TimePoint> Arrivals_;
  int Crashes_ = 0;
};

/// Requests at 70 a second, each of 100 ms, to a target with 10 slots that has
/// just come back.
struct ReturnUnderLoadFixture {
  static constexpr Duration Work_ = milliseconds(100);
  const TimePoint Begin_{seconds(1000)};
  AdmissionControl Control_{{.Slots_ = 10, .Queue_ = 20, .Adaptive_ = false}};
  FragileTarget Target_{Begin_};
  std::map<TimePoint, std::vector<std::uint64_t>> Ends_;
  int StartedInLastSecond_ = 0;

  void start(std::uint64_t Id, TimePoint Now) {
    Target_.onRequest(Now);
    Ends_[Now + Work_].push_back(Id);
    if (Now >= Begin_ + seconds(9))
      ++StartedInLastSecond_;
  }

  void apply(const AdmissionActions &Actions, TimePoint Now) {
    for (std::uint64_t Id : Actions.Start_)
      start(Id, Now);
  }

  void play(const ColdStartSettings &Settings) {
    Control_.coldStarts().configure(Settings);
    Control_.coldStarts().onTargetStarted(Begin_);
    std::uint64_t Id = 0;
    int Crashes = 0;
    for (TimePoint Now = Begin_; Now < Begin_ + seconds(10);
         Now += milliseconds(1)) {
      while (!Ends_.empty() && Ends_.begin()->first <= Now) {
        auto Ended = Ends_.extract(Ends_.begin());
        for (std::uint64_t Number : Ended.mapped())
          apply(Control_.finish(Number, {.Latency_ = Work_}, Now), Now);
      }
      if (Control_.nextColdStart(Now) <= Now || Control_.queued() != 0)
        apply(Control_.expire(Now), Now);
      if ((Now - Begin_) % milliseconds(14) == Duration::zero()) {
        CallTicket Ticket{++Id, Priority::Normal, Now + seconds(1)};
        Ticket.Objective_ = Now + milliseconds(400);
        if (Control_.submit(Ticket, Now).Admission_ == Admission::Run)
          start(Id, Now);
      }
      // The node notices that the process was replaced.
      if (Target_.crashes() != std::exchange(Crashes, Target_.crashes()))
        Control_.coldStarts().onTargetStarted(Now);
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(ColdTargetFixture,
                  "cold target starts the tolerated number in any second") {
  CHECK(startAll() == Allowed);
  CHECK(Limiter_.nextStart(0, Now_) == Now_ + ColdStartLimiter::Window_);
  Now_ += ColdStartLimiter::Window_ - milliseconds(1);
  CHECK(startAll() == 0);
  Now_ += milliseconds(1);
  CHECK(startAll() == Allowed);
}

// Load pattern: a burst that is sent over new connections arrives late, and the
// one that follows over the same connections at once. Both must not fall into
// one second.
TEST_CASE_FIXTURE(ColdTargetFixture,
                  "no second has more arrivals than allowed") {
  Random Rng(testSeed(2));
  std::vector<TimePoint> Arrivals;
  auto MaxLate =
      static_cast<int>(ColdStartLimiter::MaxSendTime_ / milliseconds(1));
  for (TimePoint End = Now_ + milliseconds(2900); Now_ < End;
       Now_ += milliseconds(5))
    for (int Starting = startAll(); Starting > 0; --Starting)
      Arrivals.push_back(Now_ +
                         milliseconds(static_cast<int>(Rng.below(MaxLate))));
  for (TimePoint First : Arrivals)
    CHECK(std::ranges::count_if(Arrivals, [&](TimePoint At) {
            return At >= First && At < First + seconds(1);
          }) <= Allowed);
  CHECK(Arrivals.size() >= 2 * Allowed);
}

// Guards against a window that begins anew at a fixed time, in which twice the
// number could start around its end.
TEST_CASE_FIXTURE(ColdTargetFixture,
                  "no window of a second has more starts than allowed") {
  Random Rng(testSeed(1));
  std::vector<TimePoint> Starts;
  for (TimePoint End = Now_ + milliseconds(2900); Now_ < End;
       Now_ += milliseconds(static_cast<int>(Rng.below(40))))
    for (int Starting = startAll(); Starting > 0; --Starting)
      Starts.push_back(Now_);
  for (TimePoint First : Starts)
    CHECK(std::ranges::count_if(Starts, [&](TimePoint Start) {
            return Start >= First && Start < First + seconds(1);
          }) <= Allowed);
  CHECK(Starts.size() >= std::size_t{2} * Allowed);
}

TEST_CASE_FIXTURE(ColdTargetFixture,
                  "requests that wait follow at the tolerated rate") {
  startAll();
  CHECK(Limiter_.nextStart(Allowed, Now_) ==
        Now_ + 2 * ColdStartLimiter::Window_);
}

// Guards against refusing requests because of a wait that ends with the limit.
TEST_CASE_FIXTURE(ColdTargetFixture,
                  "no request is expected to wait beyond the limit") {
  startAll();
  CHECK(Limiter_.nextStart(std::size_t{100} * Allowed, Now_) ==
        Now_ + seconds(3) +
            ColdStartLimiter::Steps_ * ColdStartLimiter::StepTime_);
}

TEST_CASE_FIXTURE(ColdTargetFixture, "limit doubles in steps when cold ends") {
  Now_ += seconds(3);
  CHECK(startAll() == 2 * Allowed);
  Now_ += ColdStartLimiter::StepTime_;
  CHECK(startAll() == 2 * Allowed);
  Now_ += (ColdStartLimiter::Steps_ - 1) * ColdStartLimiter::StepTime_;
  CHECK(startAll() == 1000);
  CHECK(Limiter_.rate(Now_) == 0);
}

TEST_CASE_FIXTURE(ColdTargetFixture, "health answer overrides the cold time") {
  Limiter_.onHealthAnswer(milliseconds(500), Now_, Now_);
  CHECK(Limiter_.isCold(Now_ + milliseconds(499)));
  CHECK_FALSE(Limiter_.isCold(Now_ + milliseconds(500)));
  Limiter_.onHealthAnswer(seconds(8), Now_, Now_);
  CHECK(Limiter_.isCold(Now_ + seconds(7)));
}

// An answer that was on its way while the process was replaced is one of the
// process before.
TEST_CASE_FIXTURE(ColdTargetFixture,
                  "health answer from before the start is ignored") {
  TimePoint Asked = Now_ - milliseconds(1);
  Limiter_.onHealthAnswer(Duration::zero(), Asked, Now_);
  CHECK(Limiter_.isCold(Now_));
}

// A target may become cold without a start, and the list reports it late.
TEST_CASE_FIXTURE(ColdTargetFixture,
                  "listed cold state counts without a recent health answer") {
  Limiter_.onHealthAnswer(Duration::zero(), Now_, Now_);
  Limiter_.onListedCold(Now_ + seconds(1));
  CHECK_FALSE(Limiter_.isCold(Now_ + seconds(1)));
  Limiter_.onListedCold(Now_ + seconds(10));
  CHECK(Limiter_.isCold(Now_ + seconds(10)));
}

// The process before this one may have started requests in the last second.
TEST_CASE("process that starts beside a cold target uses only the slack") {
  TimePoint Begin{seconds(1000)};
  ColdStartLimiter Limiter(Begin);
  Limiter.onTargetStarted(Begin);
  Limiter.configure(Limits);
  int Started = 0;
  for (; Limiter.mayStart(Begin); ++Started)
    Limiter.onStart(Begin);
  CHECK(Started == 4);
  CHECK(Limiter.nextStart(0, Begin) > Begin);
}

TEST_CASE("service without a rate never limits starts") {
  TimePoint Now{seconds(1000)};
  ColdStartLimiter Limiter;
  Limiter.configure({seconds(3), 0, 1.5, 4});
  Limiter.onTargetStarted(Now);
  Limiter.onListedCold(Now);
  CHECK_FALSE(Limiter.isLimiting(Now));
  CHECK(Limiter.nextStart(100, Now) == Now);
}

// Load pattern: a target comes back cold under the load of a warm one. Without
// the limit it crashes again and again.
TEST_CASE_FIXTURE(ReturnUnderLoadFixture,
                  "target that returns under load does not crash") {
  play(Limits);
  CHECK(Target_.crashes() == 0);
  CHECK(StartedInLastSecond_ >= 65);
}

TEST_CASE_FIXTURE(ReturnUnderLoadFixture,
                  "target that returns without a limit keeps crashing") {
  play({});
  CHECK(Target_.crashes() >= 3);
}

TEST_CASE_FIXTURE(ReturnUnderLoadFixture,
                  "request beyond the starts of a cold target names it") {
  Control_.coldStarts().configure(Limits);
  Control_.coldStarts().onTargetStarted(Begin_);
  Submission Last;
  for (std::uint64_t Id = 1; Id < 60; ++Id) {
    CallTicket Ticket{Id, Priority::Normal, Begin_ + milliseconds(600)};
    Ticket.Objective_ = Begin_ + milliseconds(400);
    Last = Control_.submit(Ticket, Begin_);
    if (Last.Admission_ == Admission::Run)
      Control_.finish(Id, {.Latency_ = Work_}, Begin_);
  }
  CHECK(Last.Admission_ == Admission::Refuse);
  CHECK(Last.Reason_ == ErrorCode::TargetCold);
  CHECK(Control_.load(Begin_).StartRate_ == Allowed);
}

// Guards against a request that waits although slot and start are free: its
// timer was replaced just after the start had become possible.
TEST_CASE_FIXTURE(ReturnUnderLoadFixture,
                  "start that has become possible is due at once") {
  Control_.coldStarts().configure(Limits);
  Control_.coldStarts().onTargetStarted(Begin_);
  std::uint64_t Id = 0;
  while (Control_.queued() == 0) {
    CallTicket Ticket{++Id, Priority::Normal, Begin_ + seconds(60)};
    if (Control_.submit(Ticket, Begin_).Admission_ == Admission::Run)
      Control_.finish(Id, {.Latency_ = milliseconds(1)}, Begin_);
  }
  TimePoint Due = Control_.nextColdStart(Begin_);
  REQUIRE(Due > Begin_);
  Due += milliseconds(5);
  CHECK(Control_.nextColdStart(Due) <= Due);
  CHECK(Control_.expire(Due).Start_.size() == 1);
  CHECK(Control_.nextColdStart(Due) == TimePoint::max());
}

} // namespace marigold::admission
