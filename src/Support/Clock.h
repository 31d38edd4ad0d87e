#pragma once

#include <chrono>

namespace marigold {

/// Point in time of the monotonic clock, the only clock on which decisions are
/// based.
using TimePoint = std::chrono::steady_clock::time_point;

/// Difference between two points in time.
using Duration = std::chrono::nanoseconds;

/// Returns Now plus Remaining, which may come from a peer or a caller and is
/// not trusted: negative durations count as zero, and the sum saturates at
/// TimePoint::max().
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
