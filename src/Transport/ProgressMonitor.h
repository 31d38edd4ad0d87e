#pragma once

#include "Support/Clock.h"

#include <cstdint>

namespace marigold::transport {

/// Whether a transfer keeps a minimum rate, on average over windows of Window_.
///
/// Answers this load: clients that send a body, or read an answer, a few bytes
/// at a time, and so hold memory and connections for as long as they like.
class ProgressMonitor {
public:
  static constexpr std::chrono::seconds Window_{5};

  /// Begins a transfer.
  void begin(TimePoint Now) {
    WindowStart_ = Now;
    MovedBefore_ = 0;
  }

  /// Whether a whole window has passed with less than Rate bytes per second.
  /// Moved is the number of bytes since begin. A rate of zero is never missed.
  bool isTooSlow(TimePoint Now, std::uint64_t Moved, std::uint64_t Rate) {
    if (Now - WindowStart_ < Window_)
      return false;
    double Seconds = std::chrono::duration<double>(Now - WindowStart_).count();
    bool TooSlow = static_cast<double>(Moved - MovedBefore_) <
                   static_cast<double>(Rate) * Seconds;
    WindowStart_ = Now;
    MovedBefore_ = Moved;
    return TooSlow;
  }

private:
  TimePoint WindowStart_{};
  std::uint64_t MovedBefore_ = 0;
};

} // namespace marigold::transport
