#pragma once

#include "Admission/AdmissionControl.h"
#include "Support/Random.h"

#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace marigold::admission {

/// One kind of requests in a replayed load.
struct LoadKind {
  /// Requests a second.
  double Rate_ = 0;
  /// Mean time of a run; single runs vary by half of it.
  Duration Work_{};
  Duration Objective_{};
  Duration Limit_{};
  Priority Priority_ = Priority::Normal;
};

/// What became of the requests of one kind.
struct LoadResult {
  int Offered_ = 0;
  int Timely_ = 0;
  int Late_ = 0;
  int Refused_ = 0;
  /// Longest time from arrival to a refusal.
  Duration LongestWaitToRefusal_{};
};

/// Replays arrivals against the decisions of one target's node, with a target
/// that runs what it is given. Time is simulated.
class LoadSimulation {
public:
  LoadSimulation(AdmissionSettings Settings, std::uint64_t Seed)
      : Control_(Settings), Rng_(Seed) {}

  /// Factor on the work of runs that start at a time since the begin.
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
