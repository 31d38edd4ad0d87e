#include "Config/Delta.h"
#include "Config/ModelDiff.h"
#include "Config/TextParser.h"
#include "Config/Validator.h"
#include "Support/Random.h"

#include <doctest/doctest.h>

#include <map>

namespace marigold::config {
namespace {

struct VirtualHostFixture {
  std::string Text_ = R"(
epoch: 1
mesh: m
services: {desk: , board: }
hosts:
  book.example:
    - {prefix: /, service: board}
    - {prefix: /visits/, service: desk, repeatable: false, deadline: 2s,
       objective: 600ms, attempts: 2, priority: critical}
    - {prefix: /visits/new/, split: {desk: 90, board: 10}, repeatable: true}
limits: {idle_timeout: 15s, body_bytes: 64MiB}
)";

  SnapshotPointer parse() {
    auto Model = parseText(Text_, "text");
    if (!Model)
      FAIL(toText(Model.error().front()));
    return buildSnapshot(Model.value(), {1, 7});
  }

  ErrorCode errorOf(const std::string &Hosts) {
    auto Model = parseText(
        "epoch: 1\nmesh: m\nservices: {desk: }\nhosts: " + Hosts, "text");
    REQUIRE_FALSE(Model);
    return Model.error().front().Code_;
  }
};

std::string prefixOf(const Snapshot &Value, std::string_view Target) {
  const VirtualHost *Host = Value.findHost("book.example");
  REQUIRE(Host != nullptr);
  const HostRoute *Route = Snapshot::matchHostRoute(*Host, Target);
  return Route ? Route->Prefix_ : "";
}

} // namespace

// Guards against route keys and client limits that are read into the wrong
// member.
TEST_CASE_FIXTURE(VirtualHostFixture, "virtual host of a text has its routes") {
  auto Built = parse();
  const VirtualHost *Host = Built->findHost("book.example");
  REQUIRE(Host != nullptr);
  REQUIRE(Host->Routes_.size() == 3);
  const HostRoute &Visits = Host->Routes_[1];
  CHECK(Visits.Deadline_ == std::chrono::seconds(2));
  CHECK(Visits.Objective_ == std::chrono::milliseconds(600));
  CHECK(Visits.Attempts_ == 2);
  CHECK(Visits.Priority_ == Priority::Critical);
  CHECK(Host->Routes_[0].Targets_ ==
        std::vector<WeightedService>{{"board", 10}, {"desk", 90}});
  CHECK(Built->limits().IdleTimeout_ == std::chrono::seconds(15));
  CHECK(Built->findHost("other.example") == nullptr);
}

// Guards against a request that is sent to the wrong service.
TEST_CASE_FIXTURE(VirtualHostFixture, "longest prefix of the path decides") {
  auto Built = parse();
  CHECK(prefixOf(*Built, "/visits/new/1") == "/visits/new/");
  CHECK(prefixOf(*Built, "/visits/newer") == "/visits/");
  CHECK(prefixOf(*Built, "/visits") == "/");
  CHECK(prefixOf(*Built, "/x?y=/visits/new/") == "/");
  CHECK(prefixOf(*Built, "*").empty());
}

// Guards against accepting a text with invalid virtual hosts, such as a route
// to a service that does not exist.
TEST_CASE_FIXTURE(VirtualHostFixture, "faulty hosts are refused as a whole") {
  using Code = ErrorCode;
  CHECK(errorOf("{h: [{prefix: /a/, service: none}]}") ==
        Code::DanglingDependency);
  CHECK(errorOf("{h: [{prefix: /a, service: desk}]}") == Code::BadName);
  CHECK(errorOf("{h: [{prefix: /a/, split: {desk: 0}}]}") == Code::OutOfRange);
  CHECK(errorOf("{h: [{prefix: /a/}]}") == Code::MissingKey);
  CHECK(errorOf("{h: [{prefix: /a/, service: desk}, "
                "{prefix: /a/, service: desk}]}") == Code::DuplicateRoute);
  CHECK(errorOf("{'A b': [{prefix: /a/, service: desk}]}") == Code::BadName);
  CHECK(errorOf("{h: [{prefix: /a/, service: desk, attempts: 99}]}") ==
        Code::OutOfRange);
}

// Guards against virtual hosts or client limits that are lost on the way to a
// node, which would then hold different content from what was announced.
TEST_CASE_FIXTURE(VirtualHostFixture, "delta and image carry virtual hosts") {
  auto Old = parse();
  ServiceModel Model = toModel(*Old);
  Model.Hosts_[0].Routes_[0].Targets_[0].Weight_ = 50;
  VirtualHost Added{"new.example", {defaultHostRoute()}};
  Added.Routes_[0].Targets_ = {{"desk", 1}};
  Model.Hosts_.push_back(Added);
  Model.Limits_.BodyBytes_ = 1000;
  auto New = buildSnapshot(Model, {1, 8});
  SnapshotDelta Delta = makeDelta(*Old, *New);
  CHECK(Delta.Changed_.empty());
  CHECK(Delta.ChangedHosts_.size() == 2);
  auto Applied = applyDelta(*Old, Delta);
  REQUIRE(Applied);
  CHECK(Applied.value()->digest() == New->digest());
  CHECK(Applied.value()->limits() == New->limits());
  auto Image = fromImage(toImage(*New));
  REQUIRE(Image);
  CHECK(Image.value()->digest() == New->digest());
  auto Back =
      applyDelta(*New, makeDelta(*New, *buildSnapshot(toModel(*Old), {1, 9})));
  REQUIRE(Back);
  CHECK(Back.value()->digest() == Old->digest());
}

// Guards against a changed split weight that is missing from the diff.
TEST_CASE_FIXTURE(VirtualHostFixture, "difference names the changed share") {
  ServiceModel Old = toModel(*parse());
  ServiceModel New = Old;
  New.Hosts_[0].Routes_[0].Targets_[0].Weight_ = 20;
  auto Changes = diffModels(Old, New);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Subject_ == "host book.example route /visits/new/ split");
  CHECK(Changes[0].After_ == "board:20,desk:90");
}

// Guards against a search over routes sorted by length that skips the longest
// prefix, or takes one that the path does not begin with.
TEST_CASE("route of a host is the one that a search of all routes finds") {
  Random Rng(7);
  for (int Round = 0; Round < 300; ++Round) {
    auto Path = [&](std::uint64_t Length) {
      std::string Text = "/";
      while (Text.size() < Length)
        Text += "ab/"[Rng.below(3)];
      return Text;
    };
    std::map<std::string, HostRoute> Routes;
    for (std::uint64_t Count = Rng.below(30); Count > 0; --Count) {
      std::string Prefix = Path(1 + Rng.below(7));
      Routes[Prefix] = defaultHostRoute();
      Routes[Prefix].Prefix_ = Prefix;
    }
    ServiceModel Model{1, "m", {}, {{"h", {}}}};
    for (const auto &[Prefix, Route] : Routes)
      Model.Hosts_[0].Routes_.push_back(Route);
    normalize(Model);
    for (int Request = 0; Request < 20; ++Request) {
      std::string Target = Path(1 + Rng.below(9)) + (Rng.below(2) ? "?/a" : "");
      std::string Longest;
      for (const auto &[Prefix, Route] : Routes)
        if (Target.substr(0, Target.find('?')).starts_with(Prefix) &&
            Prefix.size() > Longest.size())
          Longest = Prefix;
      const HostRoute *Found =
          Snapshot::matchHostRoute(Model.Hosts_[0], Target);
      CAPTURE(Target);
      CHECK((Found ? Found->Prefix_ : "") == Longest);
    }
  }
}

} // namespace marigold::config
