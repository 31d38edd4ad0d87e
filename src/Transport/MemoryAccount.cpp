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
    if (makeRoom(Next_, Kept, Bound_, {}, Now, Others)) {
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
      Fits = makeRoom(Holder, After - Before, Bound_, Sheddable, Now, Shed);
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
                             std::uint64_t Limit,
                             const SheddableMemory &Sheddable, TimePoint Now,
                             std::vector<std::function<void()>> &Shed) {
  while (Bound_ != 0 && Held_ + Needed > Limit) {
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

bool MemoryAccount::reserve(MemoryUse Use, std::uint64_t Bytes, TimePoint Now) {
  std::vector<std::function<void()>> Shed;
  {
    std::lock_guard Lock(Mutex_);
    std::uint64_t Limit = reservationLimit(Bound_, Use);
    if (Bound_ != 0 && Held_ + Bytes > Limit) {
      std::uint64_t Sheddable = 0;
      for (const auto &[Number, Other] : Entries_)
        Sheddable += Other.Sheddable_.Bytes_;
      if (Held_ - Sheddable + Bytes > Limit)
        return false;
      makeRoom(Next_, Bytes, Limit, {}, Now, Shed);
    }
    Held_ += Bytes;
    Reserved_[static_cast<std::size_t>(Use)] += Bytes;
  }
  for (const auto &Call : Shed)
    Call();
  return true;
}

void MemoryAccount::release(MemoryUse Use, std::uint64_t Bytes) {
  std::lock_guard Lock(Mutex_);
  Held_ -= Bytes;
  Reserved_[static_cast<std::size_t>(Use)] -= Bytes;
}

std::uint64_t MemoryAccount::reserved(MemoryUse Use) const {
  std::lock_guard Lock(Mutex_);
  return Reserved_[static_cast<std::size_t>(Use)];
}

MemoryReservation::~MemoryReservation() { Account_->release(Use_, Bytes_); }

bool MemoryReservation::resize(std::uint64_t Bytes, TimePoint Now) {
  if (Bytes > Bytes_ && !Account_->reserve(Use_, Bytes - Bytes_, Now))
    return false;
  if (Bytes < Bytes_)
    Account_->release(Use_, Bytes_ - Bytes);
  Bytes_ = Bytes;
  return true;
}

Result<MemoryReservationPtr>
reserveMemory(const std::shared_ptr<MemoryAccount> &Account, MemoryUse Use,
              std::uint64_t Bytes, TimePoint Now) {
  if (!Account)
    return MemoryReservationPtr();
  if (!Account->reserve(Use, Bytes, Now))
    return fail(ErrorCode::NodeMemory);
  return std::make_shared<MemoryReservation>(Account, Use, Bytes);
}

std::shared_ptr<const std::string> shareBody(std::string Text,
                                             MemoryReservationPtr Memory) {
  // The text is destroyed before its memory is released.
  struct Shared {
    MemoryReservationPtr Memory_;
    std::string Text_;
  };
  auto Body = std::make_shared<Shared>();
  Body->Memory_ = std::move(Memory);
  Body->Text_ = std::move(Text);
  return {Body, &Body->Text_};
}

std::uint64_t MemoryAccount::held() const {
  std::lock_guard Lock(Mutex_);
  return Held_;
}

} // namespace marigold::transport
