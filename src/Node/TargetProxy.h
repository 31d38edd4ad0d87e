#pragma once

#include "Node/CallEnvironment.h"
#include "Node/HttpHeaderNames.h"
#include "Transport/EgressPacer.h"
#include "Transport/PeerConnection.h"

#include "Schema/generated/Settings.h"
#include "Support/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace marigold::node {

/// Dependencies of TargetProxy. All must outlive it.
struct TargetProxyParts {
  /// Runs timers and callbacks.
  boost::asio::io_context &Io_;
  /// Interface to the control plane.
  CallEnvironment &Environment_;
  MetricsRegistry &Metrics_;
  const NodeSettings &Settings_;
  const HttpHeaderNames &HeaderNames_ = defaultHeaderNames();
  /// Pacer of the host's network link, used to predict transfer times; null if
  /// no link rate is configured.
  std::shared_ptr<transport::EgressPacer> Pacer_ = nullptr;
  /// Account of the process's memory; may be null.
  std::shared_ptr<transport::MemoryAccount> Memory_ = nullptr;
};

/// Admits calls for the target beside this node and forwards them to it.
/// Receives calls from peer connections as their handler, and directly from the
/// CallerProxy of the same node. The admission shard and the key shard of its
/// state have a mutex each.
class TargetProxy : public transport::PeerHandler {
public:
  /// Seed initializes the random number generator for crash ids and for the
  /// delays between probes. Incarnation is that of this process; keys are bound
  /// to it.
  TargetProxy(TargetProxyParts Parts, std::uint64_t Incarnation,
              std::uint64_t Seed);
  ~TargetProxy() override;
  TargetProxy(const TargetProxy &) = delete;
  TargetProxy &operator=(const TargetProxy &) = delete;

  /// Starts to probe whether the target accepts connections.
  void start();

  /// Runs a call from the CallerProxy of the same node. Done is called exactly
  /// once, never from within this function. Returns a number for cancelLocal.
  std::uint64_t callLocal(CallStart Start,
                          std::shared_ptr<const std::string> Body,
                          transport::StreamCallback Done);

  /// Cancels a call that was started with callLocal. Done is still called.
  void cancelLocal(std::uint64_t Number);

  /// Issues an idempotency key for the own target. Fails with KeyTableFull,
  /// WrongService, UnknownService, Draining, TargetDown or NotReady.
  Result<std::string> issueKey(const std::string &Service);

  /// Refuses new calls from now on. Done runs once no call is in progress or
  /// the drain limit has passed, or at once if the drain has already finished.
  void drain(std::function<void()> Done);

  /// Applies a change in what the platform reports about the own target.
  void onOwnTarget(const OwnTarget &Own);

  /// Records the fingerprints of requests that were in progress at a crash, as
  /// reported by another node of the service.
  void onCrashNotice(const CrashNotice &Notice);

  /// Returns the crashes because of which requests are held back, for a node of
  /// the service that has started after them.
  std::vector<CrashNotice> heldBackCrashes();

  /// Current load, for the status page.
  LoadReport load() const override;

  /// Whether the target's process accepted the last connection.
  bool targetUp() const;

  /// Cancels all calls and timers.
  void stop();

  std::optional<CallRefused>
  onCallStart(const transport::PeerConnectionPtr &Connection,
              const CallStart &Start) override;
  void onCall(const transport::PeerConnectionPtr &Connection, CallStart Start,
              std::shared_ptr<const std::string> Body) override;
  void onCallCancel(const transport::PeerConnectionPtr &Connection,
                    std::uint32_t Stream) override;
  void onKeyRequest(const transport::PeerConnectionPtr &Connection,
                    const KeyRequest &Request) override;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::node
