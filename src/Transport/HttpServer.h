#pragma once

#include "Transport/HttpTypes.h"

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace marigold::transport {

/// One request that waits for its response. Safe to use from any thread.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends the response. Only the first call has an effect.
  virtual void respond(HttpResponse Response) = 0;

  /// Sets the function that is called once if the client goes away before the
  /// response; called at once if that has already happened.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

/// Limits and callbacks of an HTTP server.
struct HttpServerOptions {
  /// Receives each complete request, on the strand of its connection.
  std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)> OnRequest_;
  /// Largest body of a request in bytes, decided when its header section is
  /// complete. Without it the limit is 64 KiB.
  std::function<std::uint64_t(const HttpRequest &)> BodyLimit_;
  /// Limits of the configuration in force, asked for each phase of a
  /// connection; a zero leaves the value below. May be empty.
  std::function<ClientLimits()> ClientLimits_;
  /// Told of each request that the server refuses by itself; may be empty.
  std::function<void(ErrorCode)> OnRefused_;
  /// Time within which a header section must arrive once it has begun.
  Duration HeaderTimeout_ = std::chrono::seconds(5);
  /// Time within which a body must arrive.
  Duration BodyTimeout_ = std::chrono::seconds(30);
  /// Time within which a client must take the response.
  Duration WriteTimeout_ = std::chrono::seconds(30);
  /// Time that a connection may stay open between two requests.
  Duration IdleTimeout_ = std::chrono::seconds(75);
  /// Connections at once; more are closed directly after they are accepted.
  std::size_t Connections_ = 4096;
};

/// HTTP/1.1 server. Malformed and ambiguous requests get a response with the
/// status of their error code and end their own connection only.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Io, HttpServerOptions Options);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens and accepts from now on. Port 0 takes a free port. Fails with
  /// ConnectionFailed when the address is in use.
  Result<void> listen(const Address &Local);

  /// Port that is listened on.
  std::uint16_t port() const;

  /// From now on each answer asks the client to close its connection. New
  /// connections are accepted, idle ones stay open.
  void beginDrain();

  /// Time for which idle connections stay open after drain: a request that a
  /// client has sent before it hears of the close is still answered. Above the
  /// delay of a loaded link.
  static constexpr std::chrono::milliseconds DrainGracePeriod_{300};

  /// Stops accepting and, after DrainGracePeriod_, closes idle connections;
  /// requests in progress are answered and their connections closed after that.
  void drain();

  /// Stops accepting and closes all connections.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
