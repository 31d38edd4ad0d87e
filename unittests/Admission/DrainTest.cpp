#include "Admission/DrainControl.h"
#include "Admission/TargetMonitor.h"

#include "../TestSeed.h"

#include <set>

namespace marigold::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DrainFixture {
  TimePoint Now_{seconds(1000)};
  DrainControl Drain_;
};

struct TargetMonitorFixture {
  TimePoint Now_{seconds(1000)};
  Random Rng_{1};
  TargetMonitorSettings Settings_;
  TargetMonitor Monitor_{Settings_, Now_};
};

} // namespace

TEST_CASE_FIXTURE(DrainFixture, "drain waits for requests in progress") {
  CHECK(Drain_.update(3, Now_) == DrainState::Serving);
  CHECK(Drain_.begin(Now_));
  CHECK_FALSE(Drain_.begin(Now_));
  CHECK(Drain_.update(1, Now_ + seconds(59)) == DrainState::Draining);
  CHECK(Drain_.update(0, Now_ + seconds(59)) == DrainState::Drained);
  CHECK(Drain_.unfinished() == 0);
}

// Guards against a node that exits at once, so that callers see failed
// connections instead of refusals.
TEST_CASE_FIXTURE(DrainFixture, "drain of an idle target lingers") {
  Drain_.begin(Now_);
  CHECK(Drain_.update(0, Now_) == DrainState::Draining);
  CHECK(Drain_.nextUpdate(Now_) == Now_ + seconds(1));
  CHECK(Drain_.update(0, Now_ + seconds(1)) == DrainState::Drained);
}

TEST_CASE_FIXTURE(DrainFixture,
                  "drain ends at its limit and says what it cut") {
  Drain_.begin(Now_);
  CHECK(Drain_.nextUpdate(Now_ + seconds(2)) == Now_ + seconds(60));
  CHECK(Drain_.update(2, Now_ + seconds(60)) == DrainState::Drained);
  CHECK(Drain_.unfinished() == 2);
}

TEST_CASE_FIXTURE(TargetMonitorFixture,
                  "one probe at a time finds the target") {
  CHECK_FALSE(Monitor_.isUp());
  CHECK(Monitor_.startProbe(Now_));
  CHECK_FALSE(Monitor_.startProbe(Now_));
  CHECK(Monitor_.onConnected());
  CHECK(Monitor_.isUp());
  CHECK_FALSE(Monitor_.onConnected());
  CHECK(Monitor_.nextProbe() == TimePoint::max());
}

// Guards against a backoff that grows with every connection that fails when the
// target's process crashes.
TEST_CASE_FIXTURE(TargetMonitorFixture, "lost target is reported once") {
  Monitor_.onConnected();
  CHECK(Monitor_.onConnectFailed(Now_, Rng_));
  TimePoint Next = Monitor_.nextProbe();
  CHECK_FALSE(Monitor_.onConnectFailed(Now_, Rng_));
  CHECK(Monitor_.nextProbe() == Next);
  CHECK(Next <= Now_ + Settings_.FirstDelay_);
}

TEST_CASE_FIXTURE(TargetMonitorFixture, "probes are jittered and bounded") {
  std::set<Duration> Delays;
  for (int Probe = 0; Probe < 20; ++Probe) {
    Now_ = Monitor_.nextProbe();
    REQUIRE(Monitor_.startProbe(Now_));
    Monitor_.onConnectFailed(Now_, Rng_);
    Delays.insert(Monitor_.nextProbe() - Now_);
  }
  CHECK(Delays.size() > 15);
  CHECK(*Delays.rbegin() <= Settings_.MaximumDelay_);
}

} // namespace marigold::admission
