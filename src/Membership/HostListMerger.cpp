#include "Membership/HostListMerger.h"

namespace marigold::membership {

std::vector<HostRecord> HostListMerger::apply(const HostList &List,
                                              const HostTable &Table) {
  std::vector<HostRecord> Records;
  for (const ListedHost &Listed : List.Hosts_) {
    const HostId &Id = Listed.Record_.Id_;
    const HostEntry *Known = Table.find(Id);
    if (!Known) {
      HostRecord Record = Listed.Record_;
      Record.Incarnation_ = 0;
      Record.Sequence_ = 0;
      Record.State_ =
          Listed.Leaving_ ? HostState::Draining : HostState::Starting;
      Records.push_back(std::move(Record));
      continue;
    }
    if (!Listed.Leaving_) {
      MarkedLeaving_.erase(Id);
      continue;
    }
    if (Known->LastContactAt_ && *Known->LastContactAt_ >= List.ReadAt_)
      continue;
    HostState State = Known->Record_.State_;
    if (State != HostState::Starting && State != HostState::Ready)
      continue;
    auto [Mark, Inserted] =
        MarkedLeaving_.try_emplace(Id, Known->Record_.Incarnation_);
    if (!Inserted && Mark->second == Known->Record_.Incarnation_)
      continue;
    Mark->second = Known->Record_.Incarnation_;
    HostRecord Record = Known->Record_;
    Record.State_ = HostState::Draining;
    Records.push_back(std::move(Record));
  }
  std::erase_if(MarkedLeaving_,
                [&](const auto &Mark) { return !Table.find(Mark.first); });
  return Records;
}

} // namespace marigold::membership
