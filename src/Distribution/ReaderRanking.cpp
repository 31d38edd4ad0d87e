#include "Distribution/ReaderRanking.h"

#include <algorithm>

namespace marigold::distribution {
namespace {

// Hash seed of the reader ranking; makes it independent of the order of
// fetches.
constexpr std::uint64_t ReaderSeed = 0x7265616465727321;

void sortByHash(std::vector<HostId> &Hosts, std::uint64_t Seed) {
  std::vector<std::pair<std::uint64_t, HostId>> Ranked;
  Ranked.reserve(Hosts.size());
  for (const HostId &Id : Hosts)
    Ranked.emplace_back(mixHash(hashOf(Id), Seed), Id);
  std::sort(Ranked.begin(), Ranked.end());
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    Hosts[I] = Ranked[I].second;
}

/// Returns whether a host can read the source. A node whose target is down is
/// in state Starting and can read. A host known only from the host list has no
/// incarnation and may not run a node yet.
bool canRead(const HostRecord &Record) {
  switch (Record.State_) {
  case HostState::Ready:
  case HostState::Draining:
    return true;
  case HostState::Starting:
    return Record.Incarnation_ != 0;
  default:
    return false;
  }
}

} // namespace

std::vector<HostId> readersOf(const membership::HostTable &Table,
                              std::string_view FailureDomain, const HostId &Own,
                              std::size_t Count) {
  std::vector<HostId> Hosts;
  for (const HostId &Id : Table.hostsOfFailureDomain(FailureDomain)) {
    if (Id == Own || canRead(Table.find(Id)->Record_))
      Hosts.push_back(Id);
  }
  sortByHash(Hosts, ReaderSeed);
  // A large version occupies a slow link that calls of its host need, and
  // reaches the other hosts later.
  std::stable_sort(Hosts.begin(), Hosts.end(),
                   [&](const HostId &Left, const HostId &Right) {
                     return Table.find(Left)->Record_.LinkMbps_ >
                            Table.find(Right)->Record_.LinkMbps_;
                   });
  if (Hosts.size() > Count)
    Hosts.resize(Count);
  return Hosts;
}

std::optional<std::size_t> fetchPosition(const membership::HostTable &Table,
                                         const HostId &Own, std::uint64_t Index,
                                         std::size_t Count) {
  std::vector<HostId> Readers;
  for (const std::string &Name : Table.failureDomains()) {
    std::vector<HostId> Local = readersOf(Table, Name, Own, Count);
    Readers.insert(Readers.end(), Local.begin(), Local.end());
  }
  sortByHash(Readers, Index);
  auto Found = std::find(Readers.begin(), Readers.end(), Own);
  if (Found == Readers.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Readers.begin());
}

} // namespace marigold::distribution
