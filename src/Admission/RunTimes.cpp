#include "Admission/RunTimes.h"

#include <algorithm>

namespace marigold::admission {
namespace {

/// Reciprocal of the weight of a new latency in the estimates.
constexpr int Smoothing = 16;

} // namespace

void RunTimes::learn(std::uint32_t Kind, Duration Latency) {
  All_.learn(Latency);
  if (Kinds_.contains(Kind) || Kinds_.size() < MaxKinds_)
    Kinds_[Kind].learn(Latency);
}

void RunTimes::reset() {
  All_ = {};
  Kinds_.clear();
}

const RunTimes::Estimate &RunTimes::estimate(std::uint32_t Kind) const {
  auto Position = Kinds_.find(Kind);
  return Position == Kinds_.end() ? All_ : Position->second;
}

/// Updates the mean and, by stochastic approximation, the lower quartile.
void RunTimes::Estimate::learn(Duration Latency) {
  if (Mean_ == Duration::zero()) {
    Mean_ = Quick_ = Latency;
    return;
  }
  Mean_ += (Latency - Mean_) / Smoothing;
  Duration Step = Mean_ / Smoothing / 4;
  Quick_ += Latency < Quick_ ? -3 * Step : Step;
  Quick_ = std::clamp(Quick_, Duration::zero(), Mean_);
}

} // namespace marigold::admission
