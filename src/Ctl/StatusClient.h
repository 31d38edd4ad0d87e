#pragma once

#include "Ctl/FleetView.h"
#include "Support/Clock.h"

#include <vector>

namespace marigold::ctl {

/// Answer to one query.
struct StatusReply {
  /// Admin address of the node.
  Address Admin_;
  /// Its status, or ConnectionFailed, TimedOut or MessageMalformed.
  Result<NodeStatus> Status_;
};

/// Limits of a round of queries.
struct QueryLimits {
  /// Queries that run at once.
  std::size_t Parallel_ = 64;
  /// Longest time of one query.
  Duration Timeout_ = std::chrono::seconds(2);
  /// Largest answer in bytes (8 MiB); the list of 3,000 hosts takes about 200
  /// bytes each.
  std::size_t MaxBody_ = 8'388'608;
};

/// Asks each node for its status over HTTP and returns one reply a request,
/// in any order. Blocks until all have ended.
std::vector<StatusReply> queryStatus(const std::vector<StatusRequest> &Requests,
                                     const QueryLimits &Limits);

} // namespace marigold::ctl
