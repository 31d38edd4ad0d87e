#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"
#include "Support/Digest.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::membership {

/// Number of buckets whose digests two nodes compare.
inline constexpr std::size_t HostBucketCount = 64;

/// Longest name of a service, failure domain or region in a record. With it a
/// datagram of 1,200 bytes holds the sender's record and some updates.
inline constexpr std::size_t MaxHostNameLength = 63;

/// Highest incarnation that a record may have, so that a host can always
/// exceed a false record of itself.
inline constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 62;

/// Limits of a host table.
struct HostTableOptions {
  /// Most records, tombstones included. More than twice the planned fleet.
  std::size_t MaxHosts_ = 8192;
  /// Time for which dead and gone records are kept. Longer than the partition
  /// of an hour that section 1 of the design plans for, so that both sides
  /// still know each other when it heals.
  Duration TombstoneLifetime_ = std::chrono::hours(2);
};

/// What this node knows of one host.
struct HostEntry {
  /// The record under the merge rule.
  HostRecord Record_;
  /// Last state that the host itself or the host list gave, without the
  /// judgements Suspect and Dead. A suspected host that was draining is still
  /// draining for the choice of targets.
  HostState ReportedState_ = HostState::Starting;
  /// Time of the last change of the record.
  TimePoint ChangedAt_;
  /// Time of the last message that came from the host itself.
  std::optional<TimePoint> HeardAt_;
};

/// What became of an offered record.
enum class ApplyOutcome : std::uint8_t {
  /// The host was not known and is now.
  Added,
  /// The record replaced an older one.
  Updated,
  /// The record held is the same or newer, or the host is not known and the
  /// record says that it is dead.
  Stale,
  /// A field is out of range.
  Malformed,
  /// The table is full of live hosts.
  Full
};

/// Result of HostTable::apply.
struct ApplyResult {
  /// What became of the record.
  ApplyOutcome Outcome_ = ApplyOutcome::Stale;
  /// State before an update.
  std::optional<HostState> Previous_;

  /// True when the table changed.
  bool changed() const {
    return Outcome_ == ApplyOutcome::Added || Outcome_ == ApplyOutcome::Updated;
  }
};

/// True for the states of hosts that no longer exist for the choice of targets.
inline bool isTombstone(HostState State) {
  return State == HostState::Dead || State == HostState::Gone;
}

/// The merge rule: true when Left replaces Right. A higher incarnation wins,
/// then a higher sequence, then the later state. Records that differ only in
/// other fields are ordered by their content, so that all nodes settle on the
/// same one until the host itself raises its sequence.
bool supersedes(const HostRecord &Left, const HostRecord &Right);

/// Records of all hosts that this node knows, itself included. Not safe for
/// use by several threads at once.
class HostTable {
public:
  /// An empty table.
  explicit HostTable(HostTableOptions Options = {});

  /// Merges a record. A dead or gone record of an unknown host is stale: it
  /// would otherwise return from peers forever.
  ApplyResult apply(const HostRecord &Record, TimePoint Now);

  /// Notes that a message came from the host itself.
  void noteHeard(const HostId &Id, TimePoint Now);

  /// Forgets tombstones older than their lifetime. Returns their number.
  std::size_t expire(TimePoint Now);

  /// The entry of a host, or null. Valid until the next change.
  const HostEntry *find(const HostId &Id) const;

  /// Hosts of a service that are neither dead nor gone, sorted. Valid until
  /// the next change.
  const std::vector<HostId> &hostsOfService(std::string_view Service) const;

  /// Hosts of a failure domain that are neither dead nor gone, sorted. Valid
  /// until the next change.
  const std::vector<HostId> &
  hostsOfFailureDomain(std::string_view FailureDomain) const;

  /// Names of the failure domains with at least one live host, sorted.
  std::vector<std::string> failureDomains() const;

  /// Calls Visit for each entry, in no particular order.
  void forEach(const std::function<void(const HostEntry &)> &Visit) const;

  /// Hosts that are neither dead nor gone, sorted.
  std::vector<HostId> liveHosts() const;

  /// Digest of all live hosts. Judgements are left out: they differ between
  /// nodes for a few seconds and need no exchange of records.
  std::uint64_t digest() const { return Digest_; }

  /// Digest of each bucket of live hosts.
  const std::array<std::uint64_t, HostBucketCount> &bucketDigests() const {
    return Buckets_;
  }

  /// Bucket of a host.
  static std::size_t bucketOf(const HostId &Id);

  /// Buckets whose digest differs from a peer's. A list of another length
  /// than HostBucketCount counts as wholly different.
  std::vector<std::uint16_t>
  differingBuckets(std::span<const std::uint64_t> Other) const;

  /// Records of the given buckets, tombstones included. Numbers out of range
  /// are ignored.
  std::vector<HostRecord>
  recordsOfBuckets(std::span<const std::uint16_t> Buckets) const;

  /// Number of records, tombstones included.
  std::size_t size() const { return Entries_.size(); }

  /// Number of hosts that are neither dead nor gone.
  std::size_t liveCount() const { return LiveCount_; }

  /// Number of records by state.
  const std::array<std::size_t, HostStateCount> &countByState() const {
    return CountByState_;
  }

  /// Grows with each change of the set of live hosts or of a failure domain,
  /// so that users can keep what they derived from the table.
  std::uint64_t generation() const { return Generation_; }

private:
  using Index = std::map<std::string, std::vector<HostId>, std::less<>>;

  void addToIndexes(const HostEntry &Entry);
  void removeFromIndexes(const HostEntry &Entry);
  bool evictOldestTombstone();

  HostTableOptions Options_;
  std::unordered_map<HostId, HostEntry, HostIdHash> Entries_;
  Index ByService_;
  Index ByFailureDomain_;
  std::array<std::uint64_t, HostBucketCount> Buckets_{};
  std::array<std::size_t, HostStateCount> CountByState_{};
  std::uint64_t Digest_ = 0;
  std::size_t LiveCount_ = 0;
  std::uint64_t Generation_ = 0;
};

} // namespace marigold::membership
