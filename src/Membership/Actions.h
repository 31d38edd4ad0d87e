#pragma once

#include "Schema/generated/Messages.h"

#include <optional>
#include <variant>
#include <vector>

namespace marigold::membership {

/// Sends a datagram to the peer address of a host.
struct SendDatagram {
  HostId To_;
  std::variant<Ping, Ack, PingRequest> Message_;
};

/// The record of another host was added or changed.
struct HostChanged {
  /// Record after the change.
  HostRecord Record_;
  /// State before the change; empty if the host was not known.
  std::optional<HostState> Previous_;
};

/// This node began to suspect a host because its own probes failed.
struct SuspicionRaised {
  HostId Subject_;
};

/// This node declared a host dead. The caller sends a HostStateNotice to the
/// hosts that call it.
struct DeathDeclared {
  /// Record after the change.
  HostRecord Record_;
};

/// The node's own record changed, either through setOwnState or to supersede a
/// false record of this host. If the incarnation changed, keys issued under the
/// earlier incarnation are no longer valid.
struct OwnRecordChanged {
  /// Record after the change.
  HostRecord Record_;
};

/// Effects of a membership state machine. The caller applies them in order.
using Action = std::variant<SendDatagram, HostChanged, SuspicionRaised,
                            DeathDeclared, OwnRecordChanged>;

using Actions = std::vector<Action>;

} // namespace marigold::membership
