#pragma once

#include "Transport/HttpGet.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace marigold::transport {

/// GET requests of one client, which can be given up one by one or all at once.
/// Held by a shared pointer, since it outlives the client while requests are
/// under way. Safe to use from any thread.
class HttpGetCalls : public std::enable_shared_from_this<HttpGetCalls> {
public:
  explicit HttpGetCalls(boost::asio::io_context &Io) : Io_(Io) {}

  /// Starts a request; the result is a number for cancel. After stop nothing
  /// is started, Done is not called and the result is 0.
  std::uint64_t start(HttpGetRequest Request, HttpGetCallback Done);

  /// Gives up a request, which then ends with Cancelled.
  void cancel(std::uint64_t Number);

  /// Gives up all requests, which then end with Cancelled.
  void stop();

  bool stopped() const;

private:
  boost::asio::io_context &Io_;
  mutable std::mutex Mutex_;
  std::uint64_t LastCall_ = 0;
  std::map<std::uint64_t, HttpGetCancel> Cancels_;
  bool Stopped_ = false;
};

} // namespace marigold::transport
