#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"
#include "Support/Digest.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace marigold::membership {

/// Timing of suspicions.
struct SuspicionOptions {
  /// Time to refute a suspicion that no other node has confirmed.
  Duration Timeout_ = std::chrono::seconds(3);
  /// Time between two notifications of the suspect.
  Duration ReminderInterval_ = std::chrono::milliseconds(150);
};

/// A step that is due for one suspicion.
struct SuspicionStep {
  HostId Subject_;
  /// True if the time to refute has passed; otherwise the suspect must be
  /// notified again.
  bool Expired_ = false;
};

/// Running suspicions with the hosts that raised or confirmed them (accusers).
/// A node whose own probes failed notifies the suspect from the start. A node
/// that only received the suspicion waits longer and notifies the suspect
/// before declaring it dead, so that a single lost refutation does not cause a
/// false death.
class SuspicionTable {
public:
  /// Number of confirmations at which the time to refute reaches its minimum.
  static constexpr std::size_t FullConfirmations_ = 3;

  explicit SuspicionTable(SuspicionOptions Options) : Options_(Options) {}

  /// Starts a suspicion, or adds an accuser to a running one. Own states that
  /// this node's own probes failed. Multiplier is the local health multiplier.
  /// Returns whether the suspicion should be gossiped: the accuser is new and
  /// full confirmation was not reached before.
  bool addAccuser(const HostId &Subject, const HostId &Accuser, bool Own,
                  unsigned Multiplier, TimePoint Now);

  /// Ends a suspicion. Returns false if there was none.
  bool clear(const HostId &Subject);

  /// Restarts the time to refute, after a sign of life or while this node is
  /// degraded.
  void restart(const HostId &Subject, TimePoint Now);

  /// Returns the steps that are due. An expired suspicion is returned on every
  /// call until clear or restart.
  std::vector<SuspicionStep> due(TimePoint Now);

  /// Moves all deadlines by a gap during which the process did not run.
  void shift(Duration Gap);

  /// Number of running suspicions.
  std::size_t size() const { return Running_.size(); }

private:
  struct Suspicion {
    TimePoint Start_;
    TimePoint NextReminder_;
    unsigned Multiplier_ = 1;
    bool Own_ = false;
    std::set<HostId> Accusers_;
  };

  Duration refutationTimeout(const Suspicion &Running) const;

  SuspicionOptions Options_;
  std::unordered_map<HostId, Suspicion, HostIdHash> Running_;
};

} // namespace marigold::membership
