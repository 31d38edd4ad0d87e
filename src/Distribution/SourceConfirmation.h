#pragma once

#include "Support/Clock.h"

#include <chrono>
#include <optional>

namespace marigold::distribution {

/// Age that stands for "never confirmed" on the wire.
inline constexpr std::chrono::milliseconds NeverConfirmed =
    std::chrono::hours(24 * 365);

/// Added to the age at each hop, so that the time on the wire and rounding
/// never make a confirmation younger than it is.
inline constexpr std::chrono::milliseconds HopAllowance{20};

/// Time of the latest answer of the source to any node, as far as this node
/// knows. The age rides on each probe.
class SourceConfirmation {
public:
  /// The source answered this node.
  void confirm(TimePoint Now);

  /// A peer knows of a confirmation of this age. Ages below zero count as
  /// zero.
  void mergeAge(std::chrono::milliseconds Age, TimePoint Now);

  /// The host was suspended for Length, which the monotonic clock does not
  /// count: the latest confirmation is older by it.
  void onSuspended(Duration Length);

  /// Age of the latest confirmation, NeverConfirmed without one.
  std::chrono::milliseconds age(TimePoint Now) const;

private:
  std::optional<TimePoint> Last_;
};

} // namespace marigold::distribution
