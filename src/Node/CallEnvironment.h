#pragma once

#include "Node/OwnTarget.h"
#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace marigold::config {
class Snapshot;
} // namespace marigold::config

namespace marigold::node {

/// Whether the control plane lets the request path take new calls.
enum class CallGate : std::uint8_t {
  /// Calls are taken.
  Open,
  /// The process was paused and checks its view; new calls wait for at most a
  /// second and are refused with NotReady after that.
  Held,
  /// There is no complete version yet; new calls are refused with NotReady.
  Closed,
};

/// What the request path needs from the control plane. All functions are
/// called from several threads, must not block on I/O, and must not call back
/// into the request path while they hold a lock.
class CallEnvironment {
public:
  virtual ~CallEnvironment() = default;

  /// The version in force; null while there is none.
  virtual std::shared_ptr<const config::Snapshot> snapshot() const = 0;

  /// Number that rises with each change of the host table that concerns hosts
  /// of services (state, incarnation, service). Cheap; read for each call.
  virtual std::uint64_t hostsGeneration() const = 0;

  /// Records of all known hosts of a service, in any state.
  virtual std::vector<HostRecord> hostsOfService(std::string_view Service) = 0;

  /// Whether new calls are taken.
  virtual CallGate gate() const = 0;

  /// This node's own record with its current state.
  virtual HostRecord ownRecord() const = 0;

  /// The target beside this node.
  virtual OwnTarget ownTarget() const {
    OwnTarget Own;
    Own.Service_ = ownRecord().Service_;
    Own.ConfiguredService_ = Own.Service_;
    return Own;
  }

  /// Age of the last confirmation that the platform's list of targets as this
  /// node knows it is complete; zero without a list.
  virtual Duration targetsAge(TimePoint) const { return Duration::zero(); }

  /// A connection to a peer could not be opened or was lost. A hint for the
  /// choice of the next probe, not a proof that the host is dead.
  virtual void reportHostFailure(const HostId &Peer) = 0;

  /// The state of the own target changed (Ready, Starting for a target that
  /// accepts no connection, Draining). The control plane raises the sequence
  /// of the own record and sends it to connected callers and by gossip.
  virtual void ownStateChanged(HostState State) = 0;

  /// Sends the notice of a crash to the other nodes of the own service.
  virtual void sendCrashNotice(const CrashNotice &Notice) = 0;
};

} // namespace marigold::node
