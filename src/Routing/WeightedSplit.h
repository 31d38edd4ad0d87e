#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Random.h"

#include <cstddef>
#include <span>
#include <vector>

namespace marigold::routing {

/// Divides the requests of one route among its services by their weights.
/// Smooth weighted round robin: after any number of requests each service's
/// share is off by less than one request, so that a small share is kept also
/// on a route with few requests. A random start keeps nodes from sending to
/// the smaller part in step.
class WeightedSplit {
public:
  explicit WeightedSplit(std::span<const WeightedService> Services,
                         Random &Rng);

  /// Whether the split was made for these services and weights.
  bool matches(std::span<const WeightedService> Services) const;

  /// Index of the service that takes the next request.
  std::size_t next();

private:
  std::vector<WeightedService> Services_;
  std::vector<std::int64_t> Credits_;
  std::int64_t TotalWeight_ = 0;
};

} // namespace marigold::routing
