#include "Admission/WorkForecast.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace marigold::admission {
namespace {

/// Reciprocal of the weight of a new sample, as in RunTimes.
constexpr double SmoothingDivisor = 16;
/// A run that takes longer than expected is expected to take this part of its
/// run time more.
constexpr int RemainderDivisor = 8;

Duration times(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

} // namespace

void WorkForecast::onSlowdown(std::uint32_t Percent, TimePoint Now) {
  if (Percent == 0)
    return;
  Percent_ = Percent;
  ReportedAt_ = Now;
}

void WorkForecast::onSample(TimePoint Now) {
  if (isReported())
    Learned_ += (percentAt(Now) - Learned_) / SmoothingDivisor;
}

double WorkForecast::percentAt(TimePoint Now) const {
  if (!isReported())
    return Learned_;
  double Age = std::chrono::duration<double>(Now - ReportedAt_) /
               std::chrono::duration<double>(SlowdownLifetime_);
  return Learned_ + (Percent_ - Learned_) * std::clamp(1 - Age, 0.0, 1.0);
}

std::uint32_t WorkForecast::slowdown(TimePoint Now) const {
  if (!isReported())
    return 0;
  return std::max(1U, static_cast<std::uint32_t>(std::lround(percentAt(Now))));
}

Duration WorkForecast::scaled(Duration Learned, TimePoint Now) const {
  return times(Learned, percentAt(Now) / Learned_);
}

Duration WorkForecast::wait(std::span<const RunningWork> Running,
                            std::span<const Duration> Before,
                            std::uint32_t Limit, TimePoint Now) const {
  // Times until each slot is free, as a heap with the earliest one in front.
  std::vector<Duration> Free;
  for (const RunningWork &Run : Running) {
    Duration Mean = scaled(Run.Mean_, Now);
    Free.push_back(
        std::max(Mean - (Now - Run.Start_), Mean / RemainderDivisor));
  }
  std::size_t Slots = std::max(Limit, 1U);
  Free.resize(std::max(Free.size(), Slots), Duration::zero());
  std::ranges::make_heap(Free, std::greater<>());
  auto TakeFirst = [&] {
    std::ranges::pop_heap(Free, std::greater<>());
    Duration First = Free.back();
    Free.pop_back();
    return First;
  };
  // The first runs to end leave no slot if more run than the limit allows.
  while (Free.size() > Slots)
    TakeFirst();
  for (Duration Work : Before) {
    Free.push_back(TakeFirst() + scaled(Work, Now));
    std::ranges::push_heap(Free, std::greater<>());
  }
  return Free.front();
}

} // namespace marigold::admission
