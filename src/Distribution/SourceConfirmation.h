#pragma once

#include "Support/Clock.h"

#include <chrono>
#include <optional>

namespace marigold::distribution {

/// Wire value that means "never confirmed".
inline constexpr std::chrono::milliseconds NeverConfirmed =
    std::chrono::hours(24 * 365);

/// Added to the age at each hop, so that network delay and rounding never make
/// a confirmation appear younger than it is.
inline constexpr std::chrono::milliseconds AgeIncrementPerHop{20};

/// Time of the latest answer of the source to any node, as known to this node.
/// Its age is sent with each probe.
class SourceConfirmation {
public:
  /// Records that the source answered this node.
  void confirm(TimePoint Now);

  /// Merges the age of the latest confirmation that a peer knows of. Negative
  /// ages count as zero.
  void mergeAge(std::chrono::milliseconds Age, TimePoint Now);

  /// Reports that the host was suspended for Length, which the monotonic clock
  /// does not count. The latest confirmation is older by that time.
  void onSuspended(Duration Length);

  /// Returns the age of the latest confirmation, or NeverConfirmed if there is
  /// none.
  std::chrono::milliseconds age(TimePoint Now) const;

private:
  std::optional<TimePoint> LatestConfirmation_;
};

} // namespace marigold::distribution
