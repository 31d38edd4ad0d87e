#include "Membership/TargetDirectory.h"

#include "Support/SourceRevision.h"

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

bool TargetDirectory::isOutdatedCopy(const ListedTarget &Target) const {
  if (auto Position = Entries_.find(Target.Instance_);
      Position != Entries_.end()) {
    const ListedTarget &Held = Position->second.Target_;
    return isOlder(Target, Held) &&
           (Held.Leaving_ || Held.StartedAt_ != Target.StartedAt_);
  }
  if (Target.Leaving_)
    return false;
  auto Removed = std::find_if(
      Removals_.rbegin(), Removals_.rend(),
      [&](const Removal &Each) { return Each.Instance_ == Target.Instance_; });
  return Removed != Removals_.rend() &&
         (!Removed->Last_ || Removed->Last_->StartedAt_ >= Target.StartedAt_);
}

bool TargetDirectory::isStillWithheld(const ListedTarget &Target) {
  auto Position = Withheld_.find(Target.Instance_);
  if (Position == Withheld_.end())
    return false;
  if (Position->second == Target)
    return true;
  Withheld_.erase(Position);
  return false;
}

void TargetDirectory::reportAll(const std::vector<ListedTarget> &Listed,
                                bool Ordered, bool EraBegan) {
  for (const ListedTarget &Target : Listed) {
    if (EraBegan && isOutdatedCopy(Target))
      Withheld_.insert_or_assign(Target.Instance_, Target);
    if (!isStillWithheld(Target))
      report(Target, Ordered);
    else if (auto Held = Entries_.find(Target.Instance_);
             Held != Entries_.end())
      Held->second.change(Held->second.Target_, false, ContentRevision_);
  }
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

bool TargetDirectory::advanceTo(std::uint64_t Revision,
                                std::uint64_t ContentRevision, TimePoint Now) {
  bool EraBegins = Revision_ != 0 && eraOf(Revision) > eraOf(Revision_);
  Revision_ = Revision;
  ContentRevision_ = std::max({ContentRevision_, Revision, ContentRevision});
  // Removals before the first list, and those that the copy of an era lacks,
  // are not known.
  if (!std::exchange(Known_, true) || EraBegins)
    ForgottenUpTo_ = ContentRevision_;
  if (!EraBegins)
    return false;
  onOutageEnded(Now);
  WithholdUntil_ = Now + CopyGrace_;
  Withheld_.clear();
  KeptEvacuated_ = Evacuated_;
  return true;
}

void TargetDirectory::apply(
    const std::vector<ListedTarget> &Listed, TimePoint Now,
    std::uint64_t Revision, std::uint64_t ContentRevision,
    const std::optional<std::vector<std::string>> &Removed) {
  if (Revision < Revision_)
    return;
  bool Ordered = Revision != 0 && Revision >= ContentRevision_;
  bool EraBegan = advanceTo(Revision, ContentRevision, Now);
  bool KeepMissing = KeepMissingUntil_ && Now < *KeepMissingUntil_;
  reportAll(Listed, Ordered, EraBegan);
  markMissing(Listed);
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

void TargetDirectory::markMissing(const std::vector<ListedTarget> &Listed) {
  std::set<std::string_view> Instances;
  for (const ListedTarget &Target : Listed)
    Instances.insert(Target.Instance_);
  for (auto &[Instance, Held] : Entries_)
    if (!Instances.contains(Instance))
      Held.change(Held.Target_, true, ContentRevision_);
  std::erase_if(Withheld_, [&](const auto &Pair) {
    return !Instances.contains(Pair.first);
  });
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
    for (const Removal &Each : Removals_)
      if (Each.Revision_ > Changes.Base_ && !Entries_.contains(Each.Instance_))
        Changes.Removed_.push_back(Each.Instance_);
  return Changes;
}

bool TargetDirectory::merge(const TargetChanges &Changes, TimePoint Now) {
  bool Whole = Changes.Base_ == 0;
  if (Changes.Revision_ <= Revision_ ||
      (!Whole && (Changes.Base_ > Revision_ ||
                  eraOf(Changes.Base_) != eraOf(Changes.Revision_))))
    return false;
  bool Ordered = Changes.Revision_ >= ContentRevision_;
  bool EraBegan = advanceTo(Changes.Revision_, Changes.Revision_, Now);
  setEvacuated(Changes.Evacuated_);
  reportAll(Changes.Changed_, Ordered, EraBegan);
  std::set<std::string_view> Removed(Changes.Removed_.begin(),
                                     Changes.Removed_.end());
  if (Whole)
    markMissing(Changes.Changed_);
  // A peer that has started since the era began does not know which targets
  // the copy lacks.
  bool KeepMissing =
      WithholdUntil_ && KeepMissingUntil_ && Now < *KeepMissingUntil_;
  removeIf([&](const Entry &Held) {
    return Removed.contains(Held.Target_.Instance_) ||
           (Whole && Held.Missing_ && (!KeepMissing || Held.Target_.Leaving_));
  });
  std::erase_if(Withheld_,
                [&](const auto &Pair) { return Removed.contains(Pair.first); });
  if (Whole)
    ForgottenUpTo_ = ContentRevision_;
  else
    rememberRemoved(Changes.Removed_);
  rebuildIndex();
  return true;
}

bool TargetDirectory::expire(TimePoint Now, bool Confirmed) {
  bool Changed = false;
  if (KeepMissingUntil_ && Now >= *KeepMissingUntil_) {
    KeepMissingUntil_.reset();
    Changed = removeIf([](const Entry &Held) { return Held.Missing_; });
    for (const std::string &Domain : std::exchange(KeptEvacuated_, {}))
      Changed = std::erase(Evacuated_, Domain) != 0 || Changed;
  }
  if (WithholdUntil_ && Now >= *WithholdUntil_ && Confirmed) {
    WithholdUntil_.reset();
    for (const auto &[Instance, Target] : std::exchange(Withheld_, {})) {
      report(Target, true);
      Changed = true;
    }
  }
  if (Changed)
    rebuildIndex();
  return Changed;
}

void TargetDirectory::setEvacuated(std::vector<std::string> Domains) {
  std::erase_if(KeptEvacuated_, [&](const std::string &Domain) {
    return std::ranges::binary_search(Domains, Domain);
  });
  Evacuated_ = std::move(Domains);
  Evacuated_.insert(Evacuated_.end(), KeptEvacuated_.begin(),
                    KeptEvacuated_.end());
  std::ranges::sort(Evacuated_);
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
    if (!Held.Missing_ && !Withheld_.contains(Instance))
      Targets.push_back(Held.Target_);
  for (const auto &[Instance, Target] : Withheld_)
    Targets.push_back(Target);
  return Targets;
}

std::vector<std::string> TargetDirectory::listedEvacuated() const {
  std::vector<std::string> Listed = Evacuated_;
  for (const std::string &Domain : KeptEvacuated_)
    std::erase(Listed, Domain);
  return Listed;
}

/// Removes the entries that match the predicate. Returns whether there were
/// any.
template <class Predicate> bool TargetDirectory::removeIf(Predicate Remove) {
  std::size_t Before = Entries_.size();
  std::erase_if(Entries_, [&](const auto &Pair) {
    if (!Remove(Pair.second))
      return false;
    Removals_.push_back({Pair.first, ContentRevision_, Pair.second.Target_});
    return true;
  });
  rememberRemoved({});
  return Entries_.size() != Before;
}

void TargetDirectory::rememberRemoved(
    const std::vector<std::string> &Instances) {
  for (const std::string &Instance : Instances)
    if (std::none_of(Removals_.rbegin(), Removals_.rend(),
                     [&](const Removal &Each) {
                       return Each.Instance_ == Instance &&
                              Each.Revision_ == ContentRevision_;
                     }))
      Removals_.push_back({Instance, ContentRevision_, std::nullopt});
  for (; Removals_.size() > RemovalsKept_; Removals_.pop_front())
    ForgottenUpTo_ = std::max(ForgottenUpTo_, Removals_.front().Revision_);
}

std::span<const ListedTarget *const>
TargetDirectory::entriesAt(const HostId &Node) const {
  auto Position = ByNode_.find(Node);
  if (Position == ByNode_.end())
    return {};
  return Position->second;
}

const ListedTarget *TargetDirectory::find(const HostId &Node,
                                          std::string_view Service) const {
  auto Rank = [&](const ListedTarget *Target) {
    return std::pair(!Service.empty() && Target->Service_ == Service,
                     !Service.empty() && !Target->Leaving_);
  };
  auto Entries = entriesAt(Node);
  auto Best = std::ranges::max_element(Entries, {}, Rank);
  return Best == Entries.end() ? nullptr : *Best;
}

std::vector<const ListedTarget *>
TargetDirectory::ofService(std::string_view Service,
                           const ServiceLookup &ServiceAt) const {
  std::vector<const ListedTarget *> Found;
  for (const auto &[Node, Entries] : ByNode_) {
    const ListedTarget *Target =
        Entries.size() == 1
            ? Entries.front()
            : find(Node, ServiceAt ? ServiceAt(Node) : std::string_view());
    if (Target->Service_ == Service)
      Found.push_back(Target);
  }
  return Found;
}

void TargetDirectory::rebuildIndex() {
  ByNode_.clear();
  HasMissingEntries_ = false;
  for (const auto &[Instance, Held] : Entries_) {
    HasMissingEntries_ = HasMissingEntries_ || Held.Missing_;
    ByNode_[Held.Target_.Node_].push_back(&Held.Target_);
  }
  for (auto &[Node, Entries] : ByNode_)
    if (Entries.size() > 1)
      std::ranges::stable_sort(
          Entries, [](const ListedTarget *Left, const ListedTarget *Right) {
            return isOlder(*Right, *Left);
          });
}

} // namespace marigold::membership
