#pragma once

#include "Support/Clock.h"

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace marigold::calls {

/// Parameters of CrashSuspects.
struct CrashSuspectsSettings {
  /// Different crashes after which a fingerprint is held back.
  unsigned CrashThreshold_ = 2;
  /// Time for which it is held back.
  Duration HoldTime_ = std::chrono::seconds(60);
  /// Time after the last crash in which a suspect below the limit is kept.
  Duration Retention_ = std::chrono::minutes(10);
  /// Fingerprints in the table; the one with the oldest crash is dropped
  /// first.
  std::size_t MaxFingerprints_ = 4096;
  /// Crash ids remembered in order to recognize repeated notices.
  std::size_t MaxCrashIds_ = 1024;
};

/// Requests that were in progress when a target's process was lost (F7). All
/// of them are suspects, because the one that caused the crash is not known. A
/// completed run clears a request, so that an innocent one that is repeated is
/// held only when it never completes between two crashes.
class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectsSettings Settings = {})
      : Settings_(Settings) {}

  /// A crash at this node or in a CrashNotice. False when the id was seen
  /// before; the notice then changes nothing and need not be passed on.
  bool onCrash(std::uint64_t CrashId, std::span<const std::uint64_t> Suspects,
               TimePoint Now);

  /// A run of the request ended with a complete answer.
  void onCompleted(std::uint64_t Fingerprint);

  /// A run that admit allowed as a trial did not reach the target; the next
  /// request may be the trial instead.
  void onNotRun(std::uint64_t Fingerprint);

  /// Whether a request is held back with HeldBack at this time. Does not count
  /// as a trial.
  bool isHeldBack(std::uint64_t Fingerprint, TimePoint Now) const;

  /// Like !isHeldBack, but after the hold the first call starts a trial:
  /// further requests are held until the trial completes, crashes, or another
  /// hold time passes.
  [[nodiscard]] bool admit(std::uint64_t Fingerprint, TimePoint Now);

  /// Drops suspects and crash ids whose time has passed.
  void expire(TimePoint Now);

  /// Fingerprints in the table.
  std::size_t size() const { return Suspects_.size(); }

private:
  struct Suspect {
    unsigned Crashes_ = 0;
    TimePoint LastCrash_;
    std::uint64_t LastCrashId_ = 0;
    TimePoint HeldUntil_;
    bool InTrial_ = false;
  };

  void dropOldest();
  void makeRoom();

  CrashSuspectsSettings Settings_;
  std::unordered_map<std::uint64_t, Suspect> Suspects_;
  /// Fingerprints in the order of their crashes, with outdated entries.
  std::deque<std::pair<TimePoint, std::uint64_t>> ByAge_;
  std::unordered_set<std::uint64_t> SeenIds_;
  std::deque<std::pair<TimePoint, std::uint64_t>> IdsByAge_;
};

} // namespace marigold::calls
