#include "Routing/WeightedSplit.h"

#include <doctest/doctest.h>

#include <cmath>

namespace marigold::routing {
namespace {

struct SplitFixture {
  Random Rng_{7};

  std::vector<int> count(const std::vector<WeightedService> &Services,
                         int Requests) {
    WeightedSplit Split(Services, Rng_);
    std::vector<int> Counts(Services.size(), 0);
    for (int Request = 0; Request < Requests; ++Request)
      ++Counts[Split.next()];
    return Counts;
  }
};

} // namespace

// Guards against shares that drift on a route with few requests.
TEST_CASE_FIXTURE(SplitFixture, "split of any weights is off by one at most") {
  for (int Case = 0; Case < 200; ++Case) {
    std::vector<WeightedService> Services;
    double Sum = 0;
    for (std::size_t Index = 0; Index < 1 + Rng_.below(5); ++Index) {
      auto Weight = static_cast<std::uint32_t>(1 + Rng_.below(100));
      Services.push_back({"s" + std::to_string(Index), Weight});
      Sum += Weight;
    }
    int Requests = static_cast<int>(1 + Rng_.below(300));
    std::vector<int> Counts = count(Services, Requests);
    for (std::size_t Index = 0; Index < Services.size(); ++Index)
      CHECK(
          std::abs(Counts[Index] - Requests * Services[Index].Weight_ / Sum) <=
          static_cast<double>(Services.size()));
  }
}

TEST_CASE_FIXTURE(SplitFixture, "split gives a weight of zero nothing") {
  CHECK(count({{"a", 0}, {"b", 3}}, 50) == std::vector<int>{0, 50});
}

// Guards against nodes that all send to the service with the smaller weight at
// the same time.
TEST_CASE_FIXTURE(SplitFixture, "split starts at a random place of its cycle") {
  int First = 0;
  for (int Node = 0; Node < 1000; ++Node) {
    WeightedSplit Split(std::vector<WeightedService>{{"a", 90}, {"b", 10}},
                        Rng_);
    First += Split.next() == 1 ? 1 : 0;
  }
  CHECK(First > 50);
  CHECK(First < 200);
}

TEST_CASE_FIXTURE(SplitFixture,
                  "split matches only the weights it was made for") {
  std::vector<WeightedService> Services{{"a", 90}, {"b", 10}};
  WeightedSplit Split(Services, Rng_);
  CHECK(Split.matches(Services));
  Services[0].Weight_ = 80;
  CHECK_FALSE(Split.matches(Services));
}

} // namespace marigold::routing
