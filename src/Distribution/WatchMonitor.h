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
/// all changes. Most probes may be answered from data that is some seconds old,
/// which costs the source less; those that must not be are requested often
/// enough that a lost response is found within a bounded time.
class WatchMonitor {
public:
  /// Reports that a watch was started.
  void onStarted(TimePoint Now);

  /// Reports that everything was read again. The source may have lost what it
  /// had reported before.
  void onReadAll() { Newest_ = 0; }

  /// Reports that a part of the watch's response was received.
  void onProgress(TimePoint Now) { ProgressAt_ = Now; }

  /// Whether the next probe must not be answered from old data.
  bool needsFreshProbe(TimePoint Now) const;

  /// Reports that a probe was answered. Source is the revision of the source,
  /// which may be older than its newest one unless the probe was Fresh; Known
  /// is the revision up to which this node knows all changes.
  WatchVerdict onProbe(std::uint64_t Source, std::uint64_t Known, bool Fresh,
                       TimePoint Now);

private:
  /// Highest revision that the source has reported.
  std::uint64_t Newest_ = 0;
  /// Time of the last fresh probe or of the start of the watch, which the
  /// source answers at once if there are changes.
  TimePoint FreshAt_{};
  /// Time of the first probe that reported a change beyond the known ones.
  std::optional<TimePoint> BehindSince_;
  std::optional<TimePoint> ProgressAt_;
};

} // namespace marigold::distribution
