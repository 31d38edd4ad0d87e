#include "Config/Delta.h"
#include "Support/Archive.h"
#include "Support/Random.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace marigold::config {
namespace {

struct DeltaFixture {
  Random Rng_{20261204};

  ServiceConfig randomService(const std::string &Name) {
    ServiceConfig Service = defaultService(Name);
    Service.Slots_ = 1 + static_cast<std::uint32_t>(Rng_.below(100));
    Service.Queue_ = static_cast<std::uint32_t>(Rng_.below(100));
    Service.Objective_.Availability_ =
        static_cast<double>(900'000 + Rng_.below(99'000)) / 1e6;
    for (std::uint64_t Count = Rng_.below(4); Count > 0; --Count) {
      RouteConfig Route = defaultRoute("/r" + std::to_string(Count));
      Route.Repeatable_ = Rng_.chance(0.5);
      Route.Deadline_ = std::chrono::milliseconds(1 + Rng_.below(5000));
      Service.Routes_.push_back(Route);
    }
    return Service;
  }

  /// Returns a valid model of random services, with names drawn from 40.
  ServiceModel randomModel() {
    ServiceModel Model{1, "m", {}};
    for (int Index = 0; Index < 40; ++Index)
      if (Index == 0 || Rng_.chance(0.7))
        Model.Services_.push_back(randomService("s" + std::to_string(Index)));
    normalize(Model);
    connect(Model);
    return Model;
  }

  /// Makes some services depend on the first only, so that there is no cycle.
  void connect(ServiceModel &Model) {
    for (std::size_t Index = 0; Index < Model.Services_.size(); ++Index) {
      Model.Services_[Index].DependsOn_.clear();
      if (Index > 0 && Rng_.chance(0.3))
        Model.Services_[Index].DependsOn_ = {Model.Services_[0].Name_};
    }
  }

  /// Returns a copy of the model with services changed, removed and added.
  ServiceModel mutate(ServiceModel Model) {
    std::erase_if(Model.Services_,
                  [&](const ServiceConfig &) { return Rng_.chance(0.1); });
    for (ServiceConfig &Service : Model.Services_)
      if (Rng_.chance(0.1))
        Service = randomService(Service.Name_);
    Model.Services_.push_back(
        randomService("t" + std::to_string(Rng_.below(1000))));
    normalize(Model);
    connect(Model);
    return Model;
  }
};

} // namespace

// Guards against a delta whose result differs from the full snapshot.
TEST_CASE_FIXTURE(DeltaFixture, "delta applied equals the whole") {
  for (std::uint64_t Round = 1; Round <= 100; ++Round) {
    CAPTURE(Round);
    ServiceModel Earlier = randomModel();
    auto Old = buildSnapshot(Earlier, {1, Round});
    auto New = buildSnapshot(mutate(Earlier), {1, Round + 1});
    REQUIRE(validateSnapshot(*New));
    SnapshotDelta Delta = makeDelta(*Old, *New);
    CHECK(makeDelta(digestsOf(*Old), *New) == Delta);
    CHECK(encodeBody(Delta).size() < encodeBody(toImage(*New)).size());
    auto Decoded = decodeBody<SnapshotDelta>(encodeBody(Delta));
    REQUIRE(Decoded);
    auto Applied = applyDelta(*Old, Decoded.value());
    REQUIRE(Applied);
    CHECK(toImage(*Applied.value()) == toImage(*New));
  }
}

// Guards against applying a delta to a snapshot it was not computed from.
TEST_CASE_FIXTURE(DeltaFixture, "delta of another base changes nothing") {
  ServiceModel Earlier = randomModel();
  auto Old = buildSnapshot(Earlier, {1, 1});
  auto New = buildSnapshot(mutate(Earlier), {1, 2});
  auto Other = buildSnapshot(mutate(Earlier), {1, 1});
  auto Renumbered = buildSnapshot(Earlier, {1, 3});
  SnapshotDelta Delta = makeDelta(*Old, *New);
  for (const auto &Base : {Other, Renumbered, New}) {
    auto Applied = applyDelta(*Base, Delta);
    REQUIRE_FALSE(Applied);
    CHECK(Applied.error().Code_ == ErrorCode::DeltaBaseMismatch);
  }
}

// Each row is a corrupt delta that must not be adopted.
TEST_CASE_FIXTURE(DeltaFixture, "corrupt delta is refused") {
  ServiceModel Earlier{1, "m", {}};
  for (const char *Name : {"a", "b", "c"})
    Earlier.Services_.push_back(defaultService(Name));
  ServiceModel Later = Earlier;
  Later.Services_[0].Slots_ = 3;
  Later.Services_[1].Slots_ = 3;
  Later.Services_.pop_back();
  auto Old = buildSnapshot(Earlier, {1, 1});
  auto New = buildSnapshot(Later, {1, 2});
  SnapshotImage Before = toImage(*Old);
  struct Row {
    void (*Change_)(SnapshotDelta &);
    ErrorCode Code_;
  };
  const Row Rows[] = {
      {[](SnapshotDelta &Delta) { Delta.Changed_[0].Slots_ = 4; },
       ErrorCode::DigestMismatch},
      {[](SnapshotDelta &Delta) { Delta.Changed_.pop_back(); },
       ErrorCode::DigestMismatch},
      {[](SnapshotDelta &Delta) { Delta.Removed_.clear(); },
       ErrorCode::DigestMismatch},
      {[](SnapshotDelta &Delta) { Delta.Mesh_ = "n"; },
       ErrorCode::DigestMismatch},
      {[](SnapshotDelta &Delta) { Delta.Digest_.High_ ^= 1; },
       ErrorCode::DigestMismatch},
      {[](SnapshotDelta &Delta) { Delta.Removed_ = {"x"}; },
       ErrorCode::SnapshotInvalid},
      {[](SnapshotDelta &Delta) {
         Delta.Removed_ = {"c", "c"};
       },
       ErrorCode::SnapshotInvalid},
      {[](SnapshotDelta &Delta) { Delta.Removed_ = {"a"}; },
       ErrorCode::SnapshotInvalid},
      {[](SnapshotDelta &Delta) {
         std::swap(Delta.Changed_[0], Delta.Changed_[1]);
       },
       ErrorCode::SnapshotInvalid},
      {[](SnapshotDelta &Delta) { Delta.Version_ = {}; },
       ErrorCode::SnapshotInvalid},
  };
  for (std::size_t Index = 0; Index < std::size(Rows); ++Index) {
    CAPTURE(Index);
    SnapshotDelta Delta = makeDelta(*Old, *New);
    Rows[Index].Change_(Delta);
    auto Applied = applyDelta(*Old, Delta);
    REQUIRE_FALSE(Applied);
    CHECK(errorText(Applied.error().Code_) == errorText(Rows[Index].Code_));
    CHECK(toImage(*Old) == Before);
  }
}

// Guards against a delta that matches its digest but leaves a route or a
// dependency that refers to a removed service.
TEST_CASE_FIXTURE(DeltaFixture, "delta with a dangling result is refused") {
  ServiceModel Model{1, "m", {defaultService("a"), defaultService("b")}};
  Model.Services_[0].DependsOn_ = {"b"};
  auto Old = buildSnapshot(Model, {1, 1});
  Model.Services_.pop_back();
  auto Broken = buildSnapshot(Model, {1, 2});
  auto Applied = applyDelta(*Old, makeDelta(*Old, *Broken));
  REQUIRE_FALSE(Applied);
  CHECK(Applied.error().Code_ == ErrorCode::SnapshotInvalid);
}

// Guards against a peer whose delta makes this node request a path that the
// text does not allow.
TEST_CASE_FIXTURE(DeltaFixture, "delta with a bad health path is refused") {
  ServiceModel Earlier{1, "m", {defaultService("a")}};
  ServiceModel Later = Earlier;
  Later.Services_[0].HealthPath_ = "/a\r\nx: y";
  auto Old = buildSnapshot(Earlier, {1, 1});
  auto New = buildSnapshot(Later, {1, 2});
  auto Applied = applyDelta(*Old, makeDelta(*Old, *New));
  REQUIRE_FALSE(Applied);
  CHECK(Applied.error().Code_ == ErrorCode::SnapshotInvalid);
}

} // namespace marigold::config
