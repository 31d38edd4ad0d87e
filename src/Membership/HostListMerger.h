#pragma once

#include "Membership/HostTable.h"
#include "Membership/TargetDirectory.h"

#include <unordered_map>

namespace marigold::membership {

/// One entry of the platform's host list.
struct ListedHost {
  /// Address, service, failure domain, region and ports. The list has no
  /// incarnation, sequence or state; those fields are ignored.
  HostRecord Record_;
  /// The platform is about to remove the host.
  bool Leaving_ = false;
};

/// Result of one read of the platform's host list.
struct HostList {
  std::vector<ListedHost> Hosts_;
  /// Time of the answer. A message received from a host after this time takes
  /// precedence over its entry.
  TimePoint ReadAt_;
  /// All targets, on platforms that list them; authoritative for target
  /// selection. Empty on platforms that only list hosts.
  std::optional<std::vector<ListedTarget>> Targets_ = {};
  /// Instances that were removed since the previous list, also those that were
  /// added after it. Nothing if the source does not know them, because it has
  /// read the list as a whole.
  std::optional<std::vector<std::string>> Removed_ = {};
  /// Failure domains that are evacuated, sorted. Nothing if the source does not
  /// follow evacuations.
  std::optional<std::vector<std::string>> Evacuated_ = {};
  /// Number of invalid entries since the previous list.
  std::size_t Unusable_ = 0;
  /// Revision of the source up to which Targets_ includes every change; 0 on
  /// platforms without revisions.
  std::uint64_t Revision_ = 0;
  /// Latest revision of which Targets_ may contain a change. After Revision_ if
  /// the list was assembled from reads at several revisions.
  std::uint64_t ContentRevision_ = 0;
  /// Revision of the newest configuration at or below Revision_.
  std::uint64_t ConfigRevision_ = 0;
};

/// Converts reads of the host list into records to merge. The list lags behind,
/// so it only adds unknown hosts and marks leaving ones. It never overrides
/// what a host reported about itself after the list was read. Hosts that
/// disappear from the list are left to failure detection by probes.
class HostListMerger {
public:
  /// Returns the records to pass to ProbeScheduler::onListed. A host is marked
  /// as leaving once per incarnation: a host that refutes the mark has newer
  /// information than the list.
  std::vector<HostRecord> apply(const HostList &List, const HostTable &Table);

private:
  // Incarnation at which each host was last marked as leaving.
  std::unordered_map<HostId, std::uint64_t, HostIdHash> MarkedLeaving_;
};

} // namespace marigold::membership
