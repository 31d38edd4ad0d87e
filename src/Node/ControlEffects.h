#pragma once

#include "Distribution/SourceReader.h"
#include "Schema/generated/Messages.h"
#include "Support/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marigold::node {

/// Purpose of a control message, used as the label "kind" of the metrics that
/// count control bytes.
enum class ControlTraffic : std::uint8_t {
  Probe,
  Advert,
  Notice,
  Sync,
  Source
};

/// Returns the metric label of a purpose.
std::string_view toText(ControlTraffic Kind);

struct OutgoingDatagram {
  HostId To_;
  ControlTraffic Kind_ = ControlTraffic::Probe;
  /// Type byte followed by the encoded message.
  std::string Data_;
};

/// A request to send to a peer over TCP. Pass the reply to
/// ControlCore::onSyncReply and a failure to ControlCore::onSyncFailed.
struct OutgoingSync {
  HostId To_;
  SyncRequest Request_;
};

/// Adoption of a configuration version, for log and metrics.
struct AdoptedEvent {
  ConfigVersion Version_;
};

/// Refusal of a configuration version, for log and metrics.
struct RefusedEvent {
  ConfigVersion Version_;
  Failure Cause_;
};

/// Change of a host's state, for log and metrics.
struct HostEvent {
  HostRecord Record_;
  /// Whether this node itself suspected the host or declared it dead.
  bool DetectedLocally_ = false;
};

/// Change of this node's role in reading the source, for log and metrics.
struct SourceRoleEvent {
  distribution::SourceRole Role_ = distribution::SourceRole::None;
  /// Age of the last confirmation by the source, on which the change is based.
  std::chrono::milliseconds ConfirmationAge_{};
};

/// Read of the target list from the source, for log and metrics.
struct TargetListEvent {
  std::size_t Targets_ = 0;
  std::size_t Unusable_ = 0;
  /// Revision of the list, and the one that this node had.
  std::uint64_t Revision_ = 0;
  std::uint64_t Held_ = 0;
  /// Whether the list was taken. One of an earlier revision is not.
  bool Taken_ = false;
};

/// Begin or end of the evacuation of a failure domain, for log and metrics.
struct EvacuationEvent {
  std::string FailureDomain_;
  bool Begins_ = false;
  /// Revision of the source of which this node learned it.
  std::uint64_t Revision_ = 0;
};

/// Effects that ControlCore requests. ControlPlane applies them after it has
/// released its lock.
struct ControlEffects {
  std::vector<OutgoingDatagram> Datagrams_;
  std::vector<OutgoingSync> Syncs_;
  distribution::SourceActions Source_;
  /// Whether to read the host lists of all failure domains; set when bootstrap
  /// found no live peer.
  bool ReadAllHosts_ = false;
  /// This node's changed host record, to send to all nodes that are connected
  /// to it.
  std::vector<HostStateNotice> Broadcasts_;
  /// Peers whose call connections must be closed.
  std::vector<HostId> ConnectionsToDrop_;
  std::vector<AdoptedEvent> Adopted_;
  std::vector<RefusedEvent> Refused_;
  std::vector<HostEvent> Hosts_;
  /// Nodes of this node's service that have started and are to be told which
  /// requests are held back.
  std::vector<HostId> StartedPeers_;
  /// One entry when bootstrap completes: true if no peer held a version.
  std::vector<bool> BootstrapDone_;
  /// Whether ControlCore::ownTarget() changed.
  bool OwnTargetChanged_ = false;
  std::optional<SourceRoleEvent> SourceRole_;
  /// Whether a later revision of the target list was merged from a peer. The
  /// next read of the source must continue from that revision.
  bool TargetsMerged_ = false;
  std::optional<TargetListEvent> TargetList_;
  std::vector<EvacuationEvent> Evacuations_;
  /// Lengths of the pauses of the process that were detected.
  std::vector<Duration> Pauses_;
  /// Round-trip times of probes that were answered.
  std::vector<std::pair<HostId, Duration>> RoundTrips_;
  /// Whether the incarnation in this node's host record had to be raised.
  bool IncarnationRaised_ = false;
};

} // namespace marigold::node
