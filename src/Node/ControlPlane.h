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

/// Dependencies of the control plane. All must outlive it.
struct ControlPlaneParts {
  /// Runs the timers and callbacks of the control plane.
  boost::asio::io_context &Io_;
  MetricsRegistry &Metrics_;
  const NodeSettings &Settings_;
};

/// Peer connections of a node. All must outlive the control plane's last
/// callback.
struct ControlConnections {
  /// Connections for calls. Connections to dead hosts are closed.
  transport::PeerConnectionPool &Calls_;
  /// Connections for synchronization of versions and host tables.
  transport::PeerConnectionPool &Sync_;
  /// Connections for calls with large bodies; closed like those for calls.
  transport::PeerConnectionPool &Bulk_;
  /// Connections that other nodes opened.
  transport::PeerServer &Server_;
};

/// Runs a ControlCore: owns its lock, the UDP socket, the timer and the client
/// of the source, and provides the request path with the configuration and the
/// host states. Calls ControlCore with the lock held and applies the returned
/// effects after releasing it.
class ControlPlane final : public CallEnvironment,
                           public transport::PeerHandler {
public:
  /// Own is this node's host record at process start.
  ControlPlane(ControlPlaneParts Parts, const HostRecord &Own,
               std::uint64_t Seed, TimePoint Now,
               const ConfigSourceFactory &MakeSource);
  ~ControlPlane() override;
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;

  /// Sets the peer connections, the callbacks for crash notices and changes of
  /// ownTarget(), and the function that returns the crashes because of which
  /// requests are held back. Call once before start().
  void attach(ControlConnections Connections,
              std::function<void(const CrashNotice &)> OnCrashNotice,
              std::function<void(const OwnTarget &)> OnOwnTarget,
              std::function<std::vector<CrashNotice>()> HeldBack);

  /// Applies a changed service name from the settings to the target on this
  /// host.
  void setOwnService(const std::string &Service);

  /// Whether bootstrap is complete, so that calls can be accepted and routed.
  bool isReady() const;

  /// Opens the socket and starts the timer. Fails with ConnectionFailed.
  Result<void> start();

  /// Stops the control plane. If Leaving, first notifies peers that this host
  /// is gone.
  void stop(bool Leaving);

  /// Returns the JSON body of GET /status.
  std::string statusJson(bool WithHosts) const;

  std::shared_ptr<const config::Snapshot> snapshot() const override;
  std::uint64_t hostsGeneration() const override;
  std::vector<HostRecord> hostsOfService(std::string_view Service) override;
  CallGate gate() const override;
  HostRecord ownRecord() const override;
  OwnTarget ownTarget() const override;
  void targetAnswered(const std::string &Instance) override;
  Duration targetsAge(TimePoint Now) const override;
  void reportHostFailure(const HostId &Peer) override;
  void ownStateChanged(HostState State) override;
  void sendCrashNotice(const CrashNotice &Notice) override;

  void onOpen(const transport::PeerConnectionPtr &Connection) override;
  void onClosed(const transport::PeerConnectionPtr &Connection,
                const Failure &Cause) override;
  void onSyncRequest(const transport::PeerConnectionPtr &Connection,
                     SyncRequest Request) override;
  void onSyncReply(const transport::PeerConnectionPtr &Connection,
                   SyncReply Reply) override;
  void onHostExchange(const transport::PeerConnectionPtr &Connection,
                      HostExchange Exchange) override;
  void onHostStateNotice(const transport::PeerConnectionPtr &Connection,
                         HostStateNotice Notice) override;

private:
  /// Calls Decide with ControlCore and the current time under the lock, then
  /// applies the effects without it.
  template <class Decision> void decide(Decision &&Decide);
  /// Makes an adopted snapshot available to the request path.
  void publish(std::shared_ptr<const config::Snapshot> Adopted);
  void applyEffects(const ControlEffects &Effects);
  /// Tells nodes that have started which requests are held back.
  void informStartedPeers(const std::vector<HostId> &Peers);
  /// Writes log events and metrics for effects.
  void report(const ControlEffects &Effects);
  void sendSync(const OutgoingSync &Sync);
  void callSource(const distribution::SourceAction &Action);
  void readHosts(bool All);
  void fetchText();
  void watchKeys(const distribution::WatchKeys &Watch);
  void sourceAnswered(distribution::SourceCall Call);
  void sourceFailed(distribution::SourceCall Call, const Failure &Cause);
  void onDatagram(const Address &From, std::string_view Data);
  void scheduleTick();
  void updateGauges(TimePoint Now);
  void countSent(ControlTraffic Kind, std::size_t Bytes);
  void countReceived(ControlTraffic Kind, std::size_t Bytes);

  ControlPlaneParts Parts_;
  /// Protects Core_.
  mutable std::mutex Mutex_;
  ControlCore Core_;
  // Snapshot_ is read for every call and so has its own mutex, which avoids
  // contention on Mutex_.
  mutable std::mutex SnapshotMutex_;
  std::shared_ptr<const config::Snapshot> Snapshot_;
  std::atomic<std::uint64_t> HostsGeneration_{1};
  std::atomic<bool> Bootstrapped_{false};
  std::atomic<bool> Trusted_{true};
  std::atomic<TimePoint> LastTick_;
  /// Total time for which the host has been suspended, as of the last tick.
  Duration Suspended_;
  std::atomic<bool> Stopped_{false};

  transport::DatagramSocket Socket_;
  std::unique_ptr<ConfigSource> Source_;
  boost::asio::steady_timer Timer_;
  TimePoint NextGauges_;
  std::optional<ControlConnections> Connections_;
  std::function<void(const CrashNotice &)> OnCrashNotice_;
  std::function<void(const OwnTarget &)> OnOwnTarget_;
  std::function<std::vector<CrashNotice>()> HeldBack_;
  /// Whether the most recent call to the source failed.
  std::atomic<bool> SourceFailing_{false};
};

} // namespace marigold::node
