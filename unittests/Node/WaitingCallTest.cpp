// Requests that wait at the target's node, for a slot or for a connection,
// while the target beside the node changes.

#include "MeshFixture.h"

#include <doctest/doctest.h>

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
        Threads_.Io_,
        [this](const HttpRequest &, std::shared_ptr<HttpExchange> Exchange) {
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
    REQUIRE(eventually([&] { return Target_->Runs_ == 1; }));
    Waiting_.emplace(book());
    REQUIRE(eventually([&] { return Node_->Target_->load().Queued_ == 1; }));
  }

  /// Answers all requests that the target holds.
  void answerHeld() {
    std::lock_guard Lock(Mutex_);
    for (auto &Exchange : Held_)
      Exchange->respond(HttpResponse());
    Held_.clear();
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
  configure(2, 1);
  Node_->Target_->onOwnTarget(Own_);
  Running_.emplace(book());
  REQUIRE(eventually([&] { return Target_->Runs_ == 1; }));
  Waiting_.emplace(book());
  REQUIRE(eventually([&] { return Node_->Target_->load().Running_ == 2; }));
  Own_.Service_ = "board";
  Own_.Instance_ = "i-2";
  Node_->Target_->onOwnTarget(Own_);
  checkWaitingIsRefused();
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
  REQUIRE(eventually([&] { return Target_->Runs_ == 2; }));
  answerHeld();
  CHECK(statusOf(Waiting_->receiveHttp()) == 200);
}

} // namespace marigold::node
