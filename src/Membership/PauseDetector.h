#pragma once

#include "Support/Clock.h"

#include <optional>

namespace marigold::membership {

/// Detects that the process did not run for a while (stopped, swapped out,
/// virtual machine migrated) and that its view of the mesh may be outdated.
class PauseDetector {
public:
  /// Threshold is the setting pause-threshold. HoldLimit is the longest time
  /// for which new calls are held when no peer answers after a pause.
  PauseDetector(Duration Threshold, Duration HoldLimit, TimePoint Now)
      : Threshold_(Threshold), HoldLimit_(HoldLimit), LastTick_(Now) {}

  /// Must be called first in each tick. Returns the time since the previous
  /// tick if it exceeds the threshold; the view is then untrusted.
  std::optional<Duration> tick(TimePoint Now);

  /// Reports that the host was suspended for Length, which the monotonic clock
  /// does not count. Returns Length if it exceeds the threshold; the view is
  /// then untrusted.
  std::optional<Duration> onSuspended(Duration Length, TimePoint Now);

  /// Reports the answer to a probe or SyncRequest that was sent at SentAt.
  /// Answers to requests sent before the pause are ignored.
  void onExchange(TimePoint SentAt);

  /// Returns whether the view may be used for new calls. After a pause it may
  /// not, until one exchange has completed or the hold limit has passed.
  bool isTrusted(TimePoint Now) const;

private:
  Duration Threshold_;
  Duration HoldLimit_;
  TimePoint LastTick_;
  std::optional<TimePoint> ResumedAt_;
};

} // namespace marigold::membership
