#pragma once

#include "Distribution/Bootstrap.h"
#include "Distribution/PullPlanner.h"
#include "Distribution/SourceReader.h"
#include "Distribution/SpreadPolicy.h"
#include "Membership/HostListMerger.h"
#include "Membership/NoticePlanner.h"
#include "Membership/PauseDetector.h"
#include "Membership/ProbeScheduler.h"
#include "Membership/RoundTrips.h"
#include "Membership/TableExchange.h"
#include "Membership/TargetDirectory.h"
#include "Node/ControlEffects.h"
#include "Node/OwnTarget.h"
#include "Schema/generated/Settings.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::node {

/// Result of fetching the configuration text from the source, which is the
/// platform's configuration service.
struct SourceText {
  /// Revision of the text: the X-Consul-Index header of the response.
  std::uint64_t Index_ = 0;
  /// Snapshot built from the text; null if the text is missing or invalid.
  config::SnapshotPointer Snapshot_;
  /// Reason why the text was refused; unset if it is valid or missing.
  std::optional<Failure> Refused_;
  /// Whether the source has no text under the configured key.
  bool Missing_ = false;
};

/// State of the source as this node knows it from peers and its own reads.
struct KnownSourceState {
  /// Ordered revision of the source up to which this node knows every change
  /// of the target list.
  std::uint64_t Revision_ = 0;
  /// Configuration version in use.
  ConfigVersion Version_;
  /// The platform's target list.
  std::vector<membership::ListedTarget> Targets_;
  /// Evacuated failure domains, sorted.
  std::vector<std::string> Evacuated_ = {};
};

/// Control-plane state machine of one node. Combines membership, distribution
/// of configuration versions and reads of the source. Has no sockets, clock or
/// lock: every entry point takes the current time and appends the resulting
/// effects to its ControlEffects argument.
class ControlCore {
public:
  /// Own is this node's host record at process start. Settings must outlive
  /// this object.
  ControlCore(const NodeSettings &Settings, const HostRecord &Own,
              std::uint64_t Seed, TimePoint Now);

  /// Performs all work that is due. Call about every 50 ms.
  void tick(TimePoint Now, ControlEffects &Out);

  /// Handles a suspension of the host for Length. The monotonic clock stops
  /// during a suspension, so stored times make data look newer than it is.
  void onSuspended(Duration Length, TimePoint Now, ControlEffects &Out);

  /// Handles a received datagram. Fails with MessageMalformed or
  /// MessageUnexpected and then leaves the state unchanged.
  Result<void> onDatagram(std::string_view Data, TimePoint Now,
                          ControlEffects &Out);

  /// Builds the reply to a peer that requests a version or compares host
  /// tables.
  SyncReply answer(const SyncRequest &Request, TimePoint Now) const;

  /// Handles a peer's reply to an OutgoingSync. Returns the host records to
  /// send back to that peer.
  std::vector<HostExchange> onSyncReply(const HostId &Peer,
                                        const SyncReply &Reply, TimePoint Now,
                                        ControlEffects &Out);

  /// Handles an OutgoingSync that could not be sent or whose connection was
  /// lost.
  void onSyncFailed(const HostId &Peer, const Failure &Cause, TimePoint Now,
                    ControlEffects &Out);

  /// Handles a peer's host records for the host-table buckets that differ.
  void onHostExchange(const HostExchange &Exchange, TimePoint Now,
                      ControlEffects &Out);

  /// Handles a peer's host record received in a Hello frame.
  void onHello(const HostRecord &Sender, TimePoint Now, ControlEffects &Out);

  /// Handles a host state notice received over TCP or UDP.
  void onNotice(const HostStateNotice &Notice, TimePoint Now,
                ControlEffects &Out);

  /// Handles the response to the watch of the configuration key. Index is the
  /// current revision.
  void onSourceKeys(std::uint64_t Index, TimePoint Now, ControlEffects &Out);

  /// Handles a completed fetch of the configuration text.
  void onSourceText(const SourceText &Text, TimePoint Now, ControlEffects &Out);

  /// Handles a completed read of the host list.
  void onSourceHosts(const membership::HostList &List, TimePoint Now,
                     ControlEffects &Out);

  /// Records that at time At the source responded, or a pending call showed
  /// that it was reachable.
  void onSourceContact(TimePoint At, TimePoint Now);

  KnownSourceState knownSourceState() const;

  /// Handles a failed call to the source.
  void onSourceFailure(distribution::SourceCall Call, TimePoint Now,
                       ControlEffects &Out);

  /// Sets the state in this node's own host record.
  void setOwnState(HostState State, TimePoint Now, ControlEffects &Out);

  /// Probes a peer to which a connection failed. Sends at most one such probe
  /// per 50 ms, because a lost host makes many calls fail at once.
  void reportHostFailure(const HostId &Peer, TimePoint Now,
                         ControlEffects &Out);

  /// Sends a crash notice to the other nodes of this node's service.
  void sendCrashNotice(const CrashNotice &Notice, ControlEffects &Out) const;

  /// Sends crash notices to one node, which has started after these crashes.
  static void repeatCrashNotices(const std::vector<CrashNotice> &Notices,
                                 const HostId &To, ControlEffects &Out);

  /// Returns the hosts of a service with the states used for load balancing.
  /// If the platform lists targets, that list determines which targets exist
  /// and which are leaving, and the host table determines which of their nodes
  /// are reachable.
  std::vector<HostRecord> targetsOf(std::string_view Service) const;

  /// State of the target on this host.
  const OwnTarget &ownTarget() const { return OwnTarget_; }

  /// Applies a changed service name from the settings to the target on this
  /// host.
  void setOwnService(std::string Service, TimePoint Now, ControlEffects &Out);

  /// Records the instance as which the target on this host has answered. Of
  /// several entries that name this host, the one of that instance is used.
  void setAnsweringInstance(std::string Instance, ControlEffects &Out);

  const membership::TargetDirectory &directory() const { return Directory_; }

  /// Whether this node currently has the role of a reader of the source.
  bool isReader(TimePoint Now) const { return Reader_.isReader(Now); }

  /// Whether bootstrap is complete, so that this node holds a complete
  /// configuration version.
  bool isBootstrapped() const { return Bootstrap_.isDone(); }

  /// Whether the host table may be used. False after a pause of the process
  /// until a peer has answered a probe, but for at most 1 s.
  bool isTrusted(TimePoint Now) const { return Pause_.isTrusted(Now); }

  /// Whether no peer held a version when this node started.
  bool startedFromSourceOnly() const { return SourceOnly_; }

  /// Counter that increases with every change of a host record or of the
  /// target list.
  std::uint64_t hostsGeneration() const { return HostsGeneration_; }

  const HostRecord &ownRecord() const { return Probes_.ownRecord(); }

  const membership::HostTable &hosts() const { return Table_; }

  const distribution::VersionStore &versions() const { return Store_; }

  /// Time since this node's data was last confirmed by the source, directly or
  /// through a peer.
  std::chrono::milliseconds sourceAge(TimePoint Now) const {
    return Confirmation_.age(Now);
  }

  /// Returns and clears the crash notices received since the last call.
  std::vector<CrashNotice> takeCrashNotices();

private:
  /// Purpose of a SyncRequest in flight to a peer.
  enum class SyncPurpose : std::uint8_t { Bootstrap, Pull, Hosts };
  struct PendingSync {
    SyncPurpose Purpose_;
    TimePoint SentAt_;
  };
  /// Maps a datagram type to its handler.
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

  // Maintenance of the target list (ControlTargets.cpp).
  void updateOwnTarget(ControlEffects &Out);
  /// Returns the entry of the target on this host, or null.
  const ListedTarget *ownEntry() const;
  void onTargetsChanged(ControlEffects &Out);
  /// Merges the changes of the target list from a peer's reply.
  void mergeTargets(const HostId &Peer, const SyncReply &Reply, TimePoint Now,
                    ControlEffects &Out);
  /// Merges changes of the target list from a peer, evacuations included.
  bool mergeChanges(const TargetChanges &Changes, TimePoint Now,
                    ControlEffects &Out);
  /// Ends the grace periods of the target list that are over.
  void expireTargets(TimePoint Now, ControlEffects &Out);
  void setEvacuated(std::vector<std::string> Domains, ControlEffects &Out);
  /// Reports the evacuations that have begun or ended since Before.
  void reportEvacuations(const std::vector<std::string> &Before,
                         ControlEffects &Out) const;
  /// Source revision up to which both the target list and the configuration
  /// are known. 0 while the configuration is older than the list, or the list
  /// keeps entries that the source no longer has or contains later changes.
  std::uint64_t sourceRevision() const;
  /// Whether a peer's confirmation by the source also applies to this node's
  /// data. That is the case only if the peer has nothing newer.
  bool confirmsOwnState(const NodeSummary &Summary) const;
  /// Reports the end of a source outage to the target directory if the last
  /// confirmation is old enough. Call before recording a new confirmation.
  void detectOutageEnd(TimePoint Now);
  /// If this node is a reader, advertises the age of its last confirmation by
  /// the source to the nodes of its failure domain.
  void sendHeartbeats(TimePoint Now, ControlEffects &Out);
  /// Handles the summary in a message from a peer.
  void onPeerSummary(const HostId &Peer, std::string_view FailureDomain,
                     const NodeSummary &Summary, TimePoint Now,
                     ControlEffects &Out);
  /// Whether a changed record shows that another node of this node's service
  /// has started since its last record.
  bool hasStarted(const HostRecord &Record);
  /// Whether this node is one of those that inform a started node.
  bool informsPeer(const HostId &Started) const;
  /// Sends a host's state by datagram to nodes whose services depend on the
  /// service of that host.
  void sendHostStateNotices(const HostRecord &Record, TimePoint Now,
                            ControlEffects &Out);
  /// Handles a pause of the process for Length: probes peers for their current
  /// state.
  void onPaused(Duration Length, TimePoint Now, ControlEffects &Out);
  void runBootstrap(TimePoint Now, ControlEffects &Out);
  void runPulls(TimePoint Now, ControlEffects &Out);
  void runHostSync(TimePoint Now, ControlEffects &Out);
  void sync(const HostId &Peer, SyncRequest Request, SyncPurpose Purpose,
            TimePoint Now, ControlEffects &Out);
  void finishSync(const HostId &Peer, const Result<void> &Outcome,
                  TimePoint Now, ControlEffects &Out);
  /// Reports the result of offering a version to the version store, and
  /// advertises the version if it was adopted. From is the peer that sent it.
  void onOfferResult(const Result<void> &Outcome, ConfigVersion Offered,
                     std::optional<HostId> From, TimePoint Now,
                     ControlEffects &Out);
  void advertise(const std::optional<HostId> &From, TimePoint Now,
                 ControlEffects &Out);
  NodeSummary summary(TimePoint Now) const;
  std::optional<HostId> randomPeer();

  const NodeSettings &Settings_;
  /// Whether every node reads the source itself instead of taking versions from
  /// peers (setting source mode "every-node").
  bool EveryNodeMode_;
  Random Rng_;
  membership::HostTable Table_;
  distribution::VersionStore Store_;
  distribution::SourceConfirmation Confirmation_;
  membership::ProbeScheduler Probes_;
  membership::HostListMerger ListMerger_;
  membership::TargetDirectory Directory_;
  /// Revision of the newest configuration covered by the revision of the
  /// target list.
  std::uint64_t ListConfigRevision_ = 0;
  std::string OwnService_;
  /// Instance as which the target on this host last answered; empty if unknown.
  std::string AnsweringInstance_;
  OwnTarget OwnTarget_;
  membership::NoticePlanner Notices_;
  membership::RoundTrips RoundTrips_;
  membership::PauseDetector Pause_;
  distribution::Bootstrap Bootstrap_;
  distribution::SourceReader Reader_;
  distribution::PullPlanner Pulls_;
  distribution::SpreadPolicy Spread_;
  std::map<HostId, PendingSync> Syncs_;
  /// Send times of the probes sent after a pause, by sequence number. An answer
  /// to any of them makes the host table usable again.
  std::map<std::uint32_t, TimePoint> ProbesAfterPause_;
  std::vector<CrashNotice> CrashNotices_;
  /// Incarnations of the other nodes of this node's service.
  std::unordered_map<HostId, std::uint64_t, HostIdHash> PeerIncarnations_;
  std::uint64_t HostsGeneration_ = 1;
  bool SourceOnly_ = false;
  /// Whether bootstrap requested the text fetch in flight.
  bool BootstrapFetch_ = false;
  TimePoint NextHostSync_;
  TimePoint NextHeartbeat_;
  TimePoint NextFailureProbe_;
};

} // namespace marigold::node
