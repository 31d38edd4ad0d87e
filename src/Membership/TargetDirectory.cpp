#include "Membership/TargetDirectory.h"

#include <set>
#include <tuple>
#include <utility>

namespace marigold::membership {
namespace {

bool isOlder(const ListedTarget &Left, const ListedTarget &Right) {
  return std::tie(Left.StartedAt_, Left.Sequence_) <
         std::tie(Right.StartedAt_, Right.Sequence_);
}

} // namespace

void TargetDirectory::apply(std::vector<ListedTarget> Listed, TimePoint Now) {
  if (std::exchange(Failed_, false) && Known_)
    HoldUntil_ = Now + LapseGrace_;
  bool Hold = HoldUntil_ && Now < *HoldUntil_;
  Known_ = true;
  ReadAt_ = Now;
  std::set<std::string, std::less<>> Named;
  for (ListedTarget &Target : Listed) {
    Named.insert(Target.Instance_);
    auto [Position, Inserted] = Entries_.try_emplace(Target.Instance_);
    Entry &Held = Position->second;
    if (Inserted || !isOlder(Target, Held.Target_))
      Held.Target_ = std::move(Target);
  }
  for (auto &[Instance, Held] : Entries_)
    Held.Missing_ = !Named.contains(Instance);
  std::erase_if(Entries_, [&](const auto &Pair) {
    // A leaving target that is no longer listed has left.
    return Pair.second.Missing_ && (!Hold || Pair.second.Target_.Leaving_);
  });
  index();
}

bool TargetDirectory::expire(TimePoint Now) {
  if (!HoldUntil_ || Now < *HoldUntil_)
    return false;
  HoldUntil_.reset();
  bool Changed = std::erase_if(Entries_, [](const auto &Pair) {
                   return Pair.second.Missing_;
                 }) != 0;
  if (Changed)
    index();
  return Changed;
}

const ListedTarget *TargetDirectory::find(const HostId &Node) const {
  auto Position = ByNode_.find(Node);
  return Position == ByNode_.end() ? nullptr : Position->second;
}

std::vector<const ListedTarget *>
TargetDirectory::ofService(std::string_view Service) const {
  std::vector<const ListedTarget *> Found;
  for (const auto &[Node, Target] : ByNode_)
    if (Target->Service_ == Service)
      Found.push_back(Target);
  return Found;
}

void TargetDirectory::index() {
  ByNode_.clear();
  for (const auto &[Instance, Held] : Entries_) {
    const ListedTarget *&Newest = ByNode_[Held.Target_.Node_];
    if (!Newest || isOlder(*Newest, Held.Target_))
      Newest = &Held.Target_;
  }
}

} // namespace marigold::membership
