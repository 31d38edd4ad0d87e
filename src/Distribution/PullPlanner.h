#pragma once

#include "Distribution/VersionStore.h"
#include "Support/Backoff.h"
#include "Support/Random.h"

#include <optional>
#include <vector>

namespace marigold::distribution {

/// A pull to start: send Request_ to Peer_ over TCP, offer the answer to the
/// store, then call PullPlanner::onPulled.
struct Pull {
  /// Peer that announced the version.
  HostId Peer_;
  /// Request; asks for the whole snapshot after a delta failed.
  SyncRequest Request_;
};

/// Schedules pulls so that each version, and each change of the target list, is
/// pulled only once. One pull runs at a time; other peers that announced
/// something newer than this node's state are kept as candidates in case it
/// fails.
class PullPlanner {
public:
  /// Store must outlive the planner.
  PullPlanner(const VersionStore &Store, Random Rng);

  /// Reports the state that a peer sent in a probe, answer or advert.
  /// ListRevision is the revision of the target list that this node has.
  void onSummary(const HostId &Peer, const NodeSummary &Summary, TimePoint Now,
                 std::uint64_t ListRevision = 0);

  /// Returns a pull that is due, if any.
  std::optional<Pull> tick(TimePoint Now, std::uint64_t ListRevision = 0);

  /// Reports the end of a pull with the result of VersionStore::offerReply or a
  /// connection error.
  void onPulled(const HostId &Peer, const Result<void> &Outcome, TimePoint Now);

  /// Number of summaries with the current version but a different digest.
  std::uint64_t conflicts() const { return Conflicts_; }

private:
  struct Candidate {
    HostId Peer_;
    ConfigVersion Version_;
    std::uint64_t ListRevision_ = 0;
    bool Whole_ = false;
  };

  bool isNewer(const Candidate &Known, std::uint64_t ListRevision) const;

  static constexpr std::size_t MaxCandidates_ = 8;
  static constexpr Duration Timeout_ = std::chrono::seconds(5);

  const VersionStore &Store_;
  Random Rng_;
  Backoff Backoff_;
  std::vector<Candidate> Candidates_;
  std::optional<Candidate> Running_;
  TimePoint Deadline_;
  TimePoint NotBefore_;
  std::uint64_t Conflicts_ = 0;
};

} // namespace marigold::distribution
