#include "Node/CallLogLimiter.h"

namespace marigold::node {
namespace {

/// Failed calls that may be logged for each successful call in a window.
constexpr std::uint64_t FailuresPerSuccess = 4;
constexpr Duration Window = std::chrono::seconds(1);

} // namespace

bool CallLogLimiter::admits(bool Failed, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  if (Now - WindowStart_ >= Window) {
    WindowStart_ = Now;
    Successes_ = 0;
    Failures_ = 0;
  }
  bool Admitted =
      Failed ? Failures_++ < Rate_ * FailuresPerSuccess : Successes_++ < Rate_;
  if (!Admitted)
    Dropped_.fetch_add(1, std::memory_order_relaxed);
  return Admitted;
}

} // namespace marigold::node
