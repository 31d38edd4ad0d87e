#pragma once

#include "Support/Clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marigold::routing {

/// Parameters of outlier detection.
struct OutlierSettings {
  /// Number of consecutive failures that ejects a host.
  unsigned ConsecutiveFailures_ = 5;
  /// Interval over which success ratios are compared.
  Duration Window_ = std::chrono::seconds(10);
  /// Minimum number of calls in a window for a host's ratio to be evaluated.
  unsigned MinimumCalls_ = 10;
  /// A host is ejected if its success ratio is below this fraction of the
  /// overall ratio. A fault that affects all hosts equally ejects none.
  double RelativeRatio_ = 0.8;
  /// Duration of the first ejection; doubles with each further one.
  Duration BaseTime_ = std::chrono::seconds(5);
  /// Maximum duration of an ejection.
  Duration MaximumTime_ = std::chrono::seconds(120);
};

/// Results of this node's calls to one host, and its ejection.
class OutlierRecord {
public:
  /// Records a successful call.
  void onSuccess();

  /// Records a failed call. Returns whether the number of consecutive failures
  /// has reached the limit.
  bool onFailure(const OutlierSettings &Settings);

  /// Starts an ejection. JitterSeed shortens it by up to a quarter, so that
  /// several nodes do not re-admit the host at the same time.
  void eject(const OutlierSettings &Settings, std::uint64_t JitterSeed,
             TimePoint Now);

  bool isEjected(TimePoint Now) const { return Now < EjectedUntil_; }

  /// End of the last ejection; the epoch if there was none.
  TimePoint ejectedUntil() const { return EjectedUntil_; }

  /// Number of calls and of successful calls in the current window.
  unsigned calls() const { return Calls_; }
  unsigned successes() const { return Successes_; }

  /// Starts the next window. If the previous one had enough calls and no
  /// failure, one earlier ejection is forgotten, so that the next one is
  /// shorter.
  void nextWindow(const OutlierSettings &Settings, TimePoint Now);

private:
  unsigned Calls_ = 0;
  unsigned Successes_ = 0;
  unsigned FailuresInRow_ = 0;
  unsigned Ejections_ = 0;
  TimePoint EjectedUntil_;
};

/// Returns the positions of the hosts to eject because of their success ratio,
/// at most Allowed of them, in ascending order of the ratio.
std::vector<std::size_t>
outliersByRatio(std::span<const OutlierRecord *const> Hosts,
                const OutlierSettings &Settings, std::size_t Allowed);

} // namespace marigold::routing
