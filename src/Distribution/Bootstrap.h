#pragma once

#include "Distribution/VersionStore.h"
#include "Support/Backoff.h"
#include "Support/Random.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marigold::distribution {

/// Probe a peer by ProbeScheduler::probeAddress and pass its answer to
/// onSummary.
struct ProbePeer {
  HostId Peer_;
};

/// Pull a version from a peer by SyncRequest, offer it to the store, then call
/// onPulled.
struct PullVersion {
  HostId Peer_;
};

/// Fetch the configuration text from the source, parse it and call
/// onSourceText.
struct ReadSource {};

/// The node has a complete version and may accept calls.
struct BootstrapDone {
  /// No peer had a version; counted in bootstrap_source_only_total.
  bool SourceOnly_ = false;
};

/// An action that the caller of Bootstrap must carry out.
using BootstrapAction =
    std::variant<ProbePeer, PullVersion, ReadSource, BootstrapDone>;

using BootstrapActions = std::vector<BootstrapAction>;

/// Timing and limits of the bootstrap of a node.
struct BootstrapOptions {
  /// Setting bootstrap-grace.
  Duration Grace_ = std::chrono::seconds(2);
  /// Setting restart-spread.
  Duration RestartSpread_ = std::chrono::seconds(10);
  /// Number of answers that suffice, and the number of failure domains they
  /// must come from.
  std::size_t MinAnswers_ = 3;
  std::size_t MinFailureDomains_ = 2;
  /// Time between two rounds of probes, during the grace period and after it.
  Duration ProbeInterval_ = std::chrono::milliseconds(250);
  Duration LaterProbeInterval_ = std::chrono::seconds(1);
  /// Number of peers probed per round in addition to the seeds. A starting node
  /// may learn of the whole fleet before it has a version. If all nodes start
  /// at the same time, probing every peer would cost traffic quadratic in the
  /// size of the fleet.
  std::size_t ExtraPeersPerRound_ = 8;
  /// Time after which a pull counts as failed.
  Duration PullTimeout_ = std::chrono::seconds(2);
  /// Time after its last answer for which a peer counts as reachable. While a
  /// reachable peer has a version, no lower version is adopted from the source.
  Duration ReachabilityTimeout_ = std::chrono::seconds(4);
  /// First and highest upper bound of the random delay after a failed read of
  /// the source.
  Duration FirstBackoff_ = std::chrono::milliseconds(500);
  Duration MaxBackoff_ = std::chrono::seconds(30);
};

/// Acquires the first configuration version after the start of a node. Peers
/// are asked before the source, so that a restarted node does not return to an
/// older version when the source is stale. The highest version among the
/// answers is adopted. If no peer has a version, the source is read at a random
/// time within the setting restart-spread.
class Bootstrap {
public:
  /// Peers contains the seeds without this node itself. Store must outlive the
  /// bootstrap.
  Bootstrap(VersionStore &Store, std::vector<HostId> Peers,
            BootstrapOptions Options, Random Rng, TimePoint Now);

  /// Adds a peer learned of during the bootstrap, for example from an answer.
  void addPeer(const HostId &Peer);

  /// Returns the actions that are due.
  BootstrapActions tick(TimePoint Now);

  /// Reports the state that a peer sent in an answer, probe or advert.
  void onSummary(const HostId &Peer, std::string_view FailureDomain,
                 const NodeSummary &Summary, TimePoint Now);

  /// Reports the end of a pull from a peer. Ok states that the answer was
  /// complete and valid.
  void onPulled(const HostId &Peer, bool Ok, TimePoint Now);

  /// Reports a valid snapshot from the source, or null after a failed read or a
  /// refused text. The snapshot is offered to the store once the peers have
  /// been asked.
  void onSourceText(const config::SnapshotPointer &Offered, TimePoint Now);

  /// Returns whether the node has a complete version and may accept calls.
  bool isDone() const { return Done_; }

private:
  struct PeerState {
    bool IsSeed_ = false;
    std::optional<TimePoint> AnsweredAt_;
    std::string FailureDomain_;
    ConfigVersion Version_;
    bool PullFailed_ = false;
  };

  bool peersConsulted(TimePoint Now) const;
  bool enoughAnswers() const;
  bool isReachable(const PeerState &Peer, TimePoint Now) const;
  ConfigVersion highestOfPeers(TimePoint Now) const;
  std::optional<HostId> pullCandidate(TimePoint Now);
  bool adoptFromSource(TimePoint Now);
  void probePeers(TimePoint Now, BootstrapActions &Out);
  std::vector<HostId> peersToProbe();
  void readSourceIfDue(TimePoint Now, BootstrapActions &Out);

  VersionStore &Store_;
  BootstrapOptions Options_;
  Random Rng_;
  Backoff Backoff_;
  std::map<HostId, PeerState> Peers_;
  TimePoint Start_;
  TimePoint NextProbeRound_;
  TimePoint NextSourceRead_;
  TimePoint PullDeadline_;
  std::optional<HostId> PullPeer_;
  bool SourceReadRunning_ = false;
  config::SnapshotPointer SourceSnapshot_;
  bool Done_ = false;
};

} // namespace marigold::distribution
