#include "Routing/HostLoad.h"

#include <algorithm>
#include <cmath>

namespace marigold::routing {
namespace {

/// Largest use of the slots that a report can claim. A host that reports
/// itself fuller is still tried again soon after the report has aged.
constexpr double MaxReported = 4;

/// Use of the slots that a refusal stands for: all slots and a full queue.
constexpr double RefusedUse = 2;

/// Fraction of its weight that a value of this age still has.
double freshness(TimePoint Since, TimePoint Now) {
  double Age =
      std::chrono::duration<double>(std::max(Now - Since, Duration::zero())) /
      std::chrono::duration<double>(HostLoad::MemoryTime_);
  return std::exp(-Age);
}

Duration weighted(Duration Left, Duration Right, double LeftWeight) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Left.count()) * LeftWeight +
      static_cast<double>(Right.count()) * (1 - LeftWeight)));
}

} // namespace

void HostLoad::onEnded() {
  // A call to an earlier incarnation may end after the count was reset.
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
    Latency_ = weighted(Latency_, Latency, freshness(LatencyAt_, Now));
  LatencyAt_ = Now;
}

double HostLoad::utilization(std::uint32_t Slots, TimePoint Now) const {
  double Limit = std::max(Slots, 1U);
  double Seen = Outstanding_ / Limit;
  if (RefusedAt_)
    Seen = std::max(Seen, RefusedUse * freshness(*RefusedAt_, Now));
  if (!Report_)
    return Seen;
  double Reported =
      (static_cast<double>(Report_->Running_) + Report_->Queued_) /
      std::clamp(static_cast<double>(Report_->Limit_), 1.0, Limit);
  return std::max(Seen, std::min(Reported, MaxReported) *
                            freshness(ReportedAt_, Now));
}

Duration HostLoad::latency(Duration Typical, TimePoint Now) const {
  if (Latency_ == Duration::zero())
    return Typical;
  return weighted(Latency_, Typical, freshness(LatencyAt_, Now));
}

} // namespace marigold::routing
