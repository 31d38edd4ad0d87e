#pragma once

#include "Schema/generated/Metrics.h"
#include "Support/Clock.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace marigold {

/// Label values of one series, empty where the metric has no such label.
using MetricLabels = std::array<std::string, MaxMetricLabels>;

/// Quantiles of a summary, estimated by the P-square algorithm.
inline constexpr std::array<double, 4> SummaryQuantiles{0.5, 0.9, 0.99, 0.999};

/// All metrics of one process. Each family has its own lock. A counter's
/// reference stays valid as long as the registry, so that a hot path can keep
/// it and pay no look-up.
class MetricsRegistry {
public:
  MetricsRegistry();

  /// The counter or gauge with these labels, created at zero.
  std::atomic<std::int64_t> &value(Metric Which, std::string_view First = {},
                                   std::string_view Second = {});

  /// Adds to a counter.
  void add(Metric Which, std::int64_t Amount = 1, std::string_view First = {},
           std::string_view Second = {});

  /// Sets a gauge.
  void set(Metric Which, std::int64_t Amount, std::string_view First = {},
           std::string_view Second = {});

  /// Adds a sample to a summary whose unit is seconds.
  void observe(Metric Which, Duration Sample, std::string_view First = {});

  /// Sum of a counter or gauge over all its labels.
  std::int64_t total(Metric Which) const;

  /// All series in the text exposition format; every name has the prefix
  /// marigold_.
  std::string render() const;

private:
  using Summary = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;
  struct Family {
    mutable std::mutex Mutex_;
    std::map<MetricLabels, std::atomic<std::int64_t>> Values_;
    std::map<MetricLabels, Summary> Summaries_;
  };

  Family &family(Metric Which);

  std::array<std::unique_ptr<Family>, MetricCount> Families_;
};

} // namespace marigold
