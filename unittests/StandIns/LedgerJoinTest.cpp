#include "StandIns/LedgerJoin.h"

#include <doctest/doctest.h>

namespace marigold::standins {
namespace {

struct LedgerFixture {
  std::vector<CallerEntry> Entries_;
  TargetRuns Runs_;

  void caller(const std::string &Line) {
    auto Entry = parseCallerEntry(Line);
    REQUIRE(Entry);
    CHECK(toText(Entry.value()) == Line);
    Entries_.push_back(Entry.value());
  }

  void target(const std::string &Text) {
    REQUIRE(addTargetLedger(Runs_, Text));
  }

  JoinedLedgers join() const { return joinLedgers(Entries_, Runs_); }
};

} // namespace

// Guards against missing a double run when each target's ledger is correct.
TEST_CASE_FIXTURE(LedgerFixture, "booking that ran on two targets is doubled") {
  caller("b1 booking ok 2");
  target("run b1 k1 1\n");
  target("run b1 k2 1\n");
  CHECK(join().Doubled_ == 1);
  CHECK(join().Examples_ == std::vector<std::string>{"b1"});
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "booking that ran twice on one target is doubled") {
  caller("b1 booking unknown 2");
  target("run b1 k1 1\nrun b1 k1 2\n");
  CHECK(join().Doubled_ == 1);
  CHECK(join().UnknownRan_ == 1);
}

// Guards against reporting calls, which may be repeated, as double runs.
TEST_CASE_FIXTURE(LedgerFixture, "repeated call is not doubled") {
  caller("c1 call ok 1");
  target("run c1 - 1\nrun c1 - 2\n");
  CHECK(join().Doubled_ == 0);
}

// Guards against missing a run of a request whose caller was told not-run, also
// if that run was aborted.
TEST_CASE_FIXTURE(LedgerFixture, "run of a request told not-run is false") {
  caller("c1 call not-run 1");
  caller("c2 call not-run 1");
  target("run c1 - 1\ncut c1\ncut_runs 1\n");
  CHECK(join().FalseNotRun_ == 1);
  CHECK(join().CutRuns_ == 1);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "ok without a run and unknown are told apart") {
  caller("c1 call ok 1");
  caller("c2 call unknown 1");
  CHECK(join().OkWithoutRun_ == 1);
  CHECK(join().UnknownNotRun_ == 1);
}

// Guards against counting chained calls as unmatched: they have their own ids,
// which are not in the callers' ledger.
TEST_CASE_FIXTURE(LedgerFixture, "chained runs are not unmatched") {
  caller("c1 call ok 1");
  target("run c1 - 1\nrun c1>desk - 1\nrun z9 - 1\n");
  CHECK(join().UnmatchedRuns_ == 1);
  CHECK(join().Runs_ == 1);
}

// Guards against rejecting the ledger of a killed target, whose last line may
// be incomplete.
TEST_CASE_FIXTURE(LedgerFixture, "incomplete last line is ignored") {
  target("run c1 - 1\nrun c2");
  CHECK(Runs_.RunsById_.size() == 1);
}

TEST_CASE_FIXTURE(LedgerFixture, "malformed line is an error") {
  for (const char *Text : {"run c1 -\n", "run c1 - x\n", "cut\n"}) {
    auto Added = addTargetLedger(Runs_, Text);
    REQUIRE_FALSE(Added);
    CHECK(Added.error().Code_ == ErrorCode::FileUnreadable);
  }
  for (const char *Text :
       {"", "c1 call ok", "c1 visit ok 1", "c1 call none 1", "c1 call ok -1"})
    CHECK_FALSE(parseCallerEntry(Text));
}

TEST_CASE_FIXTURE(LedgerFixture, "joined text names every count") {
  caller("b1 booking ok 1");
  std::string Text = toText(join());
  for (const char *Line : {"doubled=0\n", "false_not_run=0\n", "bookings=1\n",
                           "ok_without_run=1\n", "cut_runs=0\n"})
    CHECK(Text.find(Line) != std::string::npos);
}

} // namespace marigold::standins
