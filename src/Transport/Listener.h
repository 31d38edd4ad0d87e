#pragma once

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace marigold::transport {

/// Accepts TCP connections; shared by the peer and the HTTP server.
class Listener {
public:
  /// Receives an accepted socket whose executor is a strand of its own.
  using Accepted = std::function<void(boost::asio::ip::tcp::socket)>;

  explicit Listener(boost::asio::io_context &Io);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  /// Listens and accepts from now on. Fails with ConnectionFailed.
  Result<void> listen(const Address &Local, Accepted OnAccepted);

  /// Port that is listened on.
  std::uint16_t port() const;

  /// Accepts no more and closes the listening socket. Connections that wait to
  /// be accepted are reset.
  void stop();

  /// Accepts the connections that wait and closes the listening socket.
  void finish();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
