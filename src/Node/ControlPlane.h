#pragma once

#include "Node/CallEnvironment.h"
#include "Node/ConfigSource.h"
#include "Node/ControlCore.h"
#include "Support/Metrics.h"
#include "Transport/DatagramSocket.h"
#include "Transport/PeerConnectionPool.h"
#include "Transport/PeerServer.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>

namespace marigold::node {

/// What the control plane uses. All must outlive it.
struct ControlPlaneParts {
  /// Runs timers and callbacks.
  boost::asio::io_context &Io_;
  /// Metrics.
  MetricsRegistry &Metrics_;
  /// Settings.
  const NodeSettings &Settings_;
};

/// Peer connections of a node. All must outlive the control plane's last
/// callback.
struct ControlConnections {
  /// Connections for calls; those to dead hosts are dropped.
  transport::PeerConnectionPool &Calls_;
  /// Connections for synchronization.
  transport::PeerConnectionPool &Sync_;
  /// Connections that other nodes opened.
  transport::PeerServer &Server_;
};

/// Runs ControlCore: owns the control shard with its lock, the UDP socket,
/// the timer and the client of the source, and gives the request path what it
/// needs. Decisions are made under the lock, their effects carried out
/// without it.
class ControlPlane final : public CallEnvironment,
                           public transport::PeerHandler {
public:
  /// Own is this node's record at its start.
  ControlPlane(ControlPlaneParts Parts, const HostRecord &Own,
               std::uint64_t Seed, TimePoint Now,
               const ConfigSourceFactory &MakeSource);
  ~ControlPlane() override;
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;

  /// Names the peer connections and the receivers of crash notices and of
  /// changes of ownTarget. Call once before start.
  void attach(ControlConnections Connections,
              std::function<void(const CrashNotice &)> OnCrashNotice,
              std::function<void(const OwnTarget &)> OnOwnTarget);

  /// The settings name another service for the target beside this node.
  void setOwnService(const std::string &Service);

  /// Whether calls can be taken and their targets found.
  bool isReady() const;

  /// Opens the socket and starts the timer. Fails with ConnectionFailed.
  Result<void> start();

  /// Tells peers that this host is gone, if Leaving, and stops.
  void stop(bool Leaving);

  /// Body of GET /status.
  std::string statusJson(bool WithHosts) const;

  std::shared_ptr<const config::Snapshot> snapshot() const override;
  std::uint64_t hostsGeneration() const override;
  std::vector<HostRecord> hostsOfService(std::string_view Service) override;
  CallGate gate() const override;
  HostRecord ownRecord() const override;
  OwnTarget ownTarget() const override;
  Duration targetsAge(TimePoint Now) const override;
  void reportHostFailure(const HostId &Peer) override;
  void ownStateChanged(HostState State) override;
  void sendCrashNotice(const CrashNotice &Notice) override;

  void onOpen(const transport::PeerConnectionPtr &Connection) override;
  void onClosed(const transport::PeerConnectionPtr &Connection,
                const Failure &Why) override;
  void onSyncRequest(const transport::PeerConnectionPtr &Connection,
                     SyncRequest Request) override;
  void onSyncReply(const transport::PeerConnectionPtr &Connection,
                   SyncReply Reply) override;
  void onHostExchange(const transport::PeerConnectionPtr &Connection,
                      HostExchange Exchange) override;
  void onHostStateNotice(const transport::PeerConnectionPtr &Connection,
                         HostStateNotice Notice) override;

private:
  template <class Decision> void decide(Decision &&Decide);
  void publish(std::shared_ptr<const config::Snapshot> Adopted);
  void perform(const ControlEffects &Effects);
  void report(const ControlEffects &Effects);
  void sendSync(const OutgoingSync &Sync);
  void callSource(const distribution::SourceAction &Action);
  void readHosts(bool All);
  void fetchText();
  void watchKeys(const distribution::WatchKeys &Watch);
  void sourceAnswered(distribution::SourceCall Call);
  void sourceFailed(distribution::SourceCall Call, const Failure &Why);
  void onDatagram(const Address &From, std::string_view Data);
  void scheduleTick();
  void updateGauges(TimePoint Now);
  void countSent(ControlTraffic Kind, std::size_t Bytes);
  void countReceived(ControlTraffic Kind, std::size_t Bytes);

  ControlPlaneParts Parts_;
  /// The control shard.
  mutable std::mutex Mutex_;
  ControlCore Core_;
  // Read for each call, so kept outside of the shard's lock.
  mutable std::mutex SnapshotMutex_;
  std::shared_ptr<const config::Snapshot> Snapshot_;
  std::atomic<std::uint64_t> HostsGeneration_{1};
  std::atomic<bool> Bootstrapped_{false};
  std::atomic<bool> Trusted_{true};
  std::atomic<TimePoint> LastTick_;
  /// Time for which the host was suspended as of the last tick.
  Duration Suspended_;
  std::atomic<bool> Stopped_{false};

  transport::DatagramSocket Socket_;
  std::unique_ptr<ConfigSource> Source_;
  boost::asio::steady_timer Timer_;
  TimePoint NextGauges_;
  std::optional<ControlConnections> Connections_;
  std::function<void(const CrashNotice &)> OnCrashNotice_;
  std::function<void(const OwnTarget &)> OnOwnTarget_;
  /// Calls to the source failed since the last one that succeeded.
  std::atomic<bool> SourceLost_{false};
};

} // namespace marigold::node
