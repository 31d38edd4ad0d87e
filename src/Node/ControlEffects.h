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

/// Use of a control message, the label "kind" of the control byte metrics.
enum class ControlTraffic : std::uint8_t {
  Probe,
  Advert,
  Notice,
  Sync,
  Source
};

/// Label text of a use.
std::string_view toText(ControlTraffic Kind);

/// A datagram to send.
struct OutgoingDatagram {
  HostId To_;
  ControlTraffic Kind_ = ControlTraffic::Probe;
  /// Type byte and body.
  std::string Data_;
};

/// A request to a peer over TCP. The answer or the failure goes to
/// ControlCore::onSyncReply or onSyncFailed.
struct OutgoingSync {
  HostId To_;
  SyncRequest Request_;
};

/// A version that was adopted, for the log.
struct AdoptedEvent {
  ConfigVersion Version_;
};

/// A version that was refused, for log and metrics.
struct RefusedEvent {
  ConfigVersion Version_;
  Failure Why_;
};

/// A change of a host's state, for log and metrics.
struct HostEvent {
  HostRecord Record_;
  /// This node raised the suspicion or declared the death itself.
  bool DetectedLocally_ = false;
};

/// A change of the node's role towards the source, for log and metrics.
struct SourceRoleEvent {
  distribution::SourceRole Role_ = distribution::SourceRole::None;
  /// Age of the last confirmation by the source, which decided it.
  std::chrono::milliseconds ConfirmationAge_{};
};

/// What the control plane has to do after a decision, outside its lock.
struct ControlEffects {
  std::vector<OutgoingDatagram> Datagrams_;
  std::vector<OutgoingSync> Syncs_;
  distribution::SourceActions Source_;
  /// Host lists of all failure domains are read at a start without peers.
  bool ReadAllHosts_ = false;
  /// The own record to send to all connected callers' nodes.
  std::vector<HostStateNotice> Broadcasts_;
  /// Peers whose connection is to be dropped.
  std::vector<HostId> ConnectionsToDrop_;
  std::vector<AdoptedEvent> Adopted_;
  std::vector<RefusedEvent> Refused_;
  std::vector<HostEvent> Hosts_;
  /// The node became ready; true when no peer held a version.
  std::vector<bool> BootstrapDone_;
  /// What the platform's list says of the target beside this node changed.
  bool OwnTargetChanged_ = false;
  std::optional<SourceRoleEvent> SourceRole_;
  /// A peer brought a later revision of the list of targets; the source is to
  /// continue from it.
  bool TargetsMerged_ = false;
  /// Length of a pause that was noticed.
  std::vector<Duration> Pauses_;
  /// The own record's incarnation had to be raised.
  bool IncarnationRaised_ = false;
};

} // namespace marigold::node
