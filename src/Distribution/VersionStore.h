#pragma once

#include "Config/Delta.h"
#include "Config/Snapshot.h"
#include "Support/Clock.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace marigold::distribution {

/// Number of recent versions whose digests are kept in order to answer with a
/// delta. At one version every 30 s, a peer may lag behind by four minutes.
inline constexpr std::size_t DeltaBases = 8;

/// Maximum estimated memory of these digests in bytes. Fewer versions are kept
/// when they have many services and hosts, but always the current one.
inline constexpr std::size_t MaxDeltaBaseBytes = std::size_t{4} * 1024 * 1024;

/// Number of adopted versions kept for the node status.
inline constexpr std::size_t HistoryLength = 64;

/// Number of refused versions kept, to recognize which refusals reported by
/// peers are new.
inline constexpr std::size_t RefusalsKept = 16;

/// Time after which a refusal is no longer reported or forwarded, so that a
/// false refusal with a huge revision does not hide others forever.
inline constexpr Duration RefusalLifetime = std::chrono::hours(24);

struct AdoptedVersion {
  ConfigVersion Version_;
  Digest128 Digest_;
  TimePoint At_;
};

/// Numbers of offers that were not adopted, by reason.
struct OfferCounts {
  /// The offered version is older than the current one.
  std::uint64_t Older_ = 0;
  /// The offer has the current version but different content.
  std::uint64_t Conflicting_ = 0;
  /// The offer failed validation or its digest, or its delta could not be
  /// applied.
  std::uint64_t Invalid_ = 0;
};

/// The current configuration version. Only a strictly greater, complete and
/// valid version replaces it. Not thread-safe, but the snapshot returned by
/// current() is.
class VersionStore {
public:
  /// Adopts the snapshot if it is valid and newer than the current one. Fails
  /// with VersionCurrent (same version and content), VersionConflict (same
  /// version, different content), VersionOlder, or an error of
  /// validateSnapshot. A failure changes nothing but the counts.
  Result<void> offer(const config::SnapshotPointer &Offered, TimePoint Now);

  /// Like offer, for a text read from the source. VersionOlder, VersionConflict
  /// and invalid content are recorded as the latest refusal.
  Result<void> offerFromSource(const config::SnapshotPointer &Offered,
                               TimePoint Now);

  /// Applies a peer's answer. In addition to the errors of offer, fails with
  /// DeltaBaseMismatch and DigestMismatch, after which the whole snapshot must
  /// be requested as version {0, 0}. An unchanged answer fails with
  /// VersionCurrent.
  Result<void> offerReply(const SyncReply &Reply, TimePoint Now);

  /// Returns the current snapshot, or null.
  const config::SnapshotPointer &current() const { return Current_; }

  /// Returns the current version, or {0, 0} if there is none.
  ConfigVersion version() const;

  /// Returns the digest of the current version, or zero if there is none.
  Digest128 digest() const;

  /// Returns a request to a peer for a newer version.
  SyncRequest request() const;

  /// Returns the configuration part of the answer to a peer: unchanged if the
  /// peer is not behind, a delta if its version and digest are among those
  /// kept, the whole snapshot otherwise. The caller adds the summary and the
  /// host records.
  SyncReply answer(const SyncRequest &Request) const;

  /// Returns the last adopted versions, oldest first.
  const std::deque<AdoptedVersion> &history() const { return History_; }

  /// Records that this node refused a text of the source. Returns whether the
  /// refusal was not known before.
  bool refuse(const Refusal &Refused, TimePoint Now);

  /// Records a refusal reported by a peer. Returns whether it must be
  /// forwarded: it was not known, its revision is higher than that of the
  /// latest refusal, and no newer version has been adopted. Because the
  /// accepted refusals only increase, forwarding always ends. A refusal with
  /// VersionOlder is therefore shown only by the nodes that read the source.
  bool mergeRefusal(const Refusal &Refused, TimePoint Now);

  /// Returns the latest refusal, by this node or reported by a peer. Empty if
  /// there is none or a newer version was adopted since.
  const std::optional<Refusal> &lastRefusal() const { return LatestRefusal_; }

  /// Returns whether this node learned at or after Since that a text with this
  /// revision was refused. Earlier refusals may concern another text, because a
  /// source that lost its history reuses revisions.
  bool isRefused(std::uint64_t Revision, TimePoint Since) const;

  const OfferCounts &counts() const { return Counts_; }

  /// Number of versions from which a delta can be computed, and the estimated
  /// memory of their digests in bytes.
  std::size_t deltaBases() const { return Bases_.size(); }
  std::size_t deltaBaseBytes() const { return BaseBytes_; }

  /// Sets the version, digest and refusal in Summary.
  void fillSummary(NodeSummary &Summary) const;

private:
  Result<void> checkOrder(const ConfigVersion &Version,
                          const Digest128 &Digest);
  void adopt(const config::SnapshotPointer &Offered, TimePoint Now);
  bool rememberRefusal(const Refusal &Refused, TimePoint Now);
  bool isSuperseded(const Refusal &Refused) const;

  /// Keeps the digests of a version, and drops those of the oldest ones.
  void keepBase(const config::Snapshot &Adopted);

  config::SnapshotPointer Current_;
  std::deque<config::SnapshotDigests> Bases_;
  /// Estimated memory of Bases_ in bytes.
  std::size_t BaseBytes_ = 0;
  std::deque<AdoptedVersion> History_;
  // Refusals with the time at which they were learned, oldest first.
  std::deque<std::pair<Refusal, TimePoint>> Refusals_;
  std::optional<Refusal> LatestRefusal_;
  TimePoint LatestRefusalAt_;
  OfferCounts Counts_;
};

} // namespace marigold::distribution
