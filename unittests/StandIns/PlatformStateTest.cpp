#include "StandIns/PlatformState.h"
#include "StandIns/UrlQuery.h"
#include "Support/UrlText.h"

#include <doctest/doctest.h>

namespace marigold::standins {
namespace {

struct PlatformStateFixture {
  PlatformState State_{std::chrono::seconds(2)};
  TimePoint Now_{};
  const std::string Key_ = "k";
};

} // namespace

// Guards against pairing the older text with the newer index.
TEST_CASE_FIXTURE(PlatformStateFixture,
                  "read under fault stale returns the older text and index") {
  std::uint64_t First = State_.publish(Key_, "one");
  std::uint64_t Second = State_.publish(Key_, "two");
  State_.setFault(PlatformFault::Stale);
  CHECK(State_.read(Key_)->Text_ == "one");
  CHECK(State_.keyIndex(Key_) == First);
  State_.setFault(PlatformFault::None);
  CHECK(State_.keyIndex(Key_) == Second);
}

TEST_CASE_FIXTURE(PlatformStateFixture,
                  "successive reads under fault crossed go back in order") {
  std::uint64_t First = State_.publish(Key_, "one");
  std::uint64_t Second = State_.publish(Key_, "two");
  State_.setFault(PlatformFault::Crossed);
  CHECK(State_.read(Key_)->Index_ == Second);
  CHECK(State_.read(Key_)->Index_ == First);
  CHECK(State_.read(Key_)->Index_ == Second);
}

TEST_CASE_FIXTURE(PlatformStateFixture,
                  "publishing after fault forget continues from index 1") {
  State_.publish(Key_, "one");
  State_.publish(Key_, "two");
  std::uint64_t Generation = State_.generation();
  State_.setFault(PlatformFault::Forget);
  CHECK(State_.keyIndex(Key_) == 1);
  CHECK(State_.read(Key_)->Text_ == "two");
  CHECK(State_.generation() != Generation);
  CHECK(State_.fault() == PlatformFault::None);
  CHECK(State_.publish(Key_, "three") > 1);
}

TEST_CASE_FIXTURE(PlatformStateFixture,
                  "host list becomes visible only after the lag") {
  State_.setHosts({{"a", "127.0.0.1", {}}}, Now_);
  std::uint64_t Before = State_.hostsIndex(Now_);
  CHECK(State_.hosts(std::nullopt, Now_).empty());
  TimePoint Later = Now_ + std::chrono::seconds(2);
  CHECK(State_.hosts(std::nullopt, Later).size() == 1);
  CHECK(State_.hostsIndex(Later) > Before);
}

TEST_CASE("filter accepts the published forms and refuses others") {
  for (const char *Text :
       {"Meta.failure_domain==quito", "Meta.failure_domain == \"quito\""}) {
    auto Filter = parseFilter(Text);
    REQUIRE(Filter);
    CHECK(Filter.value().Field_ == "failure_domain");
    CHECK(Filter.value().Value_ == "quito");
  }
  for (const char *Text : {"", "Meta.==x", "Node==x", "Meta.a!=x"})
    CHECK_FALSE(parseFilter(Text));
}

TEST_CASE("query decodes what encodeUrl wrote") {
  std::string Text = "Meta.failure_domain==\"a b\"&%";
  UrlQuery Query("/v1/x%20y?keys&filter=" + encodeUrl(Text) + "&bad=%zz");
  CHECK(Query.path() == "/v1/x y");
  CHECK(Query.find("keys") == "");
  CHECK(Query.find("filter") == Text);
  CHECK(Query.find("bad") == "%zz");
  CHECK_FALSE(Query.find("index"));
}

} // namespace marigold::standins
