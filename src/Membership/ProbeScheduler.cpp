#include "Membership/ProbeScheduler.h"

#include <algorithm>

namespace marigold::membership {
namespace {

// Shorter gaps between ticks are normal timer jitter.
constexpr Duration MinGap = std::chrono::milliseconds(200);

// Maximum number of queued verifications; bounds the memory that a flood of
// dead records from peers can use.
constexpr std::size_t MaxVerifications = 4096;

constexpr Duration ExpiryInterval = std::chrono::minutes(1);

} // namespace

ProbeScheduler::ProbeScheduler(HostTable &Table, HostRecord Own,
                               ProbeOptions Options, SummaryProvider Summary,
                               Random Rng, TimePoint Now)
    : Table_(Table), Own_(std::move(Own)), Options_(std::move(Options)),
      Summary_(std::move(Summary)), Rng_(Rng),
      Suspicions_({Options_.SuspicionTimeout_, Options_.Timeout_ / 2}),
      Updates_(Own_.Id_), LastTick_(Now),
      NextProbe_(Now + Rng_.upTo(Options_.Interval_)),
      NextDeadProbe_(Now + Rng_.upTo(Options_.DeadProbeInterval_)),
      NextVerification_(Now), NextExpiry_(Now + ExpiryInterval) {
  Table_.apply(Own_, Now);
  Updates_.push({Own_, {}});
}

Actions ProbeScheduler::tick(TimePoint Now) {
  Actions Out;
  Duration Gap = Now - LastTick_;
  LastTick_ = Now;
  if (Gap > std::max(Options_.Timeout_, MinGap))
    shiftDeadlines(Gap);
  endProbes(Now, Out);
  endRelays(Now, Out);
  processSuspicions(Now, Out);
  verifyNext(Now, Out);
  probeDead(Now, Out);
  probeNext(Now, Out);
  if (Now >= NextExpiry_) {
    NextExpiry_ = Now + ExpiryInterval;
    Table_.expire(Now);
  }
  return Out;
}

void ProbeScheduler::shiftDeadlines(Duration Gap) {
  for (auto &[Sequence, Running] : Probes_)
    Running.Deadline_ += Gap;
  for (auto &[Sequence, Running] : Relays_)
    Running.Deadline_ += Gap;
  Suspicions_.shift(Gap);
}

Duration ProbeScheduler::probeTimeout() const {
  return Options_.Timeout_ * Health_.multiplier();
}

void ProbeScheduler::probeNext(TimePoint Now, Actions &Out) {
  if (Now < NextProbe_)
    return;
  // After a gap only one probe starts, instead of all that were missed.
  NextProbe_ = std::max(NextProbe_ + Options_.Interval_, Now);
  if (std::optional<HostId> Subject = nextSubject())
    startProbe(*Subject, Table_.find(*Subject)->Record_, Now, Out);
}

void ProbeScheduler::startProbe(const HostId &Subject, const HostRecord &Claim,
                                TimePoint Now, Actions &Out) {
  std::uint32_t Sequence = sendPing(Subject, Claim, Now, Out);
  Probes_[Sequence] = {Subject, Now + probeTimeout(), {}, {}};
}

void ProbeScheduler::sendPingRequests(std::uint32_t Sequence, Probe &Running,
                                      TimePoint Now, Actions &Out) {
  std::vector<HostId> Candidates;
  for (const HostId &Id : Table_.liveHosts())
    if (Id != Own_.Id_ && Id != Running.Subject_ &&
        Table_.find(Id)->Record_.State_ != HostState::Suspect)
      Candidates.push_back(Id);
  std::sample(Candidates.begin(), Candidates.end(),
              std::back_inserter(Running.Helpers_), Options_.IndirectProbes_,
              Rng_.engine());
  for (const HostId &Helper : Running.Helpers_)
    Out.push_back(
        SendDatagram{Helper, PingRequest{Sequence, Own_, Running.Subject_}});
  // A helper itself waits one timeout before it reports that the subject did
  // not answer.
  Running.Deadline_ = Now + 2 * probeTimeout();
}

void ProbeScheduler::endProbes(TimePoint Now, Actions &Out) {
  std::vector<std::uint32_t> Failed;
  for (auto &[Sequence, Running] : Probes_) {
    if (Now < Running.Deadline_)
      continue;
    if (Running.Helpers_.empty())
      sendPingRequests(Sequence, Running, Now, Out);
    else
      Failed.push_back(Sequence);
    if (Running.Helpers_.empty())
      Failed.push_back(Sequence);
  }
  for (std::uint32_t Sequence : Failed) {
    Probe Ended = std::move(Probes_.at(Sequence));
    Probes_.erase(Sequence);
    failProbe(Ended, Now, Out);
  }
}

void ProbeScheduler::failProbe(const Probe &Failed, TimePoint Now,
                               Actions &Out) {
  bool HelpersAnswered = Failed.NackedBy_.size() * 2 > Failed.Helpers_.size();
  Health_.onProbe(HelpersAnswered ? LocalHealth::ProbeResult::SubjectSilent
                                  : LocalHealth::ProbeResult::AllSilent);
  const HostEntry *Entry = Table_.find(Failed.Subject_);
  if (!Entry || isTombstone(Entry->Record_.State_))
    return;
  HostUpdate Update{Entry->Record_, Own_.Id_};
  Update.Record_.State_ = HostState::Suspect;
  if (Entry->Record_.State_ != HostState::Suspect) {
    merge(Update, true, Now, Out);
    Out.push_back(SuspicionRaised{Failed.Subject_});
  } else if (Suspicions_.addAccuser(Failed.Subject_, Own_.Id_, true,
                                    Health_.multiplier(), Now)) {
    Updates_.push(Update);
  }
  for (const HostId &Helper : Failed.NackedBy_)
    Suspicions_.addAccuser(Failed.Subject_, Helper, false, Health_.multiplier(),
                           Now);
}

void ProbeScheduler::endRelays(TimePoint Now, Actions &Out) {
  for (auto It = Relays_.begin(); It != Relays_.end();) {
    if (Now < It->second.Deadline_) {
      ++It;
      continue;
    }
    const Relay &Ended = It->second;
    sendAck(Ended.Requester_, Ended.RequesterSequence_, Ended.Subject_, false,
            Now, Out);
    It = Relays_.erase(It);
  }
}

void ProbeScheduler::processSuspicions(TimePoint Now, Actions &Out) {
  for (const SuspicionStep &Step : Suspicions_.due(Now)) {
    const HostEntry *Entry = Table_.find(Step.Subject_);
    if (!Entry || Entry->Record_.State_ != HostState::Suspect) {
      Suspicions_.clear(Step.Subject_);
    } else if (!Step.Expired_) {
      sendPing(Step.Subject_, Now, Out);
    } else if (Health_.isDegraded()) {
      Suspicions_.restart(Step.Subject_, Now);
    } else {
      declareDead(Step.Subject_, Now, Out);
    }
  }
}

void ProbeScheduler::declareDead(const HostId &Subject, TimePoint Now,
                                 Actions &Out) {
  HostRecord Record = Table_.find(Subject)->Record_;
  Record.State_ = HostState::Dead;
  merge({Record, {}}, true, Now, Out);
  Out.push_back(DeathDeclared{Record});
}

void ProbeScheduler::probeDead(TimePoint Now, Actions &Out) {
  if (Now < NextDeadProbe_)
    return;
  NextDeadProbe_ = Now + Options_.DeadProbeInterval_ / 2 +
                   Rng_.upTo(Options_.DeadProbeInterval_);
  probeSeed(Now, Out);
  if (Table_.countByState()[static_cast<std::size_t>(HostState::Dead)] == 0)
    return;
  std::vector<HostId> Dead;
  Table_.forEach([&](const HostEntry &Entry) {
    if (Entry.Record_.State_ == HostState::Dead)
      Dead.push_back(Entry.Record_.Id_);
  });
  std::sort(Dead.begin(), Dead.end());
  sendPing(Dead[Rng_.below(Dead.size())], Now, Out);
}

void ProbeScheduler::probeSeed(TimePoint Now, Actions &Out) {
  std::vector<HostId> Missing;
  for (const HostId &Id : Options_.Seeds_) {
    const HostEntry *Entry = Table_.find(Id);
    if (Id != Own_.Id_ && (!Entry || isTombstone(Entry->Record_.State_)))
      Missing.push_back(Id);
  }
  if (!Missing.empty())
    sendPing(Missing[Rng_.below(Missing.size())], Now, Out);
}

void ProbeScheduler::verifyNext(TimePoint Now, Actions &Out) {
  if (Verifications_.empty() || Now < NextVerification_)
    return;
  NextVerification_ =
      Now + std::chrono::seconds(1) / Options_.VerificationsPerSecond_;
  HostRecord Claim = std::move(Verifications_.front());
  Verifications_.pop_front();
  const HostEntry *Entry = Table_.find(Claim.Id_);
  if (Entry && !isTombstone(Entry->Record_.State_) &&
      supersedes(Claim, Entry->Record_))
    startProbe(Claim.Id_, Claim, Now, Out);
}

Actions ProbeScheduler::probeAddress(const HostId &Id, TimePoint Now) {
  Actions Out;
  if (Id != Own_.Id_)
    sendPing(Id, Now, Out);
  return Out;
}

Actions ProbeScheduler::probeNow(const HostId &Id, TimePoint Now) {
  Actions Out;
  const HostEntry *Entry = Table_.find(Id);
  bool Running =
      std::any_of(Probes_.begin(), Probes_.end(),
                  [&](const auto &Each) { return Each.second.Subject_ == Id; });
  if (Id != Own_.Id_ && Entry && !isTombstone(Entry->Record_.State_) &&
      !Running)
    startProbe(Id, Entry->Record_, Now, Out);
  return Out;
}

Actions ProbeScheduler::setOwnState(HostState State, TimePoint Now) {
  Actions Out;
  Own_.State_ = State;
  raiseOwnRecordAbove(Own_.Incarnation_, Own_.Sequence_, Now, Out);
  return Out;
}

Actions ProbeScheduler::setOwnService(std::string Service, TimePoint Now) {
  Actions Out;
  Own_.Service_ = std::move(Service);
  raiseOwnRecordAbove(Own_.Incarnation_, Own_.Sequence_, Now, Out);
  return Out;
}

Actions ProbeScheduler::onExchange(std::span<const HostRecord> Records,
                                   TimePoint Now) {
  Actions Out;
  for (const HostRecord &Record : Records)
    mergeExchanged(Record, Now, Out);
  return Out;
}

Actions ProbeScheduler::onListed(std::span<const HostRecord> Records,
                                 TimePoint Now) {
  Actions Out;
  // Hosts known only from the list are not gossiped: each failure domain reads
  // its own list, and a running host announces itself.
  for (const HostRecord &Record : Records)
    merge({Record, {}}, Record.Incarnation_ != 0, Now, Out);
  return Out;
}

void ProbeScheduler::mergeExchanged(const HostRecord &Record, TimePoint Now,
                                    Actions &Out) {
  bool FromDetector =
      Record.State_ == HostState::Suspect || Record.State_ == HostState::Dead;
  const HostEntry *Entry = Table_.find(Record.Id_);
  if (!FromDetector || Record.Id_ == Own_.Id_ || !Entry) {
    HostRecord Stated = Record;
    if (Record.State_ == HostState::Suspect && Record.Id_ != Own_.Id_)
      Stated.State_ = HostState::Starting;
    // Not gossiped: after a partition this would send half of the table, and
    // the other nodes make their own exchanges.
    merge({Stated, {}}, false, Now, Out);
    return;
  }
  if (Record.State_ != HostState::Dead || isTombstone(Entry->Record_.State_) ||
      !supersedes(Record, Entry->Record_))
    return;
  bool Queued = std::any_of(
      Verifications_.begin(), Verifications_.end(),
      [&](const HostRecord &Other) { return Other.Id_ == Record.Id_; });
  if (!Queued && Verifications_.size() < MaxVerifications)
    Verifications_.push_back(Record);
}

std::optional<HostId> ProbeScheduler::nextSubject() {
  auto IsSubject = [&](const HostId &Id) {
    const HostEntry *Entry = Table_.find(Id);
    return Id != Own_.Id_ && Entry && !isTombstone(Entry->Record_.State_);
  };
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    while (!ProbeRound_.empty()) {
      HostId Next = ProbeRound_.back();
      ProbeRound_.pop_back();
      if (IsSubject(Next))
        return Next;
    }
    ProbeRound_ = Table_.liveHosts();
    std::shuffle(ProbeRound_.begin(), ProbeRound_.end(), Rng_.engine());
  }
  return std::nullopt;
}

void ProbeScheduler::insertIntoRound(const HostId &Id) {
  auto At = ProbeRound_.begin() +
            static_cast<std::ptrdiff_t>(Rng_.below(ProbeRound_.size() + 1));
  ProbeRound_.insert(At, Id);
}

} // namespace marigold::membership
