#pragma once

#include "Admission/AdmissionControl.h"
#include "Support/Random.h"

#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace marigold::admission {

/// One kind of request in a simulated load.
struct LoadKind {
  /// Requests per second.
  double Rate_ = 0;
  /// Mean run time; single runs vary by up to half of it.
  Duration Work_{};
  Duration Objective_{};
  Duration Limit_{};
  Priority Priority_ = Priority::Normal;
  /// Whether a caller whose request is refused sends it once more at the time
  /// that the node names.
  bool Returns_ = false;
};

/// Counts of the requests of one kind by their final result.
struct LoadResult {
  int Offered_ = 0;
  int Timely_ = 0;
  int Late_ = 0;
  int Refused_ = 0;
  /// Maximum time from the arrival of a request to its refusal.
  Duration LongestWaitToRefusal_{};
};

/// Discrete-event simulation of one target's node: random arrivals pass through
/// AdmissionControl, and the target runs every request that is admitted.
class LoadSimulation {
public:
  LoadSimulation(AdmissionSettings Settings, std::uint64_t Seed)
      : Control_(Settings), Rng_(Seed) {}

  /// Factor applied to the time of a run, given its start as the time since
  /// the beginning of the simulation.
  std::function<double(Duration)> Slowdown_ = [](Duration) { return 1.0; };

  std::vector<LoadResult> run(const std::vector<LoadKind> &Kinds,
                              Duration Length);

private:
  struct Request {
    std::size_t Kind_;
    TimePoint Arrival_;
    TimePoint Objective_;
    TimePoint Deadline_;
    Duration Work_;
    TimePoint Started_{};
    bool Returned_ = false;
  };
  struct Event {
    TimePoint At_;
    std::uint64_t Id_;
    bool Ends_;
    bool operator>(const Event &Other) const { return At_ > Other.At_; }
  };

  void arrive(std::uint64_t Id, TimePoint Now);
  void end(std::uint64_t Id, TimePoint Now);
  void start(std::uint64_t Id, TimePoint Now);
  void refuse(std::uint64_t Id, TimePoint Now);
  void apply(const AdmissionActions &Actions, TimePoint Now);

  AdmissionControl Control_;
  Random Rng_;
  const TimePoint Begin_{std::chrono::hours(1)};
  std::map<std::uint64_t, Request> Requests_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::vector<LoadKind> Kinds_;
  std::vector<LoadResult> Results_;
};

} // namespace marigold::admission
