#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <optional>

namespace marigold::routing {

/// Estimate of one host's load from three sources: the load that the target's
/// node reports on answers, this node's own outstanding calls, and the
/// latency of its own calls. A report counts less as it ages, and a low report
/// never outweighs what this node sees itself (F8).
class HostLoad {
public:
  /// Time constant after which a report or a latency has lost 63 % of its
  /// weight. At 20 calls per second to each host of a subset a report is
  /// renewed every 50 ms.
  static constexpr Duration DecayTime_ = std::chrono::seconds(1);

  /// A call was sent to the host.
  void onSent() { ++Outstanding_; }

  /// A call ended, whatever its result.
  void onEnded();

  /// A load report arrived.
  void onReport(const LoadReport &Report, TimePoint Now);

  /// The host refused a call because it was full. Counts as a full queue,
  /// whatever the host reports.
  void onRefused(TimePoint Now);

  /// The latency of an answered call. The estimate rises at once to a higher
  /// sample and falls slowly, so that a slow host is noticed early.
  void onLatency(Duration Latency, TimePoint Now);

  /// Calls of this node in progress at the host.
  std::uint32_t outstanding() const { return Outstanding_; }

  /// Use of the slots: the largest of own outstanding calls, the aged report
  /// and an aged refusal, over Slots, the configured slots of a target. A
  /// reported limit counts only when it is lower, and at least 1.
  double utilization(std::uint32_t Slots, TimePoint Now) const;

  /// Latency estimate; falls towards Typical, the pool's average, as it ages,
  /// so that an avoided host is tried again. Typical when there is no sample.
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
