#include "Distribution/VersionStore.h"

#include "Support/Addresses.h"
#include "Support/Digest.h"

#include <algorithm>
#include <tuple>

namespace marigold::distribution {
namespace {

std::uint64_t checkValueOf(const ConfigVersion &Version,
                           const Digest128 &Digest) {
  return mixHash(mixHash(Version.Epoch_, Version.Revision_),
                 mixHash(Digest.High_, Digest.Low_));
}

auto sortKey(const Refusal &Refused) {
  return std::tie(Refused.Version_.Revision_, Refused.Version_.Epoch_,
                  Refused.Code_);
}

/// Returns about how much memory the digests of one version take.
std::size_t estimatedBytes(const config::SnapshotDigests &Digests) {
  // A node of the map with its links, name and digest.
  constexpr std::size_t EntryBytes = 96;
  std::size_t Bytes = 0;
  for (const auto *Names : {&Digests.Services_, &Digests.Hosts_})
    for (const auto &[Name, Digest] : *Names)
      Bytes += EntryBytes + Name.size();
  return Bytes;
}

} // namespace

Result<void> VersionStore::checkOrder(const ConfigVersion &Version,
                                      const Digest128 &Digest) {
  if (Version > version())
    return success();
  std::string Detail =
      toText(Version) + " offered, " + toText(version()) + " is current";
  if (Version < version()) {
    ++Counts_.Older_;
    return fail(ErrorCode::VersionOlder, Detail);
  }
  if (Current_ && Digest != Current_->digest()) {
    ++Counts_.Conflicting_;
    return fail(ErrorCode::VersionConflict, Detail);
  }
  return fail(ErrorCode::VersionCurrent, Detail);
}

Result<void> VersionStore::offer(const config::SnapshotPointer &Offered,
                                 TimePoint Now) {
  if (!Offered)
    return fail(ErrorCode::SnapshotInvalid, "no snapshot was offered");
  BOOST_OUTCOME_TRY(checkOrder(Offered->version(), Offered->digest()));
  Result<void> Valid = config::validateSnapshot(*Offered);
  if (!Valid) {
    ++Counts_.Invalid_;
    return Valid;
  }
  adopt(Offered, Now);
  return success();
}

Result<void>
VersionStore::offerFromSource(const config::SnapshotPointer &Offered,
                              TimePoint Now) {
  Result<void> Outcome = offer(Offered, Now);
  if (!Outcome && Offered && Outcome.error().Code_ != ErrorCode::VersionCurrent)
    refuse(
        {Offered->version(), static_cast<std::uint16_t>(Outcome.error().Code_)},
        Now);
  return Outcome;
}

Result<void> VersionStore::offerReply(const SyncReply &Reply, TimePoint Now) {
  if (Reply.Kind_ == SyncKind::Unchanged)
    return fail(ErrorCode::VersionCurrent,
                "peer replied that the version is unchanged");
  bool IsDelta = Reply.Kind_ == SyncKind::Delta;
  const ConfigVersion &Version =
      IsDelta ? Reply.Delta_.Version_ : Reply.Image_.Version_;
  const Digest128 &Digest =
      IsDelta ? Reply.Delta_.Digest_ : Reply.Image_.Digest_;
  if (Reply.Check_ != checkValueOf(Version, Digest)) {
    ++Counts_.Invalid_;
    return fail(ErrorCode::DigestMismatch,
                "check value does not match version and digest");
  }
  BOOST_OUTCOME_TRY(checkOrder(Version, Digest));
  if (IsDelta && !Current_) {
    ++Counts_.Invalid_;
    return fail(ErrorCode::DeltaBaseMismatch,
                "delta received without a current version");
  }
  // Both functions verify the digest and validate the snapshot.
  Result<config::SnapshotPointer> Built =
      IsDelta ? config::applyDelta(*Current_, Reply.Delta_)
              : config::fromImage(Reply.Image_);
  if (!Built) {
    ++Counts_.Invalid_;
    return Built.error();
  }
  adopt(Built.value(), Now);
  return success();
}

void VersionStore::adopt(const config::SnapshotPointer &Offered,
                         TimePoint Now) {
  Current_ = Offered;
  keepBase(*Offered);
  History_.push_back({Offered->version(), Offered->digest(), Now});
  if (History_.size() > HistoryLength)
    History_.pop_front();
  if (LatestRefusal_ && isSuperseded(*LatestRefusal_))
    LatestRefusal_.reset();
}

void VersionStore::keepBase(const config::Snapshot &Adopted) {
  Bases_.push_back(config::digestsOf(Adopted));
  BaseBytes_ += estimatedBytes(Bases_.back());
  while (Bases_.size() > DeltaBases ||
         (Bases_.size() > 1 && BaseBytes_ > MaxDeltaBaseBytes)) {
    BaseBytes_ -= estimatedBytes(Bases_.front());
    Bases_.pop_front();
  }
}

ConfigVersion VersionStore::version() const {
  return Current_ ? Current_->version() : ConfigVersion{};
}

Digest128 VersionStore::digest() const {
  return Current_ ? Current_->digest() : Digest128{};
}

SyncRequest VersionStore::request() const {
  SyncRequest Request;
  Request.Have_ = version();
  Request.HaveDigest_ = digest();
  return Request;
}

SyncReply VersionStore::answer(const SyncRequest &Request) const {
  SyncReply Reply;
  Reply.Kind_ = SyncKind::Unchanged;
  if (!Current_ || Request.Have_ >= version())
    return Reply;
  auto Base = std::find_if(Bases_.begin(), Bases_.end(),
                           [&](const config::SnapshotDigests &Kept) {
                             return Kept.Version_ == Request.Have_ &&
                                    Kept.Digest_ == Request.HaveDigest_;
                           });
  if (Base == Bases_.end()) {
    Reply.Kind_ = SyncKind::Whole;
    Reply.Image_ = config::toImage(*Current_);
  } else {
    Reply.Kind_ = SyncKind::Delta;
    Reply.Delta_ = config::makeDelta(*Base, *Current_);
  }
  Reply.Check_ = checkValueOf(version(), digest());
  return Reply;
}

bool VersionStore::refuse(const Refusal &Refused, TimePoint Now) {
  LatestRefusal_ = Refused;
  LatestRefusalAt_ = Now;
  return rememberRefusal(Refused, Now);
}

bool VersionStore::mergeRefusal(const Refusal &Refused, TimePoint Now) {
  if (LatestRefusal_ && Now - LatestRefusalAt_ > RefusalLifetime)
    LatestRefusal_.reset();
  bool Known =
      std::any_of(Refusals_.begin(), Refusals_.end(),
                  [&](const auto &Other) { return Other.first == Refused; });
  if (Refused.Version_.Revision_ == 0 || Known || isSuperseded(Refused) ||
      (LatestRefusal_ && sortKey(Refused) <= sortKey(*LatestRefusal_)))
    return false;
  return refuse(Refused, Now);
}

bool VersionStore::rememberRefusal(const Refusal &Refused, TimePoint Now) {
  bool IsNew = std::erase_if(Refusals_, [&](const auto &Other) {
                 return Other.first == Refused;
               }) == 0;
  Refusals_.emplace_back(Refused, Now);
  if (Refusals_.size() > RefusalsKept)
    Refusals_.pop_front();
  return IsNew;
}

bool VersionStore::isSuperseded(const Refusal &Refused) const {
  // A refusal without an epoch concerns a text that could not be parsed; the
  // revision decides.
  if (Refused.Version_.Epoch_ == 0)
    return Refused.Version_.Revision_ <= version().Revision_;
  return Refused.Version_ <= version();
}

bool VersionStore::isRefused(std::uint64_t Revision, TimePoint Since) const {
  return std::any_of(Refusals_.begin(), Refusals_.end(),
                     [&](const auto &Known) {
                       return Known.first.Version_.Revision_ == Revision &&
                              Known.second >= Since;
                     });
}

void VersionStore::fillSummary(NodeSummary &Summary) const {
  Summary.Version_ = version();
  Summary.Digest_ = digest().Low_;
  Summary.Refused_ = LatestRefusal_.value_or(Refusal{});
}

} // namespace marigold::distribution
