#pragma once

#include "Ctl/NodeStatus.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marigold::ctl {

/// One query of a node's status.
struct StatusRequest {
  /// Admin address.
  Address Admin_;
  /// Whether the answer should list the other hosts.
  bool WithHosts_ = false;

  friend bool operator==(const StatusRequest &,
                         const StatusRequest &) = default;
};

/// What is known of one node.
struct NodeView {
  /// Admin address, the key of the view.
  Address Admin_;
  /// The node's record in other nodes' lists, if any.
  std::optional<HostEntry> Listed_;
  /// Last answer.
  std::optional<NodeStatus> Status_;
  /// Failure of the last query.
  std::optional<Failure> Failure_;

  /// True when the last query was answered.
  bool reached() const { return Status_ && !Failure_; }
};

/// Progress of one version over the fleet.
struct RolloutState {
  /// What wait has to do next.
  enum class Verdict : std::uint8_t {
    /// Some node does not have the version yet.
    Pending,
    /// The version, or a later one, is active on every node in scope.
    Done,
    /// A node refused the version, so that it will not become active there.
    Refused,
    /// Two nodes hold different content under the same version.
    Conflict
  };
  /// Decision.
  Verdict Verdict_ = Verdict::Pending;
  /// Nodes on which the version is active.
  std::size_t Active_ = 0;
  /// Nodes that answer with an older version.
  std::vector<const NodeView *> Lagging_;
  /// Nodes that do not answer.
  std::vector<const NodeView *> Unreachable_;
  /// Nodes that refused the version.
  std::vector<const NodeView *> Refusing_;
};

/// Content that differs under one version.
struct DigestConflict {
  /// Version.
  ConfigVersion Version_;
  /// Nodes by digest.
  std::map<std::string, std::vector<const NodeView *>> Nodes_;
};

/// Collects the answers of a fleet's nodes and decides which nodes to ask,
/// which count, which lag and whether a version is active everywhere. Holds
/// no socket or clock; the caller feeds answers. Pointers in its results are
/// valid until the next change.
class FleetView {
public:
  /// Starts with the admin addresses that the operator named.
  explicit FleetView(const std::vector<Address> &Seeds);

  /// Nodes to ask next. Seeds are asked for their host lists; when none of
  /// them answers, some other nodes are. With a wanted version, nodes on
  /// which it is known to be active are left out: no node ever reverts.
  std::vector<StatusRequest>
  nextRequests(std::optional<ConfigVersion> Wanted = std::nullopt) const;

  /// Records the answer or failure of one node.
  void record(const Address &Admin, Result<NodeStatus> Answer);

  /// Nodes in scope by admin address: those that answer, and those listed by
  /// at least one node as neither dead nor gone. A seed that no list contains
  /// is in scope.
  std::vector<const NodeView *> nodes() const;

  /// True when at least one node answered its last query.
  bool anyReached() const;

  /// Highest version in force on any node in scope; {0, 0} for none.
  ConfigVersion newestVersion() const;

  /// Progress of a version.
  RolloutState rollout(const ConfigVersion &Wanted) const;

  /// Versions under which nodes in scope hold or have held different content.
  std::vector<DigestConflict> conflicts() const;

private:
  bool inScope(const NodeView &Node) const;
  void mergeHostLists();

  std::set<Address> Seeds_;
  std::map<Address, NodeView> Nodes_;
  /// Last host list of each node that was asked for one.
  std::map<Address, std::vector<HostEntry>> HostLists_;
};

/// True when a node's last refusal concerns this version and is final,
/// because the text itself is wrong.
bool refuses(const NodeStatus &Status, const ConfigVersion &Version);

/// "ip:port" of a node: its peer address if known, else its admin address.
std::string nodeName(const NodeView &Node);

} // namespace marigold::ctl
