#pragma once

#include "Support/Clock.h"
#include "Support/Metrics.h"

#include <cstdint>
#include <mutex>

namespace marigold::node {

/// Bounds the log lines on calls. Calls that succeeded and calls that failed
/// have budgets of their own, so that a flood of successes does not hide the
/// failures. What is left out is counted in log_lines_dropped_total.
class CallLogLimiter {
public:
  /// Rate is setting call-log-rate.
  CallLogLimiter(MetricsRegistry &Metrics, std::uint64_t Rate)
      : Rate_(Rate),
        Dropped_(Metrics.value(Metric::LogLinesDroppedTotal, "rate")) {}

  /// Whether a line on a call may be written now. Any thread.
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
