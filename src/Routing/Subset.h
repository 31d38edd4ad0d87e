#pragma once

#include "Routing/ChoiceStrategy.h"
#include "Schema/generated/Messages.h"

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace marigold::routing {

/// Identity and location of this node.
struct NodeLocation {
  /// Peer address. Part of the hash, so that nodes have different subsets.
  HostId Id_;
  std::string FailureDomain_;
  std::string Region_;
};

/// Distance of a host from this node.
Locality localityOf(const NodeLocation &Own, const HostRecord &Host);

/// Returns the state of the host at a position.
using HostStateLookup = std::function<HostState(std::size_t Index)>;

/// Returns the positions of the hosts to which a node sends calls, at most Size
/// of them Ready. Hosts of the node's own failure domain are preferred, but a
/// quarter of the subset is reserved for other failure domains, which take over
/// when the own one fails. Within a group, hosts are ranked by a rendezvous
/// hash of node and host: a change of one host replaces at most one member, and
/// the connections of many nodes are spread evenly over the hosts. Suspect
/// hosts that rank before the last chosen host are included without counting
/// towards Size, so that a false suspicion does not reshuffle the subset. Hosts
/// in other states are excluded. StateOf returns the state of the host at a
/// position; it may be more recent than the one in the record.
std::vector<std::size_t> chooseSubset(const NodeLocation &Own,
                                      std::span<const HostRecord> Hosts,
                                      std::size_t Size,
                                      const HostStateLookup &StateOf);

} // namespace marigold::routing
