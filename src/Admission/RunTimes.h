#pragma once

#include "Admission/PerKind.h"
#include "Support/Clock.h"

namespace marigold::admission {

/// How long runs on one target take, learned by kind of request.
class RunTimes {
public:
  /// Records the run of a request of the given kind.
  void addSample(std::uint32_t Kind, Duration Latency) {
    Kinds_.addSample(Kind, Latency);
  }

  /// Moving average of the kind's runs; that of all runs for a kind that is
  /// not known, zero before the first run.
  Duration mean(std::uint32_t Kind) const { return Kinds_.of(Kind).Mean_; }

  /// Moving average over all kinds.
  Duration mean() const { return Kinds_.all().Mean_; }

  /// Lower quartile, which stands for the least time that a run takes.
  Duration lowerQuartile(std::uint32_t Kind) const {
    return Kinds_.of(Kind).LowerQuartile_;
  }

  /// Forgets everything, for a new process of the target.
  void reset() { Kinds_ = {}; }

private:
  struct Estimate {
    Duration Mean_{};
    Duration LowerQuartile_{};

    /// Updates the mean and, by stochastic approximation, the lower quartile.
    void addSample(Duration Latency);
  };

  PerKind<Estimate> Kinds_;
};

} // namespace marigold::admission
