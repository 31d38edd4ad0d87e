#include "Distribution/PollDelay.h"

#include <doctest/doctest.h>

namespace marigold::distribution {
namespace {

using std::chrono::milliseconds;

struct PollDelayFixture {
  Duration BaseDelay_ = milliseconds(1200);
  std::uint64_t SmallAnswer_ = 4096;
  /// A version of 257 KB in base64.
  std::uint64_t LargeAnswer_ = 343'000;
};

} // namespace

TEST_CASE_FIXTURE(PollDelayFixture,
                  "small answer leaves the base delay unchanged") {
  CHECK(pollDelay(BaseDelay_, SmallAnswer_, 100) >
        BaseDelay_ - milliseconds(1));
  CHECK(pollDelay(BaseDelay_, LargeAnswer_, 0) == BaseDelay_);
}

// Guards against a change that becomes known later than the limit of 2.5 s
// because the delay and the transfer of a large answer on a slow link add up.
TEST_CASE_FIXTURE(PollDelayFixture,
                  "large answer on a slow link shortens the delay") {
  Duration Delay = pollDelay(BaseDelay_, LargeAnswer_, 9);
  CHECK(Delay < milliseconds(700));
  CHECK(Delay > milliseconds(500));
}

// Guards against a negative delay, and against any delay after answers whose
// transfer takes longer than the base delay.
TEST_CASE_FIXTURE(PollDelayFixture, "series of large answers leaves no delay") {
  CHECK(pollDelay(BaseDelay_, 3 * LargeAnswer_, 9) == Duration::zero());
}

} // namespace marigold::distribution
