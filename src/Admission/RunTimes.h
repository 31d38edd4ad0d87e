#pragma once

#include "Support/Clock.h"

#include <cstdint>
#include <unordered_map>

namespace marigold::admission {

/// How long runs on one target take, learned by kind of request: a target that
/// serves both long and short requests would otherwise give each of them the
/// time of the mixture.
class RunTimes {
public:
  /// Kinds that are told apart; those beyond take the figures of all requests.
  static constexpr std::size_t MaxKinds_ = 64;

  /// Records the run of a request of the given kind.
  void learn(std::uint32_t Kind, Duration Latency);

  /// Moving average of the kind's runs; that of all runs for a kind that is
  /// not known, zero before the first run.
  Duration mean(std::uint32_t Kind) const { return estimate(Kind).Mean_; }

  /// Moving average over all kinds.
  Duration mean() const { return All_.Mean_; }

  /// Lower quartile, which stands for the least time that a run takes.
  Duration quick(std::uint32_t Kind) const { return estimate(Kind).Quick_; }

  /// Forgets everything, for a new process of the target.
  void reset();

private:
  struct Estimate {
    Duration Mean_{};
    Duration Quick_{};

    void learn(Duration Latency);
  };

  const Estimate &estimate(std::uint32_t Kind) const;

  Estimate All_;
  std::unordered_map<std::uint32_t, Estimate> Kinds_;
};

} // namespace marigold::admission
