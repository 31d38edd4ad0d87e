#pragma once

#include "Transport/HttpTypes.h"
#include "Transport/MemoryAccount.h"

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace marigold::transport {

/// A request that waits for its response. Thread-safe.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends the response. Only the first call has an effect.
  virtual void respond(HttpResponse Response) = 0;

  /// Sets a callback for a client that disconnects before the response. Called
  /// at most once; immediately if the client has already disconnected.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

/// Limits and callbacks of an HTTP server.
struct HttpServerOptions {
  /// Called for each complete request, on the strand of its connection.
  std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)> OnRequest_;
  /// Whether a request, of which only method, host and target are given, may
  /// run more than once. Pipelined requests are passed on concurrently only if
  /// all of them may. Without it, each waits for the response before.
  std::function<bool(const HttpRequest &)> IsRepeatable_;
  /// Maximum body size in bytes of a request, queried when its header section
  /// is complete. 64 KiB if empty.
  std::function<std::uint64_t(const HttpRequest &)> BodyLimit_;
  /// Limits of the current configuration, queried for each phase of a
  /// connection; a zero selects the default below. May be empty.
  std::function<ClientLimits()> ClientLimits_;
  /// Called for each request that the server itself refuses; may be empty.
  std::function<void(ErrorCode)> OnRefused_;
  /// Maximum time from the first byte of a header section to its end.
  Duration HeaderTimeout_ = std::chrono::seconds(5);
  /// Maximum time for receiving a body.
  Duration BodyTimeout_ = std::chrono::seconds(30);
  /// Maximum time for sending a response.
  Duration WriteTimeout_ = std::chrono::seconds(30);
  /// Maximum idle time between two requests.
  Duration IdleTimeout_ = std::chrono::seconds(75);
  /// Maximum number of concurrent connections. A further one takes the place of
  /// one without a request, or is closed immediately after it is accepted.
  std::size_t Connections_ = 4096;
  /// Account of the memory held for clients; null for none.
  std::shared_ptr<MemoryAccount> Memory_;
  /// Bytes per second below which a request body is refused, or a client that
  /// reads its answer is disconnected; zero for none.
  std::uint64_t BodyMinRate_ = 0;
  std::uint64_t ReadMinRate_ = 0;
  /// Called with the reason for each connection that is closed, or whose
  /// request is refused, to stay within memory, connections or the minimum
  /// rates; may be empty.
  std::function<void(std::string_view)> OnShed_;
  /// Called regularly with the bytes held; may be empty.
  std::function<void(std::uint64_t)> OnHeld_;
};

/// HTTP/1.1 server. Malformed and ambiguous requests receive a response with
/// the status of their error code; only their own connection is closed.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Io, HttpServerOptions Options);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts listening and accepting connections. Port 0 selects a free port.
  /// Fails with ConnectionFailed if the address is in use.
  Result<void> listen(const Address &Local);

  /// Listening port.
  std::uint16_t port() const;

  /// Adds "Connection: close" to all further responses. New connections are
  /// still accepted and idle ones stay open.
  void beginDrain();

  /// Time for which idle connections stay open after drain, so that a request
  /// sent before the client learns of the close is still answered. Longer than
  /// the delay of a loaded link.
  static constexpr std::chrono::milliseconds DrainGracePeriod_{300};

  /// Stops accepting and, after DrainGracePeriod_, closes idle connections.
  /// Requests in progress are answered before their connections are closed.
  void drain();

  /// Number of connections on which a request is being received, a response is
  /// awaited or being sent, or that have not been closed by their client after
  /// the last response. Closing one of them would cut off its client.
  std::size_t busyConnections() const;

  /// Stops accepting and closes all connections.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
