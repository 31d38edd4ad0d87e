#include "ControlHarness.h"

#include <doctest/doctest.h>

namespace marigold::node {
namespace {

/// Settings of a node in mesh "test".
struct SourceTextFixture {
  NodeSettings Settings_;
  SourceTextFixture() { Settings_.Mesh_ = "test"; }
};

} // namespace

TEST_CASE_FIXTURE(SourceTextFixture, "source text of this mesh is a snapshot") {
  auto Text = readSourceText(textWithSlots(3, 4), 17, Settings_);
  REQUIRE(Text.Snapshot_);
  CHECK(Text.Snapshot_->version() == ConfigVersion{4, 17});
}

// Guards against replacing all services when the configured key holds the text
// of another mesh.
TEST_CASE_FIXTURE(SourceTextFixture, "source text of another mesh is refused") {
  Settings_.Mesh_ = "other";
  auto Text = readSourceText(textWithSlots(3), 17, Settings_);
  CHECK_FALSE(Text.Snapshot_);
  REQUIRE(Text.Refused_);
  CHECK(Text.Refused_->Code_ == ErrorCode::SnapshotInvalid);
}

TEST_CASE("host list with unusable entries keeps the usable ones") {
  auto Hosts = parseHostList(R"([
    {"Node":"a","Address":"127.0.0.1","Meta":{"service":"desk",
     "failure_domain":"quito","region":"andes","state":"leaving",
     "peer_port":"7400","caller_port":"7480","admin_port":"7490"}},
    {"Node":"b","Address":"nowhere","Meta":{"peer_port":"7400",
     "caller_port":"7480","admin_port":"7490"}},
    {"Node":"c"}, 5])",
                             TimePoint());
  REQUIRE(Hosts);
  REQUIRE(Hosts.value().Hosts_.size() == 1);
  const membership::ListedHost &Host = Hosts.value().Hosts_[0];
  CHECK(Host.Leaving_);
  CHECK(Host.Record_.Id_ == HostId{0x7f000001, 7400});
  CHECK(Host.Record_.Service_ == "desk");
  CHECK(Hosts.value().Unusable_ == 3);
}

// Guards against a port that is cut to 16 bits and against a process that ends
// at an entry of another writer.
TEST_CASE("host list omits entries with ports out of range") {
  for (const char *Port :
       {"0", "-1", "65536", "18446744073709551617", "1e3", "", "7400 ", "x"}) {
    CAPTURE(Port);
    std::string Text =
        R"([{"Node":"a","Address":"127.0.0.1","Meta":{"peer_port":")" +
        std::string(Port) +
        R"(","caller_port":"7480","admin_port":"7490"}},)"
        R"({"Node":"b","Address":"127.0.0.2","Meta":{"peer_port":"7400",)"
        R"("caller_port":"7480","admin_port":"7490"}}])";
    auto Hosts = parseHostList(Text, TimePoint());
    REQUIRE(Hosts);
    CHECK(Hosts.value().Unusable_ == 1);
    REQUIRE(Hosts.value().Hosts_.size() == 1);
    CHECK(Hosts.value().Hosts_[0].Record_.Id_ == HostId{0x7f000002, 7400});
  }
}

TEST_CASE("host list that is not a list is refused") {
  for (const char *Text : {"", "{}", "[", "null"}) {
    CAPTURE(Text);
    CHECK_FALSE(parseHostList(Text, TimePoint()));
  }
  CHECK_FALSE(parseHostList(
      std::string(100'000, '[') + std::string(100'000, ']'), TimePoint()));
}

} // namespace marigold::node
