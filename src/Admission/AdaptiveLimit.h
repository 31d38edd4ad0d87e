#pragma once

#include "Support/Clock.h"

#include <cstdint>

namespace marigold::admission {

/// Parameters of AdaptiveLimit.
struct AdaptiveLimitSettings {
  /// Minimum number of samples in a window.
  unsigned WindowSamples_ = 20;
  /// Minimum duration of a window, so that a burst of short calls alone does
  /// not complete one.
  Duration WindowTime_ = std::chrono::milliseconds(100);
  /// Ratio of a window's mean latency to the baseline up to which the limit is
  /// not lowered. Above 1 because service times vary, also with the mix of
  /// requests.
  double Tolerance_ = 1.5;
  /// Number of windows with the limit below the configured slots after which
  /// the baseline is measured again. The measurement runs two windows at a
  /// quarter of the limit, which costs 1.5 % of the throughput. Letting the
  /// baseline drift upwards instead would make it follow the latency of a long
  /// overload and raise the limit.
  unsigned ProbeWindows_ = 100;
};

/// Concurrency limit that follows the target's latency (gradient algorithm).
/// When the latency rises above the baseline, which indicates overload, the
/// limit falls in proportion; otherwise it grows by its square root up to the
/// configured slots. The growth term also bounds the fall: a target that is
/// slow for another reason keeps about four slots. While the limit is below
/// the slots, the baseline is measured again periodically, so that the limit
/// recovers after a lasting change of the target's latency.
class AdaptiveLimit {
public:
  /// The limit starts at Slots, or at 1 if Slots is 0.
  explicit AdaptiveLimit(std::uint32_t Slots,
                         AdaptiveLimitSettings Settings = {});

  /// Records the end of a run. Latency is the time that the target took; a
  /// negative one is ignored. Failed states that the target failed because of
  /// load (deadline exceeded or shed by the target). Running is the number of
  /// runs in progress before this one ended. A window in which the limit was
  /// reached at fewer than half of the samples only updates the baseline.
  void onSample(Duration Latency, bool Failed, std::uint32_t Running,
                TimePoint Now);

  /// Changes the configured slots. A lower value takes effect at once; after a
  /// higher one the limit grows gradually.
  void setSlots(std::uint32_t Slots);

  /// Discards all measurements after the target's process was replaced.
  void reset();

  /// Maximum number of concurrent runs, between 1 and the configured slots.
  std::uint32_t limit() const;

  /// Lowest mean latency of a window since the baseline was last measured;
  /// zero before the first window.
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
  /// Windows below the configured slots since the last baseline measurement.
  unsigned WindowsSinceProbe_ = 0;
  /// Remaining windows of the baseline measurement in progress.
  unsigned ProbeWindowsLeft_ = 0;
  TimePoint WindowStart_;
};

} // namespace marigold::admission
