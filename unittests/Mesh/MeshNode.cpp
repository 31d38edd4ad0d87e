#include "Mesh/MeshNode.h"

#include "Support/Archive.h"

namespace marigold::testing {

using namespace std::chrono_literals;

namespace {

constexpr Duration ExchangeInterval = 5s;

distribution::SourceReaderOptions readerOptions(distribution::SourceMode Mode) {
  distribution::SourceReaderOptions Options;
  Options.Mode_ = Mode;
  return Options;
}

membership::ProbeOptions probeOptions(const std::vector<HostId> &Seeds) {
  membership::ProbeOptions Options;
  Options.Seeds_ = Seeds;
  return Options;
}

} // namespace

MeshNode::MeshNode(HostRecord Own, std::vector<HostId> Seeds,
                   distribution::SourceMode Mode, MeshNodeHooks Hooks,
                   std::uint64_t Seed, TimePoint Now)
    : Probes_(
          Table_, Own, probeOptions(Seeds),
          [this](TimePoint At) { return summary(At); }, Random(Seed), Now),
      Pause_(3s, 1s, Now),
      Source_(Table_, Store_, Confirmation_, Own.Id_, Own.FailureDomain_,
              readerOptions(Mode), Random(Seed + 1), Now),
      Bootstrap_(Store_, std::move(Seeds), {}, Random(Seed + 2), Now),
      Spread_(distribution::SpreadProfile::Fast, Own.Id_, Own.FailureDomain_,
              Random(Seed + 3)),
      Pulls_(Store_, Random(Seed + 4)), Hooks_(std::move(Hooks)),
      Rng_(Seed + 5), NextExchange_(Now + 1s) {
  applyActions(Probes_.setOwnState(HostState::Ready, Now));
}

void MeshNode::tick(TimePoint Now) {
  Pause_.tick(Now);
  applyActions(Probes_.tick(Now));
  for (const distribution::BootstrapAction &Action : Bootstrap_.tick(Now)) {
    if (auto *Ask = std::get_if<distribution::ProbePeer>(&Action))
      applyActions(Probes_.probeAddress(Ask->Peer_, Now));
    if (auto *Wanted = std::get_if<distribution::PullVersion>(&Action))
      Hooks_.SendSync_(Wanted->Peer_, Store_.request());
    if (std::holds_alternative<distribution::ReadSource>(Action))
      Hooks_.CallSource_(distribution::FetchText{});
    if (auto *Done = std::get_if<distribution::BootstrapDone>(&Action)) {
      SourceOnly_ = Done->SourceOnly_;
      advertise(std::nullopt, Now);
    }
  }
  if (Bootstrap_.isDone()) {
    for (const distribution::SourceAction &Action : Source_.tick(Now))
      Hooks_.CallSource_(Action);
    if (std::optional<distribution::Pull> Pull = Pulls_.tick(Now))
      Hooks_.SendSync_(Pull->Peer_, Pull->Request_);
  }
  std::vector<HostId> Peers = Table_.liveHosts();
  if (Now < NextExchange_ || Peers.size() < 2)
    return;
  NextExchange_ = Now + ExchangeInterval;
  HostId Peer = Peers[Rng_.below(Peers.size())];
  SyncRequest Request = Store_.request();
  membership::addBucketDigests(Table_, Request);
  if (Peer != Probes_.ownRecord().Id_)
    Hooks_.SendSync_(Peer, Request);
}

template <class Message>
void MeshNode::onMessage(std::string_view Body, TimePoint Now) {
  Result<Message> Decoded = decodeBody<Message>(Body);
  if (!Decoded)
    return;
  const Message &Received = Decoded.value();
  if constexpr (std::is_same_v<Message, Advert>) {
    const membership::HostEntry *Entry = Table_.find(Received.Sender_);
    onSummary(Received.Sender_, Entry ? Entry->Record_.FailureDomain_ : "",
              Received.Summary_, Now);
  } else if constexpr (std::is_same_v<Message, PingRequest>) {
    applyActions(Probes_.onPingRequest(Received, Now));
  } else {
    onSummary(Received.Sender_.Id_, Received.Sender_.FailureDomain_,
              Received.Summary_, Now);
    if constexpr (std::is_same_v<Message, Ping>)
      applyActions(Probes_.onPing(Received, Now));
    else
      applyActions(Probes_.onAck(Received, Now));
  }
}

void MeshNode::onDatagram(std::string_view Bytes, TimePoint Now) {
  if (Bytes.empty())
    return;
  std::string_view Body = Bytes.substr(1);
  switch (static_cast<MessageType>(Bytes[0])) {
  case MessageType::Ping:
    return onMessage<Ping>(Body, Now);
  case MessageType::Ack:
    return onMessage<Ack>(Body, Now);
  case MessageType::PingRequest:
    return onMessage<PingRequest>(Body, Now);
  case MessageType::Advert:
    return onMessage<Advert>(Body, Now);
  case MessageType::HostStateNotice:
    if (auto Notice = decodeBody<HostStateNotice>(Body))
      applyActions(Probes_.onNotice(Notice.value(), Now));
    return;
  default:
    return;
  }
}

SyncReply MeshNode::onSyncRequest(const SyncRequest &Request) {
  SyncReply Reply = Store_.answer(Request);
  membership::addDifferingRecords(Table_, Request, Reply);
  return Reply;
}

void MeshNode::onSyncReply(const HostId &Peer, const SyncRequest &Request,
                           const Result<SyncReply> &Reply, TimePoint Now) {
  Result<void> Outcome = success();
  if (!Reply)
    Outcome = Reply.error();
  else
    Outcome = Store_.offerReply(Reply.value(), Now);
  if (Outcome)
    advertise(Peer, Now);
  // The reply belongs to a pull of either Bootstrap_ or Pulls_. The one that
  // did not request it ignores it.
  Bootstrap_.onPulled(Peer, bool(Outcome), Now);
  Pulls_.onPulled(Peer, Outcome, Now);
  if (!Reply || Request.Buckets_.empty())
    return;
  for (HostExchange &Message :
       membership::makeHostExchanges(Table_, Reply.value()))
    Hooks_.SendExchange_(Peer, std::move(Message));
  applyActions(Probes_.onExchange(Reply.value().Hosts_, Now));
}

void MeshNode::onExchange(const HostExchange &Message, TimePoint Now) {
  applyActions(Probes_.onExchange(Message.Hosts_, Now));
}

void MeshNode::onKeys(std::uint64_t Index, TimePoint Now) {
  Source_.onKeys(Index, Now);
}

void MeshNode::onText(std::uint64_t Index, const config::SnapshotPointer &Text,
                      TimePoint Now) {
  if (!Text)
    Store_.refuse(
        {{0, Index}, static_cast<std::uint16_t>(ErrorCode::TextSyntax)}, Now);
  if (!Bootstrap_.isDone()) {
    Bootstrap_.onSourceText(Text, Now);
    return;
  }
  if (Text)
    (void)Store_.offerFromSource(Text, Now);
  Source_.onText(Index, Now);
  advertise(std::nullopt, Now);
}

void MeshNode::onSourceFailure(distribution::SourceCall Call, TimePoint Now) {
  if (!Bootstrap_.isDone())
    Bootstrap_.onSourceText(nullptr, Now);
  else
    Source_.onFailure(Call, Now);
}

void MeshNode::stop(TimePoint Now) {
  applyActions(Probes_.setOwnState(HostState::Gone, Now));
}

void MeshNode::applyActions(const membership::Actions &Actions) {
  for (const membership::Action &Action : Actions) {
    if (auto *Send = std::get_if<membership::SendDatagram>(&Action))
      std::visit(
          [&](const auto &Message) {
            Hooks_.SendDatagram_(Send->To_, encodeMessage(Message));
          },
          Send->Message_);
    if (auto *Death = std::get_if<membership::DeathDeclared>(&Action))
      Hooks_.DeathDeclared_(Death->Record_);
  }
}

void MeshNode::onSummary(const HostId &Peer, std::string_view FailureDomain,
                         const NodeSummary &Summary, TimePoint Now) {
  Confirmation_.mergeAge(Summary.SourceAge_, Now);
  if (Store_.mergeRefusal(Summary.Refused_, Now))
    advertise(Peer, Now);
  if (Bootstrap_.isDone())
    Pulls_.onSummary(Peer, Summary, Now);
  else
    Bootstrap_.onSummary(Peer, FailureDomain, Summary, Now);
}

void MeshNode::advertise(const std::optional<HostId> &From, TimePoint Now) {
  NodeSummary Summary = summary(Now);
  for (const HostId &To : Spread_.receivers(Summary, Table_, From))
    Hooks_.SendDatagram_(
        To, encodeMessage(Advert{Probes_.ownRecord().Id_, Summary}));
}

NodeSummary MeshNode::summary(TimePoint Now) const {
  NodeSummary Summary;
  Store_.fillSummary(Summary);
  Summary.SourceAge_ = Confirmation_.age(Now);
  return Summary;
}

} // namespace marigold::testing
