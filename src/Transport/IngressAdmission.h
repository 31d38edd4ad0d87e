#pragma once

#include "Transport/EgressPacer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace marigold::transport {

/// Decides when peers may send large bodies to this host, and how much of each.
/// Takes the time as a parameter and does no I/O.
///
/// This handles the load pattern in which many hosts send bodies to one. Each
/// sender paces its own link; without an account at the receiver, the
/// receiver's link would hold seconds of bodies, and every other message to the
/// host would arrive behind them. What is on its way to the host is kept below
/// what its link carries in a short time, and the earliest due body comes first
/// (see dueTime).
class IngressAdmission {
public:
  /// Number of a body, never reused.
  using BodyNumber = std::uint64_t;

  /// Credit for the sender of a body.
  struct Grant {
    BodyNumber Body_ = 0;
    std::size_t Bytes_ = 0;
  };

  /// Rate is the capacity of the host's link in bytes per second.
  explicit IngressAdmission(double Rate);

  /// Adds a body of Size bytes that waits for credit. Returns nothing if it
  /// would not arrive before its deadline, or if an accepted body that is due
  /// later would not because of it. Without the second condition an overloaded
  /// link would spend itself on bodies that are overtaken until it is too late.
  std::optional<BodyNumber> add(std::uint64_t Size,
                                const BodyDeadlines &Deadlines, TimePoint Now);

  /// As above for a body that is never refused, like the answer to a call that
  /// has run.
  BodyNumber addAlways(std::uint64_t Size, const BodyDeadlines &Deadlines,
                       TimePoint Now);

  /// Records that Bytes of a body have arrived.
  void onReceived(BodyNumber Body, std::size_t Bytes, TimePoint Now);

  /// Removes a body that is complete, cancelled or lost with its connection.
  void remove(BodyNumber Body);

  /// Bytes of the accepted bodies that have not arrived.
  std::uint64_t backlog() const;

  /// Time until they could have arrived.
  Duration backlogTime() const { return transferTime(backlog()); }

  /// Returns the credit that may be granted now. It counts as granted.
  std::vector<Grant> grant(TimePoint Now);

  /// Earliest time at which grant may return more although nothing has arrived
  /// until then; nothing if no body waits.
  std::optional<TimePoint> nextGrant(TimePoint Now) const;

  /// Bytes that were granted and have not arrived.
  std::size_t outstanding() const;

  /// Bound of outstanding() without the bodies of senders that have stopped.
  std::size_t limit() const { return Limit_; }

private:
  struct Body {
    std::uint64_t Size_ = 0;
    std::uint64_t Granted_ = 0;
    std::uint64_t Received_ = 0;
    /// Delivery after this time is useless.
    TimePoint Deadline_{};
    /// Order in which bodies get credit; see dueTime. Does not change, so that
    /// what fits on arrival is not overtaken later.
    TimePoint Due_{};
    /// Time of the latest grant or arrival.
    TimePoint Progress_{};

    std::uint64_t outstanding() const { return Granted_ - Received_; }
  };

  /// What is on its way: bytes of senders that keep up, and of those that do
  /// not.
  struct Usage {
    std::size_t Prompt_ = 0;
    std::size_t Slow_ = 0;
  };

  Usage usage(TimePoint Now) const;
  /// Whether the body has credit left that it did not use in time, because its
  /// sender or the sender's link is slow.
  bool isSlow(const Body &Entry, TimePoint Now) const;
  /// Whether the sender has made no progress for so long that nothing waits for
  /// its body any more.
  bool hasStopped(const Body &Entry, TimePoint Now) const;
  Duration transferTime(std::uint64_t Bytes) const;
  Body makeBody(std::uint64_t Size, const BodyDeadlines &Deadlines,
                TimePoint Now) const;
  /// Whether the new body and all others that are due later arrive in time.
  bool fits(const Body &New, TimePoint Now) const;
  /// Sort key of the bodies. Those past their deadline come last: they are
  /// useless, and their senders are about to cancel them.
  static std::pair<bool, TimePoint> order(const Body &Entry, TimePoint Now);
  /// Bytes that the body may get now, regardless of the other bodies.
  std::size_t wanted(const Body &Entry, TimePoint Now) const;

  double Rate_;
  /// Bounds in bytes of what is on its way: of senders that keep up, of all
  /// senders, and of one body.
  std::size_t PromptLimit_;
  std::size_t Limit_;
  std::size_t BodyLimit_;
  BodyNumber Last_ = 0;
  std::map<BodyNumber, Body> Bodies_;
};

} // namespace marigold::transport
