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
  // If the process is preempted between the reads, this order yields a result
  // that is too small instead of a suspension that did not occur.
  Duration SinceStart = read(CLOCK_BOOTTIME);
  Duration Running = read(CLOCK_MONOTONIC);
  return std::max(SinceStart - Running, Duration::zero());
}

} // namespace marigold
