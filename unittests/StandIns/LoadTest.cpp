#include "ServerFixture.h"
#include "StandIns/LoadPlan.h"
#include "StandIns/LoadRunner.h"
#include "StandIns/TargetServer.h"

namespace marigold::standins {
namespace {

struct AnswerFixture {
  ExchangeResult Exchange_;

  AnswerFixture() {
    Exchange_.End_ = ExchangeEnd::Answered;
    Exchange_.Response_ = makeResponse(200, "id=q1\nservice=s\n\nend\n");
    Exchange_.Response_.set("x-request-id", "q1");
    Exchange_.Response_.set("x-marigold-outcome", "ok");
    Exchange_.Response_.set("x-body-length",
                            std::to_string(Exchange_.Response_.body().size()));
  }

  AttemptResult judge() const {
    return classifyExchange(Exchange_, "q1", false);
  }
};

std::vector<PlannedCall> planAll(std::uint64_t Seed) {
  ArrivalPlan Plan(1000, std::chrono::seconds(10), 0.2, Seed);
  std::vector<PlannedCall> Calls;
  while (auto Next = Plan.next())
    Calls.push_back(*Next);
  return Calls;
}

} // namespace

TEST_CASE_FIXTURE(AnswerFixture, "whole answer to the own request is ok") {
  AttemptResult Result = judge();
  CHECK(Result.Outcome_ == Outcome::Ok);
  CHECK_FALSE(Result.Crossed_);
  CHECK_FALSE(Result.Lost_);
}

// Guards against accepting the response to another request, which a node would
// return if it mixed up connections.
TEST_CASE_FIXTURE(AnswerFixture, "answer with another id is crossed") {
  Exchange_.Response_.set("x-request-id", "q2");
  CHECK(judge().Crossed_);
  Exchange_.Response_.erase("x-request-id");
  CHECK_FALSE(judge().Crossed_);
  Exchange_.Response_.body() = "id=q2\nservice=s\n\nend\n";
  CHECK(judge().Crossed_);
}

// Guards against counting a truncated body as a successful response.
TEST_CASE_FIXTURE(AnswerFixture, "shortened body of an ok answer is lost") {
  Exchange_.Response_.body().resize(12);
  CHECK(judge().Lost_);
}

TEST_CASE_FIXTURE(AnswerFixture, "refusal is not-run with its reason") {
  Exchange_.Response_.result(boost::beast::http::status::service_unavailable);
  Exchange_.Response_.set("x-marigold-outcome", "not-run");
  Exchange_.Response_.set("x-marigold-reason", "queue-full");
  CHECK(judge().Outcome_ == Outcome::NotRun);
  CHECK(judge().Reason_ == "queue-full");
}

// Guards against believing a target's refusal for a call of which an earlier
// attempt may have run: only the node knows all attempts.
TEST_CASE_FIXTURE(AnswerFixture,
                  "refusal by a target counts only without a node") {
  Exchange_.Response_.result(boost::beast::http::status::service_unavailable);
  Exchange_.Response_.set("x-marigold-not-run", "true");
  Exchange_.Response_.body() = "draining\n";
  CHECK(judge().Outcome_ != Outcome::NotRun);
  AttemptResult Direct = classifyExchange(Exchange_, "1", true);
  CHECK(Direct.Outcome_ == Outcome::NotRun);
  CHECK_FALSE(Direct.Lost_);
}

// Guards against inferring an outcome from a response without the header.
TEST_CASE_FIXTURE(AnswerFixture, "missing outcome header is unknown") {
  Exchange_.Response_.erase("x-marigold-outcome");
  CHECK(judge().Outcome_ == Outcome::Unknown);
  CHECK(judge().Reason_ == "no-outcome-header");
}

TEST_CASE_FIXTURE(AnswerFixture, "lost connection after the send is unknown") {
  for (ExchangeEnd End : {ExchangeEnd::NoAnswer, ExchangeEnd::Interrupted}) {
    Exchange_.End_ = End;
    CHECK(judge().Outcome_ == Outcome::Unknown);
  }
  Exchange_.End_ = ExchangeEnd::NotSent;
  CHECK(judge().Outcome_ == Outcome::NotRun);
}

// Guards against load runs that cannot be reproduced with the same seed.
TEST_CASE("arrivals have the rate and kinds and repeat with the seed") {
  auto Calls = planAll(3);
  CHECK(Calls.size() == doctest::Approx(10000).epsilon(0.05));
  std::size_t Bookings = 0;
  for (const PlannedCall &Call : Calls)
    Bookings += Call.Kind_ == CallKind::Booking ? 1 : 0;
  CHECK(Bookings == doctest::Approx(2000).epsilon(0.1));
  auto Again = planAll(3);
  REQUIRE(Again.size() == Calls.size());
  CHECK(Again.back().At_ == Calls.back().At_);
  CHECK(planAll(4).back().At_ != Calls.back().At_);
}

// Guards against requests from the warm-up distorting the quantiles.
TEST_CASE("report counts outcomes and takes quantiles of measured calls") {
  LoadReport Report(std::chrono::seconds(2));
  FinishedCall Call;
  Call.Entry_ = {"c", CallKind::Call, Outcome::Ok, 1};
  Call.Measured_ = true;
  for (int Number = 1; Number <= 100; ++Number) {
    Call.Latency_ = std::chrono::milliseconds(Number);
    Report.add(Call);
  }
  Call.Measured_ = false;
  Call.Latency_ = std::chrono::seconds(9);
  Report.add(Call);
  Call.Entry_ = {"b", CallKind::Booking, Outcome::Unknown, 3};
  Report.add(Call);
  std::string Text = Report.text();
  for (const char *Line :
       {"calls=102\n", "calls_ok=101\n", "calls_unknown=1\n", "p50_ms=51.000\n",
        "p99_ms=100.000\n", "goodput_per_s=50.000\n", "resends=2\n"})
    CHECK(Text.find(Line) != std::string::npos);
  CHECK(Report.ledger().find("b booking unknown 3\n") != std::string::npos);
}

TEST_CASE("load without nodes or service is refused") {
  LoadSettings Settings;
  CHECK_FALSE(runLoad(Settings));
  Settings.Nodes_ = {{0x7f000001, 1}};
  CHECK_FALSE(runLoad(Settings));
}

using LoadedTargetFixture = ServerFixture<TargetServer, TargetSettings>;

// Guards against the load generator and the simulated target recording the same
// request under different ids.
TEST_CASE_FIXTURE(LoadedTargetFixture,
                  "direct load leaves ledgers that agree") {
  Settings_.Slots_ = 100;
  Settings_.Connections_ = 50;
  start();
  LoadSettings Load;
  Load.Nodes_ = {Where_};
  Load.Direct_ = true;
  Load.Path_ = "/";
  Load.BookingPath_ = "/bookings";
  Load.BookingRatio_ = 0.2;
  Load.Rate_ = 500;
  Load.Duration_ = std::chrono::milliseconds(500);
  Load.Connections_ = 8;
  Load.Timeout_ = std::chrono::seconds(30);
  auto Report = runLoad(Load);
  REQUIRE(Report);
  std::vector<CallerEntry> Entries;
  std::string Ledger = Report.value().ledger();
  for (std::size_t Begin = 0; Begin < Ledger.size();) {
    std::size_t End = Ledger.find('\n', Begin);
    Entries.push_back(
        parseCallerEntry(Ledger.substr(Begin, End - Begin)).value());
    Begin = End + 1;
  }
  TargetRuns Runs;
  REQUIRE(addTargetLedger(Runs, get("/.target/ledger").Body_));
  JoinedLedgers Joined = joinLedgers(Entries, Runs);
  CHECK(Joined.Calls_ > 0);
  CHECK(Joined.Calls_ == Joined.Runs_);
  CHECK(Joined.Doubled_ + Joined.FalseNotRun_ + Joined.OkWithoutRun_ == 0);
  CHECK(Report.value().text().find("crossed=0\nlost_answers=0\n") !=
        std::string::npos);
}

} // namespace marigold::standins
