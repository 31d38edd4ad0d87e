#pragma once

#include "Ctl/FleetView.h"
#include "Support/Clock.h"

#include <vector>

namespace marigold::ctl {

/// Reply to one status query.
struct StatusReply {
  /// Admin address of the node.
  Address Admin_;
  /// Status of the node, or ConnectionFailed, TimedOut or MessageMalformed.
  Result<NodeStatus> Status_;
};

/// Limits for queryStatus().
struct QueryLimits {
  /// Maximum number of concurrent queries.
  std::size_t Parallel_ = 64;
  /// Timeout of one query.
  Duration Timeout_ = std::chrono::seconds(2);
  /// Maximum size of a response body in bytes (8 MiB). A list of 3,000 hosts
  /// takes about 200 bytes per host.
  std::size_t MaxBody_ = 8'388'608;
};

/// Queries the status of each node over HTTP and returns one reply per request,
/// in unspecified order. Blocks until all queries have finished.
std::vector<StatusReply> queryStatus(const std::vector<StatusRequest> &Requests,
                                     const QueryLimits &Limits);

} // namespace marigold::ctl
