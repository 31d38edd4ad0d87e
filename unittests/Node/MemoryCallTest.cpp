// Calls whose body, or answer, finds no memory at a node.

#include "MeshFixture.h"

#include <doctest/doctest.h>

namespace marigold::node {

namespace {

constexpr std::uint64_t Bound = 10'000'000;

struct MemoryMeshFixture : MeshFixture {
  MemoryMeshFixture() {
    View_.Configure_ = [](NodeSettings &Settings) {
      Settings.MemoryLimit_ = 20;
      Settings.RedirectRatio_ = 1;
    };
  }

  /// Leaves no memory for bodies at a node.
  static transport::MemoryReservationPtr fill(TestNode &Node) {
    auto Memory = transport::reserveMemory(
        Node.Memory_, transport::MemoryUse::Answers, Bound - 100'000,
        std::chrono::steady_clock::now());
    REQUIRE(Memory);
    return std::move(Memory.value());
  }

  static bool nothingReserved(const TestNode &Node) {
    return eventually([&] {
      return Node.Memory_->reserved(transport::MemoryUse::Calls) == 0 &&
             Node.Memory_->reserved(transport::MemoryUse::Answers) == 0;
    });
  }

  const std::string Body_ = std::string(300'000, 'x');
};

} // namespace

// Guards against a caller that is refused although another node has memory,
// and against a refusal after something was sent to the target.
TEST_CASE_FIXTURE(MemoryMeshFixture,
                  "call that one node has no memory for runs at another") {
  FakeTarget Full(Threads_.Io_);
  FakeTarget Free(Threads_.Io_);
  TestNode &FullNode = addNode(Full.port());
  addNode(Free.port());
  TestNode &Caller = addCallerNode();
  auto Memory = fill(FullNode);
  for (int Number = 0; Number < 6; ++Number) {
    std::string Answer = request(Caller, "POST", "/bookings", Body_);
    CHECK(statusOf(Answer) == 200);
    CHECK(bodyOf(Answer) == Body_);
  }
  CHECK(Full.Runs_ == 0);
  CHECK(Free.Runs_ == 6);
}

TEST_CASE_FIXTURE(MemoryMeshFixture,
                  "call that no node has memory for is refused as not run") {
  FakeTarget Target(Threads_.Io_);
  TestNode &Owner = addNode(Target.port());
  TestNode &Caller = addCallerNode();
  auto Memory = fill(Owner);
  std::string Refused = request(Caller, "POST", "/bookings", Body_);
  CHECK(statusOf(Refused) == 503);
  CHECK(fieldOf(Refused, "x-marigold-outcome") == "not-run");
  CHECK(Target.Runs_ == 0);
  // Small requests are still served, and large ones once there is memory.
  CHECK(statusOf(request(Caller, "GET", "/shelf")) == 200);
  Memory.reset();
  CHECK(statusOf(request(Caller, "POST", "/bookings", Body_)) == 200);
  CHECK(nothingReserved(Owner));
  CHECK(nothingReserved(Caller));
}

// Guards against memory that is counted twice or never released on the way of a
// body and its answer.
TEST_CASE_FIXTURE(MemoryMeshFixture,
                  "bodies and answers leave nothing reserved behind") {
  FakeTarget Target(Threads_.Io_);
  TestNode &Owner = addNode(Target.port());
  TestNode &Caller = addCallerNode();
  // Fits once, not twice: 4 MB of the 8.75 MB for bodies and as much for the
  // answer.
  const std::string Large(4'000'000, 'x');
  for (int Round = 0; Round < 5; ++Round)
    for (TestNode *Node : {&Caller, &Owner}) {
      std::string Answer = request(*Node, "POST", "/bookings", Large);
      CHECK(statusOf(Answer) == 200);
      CHECK(bodyOf(Answer).size() == Large.size());
      CHECK(nothingReserved(Owner));
      CHECK(nothingReserved(Caller));
    }
}

} // namespace marigold::node
