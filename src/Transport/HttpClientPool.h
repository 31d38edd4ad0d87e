#pragma once

#include "Transport/HttpTypes.h"

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace marigold::transport {

/// Request to a target.
struct HttpClientRequest {
  std::string Method_;
  /// Path and query.
  std::string Target_;
  /// End-to-end header fields. Host and Content-Length are added when sending.
  std::vector<Header> Headers_;
  /// Null for none.
  std::shared_ptr<const std::string> Body_;
  std::string Host_;
  /// Whether the request may be sent twice. Other requests use a new connection
  /// or one used within HttpClientLimits::UnrepeatableIdle_, which the target
  /// is unlikely to have closed as idle.
  bool Repeatable_ = false;
  /// Time at which the request is aborted and its connection closed.
  TimePoint Deadline_{};
  /// Lower-case name and value of a header field that the target copies from
  /// the request into its response. A response with a different value belongs
  /// to an earlier request and is discarded. Without the field, a response is
  /// accepted only on a new connection, which is then not reused; a request
  /// without a value gets a new connection. An empty name disables the check.
  std::string EchoField_ = {};
  std::string EchoValue_ = {};
  /// Called on the strand of the pool when the request begins to wait for a
  /// connection, by recheckWaiting, and immediately before each write. After a
  /// failure the request is not written and ends with that failure. May be
  /// empty.
  std::function<Result<void>()> MayWrite_ = {};
};

/// Failure of a request that received no complete response.
struct HttpClientFailure {
  /// ConnectionFailed, TimedOut, MalformedAnswer, AnswerTooLarge, Cancelled or
  /// the failure of HttpClientRequest::MayWrite_.
  Failure Cause_;
  /// Whether any byte of the request may have been written. If not, the request
  /// certainly did not run.
  bool Written_ = false;
  /// Whether the target closed or reset the connection, as happens when its
  /// process exits.
  bool Lost_ = false;
};

/// Result of a request: exactly one member is set.
struct HttpClientResult {
  std::unique_ptr<HttpResponse> Response_;
  std::unique_ptr<HttpClientFailure> Failure_;
};

/// Called when a request ends, on a thread of the io_context.
using HttpClientCallback = std::function<void(HttpClientResult)>;

/// Limits of a client pool.
struct HttpClientLimits {
  /// Maximum number of concurrent connections. Further requests wait for one.
  std::size_t Connections_ = 100;
  /// Maximum response body size in bytes.
  std::uint64_t Response_ = std::size_t{8} * 1024 * 1024;
  /// Maximum total memory in bytes of the response bodies that are being
  /// received. Beyond it the largest one fails with AnswerTooLarge, so that a
  /// faulty target that sends without end on many connections cannot exhaust
  /// the memory of the node. Room for three responses of the maximum size.
  std::uint64_t ResponseMemory_ = std::size_t{24} * 1024 * 1024;
  /// Connect timeout.
  Duration Connect_ = std::chrono::milliseconds(500);
  /// Connections idle for longer are closed instead of reused.
  Duration Idle_ = std::chrono::seconds(20);
  /// Same limit for requests that must not be repeated; zero always opens a new
  /// connection for them.
  Duration UnrepeatableIdle_{};
  /// If a reused connection is lost within this time after a request was sent,
  /// the target had already closed it: the time covers a few round trips on one
  /// host and is shorter than a target needs to handle a request.
  Duration StaleWindow_ = std::chrono::milliseconds(10);
  /// Called for each connection that is opened; may be empty.
  std::function<void()> OnOpen_ = {};
  /// Account of the memory of responses; null for none. A response for which it
  /// has no room fails with AnswerTooLarge.
  std::shared_ptr<MemoryAccount> Memory_ = {};
};

/// Pool of keep-alive connections to one HTTP/1.1 target. A connection is
/// reused only after a complete response and only if no unexpected data has
/// arrived on it; otherwise it is closed. Thread-safe.
class HttpClientPool {
public:
  HttpClientPool(boost::asio::io_context &Io, const Address &Target,
                 HttpClientLimits Limits = {});
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool &) = delete;
  HttpClientPool &operator=(const HttpClientPool &) = delete;

  /// Sends a request and returns its number for cancel. Done is called exactly
  /// once, never before this function returns.
  std::uint64_t send(HttpClientRequest Request, HttpClientCallback Done);

  /// Cancels a request by closing its connection, which informs the target; the
  /// request fails with Cancelled. No effect if the request has ended.
  void cancel(std::uint64_t Number);

  /// Calls HttpClientRequest::MayWrite_ for all requests that wait for a
  /// connection, and ends those that may not be written any more.
  void recheckWaiting();

  /// Opens and closes a TCP connection to check whether the target accepts
  /// connections.
  void probe(Duration Timeout, std::function<void(bool Accepted)> Done);

  /// Sets the maximum number of concurrent connections.
  void setConnections(std::size_t Count);

  /// Closes idle connections. Called when the target process has exited.
  void closeIdle();

  /// Closes all connections. Requests in progress fail with Cancelled.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
