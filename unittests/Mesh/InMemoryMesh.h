#pragma once

#include "Mesh/MeshNode.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace marigold::testing {

/// Network faults, as probabilities per datagram, and the range of delays.
struct MeshFaults {
  double Loss_ = 0;
  double Duplicate_ = 0;
  double Corrupt_ = 0;
  Duration MinDelay_ = std::chrono::milliseconds(1);
  Duration MaxDelay_ = std::chrono::milliseconds(8);
};

/// Instances of the state machines in one process with a virtual clock, and
/// checks of the invariants after each event.
class InMemoryMesh {
public:
  InMemoryMesh(std::size_t Nodes, std::uint64_t Seed,
               distribution::SourceMode Mode = distribution::SourceMode::Peers);

  /// Runs all events of the next Length.
  void run(Duration Length);

  /// Runs until all running nodes hold the version, at most Limit. Returns
  /// whether they do.
  bool converge(const ConfigVersion &Version, Duration Limit);

  /// Puts a valid text; Epoch 0 keeps the epoch.
  ConfigVersion publish(std::uint32_t Epoch = 0);
  /// Puts a text that every reader refuses.
  void publishInvalid();
  /// The source loses its history and restarts at a low index with the text
  /// that it now has.
  void loseHistory();

  void crash(std::size_t Node);
  void start(std::size_t Node);
  void pause(std::size_t Node, Duration Length);
  /// Nodes with different groups cannot reach each other.
  void setGroup(std::size_t Node, int Group) { Slots_[Node].Group_ = Group; }
  /// Sends bytes of no real sender to a node.
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
  /// Running nodes that hold the given state for a host.
  std::size_t nodesSeeing(std::size_t Of, HostState State) const;
  /// Whether every running node holds every running one to be ready and no
  /// other one to be alive.
  bool hostTablesAgree() const;

  MeshFaults Faults_;
  bool SourceDown_ = false;
  /// Counts of what happened.
  std::size_t SourceCalls_ = 0;
  std::size_t TextFetches_ = 0;
  std::size_t FalseDeaths_ = 0;
  std::size_t Datagrams_ = 0;
  std::size_t DatagramBytes_ = 0;
  /// First declaration of death by host since its crash.
  std::map<HostId, TimePoint> Deaths_;
  /// Broken invariants, empty in a correct run.
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
  // Runs Event at a node after a delay, later if it is paused, never if its
  // process ended meanwhile.
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

/// A small valid model whose content depends on Number.
config::ServiceModel makeModel(std::uint32_t Epoch, std::uint32_t Number);

} // namespace marigold::testing
