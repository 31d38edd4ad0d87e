#pragma once

#include "Transport/HttpTypes.h"

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace marigold::transport {

/// One GET request over a connection of its own.
struct HttpGetRequest {
  /// Address of the server.
  Address Server_;
  /// Path and query, for example /v1/kv/key?raw.
  std::string Target_;
  /// Time for everything from the connection to the end of the response. For a
  /// blocking read, the wait named in the query plus a margin.
  Duration Timeout_ = std::chrono::seconds(5);
  /// Time for the connection to open, within Timeout_. A server that just came
  /// back has not seen the packets that were sent before, and the kernel sends
  /// them again only after a second or more.
  Duration ConnectTimeout_ = std::chrono::seconds(5);
  /// Largest response body in bytes.
  std::uint64_t Limit_ = std::size_t{2} * 1024 * 1024;
  /// Rate of the host's link in bytes a second, of which a large body leaves
  /// part to other traffic; 0 takes it as fast as it comes.
  double LinkRate_ = 0;
};

/// Rate at which a body of Size bytes is taken from a link of LinkRate, both in
/// bytes a second; 0 for as fast as it comes.
///
/// Load pattern: large versions arrive at a host with a slow link while it
/// serves calls. A version that takes all of the link holds each call up for as
/// long as it lasts, and the calls' targets keep their slots meanwhile.
double pacedReadRate(std::uint64_t Size, double LinkRate);

/// A complete response with the bytes that it took.
struct HttpGetResponse {
  /// Status, header fields and body.
  HttpResponse Response_;
  /// HTTP bytes sent and received, without TCP and IP headers.
  std::uint64_t SentBytes_ = 0;
  std::uint64_t ReceivedBytes_ = 0;
};

/// Receives the response with any status, or ConnectionFailed, TimedOut,
/// MalformedAnswer, AnswerTooLarge or Cancelled. Runs on a thread of the
/// io_context.
using HttpGetCallback = std::function<void(Result<HttpGetResponse>)>;

/// Gives up a request; its callback receives Cancelled. Without effect if the
/// request has already ended. May be called from any thread.
using HttpGetCancel = std::function<void()>;

/// Starts a GET request. Done is called exactly once, never within this call.
HttpGetCancel httpGet(boost::asio::io_context &Io, HttpGetRequest Request,
                      HttpGetCallback Done);

} // namespace marigold::transport
