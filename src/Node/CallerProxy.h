#pragma once

#include "Node/CallEnvironment.h"
#include "Node/HttpHeaderNames.h"
#include "Transport/HttpServer.h"
#include "Transport/PeerConnectionPool.h"

#include "Schema/generated/Settings.h"
#include "Support/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace marigold::node {

class TargetProxy;

/// What the caller's side of the request path uses. All must outlive it.
struct CallerProxyParts {
  /// Runs timers and callbacks.
  boost::asio::io_context &Io_;
  /// The control plane.
  CallEnvironment &Environment_;
  /// Connections to the nodes of targets.
  transport::PeerConnectionPool &Peers_;
  /// The target's side of this node, for calls to the own target; null on a
  /// node without a service.
  TargetProxy *Local_ = nullptr;
  /// Metrics.
  MetricsRegistry &Metrics_;
  /// Settings.
  const NodeSettings &Settings_;
  /// Names of header fields.
  const HttpHeaderNames &HeaderNames_ = defaultHeaderNames();
};

/// Takes HTTP requests of callers, chooses targets, sends the calls to the
/// targets' nodes, retries refusals and tells callers the outcome.
class CallerProxy {
public:
  /// Seed starts the sequence of random choices.
  CallerProxy(CallerProxyParts Parts, std::uint64_t Seed);
  ~CallerProxy();
  CallerProxy(const CallerProxy &) = delete;
  CallerProxy &operator=(const CallerProxy &) = delete;

  /// Listens for callers. Port 0 takes a free port. Fails with
  /// ConnectionFailed when the address is in use.
  Result<void> listen(const Address &Local);

  /// Port that is listened on.
  std::uint16_t port() const;

  /// Requests of callers that are not answered yet.
  std::size_t openCallCount() const;

  /// Asks callers to open no further requests on their connections: answers
  /// carry Connection: close. New connections are still served.
  void beginDrain();

  /// Stops accepting connections; requests in progress are still answered.
  void drain();

  /// Answers all open requests: those that were not sent as not run, the others
  /// as unknown. For a process that is about to end.
  void answerOpenCalls();

  /// Closes all connections of callers.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::node
