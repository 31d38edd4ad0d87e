#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"
#include "Support/Digest.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace marigold::membership {

/// Times of suspicions.
struct SuspicionOptions {
  /// Time to refute when nobody else confirms the suspicion.
  Duration Timeout_ = std::chrono::seconds(3);
  /// Time between two words to the suspect.
  Duration ReminderInterval_ = std::chrono::milliseconds(150);
};

/// What a suspicion asks for at some time.
struct SuspicionStep {
  /// Suspected host.
  HostId Subject_;
  /// True when the time to refute is over; otherwise the suspect is to be
  /// told again.
  bool Expired_ = false;
};

/// Running suspicions with their accusers. A node that raised a suspicion
/// itself reminds the suspect from the start; a node that only heard of it
/// waits longer and asks the suspect before it declares it dead, so that one
/// lost refutation does not kill a host.
class SuspicionTable {
public:
  /// Confirmations after which the time to refute is shortest.
  static constexpr std::size_t FullConfirmations_ = 3;

  /// An empty table.
  explicit SuspicionTable(SuspicionOptions Options) : Options_(Options) {}

  /// Starts a suspicion or adds an accuser to a running one. Own tells that
  /// this node's own probes failed. Multiplier is the local health
  /// multiplier. Returns true when the accuser is a new one and there are not
  /// yet enough, so that the suspicion is worth passing on.
  bool addAccuser(const HostId &Subject, const HostId &Accuser, bool Own,
                  unsigned Multiplier, TimePoint Now);

  /// Ends a suspicion. Returns false when there was none.
  bool clear(const HostId &Subject);

  /// Starts the time to refute again, for a node that distrusts itself.
  void restart(const HostId &Subject, TimePoint Now);

  /// Suspicions that ask for something now. An expired one stays until clear
  /// or restart.
  std::vector<SuspicionStep> due(TimePoint Now);

  /// Moves all times by a gap in which the process did not run.
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
