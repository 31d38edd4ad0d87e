#include "Config/Snapshot.h"
#include "Config/Limits.h"
#include "Config/Validator.h"

#include <doctest/doctest.h>

#include <limits>

namespace marigold::config {
namespace {

struct SnapshotFixture {
  ServiceModel Model_{1, "m", {defaultService("b"), defaultService("a")}};

  SnapshotPointer build(std::uint64_t Revision = 5) const {
    return buildSnapshot(Model_, {Model_.Epoch_, Revision});
  }

  /// Returns the path of the route matched by a request, or the error text.
  static std::string route(const Snapshot &Value, std::string_view Method,
                           std::string_view Target) {
    auto Match = Value.matchRoute("a", Method, Target);
    return Match ? Match.value()->Path_
                 : std::string(errorText(Match.error().Code_));
  }
};

} // namespace

// Guards against digests that depend on the version or on the order of services
// in the text, and against digests that do not cover all content.
TEST_CASE_FIXTURE(SnapshotFixture, "digest covers content and nothing else") {
  auto First = build();
  std::swap(Model_.Services_[0], Model_.Services_[1]);
  CHECK(build(6)->digest() == First->digest());
  CHECK(First->services()[0]->Config_.Name_ == "a");
  ServiceModel Original = Model_;
  Model_.Mesh_ = "n";
  CHECK(build()->digest() != First->digest());
  Model_ = Original;
  Model_.Services_[0].Routes_[0].Repeatable_ = true;
  CHECK(build()->digest() != First->digest());
  Model_ = Original;
  Model_.Services_.pop_back();
  CHECK(build()->digest() != First->digest());
}

// Guards against a request that is handled with the rules of another route.
TEST_CASE_FIXTURE(SnapshotFixture, "route match takes the longest whole path") {
  RouteConfig Read = defaultRoute("/bookings");
  Read.Methods_ = {"GET"};
  RouteConfig Rooms = defaultRoute("/bookings/rooms");
  Rooms.Methods_ = {"POST"};
  Model_.Services_[1].Routes_ = {defaultRoute("/"), Rooms, Read};
  auto Value = build();
  CHECK(route(*Value, "GET", "/bookings") == "/bookings");
  CHECK(route(*Value, "GET", "/bookings/") == "/bookings");
  CHECK(route(*Value, "GET", "/bookings?x=/../y") == "/bookings");
  CHECK(route(*Value, "GET", "/bookingsx") == "/");
  CHECK(route(*Value, "GET", "/booking") == "/");
  CHECK(route(*Value, "GET", "/") == "/");
  CHECK(route(*Value, "POST", "/bookings/rooms/7") == "/bookings/rooms");
  CHECK(route(*Value, "GET", "/bookings/rooms/7") == "/bookings");
  CHECK(route(*Value, "PUT", "/bookings/rooms") == "/");
  CHECK(route(*Value, "GET", "/%62ookings/%7E%20") == "/bookings");
  CHECK(route(*Value, "TRACE", "/bookings") == "no-route");
  CHECK(Value->matchRoute("c", "GET", "/").error().Code_ ==
        ErrorCode::UnknownService);
}

// A target may normalize these paths to the path of a different route than the
// node does.
TEST_CASE_FIXTURE(SnapshotFixture, "ambiguous request path is refused") {
  auto Value = build();
  for (const char *Target :
       {"", "bookings", "*", "//bookings", "/x/../bookings", "/x/%2e%2E/y",
        "/./x", "/x%2fy", "/x%5Cy", "/x\\y", "/x%00", "/x%4", "/x%zz", "/x#y",
        "/x y", "/x//"}) {
    CAPTURE(Target);
    CHECK(route(*Value, "GET", Target) == "malformed-request");
  }
}

// Guards against adopting content from a peer that the validator would refuse
// in a configuration text.
TEST_CASE_FIXTURE(SnapshotFixture, "image that breaks a rule is refused") {
  using Change = void (*)(ServiceModel &);
  const Change Changes[] = {
      [](ServiceModel &Model) { Model.Epoch_ = 0; },
      [](ServiceModel &Model) { Model.Mesh_ = ""; },
      [](ServiceModel &Model) { Model.Services_.clear(); },
      [](ServiceModel &Model) {
        std::swap(Model.Services_[0].Name_, Model.Services_[1].Name_);
      },
      [](ServiceModel &Model) { Model.Services_[0].Name_ = "b"; },
      [](ServiceModel &Model) { Model.Services_[0].Name_ = "A"; },
      [](ServiceModel &Model) { Model.Services_[0].DependsOn_ = {"x"}; },
      [](ServiceModel &Model) { Model.Services_[0].DependsOn_ = {"a"}; },
      [](ServiceModel &Model) {
        Model.Services_[0].DependsOn_ = {"b", "b"};
      },
      [](ServiceModel &Model) { Model.Services_[0].Slots_ = 0; },
      [](ServiceModel &Model) {
        Model.Services_[0].SlowStart_ = std::chrono::milliseconds(-1);
      },
      [](ServiceModel &Model) {
        Model.Services_[0].Objective_.Availability_ =
            std::numeric_limits<double>::quiet_NaN();
      },
      [](ServiceModel &Model) {
        Model.Services_[0].Objective_.Availability_ = 0.99912345678;
      },
      [](ServiceModel &Model) { Model.Services_[0].HealthPath_ = "health"; },
      [](ServiceModel &Model) { Model.Services_[0].HealthPath_ = "/a\r\nb"; },
      [](ServiceModel &Model) {
        Model.Services_[0].ColdTime_ = std::chrono::milliseconds(-1);
      },
      [](ServiceModel &Model) {
        Model.Services_[0].ColdRate_ = MaxColdRate + 1;
      },
      [](ServiceModel &Model) { Model.Services_[0].Routes_.clear(); },
      [](ServiceModel &Model) {
        Model.Services_[0].Routes_.push_back(defaultRoute());
      },
      [](ServiceModel &Model) {
        Model.Services_[0].Routes_.push_back(defaultRoute("/longer"));
      },
      [](ServiceModel &Model) {
        Model.Services_[0].Routes_[0].Methods_ = {"PUT", "GET"};
      },
      [](ServiceModel &Model) {
        Model.Services_[0].Routes_[0].MaxBody_ = MaxBodyLimit + 1;
      },
      [](ServiceModel &Model) {
        Model.Services_.resize(MaxServices + 1, defaultService("z"));
      },
  };
  normalize(Model_);
  for (std::size_t Row = 0; Row < std::size(Changes); ++Row) {
    CAPTURE(Row);
    ServiceModel Changed = Model_;
    Changes[Row](Changed);
    std::vector<ServiceEntryPointer> Entries;
    for (const ServiceConfig &Service : Changed.Services_)
      Entries.push_back(std::make_shared<const ServiceEntry>(
          ServiceEntry{Service, serviceDigest(Service)}));
    Snapshot Value({Changed.Epoch_, 5}, Changed.Mesh_, Entries);
    auto Verdict = validateSnapshot(Value);
    REQUIRE_FALSE(Verdict);
    CHECK(Verdict.error().Code_ == ErrorCode::SnapshotInvalid);
    auto Image = fromImage(toImage(Value));
    REQUIRE_FALSE(Image);
    CHECK(Image.error() == Verdict.error());
  }
}

// Guards against limits of operators' texts that refuse content which another
// system has accepted, and against accepting what nodes cannot rely on.
TEST_CASE_FIXTURE(SnapshotFixture,
                  "accepted content has no limits on counts and names") {
  using Change = void (*)(ServiceModel &);
  const Change Allowed[] = {
      [](ServiceModel &Model) { Model.Services_.clear(); },
      [](ServiceModel &Model) { Model.Services_[0].Name_ = "A b/\xc3\xbc"; },
      [](ServiceModel &Model) {
        Model.Services_[0].Name_ = std::string(MaxNameLength + 1, 'x');
      },
      [](ServiceModel &Model) { Model.Services_[0].Routes_.clear(); },
      [](ServiceModel &Model) {
        for (std::size_t Index = 0; Index <= MaxServices; ++Index)
          Model.Services_.push_back(
              defaultService("s" + std::to_string(Index)));
      },
      [](ServiceModel &Model) {
        for (std::size_t Index = 0; Index <= MaxVirtualHosts; ++Index)
          Model.Hosts_.push_back({"h" + std::to_string(Index), {}});
      },
      [](ServiceModel &Model) {
        HostRoute Route = defaultHostRoute();
        Route.Targets_ = {{NoService, 1}};
        Model.Hosts_.push_back({"h", {Route}});
      },
  };
  const Change Refused[] = {
      [](ServiceModel &Model) { Model.Mesh_ = ""; },
      [](ServiceModel &Model) { Model.Services_[0].Slots_ = 0; },
      [](ServiceModel &Model) { Model.Services_[0].DependsOn_ = {"x"}; },
      [](ServiceModel &Model) { Model.Services_[0].DependsOn_ = {"b"}; },
      [](ServiceModel &Model) {
        for (std::size_t Index = 0; Index <= MaxServices; ++Index)
          Model.Services_.push_back(
              defaultService("s" + std::to_string(Index)));
        Model.Services_[0].DependsOn_ = {"a"};
      },
      [](ServiceModel &Model) {
        Model.Services_.push_back(Model.Services_[0]);
      },
      [](ServiceModel &Model) {
        HostRoute Route = defaultHostRoute();
        Route.Targets_ = {{"nobody", 1}};
        Model.Hosts_.push_back({"h", {Route}});
      },
      [](ServiceModel &Model) {
        Model.Hosts_.push_back({"h", {defaultHostRoute()}});
      },
      [](ServiceModel &Model) {
        HostRoute Route = defaultHostRoute();
        Route.Targets_ = {{"a", 1}};
        Model.Hosts_.push_back({"h", {Route, Route}});
      },
      [](ServiceModel &Model) {
        Model.Hosts_ = {{"h", {}}, {"h", {}}};
      },
  };
  Model_.Epoch_ = NumberedEpoch;
  for (Change Each : Allowed) {
    CAPTURE(&Each - Allowed);
    ServiceModel Changed = Model_;
    Each(Changed);
    auto Built = buildSnapshot(Changed, {NumberedEpoch, 5});
    CHECK(validateSnapshot(*Built));
    CHECK(fromImage(toImage(*Built)));
    // The same content in a text of operators is refused.
    CHECK_FALSE(
        validateModel(viewOf(Changed), ModelRules::OperatorText).empty());
  }
  for (Change Each : Refused) {
    CAPTURE(&Each - Refused);
    ServiceModel Changed = Model_;
    Each(Changed);
    auto Built = buildSnapshot(Changed, {NumberedEpoch, 5});
    CHECK_FALSE(validateSnapshot(*Built));
    CHECK_FALSE(fromImage(toImage(*Built)));
  }
}

// Guards against adopting a corrupt image.
TEST_CASE_FIXTURE(SnapshotFixture, "image round trip and wrong digest") {
  auto Value = build();
  REQUIRE(validateSnapshot(*Value));
  auto Copy = fromImage(toImage(*Value));
  REQUIRE(Copy);
  CHECK(Copy.value()->version() == Value->version());
  CHECK(toModel(*Copy.value()) == toModel(*Value));
  SnapshotImage Image = toImage(*Value);
  Image.Services_[0].Slots_ += 1;
  CHECK(fromImage(Image).error().Code_ == ErrorCode::DigestMismatch);
  std::vector<ServiceEntryPointer> Entries = Value->services();
  ServiceEntry Wrong = *Entries[0];
  Wrong.Digest_.Low_ ^= 1;
  Entries[0] = std::make_shared<const ServiceEntry>(Wrong);
  CHECK(validateSnapshot(Snapshot({1, 1}, "m", Entries)).error().Code_ ==
        ErrorCode::DigestMismatch);
}

} // namespace marigold::config
