#include "Transport/HttpServer.h"
#include "Transport/ProgressMonitor.h"

#include "TestSupport/NetworkFixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigold::transport {
namespace {

constexpr std::size_t Body = 100'000;

struct LimitedServerFixture {
  LimitedServerFixture() {
    Options_.OnRequest_ = [](const HttpRequest &Request,
                             const std::shared_ptr<HttpExchange> &Exchange) {
      HttpResponse Response;
      Response.Body_ = std::to_string(Request.Body_.size());
      Exchange->respond(std::move(Response));
    };
    Options_.BodyLimit_ = [](const HttpRequest &) { return 10 * Body; };
    Options_.OnShed_ = [this](std::string_view) { ++Shed_; };
  }
  ~LimitedServerFixture() { Threads_.stop(); }

  RawConnection connect() {
    if (!Server_) {
      Server_.emplace(Threads_.Io_, Options_);
      REQUIRE(Server_->listen({Loopback, 0}));
    }
    return RawConnection(Server_->port());
  }

  static std::string post(std::size_t Length, std::size_t Sent) {
    return "POST /a HTTP/1.1\r\nHost: desk\r\nContent-Length: " +
           std::to_string(Length) + "\r\n\r\n" + std::string(Sent, 'x');
  }

  HttpServerOptions Options_;
  std::atomic<int> Shed_ = 0;
  IoThreads Threads_;
  std::optional<HttpServer> Server_;
};

} // namespace

TEST_CASE_FIXTURE(
    LimitedServerFixture,
    "bodies that stop short of their end give way, a complete one "
    "is served") {
  Options_.Memory_ = std::make_shared<MemoryAccount>(4 * Body);
  std::vector<RawConnection> Stalled;
  for (int Number = 0; Number < 6; ++Number) {
    Stalled.push_back(connect());
    Stalled.back().send(post(Body, Body - 1));
  }
  CHECK(eventually([&] { return Shed_ >= 3; }));
  RawConnection Ordinary = connect();
  Ordinary.send(post(Body, Body));
  CHECK(Ordinary.receiveHttp().starts_with("HTTP/1.1 200"));
  CHECK(Options_.Memory_->held() <= 4 * Body);
  Stalled.clear();
  Ordinary.close();
  CHECK(eventually([&] { return Options_.Memory_->held() == 0; }));
}

TEST_CASE_FIXTURE(LimitedServerFixture,
                  "a body larger than the account is refused as not run") {
  Options_.Memory_ = std::make_shared<MemoryAccount>(Body);
  RawConnection Client = connect();
  Client.send(post(2 * Body, 1));
  std::string Answer = Client.receiveHttp();
  CHECK(Answer.starts_with("HTTP/1.1 503"));
  CHECK(Answer.find("not-run") != std::string::npos);
}

TEST_CASE_FIXTURE(
    LimitedServerFixture,
    "silent connections take all places, a new client is served") {
  Options_.Connections_ = 4;
  std::vector<RawConnection> Silent;
  for (int Number = 0; Number < 4; ++Number)
    Silent.push_back(connect());
  RawConnection Client = connect();
  Client.send(post(3, 3));
  CHECK(Client.receiveHttp().starts_with("HTTP/1.1 200"));
  CHECK(Silent.front().endsSilently());
}

TEST_CASE("progress monitor, a body below the rate for a window, is too slow") {
  constexpr TimePoint Start{std::chrono::hours(1)};
  ProgressMonitor Monitor;
  Monitor.begin(Start);
  using std::chrono::seconds;
  CHECK_FALSE(Monitor.isTooSlow(Start + seconds(4), 0, 256));
  CHECK_FALSE(
      Monitor.isTooSlow(Start + seconds(5), std::uint64_t{5} * 256, 256));
  // What moved in earlier windows does not count.
  CHECK(Monitor.isTooSlow(Start + seconds(10), 10 * 256 - 1, 256));
  CHECK_FALSE(Monitor.isTooSlow(Start + seconds(15), 10 * 256 - 1, 0));
}

} // namespace marigold::transport
