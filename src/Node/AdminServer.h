#pragma once

#include "Transport/HttpServer.h"

#include "Support/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace marigold::node {

/// HTTP server of the admin port: GET /metrics, GET /status, POST /drain, and
/// further paths that are registered before listen.
class AdminServer {
public:
  /// Answers one request for a registered path.
  using Handler =
      std::function<transport::HttpResponse(const transport::HttpRequest &)>;

  /// Metrics must outlive the server.
  AdminServer(boost::asio::io_context &Io, MetricsRegistry &Metrics);
  ~AdminServer();
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;

  /// Registers a handler for a method and a path without query. Call before
  /// listen. A handler runs on a thread of the io_context.
  void handle(std::string Method, std::string Path, Handler Answer);

  /// Sets the source of the JSON body of /status; WithHosts is false for
  /// /status?hosts=0.
  void setStatus(std::function<std::string(bool WithHosts)> Json);

  /// Sets the action of POST /drain, which is answered with 202 first.
  void setDrain(std::function<void()> Start);

  /// Listens from now on. Port 0 takes a free port. Fails with
  /// ConnectionFailed when the address is in use.
  Result<void> listen(const Address &Local);

  /// Port that is listened on.
  std::uint16_t port() const;

  /// Closes all connections.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::node
