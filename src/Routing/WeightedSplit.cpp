#include "Routing/WeightedSplit.h"

#include <algorithm>

namespace marigold::routing {

WeightedSplit::WeightedSplit(std::span<const WeightedService> Targets,
                             Random &Rng)
    : Targets_(Targets.begin(), Targets.end()), Credits_(Targets.size(), 0) {
  for (const WeightedService &Target : Targets_)
    Sum_ += Target.Weight_;
  if (Sum_ <= 0)
    return;
  // Skips into the cycle of choices. Small weights make short cycles, and
  // large ones are alike after their first few hundred choices.
  constexpr std::int64_t LongestSkip = 256;
  std::uint64_t Skip =
      Rng.below(static_cast<std::uint64_t>(std::min(Sum_, LongestSkip)));
  for (std::uint64_t Step = 0; Step < Skip; ++Step)
    next();
}

bool WeightedSplit::matches(std::span<const WeightedService> Targets) const {
  return std::ranges::equal(Targets_, Targets);
}

std::size_t WeightedSplit::next() {
  std::size_t Best = 0;
  for (std::size_t Index = 0; Index < Targets_.size(); ++Index) {
    Credits_[Index] += Targets_[Index].Weight_;
    if (Credits_[Index] > Credits_[Best])
      Best = Index;
  }
  if (!Credits_.empty())
    Credits_[Best] -= Sum_;
  return Best;
}

} // namespace marigold::routing
