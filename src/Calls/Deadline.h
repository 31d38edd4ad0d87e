#pragma once

#include "Support/Clock.h"

namespace marigold::calls {

/// Time that a level of the call chain keeps for its own work, so that it can
/// still answer after the level below has run into its deadline. Twice the
/// largest latency between failure domains of one region (1 ms).
inline constexpr Duration DeadlineMargin = std::chrono::milliseconds(2);

/// Point in time at which nobody waits for the answer any more. Only the
/// remaining time travels between hosts, because their clocks differ.
class Deadline {
public:
  /// A deadline on this process's monotonic clock.
  explicit Deadline(TimePoint At) : At_(At) {}

  /// The deadline that is Remaining after Now. A negative time counts as zero
  /// and a huge one saturates, since it comes from a peer or a caller.
  static Deadline after(TimePoint Now, Duration Remaining);

  /// The point in time.
  TimePoint at() const { return At_; }

  /// Time left, never negative.
  Duration remaining(TimePoint Now) const;

  /// Whether no time is left.
  bool passed(TimePoint Now) const { return Now >= At_; }

  /// Time that the next level gets: the remaining time less the larger of
  /// DeadlineMargin and 1/64 of it. Zero means that the call must not be sent.
  Duration forNextLevel(TimePoint Now) const;

  /// The earlier of this deadline and Limit after Now, the route's own limit.
  Deadline limitedTo(TimePoint Now, Duration Limit) const;

private:
  TimePoint At_;
};

} // namespace marigold::calls
