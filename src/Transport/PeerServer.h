#pragma once

#include "Transport/PeerConnection.h"

#include "Schema/SettingTypes.h"

#include <boost/asio/io_context.hpp>

namespace marigold::transport {

/// Accepts connections from other nodes.
class PeerServer {
public:
  /// Connections run on Io. Handler and Options.Metrics_ must outlive them.
  PeerServer(boost::asio::io_context &Io, PeerHandler &Handler,
             PeerOptions Options);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Starts listening and accepting connections. Port 0 selects a free port.
  /// Fails with ConnectionFailed if the address is in use.
  Result<void> listen(const Address &Local);

  /// Listening port.
  std::uint16_t port() const;

  /// Sends a notice to all connected nodes and returns the total number of
  /// bytes.
  std::size_t broadcast(const HostStateNotice &Notice);

  /// Number of connections whose handshake is complete.
  std::size_t connections() const;

  /// Number of calls of connected nodes that run here or whose answers are
  /// still being sent.
  std::size_t openStreams() const;

  /// Stops accepting and closes all connections.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
