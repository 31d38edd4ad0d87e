#include "Membership/HostListMerger.h"
#include "Membership/NoticePlanner.h"
#include "Membership/TableExchange.h"
#include "Support/Archive.h"
#include "TestSeed.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace marigold::membership {

using namespace std::chrono_literals;

namespace {

struct HostTableFixture {
  HostRecord record(std::uint32_t Number, std::uint64_t Incarnation,
                    std::uint32_t Sequence, HostState State) {
    HostRecord Record;
    Record.Id_ = {Number, 7400};
    Record.Incarnation_ = Incarnation;
    Record.Sequence_ = Sequence;
    Record.State_ = State;
    Record.Service_ = "crew-desk";
    Record.FailureDomain_ = Number % 2 == 0 ? "quito" : "ambato";
    return Record;
  }

  TimePoint Now_{1h};
  HostTable Table_;
};

} // namespace

TEST_CASE_FIXTURE(HostTableFixture, "host table follows the merge rule") {
  struct Row {
    std::uint64_t Incarnation_;
    std::uint32_t Sequence_;
    HostState State_;
    bool Replaces_;
  };
  // Each row is offered to a record with incarnation 5, sequence 5 and state
  // Suspect.
  for (const Row &Each :
       {Row{6, 0, HostState::Starting, true}, Row{4, 9, HostState::Gone, false},
        Row{5, 6, HostState::Ready, true}, Row{5, 4, HostState::Dead, false},
        Row{5, 5, HostState::Dead, true}, Row{5, 5, HostState::Suspect, false},
        Row{5, 5, HostState::Draining, false}}) {
    HostTable Table;
    Table.apply(record(2, 5, 5, HostState::Suspect), Now_);
    HostRecord Offered =
        record(2, Each.Incarnation_, Each.Sequence_, Each.State_);
    CHECK(Table.apply(Offered, Now_).changed() == Each.Replaces_);
    CHECK((Table.find(Offered.Id_)->Record_ == Offered) ==
          (Each.Replaces_ || Each.State_ == HostState::Suspect));
  }
}

// Guards against nodes that diverge because they received the same records in a
// different order.
TEST_CASE_FIXTURE(HostTableFixture,
                  "host table reaches the same digest in any order") {
  std::uint64_t Seed = testSeed(1);
  CAPTURE(Seed);
  Random Rng(Seed);
  std::vector<HostRecord> Records;
  for (int Count = 0; Count < 300; ++Count) {
    auto State = static_cast<HostState>(Rng.below(3));
    Records.push_back(record(static_cast<std::uint32_t>(1 + Rng.below(20)),
                             Rng.below(3),
                             static_cast<std::uint32_t>(Rng.below(3)), State));
    Records.back().CallerPort_ = static_cast<std::uint16_t>(Rng.below(2));
  }
  for (const HostRecord &Record : Records)
    Table_.apply(Record, Now_);
  std::shuffle(Records.begin(), Records.end(), Rng.engine());
  HostTable Other;
  for (const HostRecord &Record : Records)
    Other.apply(Record, Now_);
  CHECK(Other.digest() == Table_.digest());
  CHECK(Other.bucketDigests() == Table_.bucketDigests());
  CHECK(Other.hostsOfService("crew-desk") == Table_.liveHosts());
}

TEST_CASE_FIXTURE(
    HostTableFixture,
    "host table with only dead hosts has the digest of an empty table") {
  for (std::uint32_t Number = 1; Number < 50; ++Number)
    Table_.apply(record(Number, 1, 0, HostState::Ready), Now_);
  CHECK(Table_.hostsOfFailureDomain("quito").size() == 24);
  for (std::uint32_t Number = 1; Number < 50; ++Number)
    Table_.apply(record(Number, 1, 0, HostState::Dead), Now_);
  CHECK(Table_.digest() == 0);
  CHECK(Table_.liveCount() == 0);
  CHECK(Table_.failureDomains().empty());
  CHECK(Table_.hostsOfService("crew-desk").empty());
  CHECK(Table_.size() == 49);
}

// Guards against expired tombstones that peers reintroduce.
TEST_CASE_FIXTURE(HostTableFixture, "host table forgets old dead hosts") {
  Table_.apply(record(1, 1, 0, HostState::Ready), Now_);
  Table_.apply(record(1, 1, 0, HostState::Dead), Now_);
  CHECK(Table_.expire(Now_ + 119min) == 0);
  CHECK(Table_.expire(Now_ + 121min) == 1);
  CHECK_FALSE(
      Table_.apply(record(1, 1, 0, HostState::Dead), Now_ + 121min).changed());
  CHECK(Table_.size() == 0);
}

// Guards against unbounded memory use caused by forged or corrupted addresses.
TEST_CASE_FIXTURE(HostTableFixture,
                  "host table that is full drops tombstones, then refuses") {
  HostTable Small({3, 2h});
  for (std::uint32_t Number : {1, 2, 3})
    Small.apply(record(Number, 1, 0, HostState::Ready), Now_);
  CHECK(Small.apply(record(4, 1, 0, HostState::Ready), Now_).Outcome_ ==
        ApplyOutcome::Full);
  Small.apply(record(2, 1, 0, HostState::Gone), Now_);
  CHECK(Small.apply(record(4, 1, 0, HostState::Ready), Now_).changed());
  CHECK(Small.find({2, 7400}) == nullptr);
}

TEST_CASE_FIXTURE(HostTableFixture, "host table refuses malformed records") {
  HostRecord LongName = record(1, 1, 0, HostState::Ready);
  LongName.Service_.assign(64, 'a');
  HostRecord NoPort = record(1, 1, 0, HostState::Ready);
  NoPort.Id_.Port_ = 0;
  HostRecord TooHighIncarnation =
      record(1, MaxIncarnation + 1, 0, HostState::Ready);
  for (const HostRecord &Record : {LongName, NoPort, TooHighIncarnation})
    CHECK(Table_.apply(Record, Now_).Outcome_ == ApplyOutcome::Malformed);
}

TEST_CASE_FIXTURE(HostTableFixture,
                  "host exchange brings both tables to the same digest") {
  HostTable Other;
  for (std::uint32_t Number = 1; Number < 400; ++Number)
    (Number % 3 ? Table_ : Other)
        .apply(record(Number, 1, Number % 5, HostState::Ready), Now_);
  SyncRequest Request;
  addBucketDigests(Table_, Request);
  SyncReply Reply;
  addDifferingRecords(Other, Request, Reply);
  for (const HostExchange &Message : makeHostExchanges(Table_, Reply)) {
    CHECK(encodeBody(Message).size() <= 64 * 1024);
    for (const HostRecord &Record : Message.Hosts_)
      Other.apply(Record, Now_);
  }
  for (const HostRecord &Record : Reply.Hosts_)
    Table_.apply(Record, Now_);
  CHECK(Table_.digest() == Other.digest());
}

// Guards against a host list that overrides newer reports of a host: the list
// of the platform lags behind.
TEST_CASE_FIXTURE(HostTableFixture,
                  "host list adds unknown hosts and marks leaving ones") {
  HostListMerger Merger;
  for (std::uint32_t Number : {1, 2})
    Table_.apply(record(Number, 7, 1, HostState::Ready), Now_);
  Table_.onContact({2, 7400}, Now_ + 2s);
  HostList List{{{record(1, 0, 0, HostState::Ready), true},
                 {record(2, 0, 0, HostState::Ready), true},
                 {record(3, 9, 9, HostState::Ready), false}},
                Now_ + 1s};
  std::vector<HostRecord> Records = Merger.apply(List, Table_);
  REQUIRE(Records.size() == 2);
  CHECK(Records[0] == record(1, 7, 1, HostState::Draining));
  CHECK(Records[1] == record(3, 0, 0, HostState::Starting));
  for (const HostRecord &Record : Records)
    Table_.apply(Record, Now_);
  // The host refutes the mark; the same incarnation is not marked again.
  Table_.apply(record(1, 7, 2, HostState::Ready), Now_);
  Table_.onContact({2, 7400}, Now_ + 5s);
  List.ReadAt_ = Now_ + 4s;
  CHECK(Merger.apply(List, Table_).empty());
  Table_.apply(record(1, 8, 0, HostState::Ready), Now_);
  CHECK(Merger.apply(List, Table_).size() == 1);
}

// Guards against a burst of notices when a whole rack fails.
TEST_CASE_FIXTURE(HostTableFixture,
                  "notice planner limits notices per second") {
  for (std::uint32_t Number = 1; Number <= 100; ++Number)
    Table_.apply(record(Number, 1, 0, HostState::Ready), Now_);
  NoticePlanner Planner({30, 50});
  Random Rng(1);
  std::vector<std::string> Callers{"crew-desk"};
  auto Receivers = [&](TimePoint At) {
    return Planner.receivers(record(2, 1, 0, HostState::Dead), Callers, Table_,
                             {4, 7400}, Rng, At);
  };
  std::vector<HostId> First = Receivers(Now_);
  CHECK(First.size() == 30);
  CHECK(std::all_of(First.begin(), First.end(), [](const HostId &Id) {
    return Id.Ipv4_ % 2 == 0 && Id.Ipv4_ != 2 && Id.Ipv4_ != 4;
  }));
  CHECK(Receivers(Now_).size() == 20);
  CHECK(Receivers(Now_).empty());
  CHECK(Receivers(Now_ + 1s).size() == 30);
}

} // namespace marigold::membership
