#pragma once

#include "Transport/PeerConnection.h"

#include "Schema/SettingTypes.h"

#include <boost/asio/io_context.hpp>

namespace marigold::transport {

/// Accepts connections of other nodes.
class PeerServer {
public:
  /// Connections run on Io; Handler and Options.Metrics_ must outlive them.
  PeerServer(boost::asio::io_context &Io, PeerHandler &Handler,
             PeerOptions Options);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Listens and accepts from now on. Port 0 takes a free port. Fails with
  /// ConnectionFailed when the address is in use.
  Result<void> listen(const Address &Local);

  /// Port that is listened on.
  std::uint16_t port() const;

  /// Sends a message to every connected node and returns the bytes sent.
  std::size_t broadcast(const HostStateNotice &Notice);

  /// Number of connections whose handshake is complete.
  std::size_t connections() const;

  /// Stops accepting and closes all connections.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
