#include "Mesh/InMemoryMesh.h"
#include "TestSeed.h"

#include <doctest/doctest.h>

namespace marigold::testing {

using namespace std::chrono_literals;

namespace {

struct MeshMembershipFixture {
  void expectNoViolation(const InMemoryMesh &Mesh) {
    for (const std::string &Violation : Mesh.Violations_)
      FAIL_CHECK(Violation);
  }
};

} // namespace

// Guards against false deaths in a healthy mesh of each size.
TEST_CASE_FIXTURE(MeshMembershipFixture,
                  "mesh without faults agrees and declares nobody dead") {
  for (std::size_t Nodes : {2, 3, 5, 20, 50}) {
    std::uint64_t Seed = testSeed(100 + Nodes);
    CAPTURE(Seed);
    CAPTURE(Nodes);
    InMemoryMesh Mesh(Nodes, Seed);
    Mesh.publish();
    Mesh.run(60s);
    CHECK(Mesh.FalseDeaths_ == 0);
    CHECK(Mesh.hostTablesAgree());
    expectNoViolation(Mesh);
  }
}

// A third of the hosts fails at the same time and returns as new processes.
// Guards against failures that go undetected and restarted hosts that stay
// dead.
TEST_CASE_FIXTURE(
    MeshMembershipFixture,
    "mesh detects the failure and the return of a third of its hosts") {
  std::uint64_t Seed = testSeed(201);
  CAPTURE(Seed);
  InMemoryMesh Mesh(30, Seed);
  Mesh.publish();
  Mesh.run(30s);
  for (std::size_t Node = 0; Node < 30; Node += 3)
    Mesh.crash(Node);
  Mesh.run(60s);
  CHECK(Mesh.Deaths_.size() == 10);
  CHECK(Mesh.hostTablesAgree());
  for (std::size_t Node = 0; Node < 30; Node += 3)
    Mesh.start(Node);
  Mesh.run(60s);
  CHECK(Mesh.hostTablesAgree());
  CHECK(Mesh.FalseDeaths_ == 0);
  expectNoViolation(Mesh);
}

// A process stopped for longer than the suspicion timeout sees no answers and
// may wrongly declare other hosts dead. It is declared dead itself and must be
// accepted again.
TEST_CASE_FIXTURE(MeshMembershipFixture,
                  "mesh accepts a node again after a long pause") {
  std::uint64_t Seed = testSeed(202);
  CAPTURE(Seed);
  InMemoryMesh Mesh(10, Seed);
  Mesh.publish();
  Mesh.run(30s);
  Mesh.pause(4, 20s);
  Mesh.run(20s);
  CHECK(Mesh.nodesSeeing(4, HostState::Dead) == 9);
  std::size_t Deaths = Mesh.FalseDeaths_;
  Mesh.run(40s);
  CHECK(Mesh.FalseDeaths_ == Deaths);
  CHECK(Mesh.hostTablesAgree());
  expectNoViolation(Mesh);
}

// Guards against dead records from one side of a partition that spread to hosts
// which are alive, and against sides that do not find each other again.
TEST_CASE_FIXTURE(MeshMembershipFixture,
                  "mesh after a partition heals without further deaths") {
  std::uint64_t Seed = testSeed(203);
  CAPTURE(Seed);
  InMemoryMesh Mesh(20, Seed);
  Mesh.publish();
  Mesh.run(30s);
  for (std::size_t Node = 0; Node < 10; ++Node)
    Mesh.setGroup(Node, 1);
  Mesh.run(120s);
  for (std::size_t Node = 0; Node < 10; ++Node)
    Mesh.setGroup(Node, 0);
  std::size_t Deaths = Mesh.FalseDeaths_;
  Mesh.run(90s);
  CHECK(Mesh.FalseDeaths_ == Deaths);
  CHECK(Mesh.hostTablesAgree());
  expectNoViolation(Mesh);
}

// Guards against an isolated node that declares all other hosts dead.
TEST_CASE_FIXTURE(MeshMembershipFixture,
                  "mesh in which an isolated node declares no host dead") {
  std::uint64_t Seed = testSeed(204);
  CAPTURE(Seed);
  InMemoryMesh Mesh(10, Seed);
  Mesh.publish();
  Mesh.run(30s);
  Mesh.setGroup(7, 1);
  Mesh.run(60s);
  CHECK(Mesh.nodesSeeing(7, HostState::Dead) == 9);
  CHECK(Mesh.node(7).Table_.countByState()[std::size_t(HostState::Dead)] == 0);
  CHECK(Mesh.node(7).Probes_.isDegraded());
  Mesh.setGroup(7, 0);
  Mesh.run(60s);
  CHECK(Mesh.hostTablesAgree());
  expectNoViolation(Mesh);
}

// Guards against views that stay different when hosts restart during a
// partition with packet loss.
TEST_CASE_FIXTURE(MeshMembershipFixture,
                  "mesh with restarts during a lossy partition agrees later") {
  for (std::uint64_t Number : {1, 2, 3}) {
    std::uint64_t Seed = testSeed(300 + Number);
    CAPTURE(Seed);
    InMemoryMesh Mesh(15, Seed);
    Mesh.Faults_ = {0.1, 0.1, 0.02, 1ms, 200ms};
    Mesh.publish();
    Mesh.run(30s);
    for (std::size_t Node = 0; Node < 6; ++Node)
      Mesh.setGroup(Node, 1);
    Mesh.run(30s);
    for (std::size_t Node : {2, 9, 11})
      Mesh.crash(Node);
    Mesh.run(20s);
    for (std::size_t Node : {2, 9})
      Mesh.start(Node);
    Mesh.run(20s);
    for (std::size_t Node = 0; Node < 6; ++Node)
      Mesh.setGroup(Node, 0);
    Mesh.Faults_ = {};
    Mesh.run(180s);
    CHECK(Mesh.hostTablesAgree());
    expectNoViolation(Mesh);
  }
}

} // namespace marigold::testing
