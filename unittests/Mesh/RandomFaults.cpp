#include "Mesh/RandomFaults.h"

#include "Mesh/InMemoryMesh.h"
#include "Support/Archive.h"

namespace marigold::testing {

using namespace std::chrono_literals;

namespace {

// Injects a record of an existing host that this host never sent.
void injectForgedNotice(InMemoryMesh &Mesh, Random &Rng) {
  std::size_t Of = Rng.below(Mesh.size());
  std::size_t To = Rng.below(Mesh.size());
  if (!Mesh.isUp(Of) || !Mesh.isUp(To))
    return;
  HostRecord Record = Mesh.node(Of).Probes_.ownRecord();
  Record.Incarnation_ += Rng.below(3);
  Record.Sequence_ += static_cast<std::uint32_t>(Rng.below(3));
  Record.State_ = static_cast<HostState>(Rng.below(HostStateCount));
  Record.Service_ = Rng.chance(0.5) ? Record.Service_ : "forged";
  Mesh.inject(To, encodeMessage(HostStateNotice{Record}));
}

void changeSource(InMemoryMesh &Mesh, Random &Rng) {
  if (Rng.chance(0.1))
    Mesh.loseHistory();
  else if (Rng.chance(0.2))
    Mesh.publish(Mesh.highest().Epoch_ + 1);
  else if (Rng.chance(0.3))
    Mesh.publishInvalid();
  else
    Mesh.publish();
}

void changeNode(InMemoryMesh &Mesh, Random &Rng) {
  std::size_t Node = Rng.below(Mesh.size());
  if (Rng.chance(0.3))
    Mesh.pause(Node, Rng.upTo(20s));
  else if (Rng.chance(0.4))
    Mesh.setGroup(Node, static_cast<int>(Rng.below(2)));
  else if (!Mesh.isUp(Node))
    Mesh.start(Node);
  else
    Mesh.crash(Node);
}

} // namespace

std::vector<std::string> runRandomFaults(std::uint64_t Seed,
                                         std::size_t Steps) {
  Random Rng(Seed);
  InMemoryMesh Mesh(5 + Rng.below(20), Seed);
  Mesh.Faults_ = {0.2, 0.2, 0.05, 1ms, 500ms};
  Mesh.publish();
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    switch (Rng.below(4)) {
    case 0:
      changeSource(Mesh, Rng);
      break;
    case 1:
      injectForgedNotice(Mesh, Rng);
      break;
    case 2:
      changeNode(Mesh, Rng);
      break;
    default:
      Mesh.SourceDown_ = Rng.chance(0.3);
      break;
    }
    Mesh.run(Rng.upTo(5s));
  }
  Mesh.Faults_ = {};
  Mesh.SourceDown_ = false;
  for (std::size_t Node = 0; Node < Mesh.size(); ++Node) {
    Mesh.setGroup(Node, 0);
    if (!Mesh.isUp(Node))
      Mesh.start(Node);
  }
  Mesh.run(240s);
  std::vector<std::string> Violations = Mesh.Violations_;
  if (!Mesh.hostTablesAgree())
    Violations.push_back("views of hosts differ after healing");
  if (!Mesh.converge(Mesh.highest(), 1s))
    Violations.push_back("versions differ after healing");
  if (!Mesh.converge(Mesh.publish(Mesh.highest().Epoch_ + 1), 10s))
    Violations.push_back("a new version is not adopted after healing");
  return Violations;
}

} // namespace marigold::testing
