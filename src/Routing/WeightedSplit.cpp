#include "Routing/WeightedSplit.h"

#include <algorithm>

namespace marigold::routing {

WeightedSplit::WeightedSplit(std::span<const WeightedService> Services,
                             Random &Rng)
    : Services_(Services.begin(), Services.end()),
      Credits_(Services.size(), 0) {
  for (const WeightedService &Service : Services_)
    TotalWeight_ += Service.Weight_;
  if (TotalWeight_ <= 0)
    return;
  // Starts at a random position of the cycle. Small weights have short cycles,
  // and the cycles of large weights look alike after a few hundred choices, so
  // that a bounded skip is sufficient.
  constexpr std::int64_t LongestSkip = 256;
  std::uint64_t Skip = Rng.below(
      static_cast<std::uint64_t>(std::min(TotalWeight_, LongestSkip)));
  for (std::uint64_t Step = 0; Step < Skip; ++Step)
    next();
}

bool WeightedSplit::matches(std::span<const WeightedService> Services) const {
  return std::ranges::equal(Services_, Services);
}

std::size_t WeightedSplit::next() {
  std::size_t Best = 0;
  for (std::size_t Index = 0; Index < Services_.size(); ++Index) {
    Credits_[Index] += Services_[Index].Weight_;
    if (Credits_[Index] > Credits_[Best])
      Best = Index;
  }
  if (!Credits_.empty())
    Credits_[Best] -= TotalWeight_;
  return Best;
}

} // namespace marigold::routing
