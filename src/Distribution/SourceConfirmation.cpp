#include "Distribution/SourceConfirmation.h"

#include <algorithm>

namespace marigold::distribution {

void SourceConfirmation::confirm(TimePoint Now) {
  Last_ = Last_ ? std::max(*Last_, Now) : Now;
}

void SourceConfirmation::mergeAge(std::chrono::milliseconds Age,
                                  TimePoint Now) {
  if (Age >= NeverConfirmed)
    return;
  Age = std::max(Age, std::chrono::milliseconds(0)) + HopAllowance;
  TimePoint Heard = Now - Age;
  if (!Last_ || Heard > *Last_)
    Last_ = Heard;
}

void SourceConfirmation::onSuspended(Duration Length) {
  if (Last_)
    *Last_ -= Length;
}

std::chrono::milliseconds SourceConfirmation::age(TimePoint Now) const {
  if (!Last_)
    return NeverConfirmed;
  auto Age = std::chrono::ceil<std::chrono::milliseconds>(Now - *Last_);
  return std::clamp(Age, std::chrono::milliseconds(0), NeverConfirmed);
}

} // namespace marigold::distribution
