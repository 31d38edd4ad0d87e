#pragma once

#include "Support/Clock.h"

#include <cstdint>

namespace marigold::admission {

/// Parameters of AdaptiveLimit.
struct AdaptiveLimitSettings {
  /// Samples that make up one window.
  unsigned WindowSamples_ = 20;
  /// Shortest window, so that a burst of quick calls is not a window.
  Duration WindowTime_ = std::chrono::milliseconds(100);
  /// Ratio of a window's mean latency to the baseline up to which the limit is
  /// not lowered. Service times vary, also with the mix of requests.
  double Tolerance_ = 1.5;
  /// Windows below the configured slots after which the baseline is measured
  /// again, with a quarter of the limit for two windows. That costs 1.5 % of
  /// the throughput. A baseline that merely drifted upwards would follow the
  /// latency of a long overload and lift the limit.
  unsigned ProbeWindows_ = 100;
};

/// Concurrency limit that follows the target's latency (gradient method). When
/// the latency rises above the baseline because the target is overloaded, the
/// limit falls in proportion; otherwise it grows by its square root up to the
/// configured slots. The growth term also bounds the fall: a target that is
/// slow for another reason keeps about four slots. While the limit is below
/// the slots, the baseline is measured anew from time to time, so that a
/// lasting change of the target's latency is accepted.
class AdaptiveLimit {
public:
  /// Starts at Slots (at least 1).
  explicit AdaptiveLimit(std::uint32_t Slots,
                         AdaptiveLimitSettings Settings = {});

  /// A run ended. Running: runs in progress before this one ended. Latency:
  /// time that the target took. Failed: the target failed because of load
  /// (deadline exceeded, own shedding). A window in which fewer than half of
  /// the samples met a reached limit updates the baseline only.
  void onSample(Duration Latency, bool Failed, std::uint32_t Running,
                TimePoint Now);

  /// Changes the configured slots; a fall takes effect at once, a rise by
  /// growth.
  void setSlots(std::uint32_t Slots);

  /// Starts anew after the target's process was replaced.
  void reset();

  /// Runs allowed at once, between 1 and the slots.
  std::uint32_t limit() const;

  /// Lowest mean latency of a window since the last measurement; zero before
  /// the first window.
  Duration baseline() const { return Baseline_; }

private:
  void closeWindow();
  void clearWindow();
  void scheduleProbe();

  AdaptiveLimitSettings Settings_;
  std::uint32_t Slots_;
  double Limit_;
  Duration Baseline_{};
  Duration LatencySum_{};
  unsigned Samples_ = 0;
  unsigned Failures_ = 0;
  unsigned LimitedSamples_ = 0;
  /// Windows since the last measurement of the baseline, while limited.
  unsigned WindowsSinceProbe_ = 0;
  /// Windows left of the measurement in progress.
  unsigned ProbeWindowsLeft_ = 0;
  TimePoint WindowStart_;
};

} // namespace marigold::admission
