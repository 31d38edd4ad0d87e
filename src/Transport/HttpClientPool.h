#pragma once

#include "Transport/HttpTypes.h"

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace marigold::transport {

/// A request to the target.
struct HttpClientRequest {
  /// Method.
  std::string Method_;
  /// Path and query.
  std::string Target_;
  /// End-to-end header fields. Host and Content-Length are added.
  std::vector<Header> Headers_;
  /// Body.
  std::string Body_;
  /// Value of the Host field.
  std::string Host_;
  /// Whether the request may be sent twice. Others get a connection that was
  /// used within HttpClientLimits::UnrepeatableIdle_ or never, so that the
  /// target has hardly closed it as idle.
  bool Repeatable_ = false;
  /// Time at which the request is given up and its connection closed.
  TimePoint Deadline_{};
  /// Field that a response repeats from the request, in lower case, and its
  /// value. A response with another value belongs to an earlier request and is
  /// passed over. An empty name checks nothing.
  std::string EchoField_ = {};
  std::string EchoValue_ = {};
};

/// How a request ended without a complete response.
struct HttpClientFailure {
  /// ConnectionFailed, TimedOut, MalformedAnswer, AnswerTooLarge or Cancelled.
  Failure Why_;
  /// Whether any byte of the request may have been written. If not, the
  /// request certainly did not run.
  bool Written_ = false;
  /// Whether the target itself ended the connection (closed or reset it), as
  /// it does when its process ends.
  bool Lost_ = false;
};

/// Exactly one of both is set.
struct HttpClientResult {
  std::unique_ptr<HttpResponse> Response_;
  std::unique_ptr<HttpClientFailure> Failure_;
};

/// Receives the end of a request on a thread of the io_context.
using HttpClientCallback = std::function<void(HttpClientResult)>;

/// Limits of a client pool.
struct HttpClientLimits {
  /// Connections at once; requests beyond wait for one.
  std::size_t Connections_ = 100;
  /// Largest response body in bytes.
  std::uint64_t Response_ = std::size_t{8} * 1024 * 1024;
  /// Longest wait for a connection to be opened.
  Duration Connect_ = std::chrono::milliseconds(500);
  /// A connection that was idle for longer is closed instead of being used.
  Duration Idle_ = std::chrono::seconds(20);
  /// The same for requests that may not be repeated; zero gives them new
  /// connections only.
  Duration UnrepeatableIdle_{};
  /// Told of each connection that is opened; may be empty.
  std::function<void()> OnOpen_ = {};
};

/// Keep-alive connections to one HTTP/1.1 target. A connection is reused only
/// after a complete response and only while nothing unexpected has arrived on
/// it; any other is closed. Safe to use from any thread.
class HttpClientPool {
public:
  HttpClientPool(boost::asio::io_context &Io, const Address &Target,
                 HttpClientLimits Limits = {});
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool &) = delete;
  HttpClientPool &operator=(const HttpClientPool &) = delete;

  /// Sends a request and returns its number for cancel. Done is called exactly
  /// once, never within this call.
  std::uint64_t send(HttpClientRequest Request, HttpClientCallback Done);

  /// Gives up a request by closing its connection, which tells the target; the
  /// request ends with Cancelled. Without effect if it has already ended.
  void cancel(std::uint64_t Number);

  /// Tries to open a TCP connection and closes it, as a test of whether the
  /// target's process accepts connections.
  void probe(Duration Timeout, std::function<void(bool Accepted)> Done);

  /// Changes the number of connections at once.
  void setConnections(std::size_t Count);

  /// Closes idle connections; called when the target's process was lost.
  void closeIdle();

  /// Closes all connections; requests in progress end with Cancelled.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
