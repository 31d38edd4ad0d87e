#include "Mesh/InMemoryMesh.h"
#include "Mesh/RandomFaults.h"
#include "TestSeed.h"

#include <doctest/doctest.h>

namespace marigold::testing {

using namespace std::chrono_literals;
using distribution::SourceMode;

namespace {

struct MeshDistributionFixture {
  void expectNoViolation(const InMemoryMesh &Mesh) {
    for (const std::string &Violation : Mesh.Violations_)
      FAIL_CHECK(Violation);
  }
};

} // namespace

// Guards against versions that take longer than the limit of 3 s to reach all
// nodes, and against reads of the source by too many nodes.
TEST_CASE_FIXTURE(MeshDistributionFixture,
                  "mesh adopts a published version within 3 s") {
  std::uint64_t Seed = testSeed(401);
  CAPTURE(Seed);
  InMemoryMesh Mesh(50, Seed);
  REQUIRE(Mesh.converge(Mesh.publish(), 15s));
  Mesh.run(30s);
  for (int Round = 0; Round < 5; ++Round) {
    std::size_t Fetches = Mesh.TextFetches_;
    CHECK(Mesh.converge(Mesh.publish(), 3s));
    Mesh.run(10s);
    CHECK(Mesh.TextFetches_ - Fetches <= 3);
  }
  expectNoViolation(Mesh);
}

// Guards against a restart of all nodes that makes all of them read the source
// at the same time.
TEST_CASE_FIXTURE(
    MeshDistributionFixture,
    "mesh after a restart of all nodes reads the source few times") {
  std::uint64_t Seed = testSeed(402);
  CAPTURE(Seed);
  InMemoryMesh Mesh(40, Seed);
  ConfigVersion Version = Mesh.publish();
  Mesh.run(30s);
  for (std::size_t Node = 0; Node < 40; ++Node)
    Mesh.crash(Node);
  Mesh.run(1s);
  std::size_t Before = Mesh.SourceCalls_;
  for (std::size_t Node = 0; Node < 40; ++Node)
    Mesh.start(Node);
  CHECK(Mesh.converge(Version, 12s));
  CHECK(Mesh.SourceCalls_ - Before < 40);
  expectNoViolation(Mesh);
}

// Guards against a version that is lost during an outage of the source, and
// against a burst of reads when the source returns.
TEST_CASE_FIXTURE(MeshDistributionFixture,
                  "mesh keeps its version while the source is down") {
  std::uint64_t Seed = testSeed(403);
  CAPTURE(Seed);
  InMemoryMesh Mesh(20, Seed);
  Mesh.publish();
  Mesh.run(30s);
  Mesh.SourceDown_ = true;
  std::size_t Before = Mesh.SourceCalls_;
  Mesh.run(120s);
  CHECK(Mesh.node(3).Confirmation_.age(Mesh.now()) > 100s);
  CHECK(Mesh.SourceCalls_ - Before < 20 * 120 / 2);
  Mesh.SourceDown_ = false;
  ConfigVersion Version = Mesh.publish();
  CHECK(Mesh.converge(Version, 60s));
  expectNoViolation(Mesh);
}

// Guards against a return to an older version. A source that lost its history
// offers low indexes; nodes must keep their version, even across restarts,
// until the epoch in the text is raised.
TEST_CASE_FIXTURE(MeshDistributionFixture,
                  "mesh ignores a source without history until a new epoch") {
  std::uint64_t Seed = testSeed(404);
  CAPTURE(Seed);
  InMemoryMesh Mesh(20, Seed);
  for (int Count = 0; Count < 5; ++Count)
    Mesh.publish();
  Mesh.run(30s);
  ConfigVersion Held = Mesh.highest();
  REQUIRE(Held.Revision_ == 5);
  Mesh.loseHistory();
  Mesh.run(10s);
  for (std::size_t Node : {0, 5, 6, 7, 11}) {
    Mesh.crash(Node);
    Mesh.run(1s);
    Mesh.start(Node);
  }
  CHECK(Mesh.converge(Held, 20s));
  std::uint64_t Refused = 0;
  for (std::size_t Node = 0; Node < 20; ++Node)
    Refused += Mesh.node(Node).Store_.counts().Older_;
  CHECK(Refused > 0);
  ConfigVersion Raised = Mesh.publish(2);
  REQUIRE(Raised.Revision_ < Held.Revision_);
  CHECK(Mesh.converge(Raised, 10s));
  expectNoViolation(Mesh);
}

// Guards against a new epoch that goes unnoticed because the index of the new
// history equals that of the current version.
TEST_CASE_FIXTURE(MeshDistributionFixture,
                  "mesh adopts a new epoch at the index of the held version") {
  std::uint64_t Seed = testSeed(405);
  CAPTURE(Seed);
  InMemoryMesh Mesh(12, Seed);
  Mesh.publish();
  Mesh.publish();
  Mesh.run(30s);
  Mesh.loseHistory();
  Mesh.run(10s);
  ConfigVersion Raised = Mesh.publish(2);
  REQUIRE(Raised == ConfigVersion{2, 2});
  CHECK(Mesh.converge(Raised, 15s));
  expectNoViolation(Mesh);
}

// Guards against an invalid text that is adopted, goes unreported at some
// nodes, or blocks the next valid text.
TEST_CASE_FIXTURE(
    MeshDistributionFixture,
    "mesh reports an invalid text at all nodes and keeps its version") {
  std::uint64_t Seed = testSeed(406);
  CAPTURE(Seed);
  InMemoryMesh Mesh(20, Seed);
  ConfigVersion Held = Mesh.publish();
  Mesh.run(30s);
  std::size_t Fetches = Mesh.TextFetches_;
  Mesh.publishInvalid();
  Mesh.run(5s);
  CHECK(Mesh.highest() == Held);
  CHECK(Mesh.TextFetches_ - Fetches <= 3);
  for (std::size_t Node = 0; Node < 20; ++Node) {
    const auto &Refused = Mesh.node(Node).Store_.lastRefusal();
    REQUIRE(Refused);
    CHECK(Refused->Version_.Revision_ == 2);
  }
  CHECK(Mesh.converge(Mesh.publish(), 3s));
  CHECK_FALSE(Mesh.node(1).Store_.lastRefusal());
  expectNoViolation(Mesh);
}

// Guards against updates that stop when all readers fail at the same time: the
// other nodes must notice by the age of the last confirmation.
TEST_CASE_FIXTURE(MeshDistributionFixture,
                  "mesh without its readers reads the source within 25 s") {
  std::uint64_t Seed = testSeed(407);
  CAPTURE(Seed);
  InMemoryMesh Mesh(30, Seed);
  Mesh.publish();
  Mesh.run(30s);
  for (std::size_t Node = 0; Node < 30; ++Node)
    if (Mesh.node(Node).Source_.isReader(Mesh.now()))
      Mesh.crash(Node);
  ConfigVersion Version = Mesh.publish();
  Mesh.run(25s);
  CHECK(Mesh.converge(Version, 3s));
  expectNoViolation(Mesh);
}

// The baseline for measurements must read the text exactly once per node.
TEST_CASE_FIXTURE(MeshDistributionFixture,
                  "mesh in mode every-node fetches at each node") {
  std::uint64_t Seed = testSeed(408);
  CAPTURE(Seed);
  InMemoryMesh Mesh(10, Seed, SourceMode::EveryNode);
  Mesh.publish();
  Mesh.run(30s);
  std::size_t Fetches = Mesh.TextFetches_;
  CHECK(Mesh.converge(Mesh.publish(), 3s));
  Mesh.run(10s);
  CHECK(Mesh.TextFetches_ - Fetches == 10);
  expectNoViolation(Mesh);
}

// Guards the invariants and convergence against random sequences of host
// failures and restarts, source outages, loss of the source's history, pauses,
// partitions and invalid texts. Messages are lost, duplicated, reordered,
// delayed, corrupted and forged.
TEST_CASE("mesh under random faults keeps its invariants and converges") {
  for (std::uint64_t Number = 0; Number < 12; ++Number) {
    std::uint64_t Seed = testSeed(500 + Number);
    CAPTURE(Seed);
    for (const std::string &Broken : runRandomFaults(Seed, 40))
      FAIL_CHECK(Broken);
  }
}

} // namespace marigold::testing
