#pragma once

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace marigold::transport {

/// Accepts TCP connections for the peer server and the HTTP server.
class Listener {
public:
  /// Called with each accepted socket, whose executor is a strand of its own.
  using Accepted = std::function<void(boost::asio::ip::tcp::socket)>;

  explicit Listener(boost::asio::io_context &Io);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  /// Starts listening and accepting connections. Fails with ConnectionFailed if
  /// the address cannot be bound.
  Result<void> listen(const Address &Local, Accepted OnAccepted);

  /// Listening port.
  std::uint16_t port() const;

  /// Stops accepting and closes the listening socket. Pending connections are
  /// reset.
  void stop();

  /// Accepts the pending connections, then closes the listening socket.
  void finish();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
