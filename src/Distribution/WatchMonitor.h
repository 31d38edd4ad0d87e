#pragma once

#include "Support/Clock.h"

#include <cstdint>
#include <optional>

namespace marigold::distribution {

/// What an answered probe says about the pending watch.
enum class WatchVerdict : std::uint8_t {
  /// All changes that the source reported are known.
  Current,
  /// The source has a change that the watch has not delivered yet.
  Behind,
  /// The watch should have delivered the change and must be started again.
  Lost
};

/// Detects a pending watch whose response was lost. Probes use connections of
/// their own, so their answers show that the source responds, but not that the
/// watch does. Only the revision that they report tells whether this node knows
/// all changes.
class WatchMonitor {
public:
  /// Reports that a watch was started.
  void onStarted() { *this = WatchMonitor(); }

  /// Reports that a part of the watch's response was received.
  void onProgress(TimePoint Now) { ProgressAt_ = Now; }

  /// Reports that a probe was answered. Source is the revision of the source,
  /// which may be older than its newest one; Known is the revision up to which
  /// this node knows all changes.
  WatchVerdict onProbe(std::uint64_t Source, std::uint64_t Known,
                       TimePoint Now);

private:
  /// Time of the first probe that reported a change beyond the known ones.
  std::optional<TimePoint> BehindSince_;
  std::optional<TimePoint> ProgressAt_;
};

} // namespace marigold::distribution
