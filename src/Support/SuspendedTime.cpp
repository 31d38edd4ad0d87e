#include "Support/SuspendedTime.h"

#include <algorithm>
#include <ctime>

namespace marigold {
namespace {

Duration read(clockid_t Clock) {
  timespec Value{};
  if (clock_gettime(Clock, &Value) != 0)
    return Duration::zero();
  return std::chrono::seconds(Value.tv_sec) +
         std::chrono::nanoseconds(Value.tv_nsec);
}

} // namespace

Duration suspendedTime() {
  // In this order, a process that loses the processor between both reads sees
  // too short a time, not a suspension that never was.
  Duration SinceStart = read(CLOCK_BOOTTIME);
  Duration Running = read(CLOCK_MONOTONIC);
  return std::max(SinceStart - Running, Duration::zero());
}

} // namespace marigold
