#pragma once

#include "Routing/ChoiceStrategy.h"
#include "Routing/HostLoad.h"
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

/// Parameters of a pool.
struct PoolSettings {
  /// NodeLocation of this node.
  NodeLocation Own_;
  /// Hosts to which this node sends calls (setting subset).
  std::size_t Subset_ = 12;
  /// Slots of one target (ServiceConfig::Slots_).
  std::uint32_t Slots_ = 10;
  /// Time in which the share of a fresh host grows to the full one
  /// (ServiceConfig::SlowStart_).
  Duration SlowStart_ = std::chrono::seconds(10);
  OutlierSettings Outliers_;
};

/// What a choice has to consider besides the pool's state.
struct CallContext {
  /// Hosts already tried for this request.
  std::span<const HostId> Excluded_;
};

/// How a call to a host ended.
struct CallSample {
  /// Reason of the end; nothing after a complete answer. A connection that
  /// could not be opened is ConnectionFailed or TargetDown.
  std::optional<ErrorCode> Error_;
  /// The answer was complete but its HTTP status was 500 or above.
  bool ServerError_ = false;
  /// Time from sending to the end of the answer; used for answers only.
  Duration Latency_{};
  /// Load that rode on the answer or refusal.
  std::optional<LoadReport> Load_;
};

/// How a host takes part in choices, for status and tests.
struct HostView {
  HostId Id_;
  HostState State_ = HostState::Gone;
  bool Member_ = false;
  bool Ejected_ = false;
  std::uint32_t Outstanding_ = 0;
  double Weight_ = 1;
};

/// Hosts of one service as one node sees them. Hosts that are dead, draining,
/// gone or starting take no calls. Among the rest the choice falls on the
/// first group that has a host which is not excluded: ready hosts of the
/// subset, other ready hosts, then suspect and ejected ones.
class Pool {
public:
  /// Strategy must not be null.
  Pool(PoolSettings Settings, std::unique_ptr<ChoiceStrategy> Strategy);

  /// Replaces the hosts. A host that stays keeps its load and its record of
  /// failures, unless its incarnation is new: then it starts slowly. The hosts
  /// of the first call do not, because their age is not known.
  void setHosts(std::vector<HostRecord> Hosts, TimePoint Now);

  /// Adds or updates one host. An older record than the one held is ignored.
  void updateHost(const HostRecord &Host, TimePoint Now);

  /// Applies changed figures of the configuration.
  void configure(std::uint32_t Slots, Duration SlowStart);

  /// Picks a host and counts the call as outstanding; report its end once with
  /// onResult. Fails with NoTarget.
  Result<HostId> choose(const CallContext &Context, TimePoint Now, Random &Rng);

  /// Counts a call to a host that was not chosen here, such as the owner of a
  /// key. False when the host takes no calls: it is not in the pool, or it is
  /// dead or gone.
  bool startCall(HostId Id, TimePoint Now);

  /// A call ended. A refusal with Draining takes the host out of the choice
  /// until its record changes, or for 5 s. Hosts no longer in the pool are
  /// ignored.
  void onResult(HostId Id, const CallSample &Sample, TimePoint Now);

  /// Whether a host could be chosen without use of suspect or ejected ones.
  bool hasUsableHost(TimePoint Now) const;

  /// Hosts of the subset, in no particular order; connections to others can be
  /// closed when idle.
  std::vector<HostId> members() const;

  /// State of each host, for status and tests.
  std::vector<HostView> view(TimePoint Now) const;

  /// Number of hosts in any state.
  std::size_t size() const { return Records_.size(); }

private:
  struct Entry {
    Locality Locality_ = Locality::Remote;
    bool Member_ = false;
    /// End of the effect of a refusal with Draining; a newer record clears it.
    TimePoint DrainingUntil_;
    /// Start of slow start; nothing for hosts known from the beginning.
    std::optional<TimePoint> SlowStartFrom_;
    HostLoad Load_;
    OutlierRecord Outliers_;

    bool refusedDraining(TimePoint Now) const { return Now < DrainingUntil_; }
  };

  enum class Group : std::uint8_t { Member, Other, LastResort, None };

  Group groupOf(std::size_t Index, TimePoint Now) const;
  double weightOf(const Entry &Host, TimePoint Now) const;
  /// Cost_ of the result holds the latency relative to the typical one only.
  Candidate candidate(std::size_t Index, TimePoint Now) const;
  /// Completes the costs, which depend on all candidates together.
  void setCosts();
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
  /// Reused between choices, so that a choice does not allocate.
  std::vector<Candidate> Candidates_;
  /// Moving average of latencies of all hosts; zero before the first.
  Duration TypicalLatency_{};
  std::optional<TimePoint> WindowStart_;
  bool HadHosts_ = false;
};

} // namespace marigold::routing
