#include "HttpClientFixture.h"
#include "Transport/HttpGet.h"
#include "Transport/HttpServer.h"

namespace marigold::transport {

namespace {

/// Framing of a response, behind its status line.
struct Framing {
  std::string Name_;
  std::string Rest_;
  /// The body ends with the connection.
  bool Closes_ = false;
};

const std::vector<Framing> Framings{
    {"length", "Content-Length: 2\r\n\r\nno"},
    {"no body", "Content-Length: 0\r\n\r\n"},
    {"body that never comes", "Content-Length: 9\r\n\r\n"},
    {"chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
    {"chunks without end", "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"},
    {"until close", "\r\nno", true},
    {"until a close that never comes", "\r\nno"},
    {"followed by an answer", "Content-Length: 2\r\n\r\nno" + Good},
};

std::string statusLine(unsigned Status) {
  std::string Digits = std::to_string(1000 + Status).substr(1);
  return "HTTP/1.1 " + Digits + " X\r\nX-Signature: s\r\n";
}

struct HttpAnswerFixture : HttpClientFixture {
  std::uint64_t sendMethod(Waiter<HttpClientResult> &Got,
                           const std::string &Method) {
    HttpClientRequest Request{Method,
                              "/a",
                              {},
                              nullptr,
                              "desk",
                              false,
                              std::chrono::steady_clock::now() +
                                  std::chrono::minutes(1)};
    return pool().send(std::move(Request), [&Got](HttpClientResult Value) {
      Got.set(std::move(Value));
    });
  }

  /// Result of a GET that the server answers with these bytes, after which it
  /// closes the connection.
  std::optional<Result<HttpGetResponse>> get(std::string_view Answer,
                                             bool Reset, double LinkRate) {
    Waiter<Result<HttpGetResponse>> Got;
    httpGet(Threads_.Io_,
            {{Loopback, Listener_.port()},
             "/v1/kv/k",
             TestTimeout,
             TestTimeout,
             100,
             LinkRate},
            [&](Result<HttpGetResponse> Value) { Got.set(std::move(Value)); });
    RawConnection Server = Listener_.accept();
    Server.receiveHttp();
    Server.send(Answer);
    Server.close(Reset);
    return Got.take();
  }
};

} // namespace

// Guards against callers that get as an answer, or wait until their deadline
// for, a response whose status is none: 000 and others outside of the range,
// and a switch to a protocol for which nobody asked. No row depends on the
// deadline of the request.
TEST_CASE_FIXTURE(HttpAnswerFixture,
                  "http client takes no response with an invalid status") {
  for (unsigned Status : {0U, 1U, 99U, 101U, 600U, 999U})
    for (const Framing &Case : Framings)
      for (const char *Method : {"POST", "HEAD"}) {
        CAPTURE(Status);
        CAPTURE(Case.Name_);
        CAPTURE(Method);
        Waiter<HttpClientResult> Got;
        sendMethod(Got, Method);
        RawConnection Target = Listener_.accept();
        Target.receiveHttp();
        Target.send(statusLine(Status) + Case.Rest_);
        if (Case.Closes_)
          Target.finishSending();
        auto Failed = failureOf(Got);
        REQUIRE(Failed);
        CHECK(Failed->Written_);
        CHECK(Failed->Cause_.Code_ == ErrorCode::MalformedAnswer);
        CHECK(Target.endsSilently());
      }
}

// Guards against an informational response that is taken for an answer because
// the connection ends behind it.
TEST_CASE_FIXTURE(HttpAnswerFixture,
                  "http client takes no informational response at a close") {
  for (unsigned Status : {100U, 102U, 103U, 199U})
    for (const char *Rest :
         {"\r\n", "\r\nHTTP/1.1 200 OK\r\n", "\r\nHTTP/1."}) {
      CAPTURE(Status);
      CAPTURE(Rest);
      Waiter<HttpClientResult> Got;
      sendMethod(Got, "POST");
      RawConnection Target = Listener_.accept();
      Target.receiveHttp();
      Target.send(statusLine(Status) + Rest);
      Target.finishSending();
      CHECK(failureOf(Got));
    }
}

// Guards against a second status line that is taken for the first field of a
// head.
TEST_CASE_FIXTURE(HttpAnswerFixture,
                  "http client takes no head with two status lines") {
  Waiter<HttpClientResult> Got;
  sendMethod(Got, "POST");
  RawConnection Target = Listener_.accept();
  Target.receiveHttp();
  Target.send("HTTP/1.1 200 OK\r\n" + Good);
  auto Failed = failureOf(Got);
  REQUIRE(Failed);
  CHECK(Failed->Cause_.Code_ == ErrorCode::MalformedAnswer);
}

// Guards against a success that is framed as whole although the target stopped
// in the middle of it. Each response is cut at each byte; those without a body
// and without a length end with their head, so every cut is inside the head.
TEST_CASE_FIXTURE(HttpAnswerFixture,
                  "http client takes no head that is cut at any byte") {
  struct Row {
    const char *Method_;
    std::string Response_;
  };
  const std::string Informational = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n";
  const std::vector<Row> Rows{
      {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"},
      {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"POST", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"},
      {"POST", "HTTP/1.1 304 Not Modified\r\nX-A: b\r\n\r\n"},
      {"POST", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"},
      {"POST", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n"},
      {"POST",
       "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
      {"POST", Informational + Good},
  };
  for (const Row &Case : Rows)
    for (std::size_t Size = 0; Size < Case.Response_.size(); ++Size)
      for (bool Reset : {false, true}) {
        CAPTURE(Case.Response_);
        CAPTURE(Size);
        CAPTURE(Reset);
        Waiter<HttpClientResult> Got;
        sendMethod(Got, Case.Method_);
        RawConnection Target = Listener_.accept();
        Target.receiveHttp();
        Target.send(std::string_view(Case.Response_).substr(0, Size));
        Target.close(Reset);
        auto Failed = failureOf(Got);
        REQUIRE(Failed);
        CHECK(Failed->Written_);
      }
}

// The same for answers of the configuration source, with and without pacing.
TEST_CASE_FIXTURE(HttpAnswerFixture,
                  "http get takes no response that is cut or has no status") {
  const std::vector<std::string> Responses{
      Good, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nok\r\n0\r\nX-T: t\r\n\r\n"};
  for (double LinkRate : {0.0, 1'125'000.0}) {
    CAPTURE(LinkRate);
    for (const std::string &Response : Responses)
      for (std::size_t Size = 0; Size < Response.size(); ++Size)
        for (bool Reset : {false, true}) {
          CAPTURE(Response);
          CAPTURE(Size);
          CAPTURE(Reset);
          auto Value =
              get(std::string_view(Response).substr(0, Size), Reset, LinkRate);
          REQUIRE(Value);
          CHECK_FALSE(*Value);
        }
    for (unsigned Status : {0U, 99U, 100U, 101U, 600U})
      for (const Framing &Case : Framings) {
        CAPTURE(Status);
        CAPTURE(Case.Name_);
        auto Value = get(statusLine(Status) + Case.Rest_, false, LinkRate);
        REQUIRE(Value);
        REQUIRE_FALSE(*Value);
      }
  }
}

// Guards against a caller that gets a status of the node with the fields of a
// target, such as its signature, when a node of an earlier version passes on a
// response with an invalid status.
TEST_CASE_FIXTURE(HttpAnswerFixture,
                  "http server sends no fields of a response without status") {
  for (unsigned Status : {0U, 99U, 100U, 101U, 600U, 999U, 1000U}) {
    CAPTURE(Status);
    HttpServerOptions Options;
    Options.OnRequest_ = [&](const HttpRequest &,
                             const std::shared_ptr<HttpExchange> &Exchange) {
      HttpResponse Response;
      Response.Status_ = Status;
      Response.Headers_ = {{"x-signature", "s"}};
      Response.Body_ = "unwanted";
      Exchange->respond(std::move(Response));
    };
    HttpServer Server(Threads_.Io_, Options);
    REQUIRE(Server.listen({Loopback, 0}));
    RawConnection Client(Server.port());
    Client.send("GET /a HTTP/1.1\r\nHost: desk\r\n\r\n");
    std::string Answer = Client.receiveHttp();
    CHECK(statusOf(Answer) == 502);
    CHECK(fieldOf(Answer, "x-signature").empty());
    CHECK(bodyOf(Answer).find("unwanted") == std::string::npos);
    Server.stop();
  }
}

} // namespace marigold::transport
