#pragma once

#include "Burn/Exposition.h"
#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marigold::burn {

/// Objectives of all services by name.
using Objectives = std::map<std::string, ServiceObjective>;

/// Answer of one node to a scrape, or the lack of one.
struct NodeSample {
  /// Admin address of the node.
  std::string Node_;
  /// Failure domain that the node stated, empty when it never answered.
  std::string FailureDomain_;
  /// Series of the node, nothing when it did not answer.
  std::optional<std::vector<Series>> Series_;
};

/// Calls of one window that count for or against the objectives.
struct CallCounts {
  /// Calls that ended.
  double Calls_ = 0;
  /// Calls without an answer of the target.
  double Failed_ = 0;
  /// Answered calls beyond the latency bound.
  double Slow_ = 0;
};

/// Burn of one service over one window. A burn rate of 1 spends exactly the
/// budget of the objective; a higher one spends it faster.
struct WindowBurn {
  /// Time actually covered by samples, at most the window.
  Duration Covered_{};
  /// Counts over the window.
  CallCounts Counts_;
  /// Burn rate of the availability objective; nothing without calls.
  std::optional<double> AvailabilityRate_;
  /// Burn rate of the latency objective; nothing without answered calls.
  std::optional<double> LatencyRate_;
};

/// Share of one failure domain and outcome in the failed calls of a service.
struct FailureCause {
  /// Failure domain of the node that took the calls.
  std::string FailureDomain_;
  /// Outcome text, or "slow" for answers beyond the latency bound.
  std::string Outcome_;
  /// Calls.
  double Calls_ = 0;
};

/// Whether the figures of a service can be trusted.
enum class DataState : std::uint8_t {
  /// Every node answered in the latest scrape and the service had calls.
  Complete,
  /// At least one node is missing; the figures cover the others.
  Partial,
  /// No sample covers the service.
  Missing
};

/// Report of one service.
struct ServiceBurn {
  /// Service.
  std::string Service_;
  /// Objective.
  ServiceObjective Objective_;
  /// Trust in the figures.
  DataState State_ = DataState::Missing;
  /// Burn over the short window.
  WindowBurn FastWindow_;
  /// Burn over the long window.
  WindowBurn SlowWindow_;
  /// Fraction of the budget left in the long window; negative when
  /// overspent. The smaller one of availability and latency.
  std::optional<double> BudgetLeft_;
  /// Causes in the long window, largest first.
  std::vector<FailureCause> Causes_;
};

/// Burn of all services at one moment.
struct BurnReport {
  /// Services in the order of their names.
  std::vector<ServiceBurn> Services_;
  /// Nodes that did not answer the latest scrape.
  std::vector<std::string> MissingNodes_;
};

/// Lower-case name of the state.
std::string_view toText(DataState State);

/// Keeps differences of scraped counters and computes burn over windows. A
/// counter that falls was reset by a restart of its node and counts from zero.
class BurnCalculator {
public:
  /// Samples older than Retention are dropped.
  BurnCalculator(Objectives Targets, Duration Retention)
      : Objectives_(std::move(Targets)), Retention_(Retention) {}

  /// Adds the answers of one round of scrapes taken at Now.
  void addScrape(const std::vector<NodeSample> &Samples, TimePoint Now);

  /// Burn over the last FastWindow and SlowWindow before Now.
  BurnReport report(Duration FastWindow, Duration SlowWindow,
                    TimePoint Now) const;

private:
  /// Service, failure domain and outcome.
  struct CountKey {
    std::string Service_;
    std::string FailureDomain_;
    std::string Outcome_;
    // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
    auto operator<=>(const CountKey &) const = default;
  };
  using Counts = std::map<CountKey, double>;
  /// Increments between two scrapes.
  struct Interval {
    TimePoint From_;
    TimePoint To_;
    Counts Increments_;
  };

  void addNode(const NodeSample &Sample, Counts &Increments);
  Counts sumSince(TimePoint Start) const;
  WindowBurn window(const std::string &Service,
                    const ServiceObjective &Objective, Duration Length,
                    TimePoint Now) const;
  DataState dataState(const std::string &Service) const;

  Objectives Objectives_;
  Duration Retention_;
  std::deque<Interval> Intervals_;
  std::optional<TimePoint> LastScrape_;
  /// Latest counter values by node, to form differences.
  std::map<std::string, Counts> PreviousCounts_;
  std::vector<std::string> MissingNodes_;
  std::set<std::string> SeenServices_;
};

} // namespace marigold::burn
