#include "Calls/RequestAge.h"

#include <algorithm>
#include <utility>

namespace marigold::calls {
namespace {

/// Weight of one wait in the moving average, as a divisor.
constexpr int AverageSamples = 128;

} // namespace

Duration RequestAge::onRequest(Duration Wait, TimePoint Now) {
  if (Now - WindowStart_ >= Window_) {
    bool Gap = Now - WindowStart_ >= 2 * Window_;
    LongestBefore_ =
        Gap ? Duration::zero() : std::exchange(LongestInWindow_, {});
    LongestInWindow_ = Duration::zero();
    WindowStart_ = Now;
  }
  LongestInWindow_ = std::max(LongestInWindow_, Wait);
  auto Shortest = std::chrono::duration_cast<Duration>(longestWait() *
                                                       (1 - FirstWaitSpread_));
  if (Wait >= Shortest) {
    // Values from before a change of the longest wait are not averaged in.
    if (MeanFirstWait_ < Shortest || MeanFirstWait_ > longestWait())
      MeanFirstWait_ = Wait;
    MeanFirstWait_ += (Wait - MeanFirstWait_) / AverageSamples;
    Samples_ = std::min(Samples_ + 1, MinSamples_);
    return Duration::zero();
  }
  if (Samples_ < MinSamples_)
    return Duration::zero();
  return std::max(std::max(MeanFirstWait_, Shortest) - Wait, Duration::zero());
}

Duration RequestAge::longestWait() const {
  return std::max(LongestInWindow_, LongestBefore_);
}

} // namespace marigold::calls
