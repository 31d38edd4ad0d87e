#include "Ctl/FleetView.h"
#include "Support/Addresses.h"

#include <doctest/doctest.h>

namespace marigold::ctl {
namespace {

constexpr std::uint32_t Loopback = 0x7F000001;

struct FleetViewFixture {
  static Address admin(std::uint16_t Number) {
    return {Loopback, static_cast<std::uint16_t>(9000 + Number)};
  }

  static HostId host(std::uint16_t Number) {
    return {Loopback, static_cast<std::uint16_t>(7000 + Number)};
  }

  static HostEntry entry(std::uint16_t Number, HostState State,
                         std::uint64_t Incarnation = 1) {
    HostEntry Entry;
    Entry.Host_ = host(Number);
    Entry.Admin_ = admin(Number);
    Entry.State_ = State;
    Entry.Incarnation_ = Incarnation;
    return Entry;
  }

  static NodeStatus status(std::uint16_t Number, std::uint64_t Revision,
                           const std::string &Digest = "aa") {
    NodeStatus Status;
    Status.Host_ = host(Number);
    Status.State_ = HostState::Ready;
    Status.Version_ = {1, Revision};
    Status.Digest_ = Digest;
    return Status;
  }

  FleetView Fleet_{{admin(1)}};
  ConfigVersion Wanted_{1, 5};

  /// Records a status of the seed that lists these hosts.
  void reportHosts(std::vector<HostEntry> Hosts, std::uint64_t Revision = 5) {
    NodeStatus Seed = status(1, Revision);
    Seed.Hosts_ = std::move(Hosts);
    Fleet_.record(admin(1), Seed);
  }

  RolloutState::Verdict verdict() { return Fleet_.rollout(Wanted_).Verdict_; }

  static std::string names(const std::vector<const NodeView *> &Nodes) {
    std::string Text;
    for (const NodeView *Node : Nodes)
      Text += nodeName(*Node) + " ";
    return Text;
  }
};

using Verdict = RolloutState::Verdict;

} // namespace

// Guards against a wait that ends before every live node has been queried.
TEST_CASE_FIXTURE(FleetViewFixture,
                  "rollout waits for every listed live node") {
  CHECK(verdict() == Verdict::Pending);
  reportHosts({entry(2, HostState::Ready), entry(3, HostState::Suspect),
               entry(4, HostState::Starting), entry(5, HostState::Draining),
               entry(6, HostState::Dead), entry(7, HostState::Gone)});
  CHECK(verdict() == Verdict::Pending);
  CHECK(Fleet_.nodes().size() == 5);
  Fleet_.record(admin(2), status(2, 5));
  Fleet_.record(admin(3), status(3, 4));
  Fleet_.record(admin(4), fail(ErrorCode::TimedOut));
  // A later version supersedes the wanted one and counts as active.
  Fleet_.record(admin(5), status(5, 6));
  RolloutState State = Fleet_.rollout(Wanted_);
  CHECK(State.Verdict_ == Verdict::Pending);
  CHECK(State.Active_ == 3);
  CHECK(names(State.Lagging_) == "127.0.0.1:7003 ");
  CHECK(names(State.Unreachable_) == "127.0.0.1:7004 ");
  Fleet_.record(admin(3), status(3, 5));
  Fleet_.record(admin(4), status(4, 5));
  CHECK(verdict() == Verdict::Done);
}

// Guards against a wait that blocks on a dead node.
TEST_CASE_FIXTURE(FleetViewFixture, "node that becomes dead leaves the scope") {
  reportHosts({entry(2, HostState::Ready)});
  Fleet_.record(admin(2), fail(ErrorCode::ConnectionFailed));
  CHECK(verdict() == Verdict::Pending);
  reportHosts({entry(2, HostState::Dead)});
  CHECK(verdict() == Verdict::Done);
  // A node that answers is in scope even if others list it as dead.
  Fleet_.record(admin(2), status(2, 1));
  CHECK(verdict() == Verdict::Pending);
}

// Guards against losing live nodes when one seed, for example behind a network
// partition, lists them as dead.
TEST_CASE_FIXTURE(FleetViewFixture, "lists of two seeds are merged") {
  Fleet_ = FleetView({admin(1), admin(2)});
  NodeStatus First = status(1, 5);
  First.Hosts_ = {entry(3, HostState::Dead, 1), entry(4, HostState::Ready, 1)};
  NodeStatus Second = status(2, 5);
  Second.Hosts_ = {entry(3, HostState::Ready, 1), entry(4, HostState::Gone, 2)};
  Fleet_.record(admin(1), First);
  Fleet_.record(admin(2), Second);
  CHECK(names(Fleet_.rollout(Wanted_).Unreachable_) == "127.0.0.1:7003 ");
}

// Guards against ignoring a seed that no host list contains, and against a
// dead seed that blocks the wait.
TEST_CASE_FIXTURE(FleetViewFixture, "silent seed counts unless it is dead") {
  Fleet_ = FleetView({admin(1), admin(2)});
  reportHosts({});
  Fleet_.record(admin(2), fail(ErrorCode::ConnectionFailed));
  CHECK(names(Fleet_.rollout(Wanted_).Unreachable_) == "127.0.0.1:9002 ");
  reportHosts({entry(2, HostState::Dead)});
  CHECK(verdict() == Verdict::Done);
}

// Guards against waiting for a version that can never become active.
TEST_CASE_FIXTURE(FleetViewFixture, "refused text ends the wait") {
  struct Row {
    ConfigVersion Refused_;
    const char *Reason_;
    Verdict Expected_;
  };
  for (const Row &Entry :
       {Row{{1, 5}, "unknown-key", Verdict::Refused},
        // The epoch is 0 if the refused text could not be parsed.
        Row{{0, 5}, "text-syntax", Verdict::Refused},
        Row{{1, 4}, "unknown-key", Verdict::Pending},
        Row{{2, 5}, "unknown-key", Verdict::Pending},
        Row{{1, 5}, "digest-mismatch", Verdict::Pending}}) {
    CAPTURE(Entry.Reason_);
    NodeStatus Seed = status(1, 3);
    Seed.Refused_ = RefusedVersion{Entry.Refused_, Entry.Reason_};
    Fleet_.record(admin(1), Seed);
    CHECK(verdict() == Entry.Expected_);
  }
  // An earlier refusal is irrelevant once the version is active on the node.
  NodeStatus Seed = status(1, 5);
  Seed.Refused_ = RefusedVersion{{1, 5}, "unknown-key"};
  Fleet_.record(admin(1), Seed);
  CHECK(verdict() == Verdict::Done);
}

// Guards against missing that nodes hold different content under one version.
TEST_CASE_FIXTURE(FleetViewFixture, "different digests are a conflict") {
  reportHosts({entry(2, HostState::Ready)});
  Fleet_.record(admin(2), status(2, 5, "bb"));
  CHECK(verdict() == Verdict::Conflict);
  REQUIRE(Fleet_.conflicts().size() == 1);
  CHECK(Fleet_.conflicts()[0].Version_ == Wanted_);
  CHECK(Fleet_.conflicts()[0].Nodes_.size() == 2);
  // A conflict under an earlier version is reported but does not end the wait.
  NodeStatus Seed = status(1, 5);
  Seed.History_ = {{{1, 4}, "cc"}, {{1, 5}, "aa"}};
  NodeStatus Other = status(2, 5);
  Other.History_ = {{{1, 4}, "dd"}, {{1, 5}, "aa"}};
  Fleet_.record(admin(1), Seed);
  Fleet_.record(admin(2), Other);
  CHECK(Fleet_.conflicts().size() == 1);
  CHECK(verdict() == Verdict::Done);
}

// Guards against needless queries in a large fleet, and against a host list
// that is no longer updated when all seeds fail.
TEST_CASE_FIXTURE(FleetViewFixture, "next requests skip nodes that are done") {
  using Requests = std::vector<StatusRequest>;
  CHECK(Fleet_.nextRequests() == Requests{{admin(1), true}});
  reportHosts({entry(2, HostState::Ready), entry(3, HostState::Ready),
               entry(4, HostState::Dead)});
  Fleet_.record(admin(2), status(2, 5));
  Fleet_.record(admin(3), status(3, 4));
  CHECK(Fleet_.nextRequests() ==
        Requests{{admin(1), true}, {admin(2), false}, {admin(3), false}});
  CHECK(Fleet_.nextRequests(Wanted_) ==
        Requests{{admin(1), true}, {admin(3), false}});
  Fleet_.record(admin(1), fail(ErrorCode::ConnectionFailed));
  CHECK(Fleet_.nextRequests(Wanted_) ==
        Requests{{admin(1), true}, {admin(2), true}, {admin(3), true}});
}

} // namespace marigold::ctl
