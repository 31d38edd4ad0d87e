#pragma once

#include "Support/Clock.h"

namespace marigold::calls {

/// Time that a level of the call chain reserves for itself, so that it can
/// still answer after the deadline of the level below has passed. Twice the
/// maximum latency between failure domains of one region, which is 1 ms.
inline constexpr Duration DeadlineMargin = std::chrono::milliseconds(2);

/// Point in time after which the caller no longer waits for the answer. Hosts
/// only exchange the remaining time, because their clocks differ.
class Deadline {
public:
  /// Creates a deadline at a point of this process's monotonic clock.
  explicit Deadline(TimePoint At) : At_(At) {}

  /// Creates the deadline that is Remaining after Now. The remaining time comes
  /// from a peer or a caller and is not trusted: a negative one counts as zero
  /// and an excessive one saturates.
  static Deadline after(TimePoint Now, Duration Remaining);

  TimePoint at() const { return At_; }

  /// Remaining time, never negative.
  Duration remaining(TimePoint Now) const;

  /// Whether the deadline has passed.
  bool passed(TimePoint Now) const { return Now >= At_; }

  /// Remaining time to send to the next level of the call chain: the remaining
  /// time minus the larger of DeadlineMargin and 1/64 of it. If it is zero, the
  /// call must not be sent.
  Duration forNextLevel(TimePoint Now) const;

  /// Returns the earlier of this deadline and Now plus Limit, the limit of the
  /// route.
  Deadline limitedTo(TimePoint Now, Duration Limit) const;

private:
  TimePoint At_;
};

} // namespace marigold::calls
