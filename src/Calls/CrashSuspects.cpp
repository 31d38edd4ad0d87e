#include "Calls/CrashSuspects.h"

namespace marigold::calls {

bool CrashSuspects::onCrash(std::uint64_t CrashId,
                            std::span<const std::uint64_t> Suspects,
                            TimePoint Now) {
  expire(Now);
  if (!SeenIds_.insert(CrashId).second)
    return false;
  IdsByAge_.emplace_back(Now, CrashId);
  if (IdsByAge_.size() > Settings_.CrashIds_) {
    SeenIds_.erase(IdsByAge_.front().second);
    IdsByAge_.pop_front();
  }
  for (std::uint64_t Fingerprint : Suspects) {
    Suspect &Held = Suspects_[Fingerprint];
    // The same request may have been in progress twice at one target.
    if (Held.LastCrashId_ == CrashId && Held.Crashes_ > 0)
      continue;
    ++Held.Crashes_;
    Held.LastCrash_ = Now;
    Held.LastCrashId_ = CrashId;
    Held.Trial_ = false;
    if (Held.Crashes_ >= Settings_.Crashes_)
      Held.HeldUntil_ = Now + Settings_.Hold_;
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
  if (Position == Suspects_.end() || !Position->second.Trial_)
    return;
  Position->second.Trial_ = false;
  Position->second.HeldUntil_ = TimePoint::min();
}

bool CrashSuspects::isHeld(std::uint64_t Fingerprint, TimePoint Now) const {
  auto Position = Suspects_.find(Fingerprint);
  return Position != Suspects_.end() &&
         Position->second.Crashes_ >= Settings_.Crashes_ &&
         Now < Position->second.HeldUntil_;
}

bool CrashSuspects::admit(std::uint64_t Fingerprint, TimePoint Now) {
  if (isHeld(Fingerprint, Now))
    return false;
  auto Position = Suspects_.find(Fingerprint);
  if (Position == Suspects_.end() ||
      Position->second.Crashes_ < Settings_.Crashes_)
    return true;
  Position->second.Trial_ = true;
  Position->second.HeldUntil_ = Now + Settings_.Hold_;
  return true;
}

void CrashSuspects::expire(TimePoint Now) {
  while (!ByAge_.empty() && Now - ByAge_.front().first >= Settings_.Memory_)
    dropOldest();
  while (!IdsByAge_.empty() &&
         Now - IdsByAge_.front().first >= Settings_.Memory_) {
    SeenIds_.erase(IdsByAge_.front().second);
    IdsByAge_.pop_front();
  }
}

void CrashSuspects::dropOldest() {
  auto [When, Fingerprint] = ByAge_.front();
  ByAge_.pop_front();
  auto Position = Suspects_.find(Fingerprint);
  // A later crash of the same request has its own entry.
  if (Position != Suspects_.end() && Position->second.LastCrash_ == When)
    Suspects_.erase(Position);
}

void CrashSuspects::makeRoom() {
  // Entries of cleared requests stay in ByAge_ until their time; the bound on
  // its length is a multiple so that they do not push out live suspects early.
  while (Suspects_.size() > Settings_.Fingerprints_ ||
         ByAge_.size() > 4 * Settings_.Fingerprints_)
    dropOldest();
}

} // namespace marigold::calls
