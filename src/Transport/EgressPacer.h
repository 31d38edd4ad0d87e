#pragma once

#include "Support/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace marigold::transport {

/// Token bucket for the bytes that a host sends. Takes the time as a parameter
/// and does no I/O. Small messages are always sent and only charged; chunks of
/// large bodies are sent only while tokens are left.
class EgressBucket {
public:
  /// Rate is the capacity of the host's link in bytes per second.
  EgressBucket(double Rate, TimePoint Now);

  /// Charges bytes that are sent regardless of the available tokens. The
  /// balance may become negative.
  void charge(std::size_t Bytes, TimePoint Now);

  /// Returns whether a chunk of a large body may be sent now and charges it if
  /// so.
  [[nodiscard]] bool allow(std::size_t Bytes, TimePoint Now);

  /// Time until allow can succeed; zero if it can succeed now.
  Duration wait(TimePoint Now) const;

  /// Time needed to send Bytes after the bytes charged earlier.
  Duration transferTime(std::size_t Bytes, TimePoint Now) const;

  /// Time needed to send Bytes on an otherwise unloaded link.
  Duration unloadedTransferTime(std::size_t Bytes) const;

private:
  double tokensAt(TimePoint Now) const;

  double Rate_;
  double Burst_;
  double Tokens_;
  TimePoint Refilled_;
};

/// Points in time that determine the send order of a large body.
struct BodyDeadlines {
  /// Latency objective: delivery after this time is late but still useful.
  TimePoint Objective_ = TimePoint::max();
  /// Delivery after this time is useless.
  TimePoint Deadline_ = TimePoint::max();
};

/// Sort key of a large body among those that share a link; the earliest is sent
/// first. Transfer is the time that the body needs on an unloaded link.
///
/// This handles the load pattern in which responses are produced faster than
/// the link can send them. With round-robin scheduling all of them would finish
/// about as late as the last one. Bodies that can still meet their objective
/// are ordered by objective; the others follow ordered by deadline, so that
/// they are delivered as well.
TimePoint dueTime(const BodyDeadlines &Deadlines, Duration Transfer,
                  TimePoint Now);

/// Priority queue of connections that wait to send a chunk of a large body.
/// Does no I/O.
class EgressQueue {
public:
  /// Adds a connection whose next body is due at Due. Each owner has at most
  /// one entry; a later call replaces it.
  void push(const void *Owner, TimePoint Due, std::function<void()> Resume);

  /// Removes the entry with the earliest due time, on a tie the one added
  /// first, and returns its callback. Returns an empty function if the queue is
  /// empty.
  std::function<void()> popEarliest();

  bool empty() const { return Waiting_.empty(); }

private:
  struct Waiter {
    const void *Owner_;
    TimePoint Due_;
    std::function<void()> Resume_;
  };

  std::vector<Waiter> Waiting_;
};

/// Schedules the traffic of a host's connections on its link. Without it, large
/// responses fill the send queue of a slow link and delay small urgent
/// messages. Thread-safe.
class EgressPacer {
public:
  /// Rate is the capacity of the host's link in bytes per second.
  EgressPacer(boost::asio::io_context &Io, double Rate);

  /// See EgressBucket::charge and EgressBucket::allow.
  void charge(std::size_t Bytes);
  [[nodiscard]] bool allow(std::size_t Bytes);

  /// Calls Resume once, on a thread of the io_context, when the owner may call
  /// allow again. See EgressQueue for the order.
  void enqueue(const void *Owner, TimePoint Due, std::function<void()> Resume);

  /// Adds Bytes to the backlog of large bodies that are ready to be sent.
  /// Negative when bytes were sent or discarded.
  void addBacklog(std::int64_t Bytes);

  /// Bytes of large bodies that are ready to be sent.
  std::int64_t backlog() const;

  /// Time until a large body of Bytes would be sent completely, including the
  /// backlog ahead of it.
  Duration transferTime(std::size_t Bytes) const;

  /// See EgressBucket::unloadedTransferTime.
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
