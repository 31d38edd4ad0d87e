#include "MeshFixture.h"

#include "Node/AdminServer.h"

#include <doctest/doctest.h>

namespace marigold::node {

namespace {

std::string keyField(const std::string &Key) {
  return "Idempotency-Key: " + Key + "\r\n";
}

} // namespace

// Guards against a booking that runs twice when two callers' nodes and the key
// owner's own caller port receive the same key.
TEST_CASE_FIXTURE(MeshFixture, "keyed call through any node runs once") {
  FakeTarget Target(Threads_.Io_);
  TestNode &Owner = addNode(Target.port());
  TestNode &Caller = addCallerNode();
  TestNode &Other = addCallerNode();
  std::string Field = keyField(newKey(Caller));
  for (TestNode *Node : {&Caller, &Other, &Owner, &Caller}) {
    std::string Answer = request(*Node, "POST", "/bookings", "seat 5", Field);
    CHECK(statusOf(Answer) == 200);
    CHECK(bodyOf(Answer) == "seat 5");
    CHECK(fieldOf(Answer, "x-marigold-outcome") == "ok");
  }
  CHECK(Target.Runs_ == 1);
  // A different request must not be accepted with the same key.
  std::string Answer = request(Other, "POST", "/bookings", "seat 6", Field);
  CHECK(statusOf(Answer) == 400);
  CHECK(Target.Runs_ == 1);
}

// Guards against losing the answer for a caller that disconnected, and against
// running its resent request again.
TEST_CASE_FIXTURE(MeshFixture,
                  "keyed call whose caller goes away can be resent") {
  Waiter<std::shared_ptr<transport::HttpExchange>> Held;
  FakeTarget Target(Threads_.Io_,
                    [&](const transport::HttpRequest &,
                        std::shared_ptr<transport::HttpExchange> Exchange) {
                      Held.set(std::move(Exchange));
                    });
  addNode(Target.port());
  TestNode &Caller = addCallerNode();
  std::string Field = keyField(newKey(Caller));
  std::shared_ptr<transport::HttpExchange> Exchange;
  {
    RawConnection Client(Caller.callerPort());
    Client.send("POST /bookings HTTP/1.1\r\nHost: desk\r\n" + Field +
                "Content-Length: 1\r\n\r\nx");
    Exchange = Held.take().value_or(nullptr);
    REQUIRE(Exchange);
  }
  std::string Answer = request(Caller, "POST", "/bookings", "x", Field);
  CHECK(statusOf(Answer) == 409);
  CHECK(fieldOf(Answer, "x-marigold-reason") == "key-in-progress");
  transport::HttpResponse Response;
  Response.Body_ = "booked";
  Exchange->respond(std::move(Response));
  CHECK(eventually([&] {
    return bodyOf(request(Caller, "POST", "/bookings", "x", Field)) == "booked";
  }));
  CHECK(Target.Runs_ == 1);
}

// Guards against a delayed duplicate that runs after not-run was reported.
TEST_CASE_FIXTURE(MeshFixture, "keyed call refused once never runs") {
  FakeTarget Target(Threads_.Io_);
  TestNode &Owner = addNode(Target.port());
  TestNode &Caller = addCallerNode();
  std::string Field = keyField(newKey(Caller));
  Owner.Environment_.Gate_ = CallGate::Closed;
  std::string Answer = request(Caller, "POST", "/bookings", "x", Field);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "not-run");
  Owner.Environment_.Gate_ = CallGate::Open;
  Answer = request(Caller, "POST", "/bookings", "x", Field);
  CHECK(fieldOf(Answer, "x-marigold-reason") == "key-released");
  CHECK(Target.Runs_ == 0);
}

// Guards against the outcome not-run for a key whose request may have run
// earlier.
TEST_CASE_FIXTURE(MeshFixture, "keyed call without its owner is unknown") {
  FakeTarget Target(Threads_.Io_);
  TestNode &Owner = addNode(Target.port());
  addNode(Target.port());
  TestNode &Caller = addCallerNode();
  std::string Key = Owner.Target_->issueKey("desk").value();
  Owner.Server_->stop();
  std::string Answer = request(Caller, "POST", "/bookings", "x", keyField(Key));
  CHECK(statusOf(Answer) == 502);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "unknown");
  CHECK(fieldOf(Answer, "x-marigold-reason") == "key-owner-unreachable");
  // The other host of the service must not run it.
  CHECK(Target.Runs_ == 0);
}

// Guards against a booking that runs twice: its first copy is on the way to the
// owner when the second one reaches a node that has just started.
TEST_CASE_FIXTURE(MeshFixture,
                  "keyed call at a node that is not ready is unknown") {
  FakeTarget Target(Threads_.Io_);
  TestNode &Owner = addNode(Target.port());
  TestNode &Caller = addCallerNode();
  std::string Field = keyField(Owner.Target_->issueKey("desk").value());
  Caller.Environment_.Gate_ = CallGate::Closed;
  std::string Answer = request(Caller, "POST", "/bookings", "x", Field);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "unknown");
  CHECK(fieldOf(Answer, "x-marigold-reason") == "key-owner-unreachable");
  Caller.Environment_.Gate_ = CallGate::Open;
  Answer = request(Caller, "POST", "/bookings", "x", Field);
  CHECK(statusOf(Answer) == 200);
  CHECK(Target.Runs_ == 1);
}

TEST_CASE_FIXTURE(MeshFixture, "admin server answers its paths") {
  MetricsRegistry Metrics;
  AdminServer Server(Threads_.Io_, Metrics);
  Waiter<bool> Drained;
  Metrics.add(Metric::AdmittedTotal, 5);
  Server.setStatus([](bool WithHosts) {
    return std::string(WithHosts ? "{\"hosts\":[]}" : "{}");
  });
  Server.setDrain([&] { Drained.set(true); });
  REQUIRE(Server.listen({Loopback, 0}));
  auto Ask = [&](const std::string &Line) {
    RawConnection Client(Server.port());
    Client.send(Line + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return Client.receiveHttp();
  };
  CHECK(bodyOf(Ask("GET /metrics")).find("marigold_admitted_total 5") !=
        std::string::npos);
  CHECK(bodyOf(Ask("GET /status")) == "{\"hosts\":[]}");
  CHECK(bodyOf(Ask("GET /status?hosts=0")) == "{}");
  CHECK(statusOf(Ask("GET /drain")) == 405);
  CHECK(statusOf(Ask("GET /else")) == 404);
  CHECK(statusOf(Ask("POST /drain")) == 202);
  CHECK(Drained.take().has_value());
  Threads_.stop();
}

// Guards against a caller that resends a booking which may have run, and is
// told by a stopping node that it has not.
TEST_CASE_FIXTURE(MeshFixture, "keyed call at a stopping node is unknown") {
  FakeTarget Target(Threads_.Io_);
  addNode(Target.port());
  TestNode &Caller = addCallerNode();
  std::string Field = keyField(newKey(Caller));
  CHECK(statusOf(request(Caller, "POST", "/bookings", "x", Field)) == 200);
  Caller.Callers_->refuseNewCalls();
  std::string Answer = request(Caller, "POST", "/bookings", "x", Field);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "unknown");
  CHECK(Target.Runs_ == 1);
}

} // namespace marigold::node
