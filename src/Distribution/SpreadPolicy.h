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
  /// Fewest control bytes.
  Frugal
};

/// Chooses the peers that receive an Advert. Half of them are in the own
/// failure domain: adverts stay mostly local, and each domain gets several
/// from others.
class SpreadPolicy {
public:
  /// Fan-out of a profile.
  static std::size_t fanout(SpreadProfile Profile) {
    return Profile == SpreadProfile::Fast ? 8 : 3;
  }

  /// Own is entered in the table that is given to receivers.
  SpreadPolicy(SpreadProfile Profile, const HostId &Own,
               std::string FailureDomain, Random Rng)
      : Fanout_(fanout(Profile)), Own_(Own),
        FailureDomain_(std::move(FailureDomain)), Rng_(Rng) {}

  /// Receivers of an advert, if Summary has a version, a revision of the list
  /// of targets or a refusal that was not advertised before; none otherwise.
  /// From is the peer that sent the news; it is left out.
  std::vector<HostId> receivers(const NodeSummary &Summary,
                                const membership::HostTable &Table,
                                const std::optional<HostId> &From);

private:
  void pick(std::vector<HostId> Candidates, std::size_t Count,
            const membership::HostTable &Table,
            const std::optional<HostId> &From, std::vector<HostId> &Chosen);

  std::size_t Fanout_;
  HostId Own_;
  std::string FailureDomain_;
  Random Rng_;
  ConfigVersion Advertised_;
  std::uint64_t AdvertisedList_ = 0;
  Refusal AdvertisedRefusal_;
};

} // namespace marigold::distribution
