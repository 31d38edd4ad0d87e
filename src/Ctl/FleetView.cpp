#include "Ctl/FleetView.h"
#include "Ctl/ErrorNames.h"
#include "Support/Addresses.h"

#include <algorithm>

namespace marigold::ctl {
namespace {

/// Maximum number of other nodes that are queried for host lists when no seed
/// answers.
constexpr std::size_t MaxSubstituteSeeds = 3;

bool isLive(HostState State) {
  return State != HostState::Dead && State != HostState::Gone;
}

/// Range of the error numbers for invalid configuration text in
/// schema/errors.yaml.
constexpr int FirstTextError = 200;
constexpr int LastTextError = 299;

/// True for errors in the configuration text itself, for which every node
/// refuses it. Other errors, such as a digest mismatch, may be transient.
bool isTextError(std::string_view Reason) {
  auto Code = errorFromText(Reason);
  return Code && static_cast<int>(*Code) >= FirstTextError &&
         static_cast<int>(*Code) <= LastTextError;
}

/// True if Left is preferred over Right. The entries carry no sequence number,
/// so for equal incarnations the state closer to alive wins: wait must not
/// skip a node that may still serve requests.
bool supersedes(const HostEntry &Left, const HostEntry &Right) {
  if (Left.Incarnation_ != Right.Incarnation_)
    return Left.Incarnation_ > Right.Incarnation_;
  return Left.State_ < Right.State_;
}

} // namespace

FleetView::FleetView(const std::vector<Address> &Seeds)
    : Seeds_(Seeds.begin(), Seeds.end()) {
  for (const Address &Seed : Seeds_)
    Nodes_[Seed].Admin_ = Seed;
}

std::vector<StatusRequest>
FleetView::nextRequests(std::optional<ConfigVersion> Wanted) const {
  bool SeedReached = std::ranges::any_of(
      Seeds_, [&](const Address &Seed) { return Nodes_.at(Seed).reached(); });
  std::size_t Substitutes = SeedReached ? 0 : MaxSubstituteSeeds;
  std::vector<StatusRequest> Requests;
  for (const auto &[Admin, Node] : Nodes_) {
    if (Seeds_.contains(Admin)) {
      Requests.push_back({Admin, true});
      continue;
    }
    if (!inScope(Node))
      continue;
    if (Substitutes > 0 && Node.reached()) {
      --Substitutes;
      Requests.push_back({Admin, true});
      continue;
    }
    if (Wanted && Node.reached() && Node.Status_->Version_ >= *Wanted)
      continue;
    Requests.push_back({Admin, false});
  }
  return Requests;
}

void FleetView::record(const Address &Admin, Result<NodeStatus> Answer) {
  NodeView &Node = Nodes_[Admin];
  Node.Admin_ = Admin;
  if (!Answer) {
    Node.Failure_ = Answer.error();
    return;
  }
  Node.Failure_.reset();
  Node.Status_ = std::move(Answer.value());
  if (!Node.Status_->Hosts_)
    return;
  HostLists_[Admin] = std::move(*Node.Status_->Hosts_);
  Node.Status_->Hosts_.reset();
  mergeHostLists();
}

void FleetView::mergeHostLists() {
  std::map<HostId, const HostEntry *> Preferred;
  for (const auto &[Reporter, List] : HostLists_)
    for (const HostEntry &Entry : List) {
      const HostEntry *&Known = Preferred[Entry.Host_];
      if (Known == nullptr || supersedes(Entry, *Known))
        Known = &Entry;
    }
  for (auto &[Admin, Node] : Nodes_)
    Node.Listed_.reset();
  for (const auto &[Host, Entry] : Preferred) {
    NodeView &Node = Nodes_[Entry->Admin_];
    Node.Admin_ = Entry->Admin_;
    // Two hosts with the same admin address: the address was reused by a newer
    // host.
    if (!Node.Listed_ || Node.Listed_->Incarnation_ < Entry->Incarnation_)
      Node.Listed_ = *Entry;
  }
}

bool FleetView::inScope(const NodeView &Node) const {
  if (Node.reached())
    return true;
  if (Node.Listed_)
    return isLive(Node.Listed_->State_);
  return Seeds_.contains(Node.Admin_);
}

std::vector<const NodeView *> FleetView::nodes() const {
  std::vector<const NodeView *> Scope;
  for (const auto &[Admin, Node] : Nodes_)
    if (inScope(Node))
      Scope.push_back(&Node);
  return Scope;
}

bool FleetView::anyReached() const {
  return std::ranges::any_of(
      Nodes_, [](const auto &Pair) { return Pair.second.reached(); });
}

ConfigVersion FleetView::newestVersion() const {
  ConfigVersion Newest;
  for (const NodeView *Node : nodes())
    if (Node->Status_)
      Newest = std::max(Newest, Node->Status_->Version_);
  return Newest;
}

RolloutState FleetView::rollout(const ConfigVersion &Wanted) const {
  RolloutState State;
  for (const NodeView *Node : nodes()) {
    if (!Node->reached())
      State.Unreachable_.push_back(Node);
    else if (Node->Status_->Version_ >= Wanted)
      ++State.Active_;
    else if (refuses(*Node->Status_, Wanted))
      State.Refusing_.push_back(Node);
    else
      State.Lagging_.push_back(Node);
  }
  // A conflict under an earlier version does not affect this rollout.
  bool Conflict = std::ranges::any_of(
      conflicts(), [&](const auto &Found) { return Found.Version_ >= Wanted; });
  if (Conflict)
    State.Verdict_ = RolloutState::Verdict::Conflict;
  else if (!State.Refusing_.empty())
    State.Verdict_ = RolloutState::Verdict::Refused;
  else if (State.Active_ > 0 && State.Lagging_.empty() &&
           State.Unreachable_.empty())
    State.Verdict_ = RolloutState::Verdict::Done;
  return State;
}

std::vector<DigestConflict> FleetView::conflicts() const {
  std::map<ConfigVersion, DigestConflict> Versions;
  for (const NodeView *Node : nodes()) {
    if (!Node->Status_)
      continue;
    std::set<std::pair<ConfigVersion, std::string>> Held;
    for (const VersionDigest &Entry : Node->Status_->History_)
      Held.emplace(Entry.Version_, Entry.Digest_);
    if (Node->Status_->Version_ != ConfigVersion{})
      Held.emplace(Node->Status_->Version_, Node->Status_->Digest_);
    for (const auto &[Version, Digest] : Held) {
      Versions[Version].Version_ = Version;
      Versions[Version].Nodes_[Digest].push_back(Node);
    }
  }
  std::vector<DigestConflict> Found;
  for (auto &[Version, Entry] : Versions)
    if (Entry.Nodes_.size() > 1)
      Found.push_back(std::move(Entry));
  return Found;
}

bool refuses(const NodeStatus &Status, const ConfigVersion &Version) {
  if (!Status.Refused_ || !isTextError(Status.Refused_->Reason_))
    return false;
  // The epoch is 0 if the refused text could not be parsed.
  const ConfigVersion &Refused = Status.Refused_->Version_;
  return Refused.Revision_ == Version.Revision_ &&
         (Refused.Epoch_ == Version.Epoch_ || Refused.Epoch_ == 0);
}

std::string nodeName(const NodeView &Node) {
  if (Node.Status_)
    return toText(Node.Status_->Host_);
  if (Node.Listed_)
    return toText(Node.Listed_->Host_);
  return toText(Node.Admin_);
}

} // namespace marigold::ctl
