#pragma once

#include "Support/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace marigold::transport {

/// Token bucket over the bytes that a host sends, as a pure decision. Small
/// messages always pass and are charged; pieces of large bodies pass only
/// while tokens are left.
class EgressBucket {
public:
  /// Rate is that of the host's link in bytes a second.
  EgressBucket(double Rate, TimePoint Now);

  /// Bytes that are sent in any case.
  void charge(std::size_t Bytes, TimePoint Now);

  /// Whether a piece of a large body may be sent now; charged if it may.
  [[nodiscard]] bool allow(std::size_t Bytes, TimePoint Now);

  /// Time until allow succeeds.
  Duration wait(TimePoint Now) const;

  /// Time that Bytes take on the link behind what was charged before.
  Duration transferTime(std::size_t Bytes, TimePoint Now) const;

  /// Time that Bytes take on the link with nothing before them.
  Duration unloadedTransferTime(std::size_t Bytes) const;

private:
  double tokensAt(TimePoint Now) const;

  double Rate_;
  double Burst_;
  double Tokens_;
  TimePoint Refilled_;
};

/// When a large body is wanted.
struct BodyDeadlines {
  /// End of the time in which the body has its full use.
  TimePoint Objective_ = TimePoint::max();
  /// Afterwards it is of no use.
  TimePoint Deadline_ = TimePoint::max();
};

/// Place of a large body among those that share a link; the earliest is sent
/// first. Transfer is the time that its bytes take with nothing before them.
///
/// Load pattern: answers arrive faster than the link carries them. If they took
/// turns, each would end as late as the last one. Those that can still meet
/// their objective go first, by objective; the others follow by deadline, so
/// that they are delivered, too.
TimePoint dueTime(const BodyDeadlines &Deadlines, Duration Transfer,
                  TimePoint Now);

/// Connections that wait to send a piece of a large body, as a pure decision.
class EgressQueue {
public:
  /// Owner waits with a body that is due at Due. A connection waits once; a
  /// later call replaces the one before.
  void push(const void *Owner, TimePoint Due, std::function<void()> Resume);

  /// Takes out the one with the earliest body, of equal ones the first; an
  /// empty function when nobody waits.
  std::function<void()> popEarliest();

  /// Whether nobody waits.
  bool empty() const { return Waiting_.empty(); }

private:
  struct Waiter {
    const void *Owner_;
    TimePoint Due_;
    std::function<void()> Resume_;
  };

  std::vector<Waiter> Waiting_;
};

/// Shares the link of a host among its connections. Without it, answers with
/// large bodies fill the queue of a slow link, and small urgent messages wait
/// behind them. Safe to use from any thread.
class EgressPacer {
public:
  /// Rate is that of the host's link in bytes a second.
  EgressPacer(boost::asio::io_context &Io, double Rate);

  /// See EgressBucket.
  void charge(std::size_t Bytes);
  [[nodiscard]] bool allow(std::size_t Bytes);

  /// Calls Resume once, on a thread of the io_context, when it is the caller's
  /// turn to ask allow again. See EgressQueue for the order.
  void enqueue(const void *Owner, TimePoint Due, std::function<void()> Resume);

  /// Bytes of large bodies that are ready to be sent; negative when some were
  /// sent or dropped.
  void addBacklog(std::int64_t Bytes);

  /// Time after which a large body of Bytes would have left, behind the ones
  /// that are ready to be sent.
  Duration transferTime(std::size_t Bytes) const;

  /// See EgressBucket.
  Duration unloadedTransferTime(std::size_t Bytes) const {
    return Bucket_.unloadedTransferTime(Bytes);
  }

private:
  void arm();

  mutable std::mutex Mutex_;
  EgressBucket Bucket_;
  std::int64_t Backlog_ = 0;
  EgressQueue Queue_;
  boost::asio::steady_timer Timer_;
  bool Armed_ = false;
};

} // namespace marigold::transport
