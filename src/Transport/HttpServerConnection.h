#pragma once

#include "Transport/HttpServer.h"
#include "Transport/ProgressMonitor.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <optional>

namespace marigold::transport {

class HttpServerConnection;

/// Notifies the handler of a request when the client disconnects. Shared by the
/// exchange and the connection, and references neither. Thread-safe.
class DisconnectNotifier {
public:
  /// Sets the callback; calls it immediately if the client has already
  /// disconnected.
  void set(std::function<void()> Callback);

  /// Disables the callback, because the request has its response.
  void clear();

  /// Calls the callback, if any, because the client has disconnected.
  void disconnected();

private:
  std::mutex Mutex_;
  std::function<void()> Callback_;
  bool Cleared_ = false;
  bool Disconnected_ = false;
};

/// A request that has been passed on, or refused, and the place of its response
/// on the connection. Accessed only on the strand of the connection.
struct PendingResponse {
  /// Null once there is a response.
  std::shared_ptr<DisconnectNotifier> Notifier_;
  std::optional<HttpResponse> Response_;
  /// Method, host and target, by which IsRepeatable_ decides.
  HttpRequest Line_;
  /// Result of IsRepeatable_, once it is needed.
  std::optional<bool> Repeatable_;
  /// Whether the connection closes after the response.
  bool Close_ = false;
  bool HeadMethod_ = false;
  /// Bytes of the request's body until there is a response.
  std::size_t RequestBytes_ = 0;
  /// Bytes of the response's body until it has been sent.
  std::size_t ResponseBytes_ = 0;
};

/// Passes the response of one request to its connection. Only the handler owns
/// the exchange: if the connection owned it too, the cycle would leak both when
/// the event loop ends before the response.
class ServerExchange : public HttpExchange {
public:
  ServerExchange(std::shared_ptr<HttpServerConnection> Connection,
                 std::shared_ptr<PendingResponse> Place)
      : Connection_(std::move(Connection)), Place_(std::move(Place)),
        Notifier_(Place_->Notifier_) {}

  void respond(HttpResponse Response) override;
  void onDisconnect(std::function<void()> Callback) override;

private:
  std::mutex Mutex_;
  std::shared_ptr<HttpServerConnection> Connection_;
  const std::shared_ptr<PendingResponse> Place_;
  const std::shared_ptr<DisconnectNotifier> Notifier_;
};

/// Client connection. Members are accessed only on its strand unless documented
/// otherwise.
///
/// Pipelined requests: repeatable requests are passed on while earlier ones
/// still run, up to MaxPipelined_; responses are sent in the order of the
/// requests. Any other request is passed on alone. Nothing is passed on behind
/// a response that closes the connection, because the client sends such
/// requests again; a connection that drains closes after the last request in
/// progress.
class HttpServerConnection
    : public std::enable_shared_from_this<HttpServerConnection> {
public:
  /// Options are shared with the server. Open counts the open connections, Busy
  /// those of HttpServer::busyConnections.
  HttpServerConnection(boost::asio::ip::tcp::socket Socket,
                       std::shared_ptr<const HttpServerOptions> Options,
                       std::shared_ptr<std::atomic<std::size_t>> Open,
                       std::shared_ptr<std::atomic<std::size_t>> Busy);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection &) = delete;
  HttpServerConnection &operator=(const HttpServerConnection &) = delete;

  /// Opens the account of this connection, before it starts. Returns false if
  /// there is no memory for it.
  bool openMemory();

  /// What the connection does. Thread-safe.
  UnusedConnection unused() const {
    return {UnusedState_, TimePoint(Duration(UnusedSince_))};
  }

  /// Closes the connection if it still has no request. Thread-safe.
  void closeUnused();

  /// Starts reading. Thread-safe.
  void start();

  /// Sends the response of one request once those before it have been sent; no
  /// effect if it has one already. Thread-safe.
  void respond(const std::shared_ptr<PendingResponse> &Place,
               HttpResponse Response);

  /// Maximum number of requests in progress on a connection.
  static constexpr std::size_t MaxPipelined_ = 8;

  /// Closes the connection, or refuses the request that is being received, if
  /// the current phase has timed out. Thread-safe.
  void checkTimeout(TimePoint Now);

  /// Closes the connection after the next response, which tells the client so.
  /// Thread-safe.
  void beginDrain();

  /// Closes the connection if it is idle, otherwise after the response in
  /// progress. Thread-safe.
  void drain();

  /// Closes the connection immediately. Thread-safe.
  void close();

private:
  /// What the connection receives.
  enum class Phase : std::uint8_t {
    Head,
    Body,
    /// A complete request waits until those before it have their responses.
    Held,
    /// The last response was sent; further data is discarded.
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
  /// Whether the next request may be parsed, or the one that has begun goes on.
  bool mayReceive();
  bool hasBegunRequest() const { return Parser_ || Phase_ == Phase::Body; }
  bool isIdle() const { return Pending_.empty() && !hasBegunRequest(); }
  bool isRepeatable(const HttpRequest &Request) const;
  void handle();
  void passOn();
  void refuse(ErrorCode Code);
  void writeNext();
  void writeSome();
  void onWritten(boost::system::error_code Error);
  /// Reports to the account what the connection holds; Added bytes for the body
  /// that is arriving are about to be reserved. Returns false if the connection
  /// has to give way.
  bool updateMemory(std::size_t Added = 0);
  std::size_t bodyCapacity();
  /// Reserves memory for the part of the body that has arrived, in steps that
  /// the account knows of. Returns false if there is none.
  bool reserveBody();
  /// Refuses the request whose body arrives, or disconnects the client that
  /// does not read its answer.
  void giveWay();
  void checkRates(TimePoint Now);
  void countShed(std::string_view Reason);
  void beginPhase(Phase Next, std::optional<Duration> Limit);
  /// Adds this connection to the count of busy ones or removes it.
  void updateBusy();
  void updateDeadline();
  void onTimeout(TimePoint Now);
  void shutDown();

  boost::asio::ip::tcp::socket Socket_;
  const std::shared_ptr<const HttpServerOptions> Options_;
  const std::shared_ptr<std::atomic<std::size_t>> Open_;
  const std::shared_ptr<std::atomic<std::size_t>> Busy_;
  // Separate from Buffer_, because a read is pending while Buffer_ is consumed.
  std::array<char, 8192> Input_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  HttpRequest Request_;
  /// Requests without a complete response, in their order. The response of the
  /// first one is being sent if Writing_ is set.
  std::deque<std::shared_ptr<PendingResponse>> Pending_;
  std::optional<Message> Message_;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      Serializer_;
  std::optional<MemoryAccount::Id> Account_;
  /// Bytes held beyond ConnectionMemory, as last reported.
  std::size_t ReportedBytes_ = 0;
  /// Progress of the body that arrives, and of the answer that is sent.
  SheddableMemory BodyProgress_;
  SheddableMemory AnswerProgress_;
  ProgressMonitor BodyRate_;
  ProgressMonitor AnswerRate_;
  std::uint64_t BodyLimit_ = 0;
  bool HadRequest_ = false;
  std::string Continue_;
  Phase Phase_ = Phase::Head;
  bool Reading_ = false;
  bool Writing_ = false;
  /// The connection closes after the response that is being sent.
  bool Closing_ = false;
  /// No request is accepted any more.
  bool LastRequest_ = false;
  bool KeepAlive_ = false;
  bool HeadMethod_ = false;
  bool Draining_ = false;
  bool Advancing_ = false;
  bool CountedBusy_ = false;
  /// Time limits of receiving, or of being idle, and of sending.
  TimePoint ReceiveDeadline_ = TimePoint::max();
  TimePoint WriteDeadline_ = TimePoint::max();
  // Read from another thread by the timeout check of the server.
  std::atomic<TimePoint::rep> Deadline_;
  // Read from another thread when a connection is to be closed.
  std::atomic<UnusedState> UnusedState_ = UnusedState::Silent;
  std::atomic<TimePoint::rep> UnusedSince_;
};

} // namespace marigold::transport
