#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <optional>

namespace marigold::routing {

/// Estimates the load of one host from three sources: the load that the
/// target's node reports with answers, this node's outstanding calls, and the
/// latency of this node's calls. The weight of a report decays with its age. A
/// low report never overrides this node's own observations, because a host may
/// wrongly report itself idle.
class HostLoad {
public:
  /// Time constant of the decay: a report or latency of this age has lost 63 %
  /// of its weight. At 20 calls per second to each host of the subset, a new
  /// report arrives every 50 ms.
  static constexpr Duration DecayTime_ = std::chrono::seconds(1);

  /// Records a call that was sent to the host.
  void onSent() { ++Outstanding_; }

  /// Records the end of a call with any result.
  void onEnded();

  /// Records a load report.
  void onReport(const LoadReport &Report, TimePoint Now);

  /// Records a call that the host refused because it was full. The host counts
  /// as having a full queue, whatever it reports.
  void onRefused(TimePoint Now);

  /// Records the latency of an answered call; a negative one is ignored. The
  /// estimate rises to a higher sample at once and falls slowly, so that a slow
  /// host is detected early.
  void onLatency(Duration Latency, TimePoint Now);

  /// Number of this node's calls in progress at the host.
  std::uint32_t outstanding() const { return Outstanding_; }

  /// Utilization of the slots: the maximum of the own outstanding calls, the
  /// decayed report and a decayed refusal. Slots is the number of slots
  /// configured for a target; the limit in a report is clamped to the range
  /// from 1 to Slots.
  double utilization(std::uint32_t Slots, TimePoint Now) const;

  /// Latency estimate, or Typical, the pool's average, if there is no sample.
  /// The estimate approaches Typical as it ages, so that a host that gets no
  /// calls is tried again.
  Duration latency(Duration Typical, TimePoint Now) const;

private:
  std::uint32_t Outstanding_ = 0;
  std::optional<LoadReport> Report_;
  TimePoint ReportedAt_;
  std::optional<TimePoint> RefusedAt_;
  Duration Latency_{};
  TimePoint LatencyAt_;
};

} // namespace marigold::routing
