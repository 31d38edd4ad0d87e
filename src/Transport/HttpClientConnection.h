#pragma once

#include "Transport/HttpClientPool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <optional>

namespace marigold::transport {

/// One connection to a target. Belongs to the strand of its pool. While the
/// connection is idle a read is in progress, which notices a closed connection
/// and bytes that belong to no request.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
public:
  /// Receives the end of a request; Reusable tells whether the connection can
  /// take another one.
  using Done = std::function<void(HttpClientResult, bool Reusable)>;

  HttpClientConnection(boost::asio::ip::tcp::socket Socket,
                       const HttpClientLimits &Limits);

  /// Opens the connection; gives up at the earlier of the connection limit
  /// and Deadline. Callback runs within this call if the connection is open at
  /// once.
  void connect(const boost::asio::ip::tcp::endpoint &Target, TimePoint Deadline,
               std::function<void(Result<void>)> Callback);

  /// Sends a request on the open and idle connection. The request must stay
  /// valid until Callback.
  void send(const HttpClientRequest &Request, Done Callback);

  /// Whether the connection is open and nothing has arrived on it. Asks the
  /// kernel, so that a close that is not yet reported is noticed.
  bool isUsable();

  /// Whether a request was sent before.
  bool used() const { return Used_; }

  /// Time for which the target keeps the connection open while it is idle, as
  /// far as its last response said, less a margin for the way to it.
  Duration idleLimit() const { return IdleLimit_; }

  /// Time of the last response.
  TimePoint idleSince() const { return IdleSince_; }

  /// Closes the connection. A request in progress ends with Code.
  void close(ErrorCode Code, std::string Detail = {});

  /// Called when an idle connection has been closed.
  std::function<void()> OnIdleClosed_;

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  void onConnected(boost::system::error_code Error,
                   const std::function<void(Result<void>)> &Callback);
  boost::system::error_code connectError();
  void writeRequest();
  void read();
  void onRead(boost::system::error_code Error, std::size_t Size);
  void parse();
  void startParser();
  void complete();
  bool belongsToRequest() const;
  void updateIdleLimit();
  void end(Failure Why, bool Lost);
  void armTimer(TimePoint Deadline);

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  const HttpClientLimits Limits_;
  std::array<char, 8192> Input_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::optional<Message> Message_;
  std::optional<
      boost::beast::http::request_serializer<boost::beast::http::string_body>>
      Serializer_;
  Done Done_;
  std::string EchoField_;
  std::string EchoValue_;
  Duration IdleLimit_ = Duration::max();
  bool HeadMethod_ = false;
  bool Writing_ = false;
  bool Written_ = false;
  bool Reading_ = false;
  bool Used_ = false;
  bool Closed_ = false;
  Failure CloseReason_;
  TimePoint IdleSince_{};
};

} // namespace marigold::transport
