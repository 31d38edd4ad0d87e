#include "StandIns/PlatformServer.h"
#include "ServerFixture.h"
#include "StandIns/UrlQuery.h"
#include "Support/UrlText.h"

#include <future>

namespace marigold::standins {
namespace {

struct PlatformFixture : ServerFixture<PlatformServer, PlatformSettings> {
  const std::string Key_ = "/v1/kv/marigolddale/config";

  PlatformFixture() { start(); }

  std::string publish(const std::string &Text) {
    return call("PUT", Key_, Text).field("X-Consul-Index");
  }

  void setFault(const std::string &Kind) {
    REQUIRE(call("PUT", "/bench/fault?kind=" + Kind).Status_ == 200);
  }

  std::future<HttpAnswer> watch(const std::string &Target) {
    return std::async(std::launch::async, [this, Target] {
      return callHttp(Where_, "GET", Target).value();
    });
  }

  bool waits(int Watches) {
    return becomes("/bench/counters",
                   "\"waiting_watches\":" + std::to_string(Watches));
  }
};

} // namespace

TEST_CASE_FIXTURE(PlatformFixture, "read of a missing key returns 404 and the "
                                   "index of the store") {
  HttpAnswer Answer = get(Key_ + "?raw");
  CHECK(Answer.Status_ == 404);
  CHECK(Answer.field("X-Consul-Index") == "1");
}

TEST_CASE_FIXTURE(PlatformFixture,
                  "raw read returns the published text and its index") {
  std::string Text(1'048'576, 'x');
  std::string Index = publish(Text);
  HttpAnswer Answer = get(Key_ + "?raw");
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.Body_ == Text);
  CHECK(Answer.field("x-consul-index") == Index);
}

// Guards against tests that use a value larger than the platform can deliver.
TEST_CASE_FIXTURE(PlatformFixture, "publishing more than 1 MiB is refused") {
  CHECK(call("PUT", Key_, std::string(1'048'577, 'x')).Status_ == 413);
  CHECK(get(Key_ + "?raw").Status_ == 404);
}

TEST_CASE_FIXTURE(PlatformFixture, "keys read transfers names, not the text") {
  publish("secret");
  HttpAnswer Answer = get(Key_ + "?keys");
  CHECK(Answer.Body_ == R"(["marigolddale/config"])");
}

TEST_CASE_FIXTURE(PlatformFixture, "watch returns when the text changes") {
  std::string Before = publish("one");
  auto Answer = watch(Key_ + "?keys&wait=60s&index=" + Before);
  REQUIRE(waits(1));
  std::string After = publish("two");
  CHECK(Answer.get().field("X-Consul-Index") == After);
  CHECK(waits(0));
}

// Guards against a watch that ignores its wait time.
TEST_CASE_FIXTURE(PlatformFixture,
                  "watch returns the unchanged index after its wait") {
  std::string Index = publish("one");
  HttpAnswer Answer = get(Key_ + "?raw&wait=20ms&index=" + Index);
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.field("X-Consul-Index") == Index);
}

// Guards against a watch that is still counted after its reader disconnected.
TEST_CASE_FIXTURE(PlatformFixture, "watch of a closed connection ends") {
  std::string Index = publish("one");
  auto Answer = callHttp(Where_, "GET", Key_ + "?keys&index=" + Index, {}, {},
                         std::chrono::milliseconds(50));
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code_ == ErrorCode::TimedOut);
  CHECK(waits(0));
}

TEST_CASE_FIXTURE(PlatformFixture, "fault down answers reads and waiting "
                                   "watches with 503 until it is lifted") {
  std::string Index = publish("one");
  auto Answer = watch(Key_ + "?keys&wait=60s&index=" + Index);
  REQUIRE(waits(1));
  setFault("down");
  CHECK(Answer.get().Status_ == 503);
  CHECK(get(Key_ + "?raw").Status_ == 503);
  CHECK(get("/v1/catalog/nodes").Status_ == 503);
  setFault("none");
  CHECK(get(Key_ + "?raw").Status_ == 200);
}

// Guards against a watch that misses the restart of the index and keeps waiting
// for a higher one.
TEST_CASE_FIXTURE(PlatformFixture, "fault forget ends watches with index 1") {
  publish("one");
  std::string Index = publish("two");
  auto Answer = watch(Key_ + "?keys&wait=60s&index=" + Index);
  REQUIRE(waits(1));
  setFault("forget");
  CHECK(Answer.get().field("X-Consul-Index") == "1");
  CHECK(get(Key_ + "?raw").Body_ == "two");
}

TEST_CASE_FIXTURE(PlatformFixture, "fault slow still answers") {
  publish("one");
  REQUIRE(call("PUT", "/bench/fault?kind=slow&delay=10ms").Status_ == 200);
  CHECK(get(Key_ + "?raw").Body_ == "one");
}

TEST_CASE_FIXTURE(PlatformFixture,
                  "catalogue filters hosts by failure domain") {
  std::string Quito =
      R"({"Node":"a","Address":"127.0.1.1","Meta":{"failure_domain":"quito"}})";
  std::string Ambato =
      R"({"Node":"b","Address":"127.0.1.2","Meta":{"failure_domain":"ambato"}})";
  CHECK(call("PUT", "/bench/hosts", "[" + Quito + "," + Ambato + "]").Status_ ==
        200);
  REQUIRE(becomes("/v1/catalog/nodes", "127.0.1.2"));
  std::string Filter = encodeUrl("Meta.failure_domain==quito");
  HttpAnswer Answer = get("/v1/catalog/nodes?filter=" + Filter);
  CHECK(Answer.Body_.find("127.0.1.1") != std::string::npos);
  CHECK(Answer.Body_.find("127.0.1.2") == std::string::npos);
}

// Guards against accepting a malformed request with a wrong meaning.
TEST_CASE_FIXTURE(PlatformFixture, "malformed request is rejected") {
  struct Row {
    const char *Method_;
    const char *Target_;
    unsigned Status_;
  };
  for (const Row &Case :
       {Row{"GET", "/v1/kv/", 404}, Row{"GET", "/other", 404},
        Row{"DELETE", "/v1/kv/a", 405}, Row{"GET", "/v1/kv/a", 400},
        Row{"GET", "/v1/kv/a?raw&index=x", 400},
        Row{"GET", "/v1/kv/a?raw&index=1&wait=5", 400},
        Row{"GET", "/v1/catalog/nodes?filter=Node%3D%3Da", 400},
        Row{"PUT", "/bench/hosts", 400},
        Row{"PUT", "/bench/fault?kind=odd", 400}}) {
    CAPTURE(Case.Target_);
    CHECK(call(Case.Method_, Case.Target_).Status_ == Case.Status_);
  }
}

} // namespace marigold::standins
