#pragma once

#include "Routing/ChoiceStrategy.h"
#include "Schema/generated/Messages.h"

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace marigold::routing {

/// NodeLocation of this node.
struct NodeLocation {
  /// Peer address, which makes the subset of each node a different one.
  HostId Self_;
  std::string FailureDomain_;
  std::string Region_;
};

/// How near a host is to this node.
Locality localityOf(const NodeLocation &Own, const HostRecord &Host);

/// State of the host at a position.
using HostStateLookup = std::function<HostState(std::size_t Index)>;

/// Positions of the hosts to which a node sends calls, at most Size Ready
/// ones. Hosts of the own failure domain come first, but a quarter of the
/// places goes to other failure domains, which take over when the own one
/// fails. Within a group the order is that of a rendezvous hash over node and
/// host: a change of one host changes one place, and the connections of many
/// nodes are spread evenly over the hosts. Suspect hosts ahead of the last
/// chosen one are included without taking a place, so that a false suspicion
/// does not reshuffle the subset. Hosts in other states are left out. StateOf
/// gives the state of the host at a position, which this node may know better
/// than the record.
std::vector<std::size_t> chooseSubset(const NodeLocation &Own,
                                      std::span<const HostRecord> Hosts,
                                      std::size_t Size,
                                      const HostStateLookup &StateOf);

} // namespace marigold::routing
