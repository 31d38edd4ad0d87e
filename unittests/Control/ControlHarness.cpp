#include "ControlHarness.h"

#include "Support/Addresses.h"

#include <doctest/doctest.h>

namespace marigold::node {

std::string textWithSlots(unsigned Slots, unsigned Epoch) {
  return "epoch: " + std::to_string(Epoch) +
         "\nmesh: test\nservices:\n  desk:\n    slots: " +
         std::to_string(Slots) +
         "\n    routes:\n      - path: /\n        methods: [GET]\n";
}

HostRecord ControlHarness::recordOf(unsigned Number,
                                    const std::string &FailureDomain) {
  HostRecord Own;
  Own.Id_ = idOf(Number);
  Own.Incarnation_ = ++Incarnation_;
  Own.Sequence_ = 1;
  Own.State_ = HostState::Starting;
  Own.Service_ = "desk";
  Own.FailureDomain_ = FailureDomain;
  Own.Region_ = "test";
  Own.CallerPort_ = 7480;
  Own.AdminPort_ = 7490;
  return Own;
}

void ControlHarness::add(unsigned Number, const std::string &FailureDomain) {
  Node &Added = Nodes_[Number];
  const char *Arguments[] = {"marigold-node", nullptr};
  auto Parsed = parseSettings<NodeSettings>(
      1, Arguments, "", [](const std::string &) { return std::nullopt; });
  REQUIRE(Parsed);
  Added.Settings_ = Parsed.value().Settings_;
  Added.Settings_.Mesh_ = "test";
  Added.Settings_.FailureDomain_ = FailureDomain;
  Added.Settings_.Seeds_ = {toAddress(idOf(1)), toAddress(idOf(2))};
  Added.Settings_.PeerAddress_ = toAddress(idOf(Number));
  Configure_(Added.Settings_);
  restart(Number);
}

void ControlHarness::restart(unsigned Number) {
  Node &Restarted = Nodes_.at(Number);
  Restarted.Running_ = true;
  Restarted.Adopted_.clear();
  Watches_.erase(Number);
  HostReads_.erase(Number);
  Restarted.Core_ = std::make_unique<ControlCore>(
      Restarted.Settings_, recordOf(Number, Restarted.Settings_.FailureDomain_),
      Rng_.next(), Now_);
  ControlEffects Effects;
  Restarted.Core_->setOwnState(HostState::Ready, Now_, Effects);
  applyEffects(Number, std::move(Effects));
}

void ControlHarness::run(Duration Length) {
  TimePoint End = Now_ + Length;
  while (Now_ < End) {
    Now_ += std::chrono::milliseconds(50);
    for (auto &[Number, Each] : Nodes_) {
      if (!Each.Running_)
        continue;
      ControlEffects Effects;
      // A pending call to a reachable source counts as contact with it.
      if (sourceAnswers(Number) &&
          (Watches_.contains(Number) || HostReads_.contains(Number)))
        Each.Core_->onSourceContact(Now_, Now_);
      Each.Core_->tick(Now_, Effects);
      applyEffects(Number, std::move(Effects));
    }
    deliver();
    for (auto &[Number, Each] : Nodes_)
      checkVersionsIncrease(Number);
  }
}

void ControlHarness::checkVersionsIncrease(unsigned Number) {
  const auto &Adopted = Nodes_.at(Number).Adopted_;
  for (std::size_t Index = 1; Index < Adopted.size(); ++Index)
    REQUIRE(Adopted[Index - 1] < Adopted[Index]);
}

bool ControlHarness::connected(unsigned Left, unsigned Right) const {
  return PartitionSide_.contains(Left) == PartitionSide_.contains(Right);
}

void ControlHarness::appendTranscript(const std::string &Line) {
  auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now_ - TimePoint(std::chrono::hours(1)));
  Transcript_ += std::to_string(Elapsed.count()) + " ms " + Line + "\n";
}

void ControlHarness::recordEffects(unsigned Number,
                                   const ControlEffects &Effects) {
  std::string Prefix = "node " + std::to_string(Number) + ": ";
  for (const auto &Event : Effects.Adopted_)
    appendTranscript(Prefix + "adopted " + toText(Event.Version_));
  for (const auto &Event : Effects.Refused_)
    appendTranscript(Prefix + "refused " + toText(Event.Version_) + " " +
                     std::string(errorText(Event.Cause_.Code_)));
  for (bool SourceOnly : Effects.BootstrapDone_)
    appendTranscript(Prefix + "ready" +
                     (SourceOnly ? ", from the source only" : ""));
  for (const auto &Event : Effects.Hosts_)
    appendTranscript(Prefix + "sees " + toText(Event.Record_.Id_) + " " +
                     std::string(toText(Event.Record_.State_)));
  for (Duration Pause : Effects.Pauses_)
    appendTranscript(
        Prefix + "was paused for " +
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(Pause)
                .count()) +
        " ms");
}

void ControlHarness::applyEffects(unsigned Number, ControlEffects Effects) {
  Node &From = Nodes_.at(Number);
  recordEffects(Number, Effects);
  for (const auto &Event : Effects.Adopted_)
    From.Adopted_.push_back(Event.Version_);
  From.Refused_.insert(From.Refused_.end(), Effects.Refused_.begin(),
                       Effects.Refused_.end());
  From.BootstrapDone_.insert(From.BootstrapDone_.end(),
                             Effects.BootstrapDone_.begin(),
                             Effects.BootstrapDone_.end());
  From.Pauses_.insert(From.Pauses_.end(), Effects.Pauses_.begin(),
                      Effects.Pauses_.end());
  for (auto &Datagram : Effects.Datagrams_) {
    unsigned To = Datagram.To_.Ipv4_ - 0x7f000000;
    Queue_.push_back({Number, To, [this, To, Data = Datagram.Data_] {
                        ControlEffects Out;
                        REQUIRE(
                            Nodes_.at(To).Core_->onDatagram(Data, Now_, Out));
                        applyEffects(To, std::move(Out));
                      }});
  }
  for (auto &Sync : Effects.Syncs_) {
    unsigned To = Sync.To_.Ipv4_ - 0x7f000000;
    Queue_.push_back(
        {Number, To, [this, Number, To, Request = Sync.Request_] {
           SyncReply Reply = Nodes_.at(To).Core_->answer(Request, Now_);
           Queue_.push_back({To, Number, [this, Number, To, Reply] {
                               ControlEffects Out;
                               Nodes_.at(Number).Core_->onSyncReply(
                                   idOf(To), Reply, Now_, Out);
                               applyEffects(Number, std::move(Out));
                             }});
         }});
  }
  for (const auto &Action : Effects.Source_)
    callSource(Number, Action);
  if (Effects.ReadAllHosts_ && Source_.Targets_)
    callSource(Number, distribution::ReadHosts{});
}

void ControlHarness::callSource(unsigned Number,
                                const distribution::SourceAction &Action) {
  ++Source_.Calls_;
  ControlCore &Core = *Nodes_.at(Number).Core_;
  ControlEffects Out;
  bool Answers = sourceAnswers(Number);
  if (const auto *Watch = std::get_if<distribution::WatchKeys>(&Action)) {
    if (!Answers)
      Core.onSourceFailure(distribution::SourceCall::Keys, Now_, Out);
    else
      Watches_[Number].push_back({Watch->Index_, Now_ + Watch->Wait_});
  } else if (std::holds_alternative<distribution::FetchText>(Action)) {
    ++Source_.TextFetches_;
    if (!Answers)
      Core.onSourceFailure(distribution::SourceCall::Text, Now_, Out);
    else
      Core.onSourceText(readSourceText(Source_.Text_, Source_.Index_,
                                       Nodes_.at(Number).Settings_),
                        Now_, Out);
  } else if (Answers && Source_.Targets_) {
    HostReads_.try_emplace(Number, Core.knownSourceState().Revision_);
  } else {
    Core.onSourceFailure(distribution::SourceCall::Hosts, Now_, Out);
  }
  applyEffects(Number, std::move(Out));
}

bool ControlHarness::sourceAnswers(unsigned Number) const {
  return !Source_.Down_ && !Source_.UnreachableNodes_.contains(Number);
}

membership::HostList ControlHarness::listedHosts() const {
  membership::HostList List;
  List.ReadAt_ = Now_;
  List.Targets_ = Source_.Targets_;
  List.Evacuated_ = Source_.Evacuated_;
  for (const ListedTarget &Target : *Source_.Targets_) {
    membership::ListedHost &Host = List.Hosts_.emplace_back();
    Host.Record_.Id_ = Target.Node_;
    Host.Record_.Service_ = Target.Service_;
    Host.Record_.FailureDomain_ = Target.FailureDomain_;
  }
  List.Revision_ = Source_.Revision_;
  List.ConfigRevision_ = Source_.Index_;
  return List;
}

void ControlHarness::answerHosts() {
  auto Reads = std::exchange(HostReads_, {});
  for (auto &[Number, Known] : Reads) {
    if (!Nodes_.at(Number).Running_)
      continue;
    bool Answers = sourceAnswers(Number);
    if (Answers && Known == Source_.Revision_) {
      HostReads_.emplace(Number, Known);
      continue;
    }
    ControlEffects Out;
    if (Answers)
      Nodes_.at(Number).Core_->onSourceHosts(listedHosts(), Now_, Out);
    else
      Nodes_.at(Number).Core_->onSourceFailure(distribution::SourceCall::Hosts,
                                               Now_, Out);
    applyEffects(Number, std::move(Out));
  }
}

void ControlHarness::deliver() {
  answerHosts();
  auto Watches = std::exchange(Watches_, {});
  for (auto &[Number, Waiting] : Watches)
    for (auto &[Index, Until] : Waiting) {
      if (!Nodes_.at(Number).Running_)
        continue;
      bool Answers = sourceAnswers(Number);
      if (Index == Source_.Index_ && Now_ < Until && Answers) {
        Watches_[Number].push_back({Index, Until});
        continue;
      }
      ControlEffects Out;
      if (!Answers)
        Nodes_.at(Number).Core_->onSourceFailure(distribution::SourceCall::Keys,
                                                 Now_, Out);
      else
        Nodes_.at(Number).Core_->onSourceKeys(Source_.Index_, Now_, Out);
      applyEffects(Number, std::move(Out));
    }
  while (!Queue_.empty()) {
    Message Next = std::move(Queue_.front());
    Queue_.pop_front();
    bool Known = Nodes_.contains(Next.To_) && Nodes_.at(Next.To_).Running_;
    if (Known && connected(Next.From_, Next.To_))
      Next.Deliver_();
  }
}

bool ControlHarness::allHaveRevision(std::uint64_t Revision) const {
  for (const auto &[Number, Each] : Nodes_)
    if (Each.Running_ && Each.Core_->versions().version().Revision_ != Revision)
      return false;
  return true;
}

} // namespace marigold::node
