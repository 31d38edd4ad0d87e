#include "ServerFixture.h"
#include "StandIns/TargetModel.h"
#include "StandIns/TargetServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace marigold::standins {
namespace {

/// Sends a request without reading the response; closes the connection on
/// destruction.
class OpenRequest {
public:
  OpenRequest(const Address &Where, const std::string &Id) : Socket_(Context_) {
    Socket_.connect({boost::asio::ip::address_v4(Where.Ipv4_), Where.Port_});
    boost::asio::write(Socket_,
                       boost::asio::buffer("GET / HTTP/1.1\r\nHost: desk\r\n"
                                           "x-request-id: " +
                                           Id + "\r\n\r\n"));
  }

private:
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::socket Socket_;
};

struct TargetFixture : ServerFixture<TargetServer, TargetSettings> {
  TargetFixture() {
    Settings_.Service_ = "desk";
    Settings_.Slots_ = 2;
    Settings_.Connections_ = 100;
  }

  HttpAnswer run(const std::string &Id, const std::string &Target = "/") {
    return call("GET", Target, "", {{"x-request-id", Id}});
  }

  bool isRunning(int Count) {
    return becomes("/.target/counters", "\"running\":" + std::to_string(Count));
  }
};

} // namespace

TEST_CASE_FIXTURE(TargetFixture,
                  "answer echoes the id and has the asked size") {
  start();
  HttpAnswer Answer = run("q1", "/a?bytes=500");
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.field("x-request-id") == "q1");
  CHECK(Answer.Body_.starts_with("id=q1\nservice=desk\n"));
  CHECK(Answer.Body_.size() >= 500);
  CHECK(Answer.field("x-body-length") == std::to_string(Answer.Body_.size()));
}

TEST_CASE_FIXTURE(TargetFixture, "ledger lists each run with key and count") {
  start();
  call("POST", "/bookings", "x",
       {{"x-request-id", "b 1"}, {"Idempotency-Key", "k1"}});
  run("c1");
  run("c1");
  CHECK(get("/.target/ledger").Body_ ==
        "run b_1 k1 1\nrun c1 - 1\nrun c1 - 2\ncut_runs 0\n");
}

TEST_CASE_FIXTURE(TargetFixture, "request beyond the slots is shed, not run") {
  Settings_.Slots_ = 1;
  Settings_.ServiceTime_ = std::chrono::seconds(60);
  start();
  OpenRequest Long(Where_, "long");
  REQUIRE(isRunning(1));
  HttpAnswer Answer = run("q2");
  CHECK(Answer.Status_ == 503);
  CHECK(Answer.field("x-marigold-not-run") == "true");
  CHECK(get("/.target/ledger").Body_.find("q2") == std::string::npos);
}

// Guards against a slot that stays in use after the caller disconnected.
TEST_CASE_FIXTURE(TargetFixture, "closed connection cuts the run") {
  Settings_.ServiceTime_ = std::chrono::seconds(60);
  start();
  {
    OpenRequest Long(Where_, "long");
    REQUIRE(isRunning(1));
  }
  REQUIRE(isRunning(0));
  CHECK(get("/.target/ledger").Body_ == "run long - 1\ncut long\ncut_runs 1\n");
}

TEST_CASE_FIXTURE(TargetFixture, "deadline ends a run with 504") {
  Settings_.ServiceTime_ = std::chrono::seconds(60);
  start();
  HttpAnswer Answer =
      call("GET", "/", "",
           {{"x-request-id", "q1"}, {"x-marigold-deadline-ms", "10"}});
  CHECK(Answer.Status_ == 504);
  CHECK(get("/.target/ledger").Body_ == "run q1 - 1\ncut_runs 0\n");
}

TEST_CASE_FIXTURE(TargetFixture, "connection beyond the limit is closed") {
  Settings_.Connections_ = 1;
  Settings_.ServiceTime_ = std::chrono::seconds(60);
  start();
  // Connections are accepted in the order in which they were opened, so the
  // second one exceeds the limit.
  OpenRequest Long(Where_, "long");
  auto Answer = callHttp(Where_, "GET", "/.target/health");
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code_ == ErrorCode::ConnectionFailed);
}

TEST_CASE_FIXTURE(TargetFixture, "health and load report false figures") {
  Settings_.ReportedHealth_ = "unhealthy";
  Settings_.ReportedLoad_ = "busy";
  start();
  CHECK(get("/.target/health").Status_ == 503);
  CHECK(get("/.target/load").Body_ == "{\"load\":1.0}\n");
  CHECK(run("q1").Status_ == 200);
}

TEST_CASE_FIXTURE(TargetFixture, "chained call goes through the node with "
                                 "depth and an id of its own") {
  TargetFixture Next;
  Next.start();
  Settings_.NodeAddress_ = Next.Where_;
  Settings_.Calls_ = "shelf,shelf/guides";
  start();
  CHECK(run("q1").Status_ == 200);
  CHECK(Next.get("/.target/ledger").Body_ ==
        "run q1>shelf - 1\nrun q1>shelf - 2\ncut_runs 0\n");
}

TEST_CASE_FIXTURE(TargetFixture, "failed chained call is answered with 502") {
  Settings_.NodeAddress_ = {0x7f000001, 1};
  Settings_.Calls_ = "shelf";
  start();
  HttpAnswer Answer = run("q1");
  CHECK(Answer.Status_ == 502);
  CHECK(Answer.Body_.find("failed call to shelf") != std::string::npos);
}

TEST_CASE("service time falls to its mean over the cold start") {
  TargetSettings Settings;
  Settings.ServiceTime_ = std::chrono::milliseconds(10);
  Settings.ColdStart_ = std::chrono::seconds(10);
  Settings.ColdFactor_ = 5;
  TargetModel Model(Settings, TimePoint{});
  auto Mean = [&](TimePoint Now) {
    Duration Sum{};
    for (int Sample = 0; Sample < 4000; ++Sample)
      Sum += Model.serviceTime(Now);
    return std::chrono::duration<double, std::milli>(Sum).count() / 4000;
  };
  CHECK(Mean(TimePoint{}) == doctest::Approx(50).epsilon(0.1));
  CHECK(Mean(TimePoint{} + std::chrono::seconds(5)) ==
        doctest::Approx(30).epsilon(0.1));
  CHECK(Mean(TimePoint{} + std::chrono::seconds(20)) ==
        doctest::Approx(10).epsilon(0.1));
}

TEST_CASE("target crashes only on the named path") {
  TargetSettings Settings;
  CHECK_FALSE(TargetModel(Settings, TimePoint{}).crashes("/poison"));
  Settings.CrashOn_ = "poison";
  CHECK(TargetModel(Settings, TimePoint{}).crashes("/a/poison/b"));
  CHECK_FALSE(TargetModel(Settings, TimePoint{}).crashes("/a"));
}

} // namespace marigold::standins
