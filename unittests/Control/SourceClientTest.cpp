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
    {"Node":"c"}, 5])");
  REQUIRE(Hosts);
  REQUIRE(Hosts.value().size() == 1);
  CHECK(Hosts.value()[0].Leaving_);
  CHECK(Hosts.value()[0].Record_.Id_ == HostId{0x7f000001, 7400});
  CHECK(Hosts.value()[0].Record_.Service_ == "desk");
}

TEST_CASE("host list that is not a list is refused") {
  for (const char *Text : {"", "{}", "[", "null"}) {
    CAPTURE(Text);
    CHECK_FALSE(parseHostList(Text));
  }
}

} // namespace marigold::node
