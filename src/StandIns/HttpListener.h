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

/// Builds an answer with length; the listener adds the connection headers.
HttpResponse makeResponse(unsigned Status, std::string Body,
                          std::string_view ContentType = "text/plain");

/// One accepted connection. Used from its coroutine only.
class HttpSession {
public:
  explicit HttpSession(boost::asio::ip::tcp::socket Socket)
      : Socket_(std::move(Socket)) {}

  /// Waits until the timer ends or is cancelled. True when the peer closed
  /// the connection first.
  boost::asio::awaitable<bool> closedBefore(boost::asio::steady_timer &Timer);

  /// Connection.
  boost::asio::ip::tcp::socket Socket_;
  /// Bytes read past the last request.
  boost::beast::flat_buffer Buffer_;
};

/// Limits of a listener.
struct ListenerLimits {
  /// Connections at once; further ones are closed when accepted.
  std::uint64_t Connections_ = 65536;
  /// Largest request body in bytes.
  std::uint64_t Body_ = 2'097'152;
};

/// Counters of a listener.
struct ListenerCounters {
  /// Open connections.
  std::uint64_t Open_ = 0;
  /// Connections closed because of the limit.
  std::uint64_t Refused_ = 0;
  /// Bytes of requests.
  std::uint64_t BytesReceived_ = 0;
  /// Bytes of answers.
  std::uint64_t BytesSent_ = 0;
  /// Requests that could not be parsed.
  std::uint64_t Malformed_ = 0;
};

/// HTTP/1.1 server of a stand-in on one io_context that one thread runs. The
/// stand-ins have their own server so that a fault in the system's transport
/// cannot hide in both ends of an experiment.
class HttpListener {
public:
  /// Answers one request; nothing when the connection is gone.
  using Handler =
      std::function<boost::asio::awaitable<std::optional<HttpResponse>>(
          HttpSession &, const HttpRequest &)>;

  HttpListener(boost::asio::io_context &Context, ListenerLimits Limits,
               Handler Handle);

  /// Listens; port 0 takes a free one. Fails with ConnectionFailed.
  Result<void> open(const Address &Where);

  /// Address in use.
  Address address() const;

  /// Accepts no more connections; open ones go on.
  void close();

  /// Counters since the start.
  const ListenerCounters &counters() const { return *Counters_; }

private:
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Socket);

  boost::asio::io_context &Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  ListenerLimits Limits_;
  Handler Handle_;
  /// Shared with the connections' coroutines, which the io_context may
  /// destroy after this object.
  std::shared_ptr<ListenerCounters> Counters_ =
      std::make_shared<ListenerCounters>();
};

} // namespace marigold::standins
