#pragma once

#include "Ctl/NodeStatus.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marigold::ctl {

/// A status query to one node.
struct StatusRequest {
  /// Admin address of the node.
  Address Admin_;
  /// Requests the node's list of other hosts.
  bool WithHosts_ = false;

  friend bool operator==(const StatusRequest &,
                         const StatusRequest &) = default;
};

/// Known state of one node.
struct NodeView {
  /// Admin address, which identifies the node in FleetView.
  Address Admin_;
  /// Preferred entry for this node among the host lists of other nodes, if any.
  std::optional<HostEntry> Listed_;
  /// Last status received.
  std::optional<NodeStatus> Status_;
  /// Error of the last query; nothing if it succeeded.
  std::optional<Failure> Failure_;

  /// True if the last query succeeded.
  bool reached() const { return Status_ && !Failure_; }
};

/// Progress of the rollout of one version.
struct RolloutState {
  /// State of the rollout as a whole.
  enum class Verdict : std::uint8_t {
    /// The version is still missing on some node, some node does not answer, or
    /// no node is known to have the version.
    Pending,
    /// The version, or a later one, is active on every node in scope.
    Done,
    /// A node refused the version because of its content, so the version will
    /// never become active there.
    Refused,
    /// Nodes hold different content under this version or a later one.
    Conflict
  };
  /// Overall state.
  Verdict Verdict_ = Verdict::Pending;
  /// Number of nodes on which the version or a later one is active.
  std::size_t Active_ = 0;
  /// Nodes that answer with an older version and did not refuse this one.
  std::vector<const NodeView *> Lagging_;
  /// Nodes that do not answer.
  std::vector<const NodeView *> Unreachable_;
  /// Nodes that refused the version.
  std::vector<const NodeView *> Refusing_;
};

/// A version under which nodes hold different content.
struct DigestConflict {
  ConfigVersion Version_;
  /// Nodes by digest of their content.
  std::map<std::string, std::vector<const NodeView *>> Nodes_;
};

/// Collects status answers of a fleet. Decides which nodes to query next,
/// which nodes are in scope, which lag behind, and whether a version is active
/// on all of them. Does no I/O and reads no clock; the caller passes answers
/// to record(). Pointers in results are invalidated by the next change.
class FleetView {
public:
  /// Creates a view with the admin addresses given by the operator as seeds.
  explicit FleetView(const std::vector<Address> &Seeds);

  /// Returns the queries of the next round. Seeds are queried for their host
  /// lists; if no seed answers, up to three other reachable nodes are queried
  /// for theirs. If Wanted is given, other nodes on which it is known to be
  /// active are skipped, since a node never reverts to an earlier version.
  std::vector<StatusRequest>
  nextRequests(std::optional<ConfigVersion> Wanted = std::nullopt) const;

  /// Records the status of one node, or the error of its query.
  void record(const Address &Admin, Result<NodeStatus> Answer);

  /// Returns the nodes in scope, ordered by admin address. A node is in scope
  /// if it answered its last query, if its preferred host list entry is neither
  /// dead nor gone, or if it is a seed that no host list contains.
  std::vector<const NodeView *> nodes() const;

  /// True if at least one node answered its last query.
  bool anyReached() const;

  /// Highest active version on any node in scope; {0, 0} if there is none.
  ConfigVersion newestVersion() const;

  /// Returns the progress of the rollout of a version.
  RolloutState rollout(const ConfigVersion &Wanted) const;

  /// Returns the versions under which nodes in scope hold, or held according
  /// to their history, different content.
  std::vector<DigestConflict> conflicts() const;

private:
  bool inScope(const NodeView &Node) const;
  void mergeHostLists();

  std::set<Address> Seeds_;
  std::map<Address, NodeView> Nodes_;
  /// Last host list received from each node.
  std::map<Address, std::vector<HostEntry>> HostLists_;
};

/// True if the node's last refusal concerns this version and is permanent
/// because the configuration text itself is invalid.
bool refuses(const NodeStatus &Status, const ConfigVersion &Version);

/// Name of a node as "ip:port": its peer address if known, otherwise its admin
/// address.
std::string nodeName(const NodeView &Node);

} // namespace marigold::ctl
