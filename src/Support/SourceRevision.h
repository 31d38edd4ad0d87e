#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace marigold {

// Revisions of a configuration source that may return from an older copy. Such
// a source begins a new era, in which it gives out revisions again that it has
// given out before, so that a bare revision orders two states only within one
// era. An ordered revision is a single number that compares by era first; its
// upper 16 bits are the era. Sources without eras are in era 0, in which an
// ordered revision equals the bare one; nodes of builds without eras therefore
// understand it, and are behind every source that has them. 0 means none.

inline constexpr unsigned EraShift = 48;
inline constexpr std::uint64_t MaxBareRevision =
    (std::uint64_t{1} << EraShift) - 1;

/// Combines an era of at most 16 bits with a revision given out in it.
constexpr std::uint64_t orderedRevision(std::uint32_t Era, std::uint64_t Bare) {
  return std::uint64_t{Era} << EraShift | std::min(Bare, MaxBareRevision);
}

/// Returns the era of an ordered revision.
constexpr std::uint32_t eraOf(std::uint64_t Ordered) {
  return static_cast<std::uint32_t>(Ordered >> EraShift);
}

/// Returns the revision that the source gave out.
constexpr std::uint64_t bareRevision(std::uint64_t Ordered) {
  return Ordered & MaxBareRevision;
}

/// Formats an ordered revision as "era.revision".
inline std::string revisionText(std::uint64_t Ordered) {
  return std::to_string(eraOf(Ordered)) + "." +
         std::to_string(bareRevision(Ordered));
}

} // namespace marigold
