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

/// Whether the control plane lets the request path accept new calls.
enum class CallGate : std::uint8_t {
  /// New calls are accepted.
  Open,
  /// The process was paused and is checking its membership view. New calls wait
  /// for up to 1 s and are then refused with NotReady.
  Held,
  /// No complete configuration version has been received yet. New calls are
  /// refused with NotReady.
  Closed,
};

/// Interface of the request path to the control plane. All functions are called
/// from several threads, must not block on I/O, and must not call back into the
/// request path while they hold a lock.
class CallEnvironment {
public:
  virtual ~CallEnvironment() = default;

  /// The configuration in force; null before the first one.
  virtual std::shared_ptr<const config::Snapshot> snapshot() const = 0;

  /// Counter that increases with each change of the host table that concerns
  /// hosts of services (state, incarnation, service). Must be cheap, because it
  /// is read for each call.
  virtual std::uint64_t hostsGeneration() const = 0;

  /// Records of all known hosts of a service, in any state.
  virtual std::vector<HostRecord> hostsOfService(std::string_view Service) = 0;

  /// Whether new calls are accepted.
  virtual CallGate gate() const = 0;

  /// This node's own record with its current state.
  virtual HostRecord ownRecord() const = 0;

  /// The target that runs beside this node.
  virtual OwnTarget ownTarget() const {
    OwnTarget Own;
    Own.Service_ = ownRecord().Service_;
    Own.ConfiguredService_ = Own.Service_;
    return Own;
  }

  /// Reports the instance as which the own target has answered.
  virtual void targetAnswered(const std::string &) {}

  /// Time since it was last confirmed that this node's copy of the platform's
  /// target list is complete; zero without a list.
  virtual Duration targetsAge(TimePoint) const { return Duration::zero(); }

  /// Reports that a connection to a peer could not be opened or was lost. This
  /// is a hint for the choice of the next probe, not a proof that the host is
  /// dead.
  virtual void reportHostFailure(const HostId &Peer) = 0;

  /// Reports a new state of the own target: Ready, Starting (it accepts no
  /// connections) or Draining. The control plane increments the sequence number
  /// of the own record and sends the record to connected callers and by gossip.
  virtual void ownStateChanged(HostState State) = 0;

  /// Sends a crash notice to the other nodes of the own service.
  virtual void sendCrashNotice(const CrashNotice &Notice) = 0;
};

} // namespace marigold::node
