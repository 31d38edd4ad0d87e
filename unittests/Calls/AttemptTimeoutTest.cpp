#include "Calls/AttemptTimeout.h"
#include "Calls/Retry.h"

#include <doctest/doctest.h>

namespace marigold::calls {
namespace {

using std::chrono::milliseconds;

struct AttemptTimeoutFixture {
  AttemptTiming Timing_{milliseconds(500), milliseconds(1500), true, true};
};

} // namespace

// Guards against a request that waits for a hanging target until no time is
// left to run it on another one.
TEST_CASE_FIXTURE(AttemptTimeoutFixture,
                  "attempt of a repeatable request ends behind the objective") {
  auto Timeout = attemptTimeout(Timing_);
  REQUIRE(Timeout);
  CHECK(*Timeout > milliseconds(500));
  CHECK(*Timeout < milliseconds(1000));
}

// Guards against a second run of a request that is not repeatable.
TEST_CASE_FIXTURE(AttemptTimeoutFixture,
                  "attempt that must not repeat has no limit") {
  Timing_.Repeatable_ = false;
  CHECK_FALSE(attemptTimeout(Timing_));
}

TEST_CASE_FIXTURE(AttemptTimeoutFixture, "last attempt has no limit") {
  Timing_.AnotherAttempt_ = false;
  CHECK_FALSE(attemptTimeout(Timing_));
}

TEST_CASE_FIXTURE(AttemptTimeoutFixture,
                  "attempt without time for another one has no limit") {
  Timing_.Remaining_ = milliseconds(700);
  CHECK_FALSE(attemptTimeout(Timing_));
}

// Guards against a count of reached targets that includes refusals by nodes,
// which load no target, or misses refusals by targets.
TEST_CASE("retry reaches a target after each end but a refusal by a node") {
  CHECK(RetryPolicy::reachedTarget(ErrorCode::TargetRefused));
  CHECK(RetryPolicy::reachedTarget(ErrorCode::TargetLost));
  CHECK(RetryPolicy::reachedTarget(ErrorCode::AttemptAbandoned));
  CHECK_FALSE(RetryPolicy::reachedTarget(ErrorCode::QueueFull));
  CHECK_FALSE(RetryPolicy::reachedTarget(ErrorCode::HopelessWait));
  CHECK_FALSE(RetryPolicy::reachedTarget(ErrorCode::Draining));
}

// Guards against a request that loads more targets than the route allows.
TEST_CASE("retry beyond the targets that the route allows is refused") {
  AttemptState State;
  State.Reason_ = ErrorCode::TargetRefused;
  State.Repeatable_ = true;
  State.MaxTargets_ = 2;
  State.ReachedTargets_ = 1;
  TimePoint Now{std::chrono::hours(1)};
  RetryBudget Budget({}, Now);
  Deadline Limit = Deadline::after(Now, std::chrono::seconds(1));
  CHECK(RetryPolicy().next(State, Limit, Budget, Now).Retry_);
  State.ReachedTargets_ = 2;
  RetryBudget Fresh({}, Now);
  CHECK_FALSE(RetryPolicy().next(State, Limit, Fresh, Now).Retry_);
}

} // namespace marigold::calls
