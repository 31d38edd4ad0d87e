#pragma once

#include "Support/Clock.h"

#include <optional>

namespace marigold::membership {

/// Detects that the process did not run for a while (stopped, swapped out,
/// virtual machine moved): its view of the mesh may be outdated.
class PauseDetector {
public:
  /// Threshold is the setting pause-threshold. HoldLimit bounds the time for
  /// which new calls wait when no peer answers.
  PauseDetector(Duration Threshold, Duration HoldLimit, TimePoint Now)
      : Threshold_(Threshold), HoldLimit_(HoldLimit), LastTick_(Now) {}

  /// To be called at each tick, before anything else. Returns the gap when it
  /// is above the threshold; the node then distrusts its view.
  std::optional<Duration> tick(TimePoint Now);

  /// The host was suspended for Length, which the monotonic clock does not
  /// count. Returns the length when it is above the threshold.
  std::optional<Duration> onSuspended(Duration Length, TimePoint Now);

  /// Notes a completed exchange: an answer to a probe or SyncRequest that was
  /// sent at SentAt. Answers to requests from before the pause do not count.
  void onExchange(TimePoint SentAt);

  /// Whether the node may use its view for new calls: false after a pause
  /// until one exchange is complete or the hold limit has passed.
  bool isTrusted(TimePoint Now) const;

private:
  Duration Threshold_;
  Duration HoldLimit_;
  TimePoint LastTick_;
  std::optional<TimePoint> ResumedAt_;
};

} // namespace marigold::membership
