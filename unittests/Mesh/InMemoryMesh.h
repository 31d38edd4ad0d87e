#pragma once

#include "Mesh/MeshNode.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace marigold::testing {

/// Network faults: probabilities per datagram, and the range of delays.
struct MeshFaults {
  double Loss_ = 0;
  double Duplicate_ = 0;
  double Corrupt_ = 0;
  Duration MinDelay_ = std::chrono::milliseconds(1);
  Duration MaxDelay_ = std::chrono::milliseconds(8);
};

/// Simulates a mesh of nodes and their source in one process on a virtual
/// clock. Checks the version invariants after every event at a node.
class InMemoryMesh {
public:
  InMemoryMesh(std::size_t Nodes, std::uint64_t Seed,
               distribution::SourceMode Mode = distribution::SourceMode::Peers);

  /// Advances the clock by Length and runs all events that become due.
  void run(Duration Length);

  /// Runs until all running nodes hold the version, but at most for Limit.
  /// Returns whether they do.
  bool converge(const ConfigVersion &Version, Duration Limit);

  /// Publishes a valid text at the source and returns its version. Epoch 0
  /// keeps the current epoch.
  ConfigVersion publish(std::uint32_t Epoch = 0);
  /// Publishes a text that every reader refuses.
  void publishInvalid();
  /// Simulates a source that loses its history: restarts at index 1 with a new
  /// valid text.
  void loseHistory();

  void crash(std::size_t Node);
  void start(std::size_t Node);
  void pause(std::size_t Node, Duration Length);
  /// Puts a node into a partition. Nodes in different groups cannot reach each
  /// other.
  void setGroup(std::size_t Node, int Group) { Slots_[Node].Group_ = Group; }
  /// Sends a datagram without a real sender to a node.
  void inject(std::size_t Node, std::string Bytes) {
    deliver(Node, std::move(Bytes));
  }

  bool isUp(std::size_t Node) const { return Slots_[Node].Node_ != nullptr; }
  MeshNode &node(std::size_t Node) { return *Slots_[Node].Node_; }
  std::size_t size() const { return Slots_.size(); }
  HostId idOf(std::size_t Node) const;
  TimePoint now() const { return Now_; }
  /// Highest version held by a running node.
  ConfigVersion highest() const;
  /// Number of running nodes whose host table has the given state for a host.
  std::size_t nodesSeeing(std::size_t Of, HostState State) const;
  /// Whether the host table of every running node lists all running nodes as
  /// ready and no other node as alive.
  bool hostTablesAgree() const;

  MeshFaults Faults_;
  bool SourceDown_ = false;
  /// Event counters since construction.
  std::size_t SourceCalls_ = 0;
  std::size_t TextFetches_ = 0;
  std::size_t FalseDeaths_ = 0;
  std::size_t Datagrams_ = 0;
  std::size_t DatagramBytes_ = 0;
  /// Time of the first death declaration of each host since its crash.
  std::map<HostId, TimePoint> Deaths_;
  /// Descriptions of violated invariants; empty in a correct run.
  std::vector<std::string> Violations_;

private:
  struct Slot {
    std::unique_ptr<MeshNode> Node_;
    TimePoint PausedUntil_;
    int Group_ = 0;
    std::uint64_t StartCount_ = 0;
    ConfigVersion LastVersion_;
  };
  struct Watch {
    std::size_t Node_;
    std::uint64_t Index_;
    std::uint64_t StartCount_;
  };

  void schedule(Duration Delay, std::function<void()> Event);
  // Runs Event at a node after Delay. Defers it while the node is paused and
  // drops it if the node has crashed or restarted in the meantime.
  void scheduleAtNode(std::size_t Node, Duration Delay,
                      std::function<void(MeshNode &)> Event);
  void scheduleTick(std::size_t Node);
  void deliver(std::size_t Node, std::string Bytes);
  void sendDatagram(std::size_t From, const HostId &To, std::string Bytes);
  void sendSync(std::size_t From, const HostId &To, const SyncRequest &Request);
  void callSource(std::size_t From, const distribution::SourceAction &Action);
  void answerWatch(const Watch &Waiting);
  void changeSource(config::SnapshotPointer Text);
  void checkInvariants(std::size_t Node);
  bool reaches(std::size_t From, std::size_t To) const;
  std::size_t indexOf(const HostId &Id) const;
  Duration delay();
  void corrupt(std::string &Bytes);

  Random Rng_;
  distribution::SourceMode Mode_;
  TimePoint Now_;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Events_;
  std::uint64_t NextEvent_ = 0;
  std::vector<Slot> Slots_;
  std::map<std::uint64_t, Watch> Watches_;
  std::uint64_t NextWatch_ = 0;
  config::SnapshotPointer Text_;
  std::uint64_t Index_ = 0;
  std::uint32_t Epoch_ = 1;
  std::uint32_t TextNumber_ = 0;
  std::set<std::pair<ConfigVersion, Digest128>> Published_;
};

/// Returns a small valid model whose content depends on Number.
config::ServiceModel makeModel(std::uint32_t Epoch, std::uint32_t Number);

} // namespace marigold::testing
