#include "Membership/NoticePlanner.h"

#include <algorithm>
#include <set>

namespace marigold::membership {

std::vector<HostId> NoticePlanner::receivers(
    const HostRecord &Record, std::span<const std::string> CallerServices,
    const HostTable &Table, const HostId &Own, Random &Rng, TimePoint Now) {
  if (Now - WindowStart_ >= std::chrono::seconds(1)) {
    WindowStart_ = Now;
    SentInWindow_ = 0;
  }
  std::set<HostId> Callers;
  for (const std::string &Service : CallerServices) {
    const std::vector<HostId> &Hosts = Table.hostsOfService(Service);
    Callers.insert(Hosts.begin(), Hosts.end());
  }
  Callers.erase(Own);
  Callers.erase(Record.Id_);
  std::vector<HostId> Receivers(Callers.begin(), Callers.end());
  std::shuffle(Receivers.begin(), Receivers.end(), Rng.engine());
  std::stable_partition(
      Receivers.begin(), Receivers.end(), [&](const HostId &Id) {
        return Table.find(Id)->Record_.FailureDomain_ == Record.FailureDomain_;
      });
  std::size_t Allowed =
      std::min(Options_.MaxReceivers_, Options_.MaxPerSecond_ - SentInWindow_);
  if (Receivers.size() > Allowed)
    Receivers.resize(Allowed);
  SentInWindow_ += Receivers.size();
  return Receivers;
}

} // namespace marigold::membership
