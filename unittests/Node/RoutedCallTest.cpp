#include "../TestSeed.h"
#include "MeshFixture.h"

#include <doctest/doctest.h>

#include <array>
#include <thread>

namespace marigold::node {

using transport::findHeader;
using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

/// Targets of service "desk" behind the virtual host "book.example", with
/// header field names that differ from the defaults, as on another platform.
struct RoutedCallFixture : MeshFixture {
  RoutedCallFixture() {
    View_.HeaderNames_.RequestId_ = "x-id";
    View_.HeaderNames_.Deadline_ = "x-limit";
    View_.HeaderNames_.Depth_ = "";
    View_.HeaderNames_.CallerService_ = "x-caller";
    View_.HeaderNames_.ExpectedInstance_ = "x-instance";
    View_.HeaderNames_.NotRun_ = "x-not-run";
    View_.HeaderNames_.Signature_ = "x-signature";
    publish(std::chrono::seconds(30));
  }
  // Stops the threads here, because Targets_ is destroyed before the destructor
  // of the base class would stop them.
  ~RoutedCallFixture() {
    Threads_.stop();
    Nodes_.clear();
    Targets_.clear();
  }

  /// Publishes a repeatable route and a route that may not be repeated, both
  /// with this latency objective.
  void publish(std::chrono::milliseconds Objective) {
    config::ServiceModel Model = config::toModel(*View_.Snapshot_);
    HostRoute Read = config::defaultHostRoute();
    Read.Prefix_ = "/dates/";
    Read.Repeatable_ = true;
    Read.Deadline_ = std::chrono::seconds(60);
    Read.Objective_ = Objective;
    Read.Attempts_ = 2;
    Read.Targets_ = {{"desk", 1}};
    HostRoute Book = Read;
    Book.Prefix_ = "/visits/";
    Book.Repeatable_ = false;
    Model.Hosts_ = {{"book.example", {Read, Book}}};
    View_.Snapshot_ = config::buildSnapshot(std::move(Model), {1, 2});
  }

  TestNode &addTarget(FakeTarget::Handler Answer) {
    Targets_.push_back(
        std::make_unique<FakeTarget>(Threads_.Io_, std::move(Answer)));
    return addNode(Targets_.back()->port());
  }

  int runs() const {
    int Sum = 0;
    for (const auto &Target : Targets_)
      Sum += Target->Runs_;
    return Sum;
  }

  static std::string call(const TestNode &Node, const std::string &Method,
                          const std::string &Path,
                          const std::string &Host = "book.example") {
    RawConnection Connection(Node.callerPort());
    Connection.send(Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                    "\r\nX-Id: q1\r\n"
                    "X-Caller: forged\r\nContent-Length: 0\r\n\r\n");
    return Connection.receiveHttp();
  }

  static HttpResponse signedAnswer(const HttpRequest &Request) {
    HttpResponse Response;
    Response.Headers_ = {
        {"x-id", std::string(findHeader(Request.Headers_, "x-id"))},
        {"x-signature", "s"}};
    Response.Body_ = "done";
    return Response;
  }

  std::vector<std::unique_ptr<FakeTarget>> Targets_;
};

} // namespace

// Guards against a target that runs a request meant for another instance, and
// against a caller that claims to be another service.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "routed call names caller, instance and time left") {
  Waiter<HttpRequest> Got;
  TestNode &Node =
      addTarget([&](HttpRequest Request, std::shared_ptr<HttpExchange> Out) {
        Out->respond(signedAnswer(Request));
        Got.set(std::move(Request));
      });
  {
    std::lock_guard Lock(View_.Mutex_);
    Node.Environment_.Instance_ = "i-7";
  }
  Node.Target_->onOwnTarget(Node.Environment_.ownTarget());
  std::string Answer = call(Node, "POST", "/visits/9?a=b");
  CHECK(statusOf(Answer) == 200);
  CHECK(bodyOf(Answer) == "done");
  auto Request = Got.take();
  REQUIRE(Request);
  CHECK(Request->Target_ == "/visits/9?a=b");
  CHECK(Request->Host_ == "book.example");
  CHECK(findHeader(Request->Headers_, "x-caller") == "desk");
  CHECK(findHeader(Request->Headers_, "x-instance") == "i-7");
  CHECK(findHeader(Request->Headers_, "x-id") == "q1");
  CHECK(!findHeader(Request->Headers_, "x-limit").empty());
  CHECK(statusOf(call(Node, "GET", "/other/1")) == 404);
}

// Guards against a call that names the service which ran on its host before:
// the settings have just changed, and no signal has told the node.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "routed call names the service of the current settings") {
  Waiter<HttpRequest> Got;
  TestNode &Node =
      addTarget([&](HttpRequest Request, std::shared_ptr<HttpExchange> Out) {
        Out->respond(signedAnswer(Request));
        Got.set(std::move(Request));
      });
  Node.BeforeCall_ = [&] {
    std::lock_guard Lock(View_.Mutex_);
    Node.Environment_.ConfiguredService_ = "shelf";
  };
  CHECK(statusOf(call(Node, "POST", "/visits/9")) == 200);
  auto Request = Got.take();
  REQUIRE(Request);
  CHECK(findHeader(Request->Headers_, "x-caller") == "shelf");
}

// Guards against requests of a host without routes that are run by the service
// of the same name, to which no version sent them, and without the service of
// their caller. Versions drop and add the routes of hosts whose names are those
// of services.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "host is served by its routes only, whatever its name") {
  View_.HeaderNames_.HostsAreServices_ = false;
  std::atomic<int> WithoutCaller = 0;
  addTarget([&](const HttpRequest &Request, std::shared_ptr<HttpExchange> Out) {
    if (findHeader(Request.Headers_, "x-caller") != "desk")
      ++WithoutCaller;
    Out->respond(signedAnswer(Request));
  });
  TestNode &Caller = *Nodes_.front();
  const std::vector<std::string> Names{"desk", "shelf", "book.example"};
  const std::vector<std::string> Paths{"/dates/1", "/", "/.marigold/keys"};
  forEachSeed(10, [&](Random &Rng) {
    config::ServiceModel Model = config::toModel(*View_.Snapshot_);
    Model.Hosts_.clear();
    std::map<std::string, bool> Routed;
    for (const std::string &Name : Names) {
      Routed[Name] = Rng.chance(0.5);
      HostRoute Route = config::defaultHostRoute();
      Route.Prefix_ = "/";
      Route.Repeatable_ = Rng.chance(0.5);
      Route.Deadline_ = std::chrono::seconds(60);
      Route.Targets_ = {{"desk", 1}};
      if (Routed[Name])
        Model.Hosts_.push_back({Name, {Route}});
    }
    {
      std::lock_guard Lock(View_.Mutex_);
      View_.Snapshot_ =
          config::buildSnapshot(std::move(Model), {1, 10 + Rng.below(1000)});
    }
    for (const std::string &Name : Names)
      for (const std::string &Path : Paths) {
        CAPTURE(Name);
        CAPTURE(Path);
        int Before = runs();
        unsigned Status = statusOf(call(Caller, "POST", Path, Name));
        CHECK(Status == (Routed[Name] ? 200 : 404));
        CHECK(runs() - Before == (Routed[Name] ? 1 : 0));
      }
  });
  CHECK(WithoutCaller == 0);
}

// Guards against a node of an earlier version, beside which this one runs
// during a rolling restart, that sends a request to the service with the name
// of its host.
TEST_CASE_FIXTURE(
    RoutedCallFixture,
    "call that no route has sent is refused by the target's node") {
  View_.HeaderNames_.HostsAreServices_ = false;
  TestNode &Node = addTarget(
      [](const HttpRequest &Request, std::shared_ptr<HttpExchange> Out) {
        Out->respond(signedAnswer(Request));
      });
  CallStart Start;
  Start.Service_ = "desk";
  Start.Method_ = "POST";
  // A path of the routes that the service has in the own interface.
  Start.Path_ = "/bookings";
  Start.Remaining_ = std::chrono::seconds(30);
  Waiter<transport::StreamResult> Got;
  Node.Target_->callLocal(Start, nullptr, [&](transport::StreamResult Value) {
    Got.set(std::move(Value));
  });
  auto Value = Got.take();
  REQUIRE(Value);
  auto *Refused = std::get_if<CallRefused>(&*Value);
  REQUIRE(Refused);
  CHECK(Refused->Code_ == static_cast<std::uint16_t>(ErrorCode::NoRoute));
  CHECK(runs() == 0);
}

// Guards against refusing a booking that another target could have run, and
// against running it twice.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "routed call that a target did not run goes to another") {
  std::atomic<int> Asked = 0;
  auto Answer = [&](HttpRequest Request, std::shared_ptr<HttpExchange> Out) {
    if (Asked++ != 0) {
      Out->respond(signedAnswer(Request));
      return;
    }
    HttpResponse Refusal;
    Refusal.Status_ = 503;
    Refusal.Headers_ = {{"x-id", "q1"}, {"x-not-run", "1"}};
    Out->respond(std::move(Refusal));
  };
  addTarget(Answer);
  addTarget(Answer);
  CHECK(statusOf(call(addCallerNode(), "POST", "/visits/9")) == 200);
  CHECK(runs() == 2);
}

// Guards against accepting a response of unknown origin as the target's answer.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "success without a signature is not passed on") {
  addTarget([](const HttpRequest &, std::shared_ptr<HttpExchange> Out) {
    HttpResponse Unsigned;
    Unsigned.Headers_ = {{"x-id", "q1"}};
    Out->respond(std::move(Unsigned));
  });
  std::string Answer = call(addCallerNode(), "POST", "/visits/9");
  CHECK(statusOf(Answer) == 502);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "unknown");
  CHECK(runs() == 1);
}

// Guards against sending new requests to a target that the platform is
// removing, and against a refusal without Retry-After.
TEST_CASE_FIXTURE(RoutedCallFixture, "leaving target is refused as not run") {
  TestNode &Node = addTarget(nullptr);
  OwnTarget Leaving = Node.Environment_.ownTarget();
  Leaving.Leaving_ = true;
  Node.Target_->onOwnTarget(Leaving);
  std::string Answer = call(Node, "POST", "/visits/9");
  CHECK(statusOf(Answer) == 503);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "not-run");
  CHECK(!fieldOf(Answer, "retry-after").empty());
  CHECK(runs() == 0);
}

// Guards against a lookup that fails at its deadline because the first target
// hangs, and against a request that keeps running after the caller got its
// answer.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "repeatable call that takes long is answered by another") {
  publish(std::chrono::milliseconds(10));
  std::atomic<int> Asked = 0;
  std::atomic<bool> Cancelled = false;
  std::mutex Mutex;
  std::vector<std::shared_ptr<HttpExchange>> Held;
  auto Answer = [&](HttpRequest Request, std::shared_ptr<HttpExchange> Out) {
    if (Asked++ != 0) {
      Out->respond(signedAnswer(Request));
      return;
    }
    Out->onDisconnect([&] { Cancelled = true; });
    std::lock_guard Lock(Mutex);
    Held.push_back(std::move(Out));
  };
  addTarget(Answer);
  addTarget(Answer);
  CHECK(statusOf(call(addCallerNode(), "GET", "/dates/1")) == 200);
  CHECK(eventually([&] { return Cancelled.load(); }));
  CHECK(runs() == 2);
}

// Guards against reporting a failure to a client although another target would
// have answered.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "repeatable call that a target failed goes to another") {
  std::atomic<int> Asked = 0;
  auto Answer = [&](HttpRequest Request, std::shared_ptr<HttpExchange> Out) {
    HttpResponse Response = signedAnswer(Request);
    if (Asked++ == 0)
      Response.Status_ = 500;
    Out->respond(std::move(Response));
  };
  addTarget(Answer);
  addTarget(Answer);
  CHECK(statusOf(call(addCallerNode(), "GET", "/dates/1")) == 200);
  CHECK(runs() == 2);
}

/// Routed calls to a target that answers none of them.
struct HeldCallFixture : RoutedCallFixture {
  TestNode &addHoldingTarget() {
    return addTarget(
        [this](const HttpRequest &, std::shared_ptr<HttpExchange> Out) {
          std::lock_guard Lock(Mutex_);
          Held_.push_back(std::move(Out));
        });
  }

  /// Number of requests that the target has taken.
  int held() {
    std::lock_guard Lock(Mutex_);
    return static_cast<int>(Held_.size());
  }

  std::mutex Mutex_;
  std::vector<std::shared_ptr<HttpExchange>> Held_;
};

// Guards against calls that a stopping node leaves without an answer.
TEST_CASE_FIXTURE(HeldCallFixture, "open call of an ending node is answered") {
  TestNode &Node = addHoldingTarget();
  RawConnection Connection(Node.callerPort());
  Connection.send("POST /visits/9 HTTP/1.1\r\nHost: book.example\r\n"
                  "X-Id: q1\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(eventually([&] { return held() == 1; }));
  Node.Callers_->answerOpenCalls();
  std::string Answer = Connection.receiveHttp();
  CHECK(statusOf(Answer) == 504);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "unknown");
}

// Guards against a log line that is written while another thread adds the
// result of the last attempt to it. The thread sanitizer finds it at some of
// the calls.
TEST_CASE_FIXTURE(HeldCallFixture,
                  "calls that end while their attempts end are answered") {
  TestNode &Node = addHoldingTarget();
  for (int Count = 1; Count <= 100; ++Count) {
    RawConnection Connection(Node.callerPort());
    Connection.send("POST /visits/9 HTTP/1.1\r\nHost: book.example\r\n"
                    "X-Id: q" +
                    std::to_string(Count) + "\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(eventually([&] { return held() == Count; }));
    Node.Callers_->answerOpenCalls();
    REQUIRE(statusOf(Connection.receiveHttp()) == 504);
  }
}

// Guards against passing on a call that the exit of the process would cut off.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "call that a stopping node takes no more is refused as not "
                  "run") {
  TestNode &Node = addTarget(nullptr);
  RawConnection Kept(Node.callerPort());
  Node.Callers_->refuseNewCalls();
  Kept.send("POST /visits/9 HTTP/1.1\r\nHost: book.example\r\n"
            "X-Id: q1\r\nContent-Length: 0\r\n\r\n");
  std::string Answer = Kept.receiveHttp();
  CHECK(statusOf(Answer) == 503);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "not-run");
  CHECK(runs() == 0);
}

namespace {

/// A target that serves its connections itself, so that it can break off.
struct RawTarget {
  /// Accepts connections until one carries a request. Probes send none.
  RawConnection acceptRequest() {
    for (;;) {
      RawConnection Connection = Listener_.accept();
      if (!Connection.receiveHttp().empty())
        return Connection;
    }
  }

  RawListener Listener_;
};

} // namespace

// Guards against telling a caller that its request has not run after the target
// that got it second, while the first one was slow, has lost it: the first one
// refuses it then.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "refusal beside a lost second attempt is unknown") {
  publish(std::chrono::milliseconds(10));
  std::array<RawTarget, 2> Targets;
  for (RawTarget &Target : Targets)
    addNode(Target.Listener_.port());
  TestNode &Caller = addCallerNode();
  std::mutex Mutex;
  std::optional<RawConnection> First;
  std::vector<std::thread> Threads;
  for (RawTarget &Target : Targets)
    Threads.emplace_back([&] {
      RawConnection Got = Target.acceptRequest();
      std::lock_guard Lock(Mutex);
      if (!First) {
        First.emplace(std::move(Got));
        return;
      }
      Got.close(true);
      First->send("HTTP/1.1 503 Service Unavailable\r\nX-Id: q1\r\n"
                  "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
  std::string Answer = call(Caller, "GET", "/dates/1");
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(statusOf(Answer) == 502);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "unknown");
}

// Guards against passing on a second target's refusal as the outcome of a call
// whose first attempt was lost after the request was sent.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "refusal after a lost attempt is unknown") {
  std::array<RawTarget, 2> Targets;
  for (RawTarget &Target : Targets)
    addNode(Target.Listener_.port());
  TestNode &Caller = addCallerNode();
  std::atomic<int> Asked = 0;
  std::vector<std::thread> Threads;
  for (RawTarget &Target : Targets)
    Threads.emplace_back([&] {
      RawConnection Got = Target.acceptRequest();
      if (Asked++ == 0)
        Got.close(true);
      else
        Got.send("HTTP/1.1 503 Service Unavailable\r\nX-Id: q1\r\n"
                 "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
  std::string Answer = call(Caller, "GET", "/dates/1");
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(statusOf(Answer) == 502);
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "unknown");
}

// Guards against a status that callers take for a refusal although the target
// does not state that it did not run the request.
TEST_CASE("status that means not run needs the target's statement") {
  for (unsigned Status : {408U, 421U, 429U, 503U}) {
    for (bool Stated : {false, true}) {
      CAPTURE(Status);
      CAPTURE(Stated);
      RoutedCallFixture Own;
      Own.View_.HeaderNames_.StatusMeansNotRun_ = true;
      Own.View_.HeaderNames_.ExpectedInstance_.clear();
      Own.addTarget(
          [&](const HttpRequest &Request, std::shared_ptr<HttpExchange> Out) {
            HttpResponse Response = RoutedCallFixture::signedAnswer(Request);
            Response.Status_ = Status;
            if (Stated)
              Response.Headers_.push_back({"x-not-run", "1"});
            Out->respond(std::move(Response));
          });
      std::string Answer =
          RoutedCallFixture::call(Own.addCallerNode(), "POST", "/visits/9");
      CHECK(fieldOf(Answer, "x-marigold-outcome") ==
            (Stated ? "not-run" : "unknown"));
      CHECK(statusOf(Answer) == (Stated ? 503 : 502));
    }
  }
}

// Guards against a request that waits for its limit, is answered as if there
// were no route, or reaches another service, when its route cannot be used.
TEST_CASE_FIXTURE(RoutedCallFixture,
                  "request of a route that cannot be used is refused at once") {
  TestNode &Node =
      addTarget([](HttpRequest Request, std::shared_ptr<HttpExchange> Out) {
        Out->respond(signedAnswer(Request));
      });
  config::ServiceModel Model = config::toModel(*View_.Snapshot_);
  HostRoute Unusable = Model.Hosts_[0].Routes_[0];
  Unusable.Prefix_ = "/dates/odd/";
  Unusable.Targets_ = {{config::NoService, 1}};
  Model.Hosts_[0].Routes_.push_back(Unusable);
  View_.Snapshot_ = config::buildSnapshot(std::move(Model), {1, 3});
  std::string Answer = call(Node, "GET", "/dates/odd/1");
  CHECK(statusOf(Answer) == 503);
  CHECK(Answer.find("route-unusable") != std::string::npos);
  CHECK(statusOf(call(Node, "GET", "/dates/1")) == 200);
  CHECK(runs() == 1);
}

/// A target "worker" whose node believes in an entry of another writer.
struct ImpostorFixture : RoutedCallFixture {
  ImpostorFixture() {
    View_.HeaderNames_.AnsweringInstance_ = "x-instance-id";
    View_.Configure_ = [](NodeSettings &Settings) {
      Settings.HealthInterval_ = std::chrono::milliseconds(50);
    };
    config::ServiceModel Model = config::toModel(*View_.Snapshot_);
    Model.Services_.front().HealthPath_ = "/health";
    View_.Snapshot_ = config::buildSnapshot(std::move(Model), {1, 3});
    Node_ = &addTarget(
        [this](HttpRequest Request, std::shared_ptr<HttpExchange> Out) {
          Out->respond(answer(Request));
        });
    Node_->Environment_.OnInstance_ = [this](const std::string &Instance) {
      Told_ += Instance == "worker" ? 1 : 0;
    };
    Own_ = Node_->Environment_.ownTarget();
    Own_.Instance_ = "agent";
    Node_->Target_->onOwnTarget(Own_);
  }
  ~ImpostorFixture() { Threads_.stop(); }

  HttpResponse answer(const HttpRequest &Request) {
    HttpResponse Response = signedAnswer(Request);
    bool Misdirected =
        findHeader(Request.Headers_, "x-instance") != std::string("worker");
    if (Request.Target_ == "/health" && ++Checks_ == 1) {
      // Refuses the check without its name while it is full.
      Response.Status_ = 503;
      return Response;
    }
    if (Request.Target_ != "/health" && Misdirected)
      Response.Status_ = 421;
    Response.Headers_.push_back({"x-instance-id", "worker"});
    return Response;
  }

  TestNode *Node_ = nullptr;
  OwnTarget Own_;
  std::atomic<int> Checks_ = 0;
  std::atomic<int> Told_ = 0;
};

// Guards against a node that goes by the list when several entries name its
// host and its target could tell which of them is its own.
TEST_CASE_FIXTURE(ImpostorFixture, "target of contested host is asked") {
  CHECK(Checks_ == 0);
  Own_.Contested_ = 1;
  Node_->Target_->onOwnTarget(Own_);
  CHECK(eventually([&] { return Told_ == 1; }));
  // It is asked until it has answered, and again when the entries change.
  CHECK(Checks_ == 2);
  Own_.Contested_ = 2;
  Node_->Target_->onOwnTarget(Own_);
  CHECK(eventually([&] { return Checks_ == 3; }));
}

// Guards against a node that goes on asking for an instance that is not there
// although the target's refusals say which one is.
TEST_CASE_FIXTURE(ImpostorFixture, "refusal for another instance is believed") {
  CHECK(statusOf(call(*Node_, "POST", "/visits/1")) == 503);
  CHECK(Told_ == 1);
  CHECK(Checks_ == 0);
}

} // namespace marigold::node
