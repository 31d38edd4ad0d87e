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

/// Earlier versions of which a node keeps the digests, so that it can answer
/// with a delta. At one version every 30 s a peer may lag by four minutes.
inline constexpr std::size_t DeltaBases = 8;

/// Adopted versions that a node remembers for checkers.
inline constexpr std::size_t HistoryLength = 64;

/// Refused versions that a node remembers, to recognize news among peers'
/// reports.
inline constexpr std::size_t RefusalsKept = 16;

/// Time after which a refusal is no longer shown or passed on, so that a false
/// one with a huge revision does not hide others forever.
inline constexpr Duration RefusalLifetime = std::chrono::hours(24);

/// One adopted version.
struct AdoptedVersion {
  /// Version.
  ConfigVersion Version_;
  /// Digest of the snapshot.
  Digest128 Digest_;
  /// Time of adoption.
  TimePoint At_;
};

/// Counts of what was not adopted.
struct OfferCounts {
  /// Offers of a version older than the one held.
  std::uint64_t Older_ = 0;
  /// Offers of the held version with other content.
  std::uint64_t Conflicting_ = 0;
  /// Offers that failed the validator or their digest, or whose delta did not
  /// apply.
  std::uint64_t Invalid_ = 0;
};

/// The version in force. Only a strictly greater version ever replaces it, and
/// only whole and valid. Not safe for use by several threads at once; the
/// snapshot that current() returns is.
class VersionStore {
public:
  /// Adopts the snapshot if it is newer than the one held and valid. Fails
  /// with VersionCurrent (same version and content), VersionConflict (same
  /// version, other content), VersionOlder, or an error of validateSnapshot;
  /// nothing changes then but the counts.
  Result<void> offer(const config::SnapshotPointer &Offered, TimePoint Now);

  /// Like offer, for a text that the source answered with. VersionOlder,
  /// VersionConflict and invalid content are kept as the latest refusal.
  Result<void> offerFromSource(const config::SnapshotPointer &Offered,
                               TimePoint Now);

  /// Applies a peer's answer. Fails also with DeltaBaseMismatch and
  /// DigestMismatch; the whole snapshot is then to be requested with
  /// {0, 0}. An unchanged answer fails with VersionCurrent.
  Result<void> offerReply(const SyncReply &Reply, TimePoint Now);

  /// The snapshot in force, or null.
  const config::SnapshotPointer &current() const { return Current_; }

  /// Version in force; {0, 0} without one.
  ConfigVersion version() const;

  /// Digest in force; zero without one.
  Digest128 digest() const;

  /// Request to a peer for a newer version.
  SyncRequest request() const;

  /// Configuration part of the answer to a peer: unchanged when it is not
  /// behind, a delta when its version and digest are among those kept, whole
  /// otherwise. The summary and the host records are left to the caller.
  SyncReply answer(const SyncRequest &Request) const;

  /// Last adopted versions, oldest first.
  const std::deque<AdoptedVersion> &history() const { return History_; }

  /// Keeps that this node refused a text of the source. Returns whether it is
  /// news.
  bool refuse(const Refusal &Refused, TimePoint Now);

  /// Keeps a refusal that a peer reports. Returns whether it is news to be
  /// passed on: not known, of a higher revision than the latest one, and no
  /// newer version in force. Since accepted refusals only rise, refusals that
  /// cross each other in the mesh come to rest. A refusal as VersionOlder is
  /// therefore shown only by the nodes that read the source.
  bool mergeRefusal(const Refusal &Refused, TimePoint Now);

  /// The latest refusal, of this node or reported by a peer; nothing when
  /// none or when a newer version was adopted since.
  const std::optional<Refusal> &lastRefusal() const { return Last_; }

  /// Whether this node learned at or after Since that a text with this
  /// revision was refused. Older knowledge may concern another text: a source
  /// that lost its history uses revisions again.
  bool isRefused(std::uint64_t Revision, TimePoint Since) const;

  /// Counts of offers that were not adopted.
  const OfferCounts &counts() const { return Counts_; }

  /// Fills version, digest and refusal of a summary.
  void fillSummary(NodeSummary &Summary) const;

private:
  Result<void> checkOrder(const ConfigVersion &Version,
                          const Digest128 &Digest);
  void adopt(const config::SnapshotPointer &Offered, TimePoint Now);
  bool keep(const Refusal &Refused, TimePoint Now);
  bool isSuperseded(const Refusal &Refused) const;

  config::SnapshotPointer Current_;
  std::deque<config::SnapshotDigests> Bases_;
  std::deque<AdoptedVersion> History_;
  // Refusals and when they were learned, oldest first.
  std::deque<std::pair<Refusal, TimePoint>> Refusals_;
  std::optional<Refusal> Last_;
  TimePoint LastAt_;
  OfferCounts Counts_;
};

} // namespace marigold::distribution
