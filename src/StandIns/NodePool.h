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
  /// The whole answer was received.
  Answered,
  /// No connection could be had; nothing was sent.
  NotSent,
  /// The connection was lost, or the deadline passed, before the first byte
  /// of an answer.
  NoAnswer,
  /// The connection was lost, or the deadline passed, within the answer.
  Interrupted
};

/// Result of one exchange.
struct ExchangeResult {
  /// How it ended.
  ExchangeEnd End_ = ExchangeEnd::NotSent;
  /// The answer if it is whole.
  HttpResponse Response_;
};

/// Lets the owner of a call give it up from outside.
struct CallAbort {
  /// The call was given up; no further exchange starts.
  bool Aborted_ = false;
  /// Closes the connection in use; empty while there is none.
  std::function<void()> Close_;

  /// Gives the call up.
  void abort() {
    Aborted_ = true;
    if (Close_)
      Close_();
  }
};

/// Keep-alive connections to one address, at most a given number; further
/// calls wait for one. Used by one thread.
class NodePool {
public:
  NodePool(boost::asio::io_context &Context, Address Where,
           std::uint64_t Limit);
  ~NodePool();

  /// Sends the request and reads the answer until the deadline. Abort may be
  /// null.
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
