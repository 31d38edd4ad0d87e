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

/// Number of buckets whose digests are compared between two nodes.
inline constexpr std::size_t HostBucketCount = 64;

/// Maximum length in bytes of a service, failure domain or region name in a
/// record. It lets a datagram of 1,200 bytes hold the sender's record and
/// several updates.
inline constexpr std::size_t MaxHostNameLength = 63;

/// Maximum incarnation of a record. The bound ensures that a host can always
/// supersede a false record of itself.
inline constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 62;

struct HostTableOptions {
  /// Maximum number of records, including tombstones; more than twice the
  /// planned fleet size.
  std::size_t MaxHosts_ = 8192;
  /// Retention period of dead and gone records. It exceeds the longest
  /// partition planned for, one hour, so that both sides still know each other
  /// when the partition heals.
  Duration TombstoneLifetime_ = std::chrono::hours(2);
};

struct HostEntry {
  /// Record that won under the merge rule, see supersedes().
  HostRecord Record_;
  /// Last state reported by the host itself or by the host list, which excludes
  /// the failure detector's states Suspect and Dead. Target selection uses it:
  /// a suspected host that was draining is still draining.
  HostState ReportedState_ = HostState::Starting;
  /// Time at which the record last changed.
  TimePoint ChangedAt_;
  /// Time of the last message received from the host itself.
  std::optional<TimePoint> LastContactAt_;
};

/// Outcome of merging a record.
enum class ApplyOutcome : std::uint8_t {
  /// The host was not known; its record was added.
  Added,
  /// The record replaced an older one.
  Updated,
  /// The stored record is the same or newer, or the host is not known and the
  /// record is a tombstone.
  Stale,
  /// A field is out of range.
  Malformed,
  /// The table has reached its limit and holds no tombstones to evict.
  Full
};

struct ApplyResult {
  ApplyOutcome Outcome_ = ApplyOutcome::Stale;
  /// State before an update; empty otherwise.
  std::optional<HostState> Previous_;

  /// Returns whether the table changed.
  bool changed() const {
    return Outcome_ == ApplyOutcome::Added || Outcome_ == ApplyOutcome::Updated;
  }
};

/// Returns whether a host in this state is excluded from target selection as no
/// longer existing.
inline bool isTombstone(HostState State) {
  return State == HostState::Dead || State == HostState::Gone;
}

/// Merge rule: returns whether Left replaces Right. A higher incarnation wins,
/// then a higher sequence, then the later state. Records that differ only in
/// other fields are ordered by their content, so that all nodes converge on the
/// same record until the host itself raises its sequence.
bool supersedes(const HostRecord &Left, const HostRecord &Right);

/// Records of all known hosts, including this node. Not thread-safe.
class HostTable {
public:
  explicit HostTable(HostTableOptions Options = {});

  /// Merges a record. A dead or gone record of an unknown host is stale:
  /// otherwise peers would keep reintroducing expired tombstones.
  ApplyResult apply(const HostRecord &Record, TimePoint Now);

  /// Records that a message was received from the host itself.
  void onContact(const HostId &Id, TimePoint Now);

  /// Removes tombstones older than the retention period. Returns their number.
  std::size_t expire(TimePoint Now);

  /// Returns the entry of a host, or null. The pointer is valid until the next
  /// change of the table.
  const HostEntry *find(const HostId &Id) const;

  /// Returns the hosts of a service that are neither dead nor gone, sorted. The
  /// reference is valid until the next change of the table.
  const std::vector<HostId> &hostsOfService(std::string_view Service) const;

  /// Returns the hosts of a failure domain that are neither dead nor gone,
  /// sorted. The reference is valid until the next change of the table.
  const std::vector<HostId> &
  hostsOfFailureDomain(std::string_view FailureDomain) const;

  /// Returns the sorted names of the failure domains with at least one live
  /// host.
  std::vector<std::string> failureDomains() const;

  /// Calls Visit for each entry in unspecified order.
  void forEach(const std::function<void(const HostEntry &)> &Visit) const;

  /// Returns the hosts that are neither dead nor gone, sorted.
  std::vector<HostId> liveHosts() const;

  /// Digest of the records of all live hosts. It ignores the states Suspect and
  /// Dead set by the failure detector: they differ between nodes for a few
  /// seconds and do not require an exchange of records.
  std::uint64_t digest() const { return Digest_; }

  /// Digest of the live hosts in each bucket.
  const std::array<std::uint64_t, HostBucketCount> &bucketDigests() const {
    return Buckets_;
  }

  static std::size_t bucketOf(const HostId &Id);

  /// Returns the buckets whose digest differs from a peer's. If the peer's list
  /// does not have HostBucketCount entries, all buckets are returned.
  std::vector<std::uint16_t>
  differingBuckets(std::span<const std::uint64_t> Other) const;

  /// Returns the records in the given buckets, including tombstones. Bucket
  /// numbers out of range are ignored.
  std::vector<HostRecord>
  recordsOfBuckets(std::span<const std::uint16_t> Buckets) const;

  /// Number of records, including tombstones.
  std::size_t size() const { return Entries_.size(); }

  /// Number of hosts that are neither dead nor gone.
  std::size_t liveCount() const { return LiveCount_; }

  /// Number of records by state.
  const std::array<std::size_t, HostStateCount> &countByState() const {
    return CountByState_;
  }

  /// Counter that increases with each change of the set of live hosts or of a
  /// host's failure domain. Callers use it to cache data derived from the
  /// table.
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
