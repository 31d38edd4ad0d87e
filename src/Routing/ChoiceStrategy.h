#pragma once

#include "Support/Random.h"
#include "Support/Result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace marigold::routing {

/// Distance of a host from this node, in ascending order.
enum class Locality : std::uint8_t { SameDomain, SameRegion, Remote };

inline constexpr std::size_t LocalityCount = 3;

/// A host that can be chosen for a call.
struct Candidate {
  /// Index in the pool's host table.
  std::size_t Index_ = 0;
  Locality Locality_ = Locality::Remote;
  /// Estimated utilization of the host's slots: 0 is idle, 1 is full. Queued
  /// requests raise it above 1.
  double Utilization_ = 0;
  /// Expected delay of one more call, relative to the other hosts. The lower
  /// cost is preferred.
  double Cost_ = 0;
  /// Fraction of its normal share of calls that the host receives during slow
  /// start, above 0 and at most 1.
  double Weight_ = 1;
};

/// Load-balancing strategy that picks one of several hosts. Implementations
/// keep at most a position and scratch memory; they are called under the lock
/// of the service's shard.
class ChoiceStrategy {
public:
  virtual ~ChoiceStrategy() = default;

  /// Returns the position of the picked host in Candidates, which must not be
  /// empty.
  virtual std::size_t pick(std::span<const Candidate> Candidates,
                           Random &Rng) = 0;
};

/// Creates the strategy for a value of the setting "strategy": random,
/// round-robin, two-choices or two-choices-local. Fails with SettingInvalid for
/// any other name.
Result<std::unique_ptr<ChoiceStrategy>> makeStrategy(std::string_view Name);

} // namespace marigold::routing
