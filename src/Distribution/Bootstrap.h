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

/// Probe a peer (ProbeScheduler::probeAddress); its answer goes to onSummary.
struct ProbePeer {
  /// Peer.
  HostId Peer_;
};

/// Pull a version from a peer by SyncRequest and offer it to the store; then
/// call onPulled.
struct PullVersion {
  /// Peer.
  HostId Peer_;
};

/// Fetch the text from the source, parse it and call onSourceText.
struct ReadSource {};

/// The node holds a complete version and may take calls.
struct BootstrapDone {
  /// No peer held a version; to be counted in bootstrap_source_only_total.
  bool SourceOnly_ = false;
};

/// What the caller has to do.
using BootstrapAction =
    std::variant<ProbePeer, PullVersion, ReadSource, BootstrapDone>;

/// List of actions.
using BootstrapActions = std::vector<BootstrapAction>;

/// Times and limits of a start.
struct BootstrapOptions {
  /// Setting bootstrap-grace.
  Duration Grace_ = std::chrono::seconds(2);
  /// Setting restart-spread.
  Duration RestartSpread_ = std::chrono::seconds(10);
  /// Answers that are enough, and the failure domains they come from.
  std::size_t Answers_ = 3;
  std::size_t FailureDomains_ = 2;
  /// Time between two rounds of questions during the grace, and afterwards.
  Duration AskInterval_ = std::chrono::milliseconds(250);
  Duration LaterAskInterval_ = std::chrono::seconds(1);
  /// Peers besides the seeds that are asked in one round. A starting node may
  /// learn of the whole fleet before it has a version; when all nodes start at
  /// once, questions to everyone would grow with the square of the fleet.
  std::size_t AskedBesidesSeeds_ = 8;
  /// Longest wait for a pull.
  Duration PullTimeout_ = std::chrono::seconds(2);
  /// Time after its last answer for which a peer counts as reachable. While a
  /// reachable peer holds a version, no lower one is taken from the source.
  Duration Reachable_ = std::chrono::seconds(4);
  /// First and highest ceiling of the delay after a failed read.
  Duration FirstBackoff_ = std::chrono::milliseconds(500);
  Duration MaxBackoff_ = std::chrono::seconds(30);
};

/// Start of a node: peers are asked before the source is trusted, so that a
/// restarted node does not go back to an older version when the source is
/// stale. The highest version of any answer is taken. Without a version at any
/// peer the source is read at a random moment of the restart spread.
class Bootstrap {
public:
  /// Peers are the seeds without this node itself. Store must outlive it.
  Bootstrap(VersionStore &Store, std::vector<HostId> Peers,
            BootstrapOptions Options, Random Rng, TimePoint Now);

  /// Another peer that became known, for example from an answer.
  void addPeer(const HostId &Peer);

  /// Actions that are due.
  BootstrapActions tick(TimePoint Now);

  /// A peer told its state by an answer, probe or advert.
  void onSummary(const HostId &Peer, std::string_view FailureDomain,
                 const NodeSummary &Summary, TimePoint Now);

  /// The pull from a peer ended; Ok when its answer was complete and valid.
  void onPulled(const HostId &Peer, bool Ok, TimePoint Now);

  /// The source answered with a valid snapshot, or null after a failure or a
  /// refused text. It is offered to the store once the peers were asked.
  void onSourceText(const config::SnapshotPointer &Offered, TimePoint Now);

  /// Whether the node holds a complete version and may take calls.
  bool isDone() const { return Done_; }

private:
  struct PeerState {
    bool IsSeed_ = false;
    std::optional<TimePoint> AnsweredAt_;
    std::string FailureDomain_;
    ConfigVersion Version_;
    bool PullFailed_ = false;
  };

  bool peersAsked(TimePoint Now) const;
  bool enoughAnswers() const;
  bool isReachable(const PeerState &Peer, TimePoint Now) const;
  ConfigVersion highestOfPeers(TimePoint Now) const;
  std::optional<HostId> pullCandidate(TimePoint Now);
  bool adoptFromSource(TimePoint Now);
  void askPeers(TimePoint Now, BootstrapActions &Out);
  std::vector<HostId> peersToAsk();
  void planSource(TimePoint Now, BootstrapActions &Out);

  VersionStore &Store_;
  BootstrapOptions Options_;
  Random Rng_;
  Backoff Backoff_;
  std::map<HostId, PeerState> Peers_;
  TimePoint Start_;
  TimePoint NextAsk_;
  TimePoint SourceAt_;
  TimePoint PullDeadline_;
  std::optional<HostId> Pulling_;
  bool SourceRunning_ = false;
  config::SnapshotPointer FromSource_;
  bool Done_ = false;
};

} // namespace marigold::distribution
