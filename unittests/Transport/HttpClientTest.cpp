#include "HttpClientFixture.h"
#include "Transport/DatagramSocket.h"
#include "Transport/HttpGet.h"

#include <array>
#include <atomic>

namespace marigold::transport {

TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client reuses a connection for repeatable requests") {
  Waiter<HttpClientResult> Got;
  send(Got, true);
  RawConnection First = Listener_.accept();
  std::string Request = First.receiveHttp();
  CHECK(Request.starts_with("POST /a HTTP/1.1\r\n"));
  CHECK(fieldOf(Request, "host") == "desk");
  CHECK(bodyOf(Request) == "body");
  First.send(Good);
  auto Value = Got.take();
  REQUIRE(Value);
  REQUIRE(Value->Response_);
  CHECK(Value->Response_->Status_ == 200);
  CHECK(Value->Response_->Body_ == "ok");
  CHECK(findHeader(Value->Response_->Headers_, "x-a") == "b");
  send(Got, true);
  CHECK(!First.receiveHttp().empty());
  First.send(Good);
  CHECK_FALSE(failureOf(Got));
  // A request that must not be repeated never uses an idle connection, since
  // UnrepeatableIdle_ is zero by default.
  send(Got, false);
  RawConnection Second = Listener_.accept();
  CHECK(!Second.receiveHttp().empty());
  Second.send(Good);
  CHECK_FALSE(failureOf(Got));
}

// Guards against an unknown outcome when the target has closed an idle
// connection.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client survives the close of an idle connection") {
  for (bool Repeatable : {true, false}) {
    CAPTURE(Repeatable);
    Waiter<HttpClientResult> Got;
    send(Got, Repeatable);
    {
      RawConnection Idle = Listener_.accept();
      Idle.receiveHttp();
      Idle.send(Good);
      CHECK_FALSE(failureOf(Got));
    }
    send(Got, Repeatable);
    RawConnection Fresh = Listener_.accept();
    Fresh.receiveHttp();
    Fresh.send(Good);
    CHECK_FALSE(failureOf(Got));
  }
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client reports whether a byte was written") {
  Waiter<HttpClientResult> Got;
  send(Got, false);
  {
    RawConnection Lost = Listener_.accept();
    Lost.receiveHttp();
    Lost.close(true);
  }
  auto Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK(Failed->Written_);
  CHECK(Failed->Lost_);
  Listener_.close();
  send(Got, false);
  Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK_FALSE(Failed->Written_);
}

// Each row is a response that is incomplete or may belong to another request.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client refuses malformed and incomplete responses") {
  struct Row {
    std::string Name_;
    std::string Text_;
    ErrorCode Code_;
  };
  const std::vector<Row> Rows{
      {"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
       ErrorCode::ConnectionFailed},
      {"cut chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
       ErrorCode::ConnectionFailed},
      {"length and coding",
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
       "Transfer-Encoding: chunked\r\n\r\nok",
       ErrorCode::MalformedAnswer},
      {"not http", "SSH-2.0-x\r\n\r\n", ErrorCode::MalformedAnswer},
      {"body beyond the limit",
       "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n",
       ErrorCode::AnswerTooLarge},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.Name_);
    Waiter<HttpClientResult> Got;
    send(Got, true);
    RawConnection Target = Listener_.accept();
    Target.receiveHttp();
    Target.send(Case.Text_);
    Target.close();
    auto Failed = failureOf(Got);
    REQUIRE(Failed);
    CHECK(Failed->Written_);
    CHECK(Failed->Cause_.Code_ == Case.Code_);
  }
}

// Guards against losing responses without a length, and against accepting a
// truncated response as complete.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client takes a body up to a close, not up to a reset") {
  const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\nok";
  Waiter<HttpClientResult> Got;
  send(Got, true);
  RawConnection First = Listener_.accept();
  First.receiveHttp();
  First.send(Unframed);
  First.close();
  auto Value = Got.take();
  REQUIRE(Value);
  REQUIRE(Value->Response_);
  CHECK(Value->Response_->Body_ == "ok");
  send(Got, true);
  RawConnection Second = Listener_.accept();
  Second.receiveHttp();
  Second.send(Unframed);
  Second.close(true);
  auto Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK(Failed->Written_);
}

// Guards against passing on a response that broke off as a complete one: each
// response is cut at every byte, by a close and by a reset.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client takes no response that is cut at any byte") {
  const std::vector<std::string> Responses{
      Good, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nok\r\n3;a=b\r\nfin\r\n0\r\nX-T: t\r\n\r\n"};
  for (const std::string &Response : Responses)
    for (std::size_t Size = 0; Size < Response.size(); ++Size)
      for (bool Reset : {false, true}) {
        CAPTURE(Response);
        CAPTURE(Size);
        CAPTURE(Reset);
        Waiter<HttpClientResult> Got;
        send(Got, false);
        RawConnection Target = Listener_.accept();
        Target.receiveHttp();
        Target.send(std::string_view(Response).substr(0, Size));
        Target.close(Reset);
        auto Failed = failureOf(Got);
        REQUIRE(Failed);
        CHECK(Failed->Written_);
      }
}

// Guards against a target that sends bytes without end: the memory for them and
// the time until the connection is closed are bounded, and other requests go
// on. No row depends on the deadline of the request.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client ends a response that has no end") {
  struct Row {
    std::string Name_;
    std::string Start_;
    std::string Repeated_;
    ErrorCode Code_;
  };
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Block(8192, 'x');
  const std::vector<Row> Rows{
      {"bytes that are no response", "", Block, ErrorCode::MalformedAnswer},
      {"status line", "HTTP/1.1 200 ", Block, ErrorCode::MalformedAnswer},
      {"header field", "HTTP/1.1 200 OK\r\nX-A: ", Block,
       ErrorCode::MalformedAnswer},
      {"header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n",
       ErrorCode::MalformedAnswer},
      {"chunk size", Chunked, std::string(512, '0'),
       ErrorCode::MalformedAnswer},
      {"chunk extension", Chunked + "2;a=", Block, ErrorCode::MalformedAnswer},
      {"chunks", Chunked, "2000\r\n" + Block + "\r\n",
       ErrorCode::AnswerTooLarge},
      {"trailer", Chunked + "0\r\nX-T: ", Block, ErrorCode::MalformedAnswer},
      {"trailers", Chunked + "0\r\n", "X-T: t\r\n", ErrorCode::MalformedAnswer},
      {"body up to a close", "HTTP/1.1 200 OK\r\n\r\n", Block,
       ErrorCode::AnswerTooLarge},
      {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n",
       ErrorCode::MalformedAnswer},
      {"responses to another request", "",
       "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok",
       ErrorCode::MalformedAnswer},
  };
  // Far more than a connection may take, including the buffers of the kernel.
  constexpr std::size_t SendLimit = std::size_t{64} * 1024 * 1024;
  for (const Row &Case : Rows) {
    CAPTURE(Case.Name_);
    HttpClientRequest Request{"GET",
                              "/a",
                              {},
                              nullptr,
                              "desk",
                              true,
                              std::chrono::steady_clock::now() + TestTimeout};
    Request.EchoField_ = "x-id";
    Request.EchoValue_ = "own";
    Waiter<HttpClientResult> Got;
    pool().send(Request,
                [&Got](HttpClientResult Value) { Got.set(std::move(Value)); });
    RawConnection Target = Listener_.accept();
    Target.receiveHttp();
    bool Open = Target.send(Case.Start_);
    std::string Many;
    while (Many.size() < Block.size())
      Many += Case.Repeated_;
    std::size_t Sent = 0;
    for (; Open && Sent < SendLimit; Sent += Many.size())
      Open = Target.send(Many);
    CHECK_FALSE(Open);
    auto Failed = failureOf(Got);
    REQUIRE(Failed);
    CHECK(Failed->Written_);
    CHECK(Failed->Cause_.Code_ == Case.Code_);
    send(Got, true);
    RawConnection Other = Listener_.accept();
    Other.receiveHttp();
    Other.send(Good);
    CHECK_FALSE(failureOf(Got));
    // The next row must not find an idle connection.
    pool().closeIdle();
    CHECK(Other.endsSilently());
  }
}

// Guards against a response that has ended and is followed by bytes without
// end.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client closes a connection that sends after its end") {
  Waiter<HttpClientResult> Got;
  send(Got, true);
  RawConnection Target = Listener_.accept();
  Target.receiveHttp();
  Target.send(Good);
  CHECK_FALSE(failureOf(Got));
  bool Open = true;
  constexpr std::size_t MaxBlocks = 65'536;
  for (std::size_t Sent = 0; Open && Sent < MaxBlocks; ++Sent)
    Open = Target.send(std::string(1024, 'x'));
  CHECK_FALSE(Open);
}

// Guards against a target that exhausts the memory of its node with large
// responses on many connections, none of which exceeds the limit of one.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client bounds the memory of all responses together") {
  HttpClientLimits Limits;
  Limits.ResponseMemory_ = std::size_t{2} * 1024 * 1024;
  pool(Limits);
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n";
  std::array<Waiter<HttpClientResult>, 2> Large;
  std::vector<RawConnection> Targets;
  for (auto &Got : Large) {
    send(Got, true);
    Targets.push_back(Listener_.accept());
    Targets.back().receiveHttp();
  }
  Waiter<HttpClientResult> Small;
  send(Small, true);
  RawConnection Other = Listener_.accept();
  Other.receiveHttp();
  Targets[0].send(Head + std::string(1'500'000, 'x'));
  Targets[1].send(Head + std::string(700'000, 'x'));
  auto Failed = failureOf(Large[0]);
  REQUIRE(Failed);
  CHECK(Failed->Cause_.Code_ == ErrorCode::AnswerTooLarge);
  Other.send(Good);
  CHECK_FALSE(failureOf(Small));
  Targets[1].send(std::string(3'000'000 - 700'000, 'x'));
  Failed = failureOf(Large[1]);
  REQUIRE(Failed);
  CHECK(Failed->Cause_.Code_ == ErrorCode::AnswerTooLarge);
}

// Guards against a limit that counts received bytes while bodies without a
// length take up to twice as much memory.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client bounds the memory of bodies without a length") {
  HttpClientLimits Limits;
  Limits.ResponseMemory_ = std::size_t{2} * 1024 * 1024;
  pool(Limits);
  std::array<Waiter<HttpClientResult>, 3> Got;
  std::atomic<int> FirstEnded = -1;
  std::vector<RawConnection> Targets;
  for (int Index = 0; Index < 3; ++Index) {
    HttpClientRequest Request{"POST",
                              "/a",
                              {},
                              std::make_shared<const std::string>("body"),
                              "desk",
                              true,
                              std::chrono::steady_clock::now() + TestTimeout};
    pool().send(std::move(Request), [&, Index](HttpClientResult Value) {
      int None = -1;
      Got[static_cast<std::size_t>(Index)].set(std::move(Value));
      FirstEnded.compare_exchange_strong(None, Index);
    });
    Targets.push_back(Listener_.accept());
    Targets.back().receiveHttp();
  }
  // Together 1.8 MB, for which 3 MiB are reserved. Which of the equal bodies is
  // the largest at that moment depends on the order in which they are read.
  for (RawConnection &Target : Targets)
    Target.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(600'000, 'x'));
  REQUIRE(eventually([&] { return FirstEnded >= 0; }));
  auto Ended = static_cast<std::size_t>(FirstEnded.load());
  auto Failed = failureOf(Got[Ended]);
  REQUIRE(Failed);
  CHECK(Failed->Cause_.Code_ == ErrorCode::AnswerTooLarge);
  for (std::size_t Index = 0; Index < Got.size(); ++Index) {
    if (Index == Ended)
      continue;
    Targets[Index].close();
    auto Value = Got[Index].take();
    REQUIRE(Value);
    REQUIRE(Value->Response_);
    CHECK(Value->Response_->Body_.size() == 600'000);
  }
}

// Guards against telling that a request has not run although it was written to
// a connection before: it is sent again because the target seems to have closed
// the idle connection, and then no new connection can be opened.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client reports a lost first send as written") {
  HttpClientLimits Limits;
  Limits.StaleWindow_ = TestTimeout;
  pool(Limits);
  Waiter<HttpClientResult> Got;
  send(Got, true);
  RawConnection Idle = Listener_.accept();
  Idle.receiveHttp();
  Idle.send(Good);
  CHECK_FALSE(failureOf(Got));
  Listener_.close();
  send(Got, true);
  CHECK(!Idle.receiveHttp().empty());
  Idle.close(true);
  auto Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK(Failed->Written_);
}

// Guards against a request that waits for a connection without a deadline after
// its first send was lost: the limit of connections has become lower meanwhile.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client ends a resent request at its deadline") {
  HttpClientLimits Limits;
  Limits.Connections_ = 2;
  Limits.StaleWindow_ = TestTimeout;
  pool(Limits);
  Waiter<HttpClientResult> Running;
  send(Running, true);
  RawConnection Busy = Listener_.accept();
  Busy.receiveHttp();
  Waiter<HttpClientResult> Got;
  send(Got, true);
  RawConnection Idle = Listener_.accept();
  Idle.receiveHttp();
  Idle.send(Good);
  CHECK_FALSE(failureOf(Got));
  pool().setConnections(1);
  send(Got, true, std::chrono::milliseconds(200));
  Idle.receiveHttp();
  Idle.close(true);
  auto Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK(Failed->Written_);
  CHECK(Failed->Cause_.Code_ == ErrorCode::TimedOut);
  // The callback must not outlive its waiter.
  Busy.send(Good);
  CHECK_FALSE(failureOf(Running));
}

// Guards against delivering a late duplicate response to the caller of the next
// request.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client passes over the answer to an earlier request") {
  HttpClientRequest Request{"POST",
                            "/a",
                            {},
                            std::make_shared<const std::string>("body"),
                            "desk",
                            true,
                            std::chrono::steady_clock::now() +
                                std::chrono::minutes(1)};
  Request.EchoField_ = "x-id";
  Request.EchoValue_ = "second";
  Waiter<HttpClientResult> Got;
  pool().send(Request,
              [&Got](HttpClientResult Value) { Got.set(std::move(Value)); });
  RawConnection Target = Listener_.accept();
  Target.receiveHttp();
  Target.send("HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 5\r\n\r\n"
              "stale"
              "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 2\r\n\r\n"
              "ok");
  auto Value = Got.take();
  REQUIRE(Value);
  REQUIRE(Value->Response_);
  CHECK(Value->Response_->Body_ == "ok");
}

namespace {

/// A second response on a kept connection that does not belong to the request
/// in progress.
struct Surplus {
  std::string Name_;
  std::string Head_;
};

const std::vector<Surplus> Surpluses{
    {"copy of an earlier answer", "HTTP/1.1 200 OK\r\nX-Id: first\r\n"},
    {"copy of an earlier refusal",
     "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Id: first\r\n"},
    {"answer without identifier", "HTTP/1.1 200 OK\r\n"},
    {"refusal without identifier", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"},
    {"misdirected request without identifier",
     "HTTP/1.1 421 Misdirected Request\r\n"},
    {"answer with an empty identifier", "HTTP/1.1 200 OK\r\nX-Id: \r\n"},
};

/// Framing of the surplus response's body.
struct Framing {
  std::string Name_;
  std::string Rest_;
  /// The body ends with the connection.
  bool Closes_ = false;
};

const std::vector<Framing> Framings{
    {"length", "Content-Length: 5\r\n\r\nstale"},
    {"no body", "Content-Length: 0\r\n\r\n"},
    {"chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nstale\r\n0\r\n\r\n"},
    {"until close", "\r\nstale", true},
    {"until close, announced", "Connection: close\r\n\r\nstale", true},
};

const std::string Second =
    "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against a caller that gets the answer to another request, or is told
// by a repeated refusal that its request did not run. The target has kept the
// connection from an earlier request and sends a surplus response before the
// one that is due, in each framing.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client takes no surplus response in any framing") {
  HttpClientLimits Limits;
  Limits.UnrepeatableIdle_ = std::chrono::minutes(1);
  pool(Limits);
  auto Send = [&](const std::string &Id, Waiter<HttpClientResult> &Got) {
    HttpClientRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/a";
    Request.Deadline_ = std::chrono::steady_clock::now() + TestTimeout;
    Request.EchoField_ = "x-id";
    Request.EchoValue_ = Id;
    pool().send(std::move(Request),
                [&Got](HttpClientResult Value) { Got.set(std::move(Value)); });
  };
  for (const Surplus &Extra : Surpluses)
    for (const Framing &Body : Framings) {
      CAPTURE(Extra.Name_);
      CAPTURE(Body.Name_);
      Waiter<HttpClientResult> Got;
      Send("first", Got);
      RawConnection Target = Listener_.accept();
      Target.receiveHttp();
      Target.send("HTTP/1.1 200 OK\r\nX-Id: first\r\n"
                  "Content-Length: 2\r\n\r\nok");
      CHECK_FALSE(failureOf(Got));
      Send("second", Got);
      REQUIRE(!Target.receiveHttp().empty());
      Target.send(Extra.Head_ + Body.Rest_);
      if (Body.Closes_) {
        Target.finishSending();
        auto Failed = failureOf(Got);
        REQUIRE(Failed);
        CHECK(Failed->Written_);
        continue;
      }
      Target.send(Second);
      auto Value = Got.take();
      REQUIRE(Value);
      REQUIRE(Value->Response_);
      CHECK(Value->Response_->Status_ == 200);
      CHECK(Value->Response_->Body_ == "ok");
      pool().closeIdle();
      CHECK(Target.endsSilently());
    }
}

// Guards against keeping a connection on which the next response could not be
// attributed: the target did not repeat the identifier, or there was none.
TEST_CASE_FIXTURE(
    HttpClientFixture,
    "http client without echoed identifier reuses no connection") {
  for (const std::string Id : {"first", ""}) {
    CAPTURE(Id);
    Waiter<HttpClientResult> Got;
    HttpClientRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/a";
    Request.Repeatable_ = true;
    Request.Deadline_ = std::chrono::steady_clock::now() + TestTimeout;
    Request.EchoField_ = "x-id";
    Request.EchoValue_ = Id;
    pool().send(std::move(Request),
                [&Got](HttpClientResult Value) { Got.set(std::move(Value)); });
    RawConnection Target = Listener_.accept();
    Target.receiveHttp();
    Target.send(Good);
    CHECK_FALSE(failureOf(Got));
    CHECK(Target.endsSilently());
  }
}

// Guards against executing a request twice when its response is lost late, and
// against opening a new connection for each request that must not be repeated.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client reuses a young connection for any request") {
  HttpClientLimits Limits;
  Limits.UnrepeatableIdle_ = std::chrono::minutes(1);
  pool(Limits);
  Waiter<HttpClientResult> Got;
  send(Got, true);
  RawConnection Target = Listener_.accept();
  Target.receiveHttp();
  Target.send(Good);
  CHECK_FALSE(failureOf(Got));
  send(Got, false);
  CHECK(!Target.receiveHttp().empty());
  Target.close();
  auto Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK(Failed->Written_);
}

// Guards against taking surplus data for the response to the next request.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client closes a connection with surplus bytes") {
  Waiter<HttpClientResult> Got;
  send(Got, true);
  RawConnection First = Listener_.accept();
  First.receiveHttp();
  First.send(Good + Good);
  CHECK_FALSE(failureOf(Got));
  CHECK(First.endsSilently());
  send(Got, true);
  RawConnection Second = Listener_.accept();
  Second.receiveHttp();
  Second.send("HTTP/1.1 204 No Content\r\n\r\n");
  auto Value = Got.take();
  REQUIRE(Value);
  REQUIRE(Value->Response_);
  CHECK(Value->Response_->Status_ == 204);
}

// Guards against a late response on a reused connection.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client closes the connection at cancel and deadline") {
  Waiter<HttpClientResult> Got;
  auto Number = send(Got, true);
  {
    RawConnection Target = Listener_.accept();
    Target.receiveHttp();
    pool().cancel(Number);
    CHECK(Target.endsSilently());
  }
  auto Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK(Failed->Cause_.Code_ == ErrorCode::Cancelled);
  send(Got, true, std::chrono::milliseconds(50));
  RawConnection Target = Listener_.accept();
  Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK(Failed->Cause_.Code_ == ErrorCode::TimedOut);
  CHECK(!Target.receiveAll().empty());
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client at its connection limit waits for one") {
  HttpClientLimits Limits;
  Limits.Connections_ = 1;
  pool(Limits);
  Waiter<HttpClientResult> First;
  Waiter<HttpClientResult> Second;
  send(First, true);
  RawConnection Target = Listener_.accept();
  Target.receiveHttp();
  send(Second, true);
  Target.send(Good);
  CHECK_FALSE(failureOf(First));
  CHECK(!Target.receiveHttp().empty());
  Target.send(Good);
  CHECK_FALSE(failureOf(Second));
}

// Guards against a request that waits until its deadline although it may not be
// written: the change that forbids it came between the decision to send it and
// the queue, so that no recheck of the waiting requests follows.
TEST_CASE_FIXTURE(
    HttpClientFixture,
    "http client ends a request that is refused before it waits") {
  HttpClientLimits Limits;
  Limits.Connections_ = 1;
  pool(Limits);
  Waiter<HttpClientResult> Running;
  send(Running, false);
  RawConnection Busy = Listener_.accept();
  CHECK(!Busy.receiveHttp().empty());
  std::atomic<bool> Allowed = false;
  pool().recheckWaiting();
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/a";
  Request.Host_ = "desk";
  Request.Deadline_ =
      std::chrono::steady_clock::now() + std::chrono::minutes(1);
  Request.MayWrite_ = [&]() -> Result<void> {
    return Allowed ? success() : Result<void>(fail(ErrorCode::Draining));
  };
  Waiter<HttpClientResult> Refused;
  pool().send(Request,
              [&](HttpClientResult Value) { Refused.set(std::move(Value)); });
  auto Failed = failureOf(Refused);
  REQUIRE(Failed);
  CHECK(Failed->Cause_.Code_ == ErrorCode::Draining);
  CHECK_FALSE(Failed->Written_);
  // One that may be written waits for the connection as before.
  Allowed = true;
  Waiter<HttpClientResult> Waiting;
  pool().send(Request,
              [&](HttpClientResult Value) { Waiting.set(std::move(Value)); });
  Busy.send(Good);
  CHECK_FALSE(failureOf(Running));
  RawConnection Next = Listener_.accept();
  CHECK(!Next.receiveHttp().empty());
  Next.send(Good);
  CHECK_FALSE(failureOf(Waiting));
}

TEST_CASE_FIXTURE(HttpClientFixture, "http get reports each kind of end") {
  struct Row {
    std::string Name_;
    std::string Answer_;
    std::optional<ErrorCode> Code_;
  };
  const std::vector<Row> Rows{
      {"complete",
       "HTTP/1.1 404 Not Found\r\nX-Consul-Index: 7\r\n"
       "Content-Length: 2\r\n\r\nok",
       std::nullopt},
      {"cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
       ErrorCode::MalformedAnswer},
      {"too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
       ErrorCode::AnswerTooLarge},
      {"no end", "HTTP/1.1 200 OK\r\n\r\nok", ErrorCode::MalformedAnswer},
  };
  for (std::size_t Index = 0; Index < 2 * Rows.size(); ++Index) {
    const Row &Case = Rows[Index / 2];
    const double LinkRate = Index % 2 == 0 ? 0 : 1'125'000;
    CAPTURE(Case.Name_);
    CAPTURE(LinkRate);
    Waiter<Result<HttpGetResponse>> Got;
    httpGet(Threads_.Io_,
            {{Loopback, Listener_.port()},
             "/v1/kv/k?raw",
             TestTimeout,
             TestTimeout,
             100,
             LinkRate},
            [&](Result<HttpGetResponse> Value) { Got.set(std::move(Value)); });
    RawConnection Server = Listener_.accept();
    CHECK(Server.receiveHttp().starts_with("GET /v1/kv/k?raw HTTP/1.1\r\n"));
    Server.send(Case.Answer_);
    Server.close();
    auto Value = Got.take();
    REQUIRE(Value);
    REQUIRE(Value->has_value() == !Case.Code_);
    if (Case.Code_) {
      CHECK(Value->error().Code_ == *Case.Code_);
      continue;
    }
    CHECK(Value->value().Response_.Status_ == 404);
    CHECK(findHeader(Value->value().Response_.Headers_, "x-consul-index") ==
          "7");
  }
}

TEST_CASE("pace leaves half of the link, unless a body would last too long") {
  // 9 Mbit/s.
  constexpr double Link = 1'125'000;
  CHECK(pacedReadRate(5'000, Link) == 0);
  CHECK(pacedReadRate(100'000, Link) == Link / 2);
  // At half the link rate, a body of 1.4 MB would take 2.5 s.
  double Rate = pacedReadRate(1'400'000, Link);
  CHECK(Rate > Link / 2);
  CHECK(1'400'000 / Rate <= 1);
}

// Guards against losing or repeating data of a paced body, and against a pacing
// delay that outlasts a cancelled request.
TEST_CASE_FIXTURE(HttpClientFixture, "http get takes a paced body whole") {
  std::string Body;
  while (Body.size() < 200'000)
    Body += std::to_string(Body.size()) + ",";
  for (bool Cancel : {false, true}) {
    CAPTURE(Cancel);
    HttpGetRequest Request{{Loopback, Listener_.port()}, "/"};
    Request.Timeout_ = Request.ConnectTimeout_ = TestTimeout;
    Request.LinkRate_ = 1'125'000;
    Waiter<Result<HttpGetResponse>> Got;
    auto Stop =
        httpGet(Threads_.Io_, Request, [&](Result<HttpGetResponse> Value) {
          Got.set(std::move(Value));
        });
    RawConnection Server = Listener_.accept();
    std::string Answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n" + Body;
    Server.send(Cancel ? Answer.substr(0, 100'000) : Answer);
    if (Cancel)
      Stop();
    auto Value = Got.take();
    REQUIRE(Value);
    if (Cancel) {
      REQUIRE_FALSE(Value->has_value());
      CHECK(Value->error().Code_ == ErrorCode::Cancelled);
      continue;
    }
    REQUIRE(Value->has_value());
    CHECK(Value->value().Response_.Body_ == Body);
    CHECK(Value->value().ReceivedBytes_ == Answer.size());
  }
}

TEST_CASE_FIXTURE(HttpClientFixture, "http get ends at timeout and cancel") {
  for (bool Cancel : {true, false}) {
    CAPTURE(Cancel);
    Waiter<Result<HttpGetResponse>> Got;
    auto Stop = httpGet(
        Threads_.Io_,
        {{Loopback, Listener_.port()},
         "/",
         Cancel ? Duration(TestTimeout) : std::chrono::milliseconds(50),
         TestTimeout,
         100},
        [&](Result<HttpGetResponse> Value) { Got.set(std::move(Value)); });
    RawConnection Server = Listener_.accept();
    if (Cancel)
      Stop();
    auto Value = Got.take();
    REQUIRE(Value);
    REQUIRE_FALSE(Value->has_value());
    CHECK(Value->error().Code_ ==
          (Cancel ? ErrorCode::Cancelled : ErrorCode::TimedOut));
  }
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "datagram socket delivers and counts datagrams") {
  Waiter<std::string> Got;
  DatagramSocket Receiver(Threads_.Io_,
                          [&](const Address &, std::string_view Data) {
                            Got.set(std::string(Data));
                          });
  DatagramSocket Sender(Threads_.Io_, [](const Address &, std::string_view) {});
  REQUIRE(Receiver.open({Loopback, 0}));
  REQUIRE(Sender.open({Loopback, 0}));
  Address To{Loopback, Receiver.port()};
  CHECK_FALSE(Sender.send(To, std::string(DatagramLimit + 1, 'x')));
  CHECK(Sender.send(To, std::string(DatagramLimit, 'x')));
  CHECK(Got.take() == std::string(DatagramLimit, 'x'));
  CHECK(Sender.counters().SentBytes_ == DatagramLimit);
  CHECK(Sender.counters().Dropped_ == 1);
  CHECK(Receiver.counters().ReceivedBytes_ == DatagramLimit);
  Threads_.stop();
}

} // namespace marigold::transport
