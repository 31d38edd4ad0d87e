#pragma once

#include "Node/CallerProxy.h"
#include "Node/PeerDispatcher.h"
#include "Node/TargetProxy.h"

#include "TestSupport/NetworkFixture.h"

#include "Config/Snapshot.h"
#include "Transport/HttpServer.h"
#include "Transport/PeerServer.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace marigold::node {

/// Configuration and host table that all nodes of a test share.
struct SharedView {
  std::mutex Mutex_;
  std::shared_ptr<const config::Snapshot> Snapshot_;
  std::map<HostId, HostRecord> Hosts_;
  HttpHeaderNames HeaderNames_;
  /// Changes the settings of each node that is added. May be empty.
  std::function<void(NodeSettings &)> Configure_;
  std::atomic<std::uint64_t> Generation_ = 1;
  /// Whether nodes that are added send large bodies on connections of their
  /// own.
  bool SeparateBulk_ = false;
};

/// Fake control plane of one node under test.
class FakeEnvironment : public CallEnvironment {
public:
  explicit FakeEnvironment(SharedView &View) : View_(View) {}

  std::shared_ptr<const config::Snapshot> snapshot() const override;
  std::uint64_t hostsGeneration() const override { return View_.Generation_; }
  std::vector<HostRecord> hostsOfService(std::string_view Service) override;
  CallGate gate() const override { return Gate_; }
  HostRecord ownRecord() const override;
  OwnTarget ownTarget() const override;
  void reportHostFailure(const HostId &) override { ++Failures_; }
  void ownStateChanged(HostState State) override;
  void sendCrashNotice(const CrashNotice &Notice) override;
  void targetAnswered(const std::string &Instance) override;

  SharedView &View_;
  HostRecord Own_;
  std::string Instance_;
  /// Service named in the settings if it differs from the listed one.
  std::string ConfiguredService_;
  std::atomic<CallGate> Gate_ = CallGate::Open;
  std::atomic<int> Failures_ = 0;
  /// While false, changes of the own state are not added to the shared host
  /// table, as if gossip had not reached the callers yet.
  std::atomic<bool> PublishState_ = true;
  std::function<void(const CrashNotice &)> OnCrash_;
  std::function<void(const std::string &)> OnInstance_;
};

/// Forwards frames to a handler that is set later: the peer server must listen,
/// so that its port is known, before the handler can be created.
class ForwardingHandler : public transport::PeerHandler {
public:
  std::optional<CallRefused> onCallStart(const transport::PeerConnectionPtr &,
                                         const CallStart &) override;
  void onCall(const transport::PeerConnectionPtr &, CallStart,
              std::shared_ptr<const std::string>) override;
  void onCallCancel(const transport::PeerConnectionPtr &,
                    std::uint32_t) override;
  void onKeyRequest(const transport::PeerConnectionPtr &,
                    const KeyRequest &) override;

  std::atomic<transport::PeerHandler *> Target_ = nullptr;
};

/// Request path of one node on ephemeral ports.
class TestNode {
public:
  /// TargetPort 0 creates a node without a service.
  TestNode(boost::asio::io_context &Io, SharedView &View,
           std::uint16_t TargetPort, const std::string &Service);
  ~TestNode();
  TestNode(const TestNode &) = delete;
  TestNode &operator=(const TestNode &) = delete;

  HostId id() const { return Environment_.Own_.Id_; }
  std::uint16_t callerPort() const { return Callers_->port(); }

  FakeEnvironment Environment_;
  MetricsRegistry Metrics_;
  NodeSettings Settings_;
  std::shared_ptr<transport::MemoryAccount> Memory_;
  std::function<void()> BeforeCall_;
  ForwardingHandler Handler_;
  std::unique_ptr<transport::PeerServer> Server_;
  std::unique_ptr<transport::PeerConnectionPool> Peers_;
  std::unique_ptr<transport::PeerConnectionPool> BulkPeers_;
  std::unique_ptr<TargetProxy> Target_;
  std::unique_ptr<CallerProxy> Callers_;
};

/// A target that calls a function of the test for each request and counts the
/// requests.
class FakeTarget {
public:
  using Handler = std::function<void(transport::HttpRequest,
                                     std::shared_ptr<transport::HttpExchange>)>;

  /// Without a handler, answers 200 with the body of the request.
  explicit FakeTarget(boost::asio::io_context &Io, Handler Answer = nullptr);

  std::uint16_t port() const { return Server_.port(); }

  std::atomic<int> Runs_ = 0;

private:
  transport::HttpServer Server_;
};

/// Nodes of one mesh in this process. Tests add nodes with a target of service
/// "desk" and nodes without a target that only take the callers' requests.
struct MeshFixture {
  MeshFixture();
  ~MeshFixture();

  /// Adds a node whose target listens on this port, and waits until the target
  /// is up.
  TestNode &addNode(std::uint16_t TargetPort);

  /// Adds a node without a target.
  TestNode &addCallerNode();

  /// Sends a request to a node on a new connection and returns the response.
  static std::string request(const TestNode &Node, const std::string &Method,
                             const std::string &Path,
                             const std::string &Body = "",
                             const std::string &Fields = "");

  /// Requests a new idempotency key from a node.
  static std::string newKey(const TestNode &Node);

  SharedView View_;
  IoThreads Threads_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
};

} // namespace marigold::node
