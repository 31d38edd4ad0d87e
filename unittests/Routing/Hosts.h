#pragma once

#include "Routing/Pool.h"

namespace marigold::routing {

/// Creates a ready host whose address is Number.
inline HostRecord makeHost(std::uint32_t Number, std::string Domain,
                           std::string Region = "west") {
  HostRecord Host;
  Host.Id_ = {Number, 7400};
  Host.Incarnation_ = 1;
  Host.State_ = HostState::Ready;
  Host.FailureDomain_ = std::move(Domain);
  Host.Region_ = std::move(Region);
  return Host;
}

/// Creates the location of a caller in failure domain a of region west.
inline NodeLocation makeLocation(std::uint32_t Number = 1000) {
  return {{Number, 7400}, "a", "west"};
}

} // namespace marigold::routing
