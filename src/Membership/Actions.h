#pragma once

#include "Schema/generated/Messages.h"

#include <optional>
#include <variant>
#include <vector>

namespace marigold::membership {

/// Send a datagram to a host's peer address.
struct SendDatagram {
  /// Receiver.
  HostId To_;
  /// Message.
  std::variant<Ping, Ack, PingRequest> Message_;
};

/// The record of another host changed.
struct HostChanged {
  /// Record after the change.
  HostRecord Record_;
  /// State before; nothing for a host that was not known.
  std::optional<HostState> Previous_;
};

/// This node raised a suspicion because its own probes failed.
struct SuspicionRaised {
  /// Suspected host.
  HostId Subject_;
};

/// This node declared a host dead. The callers of the host are to be told by
/// HostStateNotice.
struct DeathDeclared {
  /// Record after the change.
  HostRecord Record_;
};

/// The node's own record changed because a false record of it had to be
/// exceeded, or by setOwnState. Keys issued under an earlier incarnation are
/// no longer valid when the incarnation changed.
struct OwnRecordChanged {
  /// Record after the change.
  HostRecord Record_;
};

/// What the caller of a membership state machine has to do, in this order.
using Action = std::variant<SendDatagram, HostChanged, SuspicionRaised,
                            DeathDeclared, OwnRecordChanged>;

/// List of actions.
using Actions = std::vector<Action>;

} // namespace marigold::membership
