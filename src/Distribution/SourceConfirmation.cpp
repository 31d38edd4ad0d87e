#include "Distribution/SourceConfirmation.h"

#include <algorithm>

namespace marigold::distribution {

void SourceConfirmation::confirm(TimePoint Now) {
  LatestConfirmation_ =
      LatestConfirmation_ ? std::max(*LatestConfirmation_, Now) : Now;
}

void SourceConfirmation::mergeAge(std::chrono::milliseconds Age,
                                  TimePoint Now) {
  if (Age >= NeverConfirmed)
    return;
  Age = std::max(Age, std::chrono::milliseconds(0)) + AgeIncrementPerHop;
  TimePoint Heard = Now - Age;
  if (!LatestConfirmation_ || Heard > *LatestConfirmation_)
    LatestConfirmation_ = Heard;
}

void SourceConfirmation::onSuspended(Duration Length) {
  if (LatestConfirmation_)
    *LatestConfirmation_ -= Length;
}

std::chrono::milliseconds SourceConfirmation::age(TimePoint Now) const {
  if (!LatestConfirmation_)
    return NeverConfirmed;
  auto Age =
      std::chrono::ceil<std::chrono::milliseconds>(Now - *LatestConfirmation_);
  return std::clamp(Age, std::chrono::milliseconds(0), NeverConfirmed);
}

} // namespace marigold::distribution
