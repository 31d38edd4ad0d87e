#pragma once

#include "Support/Clock.h"

#include <cstdint>
#include <span>
#include <vector>

namespace marigold::admission {

/// Run that holds a slot.
struct RunningWork {
  /// Learned run time of its kind.
  Duration Mean_{};
  TimePoint Start_;
};

/// Expected time until a slot of the target is free, from the remaining work of
/// each run and the work that waits, at the momentary speed of the target's
/// host.
///
/// Answers this load pattern: requests of very different cost on a host whose
/// speed changes several times a second, so that the number of requests in
/// progress says little about when the next one can start.
class WorkForecast {
public:
  /// Age at which a reported slowdown no longer counts. It loses its weight
  /// evenly until then.
  static constexpr Duration SlowdownLifetime_ = std::chrono::milliseconds(500);

  /// Records a slowdown that the target reported, in percent of the usual run
  /// time; zero is ignored.
  void onSlowdown(std::uint32_t Percent, TimePoint Now);

  /// Records that the learned run times have got a sample.
  void onSample(TimePoint Now);

  /// Whether the target has reported a slowdown.
  bool isReported() const { return Percent_ != 0; }

  /// Slowdown in percent: the reported one, which approaches the one at which
  /// run times were learned as it ages; zero before the first report.
  std::uint32_t slowdown(TimePoint Now) const;

  /// Run time that is expected now for a learned one.
  Duration scaled(Duration Learned, TimePoint Now) const;

  /// Expected time until a slot is free for a request that runs after those
  /// with the given learned run times. Limit is the number of slots in use at
  /// most, at least 1.
  Duration wait(std::span<const RunningWork> Running,
                std::span<const Duration> Before, std::uint32_t Limit,
                TimePoint Now) const;

  /// Discards what is known, because the target's process was replaced.
  void reset() { *this = WorkForecast(); }

private:
  double percentAt(TimePoint Now) const;

  std::uint32_t Percent_ = 0;
  TimePoint ReportedAt_;
  /// Average slowdown at which run times were learned, in percent.
  double Learned_ = 100;
};

} // namespace marigold::admission
