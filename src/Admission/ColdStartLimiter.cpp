#include "Admission/ColdStartLimiter.h"

#include <algorithm>

namespace marigold::admission {
namespace {

/// Age up to which a health answer is preferred to the platform's list, which
/// lags behind by a heartbeat interval and the time to pass it on.
constexpr Duration HealthAnswerLifetime = std::chrono::seconds(3);

} // namespace

void ColdStartLimiter::configure(const ColdStartSettings &Settings) {
  bool Longer = Settings.ColdTime_ > Settings_.ColdTime_;
  Settings_ = Settings;
  if (Longer && StartedAt_ != TimePoint() && HealthAnswerAt_ < StartedAt_)
    ColdUntil_ = std::max(ColdUntil_, StartedAt_ + Settings_.ColdTime_);
}

void ColdStartLimiter::onTargetStarted(TimePoint Now) {
  StartedAt_ = Now;
  ColdUntil_ = Now + Settings_.ColdTime_;
}

void ColdStartLimiter::onHealthAnswer(Duration ColdLeft, TimePoint AskedAt,
                                      TimePoint Now) {
  if (AskedAt < StartedAt_)
    return;
  HealthAnswerAt_ = Now;
  if (ColdLeft > Duration::zero())
    ColdUntil_ = Now + ColdLeft;
  else
    ColdUntil_ = std::min(ColdUntil_, Now);
}

void ColdStartLimiter::onListedCold(TimePoint Now) {
  if (HealthAnswerAt_ != TimePoint() &&
      Now - HealthAnswerAt_ < HealthAnswerLifetime)
    return;
  ColdUntil_ = std::max(ColdUntil_, Now + Settings_.ColdTime_);
}

bool ColdStartLimiter::isLimiting(TimePoint Now) const {
  return enabled() && ColdUntil_ != TimePoint() &&
         Now < ColdUntil_ + Steps_ * StepTime_;
}

std::size_t ColdStartLimiter::allowance(TimePoint Now) const {
  double Allowed = Settings_.Rate_ * Settings_.Excess_;
  if (Now < Begin_ + Window_)
    return static_cast<std::size_t>(std::min(Settings_.Slack_, Allowed));
  if (Now >= ColdUntil_)
    Allowed *= static_cast<double>(2ULL << ((Now - ColdUntil_) / StepTime_));
  return static_cast<std::size_t>(std::max(Allowed, 1.0));
}

TimePoint ColdStartLimiter::nextStart(std::size_t Before, TimePoint Now) const {
  if (!isLimiting(Now))
    return Now;
  TimePoint End = ColdUntil_ + Steps_ * StepTime_;
  std::size_t Allowed = allowance(Now);
  if (Allowed == 0)
    return std::min(Begin_ + Window_, End);
  // A start may follow the one that is Allowed places before it by a window.
  auto Recent = std::ranges::upper_bound(Starts_, Now - Window_);
  auto InWindow = static_cast<std::size_t>(Starts_.end() - Recent);
  std::size_t Place = InWindow + Before;
  Duration Wait{};
  for (; Place >= InWindow; Place -= Allowed, Wait += Window_)
    if (Place < Allowed)
      return std::min(Now + Wait, End);
  TimePoint Free = *(Recent + static_cast<std::ptrdiff_t>(Place)) + Wait;
  return std::min(std::max(Free, Now), End);
}

void ColdStartLimiter::onStart(TimePoint Now) {
  if (!enabled())
    return;
  forgetOld(Now);
  Starts_.push_back(Now);
}

void ColdStartLimiter::forgetOld(TimePoint Now) {
  while (!Starts_.empty() && Starts_.front() <= Now - Window_)
    Starts_.pop_front();
}

std::uint32_t ColdStartLimiter::rate(TimePoint Now) const {
  return isLimiting(Now) ? static_cast<std::uint32_t>(
                               std::max<std::size_t>(allowance(Now), 1))
                         : 0;
}

} // namespace marigold::admission
