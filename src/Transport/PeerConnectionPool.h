#pragma once

#include "Transport/PeerConnection.h"

#include <boost/asio/io_context.hpp>

namespace marigold::transport {

/// Limits of a connection pool.
struct PeerPoolLimits {
  /// Peers with an entry at once; the one that was unused longest and has no
  /// open stream gives way.
  std::size_t Peers_ = 1024;
  /// Longest wait for a connection to be opened.
  Duration Connect_ = std::chrono::seconds(1);
  /// Ceiling of the first delay after a failure.
  Duration BackoffFirst_ = std::chrono::milliseconds(50);
  /// Ceiling of all later delays.
  Duration BackoffMaximum_ = std::chrono::seconds(2);
};

/// Receives an open connection, or ConnectionFailed, TimedOut or
/// ProtocolVersion.
using PeerCallback = std::function<void(Result<PeerConnectionPtr>)>;

/// The connections that this node opens to its peers, one for each. Safe to
/// use from any thread.
class PeerConnectionPool {
public:
  /// Connections run on Io; Handler and Options.Metrics_ must outlive them.
  /// Seed starts the sequence of random delays.
  PeerConnectionPool(boost::asio::io_context &Io, PeerHandler &Handler,
                     PeerOptions Options, std::uint64_t Seed,
                     PeerPoolLimits Limits = {});
  ~PeerConnectionPool();
  PeerConnectionPool(const PeerConnectionPool &) = delete;
  PeerConnectionPool &operator=(const PeerConnectionPool &) = delete;

  /// Gives the connection to a peer; opens it first if necessary. Done runs
  /// directly in this call if the connection is open or if a recent failure
  /// forbids an attempt now, and on a thread of Io otherwise.
  void get(const HostId &Peer, PeerCallback Done);

  /// The open connection to a peer, or null.
  PeerConnectionPtr find(const HostId &Peer) const;

  /// Closes the connection to a peer and forgets its failures, for a peer that
  /// was declared dead or has restarted.
  void drop(const HostId &Peer);

  /// Closes all connections and opens no more.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
