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

/// Label values of one series. Values of labels that the metric does not have
/// are empty.
using MetricLabels = std::array<std::string, MaxMetricLabels>;

/// Upper bounds of the histogram buckets in seconds. They range from below the
/// 0.72 ms that a node may add to a call to the longest usual deadline.
inline constexpr std::array<double, 14> HistogramBounds{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.25,  0.5,    1,     2.5,  5,     10};

/// Maximum number of label combinations of one histogram. Further ones are
/// counted under OtherLabel, which bounds the memory for a configuration with
/// many routes.
inline constexpr std::size_t MaxHistogramSeries = 100;
inline constexpr std::string_view OtherLabel = "other";

/// All metrics of one process. Each metric family has its own lock. References
/// returned by value stay valid for the lifetime of the registry, so that hot
/// paths can keep them and avoid the lookup.
class MetricsRegistry {
public:
  MetricsRegistry();

  /// Returns the counter or gauge with these labels. Creates it with value zero
  /// if it does not exist.
  std::atomic<std::int64_t> &value(Metric Which, std::string_view First = {},
                                   std::string_view Second = {});

  /// Adds to a counter.
  void add(Metric Which, std::int64_t Amount = 1, std::string_view First = {},
           std::string_view Second = {});

  /// Sets a gauge.
  void set(Metric Which, std::int64_t Amount, std::string_view First = {},
           std::string_view Second = {});

  /// Adds a sample to a histogram. Histograms are exported in seconds.
  void observe(Metric Which, Duration Sample, std::string_view First = {},
               std::string_view Second = {});

  /// Returns the sum of a counter or gauge over all its label values.
  std::int64_t total(Metric Which) const;

  /// Renders all series in the Prometheus text exposition format. All names get
  /// the prefix marigold_.
  std::string render() const;

private:
  struct Histogram {
    /// Number of samples per bucket. The last bucket holds the samples above
    /// all bounds.
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
