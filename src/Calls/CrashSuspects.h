#pragma once

#include "Support/Clock.h"

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace marigold::calls {

/// Parameters of CrashSuspects.
struct CrashSuspectsSettings {
  /// Number of distinct crashes after which a request is held back.
  unsigned CrashThreshold_ = 2;
  /// Time for which a request is held back.
  Duration HoldTime_ = std::chrono::seconds(60);
  /// Time after its last crash for which a suspect is remembered.
  Duration Retention_ = std::chrono::minutes(10);
  /// Maximum number of fingerprints in the table. The one whose last crash is
  /// the oldest is dropped first.
  std::size_t MaxFingerprints_ = 4096;
  /// Maximum number of crash ids remembered to detect duplicate notices.
  std::size_t MaxCrashIds_ = 1024;
};

/// A crash of a target's process and requests that were in progress on it.
struct CrashRecord {
  std::uint64_t Id_ = 0;
  std::vector<std::uint64_t> Fingerprints_;
};

/// Detects requests that crash their targets and holds them back. All requests
/// in progress when a target's process crashes are suspects, because it is
/// unknown which one caused the crash. A completed run clears a request, so
/// that a harmless request that is sent repeatedly is only held back if it
/// never completes between two crashes.
class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectsSettings Settings = {})
      : Settings_(Settings) {}

  /// Records a crash of this node's target or one from a CrashNotice. Returns
  /// false if the crash id is already known; the notice is then ignored and
  /// need not be forwarded.
  bool onCrash(std::uint64_t CrashId, std::span<const std::uint64_t> Suspects,
               TimePoint Now);

  /// Records a run that ended with a complete answer. Clears the request.
  void onCompleted(std::uint64_t Fingerprint);

  /// Records that a run allowed as a trial by admit did not reach the target.
  /// The next request becomes the trial.
  void onNotRun(std::uint64_t Fingerprint);

  /// Whether a request is refused with HeldBack at this time. Does not start a
  /// trial.
  bool isHeldBack(std::uint64_t Fingerprint, TimePoint Now) const;

  /// Returns !isHeldBack. The first call after the hold time also starts a
  /// trial: further requests are held back until the trial completes or crashes
  /// or another hold time has passed.
  [[nodiscard]] bool admit(std::uint64_t Fingerprint, TimePoint Now);

  /// The crashes because of which requests are held back at this time, with
  /// these requests only. Another node that records them as crashes holds the
  /// same requests back. The number of requests is limited, and so that of
  /// crashes.
  std::vector<CrashRecord> heldBack(TimePoint Now) const;

  /// Drops suspects and crash ids after the retention time.
  void expire(TimePoint Now);

  /// Number of fingerprints in the table.
  std::size_t size() const { return Suspects_.size(); }

private:
  struct Suspect {
    unsigned Crashes_ = 0;
    TimePoint LastCrash_;
    std::uint64_t LastCrashId_ = 0;
    /// Id of the crash before the last one, if there are two.
    std::uint64_t PreviousCrashId_ = 0;
    TimePoint HeldUntil_;
    bool InTrial_ = false;
  };

  void dropOldest();
  void makeRoom();

  CrashSuspectsSettings Settings_;
  std::unordered_map<std::uint64_t, Suspect> Suspects_;
  /// Fingerprints in the order of their crashes. Also has entries of cleared
  /// requests and earlier crashes.
  std::deque<std::pair<TimePoint, std::uint64_t>> ByAge_;
  std::unordered_set<std::uint64_t> SeenIds_;
  std::deque<std::pair<TimePoint, std::uint64_t>> IdsByAge_;
};

} // namespace marigold::calls
