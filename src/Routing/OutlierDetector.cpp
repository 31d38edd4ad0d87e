#include "Routing/OutlierDetector.h"

#include <algorithm>

namespace marigold::routing {

void OutlierRecord::onSuccess() {
  ++Calls_;
  ++Successes_;
  FailuresInRow_ = 0;
}

bool OutlierRecord::onFailure(const OutlierSettings &Settings) {
  ++Calls_;
  ++FailuresInRow_;
  return FailuresInRow_ >= Settings.ConsecutiveFailures_;
}

void OutlierRecord::eject(const OutlierSettings &Settings,
                          std::uint64_t JitterSeed, TimePoint Now) {
  Duration Time = Settings.BaseTime_;
  for (unsigned Step = 0; Step < Ejections_ && Time < Settings.MaximumTime_;
       ++Step)
    Time *= 2;
  Time = std::min(Time, Settings.MaximumTime_);
  constexpr std::uint64_t Steps = 1024;
  Duration Jitter =
      Time / 4 / Steps * static_cast<Duration::rep>(JitterSeed % Steps);
  EjectedUntil_ = Now + Time - Jitter;
  ++Ejections_;
  // After its re-admission the host is judged by new calls only.
  Calls_ = Successes_ = FailuresInRow_ = 0;
}

void OutlierRecord::nextWindow(const OutlierSettings &Settings, TimePoint Now) {
  if (Calls_ >= Settings.MinimumCalls_ && Calls_ == Successes_ &&
      Ejections_ > 0 && !isEjected(Now))
    --Ejections_;
  Calls_ = Successes_ = 0;
}

std::vector<std::size_t>
outliersByRatio(std::span<const OutlierRecord *const> Hosts,
                const OutlierSettings &Settings, std::size_t Allowed) {
  std::uint64_t Calls = 0;
  std::uint64_t Successes = 0;
  for (const OutlierRecord *Host : Hosts) {
    Calls += Host->calls();
    Successes += Host->successes();
  }
  if (Calls == 0)
    return {};
  double Average = static_cast<double>(Successes) / static_cast<double>(Calls);
  auto Ratio = [&](std::size_t Index) {
    return static_cast<double>(Hosts[Index]->successes()) /
           Hosts[Index]->calls();
  };
  std::vector<std::size_t> Outliers;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    if (Hosts[Index]->calls() >= std::max(Settings.MinimumCalls_, 1U) &&
        Ratio(Index) < Average * Settings.RelativeRatio_)
      Outliers.push_back(Index);
  std::stable_sort(Outliers.begin(), Outliers.end(),
                   [&](std::size_t Left, std::size_t Right) {
                     return Ratio(Left) < Ratio(Right);
                   });
  Outliers.resize(std::min(Outliers.size(), Allowed));
  return Outliers;
}

} // namespace marigold::routing
