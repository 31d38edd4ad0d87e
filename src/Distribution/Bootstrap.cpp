#include "Distribution/Bootstrap.h"

#include <algorithm>
#include <set>

namespace marigold::distribution {

Bootstrap::Bootstrap(VersionStore &Store, std::vector<HostId> Peers,
                     BootstrapOptions Options, Random Rng, TimePoint Now)
    : Store_(Store), Options_(Options), Rng_(Rng),
      Backoff_(Options.FirstBackoff_, Options.MaxBackoff_), Start_(Now),
      NextProbeRound_(Now),
      NextSourceRead_(Now + Rng_.upTo(Options.RestartSpread_)) {
  for (const HostId &Peer : Peers)
    Peers_[Peer].IsSeed_ = true;
}

void Bootstrap::addPeer(const HostId &Peer) { Peers_.try_emplace(Peer); }

BootstrapActions Bootstrap::tick(TimePoint Now) {
  BootstrapActions Out;
  if (Done_)
    return Out;
  probePeers(Now, Out);
  if (PullPeer_ && Now >= PullDeadline_)
    onPulled(*PullPeer_, false, Now);
  if (PullPeer_ || !peersConsulted(Now))
    return Out;
  if (std::optional<HostId> Peer = pullCandidate(Now)) {
    PullPeer_ = Peer;
    PullDeadline_ = Now + Options_.PullTimeout_;
    Out.push_back(PullVersion{*Peer});
    return Out;
  }
  bool Adopted = adoptFromSource(Now);
  if (Store_.current() && Store_.version() >= highestOfPeers(Now)) {
    Done_ = true;
    bool SourceOnly =
        Adopted && std::all_of(Peers_.begin(), Peers_.end(), [](auto &Peer) {
          return Peer.second.Version_ == ConfigVersion{};
        });
    Out.push_back(BootstrapDone{SourceOnly});
    return Out;
  }
  readSourceIfDue(Now, Out);
  return Out;
}

void Bootstrap::onSummary(const HostId &Peer, std::string_view FailureDomain,
                          const NodeSummary &Summary, TimePoint Now) {
  PeerState &State = Peers_[Peer];
  State.AnsweredAt_ = Now;
  State.FailureDomain_ = FailureDomain;
  State.Version_ = Summary.Version_;
}

void Bootstrap::onPulled(const HostId &Peer, bool Ok, TimePoint Now) {
  if (PullPeer_ != Peer)
    return;
  PullPeer_.reset();
  Peers_[Peer].PullFailed_ = !Ok;
  NextProbeRound_ = std::min(NextProbeRound_, Now + Options_.ProbeInterval_);
}

void Bootstrap::onSourceText(const config::SnapshotPointer &Offered,
                             TimePoint Now) {
  SourceReadRunning_ = false;
  if (Offered) {
    SourceSnapshot_ = Offered;
    Backoff_.reset();
  } else {
    NextSourceRead_ = Now + Backoff_.next(Rng_);
  }
}

bool Bootstrap::peersConsulted(TimePoint Now) const {
  return enoughAnswers() || Now - Start_ >= Options_.Grace_;
}

bool Bootstrap::enoughAnswers() const {
  std::size_t Answers = 0;
  std::set<std::string> FailureDomains;
  for (const auto &[Id, State] : Peers_) {
    if (!State.AnsweredAt_)
      continue;
    ++Answers;
    FailureDomains.insert(State.FailureDomain_);
  }
  return Answers == Peers_.size() ||
         (Answers >= Options_.MinAnswers_ &&
          FailureDomains.size() >= Options_.MinFailureDomains_);
}

bool Bootstrap::isReachable(const PeerState &Peer, TimePoint Now) const {
  return Peer.AnsweredAt_ &&
         Now - *Peer.AnsweredAt_ < Options_.ReachabilityTimeout_;
}

ConfigVersion Bootstrap::highestOfPeers(TimePoint Now) const {
  ConfigVersion Highest;
  for (const auto &[Id, State] : Peers_)
    if (isReachable(State, Now))
      Highest = std::max(Highest, State.Version_);
  return Highest;
}

std::optional<HostId> Bootstrap::pullCandidate(TimePoint Now) {
  std::vector<HostId> Holders;
  ConfigVersion Highest = Store_.version();
  for (const auto &[Id, State] : Peers_) {
    if (!isReachable(State, Now) || State.PullFailed_ ||
        State.Version_ <= Store_.version() || State.Version_ < Highest)
      continue;
    if (Highest < State.Version_)
      Holders.clear();
    Highest = State.Version_;
    Holders.push_back(Id);
  }
  // The peer is chosen at random, so that nodes starting at the same time do
  // not all pull from the same one.
  if (Holders.empty())
    return std::nullopt;
  return Holders[Rng_.below(Holders.size())];
}

bool Bootstrap::adoptFromSource(TimePoint Now) {
  if (!SourceSnapshot_ || SourceSnapshot_->version() < highestOfPeers(Now))
    return false;
  bool Adopted = bool(Store_.offerFromSource(SourceSnapshot_, Now));
  SourceSnapshot_.reset();
  if (!Adopted)
    NextSourceRead_ = Now + Backoff_.next(Rng_);
  return Adopted;
}

void Bootstrap::probePeers(TimePoint Now, BootstrapActions &Out) {
  if (Now < NextProbeRound_)
    return;
  NextProbeRound_ =
      Now + (Now - Start_ < Options_.Grace_ ? Options_.ProbeInterval_
                                            : Options_.LaterProbeInterval_);
  // Peers whose pull failed are tried again in the next round.
  for (auto &[Id, State] : Peers_)
    State.PullFailed_ = false;
  for (const HostId &Peer : peersToProbe())
    Out.push_back(ProbePeer{Peer});
}

std::vector<HostId> Bootstrap::peersToProbe() {
  std::vector<HostId> Probed;
  std::vector<HostId> Others;
  const std::pair<const HostId, PeerState> *Best = nullptr;
  for (const auto &Peer : Peers_) {
    (Peer.second.IsSeed_ ? Probed : Others).push_back(Peer.first);
    if (!Best || Best->second.Version_ < Peer.second.Version_)
      Best = &Peer;
  }
  std::shuffle(Others.begin(), Others.end(), Rng_.engine());
  // The peer with the highest version is probed in each round, so that it
  // counts as reachable and no lower version is adopted from the source.
  if (Best && !Best->second.IsSeed_)
    std::iter_swap(Others.begin(),
                   std::find(Others.begin(), Others.end(), Best->first));
  Others.resize(std::min(Others.size(), Options_.ExtraPeersPerRound_));
  Probed.insert(Probed.end(), Others.begin(), Others.end());
  return Probed;
}

void Bootstrap::readSourceIfDue(TimePoint Now, BootstrapActions &Out) {
  // A reachable peer has a version that could not be pulled yet.
  if (highestOfPeers(Now) != ConfigVersion{})
    return;
  if (SourceReadRunning_ || SourceSnapshot_ || Now < NextSourceRead_)
    return;
  SourceReadRunning_ = true;
  Out.push_back(ReadSource{});
}

} // namespace marigold::distribution
