#include "Admission/WorkForecast.h"
#include "Admission/AdmissionControl.h"
#include "Admission/TargetLoadReport.h"

#include "../TestSeed.h"

namespace marigold::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ForecastFixture {
  TimePoint Now_{seconds(1000)};
  WorkForecast Forecast_;

  RunningWork run(int Mean, int Since) const {
    return {milliseconds(Mean), Now_ - milliseconds(Since)};
  }
};

/// Target with one slot that runs two kinds of 10 and 300 ms.
struct KindsFixture {
  TimePoint Now_{seconds(1000)};
  AdmissionControl Control_{{.Slots_ = 1, .Queue_ = 8, .Adaptive_ = false}};
  std::uint64_t Last_ = 0;

  KindsFixture() {
    for (int Run = 0; Run < 64; ++Run)
      for (std::uint32_t Kind : {1, 2})
        learn(Kind, milliseconds(Kind == 1 ? 10 : 300));
  }
  void learn(std::uint32_t Kind, Duration Latency) {
    submit(Kind);
    Now_ += Latency;
    Control_.finish(Last_, {.Latency_ = Latency}, Now_);
  }
  Submission submit(std::uint32_t Kind, Duration MaxWait = {},
                    Duration Objective = seconds(5)) {
    CallTicket Ticket{++Last_, Priority::Normal, Now_ + seconds(5)};
    Ticket.Objective_ = Now_ + Objective;
    Ticket.Kind_ = Kind;
    Ticket.MaxWait_ = MaxWait;
    return Control_.submit(Ticket, Now_);
  }
  Duration expectedWait() const { return Control_.load(Now_).ExpectedWait_; }
};

} // namespace

TEST_CASE_FIXTURE(ForecastFixture, "free slot, no wait") {
  RunningWork Running[]{run(100, 0)};
  CHECK(Forecast_.wait(Running, {}, 2, Now_) == Duration::zero());
}

TEST_CASE_FIXTURE(ForecastFixture, "wait is the least remaining work") {
  RunningWork Running[]{run(300, 100), run(100, 60)};
  CHECK(Forecast_.wait(Running, {}, 2, Now_) == milliseconds(40));
  Duration Before[]{milliseconds(200)};
  CHECK(Forecast_.wait(Running, Before, 2, Now_) == milliseconds(200));
  // With a limit below the running requests the first end frees no slot.
  CHECK(Forecast_.wait(Running, {}, 1, Now_) == milliseconds(200));
}

TEST_CASE_FIXTURE(ForecastFixture, "run beyond its mean keeps a remainder") {
  RunningWork Running[]{run(80, 500)};
  CHECK(Forecast_.wait(Running, {}, 1, Now_) == milliseconds(10));
}

TEST_CASE_FIXTURE(ForecastFixture, "slowdown scales work until it is stale") {
  RunningWork Running[]{run(100, 0)};
  Forecast_.onSlowdown(300, Now_);
  CHECK(Forecast_.wait(Running, {}, 1, Now_) == milliseconds(300));
  CHECK(Forecast_.slowdown(Now_) == 300);
  Now_ += WorkForecast::SlowdownLifetime_;
  CHECK(Forecast_.slowdown(Now_) == 100);
  CHECK(Forecast_.scaled(milliseconds(100), Now_) == milliseconds(100));
}

TEST_CASE_FIXTURE(ForecastFixture, "times learned while slow are not scaled") {
  for (int Sample = 0; Sample < 200; ++Sample) {
    Forecast_.onSlowdown(200, Now_);
    Forecast_.onSample(Now_);
  }
  Duration Expected = Forecast_.scaled(milliseconds(100), Now_);
  CHECK(Expected > milliseconds(99));
  CHECK(Expected < milliseconds(101));
}

TEST_CASE("load of a target with and without a slowdown is parsed") {
  CHECK(parseTargetLoad("1,2,3") == TargetLoadReport{1, 2, 3, 0});
  CHECK(parseTargetLoad("1,2,3,150") == TargetLoadReport{1, 2, 3, 150});
}

TEST_CASE("malformed load of a target is ignored") {
  for (std::string_view Text :
       {"", "1", "1,2", "1,2,", "1,2,3,", "1,2,3,0", "1,2,3,4,5", "1,-2,3",
        "1,2,x", " 1,2,3", "1,2,3,99999", "99999999999999999999,2,3"})
    CHECK_FALSE(parseTargetLoad(Text));
}

TEST_CASE_FIXTURE(KindsFixture, "target without a slowdown, reports no wait") {
  submit(2);
  CHECK(expectedWait() == Duration::zero());
  CHECK(Control_.load(Now_).Slowdown_ == 0);
}

TEST_CASE_FIXTURE(KindsFixture, "wait follows the kind that runs") {
  Control_.onSlowdown(100, Now_);
  submit(1);
  CHECK(expectedWait() < milliseconds(15));
  submit(2);
  CHECK(expectedWait() > milliseconds(250));
}

TEST_CASE_FIXTURE(KindsFixture, "slow moment, request too late is refused") {
  Control_.onSlowdown(100, Now_);
  submit(2);
  CHECK(submit(1, {}, milliseconds(400)).Admission_ == Admission::Queue);
  Control_.onSlowdown(300, Now_);
  CHECK(submit(1, {}, milliseconds(400)).Reason_ == ErrorCode::HopelessWait);
}

TEST_CASE_FIXTURE(KindsFixture, "wait beyond the bound, declined at once") {
  Control_.onSlowdown(100, Now_);
  CHECK(submit(2, milliseconds(50)).Admission_ == Admission::Run);
  Submission Declined = submit(1, milliseconds(50));
  CHECK(Declined.Admission_ == Admission::Refuse);
  CHECK(Declined.Reason_ == ErrorCode::TargetBusy);
  CHECK(Control_.queued() == 0);
  CHECK(submit(1).Admission_ == Admission::Queue);
}

} // namespace marigold::admission
