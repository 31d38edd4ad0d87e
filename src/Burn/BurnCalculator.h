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

/// Service-level objectives by service name.
using Objectives = std::map<std::string, ServiceObjective>;

/// Result of scraping one node.
struct NodeSample {
  /// Admin address of the node.
  std::string Node_;
  /// Failure domain of the node; empty if unknown.
  std::string FailureDomain_;
  /// Metric series of the node; nothing if the scrape failed.
  std::optional<std::vector<Series>> Series_;
};

/// Calls in one window that are relevant for the objectives.
struct CallCounts {
  /// Finished calls.
  double Calls_ = 0;
  /// Calls that the target did not answer.
  double Failed_ = 0;
  /// Answered calls that exceeded the latency objective.
  double Slow_ = 0;
};

/// Error budget burn of one service over one window. A burn rate of 1 consumes
/// exactly the error budget over the window; a higher rate consumes it faster.
struct WindowBurn {
  /// Time covered by samples; at most the length of the window.
  Duration Covered_{};
  /// Calls in the window.
  CallCounts Counts_;
  /// Burn rate of the availability objective; nothing if there were no calls.
  std::optional<double> AvailabilityRate_;
  /// Burn rate of the latency objective; nothing if no call was answered.
  std::optional<double> LatencyRate_;
};

/// Number of failed or slow calls of a service with one outcome in one failure
/// domain.
struct FailureCause {
  /// Failure domain of the node that counted the calls.
  std::string FailureDomain_;
  /// Outcome text, or "slow" for answered calls that exceeded the latency
  /// objective.
  std::string Outcome_;
  double Calls_ = 0;
};

/// Completeness of the data on a service.
enum class DataState : std::uint8_t {
  /// Every node answered the latest scrape and the service's metrics were seen.
  Complete,
  /// At least one node did not answer; the figures cover only the others.
  Partial,
  /// The service was in no sample, or fewer than two scrapes are available.
  Missing
};

/// Burn report of one service.
struct ServiceBurn {
  std::string Service_;
  ServiceObjective Objective_;
  /// Completeness of the figures.
  DataState State_ = DataState::Missing;
  /// Burn over the short window.
  WindowBurn FastWindow_;
  /// Burn over the long window.
  WindowBurn SlowWindow_;
  /// Remaining fraction of the error budget over the long window, for the
  /// objective with the smaller remainder; negative if the budget is exceeded.
  std::optional<double> BudgetLeft_;
  /// Causes in the long window, ordered by descending number of calls.
  std::vector<FailureCause> Causes_;
};

/// Burn of all services at one point in time.
struct BurnReport {
  /// Services, ordered by name.
  std::vector<ServiceBurn> Services_;
  /// Nodes that did not answer the latest scrape.
  std::vector<std::string> MissingNodes_;
};

/// Lower-case name of the state.
std::string_view toText(DataState State);

/// Stores the increments of scraped counters and computes burn rates over
/// windows. A counter that decreased was reset by a restart of its node, so its
/// whole value counts as increment.
class BurnCalculator {
public:
  /// Discards increments older than Retention.
  BurnCalculator(Objectives Targets, Duration Retention)
      : Objectives_(std::move(Targets)), Retention_(Retention) {}

  /// Adds the results of one scrape of all nodes, taken at Now.
  void addScrape(const std::vector<NodeSample> &Samples, TimePoint Now);

  /// Computes the burn over the windows of the given lengths that end at Now.
  BurnReport report(Duration FastWindow, Duration SlowWindow,
                    TimePoint Now) const;

private:
  struct CountKey {
    std::string Service_;
    std::string FailureDomain_;
    std::string Outcome_;
    // clang-tidy 14 mistakes the 0 in the generated comparison for a null
    // pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
    auto operator<=>(const CountKey &) const = default;
  };
  using Counts = std::map<CountKey, double>;
  /// Counter increments between two scrapes.
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
  /// Counter values of the previous successful scrape, by node.
  std::map<std::string, Counts> PreviousCounts_;
  std::vector<std::string> MissingNodes_;
  std::set<std::string> SeenServices_;
};

} // namespace marigold::burn
