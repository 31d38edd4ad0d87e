#pragma once

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace marigold::standins {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Builds a response. The listener sets the version, Connection and
/// Content-Length when it sends the response.
HttpResponse makeResponse(unsigned Status, std::string Body,
                          std::string_view ContentType = "text/plain");

/// An accepted connection. Only to be used by the coroutine that serves it.
class HttpSession {
public:
  explicit HttpSession(boost::asio::ip::tcp::socket Socket)
      : Socket_(std::move(Socket)) {}

  /// Waits until the timer expires or is cancelled. Returns true if the peer
  /// closed the connection first.
  boost::asio::awaitable<bool> closedBefore(boost::asio::steady_timer &Timer);

  boost::asio::ip::tcp::socket Socket_;
  /// Bytes received after the end of the last request.
  boost::beast::flat_buffer Buffer_;
};

/// Limits of a listener.
struct ListenerLimits {
  /// Maximum number of open connections; further ones are closed after accept.
  std::uint64_t Connections_ = 65536;
  /// Maximum size of a request body in bytes.
  std::uint64_t Body_ = 2'097'152;
};

/// Counters of a listener.
struct ListenerCounters {
  /// Currently open connections.
  std::uint64_t Open_ = 0;
  /// Connections closed because of the limit.
  std::uint64_t Refused_ = 0;
  /// Bytes of requests received.
  std::uint64_t BytesReceived_ = 0;
  /// Bytes of responses sent.
  std::uint64_t BytesSent_ = 0;
  /// Requests that could not be parsed.
  std::uint64_t Malformed_ = 0;
};

/// HTTP/1.1 server of a simulated component, on an io_context that one thread
/// runs. The simulated components do not use the transport under test, because
/// a fault present at both ends of a connection could go unnoticed.
class HttpListener {
public:
  /// Handles one request. Returns nothing if the connection was closed.
  using Handler =
      std::function<boost::asio::awaitable<std::optional<HttpResponse>>(
          HttpSession &, const HttpRequest &)>;

  HttpListener(boost::asio::io_context &Context, ListenerLimits Limits,
               Handler Handle);

  /// Starts listening; port 0 selects a free port. Fails with ConnectionFailed.
  Result<void> open(const Address &Where);

  /// Address on which the server listens.
  Address address() const;

  /// Stops accepting connections. An open connection is closed after its next
  /// response.
  void close();

  /// Counters since construction.
  const ListenerCounters &counters() const { return *Counters_; }

private:
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Socket);

  boost::asio::io_context &Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  ListenerLimits Limits_;
  Handler Handle_;
  /// Shared with the connection coroutines, since the io_context may destroy
  /// them after this object.
  std::shared_ptr<ListenerCounters> Counters_ =
      std::make_shared<ListenerCounters>();
};

} // namespace marigold::standins
