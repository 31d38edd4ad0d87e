#include "Transport/MemoryAccount.h"

#include <utility>

namespace marigold::transport {

std::optional<MemoryAccount::Id> MemoryAccount::open(std::uint64_t Kept,
                                                     std::function<void()> Shed,
                                                     TimePoint Now) {
  std::vector<std::function<void()>> Others;
  std::optional<Id> Opened;
  {
    std::lock_guard Lock(Mutex_);
    if (makeRoom(Next_, Kept, {}, Now, Others)) {
      Held_ += Kept;
      Entries_[Next_] = {Kept, {}, false, std::move(Shed)};
      Opened = Next_++;
    }
  }
  for (const auto &Call : Others)
    Call();
  return Opened;
}

bool MemoryAccount::resize(Id Holder, std::uint64_t Kept,
                           const SheddableMemory &Sheddable, TimePoint Now) {
  std::vector<std::function<void()>> Shed;
  bool Fits = true;
  {
    std::lock_guard Lock(Mutex_);
    auto Position = Entries_.find(Holder);
    if (Position == Entries_.end())
      return false;
    Entry &Own = Position->second;
    if (Own.Told_ && Sheddable.Bytes_ > 0)
      return false;
    std::uint64_t Before = Own.Kept_ + Own.Sheddable_.Bytes_;
    std::uint64_t After = Kept + Sheddable.Bytes_;
    if (After > Before)
      Fits = makeRoom(Holder, After - Before, Sheddable, Now, Shed);
    if (Fits) {
      Held_ = Held_ - Before + After;
      Own.Kept_ = Kept;
      Own.Sheddable_ = Sheddable;
      Own.Told_ = false;
    }
  }
  for (const auto &Call : Shed)
    Call();
  return Fits;
}

bool MemoryAccount::makeRoom(Id Holder, std::uint64_t Needed,
                             const SheddableMemory &Sheddable, TimePoint Now,
                             std::vector<std::function<void()>> &Shed) {
  while (Bound_ != 0 && Held_ + Needed > Bound_) {
    std::vector<SheddableMemory> Candidates;
    std::vector<Entry *> Owners;
    for (auto &[Number, Other] : Entries_) {
      Candidates.push_back(Number == Holder ? Sheddable : Other.Sheddable_);
      Owners.push_back(Number == Holder ? nullptr : &Other);
    }
    auto Chosen = chooseHolderToShed(Candidates, Now);
    if (!Chosen || !Owners[*Chosen])
      return false;
    Entry &Other = *Owners[*Chosen];
    Held_ -= Other.Sheddable_.Bytes_;
    Other.Sheddable_ = {};
    Other.Told_ = true;
    Shed.push_back(Other.Shed_);
  }
  return true;
}

void MemoryAccount::close(Id Holder) {
  std::function<void()> Dropped;
  std::lock_guard Lock(Mutex_);
  auto Position = Entries_.find(Holder);
  if (Position == Entries_.end())
    return;
  Held_ -= Position->second.Kept_ + Position->second.Sheddable_.Bytes_;
  Dropped.swap(Position->second.Shed_);
  Entries_.erase(Position);
}

std::uint64_t MemoryAccount::held() const {
  std::lock_guard Lock(Mutex_);
  return Held_;
}

} // namespace marigold::transport
