#pragma once

#include "Support/Clock.h"
#include "Support/Metrics.h"

#include <cstdint>
#include <mutex>

namespace marigold::node {

/// Limits the rate of log lines about calls. Successful and failed calls have
/// separate budgets, so that many successes do not hide the failures.
/// Suppressed lines are counted in log_lines_dropped_total.
class CallLogLimiter {
public:
  /// Rate is the setting call-log-rate: lines per second for successful calls.
  /// The limit for failed calls is a multiple of it.
  CallLogLimiter(MetricsRegistry &Metrics, std::uint64_t Rate)
      : Rate_(Rate),
        Dropped_(Metrics.value(Metric::LogLinesDroppedTotal, "rate")) {}

  /// Whether a line about a call may be written now. May be called from any
  /// thread.
  bool admits(bool Failed, TimePoint Now);

private:
  const std::uint64_t Rate_;
  std::atomic<std::int64_t> &Dropped_;
  std::mutex Mutex_;
  TimePoint WindowStart_{};
  std::uint64_t Successes_ = 0;
  std::uint64_t Failures_ = 0;
};

} // namespace marigold::node
