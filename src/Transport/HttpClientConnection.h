#pragma once

#include "Transport/HttpClientPool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <optional>

namespace marigold::transport {

/// Connection to a target. Runs on the strand of its pool. A read is always
/// pending while the connection is idle, to detect a close by the target and
/// unsolicited data.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
public:
  /// Called when a request ends. Reusable tells whether the connection can send
  /// another request.
  using Done = std::function<void(HttpClientResult, bool Reusable)>;

  HttpClientConnection(boost::asio::ip::tcp::socket Socket,
                       const HttpClientLimits &Limits);

  /// Connects to the target; fails at Deadline or after
  /// HttpClientLimits::Connect_, whichever is earlier. Callback runs before
  /// this function returns if the connection is established immediately.
  void connect(const boost::asio::ip::tcp::endpoint &Target, TimePoint Deadline,
               std::function<void(Result<void>)> Callback);

  /// Sends a request. The connection must be open and idle.
  void send(const HttpClientRequest &Request, Done Callback);

  /// Whether the connection is open and no unread data is pending. Queries the
  /// kernel, so that a close that the event loop has not reported yet is
  /// detected.
  bool isUsable();

  /// Whether a request has been sent on this connection.
  bool used() const { return Requests_ != 0; }

  /// Idle time after which the connection must not be reused: the Keep-Alive
  /// timeout of the last response less a safety margin for network delay.
  /// Duration::max() if the target sent none.
  Duration idleLimit() const { return IdleLimit_; }

  /// Time of the last response, or of the connect if there was none.
  TimePoint idleSince() const { return IdleSince_; }

  /// Memory in bytes that the body of the response in progress takes. A body
  /// without a length grows in steps and takes up to twice its size.
  std::size_t bodyMemory() const;

  /// Closes the connection. A request in progress fails with Code.
  void close(ErrorCode Code, std::string Detail = {});

  /// Called when the connection closes while it is idle.
  std::function<void()> OnIdleClosed_;

  /// Called while a large response is being received.
  std::function<void()> OnLargeResponse_;

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using RequestBody = boost::beast::http::span_body<const char>;
  using Message = boost::beast::http::request<RequestBody>;

  void onConnected(boost::system::error_code Error,
                   const std::function<void(Result<void>)> &Callback);
  boost::system::error_code connectError();
  void writeRequest();
  void read();
  void onRead(boost::system::error_code Error, std::size_t Size);
  void parse();
  void startParser();
  void complete();
  /// Counts the memory of the response's body. Returns false, and ends the
  /// request, if there is none.
  bool holdBody(std::size_t Size);
  /// Releases the request that was sent, unless it is still being written.
  void releaseRequest();
  /// Whether the response that is being parsed has a status that a response can
  /// have. A response with another one is not read further, whatever its
  /// framing.
  bool hasValidStatus() const;
  /// Whether the parsed response is the answer to the request in progress. All
  /// framings of a response are checked by this function before complete is
  /// called.
  bool isAnswer() const;
  bool belongsToRequest() const;
  void updateIdleLimit();
  void end(Failure Cause, bool Lost);
  void armTimer(TimePoint Deadline);

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  const HttpClientLimits Limits_;
  std::array<char, 8192> Input_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  /// Body of the request that is being sent.
  std::shared_ptr<const std::string> Body_;
  std::optional<Message> Message_;
  std::optional<boost::beast::http::request_serializer<RequestBody>>
      Serializer_;
  /// Memory of the response's body.
  MemoryReservationPtr Held_;
  Done Done_;
  std::string EchoField_;
  std::string EchoValue_;
  Duration IdleLimit_ = Duration::max();
  /// Requests sent on this connection.
  unsigned Requests_ = 0;
  /// Informational responses and responses to earlier requests that were
  /// discarded since the request was sent.
  unsigned Discarded_ = 0;
  bool HeadMethod_ = false;
  bool Writing_ = false;
  bool Written_ = false;
  bool Reading_ = false;
  bool Closed_ = false;
  Failure CloseReason_;
  TimePoint IdleSince_{};
};

} // namespace marigold::transport
