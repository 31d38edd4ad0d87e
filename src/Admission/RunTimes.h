#pragma once

#include "Admission/EstimatesByKind.h"
#include "Support/Clock.h"

namespace marigold::admission {

/// Estimates how long runs on one target take, per kind of request.
class RunTimes {
public:
  /// Records the run of a request of the given kind.
  void addSample(std::uint32_t Kind, Duration Latency) {
    Kinds_.addSample(Kind, Latency);
  }

  /// Moving average of the kind's run times, or of all run times if the kind
  /// is unknown; zero before the first run.
  Duration mean(std::uint32_t Kind) const { return Kinds_.of(Kind).Mean_; }

  /// Moving average of all run times; zero before the first run.
  Duration mean() const { return Kinds_.all().Mean_; }

  /// Lower quartile of the kind's run times, used as the minimum time that a
  /// run takes. An unknown kind has that of all run times.
  Duration lowerQuartile(std::uint32_t Kind) const {
    return Kinds_.of(Kind).LowerQuartile_;
  }

  /// Discards all estimates after the target's process was replaced.
  void reset() { Kinds_ = {}; }

private:
  struct Estimate {
    Duration Mean_{};
    Duration LowerQuartile_{};

    /// Updates the mean and, by stochastic approximation, the lower quartile.
    void addSample(Duration Latency);
  };

  EstimatesByKind<Estimate> Kinds_;
};

} // namespace marigold::admission
