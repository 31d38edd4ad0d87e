#include "Admission/RunTimes.h"

namespace marigold::admission {
namespace {

/// Reciprocal of the weight of a new latency in the estimates.
constexpr int Smoothing = 16;

} // namespace

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
