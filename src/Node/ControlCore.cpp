#include "Node/ControlCore.h"

#include "Support/Addresses.h"
#include "Support/Archive.h"
#include "Support/Digest.h"

#include <algorithm>
#include <utility>

namespace marigold::node {
namespace {

/// Maximum time for which new calls are held back after a pause.
constexpr Duration MaxCallHold = std::chrono::seconds(1);
/// Number of peers to probe after a pause; one answer is enough.
constexpr std::size_t PeersProbedAfterPause = 3;
/// Timeout of a SyncRequest.
constexpr Duration SyncTimeout = std::chrono::seconds(5);
/// Number of nodes that tell a started node of their service which requests are
/// held back. Some of them may have started as well and know none.
constexpr std::size_t InformingPeers = 5;
/// Minimum interval between probes triggered by failed calls.
constexpr Duration FailureProbeSpacing = std::chrono::milliseconds(50);

membership::ProbeOptions probeOptions(const NodeSettings &Settings) {
  membership::ProbeOptions Options;
  Options.Interval_ = Settings.ProbeInterval_;
  Options.Timeout_ = Settings.ProbeTimeout_;
  Options.SuspicionTimeout_ = Settings.SuspicionTimeout_;
  for (const Address &Seed : Settings.Seeds_)
    Options.Seeds_.push_back(toHostId(Seed));
  return Options;
}

distribution::BootstrapOptions bootstrapOptions(const NodeSettings &Settings) {
  distribution::BootstrapOptions Options;
  Options.Grace_ = Settings.BootstrapGrace_;
  Options.RestartSpread_ = Settings.RestartSpread_;
  Options.MaxBackoff_ = Settings.SourceRetryLimit_;
  Options.FirstBackoff_ =
      std::min<Duration>(Options.FirstBackoff_, Options.MaxBackoff_);
  return Options;
}

distribution::SourceReaderOptions readerOptions(const NodeSettings &Settings) {
  distribution::SourceReaderOptions Options;
  Options.Mode_ = Settings.SourceMode_ == "every-node"
                      ? distribution::SourceMode::EveryNode
                      : distribution::SourceMode::Peers;
  Options.Readers_ = Settings.SourceReaders_;
  Options.Wait_ = Settings.SourceWait_;
  Options.HostsInterval_ = Settings.HostsGap_;
  Options.WatchGap_ = Settings.SourceGap_;
  Options.StaleAfter_ = Settings.SourceStaleAfter_;
  Options.Takeover_ = Settings.SourceTakeover_ == "at-once"
                          ? distribution::Takeover::AtOnce
                          : distribution::Takeover::Spread;
  Options.MaxBackoff_ = Settings.SourceRetryLimit_;
  Options.FirstBackoff_ =
      std::min<Duration>(Options.FirstBackoff_, Options.MaxBackoff_);
  Options.RestartSpread_ = Settings.RestartSpread_;
  return Options;
}

distribution::SpreadProfile spreadProfile(const NodeSettings &Settings) {
  return Settings.SpreadProfile_ == "frugal"
             ? distribution::SpreadProfile::Frugal
             : distribution::SpreadProfile::Fast;
}

std::vector<HostId> seedsWithout(const NodeSettings &Settings,
                                 const HostId &Own) {
  std::vector<HostId> Seeds;
  for (const Address &Seed : Settings.Seeds_)
    if (toHostId(Seed) != Own)
      Seeds.push_back(toHostId(Seed));
  return Seeds;
}

} // namespace

std::string_view toText(ControlTraffic Kind) {
  switch (Kind) {
  case ControlTraffic::Probe:
    return "probe";
  case ControlTraffic::Advert:
    return "advert";
  case ControlTraffic::Notice:
    return "notice";
  case ControlTraffic::Sync:
    return "sync";
  case ControlTraffic::Source:
    return "source";
  }
  return "invalid";
}

ControlCore::ControlCore(const NodeSettings &Settings, const HostRecord &Own,
                         std::uint64_t Seed, TimePoint Now)
    : Settings_(Settings), EveryNodeMode_(Settings.SourceMode_ == "every-node"),
      Rng_(Seed), Probes_(
                      Table_, Own, probeOptions(Settings),
                      [this](TimePoint When) { return summary(When); },
                      Random(Rng_.next()), Now),
      Pause_(Settings.PauseThreshold_, MaxCallHold, Now),
      Bootstrap_(Store_, seedsWithout(Settings, Own.Id_),
                 bootstrapOptions(Settings), Random(Rng_.next()), Now),
      Reader_(Table_, Store_, Confirmation_, Own.Id_, Own.FailureDomain_,
              readerOptions(Settings), Random(Rng_.next()), Now),
      Pulls_(Store_, Random(Rng_.next())),
      Spread_(spreadProfile(Settings), Own.Id_, Own.FailureDomain_,
              Random(Rng_.next())),
      NextHostSync_(Now) {
  OwnService_ = Own.Service_;
  OwnTarget_.Service_ = Own.Service_;
  OwnTarget_.ConfiguredService_ = Own.Service_;
}

void ControlCore::tick(TimePoint Now, ControlEffects &Out) {
  if (auto Gap = Pause_.tick(Now))
    onPaused(*Gap, Now, Out);
  apply(Probes_.tick(Now), Now, Out);
  std::vector<HostId> Overdue;
  for (const auto &[Peer, Pending] : Syncs_)
    if (Now - Pending.SentAt_ > SyncTimeout)
      Overdue.push_back(Peer);
  for (const HostId &Peer : Overdue)
    onSyncFailed(Peer, fail(ErrorCode::TimedOut, toText(Peer)), Now, Out);
  if (!Bootstrap_.isDone()) {
    runBootstrap(Now, Out);
    return;
  }
  expireTargets(Now, Out);
  distribution::SourceRole Role = Reader_.role();
  auto ConfirmationAge = Confirmation_.age(Now);
  auto Actions = Reader_.tick(Now);
  if (Reader_.role() != Role)
    Out.SourceRole_ = {Reader_.role(), ConfirmationAge};
  Out.Source_.insert(Out.Source_.end(), Actions.begin(), Actions.end());
  runPulls(Now, Out);
  runHostSync(Now, Out);
  sendHeartbeats(Now, Out);
}

void ControlCore::onSuspended(Duration Length, TimePoint Now,
                              ControlEffects &Out) {
  Confirmation_.onSuspended(Length);
  if (auto Gap = Pause_.onSuspended(Length, Now))
    onPaused(*Gap, Now, Out);
}

void ControlCore::onPaused(Duration Length, TimePoint Now,
                           ControlEffects &Out) {
  Out.Pauses_.push_back(Length);
  ProbesAfterPause_.clear();
  for (std::size_t Probed = 0; Probed < PeersProbedAfterPause; ++Probed) {
    auto Peer = randomPeer();
    if (!Peer)
      return;
    auto Actions = Probes_.probeAddress(*Peer, Now);
    for (const auto &Action : Actions)
      if (const auto *Send = std::get_if<membership::SendDatagram>(&Action))
        if (const auto *Probe = std::get_if<Ping>(&Send->Message_))
          ProbesAfterPause_[Probe->Sequence_] = Now;
    apply(std::move(Actions), Now, Out);
  }
}

void ControlCore::runBootstrap(TimePoint Now, ControlEffects &Out) {
  for (const auto &Action : Bootstrap_.tick(Now)) {
    if (const auto *Ask = std::get_if<distribution::ProbePeer>(&Action))
      apply(Probes_.probeAddress(Ask->Peer_, Now), Now, Out);
    if (const auto *Pull = std::get_if<distribution::PullVersion>(&Action))
      sync(Pull->Peer_, Store_.request(), SyncPurpose::Bootstrap, Now, Out);
    if (std::holds_alternative<distribution::ReadSource>(Action)) {
      BootstrapFetch_ = true;
      Out.Source_.emplace_back(distribution::FetchText{});
      // If no peer answers, all seeds may have been replaced. Only the host
      // list then contains the current hosts.
      Out.ReadAllHosts_ = Table_.liveCount() <= 1;
    }
    if (const auto *Done = std::get_if<distribution::BootstrapDone>(&Action)) {
      SourceOnly_ = Done->SourceOnly_;
      Out.BootstrapDone_.push_back(SourceOnly_);
      if (Store_.current())
        Out.Adopted_.push_back({Store_.version()});
      advertise(std::nullopt, Now, Out);
    }
  }
}

void ControlCore::runPulls(TimePoint Now, ControlEffects &Out) {
  if (EveryNodeMode_)
    return;
  if (auto Pull = Pulls_.tick(Now, Directory_.revision()))
    sync(Pull->Peer_, std::move(Pull->Request_), SyncPurpose::Pull, Now, Out);
}

void ControlCore::runHostSync(TimePoint Now, ControlEffects &Out) {
  if (Now < NextHostSync_)
    return;
  auto Peer = randomPeer();
  if (!Peer)
    return;
  // Random jitter prevents nodes that started at the same time from comparing
  // their tables at the same time.
  Duration Interval = Settings_.SyncInterval_;
  NextHostSync_ = Now + Interval / 2 + Rng_.upTo(Interval);
  if (Syncs_.contains(*Peer))
    return;
  SyncRequest Request = Store_.request();
  membership::addBucketDigests(Table_, Request);
  sync(*Peer, std::move(Request), SyncPurpose::Hosts, Now, Out);
}

void ControlCore::sync(const HostId &Peer, SyncRequest Request,
                       SyncPurpose Purpose, TimePoint Now,
                       ControlEffects &Out) {
  Syncs_[Peer] = {Purpose, Now};
  Request.SourceRevision_ = Directory_.revision();
  Out.Syncs_.push_back({Peer, std::move(Request)});
}

std::optional<HostId> ControlCore::randomPeer() {
  auto Live = Table_.liveHosts();
  std::erase(Live, Probes_.ownRecord().Id_);
  if (Live.empty())
    return std::nullopt;
  return Live[Rng_.below(Live.size())];
}

NodeSummary ControlCore::summary(TimePoint Now) const {
  NodeSummary Summary;
  Store_.fillSummary(Summary);
  Summary.SourceAge_ = Confirmation_.age(Now);
  Summary.HostsDigest_ = Table_.digest();
  Summary.SourceRevision_ = sourceRevision();
  return Summary;
}

const std::vector<ControlCore::DatagramHandler> &
ControlCore::datagramHandlers() {
  static const std::vector<DatagramHandler> Table = {
      {MessageType::Ping, &ControlCore::receive<Ping>},
      {MessageType::Ack, &ControlCore::receive<Ack>},
      {MessageType::PingRequest, &ControlCore::receive<PingRequest>},
      {MessageType::Advert, &ControlCore::receive<Advert>},
      {MessageType::HostStateNotice, &ControlCore::receive<HostStateNotice>},
      {MessageType::CrashNotice, &ControlCore::receive<CrashNotice>},
  };
  return Table;
}

Result<void> ControlCore::onDatagram(std::string_view Data, TimePoint Now,
                                     ControlEffects &Out) {
  if (Data.empty())
    return fail(ErrorCode::MessageMalformed, "empty datagram");
  auto Type = static_cast<std::uint8_t>(Data.front());
  for (const DatagramHandler &Row : datagramHandlers())
    if (static_cast<std::uint8_t>(Row.Type_) == Type)
      return (this->*Row.Receive_)(Data.substr(1), Now, Out);
  return fail(ErrorCode::MessageUnexpected, std::string(messageName(Type)));
}

template <class Message>
Result<void> ControlCore::receive(std::string_view Body, TimePoint Now,
                                  ControlEffects &Out) {
  BOOST_OUTCOME_TRY(auto Decoded, decodeBody<Message>(Body));
  handle(Decoded, Now, Out);
  return success();
}

void ControlCore::handle(const Ping &Message, TimePoint Now,
                         ControlEffects &Out) {
  apply(Probes_.onPing(Message, Now), Now, Out);
  onPeerSummary(Message.Sender_.Id_, Message.Sender_.FailureDomain_,
                Message.Summary_, Now, Out);
}

void ControlCore::handle(const Ack &Message, TimePoint Now,
                         ControlEffects &Out) {
  apply(Probes_.onAck(Message, Now), Now, Out);
  if (auto Time =
          RoundTrips_.answered(Message.Sequence_, Message.Sender_.Id_, Now))
    Out.RoundTrips_.push_back({Message.Sender_.Id_, *Time});
  auto Probe = ProbesAfterPause_.find(Message.Sequence_);
  if (Probe != ProbesAfterPause_.end()) {
    Pause_.onExchange(Probe->second);
    ProbesAfterPause_.clear();
  }
  onPeerSummary(Message.Sender_.Id_, Message.Sender_.FailureDomain_,
                Message.Summary_, Now, Out);
}

void ControlCore::handle(const PingRequest &Message, TimePoint Now,
                         ControlEffects &Out) {
  apply(Probes_.onPingRequest(Message, Now), Now, Out);
}

void ControlCore::handle(const Advert &Message, TimePoint Now,
                         ControlEffects &Out) {
  const auto *Entry = Table_.find(Message.Sender_);
  onPeerSummary(Message.Sender_,
                Entry ? std::string_view(Entry->Record_.FailureDomain_)
                      : std::string_view(),
                Message.Summary_, Now, Out);
}

void ControlCore::handle(const HostStateNotice &Message, TimePoint Now,
                         ControlEffects &Out) {
  onNotice(Message, Now, Out);
}

void ControlCore::handle(const CrashNotice &Message, TimePoint,
                         ControlEffects &) {
  CrashNotices_.push_back(Message);
}

std::vector<CrashNotice> ControlCore::takeCrashNotices() {
  return std::exchange(CrashNotices_, {});
}

void ControlCore::onPeerSummary(const HostId &Peer,
                                std::string_view FailureDomain,
                                const NodeSummary &Summary, TimePoint Now,
                                ControlEffects &Out) {
  if (confirmsOwnState(Summary)) {
    if (Summary.SourceAge_ < Settings_.SourceStaleAfter_)
      detectOutageEnd(Now);
    Confirmation_.mergeAge(Summary.SourceAge_, Now);
  }
  if (!Bootstrap_.isDone()) {
    Bootstrap_.addPeer(Peer);
    Bootstrap_.onSummary(Peer, FailureDomain, Summary, Now);
    runBootstrap(Now, Out);
    return;
  }
  if (EveryNodeMode_)
    return;
  Pulls_.onSummary(Peer, Summary, Now, Directory_.revision());
  runPulls(Now, Out);
  if (Summary.Refused_.Version_.Revision_ != 0 &&
      Store_.mergeRefusal(Summary.Refused_, Now)) {
    auto Code = errorFromNumber(Summary.Refused_.Code_);
    Out.Refused_.push_back({Summary.Refused_.Version_,
                            fail(Code.value_or(ErrorCode::SnapshotInvalid),
                                 "reported by a peer")});
    advertise(Peer, Now, Out);
  }
}

void ControlCore::apply(membership::Actions Actions, TimePoint Now,
                        ControlEffects &Out) {
  for (const auto &Action : Actions)
    std::visit([&](const auto &Kind) { apply(Kind, Now, Out); }, Action);
}

void ControlCore::apply(const membership::SendDatagram &Action, TimePoint Now,
                        ControlEffects &Out) {
  if (const auto *Probe = std::get_if<Ping>(&Action.Message_))
    RoundTrips_.sent(Probe->Sequence_, Action.To_, Now);
  std::string Data =
      std::visit([](const auto &Message) { return encodeMessage(Message); },
                 Action.Message_);
  Out.Datagrams_.push_back(
      {Action.To_, ControlTraffic::Probe, std::move(Data)});
}

void ControlCore::apply(const membership::HostChanged &Action, TimePoint,
                        ControlEffects &Out) {
  ++HostsGeneration_;
  const HostRecord &Record = Action.Record_;
  if (!Bootstrap_.isDone() && !membership::isTombstone(Record.State_))
    Bootstrap_.addPeer(Record.Id_);
  if (membership::isTombstone(Record.State_))
    Out.ConnectionsToDrop_.push_back(Record.Id_);
  if (!Action.Previous_ || *Action.Previous_ != Record.State_)
    Out.Hosts_.push_back({Record, false});
  if (hasStarted(Record) && informsPeer(Record.Id_))
    Out.StartedPeers_.push_back(Record.Id_);
}

bool ControlCore::hasStarted(const HostRecord &Record) {
  if (Record.Id_ == Probes_.ownRecord().Id_ || Record.Service_.empty() ||
      Record.Service_ != Probes_.ownRecord().Service_)
    return false;
  if (membership::isTombstone(Record.State_)) {
    PeerIncarnations_.erase(Record.Id_);
    return false;
  }
  // An entry of the host list has incarnation 0: the host has not been heard
  // from, and cannot be told anything yet.
  std::uint64_t &Known = PeerIncarnations_[Record.Id_];
  return std::exchange(Known, Record.Incarnation_) != Record.Incarnation_ &&
         Record.Incarnation_ != 0;
}

bool ControlCore::informsPeer(const HostId &Started) const {
  auto Rank = [&](const HostId &Id) {
    return mixHash(HostIdHash{}(Id), HostIdHash{}(Started));
  };
  std::uint64_t Own = Rank(Probes_.ownRecord().Id_);
  auto Before = std::ranges::count_if(
      Table_.hostsOfService(Probes_.ownRecord().Service_),
      [&](const HostId &Id) { return Id != Started && Rank(Id) < Own; });
  return static_cast<std::size_t>(Before) < InformingPeers;
}

void ControlCore::apply(const membership::SuspicionRaised &Action, TimePoint,
                        ControlEffects &Out) {
  if (const auto *Entry = Table_.find(Action.Subject_))
    Out.Hosts_.push_back({Entry->Record_, true});
}

void ControlCore::apply(const membership::DeathDeclared &Action, TimePoint Now,
                        ControlEffects &Out) {
  Out.Hosts_.push_back({Action.Record_, true});
  sendHostStateNotices(Action.Record_, Now, Out);
}

void ControlCore::apply(const membership::OwnRecordChanged &Action,
                        TimePoint Now, ControlEffects &Out) {
  ++HostsGeneration_;
  Out.Broadcasts_.push_back({Action.Record_});
  sendHostStateNotices(Action.Record_, Now, Out);
}

void ControlCore::sendHostStateNotices(const HostRecord &Record, TimePoint Now,
                                       ControlEffects &Out) {
  const auto &Current = Store_.current();
  if (!Current || Record.Service_.empty())
    return;
  std::vector<std::string> Callers;
  for (const auto &Service : Current->services()) {
    const auto &Depends = Service->Config_.DependsOn_;
    if (std::binary_search(Depends.begin(), Depends.end(), Record.Service_))
      Callers.push_back(Service->Config_.Name_);
  }
  std::string Data = encodeMessage(HostStateNotice{Record});
  for (const HostId &To : Notices_.receivers(
           Record, Callers, Table_, Probes_.ownRecord().Id_, Rng_, Now))
    Out.Datagrams_.push_back({To, ControlTraffic::Notice, Data});
}

SyncReply ControlCore::answer(const SyncRequest &Request, TimePoint Now) const {
  SyncReply Reply = Store_.answer(Request);
  Reply.Summary_ = summary(Now);
  membership::addDifferingRecords(Table_, Request, Reply);
  if (sourceRevision() != 0)
    Reply.Targets_ = Directory_.changesSince(Request.SourceRevision_);
  return Reply;
}

std::vector<HostExchange> ControlCore::onSyncReply(const HostId &Peer,
                                                   const SyncReply &Reply,
                                                   TimePoint Now,
                                                   ControlEffects &Out) {
  auto Pending = Syncs_.find(Peer);
  if (Pending == Syncs_.end())
    return {};
  auto Exchanges = membership::makeHostExchanges(Table_, Reply);
  apply(Probes_.onExchange(Reply.Hosts_, Now), Now, Out);
  // In every-node mode, versions from peers are accepted only during bootstrap.
  bool Offered =
      Reply.Kind_ != SyncKind::Unchanged &&
      (!EveryNodeMode_ || Pending->second.Purpose_ == SyncPurpose::Bootstrap);
  Result<void> Outcome = success();
  if (Offered) {
    ConfigVersion Version = Reply.Kind_ == SyncKind::Delta
                                ? Reply.Delta_.Version_
                                : Reply.Image_.Version_;
    Outcome = Store_.offerReply(Reply, Now);
    onOfferResult(Outcome, Version, Peer, Now, Out);
  }
  mergeTargets(Peer, Reply, Now, Out);
  finishSync(Peer, Outcome, Now, Out);
  return Exchanges;
}

void ControlCore::onSyncFailed(const HostId &Peer, const Failure &Cause,
                               TimePoint Now, ControlEffects &Out) {
  if (Syncs_.contains(Peer))
    finishSync(Peer, Cause, Now, Out);
}

void ControlCore::finishSync(const HostId &Peer, const Result<void> &Outcome,
                             TimePoint Now, ControlEffects &Out) {
  SyncPurpose Purpose = Syncs_.at(Peer).Purpose_;
  Syncs_.erase(Peer);
  switch (Purpose) {
  case SyncPurpose::Bootstrap:
    Bootstrap_.onPulled(Peer,
                        Outcome.has_value() ||
                            Outcome.error().Code_ ==
                                ErrorCode::VersionCurrent ||
                            Outcome.error().Code_ == ErrorCode::VersionOlder,
                        Now);
    if (!Bootstrap_.isDone())
      runBootstrap(Now, Out);
    break;
  case SyncPurpose::Pull:
    Pulls_.onPulled(Peer, Outcome, Now);
    runPulls(Now, Out);
    break;
  case SyncPurpose::Hosts:
    break;
  }
}

void ControlCore::onOfferResult(const Result<void> &Outcome,
                                ConfigVersion Offered,
                                std::optional<HostId> From, TimePoint Now,
                                ControlEffects &Out) {
  if (Outcome) {
    if (!Bootstrap_.isDone())
      return;
    Out.Adopted_.push_back({Offered});
    advertise(From, Now, Out);
    return;
  }
  if (Outcome.error().Code_ != ErrorCode::VersionCurrent)
    Out.Refused_.push_back({Offered, Outcome.error()});
}

void ControlCore::advertise(const std::optional<HostId> &From, TimePoint Now,
                            ControlEffects &Out) {
  if (EveryNodeMode_)
    return;
  NodeSummary Summary = summary(Now);
  auto Receivers = Spread_.receivers(Summary, Table_, From);
  if (Receivers.empty())
    return;
  std::string Data = encodeMessage(Advert{Probes_.ownRecord().Id_, Summary});
  for (const HostId &To : Receivers)
    Out.Datagrams_.push_back({To, ControlTraffic::Advert, Data});
}

void ControlCore::onHostExchange(const HostExchange &Exchange, TimePoint Now,
                                 ControlEffects &Out) {
  apply(Probes_.onExchange(Exchange.Hosts_, Now), Now, Out);
}

void ControlCore::onHello(const HostRecord &Sender, TimePoint Now,
                          ControlEffects &Out) {
  apply(Probes_.onHello(Sender, Now), Now, Out);
}

void ControlCore::onNotice(const HostStateNotice &Notice, TimePoint Now,
                           ControlEffects &Out) {
  apply(Probes_.onNotice(Notice, Now), Now, Out);
}

void ControlCore::onSourceKeys(std::uint64_t Index, TimePoint Now,
                               ControlEffects &Out) {
  detectOutageEnd(Now);
  Reader_.onKeys(Index, Now);
  auto Actions = Reader_.tick(Now);
  Out.Source_.insert(Out.Source_.end(), Actions.begin(), Actions.end());
}

void ControlCore::onSourceText(const SourceText &Text, TimePoint Now,
                               ControlEffects &Out) {
  onSourceContact(Now, Now);
  if (Text.Refused_) {
    Refusal Refused{{0, Text.Index_},
                    static_cast<std::uint16_t>(Text.Refused_->Code_)};
    if (Store_.refuse(Refused, Now)) {
      Out.Refused_.push_back({Refused.Version_, *Text.Refused_});
      advertise(std::nullopt, Now, Out);
    }
  }
  if (BootstrapFetch_) {
    BootstrapFetch_ = false;
    Bootstrap_.onSourceText(Text.Snapshot_, Now);
    runBootstrap(Now, Out);
    // Avoids a second fetch of the text that bootstrap has just adopted.
    if (Text.Snapshot_ && Store_.version() == Text.Snapshot_->version())
      Reader_.onText(Text.Index_, Now);
    return;
  }
  if (Text.Snapshot_)
    onOfferResult(Store_.offerFromSource(Text.Snapshot_, Now),
                  Text.Snapshot_->version(), std::nullopt, Now, Out);
  Reader_.onText(Text.Index_, Now);
  // The revision of the target list may only now be valid to advertise: it is
  // withheld while the configuration is older than the list.
  advertise(std::nullopt, Now, Out);
}

void ControlCore::onSourceFailure(distribution::SourceCall Call, TimePoint Now,
                                  ControlEffects &Out) {
  if (Call == distribution::SourceCall::Text && BootstrapFetch_) {
    BootstrapFetch_ = false;
    Bootstrap_.onSourceText(nullptr, Now);
    runBootstrap(Now, Out);
    return;
  }
  Reader_.onFailure(Call, Now);
}

void ControlCore::setOwnState(HostState State, TimePoint Now,
                              ControlEffects &Out) {
  if (Probes_.ownRecord().State_ == State)
    return;
  apply(Probes_.setOwnState(State, Now), Now, Out);
}

void ControlCore::reportHostFailure(const HostId &Peer, TimePoint Now,
                                    ControlEffects &Out) {
  if (Now < NextFailureProbe_)
    return;
  NextFailureProbe_ = Now + FailureProbeSpacing;
  apply(Probes_.probeNow(Peer, Now), Now, Out);
}

void ControlCore::sendCrashNotice(const CrashNotice &Notice,
                                  ControlEffects &Out) const {
  std::string Data = encodeMessage(Notice);
  for (const HostId &To : Table_.hostsOfService(Probes_.ownRecord().Service_))
    if (To != Probes_.ownRecord().Id_)
      Out.Datagrams_.push_back({To, ControlTraffic::Notice, Data});
}

void ControlCore::repeatCrashNotices(const std::vector<CrashNotice> &Notices,
                                     const HostId &To, ControlEffects &Out) {
  for (const CrashNotice &Notice : Notices)
    Out.Datagrams_.push_back(
        {To, ControlTraffic::Notice, encodeMessage(Notice)});
}

} // namespace marigold::node
