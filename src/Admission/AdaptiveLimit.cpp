#include "Admission/AdaptiveLimit.h"

#include <algorithm>
#include <cmath>

namespace marigold::admission {
namespace {

/// Lower bound of the factor applied to the limit after a window.
constexpr double MinGradient = 0.5;

/// Divisor applied to the limit while the baseline is measured.
constexpr double ProbeDivisor = 4;

/// Upper bound of the factor applied to the limit after a failing window.
constexpr double FailureFactor = 0.9;

/// Share of failed runs above which a window counts as failing.
constexpr double MaxFailureRatio = 0.05;

} // namespace

AdaptiveLimit::AdaptiveLimit(std::uint32_t Slots,
                             AdaptiveLimitSettings Settings)
    : Settings_(Settings), Slots_(std::max(Slots, 1U)), Limit_(Slots_) {}

void AdaptiveLimit::onSample(Duration Latency, bool Failed,
                             std::uint32_t Running, TimePoint Now) {
  if (Latency < Duration::zero())
    return;
  if (Samples_ == 0)
    WindowStart_ = Now;
  ++Samples_;
  LatencySum_ += Latency;
  Failures_ += Failed ? 1 : 0;
  if (Running >= limit())
    ++LimitedSamples_;
  if (Samples_ >= Settings_.WindowSamples_ &&
      Now - WindowStart_ >= Settings_.WindowTime_)
    closeWindow();
}

void AdaptiveLimit::setSlots(std::uint32_t Slots) {
  Slots_ = std::max(Slots, 1U);
  Limit_ = std::min(Limit_, static_cast<double>(Slots_));
}

void AdaptiveLimit::reset() {
  Limit_ = Slots_;
  Baseline_ = Duration::zero();
  WindowsSinceProbe_ = 0;
  ProbeWindowsLeft_ = 0;
  clearWindow();
}

std::uint32_t AdaptiveLimit::limit() const {
  double Allowed = ProbeWindowsLeft_ > 0 ? Limit_ / ProbeDivisor : Limit_;
  return std::clamp(static_cast<std::uint32_t>(Allowed), 1U, Slots_);
}

void AdaptiveLimit::closeWindow() {
  Duration Mean = LatencySum_ / Samples_;
  bool Limited = LimitedSamples_ * 2 >= Samples_;
  bool Failing = Failures_ > MaxFailureRatio * Samples_;
  clearWindow();
  if (ProbeWindowsLeft_ > 0) {
    // Runs that began at the full limit end in the first window of the
    // measurement, so only the second one is used.
    if (--ProbeWindowsLeft_ == 0 && !Failing)
      Baseline_ = Mean;
    return;
  }
  // The latencies of failed runs reflect their deadlines, not the target.
  if (!Failing)
    Baseline_ =
        Baseline_ == Duration::zero() ? Mean : std::min(Baseline_, Mean);
  if (!Limited)
    return;
  double Gradient = 1;
  if (Mean > Duration::zero() && Baseline_ > Duration::zero())
    Gradient = std::clamp(Settings_.Tolerance_ *
                              static_cast<double>(Baseline_.count()) /
                              static_cast<double>(Mean.count()),
                          MinGradient, 1.0);
  double Next = Failing ? Limit_ * std::min(Gradient, FailureFactor)
                        : Limit_ * Gradient + std::sqrt(Limit_);
  Limit_ = std::clamp(Next, 1.0, static_cast<double>(Slots_));
  scheduleProbe();
}

void AdaptiveLimit::scheduleProbe() {
  if (limit() == Slots_) {
    WindowsSinceProbe_ = 0;
    return;
  }
  if (++WindowsSinceProbe_ < Settings_.ProbeWindows_)
    return;
  WindowsSinceProbe_ = 0;
  ProbeWindowsLeft_ = 2;
}

void AdaptiveLimit::clearWindow() {
  LatencySum_ = Duration::zero();
  Samples_ = 0;
  Failures_ = 0;
  LimitedSamples_ = 0;
}

} // namespace marigold::admission
