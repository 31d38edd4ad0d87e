// The part of ControlCore that maintains the platform's target list. The
// list is read from the source or merged from peers.

#include "Node/ControlCore.h"

#include "Support/Archive.h"
#include "Support/Digest.h"
#include "Support/SourceRevision.h"

#include <algorithm>
#include <tuple>

namespace marigold::node {

namespace {

/// Time without confirmation by the source that counts as a source outage. It
/// is longer than it takes to take over from failed readers, and shorter than
/// the three report intervals after which a silent target's entry lapses.
constexpr Duration OutageThreshold = std::chrono::milliseconds(2000);

} // namespace

void ControlCore::onSourceContact(TimePoint At, TimePoint Now) {
  detectOutageEnd(Now);
  Confirmation_.confirm(At);
}

void ControlCore::detectOutageEnd(TimePoint Now) {
  auto Age = Confirmation_.age(Now);
  if (Age >= OutageThreshold && Age < distribution::NeverConfirmed)
    Directory_.onOutageEnded(Now);
}

void ControlCore::onSourceHosts(const membership::HostList &List, TimePoint Now,
                                ControlEffects &Out) {
  detectOutageEnd(Now);
  Reader_.onHosts(Now);
  // A list of targets without a revision was read alone; it does not show that
  // the configuration is current. One that is not taken confirms nothing.
  if (!List.Targets_ ||
      (List.Revision_ != 0 && List.Revision_ >= Directory_.revision()))
    Confirmation_.confirm(Now);
  if (List.Targets_) {
    if (List.Revision_ >= Directory_.revision())
      ListConfigRevision_ = List.ConfigRevision_;
    bool Current = List.Revision_ >= Directory_.revision();
    Out.TargetList_ = {List.Targets_->size(), List.Unusable_, List.Revision_,
                       Directory_.revision(), Current};
    Directory_.apply(*List.Targets_, Now, List.Revision_, List.ContentRevision_,
                     List.Removed_);
    // Evacuations are ordered like the list: an earlier state never replaces a
    // later one.
    if (Current && List.Evacuated_)
      setEvacuated(*List.Evacuated_, Out);
    onTargetsChanged(Out);
  }
  apply(Probes_.onListed(ListMerger_.apply(List, Table_), Now), Now, Out);
  advertise(std::nullopt, Now, Out);
}

void ControlCore::expireTargets(TimePoint Now, ControlEffects &Out) {
  std::vector<std::string> Before = Directory_.evacuated();
  bool Confirmed = Confirmation_.age(Now) < OutageThreshold;
  if (!Directory_.expire(Now, Confirmed))
    return;
  reportEvacuations(Before, Out);
  onTargetsChanged(Out);
}

void ControlCore::onTargetsChanged(ControlEffects &Out) {
  ++HostsGeneration_;
  updateOwnTarget(Out);
}

std::uint64_t ControlCore::sourceRevision() const {
  if (Store_.version().Revision_ < ListConfigRevision_ ||
      Directory_.isProvisional() || Directory_.isAheadOfRevision())
    return 0;
  return Directory_.revision();
}

bool ControlCore::confirmsOwnState(const NodeSummary &Summary) const {
  if (Directory_.revision() == 0)
    return true;
  // A peer in an earlier era may still be confirmed on state that the source no
  // longer has.
  return Summary.SourceRevision_ != 0 &&
         eraOf(Summary.SourceRevision_) == eraOf(sourceRevision()) &&
         Summary.SourceRevision_ <= sourceRevision();
}

void ControlCore::mergeTargets(const HostId &Peer, const SyncReply &Reply,
                               TimePoint Now, ControlEffects &Out) {
  // The target list must not be newer than the configuration. A node that takes
  // over as reader continues from the revision of the list and would miss a
  // configuration change with a lower revision.
  if (EveryNodeMode_ || Store_.version() < Reply.Summary_.Version_ ||
      !mergeChanges(Reply.Targets_, Now, Out))
    return;
  ListConfigRevision_ = 0;
  onTargetsChanged(Out);
  membership::HostList List;
  List.ReadAt_ = Now;
  for (const ListedTarget &Target : Reply.Targets_.Changed_) {
    membership::ListedHost &Host = List.Hosts_.emplace_back();
    Host.Record_.Id_ = Target.Node_;
    Host.Record_.Service_ = Target.Service_;
    Host.Record_.FailureDomain_ = Target.FailureDomain_;
    Host.Record_.Region_ = Settings_.Region_;
  }
  apply(Probes_.onListed(ListMerger_.apply(List, Table_), Now), Now, Out);
  Out.TargetsMerged_ = true;
  advertise(Peer, Now, Out);
}

bool ControlCore::mergeChanges(const TargetChanges &Changes, TimePoint Now,
                               ControlEffects &Out) {
  std::vector<std::string> Before = Directory_.evacuated();
  if (!Directory_.merge(Changes, Now))
    return false;
  reportEvacuations(Before, Out);
  return true;
}

void ControlCore::setEvacuated(std::vector<std::string> Domains,
                               ControlEffects &Out) {
  std::vector<std::string> Before = Directory_.evacuated();
  Directory_.setEvacuated(std::move(Domains));
  reportEvacuations(Before, Out);
}

void ControlCore::reportEvacuations(const std::vector<std::string> &Before,
                                    ControlEffects &Out) const {
  const std::vector<std::string> &After = Directory_.evacuated();
  std::uint64_t Revision = Directory_.revision();
  for (const std::string &Domain : After)
    if (!std::ranges::binary_search(Before, Domain))
      Out.Evacuations_.push_back({Domain, true, Revision});
  for (const std::string &Domain : Before)
    if (!std::ranges::binary_search(After, Domain))
      Out.Evacuations_.push_back({Domain, false, Revision});
}

void ControlCore::sendHeartbeats(TimePoint Now, ControlEffects &Out) {
  if (EveryNodeMode_ || Settings_.SourceHeartbeat_ == Duration::zero() ||
      Now < NextHeartbeat_ || !Reader_.isReader(Now) || sourceRevision() == 0)
    return;
  NodeSummary Summary = summary(Now);
  // A reader without contact to the source stays silent: nodes detect the
  // outage by the missing heartbeats.
  if (Summary.SourceAge_ >= Settings_.SourceStaleAfter_)
    return;
  NextHeartbeat_ = Now + Settings_.SourceHeartbeat_;
  std::string Data = encodeMessage(Advert{Probes_.ownRecord().Id_, Summary});
  for (const HostId &To : Table_.hostsOfFailureDomain(Settings_.FailureDomain_))
    if (To != Probes_.ownRecord().Id_)
      Out.Datagrams_.push_back({To, ControlTraffic::Advert, Data});
}

KnownSourceState ControlCore::knownSourceState() const {
  return {Directory_.revision(), Store_.version(), Directory_.listedTargets(),
          Directory_.listedEvacuated()};
}

void ControlCore::setOwnService(std::string Service, TimePoint Now,
                                ControlEffects &Out) {
  OwnService_ = std::move(Service);
  // Peers prefer entries of the service that this node states.
  if (Probes_.ownRecord().Service_ != OwnService_)
    apply(Probes_.setOwnService(OwnService_, Now), Now, Out);
  updateOwnTarget(Out);
}

void ControlCore::setAnsweringInstance(std::string Instance,
                                       ControlEffects &Out) {
  AnsweringInstance_ = std::move(Instance);
  updateOwnTarget(Out);
}

const ListedTarget *ControlCore::ownEntry() const {
  auto Entries = Directory_.entriesAt(Probes_.ownRecord().Id_);
  auto Rank = [&](const ListedTarget *Entry) {
    // The one in use stays until the target has answered, because an entry of
    // another writer must not replace it.
    return std::tuple(Entry->Instance_ == AnsweringInstance_,
                      Entry->Service_ == OwnService_,
                      Entry->Instance_ == OwnTarget_.Instance_);
  };
  auto Best = std::ranges::max_element(Entries, {}, Rank);
  return Best == Entries.end() ? nullptr : *Best;
}

void ControlCore::updateOwnTarget(ControlEffects &Out) {
  OwnTarget Updated;
  Updated.Service_ = OwnService_;
  Updated.ConfiguredService_ = OwnService_;
  const ListedTarget *Listed = ownEntry();
  if (Listed) {
    Updated.Service_ = Listed->Service_;
    Updated.Instance_ = Listed->Instance_;
    Updated.Slots_ = Listed->Slots_;
    Updated.Leaving_ = Listed->Leaving_;
    Updated.Cold_ = Listed->ColdLeft_.count() > 0;
  } else {
    Updated.Unlisted_ = Directory_.isKnown();
  }
  Updated.Evacuated_ = Directory_.isEvacuated(
      Listed ? Listed->FailureDomain_ : Settings_.FailureDomain_);
  auto Entries = Directory_.entriesAt(Probes_.ownRecord().Id_);
  if (Entries.size() > 1)
    for (const ListedTarget *Entry : Entries)
      Updated.Contested_ =
          mixHash(Updated.Contested_, hash64(Entry->Instance_));
  if (Updated == OwnTarget_)
    return;
  OwnTarget_ = std::move(Updated);
  Out.OwnTargetChanged_ = true;
}

std::vector<HostRecord> ControlCore::targetsOf(std::string_view Service) const {
  std::vector<HostRecord> Records;
  if (!Directory_.isKnown()) {
    for (const HostId &Id : Table_.hostsOfService(Service)) {
      const auto *Entry = Table_.find(Id);
      if (!Entry)
        continue;
      Records.push_back(Entry->Record_);
      // A host that announced draining stays draining even while suspected.
      if (Entry->ReportedState_ == HostState::Draining)
        Records.back().State_ = HostState::Draining;
    }
    return Records;
  }
  auto StatedService = [this](const HostId &Id) -> std::string_view {
    const auto *Entry = Table_.find(Id);
    // Records without an incarnation are made from the list.
    return Entry && Entry->Record_.Incarnation_ != 0
               ? std::string_view(Entry->Record_.Service_)
               : std::string_view();
  };
  for (const membership::ListedTarget *Target :
       Directory_.ofService(Service, StatedService)) {
    const auto *Entry = Table_.find(Target->Node_);
    HostRecord Record;
    if (Entry)
      Record = Entry->Record_;
    Record.Id_ = Target->Node_;
    Record.Service_ = Target->Service_;
    Record.FailureDomain_ = Target->FailureDomain_;
    // The start time of the target counts as an incarnation, because a newly
    // started target is as slow at first as a newly started node.
    Record.Incarnation_ =
        std::max(Record.Incarnation_,
                 static_cast<std::uint64_t>(Target->StartedAt_.count()));
    // The list is updated sooner than probes can confirm a node. A listed node
    // that has not been heard from yet receives calls; a failed connection
    // shows if it is unreachable.
    if (!Entry ||
        (!Entry->LastContactAt_ && Record.State_ == HostState::Starting))
      Record.State_ = HostState::Ready;
    else if (Entry->ReportedState_ == HostState::Draining)
      Record.State_ = HostState::Draining;
    if (Target->Leaving_ || Directory_.isEvacuated(Target->FailureDomain_))
      Record.State_ = HostState::Draining;
    Records.push_back(std::move(Record));
  }
  return Records;
}

} // namespace marigold::node
