// Memory of bodies on their way through a node, on each of its paths.

#include "HttpClientFixture.h"
#include "PeerFixture.h"

namespace marigold::transport {

namespace {

constexpr std::uint64_t Megabyte = 1'000'000;
// One part in eight is left for connections.
constexpr std::uint64_t Bound = 8 * Megabyte;

std::shared_ptr<MemoryAccount> makeAccount(std::uint64_t Bytes = Bound) {
  return std::make_shared<MemoryAccount>(Bytes);
}

struct MemoryFixture : PeerFixture {
  MemoryFixture() { ServerOptions_.Memory_ = Account_; }

  bool reserves(MemoryUse Use, std::uint64_t Bytes) {
    return eventually([&] { return Account_->reserved(Use) == Bytes; });
  }

  std::shared_ptr<MemoryAccount> Account_ = makeAccount();
};

bool isRefused(const CallRefused &Value, std::uint32_t Stream, ErrorCode Code) {
  return Value.Stream_ == Stream &&
         Value.Code_ == static_cast<std::uint16_t>(Code);
}

} // namespace

// Replays the load of the incident: bodies inside the limits arrive on many
// peer connections at once, each of them within its own limits.
TEST_CASE_FIXTURE(MemoryFixture,
                  "peer connections share the memory of arriving bodies") {
  std::vector<RawPeer> Peers;
  for (int Number = 0; Number < 9; ++Number) {
    Peers.push_back(rawClient());
    Peers.back().expect<Hello>();
    Peers.back().send(startWithBody(1, Megabyte));
    if (Number < 7) {
      REQUIRE(reserves(MemoryUse::Calls,
                       static_cast<std::uint64_t>(Number + 1) * Megabyte));
      continue;
    }
    CHECK(isRefused(Peers.back().expect<CallRefused>(), 1,
                    ErrorCode::NodeMemory));
  }
  CHECK(Account_->held() == 7 * Megabyte);
  CHECK(Metrics_.total(Metric::RefusedTotal) == 2);
  CHECK(Served_.Calls_ == 0);
  // A call without a body needs none.
  Peers.back().send(startWithBody(3, 0));
  Peers.back().send(CallEnd{3});
  CHECK(Peers.back().expect<ReplyStart>().Stream_ == 3);
}

// Guards against memory that stays counted, so that later calls are refused:
// the body ends with a cancellation, with its connection, or with its run.
TEST_CASE_FIXTURE(MemoryFixture,
                  "peer call releases its memory however it ends") {
  for (int Way = 0; Way < 4; ++Way) {
    CAPTURE(Way);
    RawPeer Peer = rawClient();
    Peer.expect<Hello>();
    Peer.send(startWithBody(1, 6 * Megabyte));
    REQUIRE(reserves(MemoryUse::Calls, 6 * Megabyte));
    Peer.send(startWithBody(3, 2 * Megabyte));
    CHECK(isRefused(Peer.expect<CallRefused>(), 3, ErrorCode::NodeMemory));
    // Data of a refused call that was on its way is no error.
    Peer.send(CallData{3, "late"});
    if (Way == 0)
      Peer.send(CallCancel{1});
    else if (Way == 1)
      Peer.Socket_.close();
    else if (Way == 2)
      Peer.Socket_.finishSending();
    else
      Server_.reset();
    CHECK(reserves(MemoryUse::Calls, 0));
    CHECK(Account_->held() == 0);
  }
}

// Guards against a refusal that says not run for a keyed call, whose key may
// have run before.
TEST_CASE_FIXTURE(MemoryFixture,
                  "peer call with a key is not refused as not run for memory") {
  RawPeer Peer = rawClient();
  Peer.expect<Hello>();
  CallStart Start = startWithBody(1, Bound);
  Start.Key_ = "key";
  Peer.send(Start);
  CHECK(
      isRefused(Peer.expect<CallRefused>(), 1, ErrorCode::KeyOwnerUnreachable));
}

// Guards against counting a body only while it arrives, and against flow
// control that stands still when a body beyond the window was refused.
TEST_CASE_FIXTURE(MemoryFixture,
                  "peer call counts until its body is released") {
  auto Connection = connect();
  std::shared_ptr<const std::string> Kept;
  Served_.OnBody_ = [&](std::shared_ptr<const std::string> Body) {
    Kept = std::move(Body);
  };
  Served_.OnCall_ = [](const PeerConnectionPtr &Peer, const CallStart &Start,
                       const std::string &) {
    Peer->reply(Start.Stream_, {}, "done", {});
  };
  for (int Round = 0; Round < 3; ++Round) {
    Waiter<StreamResult> Got;
    Connection->call({}, body(4 * Megabyte, 'x'), into(Got));
    auto Value = Got.take();
    REQUIRE(Value);
    REQUIRE(std::holds_alternative<PeerReply>(*Value));
    CHECK(Account_->reserved(MemoryUse::Calls) == 4 * Megabyte);
    Waiter<StreamResult> Second;
    Connection->call({}, body(4 * Megabyte, 'x'), into(Second));
    Value = Second.take();
    REQUIRE(Value);
    auto *Refusal = std::get_if<CallRefused>(&*Value);
    REQUIRE(Refusal);
    CHECK(Refusal->Code_ == static_cast<std::uint16_t>(ErrorCode::NodeMemory));
    Kept.reset();
    CHECK(Account_->held() == 0);
  }
}

// Replays answers in assembly at the caller's node: each within its limits,
// together beyond its memory. An answer that has no room ends its call alone.
TEST_CASE_FIXTURE(MemoryFixture, "peer replies share the memory of assembly") {
  PoolOptions_.Memory_ = Account_;
  ServerOptions_.Memory_ = nullptr;
  Served_.OnCall_ = [](const PeerConnectionPtr &Peer, const CallStart &Start,
                       const std::string &) {
    Peer->reply(Start.Stream_, {}, std::string(3 * Megabyte, 'x'), {});
  };
  auto Connection = connect();
  std::array<Waiter<StreamResult>, 3> Got;
  std::vector<StreamResult> Answers;
  for (auto &One : Got) {
    Connection->call({}, nullptr, into(One));
    auto Value = One.take();
    REQUIRE(Value);
    Answers.push_back(std::move(*Value));
  }
  CHECK(std::holds_alternative<PeerReply>(Answers[0]));
  CHECK(std::holds_alternative<PeerReply>(Answers[1]));
  auto *Refusal = std::get_if<CallRefused>(&Answers[2]);
  REQUIRE(Refusal);
  CHECK(Refusal->Code_ ==
        static_cast<std::uint16_t>(ErrorCode::AnswerTooLarge));
  CHECK(Account_->reserved(MemoryUse::Answers) == 6 * Megabyte);
  Answers.clear();
  CHECK(Account_->held() == 0);
  Waiter<StreamResult> Again;
  Connection->call({}, nullptr, into(Again));
  auto Value = Again.take();
  REQUIRE(Value);
  CHECK(std::holds_alternative<PeerReply>(*Value));
}

// Guards against answers of the target that nothing counts while they wait for
// the link to the caller's node.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client counts a response until it is released") {
  HttpClientLimits Limits;
  Limits.Memory_ = makeAccount();
  for (const std::string &Length :
       {std::string(),
        "Content-Length: " + std::to_string(3 * Megabyte) + "\r\n"}) {
    CAPTURE(Length);
    Pool_.reset();
    pool(Limits);
    std::vector<HttpClientResult> Kept;
    for (int Number = 0; Number < 3; ++Number) {
      Waiter<HttpClientResult> Got;
      send(Got, false);
      RawConnection Target = Listener_.accept();
      Target.receiveHttp();
      Target.send("HTTP/1.1 200 OK\r\n" + Length + "\r\n" +
                  std::string(3 * Megabyte, 'x'));
      Target.finishSending();
      auto Value = Got.take();
      REQUIRE(Value);
      Kept.push_back(std::move(*Value));
    }
    CHECK(Kept[0].Response_);
    CHECK(Kept[1].Response_);
    REQUIRE(Kept[2].Failure_);
    CHECK(Kept[2].Failure_->Cause_.Code_ == ErrorCode::AnswerTooLarge);
    CHECK(Kept[2].Failure_->Written_);
    CHECK(eventually([&] {
      return Limits.Memory_->reserved(MemoryUse::Answers) == 6 * Megabyte;
    }));
    Kept.clear();
    CHECK(Limits.Memory_->held() == 0);
  }
}

// Guards against a connection that keeps the body of its last request while it
// is idle.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "http client releases the body of a request at its end") {
  HttpClientLimits Limits;
  Limits.UnrepeatableIdle_ = std::chrono::minutes(1);
  auto Body = std::make_shared<const std::string>(100'000, 'x');
  Waiter<HttpClientResult> Got;
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/a";
  Request.Body_ = Body;
  Request.Deadline_ = std::chrono::steady_clock::now() + TestTimeout;
  pool(Limits).send(std::move(Request), [&Got](HttpClientResult Value) {
    Got.set(std::move(Value));
  });
  RawConnection Target = Listener_.accept();
  CHECK(Target.receiveHttp().size() > Body->size());
  Target.send(Good);
  REQUIRE(Got.take());
  CHECK(eventually([&] { return Body.use_count() == 1; }));
}

} // namespace marigold::transport
