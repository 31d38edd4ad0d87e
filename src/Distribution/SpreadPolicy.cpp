#include "Distribution/SpreadPolicy.h"

#include <algorithm>

namespace marigold::distribution {

std::vector<HostId> SpreadPolicy::receivers(const NodeSummary &Summary,
                                            const membership::HostTable &Table,
                                            const std::optional<HostId> &From) {
  bool NewVersion = Summary.Version_ > Advertised_;
  bool NewRefusal = Summary.Refused_.Version_.Revision_ != 0 &&
                    Summary.Refused_ != AdvertisedRefusal_;
  bool NewList = Summary.SourceRevision_ > AdvertisedList_;
  if (!NewVersion && !NewRefusal && !NewList)
    return {};
  Advertised_ = std::max(Advertised_, Summary.Version_);
  AdvertisedList_ = std::max(AdvertisedList_, Summary.SourceRevision_);
  AdvertisedRefusal_ = Summary.Refused_;
  const std::vector<HostId> &Local = Table.hostsOfFailureDomain(FailureDomain_);
  std::vector<HostId> Remote;
  for (const HostId &Id : Table.liveHosts())
    if (!std::binary_search(Local.begin(), Local.end(), Id))
      Remote.push_back(Id);
  std::vector<HostId> Chosen;
  pick(Local, (Fanout_ + 1) / 2, Table, From, Chosen);
  pick(std::move(Remote), Fanout_ - Chosen.size(), Table, From, Chosen);
  // Too few hosts elsewhere: the rest stays in the own failure domain.
  pick(Local, Fanout_ - Chosen.size(), Table, From, Chosen);
  return Chosen;
}

void SpreadPolicy::pick(std::vector<HostId> Candidates, std::size_t Count,
                        const membership::HostTable &Table,
                        const std::optional<HostId> &From,
                        std::vector<HostId> &Chosen) {
  std::erase_if(Candidates, [&](const HostId &Id) {
    return Id == Own_ || Id == From ||
           Table.find(Id)->Record_.State_ == HostState::Suspect ||
           std::find(Chosen.begin(), Chosen.end(), Id) != Chosen.end();
  });
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Chosen),
              Count, Rng_.engine());
}

} // namespace marigold::distribution
