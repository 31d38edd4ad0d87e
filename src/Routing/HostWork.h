#pragma once

#include "Admission/EstimatesByKind.h"
#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <optional>

namespace marigold::routing {

/// Mean service time per kind of request over all hosts of a pool, at the usual
/// speed of the hosts. The number of kinds is bounded.
class KindTimes {
public:
  /// Records the service time of an answer.
  void addSample(std::uint32_t Kind, Duration UsualTime) {
    Kinds_.addSample(Kind, UsualTime);
  }

  /// Mean of the kind, or of all requests if the kind is unknown; zero before
  /// the first sample.
  Duration mean(std::uint32_t Kind) const { return Kinds_.of(Kind).Mean_; }

private:
  struct Estimate {
    Duration Mean_{};

    void addSample(Duration Value);
  };

  admission::EstimatesByKind<Estimate> Kinds_;
};

/// Work of one host in units of time: what it still has to do, and how fast it
/// is.
///
/// Answers this load pattern: hosts of one service that differ in speed, with
/// requests of very different cost, of which each node sees only its own. The
/// report of the target's node covers what other nodes have sent; the work that
/// this node has sent since bridges the time to the next report.
class HostWork {
public:
  /// Time constant with which a reported wait loses its weight.
  static constexpr Duration WaitDecay_ = std::chrono::milliseconds(500);
  /// Time constant with which a reported slowdown loses its weight.
  static constexpr Duration SlowdownDecay_ = std::chrono::milliseconds(250);
  /// Time constant with which the learned speed approaches the usual one, so
  /// that a slow host without calls is tried again.
  static constexpr Duration SpeedDecay_ = std::chrono::seconds(20);

  /// Records a call that was sent to the host and is expected to run for Work.
  void onSent(Duration Work, TimePoint Now);

  /// Records a load report.
  void onReport(const LoadReport &Report, TimePoint Now);

  /// Records the service time of an answer to a request whose kind has the
  /// given mean, zero if unknown. Requires the report that came with it to be
  /// recorded before. Returns the time at the usual speed of the host.
  Duration onServiceTime(Duration Time, Duration KindMean, TimePoint Now);

  /// Expected run time now of a request whose kind has the given mean.
  Duration runTime(Duration KindMean, TimePoint Now) const;

  /// Expected time until a slot is free: the reported wait and the work sent
  /// since the report over the slots.
  Duration wait(std::uint32_t Slots, TimePoint Now) const;

private:
  double slowdown(TimePoint Now) const;
  double speed(TimePoint Now) const;

  Duration Wait_{};
  /// Limit in the last report; 0 before the first one.
  std::uint32_t Limit_ = 0;
  std::uint32_t Slowdown_ = 0;
  TimePoint ReportedAt_;
  Duration Sent_{};
  TimePoint SentAt_;
  /// Run times at this host relative to the means over all hosts.
  double Speed_ = 1;
  TimePoint SpeedAt_;
};

} // namespace marigold::routing
