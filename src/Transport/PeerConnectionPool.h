#pragma once

#include "Transport/PeerConnection.h"

#include <boost/asio/io_context.hpp>

namespace marigold::transport {

/// Limits of a PeerConnectionPool.
struct PeerPoolLimits {
  /// Maximum number of peers in the pool. If it is reached, the least recently
  /// used peer without open streams is evicted.
  std::size_t Peers_ = 1024;
  /// Connect timeout.
  Duration Connect_ = std::chrono::seconds(1);
  /// Upper bound of the random delay after the first failure.
  Duration BackoffFirst_ = std::chrono::milliseconds(50);
  /// Upper bound of all later delays.
  Duration BackoffMaximum_ = std::chrono::seconds(2);
};

/// Called with an open connection, or with ConnectionFailed, TimedOut or
/// ProtocolVersion.
using PeerCallback = std::function<void(Result<PeerConnectionPtr>)>;

/// Outgoing peer connections of a node, one per peer. Thread-safe.
class PeerConnectionPool {
public:
  /// Connections run on Io. Handler and Options.Metrics_ must outlive them.
  /// Seed initializes the random backoff delays.
  PeerConnectionPool(boost::asio::io_context &Io, PeerHandler &Handler,
                     PeerOptions Options, std::uint64_t Seed,
                     PeerPoolLimits Limits = {});
  ~PeerConnectionPool();
  PeerConnectionPool(const PeerConnectionPool &) = delete;
  PeerConnectionPool &operator=(const PeerConnectionPool &) = delete;

  /// Returns the connection to a peer through Done and opens it first if
  /// necessary. Done is called within this function if the result is already
  /// known (open connection, backoff after a failure, pool full or stopped),
  /// otherwise on a thread of Io.
  void get(const HostId &Peer, PeerCallback Done);

  /// Open connection to a peer, or null.
  PeerConnectionPtr find(const HostId &Peer) const;

  /// Uses the connection to a peer for no new calls and resets its backoff, for
  /// a peer that was declared dead or has restarted. The connection is closed
  /// when its calls in progress have ended.
  void drop(const HostId &Peer);

  /// Closes all connections and refuses new ones.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
