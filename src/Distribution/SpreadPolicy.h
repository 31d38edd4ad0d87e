#pragma once

#include "Membership/HostTable.h"
#include "Support/Random.h"

#include <optional>
#include <vector>

namespace marigold::distribution {

/// Setting spread-profile.
enum class SpreadProfile : std::uint8_t {
  /// Shortest convergence time.
  Fast,
  /// Lowest control traffic.
  Frugal
};

/// Selects the peers that receive an Advert. Half of them are in the own
/// failure domain, so that traffic stays mostly local while each domain still
/// receives several adverts from others.
class SpreadPolicy {
public:
  /// Number of receivers per advert in a profile.
  static std::size_t fanout(SpreadProfile Profile) {
    return Profile == SpreadProfile::Fast ? 8 : 3;
  }

  /// Own must be in the table passed to receivers().
  SpreadPolicy(SpreadProfile Profile, const HostId &Own,
               std::string FailureDomain, Random Rng)
      : Fanout_(fanout(Profile)), Own_(Own),
        FailureDomain_(std::move(FailureDomain)), Rng_(Rng) {}

  /// Returns the receivers of an advert if Summary contains a version, a target
  /// list revision or a refusal that was not advertised before, otherwise
  /// nothing. From is the peer that sent the change; it is excluded.
  std::vector<HostId> receivers(const NodeSummary &Summary,
                                const membership::HostTable &Table,
                                const std::optional<HostId> &From);

private:
  void addSample(std::vector<HostId> Candidates, std::size_t Count,
                 const membership::HostTable &Table,
                 const std::optional<HostId> &From,
                 std::vector<HostId> &Chosen);

  std::size_t Fanout_;
  HostId Own_;
  std::string FailureDomain_;
  Random Rng_;
  ConfigVersion Advertised_;
  std::uint64_t AdvertisedListRevision_ = 0;
  Refusal AdvertisedRefusal_;
};

} // namespace marigold::distribution
