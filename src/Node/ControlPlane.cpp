#include "Node/ControlPlane.h"

#include "Node/NodeStatus.h"
#include "Support/Addresses.h"
#include "Support/Archive.h"
#include "Support/Log.h"
#include "Support/SourceRevision.h"
#include "Support/SuspendedTime.h"

namespace marigold::node {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration GaugeInterval = std::chrono::seconds(1);
/// Minimum suspension to report. Smaller differences are within the error of
/// reading two clocks one after the other.
constexpr Duration MinSuspension = std::chrono::milliseconds(100);
/// Bytes of the IPv4 and UDP headers.
constexpr std::size_t DatagramOverhead = 28;
/// Bytes of a frame's length and type fields, and of the IP and TCP headers of
/// its segment.
constexpr std::size_t FrameOverhead = 5 + 52;
/// Bytes per direction for opening and closing a peer connection: IP and TCP
/// headers of four segments, and one Hello frame.
constexpr std::size_t ConnectionOverhead = 4 * 52 + 110;

/// Round-trip time of a probe, and delay of the periodic work, from which on it
/// is logged.
constexpr Duration SlowExchange = std::chrono::milliseconds(250);

std::string millisecondsText(Duration Value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

TimePoint now() { return std::chrono::steady_clock::now(); }

std::string_view callLabel(distribution::SourceCall Call) {
  switch (Call) {
  case distribution::SourceCall::Keys:
    return "keys";
  case distribution::SourceCall::Text:
    return "text";
  case distribution::SourceCall::Hosts:
    return "hosts";
  }
  return "invalid";
}

/// Returns the purpose of a received datagram from its type byte.
ControlTraffic trafficOf(std::string_view Data) {
  auto Type = static_cast<MessageType>(Data.empty() ? 0 : Data.front());
  switch (Type) {
  case MessageType::Advert:
    return ControlTraffic::Advert;
  case MessageType::HostStateNotice:
  case MessageType::CrashNotice:
    return ControlTraffic::Notice;
  default:
    return ControlTraffic::Probe;
  }
}

} // namespace

ControlPlane::ControlPlane(ControlPlaneParts Parts, const HostRecord &Own,
                           std::uint64_t Seed, TimePoint Now,
                           const ConfigSourceFactory &MakeSource)
    : Parts_(Parts), Core_(Parts.Settings_, Own, Seed, Now), LastTick_(Now),
      Suspended_(suspendedTime()),
      Socket_(Parts.Io_,
              [this](const Address &From, std::string_view Data) {
                onDatagram(From, Data);
              }),
      Source_(MakeSource(
          Parts.Io_, Parts.Settings_,
          [this](distribution::SourceCall Call, const SourceBytes &Bytes) {
            Parts_.Metrics_.add(Metric::SourceCallsTotal, 1, callLabel(Call));
            countSent(ControlTraffic::Source, Bytes.Sent_);
            countReceived(ControlTraffic::Source, Bytes.Received_);
          })),
      Timer_(Parts.Io_), NextGauges_(Now) {}

ControlPlane::~ControlPlane() = default;

void ControlPlane::attach(
    ControlConnections Connections,
    std::function<void(const CrashNotice &)> OnCrashNotice,
    std::function<void(const OwnTarget &)> OnOwnTarget,
    std::function<std::vector<CrashNotice>()> HeldBack) {
  Connections_.emplace(Connections);
  OnCrashNotice_ = std::move(OnCrashNotice);
  OnOwnTarget_ = std::move(OnOwnTarget);
  HeldBack_ = std::move(HeldBack);
}

void ControlPlane::setOwnService(const std::string &Service) {
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Core.setOwnService(Service, Now, Out);
  });
}

void ControlPlane::targetAnswered(const std::string &Instance) {
  decide([&](ControlCore &Core, TimePoint, ControlEffects &Out) {
    Core.setAnsweringInstance(Instance, Out);
  });
}

bool ControlPlane::isReady() const { return gate() != CallGate::Closed; }

Result<void> ControlPlane::start() {
  BOOST_OUTCOME_TRY(Socket_.open(Parts_.Settings_.PeerAddress_));
  scheduleTick();
  return success();
}

void ControlPlane::stop(bool Leaving) {
  if (Leaving)
    decide([](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
      Core.setOwnState(HostState::Gone, Now, Out);
    });
  Stopped_ = true;
  Source_->stop();
  Socket_.close();
}

template <class Decision> void ControlPlane::decide(Decision &&Decide) {
  ControlEffects Effects;
  std::vector<CrashNotice> Crashes;
  std::shared_ptr<const config::Snapshot> Adopted;
  OwnTarget Own;
  KnownSourceState Known;
  {
    std::lock_guard Lock(Mutex_);
    Decide(Core_, now(), Effects);
    if (Effects.TargetsMerged_)
      Known = Core_.knownSourceState();
    if (Effects.OwnTargetChanged_)
      Own = Core_.ownTarget();
    Crashes = Core_.takeCrashNotices();
    HostsGeneration_ = Core_.hostsGeneration();
    Bootstrapped_ = Core_.isBootstrapped();
    if (!Effects.Adopted_.empty())
      Adopted = Core_.versions().current();
  }
  if (Adopted)
    publish(std::move(Adopted));
  // Must precede applyEffects(), whose effects may include a call to the source
  // that has to start from the new revision.
  if (Effects.TargetsMerged_) {
    logEvent(LogLevel::Info, "targets_learned",
             {{"targets", std::to_string(Known.Targets_.size())},
              {"revision", revisionText(Known.Revision_)}});
    Source_->resumeFrom(Known);
  }
  applyEffects(Effects);
  if (Effects.OwnTargetChanged_)
    OnOwnTarget_(Own);
  for (const CrashNotice &Notice : Crashes)
    OnCrashNotice_(Notice);
  if (!Effects.StartedPeers_.empty())
    informStartedPeers(Effects.StartedPeers_);
}

void ControlPlane::informStartedPeers(const std::vector<HostId> &Peers) {
  std::vector<CrashNotice> Notices = HeldBack_();
  if (Notices.empty())
    return;
  ControlEffects Effects;
  for (const HostId &Peer : Peers) {
    ControlCore::repeatCrashNotices(Notices, Peer, Effects);
    logEvent(
        LogLevel::Info, "crash_notices_repeated",
        {{"peer", toText(Peer)}, {"crashes", std::to_string(Notices.size())}});
  }
  applyEffects(Effects);
}

void ControlPlane::publish(std::shared_ptr<const config::Snapshot> Adopted) {
  std::lock_guard Lock(SnapshotMutex_);
  // Two threads may get here in a different order than they adopted their
  // versions.
  if (!Snapshot_ || Snapshot_->version() < Adopted->version())
    Snapshot_ = std::move(Adopted);
}

void ControlPlane::applyEffects(const ControlEffects &Effects) {
  for (const OutgoingDatagram &Datagram : Effects.Datagrams_) {
    Socket_.send(toAddress(Datagram.To_), Datagram.Data_);
    countSent(Datagram.Kind_, Datagram.Data_.size() + DatagramOverhead);
  }
  for (const HostId &Peer : Effects.ConnectionsToDrop_) {
    Connections_->Calls_.drop(Peer);
    Connections_->Bulk_.drop(Peer);
  }
  for (const HostStateNotice &Notice : Effects.Broadcasts_)
    countSent(ControlTraffic::Notice, Connections_->Server_.broadcast(Notice));
  for (const OutgoingSync &Sync : Effects.Syncs_)
    sendSync(Sync);
  for (const auto &Action : Effects.Source_)
    callSource(Action);
  if (Effects.ReadAllHosts_)
    readHosts(true);
  report(Effects);
}

void ControlPlane::report(const ControlEffects &Effects) {
  for (const AdoptedEvent &Event : Effects.Adopted_) {
    Parts_.Metrics_.add(Metric::ConfigAdoptedTotal);
    setLogVersion(Event.Version_);
    logEvent(LogLevel::Info, "version_adopted",
             {{"adopted", toText(Event.Version_)}});
  }
  for (const RefusedEvent &Event : Effects.Refused_) {
    auto Reason = errorText(Event.Cause_.Code_);
    Parts_.Metrics_.add(Metric::ConfigRefusedTotal, 1, Reason);
    logEvent(LogLevel::Warning, "version_refused",
             {{"refused", toText(Event.Version_)},
              {"reason", std::string(Reason)},
              {"detail", Event.Cause_.Detail_}});
  }
  for (const HostEvent &Event : Effects.Hosts_) {
    if (Event.DetectedLocally_ && Event.Record_.State_ == HostState::Suspect)
      Parts_.Metrics_.add(Metric::SuspicionsTotal);
    if (Event.DetectedLocally_ && Event.Record_.State_ == HostState::Dead)
      Parts_.Metrics_.add(Metric::DeathsTotal);
    logEvent(LogLevel::Debug, "host_state",
             {{"subject", toText(Event.Record_.Id_)},
              {"state", std::string(toText(Event.Record_.State_))}});
  }
  for (bool SourceOnly : Effects.BootstrapDone_) {
    if (SourceOnly)
      Parts_.Metrics_.add(Metric::BootstrapSourceOnlyTotal);
    logEvent(SourceOnly ? LogLevel::Warning : LogLevel::Info, "bootstrap_done",
             {{"source_only", SourceOnly ? "true" : "false"}});
  }
  if (const auto &Event = Effects.SourceRole_) {
    if (Event->Role_ == distribution::SourceRole::Takeover)
      Parts_.Metrics_.add(Metric::SourceTakeoversTotal);
    logEvent(LogLevel::Info, "source_role",
             {{"role", std::string(toText(Event->Role_))},
              {"confirmation_age_ms",
               std::to_string(Event->ConfirmationAge_.count())}});
  }
  if (const auto &Event = Effects.TargetList_) {
    // A list without a revision is followed by the same one with it.
    bool Ignored = !Event->Taken_ && Event->Revision_ != 0;
    std::string_view Result = Event->Taken_ ? "taken" : "incomplete";
    Parts_.Metrics_.add(Metric::TargetListsTotal, 1,
                        Ignored ? "ignored" : Result);
    logEvent(Ignored ? LogLevel::Warning : LogLevel::Info, "targets_read",
             {{"targets", std::to_string(Event->Targets_)},
              {"unusable", std::to_string(Event->Unusable_)},
              {"revision", revisionText(Event->Revision_)},
              {"held", revisionText(Event->Held_)},
              {"taken", Event->Taken_ ? "true" : "false"}});
  }
  for (const EvacuationEvent &Event : Effects.Evacuations_) {
    if (Event.Begins_)
      Parts_.Metrics_.add(Metric::EvacuationsTotal);
    logEvent(LogLevel::Warning,
             Event.Begins_ ? "evacuation_began" : "evacuation_ended",
             {{"domain", Event.FailureDomain_},
              {"revision", revisionText(Event.Revision_)}});
  }
  for (const auto &[Peer, Time] : Effects.RoundTrips_) {
    Parts_.Metrics_.observe(Metric::ProbeRoundTripSeconds, Time);
    if (Time >= SlowExchange)
      logEvent(LogLevel::Info, "probe_slow",
               {{"peer", toText(Peer)}, {"ms", millisecondsText(Time)}});
  }
  for (Duration Pause : Effects.Pauses_) {
    auto Length = std::chrono::duration_cast<std::chrono::milliseconds>(Pause);
    Parts_.Metrics_.add(Metric::PausesTotal);
    logEvent(LogLevel::Warning, "process_paused",
             {{"ms", std::to_string(Length.count())}});
  }
}

void ControlPlane::sendSync(const OutgoingSync &Sync) {
  HostId Peer = Sync.To_;
  Connections_->Sync_.get(
      Peer, [this, Peer, Request = Sync.Request_](
                Result<transport::PeerConnectionPtr> Connection) {
        if (Stopped_)
          return;
        std::size_t Sent = 0;
        Failure Cause = fail(ErrorCode::ConnectionFailed, toText(Peer));
        if (Connection)
          Sent = Connection.value()->send(Request);
        else
          Cause = Connection.error();
        if (Sent != 0) {
          countSent(ControlTraffic::Sync, Sent + FrameOverhead);
          return;
        }
        // The pool may invoke this callback from within get(). That cannot
        // deadlock, because Mutex_ is not held during applyEffects().
        decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
          Core.onSyncFailed(Peer, Cause, Now, Out);
        });
      });
}

void ControlPlane::callSource(const distribution::SourceAction &Action) {
  if (const auto *Watch = std::get_if<distribution::WatchKeys>(&Action))
    watchKeys(*Watch);
  else if (std::holds_alternative<distribution::FetchText>(Action))
    fetchText();
  else
    readHosts(false);
}

void ControlPlane::sourceFailed(distribution::SourceCall Call,
                                const Failure &Cause) {
  Parts_.Metrics_.add(Metric::SourceErrorsTotal);
  if (!SourceFailing_.exchange(true))
    logEvent(LogLevel::Warning, "source_lost",
             {{"call", std::string(callLabel(Call))},
              {"reason", std::string(errorText(Cause.Code_))},
              {"detail", Cause.Detail_}});
  logEvent(LogLevel::Debug, "source_call_failed",
           {{"call", std::string(callLabel(Call))},
            {"reason", std::string(errorText(Cause.Code_))}});
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Core.onSourceFailure(Call, Now, Out);
  });
}

void ControlPlane::sourceAnswered(distribution::SourceCall Call) {
  if (SourceFailing_.exchange(false))
    logEvent(LogLevel::Info, "source_back",
             {{"call", std::string(callLabel(Call))}});
}

void ControlPlane::watchKeys(const distribution::WatchKeys &Watch) {
  Source_->watchKeys(
      Watch.Index_, Watch.Wait_, [this](Result<std::uint64_t> Index) {
        if (Stopped_)
          return;
        if (!Index) {
          sourceFailed(distribution::SourceCall::Keys, Index.error());
          return;
        }
        sourceAnswered(distribution::SourceCall::Keys);
        decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
          Core.onSourceKeys(Index.value(), Now, Out);
        });
      });
}

void ControlPlane::fetchText() {
  Source_->fetchText([this](Result<SourceText> Text) {
    if (Stopped_)
      return;
    if (!Text) {
      sourceFailed(distribution::SourceCall::Text, Text.error());
      return;
    }
    sourceAnswered(distribution::SourceCall::Text);
    decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
      Core.onSourceText(Text.value(), Now, Out);
    });
  });
}

void ControlPlane::readHosts(bool All) {
  Source_->readHosts(All, [this](Result<membership::HostList> List) {
    if (Stopped_)
      return;
    if (!List) {
      sourceFailed(distribution::SourceCall::Hosts, List.error());
      return;
    }
    sourceAnswered(distribution::SourceCall::Hosts);
    Parts_.Metrics_.add(Metric::ListedTargetsInvalidTotal,
                        static_cast<std::int64_t>(List.value().Unusable_));
    decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
      Core.onSourceHosts(List.value(), Now, Out);
    });
  });
}

void ControlPlane::onDatagram(const Address &, std::string_view Data) {
  countReceived(trafficOf(Data), Data.size() + DatagramOverhead);
  Result<void> Outcome = success();
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Outcome = Core.onDatagram(Data, Now, Out);
  });
  if (!Outcome)
    Parts_.Metrics_.add(Metric::MessagesMalformedTotal);
}

void ControlPlane::scheduleTick() {
  Timer_.expires_after(TickInterval);
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error || Stopped_)
      return;
    TimePoint TickTime = now();
    Duration Delay = TickTime - Timer_.expiry();
    Parts_.Metrics_.observe(Metric::TickDelaySeconds, Delay);
    if (Delay >= SlowExchange)
      logEvent(LogLevel::Info, "tick_late", {{"ms", millisecondsText(Delay)}});
    bool Trusted = true;
    auto Contact = Source_->contactAt();
    Duration Suspension = suspendedTime() - Suspended_;
    if (Suspension >= MinSuspension)
      Suspended_ += Suspension;
    decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
      if (Suspension >= MinSuspension)
        Core.onSuspended(Suspension, Now, Out);
      if (Contact)
        Core.onSourceContact(*Contact, Now);
      Core.tick(Now, Out);
      Trusted = Core.isTrusted(Now);
    });
    Trusted_ = Trusted;
    LastTick_ = TickTime;
    flushLog();
    if (TickTime >= NextGauges_) {
      NextGauges_ = TickTime + GaugeInterval;
      updateGauges(TickTime);
    }
    scheduleTick();
  });
}

void ControlPlane::updateGauges(TimePoint Now) {
  ConfigVersion Version;
  std::chrono::milliseconds Age{};
  std::array<std::size_t, HostStateCount> Counts{};
  std::size_t Listed = 0;
  std::size_t Evacuated = 0;
  {
    std::lock_guard Lock(Mutex_);
    Version = Core_.versions().version();
    Age = Core_.sourceAge(Now);
    Counts = Core_.hosts().countByState();
    Listed = Core_.directory().size();
    Evacuated = Core_.directory().evacuated().size();
  }
  Parts_.Metrics_.set(Metric::LogLinesDroppedTotal,
                      static_cast<std::int64_t>(droppedLogLines()), "full");
  Parts_.Metrics_.set(Metric::ListedTargets, static_cast<std::int64_t>(Listed));
  Parts_.Metrics_.set(Metric::EvacuatedDomains,
                      static_cast<std::int64_t>(Evacuated));
  Parts_.Metrics_.set(Metric::ConfigEpoch, Version.Epoch_);
  Parts_.Metrics_.set(Metric::ConfigRevision,
                      static_cast<std::int64_t>(Version.Revision_));
  Parts_.Metrics_.set(Metric::ConfigSourceAgeSeconds, Age.count() / 1000);
  Parts_.Metrics_.set(Metric::ConfigSourceEra, Source_->era());
  for (std::uint8_t State = 0; State < HostStateCount; ++State)
    Parts_.Metrics_.set(Metric::Hosts, static_cast<std::int64_t>(Counts[State]),
                        toText(static_cast<HostState>(State)));
}

void ControlPlane::countSent(ControlTraffic Kind, std::size_t Bytes) {
  Parts_.Metrics_.add(Metric::ControlSentBytesTotal,
                      static_cast<std::int64_t>(Bytes), toText(Kind));
}

void ControlPlane::countReceived(ControlTraffic Kind, std::size_t Bytes) {
  Parts_.Metrics_.add(Metric::ControlReceivedBytesTotal,
                      static_cast<std::int64_t>(Bytes), toText(Kind));
}

std::string ControlPlane::statusJson(bool WithHosts) const {
  std::lock_guard Lock(Mutex_);
  return renderStatus(Core_, WithHosts, now());
}

std::shared_ptr<const config::Snapshot> ControlPlane::snapshot() const {
  std::lock_guard Lock(SnapshotMutex_);
  return Snapshot_;
}

std::uint64_t ControlPlane::hostsGeneration() const { return HostsGeneration_; }

std::vector<HostRecord> ControlPlane::hostsOfService(std::string_view Service) {
  std::lock_guard Lock(Mutex_);
  return Core_.targetsOf(Service);
}

OwnTarget ControlPlane::ownTarget() const {
  std::lock_guard Lock(Mutex_);
  return Core_.ownTarget();
}

Duration ControlPlane::targetsAge(TimePoint Now) const {
  std::lock_guard Lock(Mutex_);
  return Core_.directory().isKnown() ? Duration(Core_.sourceAge(Now))
                                     : Duration::zero();
}

CallGate ControlPlane::gate() const {
  if (!Bootstrapped_)
    return CallGate::Closed;
  // After a pause of the process, a call may be read before the first tick.
  bool Late = now() - LastTick_.load() > Parts_.Settings_.PauseThreshold_;
  return Trusted_ && !Late ? CallGate::Open : CallGate::Held;
}

HostRecord ControlPlane::ownRecord() const {
  std::lock_guard Lock(Mutex_);
  return Core_.ownRecord();
}

void ControlPlane::reportHostFailure(const HostId &Peer) {
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Core.reportHostFailure(Peer, Now, Out);
  });
}

void ControlPlane::ownStateChanged(HostState State) {
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Core.setOwnState(State, Now, Out);
  });
  logEvent(LogLevel::Info, "own_state",
           {{"state", std::string(toText(State))}});
}

void ControlPlane::sendCrashNotice(const CrashNotice &Notice) {
  decide([&](ControlCore &Core, TimePoint, ControlEffects &Out) {
    Core.sendCrashNotice(Notice, Out);
  });
}

void ControlPlane::onOpen(const transport::PeerConnectionPtr &Connection) {
  countSent(ControlTraffic::Sync, ConnectionOverhead);
  countReceived(ControlTraffic::Sync, ConnectionOverhead);
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Core.onHello(Connection->peer(), Now, Out);
  });
}

void ControlPlane::onClosed(const transport::PeerConnectionPtr &Connection,
                            const Failure &Cause) {
  if (Stopped_)
    return;
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Core.onSyncFailed(Connection->peer().Id_, Cause, Now, Out);
  });
}

void ControlPlane::onSyncRequest(const transport::PeerConnectionPtr &Connection,
                                 SyncRequest Request) {
  countReceived(ControlTraffic::Sync,
                encodeBody(Request).size() + FrameOverhead);
  SyncReply Reply;
  {
    std::lock_guard Lock(Mutex_);
    Reply = Core_.answer(Request, now());
  }
  std::size_t Sent = Connection->send(Reply);
  if (Sent == 0 && Reply.Targets_.Revision_ != 0) {
    // Both do not fit into one frame. The peer asks for the targets once it
    // has the configuration.
    Reply.Targets_ = {};
    Sent = Connection->send(Reply);
  }
  if (Sent == 0)
    logEvent(LogLevel::Warning, "sync_reply_too_large",
             {{"peer", toText(Connection->peer().Id_)},
              {"version", toText(Reply.Summary_.Version_)}});
  countSent(ControlTraffic::Sync, Sent + FrameOverhead);
}

void ControlPlane::onSyncReply(const transport::PeerConnectionPtr &Connection,
                               SyncReply Reply) {
  countReceived(ControlTraffic::Sync, encodeBody(Reply).size() + FrameOverhead);
  std::vector<HostExchange> Exchanges;
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Exchanges = Core.onSyncReply(Connection->peer().Id_, Reply, Now, Out);
  });
  for (const HostExchange &Exchange : Exchanges)
    countSent(ControlTraffic::Sync, Connection->send(Exchange) + FrameOverhead);
}

void ControlPlane::onHostExchange(const transport::PeerConnectionPtr &,
                                  HostExchange Exchange) {
  countReceived(ControlTraffic::Sync,
                encodeBody(Exchange).size() + FrameOverhead);
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Core.onHostExchange(Exchange, Now, Out);
  });
}

void ControlPlane::onHostStateNotice(const transport::PeerConnectionPtr &,
                                     HostStateNotice Notice) {
  countReceived(ControlTraffic::Notice,
                encodeBody(Notice).size() + FrameOverhead);
  decide([&](ControlCore &Core, TimePoint Now, ControlEffects &Out) {
    Core.onNotice(Notice, Now, Out);
  });
}

} // namespace marigold::node
