// Requests that wait at the target's node, for a slot or for a connection,
// while the target beside the node changes.

#include "MeshFixture.h"
#include "TestSeed.h"

#include "Admission/ColdStartLimiter.h"

#include <doctest/doctest.h>

#include <thread>

namespace marigold::node {

using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

/// A node whose target has one slot and answers only when the test says so.
struct WaitingCallFixture : MeshFixture {
  WaitingCallFixture() {
    View_.HeaderNames_.ExpectedInstance_ = "x-instance";
    configure(1, 8);
    Target_ = std::make_unique<FakeTarget>(
        Threads_.Io_, [this](const HttpRequest &Request,
                             std::shared_ptr<HttpExchange> Exchange) {
          // The names of services begin the paths and instances of a test that
          // uses several.
          std::string_view Instance =
              transport::findHeader(Request.Headers_, "x-instance");
          if (!Instance.starts_with("i-") &&
              !Instance.starts_with(Request.Target_.substr(1)))
            ++Misdirected_;
          std::lock_guard Lock(Mutex_);
          Held_.push_back(std::move(Exchange));
        });
    Node_ = &addNode(Target_->port());
    Own_ = Node_->Environment_.ownTarget();
    Own_.Instance_ = "i-1";
    Node_->Target_->onOwnTarget(Own_);
  }
  // Stops the threads here, because the members below are destroyed before the
  // destructor of the base class would stop them.
  ~WaitingCallFixture() {
    Threads_.stop();
    Nodes_.clear();
    Held_.clear();
    Target_.reset();
  }

  void configure(std::uint32_t Slots, std::uint32_t Connections) {
    config::ServiceModel Model = config::toModel(*View_.Snapshot_);
    Model.Services_.front().Slots_ = Slots;
    Model.Services_.front().Connections_ = Connections;
    View_.Snapshot_ = config::buildSnapshot(std::move(Model), {1, 2});
  }

  /// Sends a booking without waiting for its answer.
  RawConnection book() const {
    RawConnection Connection(Node_->callerPort());
    Connection.send("POST /bookings/1 HTTP/1.1\r\nHost: desk\r\n"
                    "Content-Length: 0\r\n\r\n");
    return Connection;
  }

  /// Sends one booking that runs and one that waits for its slot.
  void fillSlotAndQueue() {
    Running_.emplace(book());
    REQUIRE(eventually([&] { return heldCount() == 1; }));
    Waiting_.emplace(book());
    REQUIRE(eventually([&] { return Node_->Target_->load().Queued_ == 1; }));
  }

  /// Sends one booking that runs and one that has a slot and waits for the
  /// connection.
  void fillSlotAndConnections() {
    configure(2, 1);
    Node_->Target_->onOwnTarget(Own_);
    Running_.emplace(book());
    REQUIRE(eventually([&] { return heldCount() == 1; }));
    Waiting_.emplace(book());
    REQUIRE(eventually([&] { return Node_->Target_->load().Running_ == 2; }));
  }

  /// Answers all requests that the target holds.
  void answerHeld() {
    std::lock_guard Lock(Mutex_);
    for (auto &Exchange : Held_)
      Exchange->respond(HttpResponse());
    Held_.clear();
  }

  std::size_t heldCount() {
    std::lock_guard Lock(Mutex_);
    return Held_.size();
  }

  /// Checks that the waiting booking was refused while the other one still
  /// runs, and that it does not run when the slot becomes free either.
  void checkWaitingIsRefused() {
    std::string Answer = Waiting_->receiveHttp();
    CHECK(statusOf(Answer) == 503);
    CHECK(fieldOf(Answer, "x-marigold-outcome") == "not-run");
    CHECK(Target_->Runs_ == 1);
    answerHeld();
    CHECK(statusOf(Running_->receiveHttp()) == 200);
    CHECK(Target_->Runs_ == 1);
  }

  std::unique_ptr<FakeTarget> Target_;
  TestNode *Node_ = nullptr;
  OwnTarget Own_;
  std::optional<RawConnection> Running_;
  std::optional<RawConnection> Waiting_;
  /// Requests that expected an instance of another service.
  std::atomic<int> Misdirected_ = 0;
  std::mutex Mutex_;
  std::vector<std::shared_ptr<HttpExchange>> Held_;
};

} // namespace

// Guards against running a queued request on the target of another service that
// has taken over the address.
TEST_CASE_FIXTURE(WaitingCallFixture,
                  "queued call is refused when another service takes over") {
  fillSlotAndQueue();
  Own_.Service_ = "board";
  Own_.Instance_ = "i-2";
  Node_->Target_->onOwnTarget(Own_);
  checkWaitingIsRefused();
}

// Guards against writing a request to the target of another service after it
// waited for a connection, which happens behind the queue.
TEST_CASE_FIXTURE(
    WaitingCallFixture,
    "call that waits for a connection is refused when another service takes "
    "over") {
  fillSlotAndConnections();
  Own_.Service_ = "board";
  Own_.Instance_ = "i-2";
  Node_->Target_->onOwnTarget(Own_);
  checkWaitingIsRefused();
}

// Guards against sending queued requests to a target that is leaving without
// having reported so: only its entry is removed, and it ends some seconds
// later.
TEST_CASE_FIXTURE(WaitingCallFixture,
                  "queued call is refused when the target's entry is removed") {
  fillSlotAndQueue();
  Own_.Instance_.clear();
  Own_.Unlisted_ = true;
  Node_->Target_->onOwnTarget(Own_);
  checkWaitingIsRefused();
}

// Guards against the same behind the queue, where a request waits for a
// connection.
TEST_CASE_FIXTURE(
    WaitingCallFixture,
    "call that waits for a connection is refused when the target's entry is "
    "removed") {
  fillSlotAndConnections();
  Own_.Instance_.clear();
  Own_.Unlisted_ = true;
  Node_->Target_->onOwnTarget(Own_);
  checkWaitingIsRefused();
}

// Guards against the same for a target that reports that it is leaving.
TEST_CASE_FIXTURE(WaitingCallFixture,
                  "call that waits for a connection is refused when the target "
                  "is leaving") {
  fillSlotAndConnections();
  Own_.Leaving_ = true;
  Node_->Target_->onOwnTarget(Own_);
  checkWaitingIsRefused();
}

// Guards against a cold target that gets the starts of several seconds at once,
// because they waited for a connection.
TEST_CASE_FIXTURE(WaitingCallFixture,
                  "call that waits long for a connection is refused while the "
                  "target is cold") {
  Node_->Settings_.ColdExcess_ = 1;
  Node_->Settings_.ColdSlack_ = 100;
  config::ServiceModel Model = config::toModel(*View_.Snapshot_);
  Model.Services_.front().ColdRate_ = 50;
  Model.Services_.front().ColdTime_ = std::chrono::seconds(30);
  View_.Snapshot_ = config::buildSnapshot(std::move(Model), {1, 3});
  fillSlotAndConnections();
  std::this_thread::sleep_for(2 * admission::ColdStartLimiter::MaxSendTime_);
  answerHeld();
  CHECK(statusOf(Running_->receiveHttp()) == 200);
  REQUIRE(eventually([&] { return Node_->Target_->load().Running_ == 0; }));
  std::string Answer = Waiting_->receiveHttp();
  CHECK(statusOf(Answer) == 503);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "not-run");
  CHECK(Target_->Runs_ == 1);
}

// Guards against requests that reach a target of an evacuated failure domain
// because they waited when the evacuation became known.
TEST_CASE_FIXTURE(WaitingCallFixture,
                  "queued call is refused when an evacuation begins") {
  fillSlotAndQueue();
  Own_.Evacuated_ = true;
  Node_->Target_->onOwnTarget(Own_);
  checkWaitingIsRefused();
  CHECK(Node_->Metrics_.value(Metric::RefusedTotal, "evacuated") == 1);
}

// Guards against the same behind the queue, where a request waits for a
// connection.
TEST_CASE_FIXTURE(WaitingCallFixture,
                  "call that waits for a connection is refused when an "
                  "evacuation begins") {
  fillSlotAndConnections();
  Own_.Evacuated_ = true;
  Node_->Target_->onOwnTarget(Own_);
  checkWaitingIsRefused();
  CHECK(Node_->Metrics_.value(Metric::RefusedTotal, "evacuated") == 1);
}

// Guards against refusing queued requests that the next instance of the same
// service may run.
TEST_CASE_FIXTURE(WaitingCallFixture,
                  "queued call runs on the next instance of the service") {
  fillSlotAndQueue();
  Own_.Instance_ = "i-2";
  Node_->Target_->onOwnTarget(Own_);
  answerHeld();
  CHECK(statusOf(Running_->receiveHttp()) == 200);
  REQUIRE(eventually([&] { return heldCount() == 1; }));
  answerHeld();
  CHECK(statusOf(Waiting_->receiveHttp()) == 200);
}

// Guards against a run that is forgotten, and more runs than the target has
// slots: the run was admitted for a service that is missing from this node's
// configuration, and the target then changes to a service with one.
TEST_CASE_FIXTURE(WaitingCallFixture,
                  "run admitted before the service is configured keeps its "
                  "slot") {
  Own_.Service_ = "board";
  Node_->Target_->onOwnTarget(Own_);
  CallStart Start;
  Start.Service_ = "board";
  Start.Method_ = "POST";
  Start.Path_ = "/board";
  Start.Routed_ = true;
  Start.Remaining_ = Start.Objective_ = TestTimeout;
  std::atomic<bool> Ended = false;
  Node_->Target_->callLocal(
      Start, nullptr, [&](const transport::StreamResult &) { Ended = true; });
  REQUIRE(eventually([&] { return heldCount() == 1; }));
  Own_.Service_ = "desk";
  Node_->Target_->onOwnTarget(Own_);
  Waiting_.emplace(book());
  CHECK(eventually([&] { return Node_->Target_->load().Queued_ == 1; }));
  CHECK(Target_->Runs_ == 1);
  answerHeld();
  CHECK(eventually([&] { return Ended.load(); }));
  CHECK(eventually([&] { return heldCount() == 1; }));
  answerHeld();
  CHECK(statusOf(Waiting_->receiveHttp()) == 200);
}

// Guards against any order of changes of the target, free slots and new calls
// in which a request starts on a target that must not run it: one of another
// service, one that is leaving or one whose entry was removed.
TEST_CASE("random changes of the target start only what it may run") {
  forEachSeed(20, [](Random &Rng) {
    WaitingCallFixture Mesh;
    Mesh.configure(1 + static_cast<std::uint32_t>(Rng.below(3)),
                   1 + static_cast<std::uint32_t>(Rng.below(3)));
    TargetProxy &Proxy = *Mesh.Node_->Target_;
    std::atomic<int> Open = 0;
    auto Call = [&] {
      CallStart Start;
      Start.Service_ = Rng.chance(0.5) ? "desk" : "board";
      Start.Method_ = "POST";
      Start.Path_ = "/" + Start.Service_;
      Start.Routed_ = true;
      Start.Remaining_ = Start.Objective_ = TestTimeout;
      ++Open;
      Proxy.callLocal(std::move(Start), nullptr,
                      [&](const transport::StreamResult &) { --Open; });
    };
    auto Change = [&](int Step) {
      Mesh.Own_ = {};
      Mesh.Own_.Service_ = Rng.chance(0.7) ? "desk" : "board";
      Mesh.Own_.Unlisted_ = Rng.chance(0.2);
      Mesh.Own_.Leaving_ = !Mesh.Own_.Unlisted_ && Rng.chance(0.2);
      if (!Mesh.Own_.Unlisted_)
        Mesh.Own_.Instance_ = Mesh.Own_.Service_ + std::to_string(Step);
      Proxy.onOwnTarget(Mesh.Own_);
    };
    for (int Step = 0; Step < 60; ++Step) {
      if (Rng.chance(0.6))
        Call();
      else if (Rng.chance(0.5))
        Mesh.answerHeld();
      else
        Change(Step);
      if (!Mesh.Own_.Unlisted_ && !Mesh.Own_.Leaving_)
        continue;
      // What waited is refused, so that only the runs at the target are left.
      REQUIRE(eventually([&] {
        LoadReport Load = Proxy.load();
        return Load.Queued_ == 0 && Load.Running_ == Mesh.heldCount();
      }));
      int Runs = Mesh.Target_->Runs_;
      Call();
      Mesh.answerHeld();
      REQUIRE(eventually([&] { return Open == 0; }));
      CHECK(Mesh.Target_->Runs_ == Runs);
    }
    REQUIRE(eventually([&] {
      Mesh.answerHeld();
      return Open == 0;
    }));
    CHECK(Mesh.Misdirected_ == 0);
  });
}

} // namespace marigold::node
