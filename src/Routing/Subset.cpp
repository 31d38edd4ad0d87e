#include "Routing/Subset.h"

#include "Support/Digest.h"

#include <algorithm>
#include <tuple>

namespace marigold::routing {
namespace {

struct Ranked {
  std::size_t Index_;
  Locality Locality_;
  bool Ready_;
  std::uint64_t Score_;
};

/// Moves hosts for which Matches is true from Ranking to Chosen, in rank order,
/// until Places ready ones were moved. Places is reduced by their number.
template <class Filter>
void takeMatching(std::vector<Ranked> &Ranking,
                  std::vector<std::size_t> &Chosen, std::size_t &Places,
                  Filter Matches) {
  std::vector<Ranked> Rest;
  for (const Ranked &Host : Ranking) {
    if (!Matches(Host) || Places == 0) {
      Rest.push_back(Host);
      continue;
    }
    Chosen.push_back(Host.Index_);
    if (Host.Ready_)
      --Places;
  }
  Ranking.swap(Rest);
}

} // namespace

Locality localityOf(const NodeLocation &Own, const HostRecord &Host) {
  if (Host.Region_ != Own.Region_)
    return Locality::Remote;
  return Host.FailureDomain_ == Own.FailureDomain_ ? Locality::SameDomain
                                                   : Locality::SameRegion;
}

std::vector<std::size_t> chooseSubset(const NodeLocation &Own,
                                      std::span<const HostRecord> Hosts,
                                      std::size_t Size,
                                      const HostStateLookup &StateOf) {
  std::vector<Ranked> Ranking;
  std::size_t ReadyElsewhere = 0;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    const HostRecord &Host = Hosts[Index];
    HostState State = StateOf(Index);
    bool Ready = State == HostState::Ready;
    if (!Ready && State != HostState::Suspect)
      continue;
    Locality Near = localityOf(Own, Host);
    if (Ready && Near != Locality::SameDomain)
      ++ReadyElsewhere;
    Ranking.push_back(
        {Index, Near, Ready, mixHash(hashOf(Own.Id_), hashOf(Host.Id_))});
  }
  std::sort(Ranking.begin(), Ranking.end(),
            [&](const Ranked &Left, const Ranked &Right) {
              const HostId &LeftId = Hosts[Left.Index_].Id_;
              const HostId &RightId = Hosts[Right.Index_].Id_;
              return std::tie(Right.Score_, LeftId.Ipv4_, LeftId.Port_) <
                     std::tie(Left.Score_, RightId.Ipv4_, RightId.Port_);
            });
  std::size_t Reserve = std::min(
      ReadyElsewhere, Size < 2 ? 0 : std::max<std::size_t>(Size / 4, 1));
  std::size_t Near = Size - Reserve;
  std::vector<std::size_t> Chosen;
  takeMatching(Ranking, Chosen, Near, [](const Ranked &Host) {
    return Host.Locality_ == Locality::SameDomain;
  });
  // If the own failure domain has too few hosts, hosts of the own region fill
  // its share. The reserve is filled from all other failure domains in a single
  // ranking, so that the loss of one region does not remove all of it.
  takeMatching(Ranking, Chosen, Near, [](const Ranked &Host) {
    return Host.Locality_ == Locality::SameRegion;
  });
  std::size_t Left = Near + Reserve;
  takeMatching(Ranking, Chosen, Left, [](const Ranked &Host) {
    return Host.Locality_ != Locality::SameDomain;
  });
  takeMatching(Ranking, Chosen, Left, [](const Ranked &) { return true; });
  return Chosen;
}

} // namespace marigold::routing
