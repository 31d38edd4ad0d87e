#pragma once

#include "Transport/HttpServer.h"

#include "Support/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace marigold::node {

/// HTTP server of the admin port. Serves GET /metrics, and GET /status, POST
/// /drain and further paths that are registered before listen().
class AdminServer {
public:
  /// Returns the response to a request for a registered path.
  using Handler =
      std::function<transport::HttpResponse(const transport::HttpRequest &)>;

  /// Metrics must outlive the server.
  AdminServer(boost::asio::io_context &Io, MetricsRegistry &Metrics);
  ~AdminServer();
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;

  /// Registers a handler for a method and a path without query. Call before
  /// listen(). Handlers run on threads of the io_context.
  void handle(std::string Method, std::string Path, Handler Answer);

  /// Sets the function that returns the JSON body of /status. WithHosts is
  /// false for /status?hosts=0.
  void setStatus(std::function<std::string(bool WithHosts)> Json);

  /// Sets the action of POST /drain. The 202 response is sent after Start
  /// returns.
  void setDrain(std::function<void()> Start);

  /// Starts to listen. Port 0 selects a free port. Fails with ConnectionFailed
  /// if the address is in use.
  Result<void> listen(const Address &Local);

  /// Returns the port on which the server listens.
  std::uint16_t port() const;

  /// Stops listening and closes all connections.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::node
