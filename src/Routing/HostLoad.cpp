#include "Routing/HostLoad.h"

#include <algorithm>
#include <cmath>

namespace marigold::routing {
namespace {

/// Upper bound of a reported utilization. A host that reports more is still
/// tried again soon after its report has decayed.
constexpr double MaxReportedUtilization = 4;

/// Utilization assumed after a refusal: all slots in use and a full queue.
constexpr double RefusedUtilization = 2;

/// Fraction of its weight that a value recorded at Since still has at Now.
double decayFactor(TimePoint Since, TimePoint Now) {
  double Age =
      std::chrono::duration<double>(std::max(Now - Since, Duration::zero())) /
      std::chrono::duration<double>(HostLoad::DecayTime_);
  return std::exp(-Age);
}

Duration weighted(Duration Left, Duration Right, double LeftWeight) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Left.count()) * LeftWeight +
      static_cast<double>(Right.count()) * (1 - LeftWeight)));
}

} // namespace

void HostLoad::onEnded() {
  // A call to the host's previous incarnation may end after the count was
  // reset.
  if (Outstanding_ > 0)
    --Outstanding_;
}

void HostLoad::onReport(const LoadReport &Report, TimePoint Now) {
  Report_ = Report;
  ReportedAt_ = Now;
}

void HostLoad::onRefused(TimePoint Now) { RefusedAt_ = Now; }

void HostLoad::onLatency(Duration Latency, TimePoint Now) {
  if (Latency < Duration::zero())
    return;
  if (Latency_ == Duration::zero() || Latency > Latency_)
    Latency_ = Latency;
  else
    Latency_ = weighted(Latency_, Latency, decayFactor(LatencyAt_, Now));
  LatencyAt_ = Now;
}

double HostLoad::utilization(std::uint32_t Slots, TimePoint Now) const {
  double Limit = std::max(Slots, 1U);
  double Observed = Outstanding_ / Limit;
  if (RefusedAt_)
    Observed =
        std::max(Observed, RefusedUtilization * decayFactor(*RefusedAt_, Now));
  if (!Report_)
    return Observed;
  double Usable = std::clamp(static_cast<double>(Report_->Limit_), 1.0, Limit);
  // A cold target keeps only as many slots in use as its rate of starts fills.
  if (Report_->StartRate_ != 0 && Latency_ > Duration::zero())
    Usable = std::clamp(Report_->StartRate_ *
                            std::chrono::duration<double>(Latency_).count(),
                        1.0, Usable);
  double Reported =
      (static_cast<double>(Report_->Running_) + Report_->Queued_) / Usable;
  return std::max(Observed, std::min(Reported, MaxReportedUtilization) *
                                decayFactor(ReportedAt_, Now));
}

Duration HostLoad::latency(Duration Typical, TimePoint Now) const {
  if (Latency_ == Duration::zero())
    return Typical;
  return weighted(Latency_, Typical, decayFactor(LatencyAt_, Now));
}

} // namespace marigold::routing
