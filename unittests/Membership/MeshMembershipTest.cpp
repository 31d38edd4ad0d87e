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

// Guards against false deaths in a healthy mesh, for each size.
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

// F1: a third of the hosts fails at once and returns as new processes.
TEST_CASE_FIXTURE(MeshMembershipFixture,
                  "mesh after failure of a third finds all dead, then alive") {
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

// F5: a process that was stopped for longer than the suspicion timeout takes
// its own silence for the death of others, and is itself declared dead.
TEST_CASE_FIXTURE(MeshMembershipFixture,
                  "mesh after a long pause takes the paused node back") {
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

// F6: after a partition the dead records of both sides must not spread over
// hosts that are alive, and both sides must find each other again.
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

// A node that is cut off alone must not declare the others dead (guard).
TEST_CASE_FIXTURE(MeshMembershipFixture,
                  "mesh with one isolated node keeps its view there") {
  std::uint64_t Seed = testSeed(204);
  CAPTURE(Seed);
  InMemoryMesh Mesh(10, Seed);
  Mesh.publish();
  Mesh.run(30s);
  Mesh.setGroup(7, 1);
  Mesh.run(60s);
  CHECK(Mesh.nodesSeeing(7, HostState::Dead) == 9);
  CHECK(Mesh.node(7).Table_.countByState()[std::size_t(HostState::Dead)] == 0);
  CHECK(Mesh.node(7).Probes_.distrustsItself());
  Mesh.setGroup(7, 0);
  Mesh.run(60s);
  CHECK(Mesh.hostTablesAgree());
  expectNoViolation(Mesh);
}

// F6 and F1 together, with loss: restarts during a partition.
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
