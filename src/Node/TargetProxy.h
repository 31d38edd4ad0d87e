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

/// What the target's side of the request path uses. All must outlive it.
struct TargetProxyParts {
  /// Runs timers and callbacks.
  boost::asio::io_context &Io_;
  /// The control plane.
  CallEnvironment &Environment_;
  /// Metrics.
  MetricsRegistry &Metrics_;
  /// Settings.
  const NodeSettings &Settings_;
  /// Names of header fields.
  const HttpHeaderNames &HeaderNames_ = defaultHeaderNames();
  /// The host's link; null when it is not shared out.
  std::shared_ptr<transport::EgressPacer> Pacer_ = nullptr;
};

/// Admits calls for the target beside this node and runs them there. Receives
/// calls from peer connections as their handler, and from the same node
/// directly. State is in an admission shard and a key shard.
class TargetProxy : public transport::PeerHandler {
public:
  /// Seed starts the sequence of random keys and crash ids. Incarnation is
  /// that of this process; keys are bound to it.
  TargetProxy(TargetProxyParts Parts, std::uint64_t Incarnation,
              std::uint64_t Seed);
  ~TargetProxy() override;
  TargetProxy(const TargetProxy &) = delete;
  TargetProxy &operator=(const TargetProxy &) = delete;

  /// Starts to test whether the target accepts connections.
  void start();

  /// A call from the caller's side of the same node. Done is called exactly
  /// once, never within this call. Returns a number for cancelLocal.
  std::uint64_t callLocal(CallStart Start,
                          std::shared_ptr<const std::string> Body,
                          transport::StreamCallback Done);

  /// Gives up a call of callLocal; it still ends with a call of Done.
  void cancelLocal(std::uint64_t Number);

  /// Issues a key for the own target. Fails with KeyTableFull, WrongService,
  /// Draining or NotReady.
  Result<std::string> issueKey(const std::string &Service);

  /// Refuses new calls from now on. Done runs once all calls in progress have
  /// ended, or at once on a repeated call after that.
  void drain(std::function<void()> Done);

  /// What the platform says of the own target changed.
  void onOwnTarget(const OwnTarget &Own);

  /// Fingerprints of requests in progress at a crash, received from another
  /// node of the service.
  void onCrashNotice(const CrashNotice &Notice);

  /// Load for the status page.
  LoadReport load() const;

  /// Whether the target's process accepted the last connection.
  bool targetUp() const;

  /// Cancels all calls and timers.
  void stop();

  std::optional<CallRefused>
  onCallStart(const transport::PeerConnectionPtr &Connection,
              const CallStart &Start) override;
  void onCall(const transport::PeerConnectionPtr &Connection, CallStart Start,
              std::string Body) override;
  void onCallCancel(const transport::PeerConnectionPtr &Connection,
                    std::uint32_t Stream) override;
  void onKeyRequest(const transport::PeerConnectionPtr &Connection,
                    const KeyRequest &Request) override;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::node
