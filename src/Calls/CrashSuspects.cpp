#include "Calls/CrashSuspects.h"

#include <map>

namespace marigold::calls {
namespace {

/// Maximum number of requests in heldBack, which fit into datagrams.
constexpr std::size_t MaxHeldBack = 64;

} // namespace

bool CrashSuspects::onCrash(std::uint64_t CrashId,
                            std::span<const std::uint64_t> Suspects,
                            TimePoint Now) {
  expire(Now);
  if (!SeenIds_.insert(CrashId).second)
    return false;
  IdsByAge_.emplace_back(Now, CrashId);
  if (IdsByAge_.size() > Settings_.MaxCrashIds_) {
    SeenIds_.erase(IdsByAge_.front().second);
    IdsByAge_.pop_front();
  }
  for (std::uint64_t Fingerprint : Suspects) {
    Suspect &Entry = Suspects_[Fingerprint];
    // The target may have been running the same request twice.
    if (Entry.LastCrashId_ == CrashId && Entry.Crashes_ > 0)
      continue;
    ++Entry.Crashes_;
    Entry.LastCrash_ = Now;
    Entry.PreviousCrashId_ = Entry.LastCrashId_;
    Entry.LastCrashId_ = CrashId;
    Entry.InTrial_ = false;
    if (Entry.Crashes_ >= Settings_.CrashThreshold_)
      Entry.HeldUntil_ = Now + Settings_.HoldTime_;
    ByAge_.emplace_back(Now, Fingerprint);
    makeRoom();
  }
  return true;
}

void CrashSuspects::onCompleted(std::uint64_t Fingerprint) {
  Suspects_.erase(Fingerprint);
}

void CrashSuspects::onNotRun(std::uint64_t Fingerprint) {
  auto Position = Suspects_.find(Fingerprint);
  if (Position == Suspects_.end() || !Position->second.InTrial_)
    return;
  Position->second.InTrial_ = false;
  Position->second.HeldUntil_ = TimePoint::min();
}

bool CrashSuspects::isHeldBack(std::uint64_t Fingerprint, TimePoint Now) const {
  auto Position = Suspects_.find(Fingerprint);
  return Position != Suspects_.end() &&
         Position->second.Crashes_ >= Settings_.CrashThreshold_ &&
         Now < Position->second.HeldUntil_;
}

bool CrashSuspects::admit(std::uint64_t Fingerprint, TimePoint Now) {
  if (isHeldBack(Fingerprint, Now))
    return false;
  auto Position = Suspects_.find(Fingerprint);
  if (Position == Suspects_.end() ||
      Position->second.Crashes_ < Settings_.CrashThreshold_)
    return true;
  Position->second.InTrial_ = true;
  Position->second.HeldUntil_ = Now + Settings_.HoldTime_;
  return true;
}

std::vector<CrashRecord> CrashSuspects::heldBack(TimePoint Now) const {
  std::map<std::uint64_t, std::vector<std::uint64_t>> ByCrash;
  std::size_t Count = 0;
  for (const auto &[Fingerprint, Entry] : Suspects_) {
    if (!isHeldBack(Fingerprint, Now))
      continue;
    if (++Count > MaxHeldBack)
      break;
    ByCrash[Entry.PreviousCrashId_].push_back(Fingerprint);
    ByCrash[Entry.LastCrashId_].push_back(Fingerprint);
  }
  std::vector<CrashRecord> Crashes;
  for (auto &[Id, Fingerprints] : ByCrash)
    Crashes.push_back({Id, std::move(Fingerprints)});
  return Crashes;
}

void CrashSuspects::expire(TimePoint Now) {
  while (!ByAge_.empty() && Now - ByAge_.front().first >= Settings_.Retention_)
    dropOldest();
  while (!IdsByAge_.empty() &&
         Now - IdsByAge_.front().first >= Settings_.Retention_) {
    SeenIds_.erase(IdsByAge_.front().second);
    IdsByAge_.pop_front();
  }
}

void CrashSuspects::dropOldest() {
  auto [When, Fingerprint] = ByAge_.front();
  ByAge_.pop_front();
  auto Position = Suspects_.find(Fingerprint);
  // If the request was in a later crash, that one has its own entry.
  if (Position != Suspects_.end() && Position->second.LastCrash_ == When)
    Suspects_.erase(Position);
}

void CrashSuspects::makeRoom() {
  // Entries of cleared requests stay in ByAge_ until they expire. Its bound is
  // a multiple of the table size, so that they do not evict current suspects
  // early.
  while (Suspects_.size() > Settings_.MaxFingerprints_ ||
         ByAge_.size() > 4 * Settings_.MaxFingerprints_)
    dropOldest();
}

} // namespace marigold::calls
