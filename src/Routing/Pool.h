#pragma once

#include "Routing/ChoiceStrategy.h"
#include "Routing/HostLoad.h"
#include "Routing/HostWork.h"
#include "Routing/OutlierDetector.h"
#include "Routing/Subset.h"
#include "Schema/generated/Errors.h"
#include "Schema/generated/Messages.h"
#include "Support/Clock.h"
#include "Support/Digest.h"
#include "Support/Random.h"
#include "Support/Result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigold::routing {

/// When costs are times, from the expected work of each host (setting
/// placement): if hosts report their slowdown, always, or never.
enum class Placement : std::uint8_t { Reported, Always, Off };

/// Parameters of a pool.
struct PoolSettings {
  /// Location of this node.
  NodeLocation Own_;
  /// Number of hosts to which this node sends calls (setting subset).
  std::size_t Subset_ = 12;
  /// Number of slots of one target (ServiceConfig::Slots_).
  std::uint32_t Slots_ = 10;
  /// Time in which the share of calls to a new host grows to the full share
  /// (ServiceConfig::SlowStart_).
  Duration SlowStart_ = std::chrono::seconds(10);
  OutlierSettings Outliers_;
  Placement Placement_ = Placement::Reported;
};

/// Properties of a request that restrict the choice of a host.
struct CallContext {
  /// Hosts already tried for this request.
  std::span<const HostId> Excluded_;
  /// Kind of request, for its expected run time.
  std::uint32_t Kind_ = 0;
};

/// Result of a call to a host.
struct CallSample {
  /// Reason of the failure; nullopt after a complete answer. ConnectionFailed
  /// or TargetDown if the connection could not be opened.
  std::optional<ErrorCode> Error_;
  /// The answer was complete but its HTTP status was 500 or above.
  bool ServerError_ = false;
  /// Time from sending the call to the end of the answer. Ignored for calls
  /// without a complete answer.
  Duration Latency_{};
  /// Load report received with the answer or refusal.
  std::optional<LoadReport> Load_;
  /// Kind of request.
  std::uint32_t Kind_ = 0;
  /// Time that the target took; zero if unknown.
  Duration ServiceTime_{};
};

/// State of a host in the pool, for status output and tests.
struct HostView {
  HostId Id_;
  HostState State_ = HostState::Gone;
  bool Member_ = false;
  bool Ejected_ = false;
  std::uint32_t Outstanding_ = 0;
  double Weight_ = 1;
};

/// Hosts of one service as seen by one node. Hosts that are dead, draining,
/// gone or starting get no calls. The others form three groups in order of
/// preference: ready hosts of the subset, other ready hosts, and suspect or
/// ejected hosts. A host is chosen from the first group that has one that is
/// not excluded.
class Pool {
public:
  /// Strategy must not be null.
  Pool(PoolSettings Settings, std::unique_ptr<ChoiceStrategy> Strategy);

  /// Replaces the hosts. A host that remains keeps its load and its record of
  /// failures unless its incarnation has changed. New hosts and new
  /// incarnations go through slow start, but not the hosts of the first call,
  /// because it is unknown how long they have been running.
  void setHosts(std::vector<HostRecord> Hosts, TimePoint Now);

  /// Adds or updates one host. A record that is not newer than the current one
  /// is ignored.
  void updateHost(const HostRecord &Host, TimePoint Now);

  /// Applies changed configuration values.
  void configure(std::uint32_t Slots, Duration SlowStart);

  /// Picks a host and counts the call as outstanding. The caller must report
  /// its end with exactly one onResult. Fails with NoTarget if no host can take
  /// the call.
  Result<HostId> choose(const CallContext &Context, TimePoint Now, Random &Rng);

  /// Counts a call to a host that was not picked by choose, such as the owner
  /// of an idempotency key. Returns false if the host is not in the pool, dead
  /// or gone.
  bool startCall(HostId Id, TimePoint Now);

  /// Records the end of a call. After a refusal with Draining the host gets no
  /// calls until its record changes, but for at most 5 s. A host that is no
  /// longer in the pool is ignored.
  void onResult(HostId Id, const CallSample &Sample, TimePoint Now);

  /// Longest expected wait with which a request is offered to the last host in
  /// Tried, because another host may be better; zero for no limit. Answers
  /// this load pattern: several nodes choose the same host on reports of the
  /// same age, while others have free slots.
  Duration offerBound(std::span<const HostId> Tried, Duration Objective,
                      TimePoint Now) const;

  /// Whether the pool has a ready host that is not ejected.
  bool hasUsableHost(TimePoint Now) const;

  /// Hosts of the subset, in no particular order. Idle connections to other
  /// hosts can be closed.
  std::vector<HostId> members() const;

  /// State of each host, for status output and tests.
  std::vector<HostView> view(TimePoint Now) const;

  /// Number of hosts in any state.
  std::size_t size() const { return Records_.size(); }

private:
  struct Entry {
    Locality Locality_ = Locality::Remote;
    bool Member_ = false;
    /// Time until which a refusal with Draining keeps the host from being
    /// chosen; a newer record clears it.
    TimePoint DrainingUntil_;
    /// Beginning of slow start; nullopt for hosts of the initial list.
    std::optional<TimePoint> SlowStartFrom_;
    HostLoad Load_;
    HostWork Work_;
    OutlierRecord Outliers_;

    bool refusedDraining(TimePoint Now) const { return Now < DrainingUntil_; }
  };

  enum class Group : std::uint8_t { Member, Other, LastResort, None };

  Group groupOf(std::size_t Index, TimePoint Now) const;
  double weightOf(const Entry &Host, TimePoint Now) const;
  /// Describes a host for the strategy. Cost_ is only set to the latency
  /// relative to the typical one; setCosts completes it.
  Candidate candidate(std::size_t Index, TimePoint Now) const;
  /// Computes the final costs, which depend on all candidates.
  void setCosts();
  bool placesByTime() const;
  /// Sets the costs to the expected time to the end of a request of a kind with
  /// the given mean run time, and the utilizations relative to the mean cost.
  void setTimeCosts(Duration KindMean, TimePoint Now);
  void rebuild(TimePoint Now);
  static void merge(const HostRecord &Old, const HostRecord &New, Entry &Host,
                    TimePoint Now);
  void recordFailure(std::size_t Index, bool Hard, TimePoint Now);
  void compareRatios(TimePoint Now);
  void eject(std::size_t Index, TimePoint Now);

  PoolSettings Settings_;
  std::unique_ptr<ChoiceStrategy> Strategy_;
  std::vector<HostRecord> Records_;
  /// Parallel to Records_.
  std::vector<Entry> Entries_;
  std::unordered_map<HostId, std::size_t, HostIdHash> Positions_;
  std::vector<std::size_t> Members_;
  /// Reused by all choices to avoid allocations.
  std::vector<Candidate> Candidates_;
  /// Moving average of the latencies of all hosts; zero before the first
  /// sample.
  Duration TypicalLatency_{};
  KindTimes KindTimes_;
  /// Whether any host has reported its slowdown.
  bool SlowdownReported_ = false;
  std::optional<TimePoint> WindowStart_;
  bool HadHosts_ = false;
};

} // namespace marigold::routing
