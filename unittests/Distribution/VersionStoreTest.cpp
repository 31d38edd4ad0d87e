#include "Config/Limits.h"
#include "Distribution/PullPlanner.h"
#include "Distribution/SourceConfirmation.h"
#include "Distribution/SpreadPolicy.h"
#include "Mesh/InMemoryMesh.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace marigold::distribution {

using namespace std::chrono_literals;

namespace {

config::SnapshotPointer snapshot(std::uint32_t Epoch, std::uint64_t Revision,
                                 std::uint32_t Content) {
  return config::buildSnapshot(testing::makeModel(Epoch, Content),
                               {Epoch, Revision});
}

struct VersionStoreFixture {
  ErrorCode codeOf(const Result<void> &Outcome) {
    REQUIRE_FALSE(Outcome);
    return Outcome.error().Code_;
  }

  HostRecord record(std::uint32_t Number, const char *FailureDomain) {
    HostRecord Record;
    Record.Id_ = {Number, 7400};
    Record.Incarnation_ = 1;
    Record.State_ = HostState::Ready;
    Record.FailureDomain_ = FailureDomain;
    return Record;
  }

  TimePoint Now_{1h};
  VersionStore Store_;
};

} // namespace

// Guards against adoption of anything but a strictly greater version, for
// example from a peer that lags behind or a source that lost its history.
TEST_CASE_FIXTURE(VersionStoreFixture, "version store orders its offers") {
  REQUIRE(Store_.offer(snapshot(2, 10, 1), Now_));
  struct Row {
    std::uint32_t Epoch_;
    std::uint64_t Revision_;
    std::uint32_t Content_;
    ErrorCode Code_;
  };
  for (const Row &Each : {Row{2, 10, 1, ErrorCode::VersionCurrent},
                          Row{2, 10, 2, ErrorCode::VersionConflict},
                          Row{2, 9, 1, ErrorCode::VersionOlder},
                          Row{1, 99, 3, ErrorCode::VersionOlder}})
    CHECK(codeOf(Store_.offer(
              snapshot(Each.Epoch_, Each.Revision_, Each.Content_), Now_)) ==
          Each.Code_);
  CHECK(Store_.version() == ConfigVersion{2, 10});
  CHECK(Store_.counts().Older_ == 2);
  CHECK(Store_.counts().Conflicting_ == 1);
  CHECK(Store_.offer(snapshot(3, 1, 4), Now_));
  CHECK(Store_.version() == ConfigVersion{3, 1});
  CHECK(codeOf(Store_.offer(nullptr, Now_)) == ErrorCode::SnapshotInvalid);
}

// Guards against nodes of builds that order versions by the store's revision,
// beside nodes that order them by the operators' number during a rolling
// restart: the revision is the larger number.
TEST_CASE_FIXTURE(VersionStoreFixture,
                  "numbered version replaces one of an older build") {
  VersionStore Older;
  REQUIRE(Older.offer(snapshot(1, 9000, 1), Now_));
  REQUIRE(Store_.offer(snapshot(2, 7, 1), Now_));
  CHECK(Older.answer(Store_.request()).Kind_ == SyncKind::Unchanged);
  REQUIRE(Older.offerReply(Store_.answer(Older.request()), Now_));
  CHECK(Older.version() == ConfigVersion{2, 7});
  CHECK(codeOf(Older.offer(snapshot(1, 9001, 2), Now_)) ==
        ErrorCode::VersionOlder);
}

// Guards against an invalid snapshot with a greater version that replaces a
// valid one.
TEST_CASE_FIXTURE(VersionStoreFixture, "version store validates before swap") {
  REQUIRE(Store_.offer(snapshot(1, 1, 1), Now_));
  config::SnapshotPointer Held = Store_.current();
  config::ServiceModel Dangling = testing::makeModel(1, 2);
  Dangling.Services_[0].DependsOn_ = {"absent"};
  CHECK(codeOf(Store_.offerFromSource(config::buildSnapshot(Dangling, {1, 2}),
                                      Now_)) == ErrorCode::SnapshotInvalid);
  CHECK(Store_.current() == Held);
  REQUIRE(Store_.lastRefusal());
  CHECK(Store_.lastRefusal()->Version_ == ConfigVersion{1, 2});
  REQUIRE(Store_.offer(snapshot(1, 3, 3), Now_));
  CHECK_FALSE(Store_.lastRefusal());
}

TEST_CASE_FIXTURE(
    VersionStoreFixture,
    "answer is a delta for recent versions, a whole snapshot for others") {
  for (std::uint32_t Revision = 1; Revision <= 12; ++Revision)
    REQUIRE(Store_.offer(snapshot(1, Revision, Revision), Now_));
  for (std::uint32_t Have = 1; Have <= 12; ++Have) {
    VersionStore Peer;
    REQUIRE(Peer.offer(snapshot(1, Have, Have), Now_));
    SyncReply Reply = Store_.answer(Peer.request());
    CHECK(Reply.Kind_ == (Have == 12  ? SyncKind::Unchanged
                          : Have >= 5 ? SyncKind::Delta
                                      : SyncKind::Whole));
    CHECK(bool(Peer.offerReply(Reply, Now_)) == (Have != 12));
    CHECK(Peer.version() == Store_.version());
    CHECK(Peer.digest() == Store_.digest());
  }
  // Same version as a base but different content: a delta would not apply.
  VersionStore Forked;
  REQUIRE(Forked.offer(snapshot(1, 11, 500), Now_));
  CHECK(Store_.answer(Forked.request()).Kind_ == SyncKind::Whole);
  // A peer that is ahead, and a store without a version.
  VersionStore Ahead;
  REQUIRE(Ahead.offer(snapshot(1, 13, 1), Now_));
  CHECK(Store_.answer(Ahead.request()).Kind_ == SyncKind::Unchanged);
  CHECK(VersionStore().answer({}).Kind_ == SyncKind::Unchanged);
}

// Guards against partial adoption of a reply whose content does not match its
// digest.
TEST_CASE_FIXTURE(VersionStoreFixture,
                  "reply with altered content is refused") {
  REQUIRE(Store_.offer(snapshot(1, 1, 1), Now_));
  VersionStore Newer;
  REQUIRE(Newer.offer(snapshot(1, 1, 1), Now_));
  REQUIRE(Newer.offer(snapshot(1, 2, 2), Now_));
  SyncReply Delta = Newer.answer(Store_.request());
  REQUIRE(Delta.Delta_.Changed_.size() == 1);
  Delta.Delta_.Changed_[0].Slots_ += 1;
  CHECK(codeOf(Store_.offerReply(Delta, Now_)) == ErrorCode::DigestMismatch);
  SyncReply Whole = Newer.answer({});
  Whole.Image_.Services_.pop_back();
  CHECK_FALSE(Store_.offerReply(Whole, Now_));
  // The digest does not cover the version; found by marigold-fuzz.
  SyncReply Renamed = Newer.answer({});
  Renamed.Image_.Version_ = {1, 112};
  CHECK(codeOf(Store_.offerReply(Renamed, Now_)) == ErrorCode::DigestMismatch);
  CHECK(Store_.version() == ConfigVersion{1, 1});
  CHECK(codeOf(VersionStore().offerReply(Delta, Now_)) ==
        ErrorCode::DeltaBaseMismatch);
}

TEST_CASE_FIXTURE(VersionStoreFixture, "history keeps the last 64 versions") {
  for (std::uint32_t Revision = 1; Revision <= 70; ++Revision)
    REQUIRE(Store_.offer(snapshot(1, Revision, Revision), Now_));
  REQUIRE(Store_.history().size() == 64);
  CHECK(Store_.history().front().Version_.Revision_ == 7);
  CHECK(Store_.history().back().Digest_ == Store_.digest());
}

// Guards against refusals that are forwarded repeatedly, or after a newer
// version was adopted.
TEST_CASE_FIXTURE(VersionStoreFixture, "refusal of a peer is new only once") {
  Refusal Refused{{0, 5}, 205};
  CHECK(Store_.mergeRefusal(Refused, Now_));
  CHECK_FALSE(Store_.mergeRefusal(Refused, Now_));
  CHECK_FALSE(Store_.mergeRefusal({}, Now_));
  CHECK(Store_.isRefused(5, Now_));
  CHECK_FALSE(Store_.isRefused(5, Now_ + 1s));
  REQUIRE(Store_.offer(snapshot(1, 6, 1), Now_));
  CHECK_FALSE(Store_.lastRefusal());
  CHECK_FALSE(Store_.mergeRefusal({{1, 4}, 205}, Now_));
  CHECK(Store_.mergeRefusal({{2, 3}, 205}, Now_));
  CHECK_FALSE(Store_.mergeRefusal({{2, 2}, 205}, Now_));
}

// Guards against endless adverts, found by marigold-fuzz: with more refusals in
// the mesh than a node remembers, each one was treated as new again and again.
TEST_CASE_FIXTURE(VersionStoreFixture,
                  "forwarding of concurrent refusals ends") {
  std::vector<VersionStore> Stores(5);
  std::size_t NewRefusals = 0;
  for (std::uint64_t Round = 0; Round < 2000; ++Round) {
    VersionStore &Store = Stores[Round % Stores.size()];
    NewRefusals += Store.mergeRefusal({{0, 1 + Round * 7 % 41}, 205}, Now_);
  }
  CHECK(NewRefusals <= 41 * Stores.size());
  for (const VersionStore &Store : Stores)
    CHECK(Store.lastRefusal()->Version_.Revision_ == 41);
  CHECK(Stores[0].mergeRefusal({{0, 2}, 209}, Now_ + 25h));
}

TEST_CASE_FIXTURE(VersionStoreFixture,
                  "pull planner runs one pull and asks for the whole after a "
                  "failed delta") {
  REQUIRE(Store_.offer(snapshot(1, 1, 1), Now_));
  PullPlanner Planner(Store_, Random(1));
  HostId First{1, 7400};
  HostId Second{2, 7400};
  NodeSummary Summary;
  Summary.Version_ = {1, 3};
  Planner.onSummary(First, Summary, Now_);
  Summary.Version_ = {1, 2};
  Planner.onSummary(Second, Summary, Now_);
  std::optional<Pull> Started = Planner.tick(Now_);
  REQUIRE(Started);
  CHECK(Started->Peer_ == First);
  CHECK(Started->Request_.Have_ == ConfigVersion{1, 1});
  CHECK_FALSE(Planner.tick(Now_));
  Planner.onPulled(First, fail(ErrorCode::DigestMismatch), Now_);
  Started = Planner.tick(Now_);
  REQUIRE(Started);
  CHECK(Started->Peer_ == First);
  CHECK(Started->Request_.Have_ == ConfigVersion{});
  Planner.onPulled(First, fail(ErrorCode::ConnectionFailed), Now_);
  Started = Planner.tick(Now_ + 50ms);
  REQUIRE(Started);
  CHECK(Started->Peer_ == Second);
  // A lost answer does not block later pulls.
  Planner.onSummary(First, Summary, Now_);
  CHECK(Planner.tick(Now_ + 6s));
  // The current version with a different digest is counted, not pulled.
  Summary.Version_ = {1, 1};
  Planner.onSummary(Second, Summary, Now_);
  CHECK(Planner.conflicts() == 1);
}

TEST_CASE_FIXTURE(
    VersionStoreFixture,
    "spread policy selects half of the receivers in the own domain") {
  membership::HostTable Table;
  for (std::uint32_t Number = 1; Number <= 40; ++Number)
    Table.apply(record(Number, Number % 2 == 0 ? "quito" : "ambato"), Now_);
  struct Row {
    SpreadProfile Profile_;
    std::ptrdiff_t Local_;
    std::size_t All_;
  };
  for (const Row &Each :
       {Row{SpreadProfile::Fast, 4, 8}, Row{SpreadProfile::Frugal, 2, 3}}) {
    SpreadPolicy Policy(Each.Profile_, {2, 7400}, "quito", Random(1));
    NodeSummary Summary;
    CHECK(Policy.receivers(Summary, Table, std::nullopt).empty());
    Summary.Version_ = {1, 1};
    std::vector<HostId> Chosen =
        Policy.receivers(Summary, Table, HostId{4, 7400});
    CHECK(Chosen.size() == Each.All_);
    CHECK(std::count_if(Chosen.begin(), Chosen.end(), [](const HostId &Id) {
            return Id.Ipv4_ % 2 == 0;
          }) == Each.Local_);
    CHECK(std::none_of(Chosen.begin(), Chosen.end(), [](const HostId &Id) {
      return Id.Ipv4_ == 2 || Id.Ipv4_ == 4;
    }));
    CHECK(Policy.receivers(Summary, Table, std::nullopt).empty());
    Summary.Refused_ = {{0, 2}, 205};
    CHECK(Policy.receivers(Summary, Table, std::nullopt).size() == Each.All_);
  }
}

// Guards against a confirmation that appears younger than it is: no node would
// then notice that all readers have failed.
TEST_CASE_FIXTURE(VersionStoreFixture,
                  "confirmation does not get younger at each hop") {
  std::vector<SourceConfirmation> Nodes(10);
  Nodes[0].confirm(Now_);
  Random Rng(1);
  for (int Step = 1; Step <= 3000; ++Step) {
    std::size_t From = Rng.below(Nodes.size());
    std::size_t To = Rng.below(Nodes.size());
    auto Age = Nodes[From].age(Now_ + Step * 10ms);
    // 8 ms of network delay.
    Nodes[To].mergeAge(Age, Now_ + Step * 10ms + 8ms);
  }
  for (const SourceConfirmation &Node : Nodes) {
    CHECK(Node.age(Now_ + 30s) >= 30s);
    CHECK(Node.age(Now_ + 30s) <= 31s);
  }
  SourceConfirmation Fresh;
  Fresh.mergeAge(NeverConfirmed, Now_);
  CHECK(Fresh.age(Now_) == NeverConfirmed);
  Fresh.mergeAge(-5s, Now_);
  CHECK(Fresh.age(Now_) == AgeIncrementPerHop);
}

// Guards against a node that runs out of memory because it keeps the digests of
// several versions with very many hosts.
TEST_CASE_FIXTURE(VersionStoreFixture,
                  "digests of large versions are bounded in bytes") {
  auto Adopt = [&](std::uint64_t Revision, std::size_t Hosts) {
    config::ServiceModel Model = testing::makeModel(config::NumberedEpoch, 1);
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      Model.Hosts_.push_back({"h" + std::to_string(Index), {}});
    REQUIRE(Store_.offer(
        config::buildSnapshot(Model, {config::NumberedEpoch, Revision}), Now_));
  };
  for (std::uint64_t Revision = 1; Revision <= DeltaBases; ++Revision)
    Adopt(Revision, 10);
  CHECK(Store_.deltaBases() == DeltaBases);
  for (std::uint64_t Revision = 11; Revision <= 16; ++Revision) {
    Adopt(Revision, 17'000);
    CHECK(Store_.deltaBaseBytes() <= MaxDeltaBaseBytes);
  }
  CHECK(Store_.deltaBases() >= 1);
  // The current version is kept even if it is beyond the bound alone.
  Adopt(20, 60'000);
  CHECK(Store_.deltaBases() == 1);
  Adopt(21, 10);
  CHECK(Store_.deltaBaseBytes() <= MaxDeltaBaseBytes);
}

} // namespace marigold::distribution
