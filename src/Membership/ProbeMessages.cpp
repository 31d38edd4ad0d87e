// ProbeScheduler: handlers of received messages.
#include "Membership/ProbeScheduler.h"
#include "Support/Archive.h"

#include <algorithm>
#include <limits>

namespace marigold::membership {
namespace {

// Bounds the memory that a flood of ping requests can use.
constexpr std::size_t MaxRelays = 256;

// Encoded size in bytes of the length of the update list.
constexpr std::size_t ListOverhead = 1;

bool isDetectorState(HostState State) {
  return State == HostState::Suspect || State == HostState::Dead;
}

} // namespace

Actions ProbeScheduler::onPing(const Ping &Message, TimePoint Now) {
  Actions Out;
  if (Message.Subject_ != Own_.Id_)
    return Out;
  mergeSender(Message.Sender_, Now, Out);
  HostRecord Claim = Own_;
  Claim.Incarnation_ = Message.SubjectIncarnation_;
  Claim.Sequence_ = Message.SubjectSequence_;
  Claim.State_ = Message.SubjectState_;
  mergeOwn(Claim, Now, Out);
  mergeUpdates(Message.Updates_, Now, Out);
  sendAck(Message.Sender_, Message.Sequence_, Own_.Id_, true, Now, Out);
  return Out;
}

Actions ProbeScheduler::onAck(const Ack &Message, TimePoint Now) {
  Actions Out;
  mergeSender(Message.Sender_, Now, Out);
  mergeUpdates(Message.Updates_, Now, Out);
  onProbeAnswer(Message, Now, Out);
  onRelayAnswer(Message, Now, Out);
  if (Message.Sender_.Id_ != Message.Subject_)
    return Out;
  const HostEntry *Entry = Table_.find(Message.Subject_);
  if (!Entry || !isDetectorState(Entry->Record_.State_))
    return Out;
  // The answer belongs to a probe sent before the suspicion was raised: the
  // host is alive but does not know of the suspicion yet.
  Suspicions_.restart(Message.Subject_, Now);
  sendPing(Message.Subject_, Now, Out);
  return Out;
}

void ProbeScheduler::onProbeAnswer(const Ack &Message, TimePoint Now,
                                   Actions &Out) {
  auto Found = Probes_.find(Message.Sequence_);
  if (Found == Probes_.end() || Found->second.Subject_ != Message.Subject_)
    return;
  Probe &Running = Found->second;
  const HostId &Sender = Message.Sender_.Id_;
  bool IsHelper = std::find(Running.Helpers_.begin(), Running.Helpers_.end(),
                            Sender) != Running.Helpers_.end();
  if (Message.Reached_ && (IsHelper || Sender == Running.Subject_)) {
    Health_.onProbe(LocalHealth::ProbeResult::Answered);
    Suspicions_.restart(Running.Subject_, Now);
    Probes_.erase(Found);
    return;
  }
  if (!IsHelper)
    return;
  Running.NackedBy_.insert(Sender);
  if (Running.NackedBy_.size() < Running.Helpers_.size())
    return;
  Probe Ended = std::move(Running);
  Probes_.erase(Found);
  failProbe(Ended, Now, Out);
}

void ProbeScheduler::onRelayAnswer(const Ack &Message, TimePoint Now,
                                   Actions &Out) {
  auto Found = Relays_.find(Message.Sequence_);
  if (Found == Relays_.end() || !Message.Reached_ ||
      Found->second.Subject_ != Message.Sender_.Id_)
    return;
  Relay Ended = std::move(Found->second);
  Relays_.erase(Found);
  sendAck(Ended.Requester_, Ended.RequesterSequence_, Ended.Subject_, true, Now,
          Out);
}

Actions ProbeScheduler::onPingRequest(const PingRequest &Message,
                                      TimePoint Now) {
  Actions Out;
  mergeSender(Message.Sender_, Now, Out);
  if (Message.Subject_ == Own_.Id_) {
    sendAck(Message.Sender_, Message.Sequence_, Own_.Id_, true, Now, Out);
    return Out;
  }
  if (Relays_.size() >= MaxRelays)
    return Out;
  std::uint32_t Sequence = sendPing(Message.Subject_, Now, Out);
  Relays_[Sequence] = {Message.Sender_, Message.Sequence_, Message.Subject_,
                       Now + Options_.Timeout_};
  return Out;
}

Actions ProbeScheduler::onNotice(const HostStateNotice &Message,
                                 TimePoint Now) {
  Actions Out;
  // Suspicions are accepted only with their accuser, which a notice lacks.
  if (Message.Record_.State_ != HostState::Suspect)
    merge({Message.Record_, {}}, true, Now, Out);
  return Out;
}

Actions ProbeScheduler::onHello(const HostRecord &Sender, TimePoint Now) {
  Actions Out;
  mergeSender(Sender, Now, Out);
  return Out;
}

void ProbeScheduler::mergeSender(const HostRecord &Sender, TimePoint Now,
                                 Actions &Out) {
  if (Sender.Id_ == Own_.Id_ || isDetectorState(Sender.State_))
    return;
  merge({Sender, {}}, true, Now, Out);
  Table_.onContact(Sender.Id_, Now);
}

void ProbeScheduler::mergeUpdates(const std::vector<HostUpdate> &Received,
                                  TimePoint Now, Actions &Out) {
  for (const HostUpdate &Update : Received)
    merge(Update, true, Now, Out);
}

bool ProbeScheduler::merge(const HostUpdate &Update, bool Disseminate,
                           TimePoint Now, Actions &Out) {
  const HostRecord &Record = Update.Record_;
  if (Record.Id_ == Own_.Id_) {
    mergeOwn(Record, Now, Out);
    return false;
  }
  bool Suspicious = Record.State_ == HostState::Suspect;
  bool Own = Update.Accuser_ == Own_.Id_;
  ApplyResult Result = Table_.apply(Record, Now);
  if (!Result.changed()) {
    const HostEntry *Entry = Table_.find(Record.Id_);
    if (Suspicious && Entry && Entry->Record_ == Record &&
        Suspicions_.addAccuser(Record.Id_, Update.Accuser_, Own,
                               Health_.multiplier(), Now))
      Updates_.push(Update);
    return false;
  }
  Suspicions_.clear(Record.Id_);
  if (Suspicious)
    Suspicions_.addAccuser(Record.Id_, Update.Accuser_, Own,
                           Health_.multiplier(), Now);
  if (Disseminate)
    Updates_.push(Update);
  bool Entered = !Result.Previous_ || isTombstone(*Result.Previous_);
  if (Entered && !isTombstone(Record.State_))
    insertIntoRound(Record.Id_);
  Out.push_back(HostChanged{Record, Result.Previous_});
  return true;
}

void ProbeScheduler::mergeOwn(const HostRecord &Claim, TimePoint Now,
                              Actions &Out) {
  if (Claim.Incarnation_ > MaxIncarnation || !supersedes(Claim, Own_))
    return;
  if (isDetectorState(Claim.State_))
    Health_.onRefutation();
  raiseOwnRecordAbove(Claim.Incarnation_, Claim.Sequence_, Now, Out);
}

void ProbeScheduler::raiseOwnRecordAbove(std::uint64_t Incarnation,
                                         std::uint32_t Sequence, TimePoint Now,
                                         Actions &Out) {
  constexpr auto LastSequence = std::numeric_limits<std::uint32_t>::max();
  bool Raise = Incarnation > Own_.Incarnation_ || Sequence == LastSequence;
  if (Raise && Incarnation < MaxIncarnation) {
    Own_.Incarnation_ = Incarnation + 1;
    Own_.Sequence_ = 0;
  } else {
    Own_.Incarnation_ = Incarnation;
    Own_.Sequence_ = Sequence + 1;
  }
  publishOwn(Now, Out);
}

void ProbeScheduler::publishOwn(TimePoint Now, Actions &Out) {
  Table_.apply(Own_, Now);
  Updates_.push({Own_, {}});
  Out.push_back(OwnRecordChanged{Own_});
}

std::uint32_t ProbeScheduler::sendPing(const HostId &To, TimePoint Now,
                                       Actions &Out) {
  const HostEntry *Entry = Table_.find(To);
  return sendPing(To, Entry ? Entry->Record_ : HostRecord{}, Now, Out);
}

std::uint32_t ProbeScheduler::sendPing(const HostId &To,
                                       const HostRecord &Claim, TimePoint Now,
                                       Actions &Out) {
  Ping Message;
  Message.Sequence_ = NextSequence_++;
  Message.Sender_ = Own_;
  Message.Subject_ = To;
  Message.SubjectIncarnation_ = Claim.Incarnation_;
  Message.SubjectSequence_ = Claim.Sequence_;
  Message.SubjectState_ = Claim.State_;
  Message.Summary_ = summary(Now);
  addUpdates(To, Message);
  std::uint32_t Sequence = Message.Sequence_;
  Out.push_back(SendDatagram{To, std::move(Message)});
  return Sequence;
}

void ProbeScheduler::sendAck(const HostRecord &To, std::uint32_t Sequence,
                             const HostId &Subject, bool Reached, TimePoint Now,
                             Actions &Out) {
  Ack Message;
  Message.Sequence_ = Sequence;
  Message.Sender_ = Own_;
  Message.Subject_ = Subject;
  Message.Reached_ = Reached;
  Message.Summary_ = summary(Now);
  // Sends the stored record if it supersedes the sender's own. The host can
  // then refute it, and a host that restarted after its clock was set back can
  // raise its incarnation above the earlier one.
  const HostEntry *Known = Table_.find(To.Id_);
  if (Known && supersedes(Known->Record_, To))
    Message.Updates_.push_back({Known->Record_, {}});
  addUpdates(To.Id_, Message);
  Out.push_back(SendDatagram{To.Id_, std::move(Message)});
}

template <class Message>
void ProbeScheduler::addUpdates(const HostId &To, Message &Sent) {
  std::size_t Used = encodeMessage(Sent).size() + ListOverhead;
  std::size_t Room = Used < MaxDatagramBytes ? MaxDatagramBytes - Used : 0;
  std::size_t Count = MaxUpdates - Sent.Updates_.size();
  for (HostUpdate &Update : Updates_.take(Count, Room, Table_.liveCount(), To))
    Sent.Updates_.push_back(std::move(Update));
}

NodeSummary ProbeScheduler::summary(TimePoint Now) const {
  NodeSummary Summary = Summary_(Now);
  Summary.HostsDigest_ = Table_.digest();
  return Summary;
}

} // namespace marigold::membership
