#include "Distribution/SpreadPolicy.h"

#include <algorithm>

namespace marigold::distribution {

std::vector<HostId> SpreadPolicy::receivers(const NodeSummary &Summary,
                                            const membership::HostTable &Table,
                                            const std::optional<HostId> &From) {
  bool NewVersion = Summary.Version_ > Advertised_;
  bool NewRefusal = Summary.Refused_.Version_.Revision_ != 0 &&
                    Summary.Refused_ != AdvertisedRefusal_;
  bool NewList = Summary.SourceRevision_ > AdvertisedListRevision_;
  if (!NewVersion && !NewRefusal && !NewList)
    return {};
  Advertised_ = std::max(Advertised_, Summary.Version_);
  AdvertisedListRevision_ =
      std::max(AdvertisedListRevision_, Summary.SourceRevision_);
  AdvertisedRefusal_ = Summary.Refused_;
  const std::vector<HostId> &Local = Table.hostsOfFailureDomain(FailureDomain_);
  std::vector<HostId> Remote;
  for (const HostId &Id : Table.liveHosts())
    if (!std::binary_search(Local.begin(), Local.end(), Id))
      Remote.push_back(Id);
  std::vector<HostId> Chosen;
  addSample(Local, (Fanout_ + 1) / 2, Table, From, Chosen);
  addSample(std::move(Remote), Fanout_ - Chosen.size(), Table, From, Chosen);
  // If other failure domains have too few hosts, the remaining receivers are
  // taken from the own one.
  addSample(Local, Fanout_ - Chosen.size(), Table, From, Chosen);
  return Chosen;
}

void SpreadPolicy::addSample(std::vector<HostId> Candidates, std::size_t Count,
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
