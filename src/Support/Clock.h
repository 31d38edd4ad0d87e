#pragma once

#include <chrono>

namespace marigold {

/// Point on the monotonic clock; the only time that decisions use.
using TimePoint = std::chrono::steady_clock::time_point;

/// Difference of two points in time.
using Duration = std::chrono::nanoseconds;

} // namespace marigold
