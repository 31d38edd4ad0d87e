#pragma once

#include "Distribution/Bootstrap.h"
#include "Distribution/PullPlanner.h"
#include "Distribution/SourceReader.h"
#include "Distribution/SpreadPolicy.h"
#include "Membership/PauseDetector.h"
#include "Membership/ProbeScheduler.h"
#include "Membership/TableExchange.h"

#include <functional>

namespace marigold::testing {

/// Callbacks through which a MeshNode sends messages and reports events to
/// InMemoryMesh.
struct MeshNodeHooks {
  std::function<void(const HostId &, std::string)> SendDatagram_;
  std::function<void(const HostId &, const SyncRequest &)> SendSync_;
  std::function<void(const HostId &, HostExchange)> SendExchange_;
  std::function<void(const distribution::SourceAction &)> CallSource_;
  std::function<void(const HostRecord &)> DeathDeclared_;
};

/// The membership and distribution state machines of one node, connected as in
/// a real node. Exchanges datagrams in their encoded form.
class MeshNode {
public:
  MeshNode(HostRecord Own, std::vector<HostId> Seeds,
           distribution::SourceMode Mode, MeshNodeHooks Hooks,
           std::uint64_t Seed, TimePoint Now);

  void tick(TimePoint Now);
  void onDatagram(std::string_view Bytes, TimePoint Now);
  SyncReply onSyncRequest(const SyncRequest &Request);
  void onSyncReply(const HostId &Peer, const SyncRequest &Request,
                   const Result<SyncReply> &Reply, TimePoint Now);
  void onExchange(const HostExchange &Message, TimePoint Now);
  void onKeys(std::uint64_t Index, TimePoint Now);
  void onText(std::uint64_t Index, const config::SnapshotPointer &Text,
              TimePoint Now);
  void onSourceFailure(distribution::SourceCall Call, TimePoint Now);
  void stop(TimePoint Now);

  membership::HostTable Table_;
  distribution::VersionStore Store_;
  distribution::SourceConfirmation Confirmation_;
  membership::ProbeScheduler Probes_;
  membership::PauseDetector Pause_;
  distribution::SourceReader Source_;
  distribution::Bootstrap Bootstrap_;
  distribution::SpreadPolicy Spread_;
  distribution::PullPlanner Pulls_;
  bool SourceOnly_ = false;

private:
  template <class Message> void onMessage(std::string_view Body, TimePoint Now);
  void applyActions(const membership::Actions &Actions);
  void onSummary(const HostId &Peer, std::string_view FailureDomain,
                 const NodeSummary &Summary, TimePoint Now);
  void advertise(const std::optional<HostId> &From, TimePoint Now);
  NodeSummary summary(TimePoint Now) const;

  MeshNodeHooks Hooks_;
  Random Rng_;
  TimePoint NextExchange_;
};

} // namespace marigold::testing
