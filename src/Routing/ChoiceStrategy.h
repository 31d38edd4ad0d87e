#pragma once

#include "Support/Random.h"
#include "Support/Result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace marigold::routing {

/// How near a host is to this node; the nearest is the lowest value.
enum class Locality : std::uint8_t { SameDomain, SameRegion, Remote };

/// Number of localities.
inline constexpr std::size_t LocalityCount = 3;

/// A host that may take the call.
struct Candidate {
  /// Index in the pool's table of hosts.
  std::size_t Index_ = 0;
  Locality Locality_ = Locality::Remote;
  /// Estimated use of the host's slots: 0 is idle, 1 is full; may exceed 1.
  double Utilization_ = 0;
  /// Expected delay of one more call relative to the other hosts; the lowest
  /// wins a comparison.
  double Cost_ = 0;
  /// Share of calls in slow start, above 0 and at most 1.
  double Weight_ = 1;
};

/// Picks one of several hosts. Implementations hold no more than a position,
/// and are used under the lock of the service's shard.
class ChoiceStrategy {
public:
  virtual ~ChoiceStrategy() = default;

  /// Position in Candidates, which is not empty.
  virtual std::size_t pick(std::span<const Candidate> Candidates,
                           Random &Rng) = 0;
};

/// The strategy with a name of the setting "strategy": random, round-robin,
/// two-choices, two-choices-local. Fails with SettingInvalid.
Result<std::unique_ptr<ChoiceStrategy>> makeStrategy(std::string_view Name);

} // namespace marigold::routing
