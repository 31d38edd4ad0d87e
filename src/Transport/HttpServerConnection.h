#pragma once

#include "Transport/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>

namespace marigold::transport {

class HttpServerConnection;

/// Tells the handler of one request that the client went away. Belongs to the
/// exchange and to the connection, and refers to neither. Any thread.
class DisconnectNotifier {
public:
  /// Sets the function to call; calls it at once if the client is gone.
  void set(std::function<void()> Callback);

  /// The request has its response: nothing is called from now on.
  void clear();

  /// The client went away.
  void disconnected();

private:
  std::mutex Mutex_;
  std::function<void()> Callback_;
  bool Cleared_ = false;
  bool Disconnected_ = false;
};

/// Hands the response of one request to its connection. Only the handler owns
/// it: a connection that owned it, too, would stay for ever when its loop ends
/// before the response.
class ServerExchange : public HttpExchange {
public:
  ServerExchange(std::shared_ptr<HttpServerConnection> Connection,
                 std::shared_ptr<DisconnectNotifier> Notifier)
      : Connection_(std::move(Connection)), Notifier_(std::move(Notifier)) {}

  void respond(HttpResponse Response) override;
  void onDisconnect(std::function<void()> Callback) override;

private:
  std::mutex Mutex_;
  std::shared_ptr<HttpServerConnection> Connection_;
  const std::shared_ptr<DisconnectNotifier> Notifier_;
};

/// One connection of a client. All members belong to its strand, except for
/// those that say otherwise.
class HttpServerConnection
    : public std::enable_shared_from_this<HttpServerConnection> {
public:
  /// Options must outlive the connection; Open counts open connections.
  HttpServerConnection(boost::asio::ip::tcp::socket Socket,
                       std::shared_ptr<const HttpServerOptions> Options,
                       std::shared_ptr<std::atomic<std::size_t>> Open);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection &) = delete;
  HttpServerConnection &operator=(const HttpServerConnection &) = delete;

  /// Reads from now on. Any thread.
  void start();

  /// Sends a response; does nothing unless a request waits for one. Any
  /// thread.
  void respond(HttpResponse Response);

  /// Acts on a phase that has lasted too long. Any thread.
  void checkTimeout(TimePoint Now);

  /// Asks the client to close the connection with the next response. Any
  /// thread.
  void beginDrain();

  /// Closes the connection when it is idle, otherwise after the response in
  /// progress. Any thread.
  void drain();

  /// Closes the connection. Any thread.
  void close();

private:
  enum class Phase : std::uint8_t {
    Head,
    Body,
    Handling,
    Writing,
    Lingering,
    Closed
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Message = boost::beast::http::response<boost::beast::http::string_body>;

  void read();
  void onRead(boost::system::error_code Error, std::size_t Size);
  void advance();
  ClientLimits limits() const;
  Duration headerTimeout() const;
  Duration idleTimeout() const;
  void parseHead();
  void acceptBody();
  void parseBody();
  void handle();
  void refuse(ErrorCode Code);
  void write(HttpResponse Response, bool Close);
  void onWritten(boost::system::error_code Error);
  void beginPhase(Phase Next, std::optional<Duration> Limit);
  void onTimeout();
  void shutDown();

  boost::asio::ip::tcp::socket Socket_;
  const std::shared_ptr<const HttpServerOptions> Options_;
  const std::shared_ptr<std::atomic<std::size_t>> Open_;
  // Bytes are read here first: a read stays in progress while Buffer_ is
  // consumed.
  std::array<char, 8192> Input_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  HttpRequest Request_;
  std::shared_ptr<DisconnectNotifier> Notifier_;
  std::optional<Message> Message_;
  std::string Continue_;
  Phase Phase_ = Phase::Head;
  bool Reading_ = false;
  bool KeepAlive_ = false;
  bool HeadMethod_ = false;
  bool Draining_ = false;
  bool Advancing_ = false;
  // Read by the sweep of the server from another thread.
  std::atomic<TimePoint::rep> Deadline_;
};

} // namespace marigold::transport
