// Requests to targets of a service with a rate for cold targets, and the health
// checks that tell whether a target is cold.

#include "MeshFixture.h"

#include <doctest/doctest.h>

#include <thread>

namespace marigold::node {

using std::chrono::milliseconds;
using std::chrono::seconds;
using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

/// Targets of service "desk" that count as cold for long after their start.
struct ColdCallFixture : MeshFixture {
  ColdCallFixture() {
    View_.HeaderNames_.AnsweringInstance_ = "x-answering";
    View_.HeaderNames_.ColdLeft_ = "x-cold-ms";
    View_.Configure_ = [this](NodeSettings &Settings) {
      Settings.ColdExcess_ = Excess_;
      Settings.ColdSlack_ = 100;
      Settings.HealthInterval_ = Interval_;
      // Every refused call may go to another target; the budget is not tested
      // here.
      Settings.RedirectRatio_ = 1;
    };
    Health_.Headers_ = {{"x-answering", "i-1"}};
  }
  // Stops the threads here, because the members below are destroyed before the
  // destructor of the base class would stop them.
  ~ColdCallFixture() {
    // A health check in progress ends on a thread: its connection and its
    // request refer to each other until then.
    for (const auto &Node : Nodes_)
      Node->Target_->stop();
    std::this_thread::sleep_for(milliseconds(50));
    Threads_.stop();
    Nodes_.clear();
    Targets_.clear();
  }

  void configure(std::uint32_t Rate, milliseconds ColdTime = seconds(30)) {
    config::ServiceModel Model = config::toModel(*View_.Snapshot_);
    Model.Services_.front().ColdRate_ = Rate;
    Model.Services_.front().ColdTime_ = ColdTime;
    Model.Services_.front().HealthPath_ = "/health";
    Model.Services_.front().Slots_ = 32;
    for (RouteConfig &Route : Model.Services_.front().Routes_)
      Route.Deadline_ = milliseconds(500);
    View_.Snapshot_ = config::buildSnapshot(std::move(Model), {1, 2});
  }

  TestNode &addTarget() {
    Targets_.push_back(std::make_unique<FakeTarget>(
        Threads_.Io_, [this](const HttpRequest &Request,
                             const std::shared_ptr<HttpExchange> &Exchange) {
          if (Request.Target_ != "/health") {
            Exchange->respond(HttpResponse());
            return;
          }
          ++Checks_;
          std::lock_guard Lock(Mutex_);
          Exchange->respond(Health_);
        }));
    return addNode(Targets_.back()->port());
  }

  /// Adds a target and makes one call, which applies the configuration.
  TestNode &addCalledTarget() {
    TestNode &Node = addTarget();
    REQUIRE(statusOf(request(Node, "GET", "/")) == 200);
    return Node;
  }

  /// Starts calls at the target's node.
  void call(TestNode &Node, int Count) {
    for (; Count > 0; --Count) {
      CallStart Start;
      Start.Service_ = "desk";
      Start.Method_ = "GET";
      Start.Path_ = "/";
      Start.Remaining_ = milliseconds(500);
      ++Open_;
      Node.Target_->callLocal(
          Start, nullptr, [this](const transport::StreamResult &Value) {
            const auto *Refused = std::get_if<CallRefused>(&Value);
            if (!Refused)
              ++Answered_;
            else if (Refused->Code_ ==
                     static_cast<std::uint16_t>(ErrorCode::TargetCold))
              ++Cold_;
            --Open_;
          });
    }
  }

  void setHealth(HttpResponse Value) {
    std::lock_guard Lock(Mutex_);
    Health_ = std::move(Value);
  }

  double Excess_ = 1;
  milliseconds Interval_ = seconds(60);
  std::vector<std::unique_ptr<FakeTarget>> Targets_;
  std::mutex Mutex_;
  HttpResponse Health_;
  std::atomic<int> Checks_ = 0;
  std::atomic<int> Open_ = 0;
  std::atomic<int> Answered_ = 0;
  std::atomic<int> Cold_ = 0;
};

} // namespace

// Load pattern: many calls at once for a target that has just started.
TEST_CASE_FIXTURE(ColdCallFixture,
                  "cold target gets its rate and the others are refused") {
  configure(5);
  TestNode &Node = addCalledTarget();
  call(Node, 20);
  REQUIRE(eventually([&] { return Open_ == 0; }));
  CHECK(Targets_.front()->Runs_ == 5);
  CHECK(Answered_ == 4);
  CHECK(Cold_ == 16);
  std::string Answer = request(Node, "GET", "/");
  CHECK(statusOf(Answer) == 503);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "not-run");
  CHECK(!fieldOf(Answer, "retry-after").empty());
  CHECK(Targets_.front()->Runs_ == 5);
}

// Guards against a refusal although another target has starts left.
TEST_CASE_FIXTURE(ColdCallFixture,
                  "call that a cold target refuses is answered by another") {
  configure(4);
  TestNode &Full = addTarget();
  addTarget();
  call(Full, 10);
  REQUIRE(eventually([&] { return Open_ == 0; }));
  CHECK(Targets_[0]->Runs_ == 4);
  for (int Count = 0; Count < 3; ++Count)
    CHECK(statusOf(request(Full, "GET", "/")) == 200);
  CHECK(Targets_[0]->Runs_ == 4);
  CHECK(Targets_[1]->Runs_ == 3);
}

// Guards against health checks beyond the rate: they reach the target like any
// other request.
TEST_CASE_FIXTURE(ColdCallFixture, "health check counts as a start") {
  Interval_ = milliseconds(300);
  Health_.Headers_.push_back({"x-cold-ms", "30000"});
  configure(5);
  TestNode &Node = addCalledTarget();
  REQUIRE(eventually([&] { return Checks_ == 1; }));
  call(Node, 20);
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(Targets_.front()->Runs_ == 5);
}

TEST_CASE_FIXTURE(ColdCallFixture, "health answer of a warm target ends the "
                                   "limit") {
  Interval_ = milliseconds(50);
  configure(1);
  TestNode &Node = addCalledTarget();
  CHECK(Node.Target_->load().StartRate_ != 0);
  REQUIRE(eventually([&] { return Node.Target_->load().StartRate_ == 0; }));
  call(Node, 20);
  REQUIRE(eventually([&] { return Open_ == 0; }));
  CHECK(Answered_ == 20);
}

// Guards against a limit that ends because of an answer that does not tell
// whether the target is cold.
TEST_CASE_FIXTURE(ColdCallFixture,
                  "health answer that cannot be read says nothing") {
  Interval_ = milliseconds(50);
  HttpResponse Value;
  SUBCASE("no instance") { Value.Headers_ = {{"x-other", "1"}}; }
  SUBCASE("text") {
    Value.Headers_ = {{"x-answering", "i-1"}, {"x-cold-ms", "soon"}};
  }
  SUBCASE("negative") {
    Value.Headers_ = {{"x-answering", "i-1"}, {"x-cold-ms", "-1"}};
  }
  SUBCASE("huge") {
    Value.Headers_ = {{"x-answering", "i-1"},
                      {"x-cold-ms", "99999999999999999999"}};
  }
  SUBCASE("rejected") {
    Value.Status_ = 503;
    Value.Headers_ = {{"x-answering", "i-1"}};
  }
  setHealth(std::move(Value));
  configure(1);
  TestNode &Node = addCalledTarget();
  REQUIRE(eventually([&] { return Checks_ >= 3; }));
  std::this_thread::sleep_for(milliseconds(900));
  CHECK(Node.Target_->load().StartRate_ == 1);
}

// Guards against the load of a warm target after a restart between two checks.
TEST_CASE_FIXTURE(ColdCallFixture,
                  "target that lost all connections and accepts is cold") {
  RawListener Listener;
  configure(5, milliseconds(100));
  TestNode &Node = addNode(Listener.port());
  call(Node, 1);
  // Returns the connection of the next call. A health check is made too if the
  // configuration is applied before the target accepts; its answer tells
  // nothing.
  auto Accept = [&] {
    for (;;) {
      RawConnection Connection = Listener.accept();
      std::string Request = Connection.receiveHttp();
      if (Request.starts_with("GET /health "))
        Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                        "Connection: close\r\n\r\n");
      else if (!Request.empty())
        return Connection;
    }
  };
  Accept().send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(eventually([&] { return Node.Target_->load().StartRate_ == 0; }));
  call(Node, 2);
  RawConnection First = Accept();
  RawConnection Second = Accept();
  First.close(true);
  Second.close(true);
  CHECK(eventually([&] { return Node.Target_->load().StartRate_ != 0; }));
}

// Guards against health checks of targets that are to receive nothing.
TEST_CASE_FIXTURE(ColdCallFixture, "evacuated target is not checked") {
  Interval_ = milliseconds(50);
  configure(5);
  TestNode &Node = addCalledTarget();
  REQUIRE(eventually([&] { return Checks_ >= 1; }));
  OwnTarget Own = Node.Environment_.ownTarget();
  Own.Evacuated_ = true;
  Node.Target_->onOwnTarget(Own);
  std::this_thread::sleep_for(milliseconds(100));
  int Before = Checks_;
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(Checks_ == Before);
  Own.Evacuated_ = false;
  Node.Target_->onOwnTarget(Own);
  CHECK(Node.Target_->load().StartRate_ != 0);
  CHECK(eventually([&] { return Checks_ > Before; }));
}

TEST_CASE_FIXTURE(ColdCallFixture,
                  "service without a limit is not checked nor limited") {
  Interval_ = milliseconds(50);
  SUBCASE("no rate") { configure(0); }
  SUBCASE("no excess") {
    Excess_ = 0;
    configure(1);
  }
  TestNode &Node = addCalledTarget();
  call(Node, 20);
  REQUIRE(eventually([&] { return Open_ == 0; }));
  CHECK(Answered_ == 20);
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(Checks_ == 0);
  CHECK(Node.Target_->load().StartRate_ == 0);
}

} // namespace marigold::node
