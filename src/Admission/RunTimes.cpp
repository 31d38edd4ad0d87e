#include "Admission/RunTimes.h"

namespace marigold::admission {
namespace {

/// Reciprocal of the weight that a new latency has in the estimates.
constexpr int SmoothingDivisor = 16;

} // namespace

void RunTimes::Estimate::addSample(Duration Latency) {
  if (Mean_ == Duration::zero()) {
    Mean_ = LowerQuartile_ = Latency;
    return;
  }
  Mean_ += (Latency - Mean_) / SmoothingDivisor;
  Duration Step = Mean_ / SmoothingDivisor / 4;
  LowerQuartile_ += Latency < LowerQuartile_ ? -3 * Step : Step;
  LowerQuartile_ = std::clamp(LowerQuartile_, Duration::zero(), Mean_);
}

} // namespace marigold::admission
