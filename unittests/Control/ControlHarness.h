#pragma once

#include "Node/ControlCore.h"
#include "Node/SourceClient.h"
#include "Support/SettingsParser.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace marigold::node {

/// Simulated source (platform configuration service).
struct FakeSource {
  /// Revision of the configuration text.
  std::uint64_t Index_ = 0;
  std::string Text_;
  bool Down_ = false;
  std::size_t Calls_ = 0;
  std::size_t TextFetches_ = 0;
  /// The platform's target list; empty for a platform that does not list
  /// targets.
  std::optional<std::vector<ListedTarget>> Targets_ = {};
  /// Evacuated failure domains, sorted.
  std::vector<std::string> Evacuated_ = {};
  /// Revision of the target list.
  std::uint64_t Revision_ = 0;
  /// Nodes that cannot reach the source.
  std::set<unsigned> UnreachableNodes_ = {};
};

/// Returns a configuration text of mesh "test" with one service that has the
/// given number of slots.
std::string textWithSlots(unsigned Slots, unsigned Epoch = 1);

/// Runs several ControlCore instances on a virtual clock. Delivers their
/// datagrams and synchronization requests to each other in order, without loss
/// or delay.
class ControlHarness {
public:
  /// One node of the harness.
  struct Node {
    NodeSettings Settings_;
    std::unique_ptr<ControlCore> Core_;
    bool Running_ = true;
    std::vector<ConfigVersion> Adopted_;
    std::vector<RefusedEvent> Refused_;
    std::vector<bool> BootstrapDone_;
    std::vector<Duration> Pauses_;
  };

  explicit ControlHarness(std::uint64_t Seed) : Rng_(Seed) {}

  /// Adds node Number in a failure domain. Nodes 1 and 2 are the seeds of all
  /// nodes.
  void add(unsigned Number, const std::string &FailureDomain);

  /// Changes the settings of nodes that are added afterwards.
  std::function<void(NodeSettings &)> Configure_ = [](NodeSettings &) {};

  /// Replaces a node by a new process without any state.
  void restart(unsigned Number);

  /// Advances the clock in steps of 50 ms and checks after each step that no
  /// node went back to an older version.
  void run(Duration Length);

  /// Stops delivery between the nodes in Side and all others. An empty Side
  /// heals the partition.
  void partition(std::set<unsigned> Side) { PartitionSide_ = std::move(Side); }

  /// Pauses or resumes a node. A paused node neither runs nor receives
  /// messages.
  void setPaused(unsigned Number, bool Paused) {
    Nodes_.at(Number).Running_ = !Paused;
  }

  /// Appends a line with the elapsed time to the transcript.
  void appendTranscript(const std::string &Line);

  /// Events that the nodes reported, one per line with the time since the
  /// start.
  const std::string &transcript() const { return Transcript_; }

  Node &node(unsigned Number) { return Nodes_.at(Number); }
  FakeSource &source() { return Source_; }
  TimePoint now() const { return Now_; }
  static HostId idOf(unsigned Number) { return {0x7f000000 + Number, 7400}; }

  /// Whether every running node uses this configuration revision.
  bool allHaveRevision(std::uint64_t Revision) const;

private:
  struct Message {
    unsigned From_;
    unsigned To_;
    std::function<void()> Deliver_;
  };

  HostRecord recordOf(unsigned Number, const std::string &FailureDomain);
  void recordEffects(unsigned Number, const ControlEffects &Effects);
  void applyEffects(unsigned Number, ControlEffects Effects);
  void callSource(unsigned Number, const distribution::SourceAction &Action);
  bool sourceAnswers(unsigned Number) const;
  membership::HostList listedHosts() const;
  void answerHosts();
  void deliver();
  bool connected(unsigned Left, unsigned Right) const;
  void checkVersionsIncrease(unsigned Number);

  Random Rng_;
  TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t Incarnation_ = 1000;
  std::map<unsigned, Node> Nodes_;
  std::deque<Message> Queue_;
  std::map<unsigned, std::vector<std::pair<std::uint64_t, TimePoint>>> Watches_;
  /// Pending reads of the host list, with the revision that each node already
  /// knows.
  std::map<unsigned, std::uint64_t> HostReads_;
  std::set<unsigned> PartitionSide_;
  FakeSource Source_;
  std::string Transcript_;
};

} // namespace marigold::node
