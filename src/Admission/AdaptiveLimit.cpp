#include "Admission/AdaptiveLimit.h"

#include <algorithm>
#include <cmath>

namespace marigold::admission {
namespace {

/// Largest fall of the limit in one window.
constexpr double LowestGradient = 0.5;

/// Factor on the limit after a window with failures.
constexpr double FailureFactor = 0.9;

/// Share of failed runs in a window above which the limit falls.
constexpr double FailureRatio = 0.05;

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
  Sum_ += Latency;
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
  clearWindow();
}

std::uint32_t AdaptiveLimit::limit() const {
  return std::clamp(static_cast<std::uint32_t>(Limit_), 1U, Slots_);
}

void AdaptiveLimit::closeWindow() {
  Duration Mean = Sum_ / Samples_;
  bool Limited = LimitedSamples_ * 2 >= Samples_;
  bool Failing = Failures_ > FailureRatio * Samples_;
  clearWindow();
  Duration Aged = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(Baseline_) *
      Settings_.BaselineDrift_);
  // A window of failures measures the deadline, not the target.
  if (!Failing)
    Baseline_ = Baseline_ == Duration::zero() ? Mean : std::min(Aged, Mean);
  if (!Limited)
    return;
  double Gradient = 1;
  if (Mean > Duration::zero() && Baseline_ > Duration::zero())
    Gradient = std::clamp(Settings_.Tolerance_ *
                              static_cast<double>(Baseline_.count()) /
                              static_cast<double>(Mean.count()),
                          LowestGradient, 1.0);
  double Next = Failing ? Limit_ * std::min(Gradient, FailureFactor)
                        : Limit_ * Gradient + std::sqrt(Limit_);
  Limit_ = std::clamp(Next, 1.0, static_cast<double>(Slots_));
}

void AdaptiveLimit::clearWindow() {
  Sum_ = Duration::zero();
  Samples_ = 0;
  Failures_ = 0;
  LimitedSamples_ = 0;
}

} // namespace marigold::admission
