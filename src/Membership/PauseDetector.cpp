#include "Membership/PauseDetector.h"

namespace marigold::membership {

std::optional<Duration> PauseDetector::tick(TimePoint Now) {
  Duration Gap = Now - LastTick_;
  LastTick_ = Now;
  if (Gap <= Threshold_)
    return std::nullopt;
  ResumedAt_ = Now;
  return Gap;
}

std::optional<Duration> PauseDetector::onSuspended(Duration Length,
                                                   TimePoint Now) {
  if (Length <= Threshold_)
    return std::nullopt;
  ResumedAt_ = Now;
  return Length;
}

void PauseDetector::onExchange(TimePoint SentAt) {
  if (ResumedAt_ && SentAt >= *ResumedAt_)
    ResumedAt_.reset();
}

bool PauseDetector::isTrusted(TimePoint Now) const {
  // After a pause, a call may arrive before the first tick has detected it.
  if (Now - LastTick_ > Threshold_)
    return false;
  return !ResumedAt_ || Now - *ResumedAt_ >= HoldLimit_;
}

} // namespace marigold::membership
