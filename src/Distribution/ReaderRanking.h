#pragma once

#include "Membership/HostTable.h"

#include <optional>

namespace marigold::distribution {

/// Hosts of a failure domain that read the source: those that are starting,
/// ready or draining, those with the fastest links first and equal ones ranked
/// by rendezvous hash, at most Count. Hosts that are
/// only listed do not read; Own counts in any state, so that the first node of
/// a domain reads.
std::vector<HostId> readersOf(const membership::HostTable &Table,
                              std::string_view FailureDomain, const HostId &Own,
                              std::size_t Count);

/// Position of Own among the readers of all failure domains in the order of a
/// rendezvous hash over host and index; nothing if it is not a reader.
std::optional<std::size_t> fetchPosition(const membership::HostTable &Table,
                                         const HostId &Own, std::uint64_t Index,
                                         std::size_t Count);

} // namespace marigold::distribution
