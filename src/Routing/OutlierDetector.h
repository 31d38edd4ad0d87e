#pragma once

#include "Support/Clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marigold::routing {

/// Parameters of outlier ejection.
struct OutlierSettings {
  /// Failures in a row that eject a host.
  unsigned ConsecutiveFailures_ = 5;
  /// Window over which success ratios are compared.
  Duration Window_ = std::chrono::seconds(10);
  /// Calls in a window below which a host's ratio says nothing.
  unsigned MinimumCalls_ = 10;
  /// A host is ejected when its success ratio is below this fraction of the
  /// ratio of all hosts together. A failure that all hosts share ejects none.
  double RelativeRatio_ = 0.8;
  /// Duration of the first ejection; it doubles with each further one.
  Duration BaseTime_ = std::chrono::seconds(5);
  /// Longest ejection.
  Duration MaximumTime_ = std::chrono::seconds(120);
};

/// Record of one host's observed calls.
class OutlierRecord {
public:
  /// A call succeeded.
  void onSuccess();

  /// A call failed. True when the run of failures reached the limit.
  bool onFailure(const OutlierSettings &Settings);

  /// Starts an ejection. JitterSeed spreads the re-admissions that several
  /// nodes make of one host over a quarter of the time.
  void eject(const OutlierSettings &Settings, std::uint64_t JitterSeed,
             TimePoint Now);

  /// Whether the host is ejected.
  bool isEjected(TimePoint Now) const { return Now < EjectedUntil_; }

  /// End of the last ejection; the epoch when there was none.
  TimePoint ejectedUntil() const { return EjectedUntil_; }

  /// Calls and successes of the current window.
  unsigned calls() const { return Calls_; }
  unsigned successes() const { return Successes_; }

  /// Begins the next window. A window with enough calls and no failure makes
  /// the next ejection shorter again.
  void nextWindow(const OutlierSettings &Settings, TimePoint Now);

private:
  unsigned Calls_ = 0;
  unsigned Successes_ = 0;
  unsigned FailuresInRow_ = 0;
  unsigned Ejections_ = 0;
  TimePoint EjectedUntil_;
};

/// Positions of the hosts to eject by their success ratio: the worst first, at
/// most Allowed of them.
std::vector<std::size_t>
outliersByRatio(std::span<const OutlierRecord *const> Hosts,
                const OutlierSettings &Settings, std::size_t Allowed);

} // namespace marigold::routing
