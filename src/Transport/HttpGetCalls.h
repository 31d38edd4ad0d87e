#pragma once

#include "Transport/HttpGet.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace marigold::transport {

/// GET requests of one client that can be cancelled individually or all at
/// once. Owned through a shared pointer, because it outlives the client while
/// requests are in progress. Thread-safe.
class HttpGetCalls : public std::enable_shared_from_this<HttpGetCalls> {
public:
  explicit HttpGetCalls(boost::asio::io_context &Io) : Io_(Io) {}

  /// Starts a request and returns its number for cancel. After stop, nothing is
  /// started, Done is not called and the result is 0.
  std::uint64_t start(HttpGetRequest Request, HttpGetCallback Done);

  /// Cancels a request, which then fails with Cancelled.
  void cancel(std::uint64_t Number);

  /// Cancels all requests, which then fail with Cancelled.
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
