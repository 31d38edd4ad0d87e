#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Random.h"

#include <cstddef>
#include <span>
#include <vector>

namespace marigold::routing {

/// Distributes the requests of one route over its services by weight, using
/// smooth weighted round robin. After any number of requests the count of each
/// service differs by less than one request from its exact share, so that small
/// weights are respected even on a route with few requests. A random start
/// position keeps nodes from sending to the service with the smaller weight at
/// the same time.
class WeightedSplit {
public:
  explicit WeightedSplit(std::span<const WeightedService> Services,
                         Random &Rng);

  /// Whether the split was created with these services and weights.
  bool matches(std::span<const WeightedService> Services) const;

  /// Returns the index of the service for the next request.
  std::size_t next();

private:
  std::vector<WeightedService> Services_;
  std::vector<std::int64_t> Credits_;
  std::int64_t TotalWeight_ = 0;
};

} // namespace marigold::routing
