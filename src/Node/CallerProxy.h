#pragma once

#include "Node/CallEnvironment.h"
#include "Node/HttpHeaderNames.h"
#include "Transport/HttpServer.h"
#include "Transport/PeerConnectionPool.h"

#include "Schema/generated/Settings.h"
#include "Support/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace marigold::node {

class TargetProxy;

/// Dependencies of CallerProxy. All must outlive it.
struct CallerProxyParts {
  /// Runs timers and callbacks.
  boost::asio::io_context &Io_;
  /// Interface to the control plane.
  CallEnvironment &Environment_;
  /// Connections to the nodes of targets.
  transport::PeerConnectionPool &Peers_;
  /// Proxy of this node's own target, for calls that need no network; null on a
  /// node without a service.
  TargetProxy *Local_ = nullptr;
  MetricsRegistry &Metrics_;
  const NodeSettings &Settings_;
  const HttpHeaderNames &HeaderNames_ = defaultHeaderNames();
  /// Called before the service of this host is read for a call, which may have
  /// changed; may be null.
  std::function<void()> BeforeCall_ = nullptr;
  /// Account of the process's memory; may be null.
  std::shared_ptr<transport::MemoryAccount> Memory_ = nullptr;
  /// Connections for calls with large bodies, so that other calls and
  /// cancellations do not wait behind bytes that a socket or a slow link holds.
  /// Null if all calls share Peers_.
  transport::PeerConnectionPool *BulkPeers_ = nullptr;
};

/// Receives HTTP requests from callers, chooses targets, sends the calls to the
/// targets' nodes, retries refused calls and reports the outcome to the caller.
class CallerProxy {
public:
  /// Seed initializes the random number generators.
  CallerProxy(CallerProxyParts Parts, std::uint64_t Seed);
  ~CallerProxy();
  CallerProxy(const CallerProxy &) = delete;
  CallerProxy &operator=(const CallerProxy &) = delete;

  /// Starts to listen for callers. Port 0 selects a free port. Fails with
  /// ConnectionFailed if the address is in use.
  Result<void> listen(const Address &Local);

  /// Port on which the proxy listens.
  std::uint16_t port() const;

  /// Number of requests that have not been answered yet.
  std::size_t openCallCount() const;

  /// Sends Connection: close with each answer, so that callers send no further
  /// requests on their connections. New connections are still served.
  void beginDrain();

  /// Stops accepting connections; requests in progress are still answered.
  void drain();

  /// Refuses all further requests with Draining.
  void refuseNewCalls();

  /// Number of connections of callers that would be cut off by an exit now: a
  /// request is being received on them, or an answer is awaited or being sent.
  std::size_t busyConnectionCount() const;

  /// Answers all open requests because the process is about to exit: requests
  /// that were not sent as not-run, the others as unknown.
  void answerOpenCalls();

  /// Closes all connections of callers.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::node
