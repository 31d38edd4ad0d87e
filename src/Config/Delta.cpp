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

ServiceEntryPointer makeEntry(const ServiceConfig &Service) {
  return std::make_shared<const ServiceEntry>(
      ServiceEntry{Service, serviceDigest(Service)});
}

} // namespace

SnapshotDigests digestsOf(const Snapshot &Value) {
  SnapshotDigests Digests{Value.version(), Value.digest(), {}};
  for (const ServiceEntryPointer &Entry : Value.services())
    Digests.Services_.emplace_hint(Digests.Services_.end(),
                                   Entry->Config_.Name_, Entry->Digest_);
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
  for (const ServiceEntryPointer &Entry : New.services()) {
    auto Position = Old.Services_.find(Entry->Config_.Name_);
    if (Position == Old.Services_.end() || Position->second != Entry->Digest_)
      Delta.Changed_.push_back(Entry->Config_);
  }
  for (const auto &[Name, Digest] : Old.Services_)
    if (New.findService(Name) == nullptr)
      Delta.Removed_.push_back(Name);
  return Delta;
}

Result<SnapshotPointer> applyDelta(const Snapshot &Base,
                                   const SnapshotDelta &Delta) {
  if (Delta.BaseVersion_ != Base.version() ||
      Delta.BaseDigest_ != Base.digest())
    return fail(ErrorCode::DeltaBaseMismatch, "base is another version");
  if (!isSortedAndUnique(Delta.Changed_, &ServiceConfig::Name_) ||
      !isSortedAndUnique(Delta.Removed_, std::identity()))
    return fail(ErrorCode::SnapshotInvalid, "delta is not sorted");

  std::set<std::string_view> Replaced;
  for (const std::string &Name : Delta.Removed_) {
    if (Base.findService(Name) == nullptr)
      return fail(ErrorCode::SnapshotInvalid,
                  "delta removes a service that the base does not have");
    Replaced.insert(Name);
  }
  for (const ServiceConfig &Service : Delta.Changed_)
    if (!Replaced.insert(Service.Name_).second)
      return fail(ErrorCode::SnapshotInvalid,
                  "delta changes and removes the same service");

  std::vector<ServiceEntryPointer> Kept;
  Kept.reserve(Base.services().size());
  for (const ServiceEntryPointer &Entry : Base.services())
    if (!Replaced.contains(Entry->Config_.Name_))
      Kept.push_back(Entry);
  std::vector<ServiceEntryPointer> Changed;
  Changed.reserve(Delta.Changed_.size());
  for (const ServiceConfig &Service : Delta.Changed_)
    Changed.push_back(makeEntry(Service));
  std::vector<ServiceEntryPointer> Merged;
  Merged.reserve(Kept.size() + Changed.size());
  std::ranges::merge(
      Kept, Changed, std::back_inserter(Merged), {},
      [](const ServiceEntryPointer &Entry) {
        return std::string_view(Entry->Config_.Name_);
      },
      [](const ServiceEntryPointer &Entry) {
        return std::string_view(Entry->Config_.Name_);
      });

  auto Built = std::make_shared<const Snapshot>(Delta.Version_, Delta.Mesh_,
                                                std::move(Merged));
  if (Built->digest() != Delta.Digest_)
    return fail(ErrorCode::DigestMismatch, "digest of the delta's result");
  BOOST_OUTCOME_TRY(validateSnapshot(*Built));
  return Built;
}

} // namespace marigold::config
