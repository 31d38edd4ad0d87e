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
  /// Peer that has the version.
  HostId Peer_;
  /// Request; asks for the whole snapshot after a delta failed.
  SyncRequest Request_;
};

/// Pulls each version, and each change of the list of targets, once: one pull
/// runs at a time, further peers that have the news are kept for the case that
/// it fails.
class PullPlanner {
public:
  /// Store must outlive it.
  PullPlanner(const VersionStore &Store, Random Rng);

  /// A peer told its state by probe, answer or advert. Listed is the revision
  /// of the list of targets held.
  void onSummary(const HostId &Peer, const NodeSummary &Summary, TimePoint Now,
                 std::uint64_t Listed = 0);

  /// A pull that is due, if any.
  std::optional<Pull> tick(TimePoint Now, std::uint64_t Listed = 0);

  /// The pull ended with the result of VersionStore::offerReply, or with an
  /// error of the connection.
  void onPulled(const HostId &Peer, const Result<void> &Outcome, TimePoint Now);

  /// Summaries with the held version but another digest.
  std::uint64_t conflicts() const { return Conflicts_; }

private:
  struct Candidate {
    HostId Peer_;
    ConfigVersion Version_;
    std::uint64_t Listed_ = 0;
    bool Whole_ = false;
  };

  bool isNews(const Candidate &Known, std::uint64_t Listed) const;

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
