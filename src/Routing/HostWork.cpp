#include "Routing/HostWork.h"

#include <algorithm>
#include <cmath>

namespace marigold::routing {
namespace {

/// Reciprocal of the weight of a new service time in the mean of its kind.
constexpr int MeanDivisor = 32;
/// Weight of a new service time in the speed of its host.
constexpr double SpeedWeight = 0.125;
/// Bounds of one speed sample, so that a single long run does not dominate.
constexpr double MinSpeed = 0.25;
constexpr double MaxSpeed = 4;

double decayFactor(TimePoint Since, TimePoint Now, Duration Constant) {
  double Age =
      std::chrono::duration<double>(std::max(Now - Since, Duration::zero())) /
      std::chrono::duration<double>(Constant);
  return std::exp(-Age);
}

Duration times(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

} // namespace

void KindTimes::Estimate::addSample(Duration Value) {
  Mean_ =
      Mean_ == Duration::zero() ? Value : Mean_ + (Value - Mean_) / MeanDivisor;
}

void HostWork::onSent(Duration Work, TimePoint Now) {
  Sent_ = times(Sent_, decayFactor(SentAt_, Now, WaitDecay_)) + Work;
  SentAt_ = Now;
}

void HostWork::onReport(const LoadReport &Report, TimePoint Now) {
  Wait_ = Report.ExpectedWait_;
  Limit_ = Report.Limit_;
  Slowdown_ = Report.Slowdown_;
  ReportedAt_ = Now;
  Sent_ = Duration::zero();
}

Duration HostWork::onServiceTime(Duration Time, Duration KindMean,
                                 TimePoint Now) {
  Duration Usual = times(Time, 1 / slowdown(Now));
  if (KindMean <= Duration::zero())
    return Usual;
  double Sample = static_cast<double>(Usual.count()) /
                  static_cast<double>(KindMean.count());
  double Known = speed(Now);
  Speed_ =
      Known + (std::clamp(Sample, MinSpeed, MaxSpeed) - Known) * SpeedWeight;
  SpeedAt_ = Now;
  return Usual;
}

double HostWork::slowdown(TimePoint Now) const {
  if (Slowdown_ == 0)
    return 1;
  return 1 + (Slowdown_ / 100.0 - 1) *
                 decayFactor(ReportedAt_, Now, SlowdownDecay_);
}

double HostWork::speed(TimePoint Now) const {
  return 1 + (Speed_ - 1) * decayFactor(SpeedAt_, Now, SpeedDecay_);
}

Duration HostWork::runTime(Duration KindMean, TimePoint Now) const {
  return times(KindMean, speed(Now) * slowdown(Now));
}

Duration HostWork::wait(std::uint32_t Slots, TimePoint Now) const {
  std::uint32_t Usable = std::max(1U, Limit_ == 0 ? Slots : Limit_);
  return times(Wait_, decayFactor(ReportedAt_, Now, WaitDecay_)) +
         times(Sent_, decayFactor(SentAt_, Now, WaitDecay_)) / Usable;
}

} // namespace marigold::routing
