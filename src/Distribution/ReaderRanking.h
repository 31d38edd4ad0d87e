#pragma once

#include "Membership/HostTable.h"

#include <optional>

namespace marigold::distribution {

/// Returns the hosts of a failure domain that read the source, at most Count:
/// starting, ready and draining hosts, sorted by link rate in descending order
/// and then by rendezvous hash. Hosts known only from the host list are
/// excluded. Own is included in any state, so that the first node of a domain
/// reads.
std::vector<HostId> readersOf(const membership::HostTable &Table,
                              std::string_view FailureDomain, const HostId &Own,
                              std::size_t Count);

/// Returns the position of Own among the readers of all failure domains,
/// ordered by a rendezvous hash of host and index, or nothing if Own is not a
/// reader.
std::optional<std::size_t> fetchPosition(const membership::HostTable &Table,
                                         const HostId &Own, std::uint64_t Index,
                                         std::size_t Count);

} // namespace marigold::distribution
