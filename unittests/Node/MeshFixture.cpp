#include "MeshFixture.h"

#include "Support/Addresses.h"
#include "Support/Digest.h"
#include "Support/SettingsParser.h"

#include <doctest/doctest.h>

namespace marigold::node {

using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::PeerConnectionPtr;

std::shared_ptr<const config::Snapshot> FakeEnvironment::snapshot() const {
  std::lock_guard Lock(View_.Mutex_);
  return View_.Snapshot_;
}

std::vector<HostRecord>
FakeEnvironment::hostsOfService(std::string_view Service) {
  std::vector<HostRecord> Found;
  std::lock_guard Lock(View_.Mutex_);
  for (const auto &[Id, Record] : View_.Hosts_)
    if (Record.Service_ == Service)
      Found.push_back(Record);
  return Found;
}

HostRecord FakeEnvironment::ownRecord() const {
  std::lock_guard Lock(View_.Mutex_);
  return Own_;
}

OwnTarget FakeEnvironment::ownTarget() const {
  OwnTarget Own;
  std::lock_guard Lock(View_.Mutex_);
  Own.Service_ = Own.ConfiguredService_ = Own_.Service_;
  if (!ConfiguredService_.empty())
    Own.ConfiguredService_ = ConfiguredService_;
  Own.Instance_ = Instance_;
  return Own;
}

void FakeEnvironment::ownStateChanged(HostState State) {
  std::lock_guard Lock(View_.Mutex_);
  Own_.State_ = State;
  ++Own_.Sequence_;
  if (!PublishState_ || Own_.Service_.empty())
    return;
  View_.Hosts_[Own_.Id_] = Own_;
  ++View_.Generation_;
}

void FakeEnvironment::sendCrashNotice(const CrashNotice &Notice) {
  if (OnCrash_)
    OnCrash_(Notice);
}

void FakeEnvironment::targetAnswered(const std::string &Instance) {
  if (OnInstance_)
    OnInstance_(Instance);
}

std::optional<CallRefused>
ForwardingHandler::onCallStart(const PeerConnectionPtr &Connection,
                               const CallStart &Start) {
  auto *Target = Target_.load();
  return Target ? Target->onCallStart(Connection, Start)
                : PeerHandler::onCallStart(Connection, Start);
}

void ForwardingHandler::onCall(const PeerConnectionPtr &Connection,
                               CallStart Start,
                               std::shared_ptr<const std::string> Body) {
  if (auto *Target = Target_.load())
    Target->onCall(Connection, std::move(Start), std::move(Body));
  else
    PeerHandler::onCall(Connection, std::move(Start), std::move(Body));
}

void ForwardingHandler::onCallCancel(const PeerConnectionPtr &Connection,
                                     std::uint32_t Stream) {
  if (auto *Target = Target_.load())
    Target->onCallCancel(Connection, Stream);
}

void ForwardingHandler::onKeyRequest(const PeerConnectionPtr &Connection,
                                     const KeyRequest &Request) {
  if (auto *Target = Target_.load())
    Target->onKeyRequest(Connection, Request);
  else
    PeerHandler::onKeyRequest(Connection, Request);
}

TestNode::TestNode(boost::asio::io_context &Io, SharedView &View,
                   std::uint16_t TargetPort, const std::string &Service)
    : Environment_(View) {
  const char *Arguments[] = {"marigold-node", nullptr};
  Settings_ = parseSettings<NodeSettings>(1, Arguments).value().Settings_;
  if (View.Configure_)
    View.Configure_(Settings_);
  transport::PeerOptions Options;
  Options.Mesh_ = hash64(Settings_.Mesh_);
  Options.OwnRecord_ = [this] { return Environment_.ownRecord(); };
  Options.Metrics_ = &Metrics_;
  Memory_ = std::make_shared<transport::MemoryAccount>(Settings_.MemoryLimit_ *
                                                       1'000'000 / 2);
  Options.Memory_ = Memory_;
  Server_ = std::make_unique<transport::PeerServer>(Io, Handler_, Options);
  REQUIRE(Server_->listen({Loopback, 0}));
  Settings_.PeerAddress_ = {Loopback, Server_->port()};
  Settings_.TargetAddress_ = {Loopback, TargetPort};
  Settings_.Service_ = Service;
  Environment_.Own_.Id_ = toHostId(Settings_.PeerAddress_);
  Environment_.Own_.Incarnation_ = 1;
  Environment_.Own_.Service_ = Service;
  Environment_.Own_.FailureDomain_ = Settings_.FailureDomain_;
  Environment_.Own_.Region_ = Settings_.Region_;
  Peers_ =
      std::make_unique<transport::PeerConnectionPool>(Io, Handler_, Options, 1);
  BulkPeers_ =
      std::make_unique<transport::PeerConnectionPool>(Io, Handler_, Options, 4);
  Target_ = std::make_unique<TargetProxy>(
      TargetProxyParts{Io, Environment_, Metrics_, Settings_, View.HeaderNames_,
                       nullptr, Memory_},
      1, 2);
  Handler_.Target_ = Target_.get();
  Callers_ = std::make_unique<CallerProxy>(
      CallerProxyParts{
          Io, Environment_, *Peers_, Service.empty() ? nullptr : Target_.get(),
          Metrics_, Settings_, View.HeaderNames_,
          [this] {
            if (BeforeCall_)
              BeforeCall_();
          },
          Memory_, View.SeparateBulk_ ? BulkPeers_.get() : nullptr},
      3);
  REQUIRE(Callers_->listen({Loopback, 0}));
  Target_->start();
}

TestNode::~TestNode() {
  Callers_->stop();
  Peers_->stop();
  BulkPeers_->stop();
  Server_->stop();
  Target_->stop();
}

FakeTarget::FakeTarget(boost::asio::io_context &Io, Handler Answer)
    : Server_(Io, [&] {
        transport::HttpServerOptions Options;
        Options.OnRequest_ = [this, Answer = std::move(Answer)](
                                 HttpRequest Request,
                                 std::shared_ptr<HttpExchange> Exchange) {
          ++Runs_;
          if (Answer) {
            Answer(std::move(Request), std::move(Exchange));
            return;
          }
          HttpResponse Response;
          Response.Body_ = std::move(Request.Body_);
          Exchange->respond(std::move(Response));
        };
        Options.BodyLimit_ = [](const HttpRequest &) { return 1 << 24; };
        return Options;
      }()) {
  REQUIRE(Server_.listen({Loopback, 0}));
}

MeshFixture::MeshFixture() {
  ServiceConfig Desk = config::defaultService("desk");
  Desk.Slots_ = 8;
  Desk.Queue_ = 8;
  Desk.Connections_ = 32;
  Desk.Objective_.Latency_ = std::chrono::seconds(1);
  RouteConfig Read = config::defaultRoute("/");
  Read.Methods_ = {"GET"};
  Read.Repeatable_ = true;
  Read.Deadline_ = std::chrono::seconds(60);
  Read.MaxBody_ = 4'194'304;
  RouteConfig Book = config::defaultRoute("/bookings");
  Book.Methods_ = {"POST"};
  Book.Repeatable_ = false;
  Book.Deadline_ = std::chrono::seconds(60);
  Book.MaxBody_ = 4'194'304;
  Desk.Routes_ = {Book, Read};
  View_.Snapshot_ =
      config::buildSnapshot({1, "mesh", {std::move(Desk)}}, {1, 1});
}

MeshFixture::~MeshFixture() {
  Threads_.stop();
  Nodes_.clear();
}

TestNode &MeshFixture::addNode(std::uint16_t TargetPort) {
  Nodes_.push_back(
      std::make_unique<TestNode>(Threads_.Io_, View_, TargetPort, "desk"));
  TestNode &Node = *Nodes_.back();
  REQUIRE(eventually([&] { return Node.Target_->targetUp(); }));
  REQUIRE(eventually([&] {
    std::lock_guard Lock(View_.Mutex_);
    return View_.Hosts_.contains(Node.id());
  }));
  return Node;
}

TestNode &MeshFixture::addCallerNode() {
  Nodes_.push_back(std::make_unique<TestNode>(Threads_.Io_, View_, 0, ""));
  return *Nodes_.back();
}

std::string MeshFixture::request(const TestNode &Node,
                                 const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body,
                                 const std::string &Fields) {
  RawConnection Connection(Node.callerPort());
  Connection.send(Method + " " + Path + " HTTP/1.1\r\nHost: desk\r\n" + Fields +
                  "Content-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body);
  return Connection.receiveHttp();
}

std::string MeshFixture::newKey(const TestNode &Node) {
  std::string Answer = request(Node, "POST", "/.marigold/keys?service=desk");
  REQUIRE(statusOf(Answer) == 200);
  return bodyOf(Answer);
}

} // namespace marigold::node
