// Calls whose target reports how much its host slows runs down.

#include "MeshFixture.h"

#include <doctest/doctest.h>

namespace marigold::node {

using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr const char *LoadField = "x-load";

/// A target with one slot that reports its load. It holds requests to /bookings
/// while the test says so and answers all others.
struct PlacementCallFixture : MeshFixture {
  PlacementCallFixture() {
    View_.HeaderNames_.TargetLoad_ = LoadField;
    config::ServiceModel Model = config::toModel(*View_.Snapshot_);
    Model.Services_.front().Slots_ = 1;
    View_.Snapshot_ = config::buildSnapshot(std::move(Model), {1, 2});
    Target_ = std::make_unique<FakeTarget>(
        Threads_.Io_, [this](const HttpRequest &Request,
                             std::shared_ptr<HttpExchange> Exchange) {
          std::lock_guard Lock(Mutex_);
          if (Request.Target_.starts_with("/bookings") && Hold_)
            Held_.push_back(std::move(Exchange));
          else
            answer(*Exchange);
        });
  }
  ~PlacementCallFixture() {
    Threads_.stop();
    Nodes_.clear();
    Held_.clear();
    Target_.reset();
  }

  void answer(HttpExchange &Exchange) const {
    HttpResponse Response;
    Response.Headers_ = {{LoadField, Load_}};
    Exchange.respond(std::move(Response));
  }
  void answerHeld() {
    std::lock_guard Lock(Mutex_);
    for (auto &Exchange : Held_)
      answer(*Exchange);
    Held_.clear();
    Hold_ = false;
  }

  std::size_t heldCount() {
    std::lock_guard Lock(Mutex_);
    return Held_.size();
  }

  std::unique_ptr<FakeTarget> Target_;
  std::string Load_ = "1,0,1,250";
  std::mutex Mutex_;
  std::vector<std::shared_ptr<HttpExchange>> Held_;
  bool Hold_ = false;
};

} // namespace

TEST_CASE_FIXTURE(PlacementCallFixture,
                  "target reports slowdown, node sees it") {
  TestNode &Node = addNode(Target_->port());
  CHECK(statusOf(request(Node, "GET", "/a")) == 200);
  CHECK(Node.Metrics_.total(Metric::TargetSlowdownPercent) == 250);
  CHECK(Node.Target_->load().Slowdown_ != 0);
}

TEST_CASE_FIXTURE(PlacementCallFixture, "malformed load, nothing is learned") {
  Load_ = "1,0,1,fast";
  TestNode &Node = addNode(Target_->port());
  CHECK(statusOf(request(Node, "GET", "/a")) == 200);
  CHECK(Node.Target_->load().Slowdown_ == 0);
}

// A busy target declines the offer of a request, and the other one runs it
// once.
TEST_CASE_FIXTURE(PlacementCallFixture,
                  "busy target, offer is declined without a run") {
  TestNode &Busy = addNode(Target_->port());
  for (int Call = 0; Call < 8; ++Call)
    REQUIRE(statusOf(request(Busy, "POST", "/bookings/1")) == 200);
  {
    std::lock_guard Lock(Mutex_);
    Hold_ = true;
  }
  CallStart Start;
  Start.Service_ = "desk";
  Start.Method_ = "POST";
  Start.Path_ = "/bookings/1";
  Start.Remaining_ = std::chrono::seconds(30);
  Start.Objective_ = std::chrono::seconds(10);
  Start.Routed_ = true;
  auto Body = std::make_shared<const std::string>();
  Busy.Target_->callLocal(Start, Body, [](transport::StreamResult) {});
  // A run counts as running before the target has received it.
  REQUIRE(eventually([&] { return heldCount() == 1; }));
  REQUIRE(Busy.Target_->load().Running_ == 1);
  REQUIRE(Busy.Target_->load().ExpectedWait_.count() > 0);
  Start.MaxWait_ = std::chrono::microseconds(1);
  std::atomic<unsigned> Code = 0;
  Busy.Target_->callLocal(Start, Body, [&](transport::StreamResult Value) {
    if (auto *Refusal = std::get_if<CallRefused>(&Value))
      Code = Refusal->Code_;
  });
  CHECK(eventually(
      [&] { return Code == static_cast<unsigned>(ErrorCode::TargetBusy); }));
  int Before = Target_->Runs_;
  answerHeld();
  CHECK(eventually([&] { return Busy.Target_->load().Running_ == 0; }));
  CHECK(Target_->Runs_ == Before);
}

} // namespace marigold::node
