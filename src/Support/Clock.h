#pragma once

#include <chrono>

namespace marigold {

/// Point on the monotonic clock; the only time that decisions use.
using TimePoint = std::chrono::steady_clock::time_point;

/// Difference of two points in time.
using Duration = std::chrono::nanoseconds;

/// The point Remaining after Now, for a time that comes from a peer or a
/// caller: a negative one counts as zero, a huge one saturates.
template <class Rep, class Period>
TimePoint timeAfter(TimePoint Now,
                    std::chrono::duration<Rep, Period> Remaining) {
  using Unit = std::chrono::duration<Rep, Period>;
  if (Remaining <= Unit::zero())
    return Now;
  if (Remaining > std::chrono::floor<Unit>(TimePoint::max() - Now))
    return TimePoint::max();
  return Now + Remaining;
}

} // namespace marigold
