#include "Hosts.h"

#include "Support/Digest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace marigold::routing {
namespace {

struct SubsetFixture {
  std::vector<HostRecord> Hosts_;

  std::set<std::uint32_t> choose(std::size_t Size, const NodeLocation &Own) {
    std::set<std::uint32_t> Chosen;
    for (std::size_t Index :
         chooseSubset(Own, Hosts_, Size, [this](std::size_t Position) {
           return Hosts_[Position].State_;
         }))
      CHECK(Chosen.insert(Hosts_[Index].Id_.Ipv4_).second);
    return Chosen;
  }
  std::size_t count(const std::set<std::uint32_t> &Chosen,
                    const std::string &Domain) {
    return static_cast<std::size_t>(
        std::count_if(Hosts_.begin(), Hosts_.end(), [&](const auto &Host) {
          return Host.FailureDomain_ == Domain &&
                 Chosen.contains(Host.Id_.Ipv4_);
        }));
  }
  void add(std::uint32_t First, std::uint32_t Count, const std::string &Domain,
           const std::string &Region = "west") {
    for (std::uint32_t Number = First; Number < First + Count; ++Number)
      Hosts_.push_back(makeHost(Number, Domain, Region));
  }
};

} // namespace

// Guards against a subset without hosts that can take over when the own failure
// domain fails.
TEST_CASE_FIXTURE(SubsetFixture, "subset prefers its domain, keeps a reserve") {
  add(0, 20, "a");
  add(20, 20, "b");
  add(40, 20, "c", "east");
  auto Chosen = choose(12, makeLocation());
  CHECK(Chosen.size() == 12);
  CHECK(count(Chosen, "a") == 9);
}

TEST_CASE_FIXTURE(SubsetFixture, "subset of few hosts takes all of them") {
  CHECK(choose(12, makeLocation()).empty());
  add(0, 3, "a");
  add(3, 2, "c", "east");
  CHECK(choose(12, makeLocation()).size() == 5);
  CHECK(count(choose(2, makeLocation()), "a") == 1);
  CHECK(choose(1, makeLocation()).size() == 1);
}

TEST_CASE_FIXTURE(SubsetFixture, "subset without own domain uses the region") {
  add(20, 20, "b");
  add(40, 20, "c", "east");
  CHECK(count(choose(12, makeLocation()), "b") >= 9);
}

// Guards against a subset that is reshuffled at each change, so that most
// connections of the fleet are reopened.
TEST_CASE_FIXTURE(SubsetFixture, "one lost host changes one place") {
  add(0, 20, "a");
  add(20, 20, "b");
  auto Before = choose(12, makeLocation());
  for (std::size_t Index = 0; Index < Hosts_.size(); ++Index) {
    Hosts_[Index].State_ = HostState::Dead;
    auto After = choose(12, makeLocation());
    std::vector<std::uint32_t> Added;
    std::set_difference(After.begin(), After.end(), Before.begin(),
                        Before.end(), std::back_inserter(Added));
    CHECK(Added.size() == (Before.contains(Hosts_[Index].Id_.Ipv4_) ? 1 : 0));
    Hosts_[Index].State_ = HostState::Ready;
  }
}

// Guards against a false suspicion that reshuffles the subset.
TEST_CASE_FIXTURE(SubsetFixture, "suspect host keeps its place beside others") {
  add(0, 20, "a");
  auto Before = choose(4, makeLocation());
  Hosts_[*Before.begin()].State_ = HostState::Suspect;
  auto During = choose(4, makeLocation());
  CHECK(During.size() == 5);
  CHECK(std::includes(During.begin(), During.end(), Before.begin(),
                      Before.end()));
}

// Guards against subsets that give some hosts far more callers than others.
// 3,000 nodes call a service of 150 hosts, spread over 15 failure domains in
// 6 regions.
TEST_CASE_FIXTURE(SubsetFixture, "subsets of 3,000 nodes spread evenly") {
  auto DomainOf = [](std::uint32_t Number) { return Number % 15; };
  for (std::uint32_t Number = 0; Number < 150; ++Number)
    Hosts_.push_back(makeHost(Number, std::to_string(DomainOf(Number)),
                              std::to_string(DomainOf(Number) % 6)));
  std::map<std::uint32_t, unsigned> Callers;
  for (std::uint32_t Node = 0; Node < 3000; ++Node) {
    NodeLocation Own{{10000 + Node, 7400},
                     std::to_string(DomainOf(Node)),
                     std::to_string(DomainOf(Node) % 6)};
    for (std::uint32_t Host : choose(12, Own))
      ++Callers[Host];
  }
  CHECK(Callers.size() == 150);
  for (auto &[Host, Count] : Callers)
    CHECK(Count <= 2 * 3000 * 12 / 150);
}

} // namespace marigold::routing
