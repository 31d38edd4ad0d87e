#include "Burn/BurnRender.h"

#include <doctest/doctest.h>

namespace marigold::burn {
namespace {

struct BurnFixture {
  static constexpr Duration Minute_ = std::chrono::minutes(1);
  TimePoint Now_{std::chrono::hours(10)};
  BurnCalculator Calculator_{
      {{"crew-desk", {0.99, std::chrono::milliseconds(50), 0.9}}},
      std::chrono::hours(2)};

  /// Adds a scrape of two nodes, one minute after the previous one. A negative
  /// count of ok calls means that the node does not answer.
  void scrape(double OkQuito, double UnknownQuito, double OkAmbato,
              double SlowAmbato = 0) {
    std::vector<NodeSample> Samples{sample("quito", OkQuito, UnknownQuito, 0),
                                    sample("ambato", OkAmbato, 0, SlowAmbato)};
    Calculator_.addScrape(Samples, Now_);
    Now_ += Minute_;
  }

  BurnReport report() const {
    return Calculator_.report(5 * Minute_, 60 * Minute_, Now_ - Minute_);
  }

private:
  static NodeSample sample(const std::string &Domain, double Ok, double Unknown,
                           double Slow) {
    if (Ok < 0)
      return {"node-" + Domain, Domain, std::nullopt};
    auto Parsed = parseExposition(
        "# TYPE marigold_calls_total counter\n"
        "marigold_calls_total{service=\"crew-desk\",outcome=\"ok\"} " +
        std::to_string(Ok) +
        "\nmarigold_calls_total{service=\"crew-desk\",outcome=\"unknown\"} " +
        std::to_string(Unknown) +
        "\nmarigold_calls_slow_total{service=\"crew-desk\"} " +
        std::to_string(Slow) + "\n");
    REQUIRE(Parsed);
    return {"node-" + Domain, Domain, Parsed.value()};
  }
};

} // namespace

// Guards against a wrong burn rate and against failures attributed to the wrong
// failure domain.
TEST_CASE_FIXTURE(BurnFixture, "burn of failures names their failure domain") {
  scrape(1000, 0, 1000);
  scrape(1090, 10, 1100);
  auto Report = report();
  REQUIRE(Report.Services_.size() == 1);
  const ServiceBurn &Service = Report.Services_[0];
  CHECK(Service.State_ == DataState::Complete);
  // 10 of 200 calls (5 %) failed; the objective allows 1 %.
  CHECK(Service.FastWindow_.AvailabilityRate_.value() == doctest::Approx(5));
  REQUIRE(Service.Causes_.size() == 1);
  CHECK(Service.Causes_[0].FailureDomain_ == "quito");
  CHECK(Service.Causes_[0].Outcome_ == "unknown");
  CHECK(evaluate(Report, 4) == BurnVerdict::Burning);
  CHECK(evaluate(Report, 6) == BurnVerdict::Good);
}

// Guards against a latency burn that is not deducted from the error budget.
TEST_CASE_FIXTURE(BurnFixture, "burn of slow answers spends latency budget") {
  scrape(0, 0, 0);
  scrape(0, 0, 100, 20);
  ServiceBurn Service = report().Services_[0];
  CHECK(Service.FastWindow_.LatencyRate_.value() == doctest::Approx(2));
  CHECK(Service.BudgetLeft_.value() == doctest::Approx(-1));
}

// Guards against reporting complete data while a node does not answer.
TEST_CASE_FIXTURE(BurnFixture, "burn with a silent node is partial") {
  scrape(10, 0, 10);
  scrape(20, 0, -1);
  auto Report = report();
  CHECK(Report.Services_[0].State_ == DataState::Partial);
  CHECK(Report.MissingNodes_ == std::vector<std::string>{"node-ambato"});
  CHECK(evaluate(Report, 10) == BurnVerdict::NoData);
}

// Guards against counting calls from before the first scrape.
TEST_CASE_FIXTURE(BurnFixture, "burn before the second scrape is missing") {
  scrape(10, 5, 10);
  auto Report = report();
  CHECK(Report.Services_[0].State_ == DataState::Missing);
  CHECK_FALSE(Report.Services_[0].BudgetLeft_);
  CHECK(evaluate(Report, 10) == BurnVerdict::NoData);
  CHECK(renderTable(Report).find("no data") != std::string::npos);
  CHECK(renderJson(Report).find("null") != std::string::npos);
}

// Guards against negative or huge increments after a node restart.
TEST_CASE_FIXTURE(BurnFixture, "burn after a counter reset counts from zero") {
  scrape(1000, 50, 0);
  scrape(90, 10, 0);
  ServiceBurn Service = report().Services_[0];
  CHECK(Service.FastWindow_.Counts_.Calls_ == doctest::Approx(100));
  CHECK(Service.FastWindow_.Counts_.Failed_ == doctest::Approx(10));
}

TEST_CASE_FIXTURE(BurnFixture, "burn outside the fast window is not counted") {
  scrape(0, 0, 0);
  scrape(0, 100, 0);
  Now_ += 10 * Minute_;
  scrape(100, 100, 0);
  scrape(200, 100, 0);
  ServiceBurn Service = report().Services_[0];
  CHECK(Service.FastWindow_.AvailabilityRate_.value() == doctest::Approx(0));
  CHECK(Service.SlowWindow_.AvailabilityRate_.value() > 1);
}

TEST_CASE("exposition with a malformed line is refused") {
  for (const char *Text : {"name", "name{a=\"b\" 1", "name{a} 1", "name x",
                           "name 1 2", "{a=\"b\"} 1"}) {
    CAPTURE(Text);
    CHECK_FALSE(parseExposition(Text));
  }
}

} // namespace marigold::burn
