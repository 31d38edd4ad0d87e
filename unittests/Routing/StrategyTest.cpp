#include "Hosts.h"

#include "../TestSeed.h"

#include <array>

namespace marigold::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<unsigned> shares(const char *Name,
                             const std::vector<Candidate> &Hosts) {
  auto Strategy = std::move(makeStrategy(Name).value());
  std::vector<unsigned> Counts(Hosts.size());
  Random Rng(1);
  for (int Call = 0; Call < 10000; ++Call)
    ++Counts[Strategy->pick(Hosts, Rng)];
  return Counts;
}

Candidate host(Locality Near, double Use, double Weight = 1) {
  return {0, Near, Use, Use + 0.1, Weight};
}

constexpr Locality Own = Locality::SameDomain;
constexpr Locality Region = Locality::SameRegion;
constexpr Locality Remote = Locality::Remote;

} // namespace

TEST_CASE("strategy of an unknown name is refused") {
  CHECK(makeStrategy("best").error().Code_ == ErrorCode::SettingInvalid);
}

// Guards against a host that gets no calls and against a host in slow start
// that gets its full share.
TEST_CASE("strategies use every host and spare a fresh one") {
  for (const char *Name :
       {"random", "round-robin", "two-choices", "two-choices-local"}) {
    CAPTURE(Name);
    auto Counts = shares(
        Name, {host(Own, 0), host(Own, 0), host(Own, 0), host(Own, 0, 0.1)});
    for (int Index = 0; Index < 3; ++Index)
      CHECK(Counts[Index] > 2500);
    CHECK(Counts[3] > 0);
    CHECK(Counts[3] < 700);
    CHECK(shares(Name, {host(Own, 0, 0.1)})[0] == 10000);
  }
}

TEST_CASE("two-choices avoids the busiest of many") {
  auto Counts =
      shares("two-choices", {host(Own, 1), host(Own, 0), host(Own, 0.5)});
  CHECK(Counts[0] == 0);
  CHECK(Counts[1] > Counts[2]);
}

TEST_CASE("two-choices-local spills by load, nearest first") {
  struct Row {
    const char *Failure_;
    std::array<double, 3> Use_;
    std::size_t Expected_;
  };
  for (const Row &Case : std::initializer_list<Row>{
           {"a far host used without need", {0.95, 0, 0}, 0},
           {"an overloaded failure domain", {1.1, 0.5, 0}, 1},
           {"an overloaded region", {1.1, 1.2, 0.2}, 2},
           {"a far host that is as full", {2, 2, 2}, 0}}) {
    CAPTURE(Case.Failure_);
    auto Counts = shares("two-choices-local",
                         {host(Own, Case.Use_[0]), host(Region, Case.Use_[1]),
                          host(Remote, Case.Use_[2])});
    CHECK(Counts[Case.Expected_] == 10000);
  }
}

TEST_CASE("load report loses its weight as it ages") {
  TimePoint Now{seconds(1000)};
  HostLoad Load;
  Load.onReport({10, 10, 10}, Now);
  CHECK(Load.utilization(10, Now) == doctest::Approx(2));
  CHECK(Load.utilization(10, Now + seconds(5)) < 0.05);
  Load.onReport({4000000000, 4000000000, 0}, Now);
  CHECK(Load.utilization(10, Now) <= 4);
}

TEST_CASE("idle report does not hide this node's own calls") {
  TimePoint Now{seconds(1000)};
  HostLoad Load;
  for (int Call = 0; Call < 10; ++Call)
    Load.onSent();
  Load.onReport({0, 0, 1000000}, Now);
  CHECK(Load.utilization(10, Now) == doctest::Approx(1));
}

// Guards against endless attempts at a full host that reports itself idle.
TEST_CASE("refusal counts as load whatever the host reports") {
  TimePoint Now{seconds(1000)};
  HostLoad Load;
  Load.onReport({0, 0, 10}, Now);
  Load.onRefused(Now);
  CHECK(Load.utilization(10, Now) > 1);
  CHECK(Load.utilization(10, Now + seconds(5)) < 0.05);
}

// Guards against a slow host that is detected late, and against one that is
// avoided after it has recovered.
TEST_CASE("latency rises at once and returns to the typical one") {
  TimePoint Now{seconds(1000)};
  HostLoad Load;
  CHECK(Load.latency(milliseconds(5), Now) == milliseconds(5));
  Load.onLatency(milliseconds(5), Now);
  Load.onLatency(milliseconds(50), Now);
  CHECK(Load.latency(milliseconds(5), Now) == milliseconds(50));
  CHECK(Load.latency(milliseconds(5), Now + seconds(8)) < milliseconds(6));
}

} // namespace marigold::routing
