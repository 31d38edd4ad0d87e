#pragma once

#include "Schema/SettingTypes.h"
#include "StandIns/HttpListener.h"
#include "Support/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace marigold::standins {

/// How an exchange ended.
enum class ExchangeEnd : std::uint8_t {
  /// The complete response was received.
  Answered,
  /// No connection was available, or the call was aborted; nothing was sent.
  NotSent,
  /// The connection was lost or the deadline passed before the first byte of
  /// the response.
  NoAnswer,
  /// The connection was lost or the deadline passed within the response.
  Interrupted
};

/// Result of one exchange.
struct ExchangeResult {
  ExchangeEnd End_ = ExchangeEnd::NotSent;
  /// The response if End_ is Answered.
  HttpResponse Response_;
};

/// Lets the owner of a call abort it while an exchange is in progress.
struct CallAbort {
  /// The call was aborted; no further exchange starts.
  bool Aborted_ = false;
  /// Closes the connection in use; empty if there is none.
  std::function<void()> Close_;

  /// Aborts the call.
  void abort() {
    Aborted_ = true;
    if (Close_)
      Close_();
  }
};

/// Pool of keep-alive connections to one address. If all connections up to the
/// limit are in use, further exchanges wait for one. Not thread-safe.
class NodePool {
public:
  NodePool(boost::asio::io_context &Context, Address Where,
           std::uint64_t Limit);
  ~NodePool();

  /// Sends the request and reads the response, until the deadline at the
  /// latest. Abort may be null.
  boost::asio::awaitable<ExchangeResult>
  exchange(const HttpRequest &Request, TimePoint Deadline, CallAbort *Abort);

private:
  class Connection;

  boost::asio::awaitable<std::unique_ptr<Connection>>
  acquire(TimePoint Deadline);
  void release(std::unique_ptr<Connection> Used, bool Reusable);

  boost::asio::io_context &Context_;
  Address Where_;
  std::uint64_t Limit_;
  std::uint64_t Open_ = 0;
  std::vector<std::unique_ptr<Connection>> Idle_;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> Waiting_;
};

} // namespace marigold::standins
