#pragma once

#include "Transport/HttpTypes.h"

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace marigold::transport {

/// GET request on a connection of its own.
struct HttpGetRequest {
  Address Server_;
  /// Path and query, for example /v1/kv/key?raw.
  std::string Target_;
  /// Timeout for the whole exchange, from connecting to the end of the
  /// response. For a blocking read: the wait time in the query plus a margin.
  Duration Timeout_ = std::chrono::seconds(5);
  /// Connect timeout, within Timeout_. A server that has just come back missed
  /// the packets sent earlier, and the kernel retransmits them only after a
  /// second or more.
  Duration ConnectTimeout_ = std::chrono::seconds(5);
  /// Maximum response body size in bytes.
  std::uint64_t Limit_ = std::size_t{2} * 1024 * 1024;
  /// Capacity of the host's link in bytes per second, used to pace large bodies
  /// so that other traffic keeps part of the link; 0 disables pacing.
  double LinkRate_ = 0;
  /// Called on a thread of the io_context whenever a part of the response was
  /// received; may be empty.
  std::function<void()> OnProgress_ = {};
};

/// Rate in bytes per second at which a body of Size bytes is read from a link
/// with a capacity of LinkRate bytes per second; 0 means unpaced.
///
/// This handles the load pattern in which large configuration versions arrive
/// over a slow link while the host serves calls. An unpaced download would
/// delay every call for its whole duration, and the targets of these calls
/// would keep their slots occupied meanwhile.
double pacedReadRate(std::uint64_t Size, double LinkRate);

/// Complete response and its size on the wire.
struct HttpGetResponse {
  HttpResponse Response_;
  /// HTTP bytes sent and received, without TCP and IP headers.
  std::uint64_t SentBytes_ = 0;
  std::uint64_t ReceivedBytes_ = 0;
};

/// Called with the response, whatever its status, or with ConnectionFailed,
/// TimedOut, MalformedAnswer, AnswerTooLarge or Cancelled. Runs on a thread of
/// the io_context.
using HttpGetCallback = std::function<void(Result<HttpGetResponse>)>;

/// Cancels a request; its callback receives Cancelled. No effect if the request
/// has ended. Thread-safe.
using HttpGetCancel = std::function<void()>;

/// Starts a GET request. Done is called exactly once, never before this
/// function returns. The returned function cancels the request.
HttpGetCancel httpGet(boost::asio::io_context &Io, HttpGetRequest Request,
                      HttpGetCallback Done);

} // namespace marigold::transport
