#pragma once

#include "Distribution/Bootstrap.h"
#include "Distribution/PullPlanner.h"
#include "Distribution/SourceReader.h"
#include "Distribution/SpreadPolicy.h"
#include "Membership/HostListMerger.h"
#include "Membership/HostNotices.h"
#include "Membership/PauseDetector.h"
#include "Membership/ProbeScheduler.h"
#include "Membership/TableExchange.h"
#include "Membership/TargetDirectory.h"
#include "Node/ControlEffects.h"
#include "Node/OwnTarget.h"
#include "Schema/generated/Settings.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace marigold::node {

/// Answer of the source to a fetch of the text.
struct SourceText {
  /// X-Consul-Index.
  std::uint64_t Index_ = 0;
  /// The snapshot of a valid text, or null.
  config::SnapshotPointer Snapshot_;
  /// Why there is no snapshot.
  std::optional<Failure> Refused_;
  /// The source has no text.
  bool Missing_ = false;
};

/// State of the source as a node knows it from its peers.
struct KnownSourceState {
  /// Revision up to which every change is known.
  std::uint64_t Revision_ = 0;
  /// Revision of the configuration in force.
  std::uint64_t ConfigRevision_ = 0;
  /// The list of targets.
  std::vector<membership::ListedTarget> Targets_;
};

/// The decisions of the control plane of one node: membership, distribution
/// of versions and reads of the source, joined. Holds no socket, clock or
/// lock; each entry point takes the present time and adds to the effects.
class ControlCore {
public:
  /// Own is the record of this node at its start.
  ControlCore(const NodeSettings &Settings, const HostRecord &Own,
              std::uint64_t Seed, TimePoint Now);

  /// Everything that is due. To be called about every 50 ms.
  void tick(TimePoint Now, ControlEffects &Out);

  /// The host was suspended for Length, which the monotonic clock does not
  /// count: what is known is older than it seems.
  void onSuspended(Duration Length, TimePoint Now, ControlEffects &Out);

  /// A datagram arrived. Fails with MessageMalformed or MessageUnexpected;
  /// nothing changed then.
  Result<void> onDatagram(std::string_view Data, TimePoint Now,
                          ControlEffects &Out);

  /// Answer to a peer that asks for a version or compares host tables.
  SyncReply answer(const SyncRequest &Request, TimePoint Now) const;

  /// A peer answered an OutgoingSync. The host records to send back to it are
  /// the result.
  std::vector<HostExchange> onSyncReply(const HostId &Peer,
                                        const SyncReply &Reply, TimePoint Now,
                                        ControlEffects &Out);

  /// An OutgoingSync could not be sent or its connection was lost.
  void onSyncFailed(const HostId &Peer, const Failure &Why, TimePoint Now,
                    ControlEffects &Out);

  /// A peer sent its records of differing buckets.
  void onHostExchange(const HostExchange &Exchange, TimePoint Now,
                      ControlEffects &Out);

  /// A record of a peer from a Hello frame.
  void onHello(const HostRecord &Sender, TimePoint Now, ControlEffects &Out);

  /// A notice over TCP.
  void onNotice(const HostStateNotice &Notice, TimePoint Now,
                ControlEffects &Out);

  /// The watch of key names was answered.
  void onSourceKeys(std::uint64_t Index, TimePoint Now, ControlEffects &Out);

  /// The text was fetched.
  void onSourceText(const SourceText &Text, TimePoint Now, ControlEffects &Out);

  /// The host list was read.
  void onSourceHosts(const membership::HostList &List, TimePoint Now,
                     ControlEffects &Out);

  /// The source answered at this time, or showed that it would.
  void onSourceContact(TimePoint At, TimePoint Now);

  /// State of the source as it is known from peers and from own reads.
  KnownSourceState knownSourceState() const;

  /// A call to the source failed.
  void onSourceFailure(distribution::SourceCall Call, TimePoint Now,
                       ControlEffects &Out);

  /// The own target's state changed.
  void setOwnState(HostState State, TimePoint Now, ControlEffects &Out);

  /// Probes a peer to which a connection failed. At most one a 50 ms, because
  /// a lost host fails many calls at once.
  void reportHostFailure(const HostId &Peer, TimePoint Now,
                         ControlEffects &Out);

  /// Datagrams that tell the other nodes of the own service of a crash.
  void sendCrashNotice(const CrashNotice &Notice, ControlEffects &Out) const;

  /// Hosts of a service in the states that count for the choice of targets.
  /// With a list of targets, the list decides which there are and which are
  /// leaving, and the host table which of their nodes are reachable.
  std::vector<HostRecord> targetsOf(std::string_view Service) const;

  /// The target beside this node.
  const OwnTarget &ownTarget() const { return OwnTarget_; }

  /// The settings name another service for the target beside this node.
  void setOwnService(std::string Service, ControlEffects &Out);

  /// The platform's list of targets.
  const membership::TargetDirectory &directory() const { return Directory_; }

  /// Whether this node has the role of a reader of the source.
  bool isReader(TimePoint Now) const { return Reader_.isReader(Now); }

  /// Whether a whole version is held and the start is complete.
  bool isBootstrapped() const { return Bootstrap_.isDone(); }

  /// Whether the view may be used; false after a pause until one exchange.
  bool isTrusted(TimePoint Now) const { return Pause_.isTrusted(Now); }

  /// Whether no peer held a version at the start.
  bool startedFromSourceOnly() const { return SourceOnly_; }

  /// Rises with each change of a host record.
  std::uint64_t hostsGeneration() const { return HostsGeneration_; }

  /// Own record.
  const HostRecord &ownRecord() const { return Probes_.ownRecord(); }

  /// Host table.
  const membership::HostTable &hosts() const { return Table_; }

  /// Version store.
  const distribution::VersionStore &versions() const { return Store_; }

  /// Age of the last confirmation by the source.
  std::chrono::milliseconds sourceAge(TimePoint Now) const {
    return Confirmation_.age(Now);
  }

  /// CrashNotice that arrived since the last call.
  std::vector<CrashNotice> takeCrashNotices();

private:
  /// Why a SyncRequest is under way to a peer.
  enum class SyncPurpose : std::uint8_t { Bootstrap, Pull, Hosts };
  struct PendingSync {
    SyncPurpose Purpose_;
    TimePoint SentAt_;
  };
  /// Row of the table of datagram handlers.
  struct DatagramHandler {
    MessageType Type_;
    Result<void> (ControlCore::*Receive_)(std::string_view Body, TimePoint Now,
                                          ControlEffects &Out);
  };
  static const std::vector<DatagramHandler> &datagramHandlers();

  template <class Message>
  Result<void> receive(std::string_view Body, TimePoint Now,
                       ControlEffects &Out);
  void handle(const Ping &Message, TimePoint Now, ControlEffects &Out);
  void handle(const Ack &Message, TimePoint Now, ControlEffects &Out);
  void handle(const PingRequest &Message, TimePoint Now, ControlEffects &Out);
  void handle(const Advert &Message, TimePoint Now, ControlEffects &Out);
  void handle(const HostStateNotice &Message, TimePoint Now,
              ControlEffects &Out);
  void handle(const CrashNotice &Message, TimePoint Now, ControlEffects &Out);

  void apply(membership::Actions Actions, TimePoint Now, ControlEffects &Out);
  void apply(const membership::SendDatagram &Action, TimePoint Now,
             ControlEffects &Out);
  void apply(const membership::HostChanged &Action, TimePoint Now,
             ControlEffects &Out);
  void apply(const membership::SuspicionRaised &Action, TimePoint Now,
             ControlEffects &Out);
  void apply(const membership::DeathDeclared &Action, TimePoint Now,
             ControlEffects &Out);
  void apply(const membership::OwnRecordChanged &Action, TimePoint Now,
             ControlEffects &Out);

  // The list of targets (ControlTargets.cpp).
  void updateOwnTarget(ControlEffects &Out);
  void onTargetsChanged(ControlEffects &Out);
  /// Takes over what a peer's answer says of the list.
  void mergeTargets(const HostId &Peer, const SyncReply &Reply, TimePoint Now,
                    ControlEffects &Out);
  /// Revision of the source up to which both list and configuration are known;
  /// 0 while one of them is behind, or the list holds what may have lapsed.
  std::uint64_t sourceRevision() const;
  /// Whether a peer's confirmation by the source holds for what this node
  /// knows: the peer knows nothing newer.
  bool confirmsOwnState(const NodeSummary &Summary) const;
  /// Called before a confirmation is taken in: the one before it may be from
  /// before an outage of the source.
  void detectOutageEnd(TimePoint Now);
  /// As a reader, tells the nodes of the own failure domain how young the
  /// knowledge of the source is.
  void sendHeartbeats(TimePoint Now, ControlEffects &Out);
  void onPeerSummary(const HostId &Peer, std::string_view FailureDomain,
                     const NodeSummary &Summary, TimePoint Now,
                     ControlEffects &Out);
  void sendHostStateNotices(const HostRecord &Record, TimePoint Now,
                            ControlEffects &Out);
  /// The process did not run for Length: asks peers for their present state.
  void onPaused(Duration Length, TimePoint Now, ControlEffects &Out);
  void runBootstrap(TimePoint Now, ControlEffects &Out);
  void runPulls(TimePoint Now, ControlEffects &Out);
  void runHostSync(TimePoint Now, ControlEffects &Out);
  void sync(const HostId &Peer, SyncRequest Request, SyncPurpose Purpose,
            TimePoint Now, ControlEffects &Out);
  void finishSync(const HostId &Peer, const Result<void> &Outcome,
                  TimePoint Now, ControlEffects &Out);
  void onOfferResult(const Result<void> &Outcome, ConfigVersion Offered,
                     std::optional<HostId> From, TimePoint Now,
                     ControlEffects &Out);
  void advertise(const std::optional<HostId> &From, TimePoint Now,
                 ControlEffects &Out);
  NodeSummary summary(TimePoint Now) const;
  std::optional<HostId> randomPeer();

  const NodeSettings &Settings_;
  bool EveryNodeMode_;
  Random Rng_;
  membership::HostTable Table_;
  distribution::VersionStore Store_;
  distribution::SourceConfirmation Confirmation_;
  membership::ProbeScheduler Probes_;
  membership::HostListMerger ListMerger_;
  membership::TargetDirectory Directory_;
  /// Revision of the newest configuration that the list's revision covers.
  std::uint64_t ListConfigRevision_ = 0;
  std::string OwnService_;
  OwnTarget OwnTarget_;
  membership::NoticePlanner Notices_;
  membership::PauseDetector Pause_;
  distribution::Bootstrap Bootstrap_;
  distribution::SourceReader Reader_;
  distribution::PullPlanner Pulls_;
  distribution::SpreadPolicy Spread_;
  std::map<HostId, PendingSync> Syncs_;
  /// Probes sent after a pause, by sequence, whose answers restore trust.
  std::map<std::uint32_t, TimePoint> ProbesAfterPause_;
  std::vector<CrashNotice> CrashNotices_;
  std::uint64_t HostsGeneration_ = 1;
  bool SourceOnly_ = false;
  /// The text fetch under way was asked for by the bootstrap.
  bool BootstrapFetch_ = false;
  TimePoint NextHostSync_;
  TimePoint NextHeartbeat_;
  TimePoint NextFailureProbe_;
};

} // namespace marigold::node
