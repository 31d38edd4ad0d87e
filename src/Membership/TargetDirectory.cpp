#include "Membership/TargetDirectory.h"

#include <algorithm>
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

void TargetDirectory::Entry::change(ListedTarget Target, bool Missing,
                                    std::uint64_t Revision) {
  if (Target != Target_ || Missing != Missing_)
    ChangedAt_ = Revision;
  Target_ = std::move(Target);
  Missing_ = Missing;
}

void TargetDirectory::report(const ListedTarget &Target, bool Ordered) {
  auto [Position, Inserted] = Entries_.try_emplace(
      Target.Instance_, Entry{Target, false, ContentRevision_});
  if (Inserted)
    return;
  Entry &Held = Position->second;
  bool Outdated = !Ordered && isOlder(Target, Held.Target_);
  Held.change(Outdated ? Held.Target_ : Target, false, ContentRevision_);
}

void TargetDirectory::advanceTo(std::uint64_t Revision,
                                std::uint64_t ContentRevision) {
  Revision_ = Revision;
  ContentRevision_ = std::max({ContentRevision_, Revision, ContentRevision});
  // Removals before the first list are not known.
  if (!std::exchange(Known_, true))
    ForgottenUpTo_ = ContentRevision_;
}

void TargetDirectory::apply(
    const std::vector<ListedTarget> &Listed, TimePoint Now,
    std::uint64_t Revision, std::uint64_t ContentRevision,
    const std::optional<std::vector<std::string>> &Removed) {
  if (Revision < Revision_)
    return;
  bool Ordered = Revision != 0 && Revision >= ContentRevision_;
  advanceTo(Revision, ContentRevision);
  bool KeepMissing = KeepMissingUntil_ && Now < *KeepMissingUntil_;
  std::set<std::string, std::less<>> ListedInstances;
  for (const ListedTarget &Target : Listed) {
    ListedInstances.insert(Target.Instance_);
    report(Target, Ordered);
  }
  for (auto &[Instance, Held] : Entries_)
    if (!ListedInstances.contains(Instance))
      Held.change(Held.Target_, true, ContentRevision_);
  // A leaving target that is no longer listed has left, so it gets no grace
  // period.
  removeIf([&](const Entry &Held) {
    return Held.Missing_ && (!KeepMissing || Held.Target_.Leaving_);
  });
  if (Removed)
    rememberRemoved(*Removed);
  else
    ForgottenUpTo_ = ContentRevision_;
  rebuildIndex();
}

TargetChanges TargetDirectory::changesSince(std::uint64_t Revision) const {
  TargetChanges Changes;
  if (Revision >= Revision_)
    return Changes;
  Changes.Revision_ = Revision_;
  Changes.Evacuated_ = Evacuated_;
  Changes.Base_ = Revision < ForgottenUpTo_ ? 0 : Revision;
  for (const auto &[Instance, Held] : Entries_) {
    if (Changes.Base_ != 0 && Held.ChangedAt_ <= Changes.Base_)
      continue;
    Changes.Changed_.push_back(Held.Target_);
  }
  if (Changes.Base_ != 0)
    for (const auto &[Instance, RemovedAt] : Removals_)
      if (RemovedAt > Changes.Base_ && !Entries_.contains(Instance))
        Changes.Removed_.push_back(Instance);
  return Changes;
}

bool TargetDirectory::merge(const TargetChanges &Changes) {
  bool Whole = Changes.Base_ == 0;
  if (Changes.Revision_ <= Revision_ || (!Whole && Changes.Base_ > Revision_))
    return false;
  bool Ordered = Changes.Revision_ >= ContentRevision_;
  advanceTo(Changes.Revision_, Changes.Revision_);
  Evacuated_ = Changes.Evacuated_;
  std::set<std::string_view> ListedInstances;
  for (const ListedTarget &Target : Changes.Changed_) {
    ListedInstances.insert(Target.Instance_);
    report(Target, Ordered);
  }
  std::set<std::string_view> Removed(Changes.Removed_.begin(),
                                     Changes.Removed_.end());
  removeIf([&](const Entry &Held) {
    const std::string &Instance = Held.Target_.Instance_;
    return Removed.contains(Instance) ||
           (Whole && !ListedInstances.contains(Instance));
  });
  if (Whole)
    ForgottenUpTo_ = ContentRevision_;
  else
    rememberRemoved(Changes.Removed_);
  rebuildIndex();
  return true;
}

bool TargetDirectory::expire(TimePoint Now) {
  if (!KeepMissingUntil_ || Now < *KeepMissingUntil_)
    return false;
  KeepMissingUntil_.reset();
  bool Changed = removeIf([](const Entry &Held) { return Held.Missing_; });
  if (Changed)
    rebuildIndex();
  return Changed;
}

bool TargetDirectory::isEvacuated(std::string_view FailureDomain) const {
  return std::ranges::binary_search(Evacuated_, FailureDomain);
}

std::vector<ListedTarget> TargetDirectory::targets() const {
  std::vector<ListedTarget> Targets;
  Targets.reserve(Entries_.size());
  for (const auto &[Instance, Held] : Entries_)
    Targets.push_back(Held.Target_);
  return Targets;
}

std::vector<ListedTarget> TargetDirectory::listedTargets() const {
  std::vector<ListedTarget> Targets;
  for (const auto &[Instance, Held] : Entries_)
    if (!Held.Missing_)
      Targets.push_back(Held.Target_);
  return Targets;
}

/// Removes the entries that match the predicate. Returns whether there were
/// any.
template <class Predicate> bool TargetDirectory::removeIf(Predicate Remove) {
  std::size_t Before = Entries_.size();
  std::erase_if(Entries_, [&](const auto &Pair) {
    if (!Remove(Pair.second))
      return false;
    Removals_.emplace_back(Pair.first, ContentRevision_);
    return true;
  });
  rememberRemoved({});
  return Entries_.size() != Before;
}

void TargetDirectory::rememberRemoved(
    const std::vector<std::string> &Instances) {
  for (const std::string &Instance : Instances)
    Removals_.emplace_back(Instance, ContentRevision_);
  for (; Removals_.size() > RemovalsKept_; Removals_.pop_front())
    ForgottenUpTo_ = std::max(ForgottenUpTo_, Removals_.front().second);
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

void TargetDirectory::rebuildIndex() {
  ByNode_.clear();
  HasMissingEntries_ = false;
  for (const auto &[Instance, Held] : Entries_) {
    HasMissingEntries_ = HasMissingEntries_ || Held.Missing_;
    const ListedTarget *&Newest = ByNode_[Held.Target_.Node_];
    if (!Newest || isOlder(*Newest, Held.Target_))
      Newest = &Held.Target_;
  }
}

} // namespace marigold::membership
