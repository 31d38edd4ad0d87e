#pragma once

#include "Transport/HttpClientPool.h"

#include "TestSupport/NetworkFixture.h"

#include <doctest/doctest.h>

namespace marigold::transport {

inline const std::string Good =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nok";

/// A pool of connections to a target that the test plays.
struct HttpClientFixture {
  ~HttpClientFixture() { Threads_.stop(); }

  HttpClientPool &pool(HttpClientLimits Limits = {}) {
    if (!Pool_)
      Pool_.emplace(Threads_.Io_, Address{Loopback, Listener_.port()}, Limits);
    return *Pool_;
  }

  std::uint64_t send(Waiter<HttpClientResult> &Got, bool Repeatable,
                     Duration Limit = std::chrono::minutes(1)) {
    HttpClientRequest Request{"POST",
                              "/a",
                              {},
                              std::make_shared<const std::string>("body"),
                              "desk",
                              Repeatable,
                              std::chrono::steady_clock::now() + Limit};
    return pool().send(std::move(Request), [&Got](HttpClientResult Value) {
      Got.set(std::move(Value));
    });
  }

  /// Failure of a request; null if it received a response.
  static std::unique_ptr<HttpClientFailure>
  failureOf(Waiter<HttpClientResult> &Got) {
    auto Value = Got.take();
    REQUIRE(Value);
    return std::move(Value->Failure_);
  }

  IoThreads Threads_;
  RawListener Listener_;
  std::optional<HttpClientPool> Pool_;
};

} // namespace marigold::transport
