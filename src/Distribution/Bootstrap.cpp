#include "Distribution/Bootstrap.h"

#include <algorithm>
#include <set>

namespace marigold::distribution {

Bootstrap::Bootstrap(VersionStore &Store, std::vector<HostId> Peers,
                     BootstrapOptions Options, Random Rng, TimePoint Now)
    : Store_(Store), Options_(Options), Rng_(Rng),
      Backoff_(Options.FirstBackoff_, Options.MaxBackoff_), Start_(Now),
      NextAsk_(Now), SourceAt_(Now + Rng_.upTo(Options.RestartSpread_)) {
  for (const HostId &Peer : Peers)
    Peers_[Peer].IsSeed_ = true;
}

void Bootstrap::addPeer(const HostId &Peer) { Peers_.try_emplace(Peer); }

BootstrapActions Bootstrap::tick(TimePoint Now) {
  BootstrapActions Out;
  if (Done_)
    return Out;
  askPeers(Now, Out);
  if (Pulling_ && Now >= PullDeadline_)
    onPulled(*Pulling_, false, Now);
  if (Pulling_ || !peersAsked(Now))
    return Out;
  if (std::optional<HostId> Peer = pullCandidate(Now)) {
    Pulling_ = Peer;
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
  planSource(Now, Out);
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
  if (Pulling_ != Peer)
    return;
  Pulling_.reset();
  Peers_[Peer].PullFailed_ = !Ok;
  NextAsk_ = std::min(NextAsk_, Now + Options_.AskInterval_);
}

void Bootstrap::onSourceText(const config::SnapshotPointer &Offered,
                             TimePoint Now) {
  SourceRunning_ = false;
  if (Offered) {
    FromSource_ = Offered;
    Backoff_.reset();
  } else {
    SourceAt_ = Now + Backoff_.next(Rng_);
  }
}

bool Bootstrap::peersAsked(TimePoint Now) const {
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
         (Answers >= Options_.Answers_ &&
          FailureDomains.size() >= Options_.FailureDomains_);
}

bool Bootstrap::isReachable(const PeerState &Peer, TimePoint Now) const {
  return Peer.AnsweredAt_ && Now - *Peer.AnsweredAt_ < Options_.Reachable_;
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
  // A random holder: all nodes that start at once would otherwise pull from
  // the same one.
  if (Holders.empty())
    return std::nullopt;
  return Holders[Rng_.below(Holders.size())];
}

bool Bootstrap::adoptFromSource(TimePoint Now) {
  if (!FromSource_ || FromSource_->version() < highestOfPeers(Now))
    return false;
  bool Adopted = bool(Store_.offerFromSource(FromSource_, Now));
  FromSource_.reset();
  if (!Adopted)
    SourceAt_ = Now + Backoff_.next(Rng_);
  return Adopted;
}

void Bootstrap::askPeers(TimePoint Now, BootstrapActions &Out) {
  if (Now < NextAsk_)
    return;
  NextAsk_ =
      Now + (Now - Start_ < Options_.Grace_ ? Options_.AskInterval_
                                            : Options_.LaterAskInterval_);
  // A peer whose pull failed is tried again in the next round.
  for (auto &[Id, State] : Peers_)
    State.PullFailed_ = false;
  for (const HostId &Peer : peersToAsk())
    Out.push_back(ProbePeer{Peer});
}

std::vector<HostId> Bootstrap::peersToAsk() {
  std::vector<HostId> Asked;
  std::vector<HostId> Others;
  const std::pair<const HostId, PeerState> *Best = nullptr;
  for (const auto &Peer : Peers_) {
    (Peer.second.IsSeed_ ? Asked : Others).push_back(Peer.first);
    if (!Best || Best->second.Version_ < Peer.second.Version_)
      Best = &Peer;
  }
  std::shuffle(Others.begin(), Others.end(), Rng_.engine());
  // The holder of the highest version is asked in each round, so that it
  // counts as reachable and no lower version is taken from the source.
  if (Best && !Best->second.IsSeed_)
    std::iter_swap(Others.begin(),
                   std::find(Others.begin(), Others.end(), Best->first));
  Others.resize(std::min(Others.size(), Options_.AskedBesidesSeeds_));
  Asked.insert(Asked.end(), Others.begin(), Others.end());
  return Asked;
}

void Bootstrap::planSource(TimePoint Now, BootstrapActions &Out) {
  // A peer has a version that could not be pulled yet.
  if (highestOfPeers(Now) != ConfigVersion{})
    return;
  if (SourceRunning_ || FromSource_ || Now < SourceAt_)
    return;
  SourceRunning_ = true;
  Out.push_back(ReadSource{});
}

} // namespace marigold::distribution
