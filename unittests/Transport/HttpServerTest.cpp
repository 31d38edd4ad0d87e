#include "Transport/HttpServer.h"

#include "TestSupport/NetworkFixture.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace marigold::transport {

namespace {

struct HttpServerFixture {
  HttpServerFixture() {
    Options_.OnRequest_ = [this](HttpRequest Request,
                                 std::shared_ptr<HttpExchange> Exchange) {
      ++Requests_;
      if (Request.Target_ == "/held") {
        Held_.set(std::move(Exchange));
        return;
      }
      HttpResponse Response;
      Response.Headers_ = {{"x-method", Request.Method_}};
      Response.Body_ =
          Request.Target_ + "|" + Request.Host_ + "|" + Request.Body_;
      Exchange->respond(std::move(Response));
    };
    Options_.BodyLimit_ = [](const HttpRequest &) { return 1000; };
  }
  ~HttpServerFixture() { Threads_.stop(); }

  RawConnection connect() {
    if (!Server_) {
      Server_.emplace(Threads_.Io_, Options_);
      REQUIRE(Server_->listen({Loopback, 0}));
    }
    return RawConnection(Server_->port());
  }

  HttpServerOptions Options_;
  std::atomic<int> Requests_ = 0;
  Waiter<std::shared_ptr<HttpExchange>> Held_;
  IoThreads Threads_;
  std::optional<HttpServer> Server_;
};

struct RefusedCase {
  std::string Name_;
  std::string Text_;
  unsigned Status_ = 400;
};

} // namespace

TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server answers pipelined requests in order") {
  RawConnection Client = connect();
  Client.send("GET /a HTTP/1.1\r\nHost: desk:80\r\n\r\n"
              "POST /b HTTP/1.1\r\nHost: Desk\r\nContent-Length: 2\r\n\r\nhi"
              "POST /c HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked"
              "\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nHost: other\r\n\r\n");
  CHECK(bodyOf(Client.receiveHttp()) == "/a|desk|");
  CHECK(bodyOf(Client.receiveHttp()) == "/b|desk|hi");
  CHECK(bodyOf(Client.receiveHttp()) == "/c|desk|abcde");
}

namespace {

/// A server at which GET requests are repeatable. Requests wait until the test
/// answers them; their targets are recorded in the order in which they arrive.
struct PipelineFixture : HttpServerFixture {
  PipelineFixture() {
    Options_.IsRepeatable_ = [](const HttpRequest &Line) {
      return Line.Method_ == "GET";
    };
    Options_.OnRequest_ = [this](const HttpRequest &Request,
                                 std::shared_ptr<HttpExchange> Exchange) {
      Exchange->onDisconnect([this] { ++Disconnected_; });
      std::lock_guard Lock(Mutex_);
      Targets_.push_back(Request.Target_);
      Exchanges_.push_back(std::move(Exchange));
    };
  }
  ~PipelineFixture() { Threads_.stop(); }

  static std::string get(const std::string &Target,
                         const std::string &Fields = "") {
    return "GET " + Target + " HTTP/1.1\r\nHost: desk\r\n" + Fields + "\r\n";
  }

  bool waitFor(std::size_t Count) {
    return eventually([&] { return count() >= Count; });
  }

  std::size_t count() {
    std::lock_guard Lock(Mutex_);
    return Targets_.size();
  }

  /// Answers a request with its target as the body.
  void answer(std::size_t Index) {
    std::shared_ptr<HttpExchange> Exchange;
    HttpResponse Response;
    {
      std::lock_guard Lock(Mutex_);
      Exchange = std::exchange(Exchanges_[Index], nullptr);
      Response.Body_ = Targets_[Index];
    }
    Exchange->respond(std::move(Response));
  }

  std::mutex Mutex_;
  std::vector<std::string> Targets_;
  std::vector<std::shared_ptr<HttpExchange>> Exchanges_;
  std::atomic<int> Disconnected_ = 0;
};

} // namespace

// Guards against a slow request that keeps those behind it from being run, and
// against responses in another order than the requests.
TEST_CASE_FIXTURE(PipelineFixture,
                  "pipelined requests run together and are answered in order") {
  RawConnection Client = connect();
  Client.send(get("/0") + get("/1"));
  Client.send(get("/2"));
  REQUIRE(waitFor(3));
  answer(2);
  answer(1);
  answer(0);
  for (const char *Target : {"/0", "/1", "/2"})
    CHECK(bodyOf(Client.receiveHttp()) == Target);
  Client.send(get("/3"));
  REQUIRE(waitFor(4));
  answer(3);
  CHECK(bodyOf(Client.receiveHttp()) == "/3");
}

// Guards against an unbounded number of requests in progress, and against
// requests that are lost or repeated when the bound holds them back.
TEST_CASE_FIXTURE(PipelineFixture,
                  "thousand pipelined requests in one write are all answered") {
  constexpr std::size_t Count = 1000;
  RawConnection Client = connect();
  std::string Text;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Text += get("/" + std::to_string(Index));
  std::thread Writer([&] { Client.send(Text); });
  std::size_t Most = 0;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    REQUIRE(waitFor(Index + 1));
    Most = std::max(Most, count() - Index);
    answer(Index);
    REQUIRE(bodyOf(Client.receiveHttp()) == "/" + std::to_string(Index));
  }
  Writer.join();
  CHECK(Most <= 8);
  CHECK(Most > 1);
  CHECK(count() == Count);
}

// Guards against running a request that may not run twice while the response
// before it may still close the connection, after which the client sends it
// again.
TEST_CASE_FIXTURE(PipelineFixture,
                  "pipelined request that may not be repeated runs alone") {
  const std::string Post =
      "POST /p HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n\r\n";
  RawConnection Client = connect();
  Client.send(get("/0") + Post + get("/1"));
  REQUIRE(waitFor(1));
  RawConnection Other = connect();
  Other.send(get("/other"));
  REQUIRE(waitFor(2));
  CHECK(Targets_[1] == "/other");
  answer(0);
  CHECK(bodyOf(Client.receiveHttp()) == "/0");
  REQUIRE(waitFor(3));
  CHECK(Targets_[2] == "/p");
  Other.send(get("/other2"));
  REQUIRE(waitFor(4));
  CHECK(Targets_[3] == "/other2");
  answer(2);
  CHECK(bodyOf(Client.receiveHttp()) == "/p");
  REQUIRE(waitFor(5));
  answer(4);
  CHECK(bodyOf(Client.receiveHttp()) == "/1");
}

// Guards against running a request behind a response that closes the
// connection: its client sends it again.
TEST_CASE_FIXTURE(PipelineFixture,
                  "request behind a closing response is not passed on") {
  RawConnection Client = connect();
  Client.send(get("/0") + get("/1", "Connection: close\r\n") + get("/2"));
  REQUIRE(waitFor(2));
  answer(1);
  answer(0);
  std::string First = Client.receiveHttp();
  CHECK(bodyOf(First) == "/0");
  CHECK(fieldOf(First, "connection").empty());
  std::string Last = Client.receiveAll();
  CHECK(bodyOf(Last) == "/1");
  CHECK(fieldOf(Last, "connection") == "close");
  CHECK(count() == 2);
}

// Guards against a drain that cuts off pipelined requests in progress.
TEST_CASE_FIXTURE(PipelineFixture,
                  "draining connection closes after the last one in progress") {
  RawConnection Client = connect();
  Client.send(get("/0") + get("/1"));
  REQUIRE(waitFor(2));
  Server_->beginDrain();
  Client.send(get("/2"));
  RawConnection Other = connect();
  Other.send(get("/other"));
  REQUIRE(waitFor(3));
  CHECK(Targets_[2] == "/other");
  answer(0);
  std::string First = Client.receiveHttp();
  CHECK(bodyOf(First) == "/0");
  CHECK(fieldOf(First, "connection").empty());
  answer(1);
  std::string Last = Client.receiveAll();
  CHECK(bodyOf(Last) == "/1");
  CHECK(fieldOf(Last, "connection") == "close");
  CHECK(count() == 3);
}

// Guards against requests that run on after their client has left.
TEST_CASE_FIXTURE(PipelineFixture,
                  "client that leaves cancels all its pipelined requests") {
  RawConnection Client = connect();
  Client.send(get("/0") + get("/1") + get("/2"));
  REQUIRE(waitFor(3));
  Client.close(true);
  CHECK(eventually([&] { return Disconnected_ == 3; }));
}

// Guards against a refusal that overtakes the responses before it.
TEST_CASE_FIXTURE(PipelineFixture,
                  "malformed request behind others is refused in its turn") {
  RawConnection Client = connect();
  Client.send(get("/0") + "nonsense\r\n\r\n" + get("/1"));
  REQUIRE(waitFor(1));
  answer(0);
  CHECK(bodyOf(Client.receiveHttp()) == "/0");
  std::string Refusal = Client.receiveAll();
  CHECK(statusOf(Refusal) == 400);
  CHECK(fieldOf(Refusal, "connection") == "close");
  CHECK(count() == 1);
}

// HTTP implementations disagree on how to parse each row, which would allow a
// request to be smuggled in the body of another one.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server refuses ambiguous and malformed requests") {
  const std::string Post = "POST / HTTP/1.1\r\nHost: desk\r\n";
  const std::vector<RefusedCase> Cases{
      {"different lengths",
       Post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
      {"equal lengths",
       Post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
      {"list of lengths", Post + "Content-Length: 3, 4\r\n\r\nabcd"},
      {"signed length", Post + "Content-Length: +3\r\n\r\nabc"},
      {"length and coding",
       Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
              "\r\n"},
      {"coding and length",
       Post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n"
              "\r\n"},
      {"unknown coding", Post + "Transfer-Encoding: gzip\r\n\r\n"},
      {"coding twice", Post + "Transfer-Encoding: chunked\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"coding behind another",
       Post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"coding in HTTP/1.0", "POST / HTTP/1.0\r\nHost: desk\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"folded line", Post + "X-A: b\r\n Content-Length: 3\r\n\r\n"},
      {"folded line with tab", Post + "X-A: b\r\n\tc\r\n\r\n"},
      {"space before the colon", Post + "Content-Length : 3\r\n\r\nabc"},
      {"bare line feed", Post + "X-A: b\nX-C: d\r\n\r\n"},
      {"bare line feed at the end", "GET / HTTP/1.1\nHost: desk\n\n"},
      {"bare carriage return", Post + "X-A: b\rX-C: d\r\n\r\n"},
      {"null byte", Post + std::string("X-A: b\0c\r\n\r\n", 12)},
      {"control character in the name", Post + "X\x01: b\r\n\r\n"},
      {"line without a colon", Post + "nothing\r\n\r\n"},
      {"no host", "GET / HTTP/1.1\r\n\r\n"},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
      {"host with a path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n"},
      {"space in the target", "GET /a b HTTP/1.1\r\nHost: desk\r\n\r\n"},
      {"absolute target", "GET http://x/ HTTP/1.1\r\nHost: desk\r\n\r\n"},
      {"connect", "CONNECT x:1 HTTP/1.1\r\nHost: desk\r\n\r\n"},
      {"unknown version", "GET / HTTP/3.7\r\nHost: desk\r\n\r\n"},
      {"bad chunk size",
       Post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"},
      {"chunk size beyond 64 bits",
       Post + "Transfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n"
              "0\r\n\r\n"},
      {"body beyond the limit", Post + "Content-Length: 1001\r\n\r\n", 413},
      {"chunk beyond the limit",
       Post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n", 413},
      {"header section beyond the limit",
       Post + "X-A: " + std::string(HttpHeaderLimit, 'a') + "\r\n\r\n", 431},
      {"header section without an end",
       Post + "X-A: " + std::string(HttpHeaderLimit, 'a'), 431},
  };
  RawConnection Other = connect();
  Other.send("GET /held HTTP/1.1\r\nHost: desk\r\n\r\n");
  auto Exchange = Held_.take();
  REQUIRE(Exchange);
  for (const RefusedCase &Case : Cases) {
    CAPTURE(Case.Name_);
    RawConnection Client = connect();
    Client.send(Case.Text_);
    std::string Answer = Client.receiveAll();
    CHECK(statusOf(Answer) == Case.Status_);
    CHECK(fieldOf(Answer, "x-marigold-outcome") == "not-run");
    CHECK(fieldOf(Answer, "connection") == "close");
  }
  // Only the held request reached the handler, and its connection still works.
  CHECK(Requests_ == 1);
  HttpResponse Response;
  Response.Body_ = "unharmed";
  (*Exchange)->respond(std::move(Response));
  CHECK(bodyOf(Other.receiveHttp()) == "unharmed");
}

// Guards against slow senders that occupy connections or delay other clients.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server ends slow requests and serves others") {
  Options_.HeaderTimeout_ = Options_.BodyTimeout_ =
      std::chrono::milliseconds(50);
  RawConnection SlowHead = connect();
  SlowHead.send("GET / HT");
  RawConnection SlowBody = connect();
  SlowBody.send("POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 9\r\n\r\na");
  RawConnection Client = connect();
  Client.send("GET /a HTTP/1.1\r\nHost: desk\r\n\r\n");
  CHECK(statusOf(Client.receiveHttp()) == 200);
  CHECK(statusOf(SlowHead.receiveAll()) == 408);
  CHECK(statusOf(SlowBody.receiveAll()) == 408);
  CHECK(Requests_ == 1);
}

// Guards against executing an incomplete request.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server drops a request without its whole body") {
  {
    RawConnection Client = connect();
    Client.send("POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 9\r\n\r\na");
    Client.finishSending();
    CHECK(Client.endsSilently());
  }
  RawConnection Client = connect();
  Client.send("GET /a HTTP/1.1\r\nHost: desk\r\n\r\n");
  CHECK(statusOf(Client.receiveHttp()) == 200);
  CHECK(Requests_ == 1);
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server reports a client that goes away") {
  RawConnection Client = connect();
  Client.send("GET /held HTTP/1.1\r\nHost: desk\r\n\r\n");
  auto Exchange = Held_.take();
  REQUIRE(Exchange);
  Waiter<bool> Gone;
  (*Exchange)->onDisconnect([&] { Gone.set(true); });
  Client.close();
  CHECK(Gone.take().has_value());
  (*Exchange)->respond({});
}

// Guards against a reference cycle between a connection and its exchange, which
// leaks both when the event loop ends while a request waits.
TEST_CASE("http server frees a waiting request when its loop ends") {
  auto Token = std::make_shared<int>();
  std::weak_ptr<int> Kept = Token;
  {
    boost::asio::io_context Io;
    std::shared_ptr<HttpExchange> Held;
    HttpServerOptions Options;
    Options.OnRequest_ = [&Held, Token = std::move(Token)](
                             HttpRequest, std::shared_ptr<HttpExchange> Out) {
      Held = std::move(Out);
    };
    HttpServer Server(Io, std::move(Options));
    REQUIRE(Server.listen({Loopback, 0}));
    RawConnection Client(Server.port());
    Client.send("GET /held HTTP/1.1\r\nHost: desk\r\n\r\n");
    while (!Held && Io.run_one_for(TestTimeout) != 0) {
    }
    REQUIRE(Held);
    Held.reset();
  }
  CHECK(Kept.expired());
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server sends no body for HEAD and asks for a body") {
  RawConnection Client = connect();
  Client.send("HEAD /a HTTP/1.1\r\nHost: desk\r\n\r\n");
  CHECK(fieldOf(Client.receiveHttp(), "x-method") == "HEAD");
  Client.send("POST /b HTTP/1.1\r\nHost: desk\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  CHECK(statusOf(Client.receiveHttp()) == 100);
  Client.send("hi");
  CHECK(bodyOf(Client.receiveHttp()) == "/b|desk|hi");
}

// Guards against response splitting by a header value from a peer.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server leaves out fields with line ends") {
  RawConnection Client = connect();
  Client.send("GET /held HTTP/1.1\r\nHost: desk\r\n\r\n");
  auto Exchange = Held_.take();
  REQUIRE(Exchange);
  HttpResponse Response;
  Response.Headers_ = {{"x-a", "1\r\nx-b: 2"},
                       {"x c", "3"},
                       {"content-length", "99"},
                       {"x-d", "4"}};
  (*Exchange)->respond(std::move(Response));
  std::string Answer = Client.receiveHttp();
  CHECK(fieldOf(Answer, "x-a").empty());
  CHECK(fieldOf(Answer, "x-b").empty());
  CHECK(fieldOf(Answer, "content-length") == "0");
  CHECK(fieldOf(Answer, "x-d") == "4");
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server that drains answers requests in progress") {
  RawConnection Busy = connect();
  Busy.send("GET /held HTTP/1.1\r\nHost: desk\r\n\r\n");
  auto Exchange = Held_.take();
  REQUIRE(Exchange);
  RawConnection Idle = connect();
  Server_->drain();
  CHECK(Idle.endsSilently());
  (*Exchange)->respond({});
  std::string Answer = Busy.receiveAll();
  CHECK(statusOf(Answer) == 200);
  CHECK(fieldOf(Answer, "connection") == "close");
}

// Guards against leaving a request unanswered, although it did not run,
// because the client sent it while the server stopped listening.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "request sent while the server stops listening is answered") {
  RawConnection Idle = connect();
  Server_->drain();
  Idle.send("GET /late HTTP/1.1\r\nHost: desk\r\n\r\n");
  std::string Answer = Idle.receiveAll();
  CHECK(statusOf(Answer) == 200);
  CHECK(fieldOf(Answer, "connection") == "close");
}

// Reproduces a host without spare CPU time: the connection and its request are
// still queued in the kernel when the server stops listening.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "connection still queued when the server stops is served") {
  connect();
  auto Busy = std::make_shared<std::atomic<bool>>(true);
  for (int Thread = 0; Thread < 16; ++Thread)
    boost::asio::post(Threads_.Io_, [Busy] {
      while (*Busy)
        std::this_thread::yield();
    });
  RawConnection First(Server_->port());
  First.send("GET /1 HTTP/1.1\r\nHost: desk\r\n\r\n");
  RawConnection Second(Server_->port());
  Second.send("GET /2 HTTP/1.1\r\nHost: desk\r\n\r\n");
  Server_->drain();
  *Busy = false;
  CHECK(statusOf(First.receiveAll()) == 200);
  CHECK(statusOf(Second.receiveAll()) == 200);
}

// Guards against an exit while a client sends a request, waits for its response
// or still reads it.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "http server counts the connections that are in use") {
  auto Becomes = [this](std::size_t Count) {
    return eventually([&] { return Server_->busyConnections() == Count; });
  };
  RawConnection Client = connect();
  CHECK(Becomes(0));
  Client.send("POST /a HTT");
  CHECK(Becomes(1));
  Client.send("P/1.1\r\nHost: desk\r\nContent-Length: 2\r\n\r\nh");
  CHECK(Becomes(1));
  Client.send("i");
  CHECK(bodyOf(Client.receiveHttp()) == "/a|desk|hi");
  CHECK(Becomes(0));
  Client.send("GET /held HTTP/1.1\r\nHost: desk\r\n\r\n");
  auto Exchange = Held_.take();
  REQUIRE(Exchange);
  CHECK(Server_->busyConnections() == 1);
  // More than the buffers of both sockets hold.
  HttpResponse Large;
  Large.Body_.assign(std::size_t{32} * 1024 * 1024, 'x');
  std::size_t Size = Large.Body_.size();
  (*Exchange)->respond(std::move(Large));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(Server_->busyConnections() == 1);
  CHECK(bodyOf(Client.receiveHttp()).size() == Size);
  CHECK(Becomes(0));
  Client.send("GET /b HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n\r\n");
  CHECK(bodyOf(Client.receiveHttp()) == "/b|desk|");
  Client.close();
  CHECK(Becomes(0));
}

} // namespace marigold::transport
