#include "Membership/UpdateQueue.h"

#include "Support/Archive.h"

#include <algorithm>
#include <bit>

namespace marigold::membership {

void UpdateQueue::push(HostUpdate Update) {
  HostId Id = Update.Record_.Id_;
  erase(Id);
  Item Queued;
  Queued.Bytes_ = encodeBody(Update).size();
  Queued.Update_ = std::move(Update);
  Queued.Order_ = NextOrder_--;
  Order_.insert(rank(Queued));
  Items_.emplace(Id, std::move(Queued));
  if (Items_.size() > MaxQueued_)
    erase(std::get<HostId>(*Order_.rbegin()));
}

std::vector<HostUpdate> UpdateQueue::take(std::size_t Count, std::size_t Bytes,
                                          std::size_t HostCount,
                                          const HostId &Receiver) {
  std::vector<HostId> Chosen;
  auto Choose = [&](const Item &Queued) {
    if (Queued.Bytes_ > Bytes || Chosen.size() == Count)
      return;
    Bytes -= Queued.Bytes_;
    Chosen.push_back(Queued.Update_.Record_.Id_);
  };
  auto OfReceiver = Items_.find(Receiver);
  if (OfReceiver != Items_.end())
    Choose(OfReceiver->second);
  for (const Rank &Next : Order_) {
    if (Chosen.size() == Count)
      break;
    const HostId &Id = std::get<HostId>(Next);
    if (Id != Receiver)
      Choose(Items_.at(Id));
  }
  std::vector<HostUpdate> Taken;
  std::size_t Limit = transmissions(HostCount);
  for (const HostId &Id : Chosen) {
    Item &Queued = Items_.at(Id);
    Taken.push_back(Queued.Update_);
    Order_.erase(rank(Queued));
    if (++Queued.Sent_ >= Limit)
      Items_.erase(Id);
    else
      Order_.insert(rank(Queued));
  }
  return Taken;
}

std::size_t UpdateQueue::transmissions(std::size_t HostCount) {
  // bit_width is floor(log2) + 1.
  return 3 * std::max<std::size_t>(1, std::bit_width(HostCount));
}

UpdateQueue::Rank UpdateQueue::rank(const Item &Queued) const {
  const HostId &Id = Queued.Update_.Record_.Id_;
  bool IsSuspicion = Queued.Update_.Record_.State_ == HostState::Suspect;
  return {Id != Own_, IsSuspicion, Queued.Sent_, Queued.Order_, Id};
}

void UpdateQueue::erase(const HostId &Id) {
  auto Found = Items_.find(Id);
  if (Found == Items_.end())
    return;
  Order_.erase(rank(Found->second));
  Items_.erase(Found);
}

} // namespace marigold::membership
