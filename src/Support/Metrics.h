#pragma once

#include "Schema/generated/Metrics.h"
#include "Support/Clock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace marigold {

/// Label values of one series, empty where the metric has no such label.
using MetricLabels = std::array<std::string, MaxMetricLabels>;

/// Upper bounds of a histogram's buckets in seconds: from below the 0.72 ms
/// that a node may add to a call up to the longest usual deadline.
inline constexpr std::array<double, 14> HistogramBounds{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.25,  0.5,    1,     2.5,  5,     10};

/// Most label values of one histogram. Samples beyond count under OtherLabel,
/// so that a configuration with many routes costs no more memory.
inline constexpr std::size_t MaxHistogramSeries = 100;
inline constexpr std::string_view OtherLabel = "other";

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

  /// Adds a sample to a histogram whose unit is seconds.
  void observe(Metric Which, Duration Sample, std::string_view First = {},
               std::string_view Second = {});

  /// Sum of a counter or gauge over all its labels.
  std::int64_t total(Metric Which) const;

  /// All series in the text exposition format; every name has the prefix
  /// marigold_.
  std::string render() const;

private:
  struct Histogram {
    /// Samples by bucket; the last one is for those beyond all bounds.
    std::array<std::uint64_t, HistogramBounds.size() + 1> Counts_{};
    double Sum_ = 0;
  };
  struct Family {
    mutable std::mutex Mutex_;
    std::map<MetricLabels, std::atomic<std::int64_t>> Values_;
    std::map<MetricLabels, Histogram> Histograms_;
  };

  Family &family(Metric Which);
  static void render(std::ostream &Out, const std::string &Name,
                     const MetricInfo &Info, const MetricLabels &Labels,
                     const Histogram &Samples);

  std::array<std::unique_ptr<Family>, MetricCount> Families_;
};

} // namespace marigold
