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

/// The source as the nodes under test see it.
struct FakeSource {
  std::uint64_t Index_ = 0;
  std::string Text_;
  bool Down_ = false;
  std::size_t Calls_ = 0;
  std::size_t TextFetches_ = 0;
  /// The list of targets, its revision, and that of the configuration then;
  /// nothing on a platform without one.
  std::optional<std::vector<ListedTarget>> Targets_ = {};
  std::uint64_t Revision_ = 0;
  /// Nodes that the source does not answer.
  std::set<unsigned> UnreachableNodes_ = {};
};

/// A text of mesh "test" with one service whose number of slots is given.
std::string textWithSlots(unsigned Slots, unsigned Epoch = 1);

/// A few control cores whose effects are delivered to each other in order,
/// with one step of time between them. Only as much as the tests of the
/// joined decisions need.
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

  /// Adds node number Number in a failure domain; the first two nodes are the
  /// seeds of all.
  void add(unsigned Number, const std::string &FailureDomain);

  /// Settings of the nodes that are added from now on.
  std::function<void(NodeSettings &)> Configure_ = [](NodeSettings &) {};

  /// Replaces a node by a new process that holds nothing.
  void restart(unsigned Number);

  /// Lets time pass in steps of 50 ms and checks after each that no node goes
  /// back.
  void run(Duration Length);

  /// Stops or starts the delivery between two groups of nodes.
  void partition(std::set<unsigned> Side) { PartitionSide_ = std::move(Side); }

  /// A node takes no part while it is paused.
  void setPaused(unsigned Number, bool Paused) {
    Nodes_.at(Number).Running_ = !Paused;
  }

  /// Writes a line of the session's transcript.
  void appendTranscript(const std::string &Line);

  /// Everything that nodes reported, one line each with the time since the
  /// start.
  const std::string &transcript() const { return Transcript_; }

  Node &node(unsigned Number) { return Nodes_.at(Number); }
  FakeSource &source() { return Source_; }
  TimePoint now() const { return Now_; }
  static HostId idOf(unsigned Number) { return {0x7f000000 + Number, 7400}; }

  /// Whether every running node has this revision in force.
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
  /// Reads of the list under way with the revision that each node had from the
  /// one before.
  std::map<unsigned, std::uint64_t> HostReads_;
  std::set<unsigned> PartitionSide_;
  FakeSource Source_;
  std::string Transcript_;
};

} // namespace marigold::node
