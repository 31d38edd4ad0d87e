#pragma once

#include "Membership/HostTable.h"
#include "Membership/TargetDirectory.h"

#include <unordered_map>

namespace marigold::membership {

/// One host of the platform's host list.
struct ListedHost {
  /// Address, service, failure domain, region and ports. Incarnation,
  /// sequence and state are not in the list and are ignored.
  HostRecord Record_;
  /// The platform is about to take the host away.
  bool Leaving_ = false;
};

/// One read of the host list.
struct HostList {
  /// Hosts.
  std::vector<ListedHost> Hosts_;
  /// Time of the answer. A host that was heard from since then knows better.
  TimePoint ReadAt_;
  /// All targets, on platforms that list them; authoritative for the choice of
  /// targets. Nothing on platforms that only list hosts.
  std::optional<std::vector<ListedTarget>> Targets_ = {};
  /// Entries that could not be used since the list before.
  std::size_t Unusable_ = 0;
  /// Revision of the source up to which Targets_ holds every change; 0 on
  /// platforms without one.
  std::uint64_t Revision_ = 0;
  /// Revision of the newest configuration up to Revision_.
  std::uint64_t ConfigRevision_ = 0;
};

/// Turns reads of the host list into records to merge. The list lags, so it
/// adds unknown hosts and marks leaving ones, and never overrides what a host
/// said itself after the list was read. A host that the list no longer has is
/// left to the probes.
class HostListMerger {
public:
  /// Records to pass to ProbeScheduler::onListed. A leaving mark is given once
  /// for each incarnation: a host that refutes it knows better than the list.
  std::vector<HostRecord> apply(const HostList &List, const HostTable &Table);

private:
  // Incarnation for which a host was marked as leaving.
  std::unordered_map<HostId, std::uint64_t, HostIdHash> MarkedLeaving_;
};

} // namespace marigold::membership
