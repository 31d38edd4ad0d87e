#include "Config/Delta.h"

#include <algorithm>
#include <set>

namespace marigold::config {
namespace {

template <class Range, class Projection>
bool isSortedAndUnique(const Range &Values, Projection Project) {
  return std::ranges::adjacent_find(Values, std::ranges::greater_equal(),
                                    Project) == Values.end();
}

ServiceEntryPointer makeEntry(ServiceConfig Service) {
  Digest128 Digest = serviceDigest(Service);
  return std::make_shared<const ServiceEntry>(
      ServiceEntry{std::move(Service), Digest});
}

/// Appends the entries of New that are missing from Old or have a different
/// digest there.
template <class Pointer, class Value>
void addChanged(const std::map<std::string, Digest128> &Old,
                const std::vector<Pointer> &New, std::vector<Value> &Changed) {
  for (const Pointer &Entry : New) {
    auto Position = Old.find(Entry->Config_.Name_);
    if (Position == Old.end() || Position->second != Entry->Digest_)
      Changed.push_back(Entry->Config_);
  }
}

/// Returns the entries of Base, sorted by name, without those in Removed and
/// with those in Changed added or replaced. Fails with SnapshotInvalid when the
/// lists are inconsistent.
template <class Pointer, class Value>
Result<std::vector<Pointer>>
mergeEntries(const std::vector<Pointer> &Base,
             const std::vector<Value> &Changed,
             const std::vector<std::string> &Removed, Pointer (*Make)(Value)) {
  if (!isSortedAndUnique(Changed, &Value::Name_) ||
      !isSortedAndUnique(Removed, std::identity()))
    return fail(ErrorCode::SnapshotInvalid, "delta is not sorted");
  auto NameOf = [](const Pointer &Entry) {
    return std::string_view(Entry->Config_.Name_);
  };
  std::set<std::string_view> Replaced;
  for (const std::string &Name : Removed) {
    if (!std::ranges::binary_search(Base, std::string_view(Name), {}, NameOf))
      return fail(ErrorCode::SnapshotInvalid,
                  "delta removes an entry that the base does not have");
    Replaced.insert(Name);
  }
  for (const Value &Entry : Changed)
    if (!Replaced.insert(Entry.Name_).second)
      return fail(ErrorCode::SnapshotInvalid,
                  "delta changes and removes the same entry");
  std::vector<Pointer> Kept;
  Kept.reserve(Base.size());
  for (const Pointer &Entry : Base)
    if (!Replaced.contains(Entry->Config_.Name_))
      Kept.push_back(Entry);
  std::vector<Pointer> Fresh;
  Fresh.reserve(Changed.size());
  for (const Value &Entry : Changed)
    Fresh.push_back(Make(Entry));
  std::vector<Pointer> Merged;
  Merged.reserve(Kept.size() + Fresh.size());
  std::ranges::merge(Kept, Fresh, std::back_inserter(Merged), {}, NameOf,
                     NameOf);
  return Merged;
}

} // namespace

SnapshotDigests digestsOf(const Snapshot &Value) {
  SnapshotDigests Digests{Value.version(), Value.digest(), {}};
  for (const ServiceEntryPointer &Entry : Value.services())
    Digests.Services_.emplace_hint(Digests.Services_.end(),
                                   Entry->Config_.Name_, Entry->Digest_);
  for (const VirtualHostPointer &Entry : Value.hosts())
    Digests.Hosts_.emplace_hint(Digests.Hosts_.end(), Entry->Config_.Name_,
                                Entry->Digest_);
  return Digests;
}

SnapshotDelta makeDelta(const Snapshot &Old, const Snapshot &New) {
  return makeDelta(digestsOf(Old), New);
}

SnapshotDelta makeDelta(const SnapshotDigests &Old, const Snapshot &New) {
  SnapshotDelta Delta;
  Delta.BaseVersion_ = Old.Version_;
  Delta.BaseDigest_ = Old.Digest_;
  Delta.Version_ = New.version();
  Delta.Digest_ = New.digest();
  Delta.Mesh_ = New.mesh();
  Delta.Limits_ = New.limits();
  addChanged(Old.Services_, New.services(), Delta.Changed_);
  for (const auto &[Name, Digest] : Old.Services_)
    if (New.findService(Name) == nullptr)
      Delta.Removed_.push_back(Name);
  addChanged(Old.Hosts_, New.hosts(), Delta.ChangedHosts_);
  for (const auto &[Name, Digest] : Old.Hosts_)
    if (New.findHost(Name) == nullptr)
      Delta.RemovedHosts_.push_back(Name);
  return Delta;
}

Result<SnapshotPointer> applyDelta(const Snapshot &Base,
                                   const SnapshotDelta &Delta) {
  if (Delta.BaseVersion_ != Base.version() ||
      Delta.BaseDigest_ != Base.digest())
    return fail(ErrorCode::DeltaBaseMismatch, "base is another version");
  BOOST_OUTCOME_TRY(auto Services, mergeEntries(Base.services(), Delta.Changed_,
                                                Delta.Removed_, &makeEntry));
  BOOST_OUTCOME_TRY(auto Hosts,
                    mergeEntries(Base.hosts(), Delta.ChangedHosts_,
                                 Delta.RemovedHosts_, &makeHostEntry));
  auto Built = std::make_shared<const Snapshot>(
      Delta.Version_, Delta.Mesh_, std::move(Services), std::move(Hosts),
      Delta.Limits_);
  if (Built->digest() != Delta.Digest_)
    return fail(ErrorCode::DigestMismatch, "digest of the delta's result");
  BOOST_OUTCOME_TRY(validateSnapshot(*Built));
  return Built;
}

} // namespace marigold::config
