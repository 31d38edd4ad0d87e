#include "PeerFixture.h"

namespace marigold::transport {

namespace {

const PeerReply *replyOf(const std::optional<StreamResult> &Value) {
  return Value ? std::get_if<PeerReply>(&*Value) : nullptr;
}

const StreamLost *lostOf(const std::optional<StreamResult> &Value) {
  return Value ? std::get_if<StreamLost>(&*Value) : nullptr;
}

/// Source of the own record that runs a function whenever it is copied, as it
/// is for each accepted connection.
struct CopiedRecord {
  explicit CopiedRecord(std::function<void()> OnCopy)
      : OnCopy_(std::move(OnCopy)) {}
  CopiedRecord(const CopiedRecord &Other) : OnCopy_(Other.OnCopy_) {
    OnCopy_();
  }
  HostRecord operator()() const { return {}; }

  std::function<void()> OnCopy_;
};

} // namespace

// Guards against delivering a reply to another caller's request.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection with crossed replies gives each caller its "
                  "own") {
  std::vector<CallStart> Held;
  Served_.OnCall_ = [&](const PeerConnectionPtr &Connection,
                        const CallStart &Start, const std::string &) {
    Held.push_back(Start);
    if (Held.size() < 3)
      return;
    for (auto Position = Held.rbegin(); Position != Held.rend(); ++Position)
      Connection->reply(Position->Stream_, {}, Position->Path_, {});
  };
  auto Connection = connect();
  std::array<Waiter<StreamResult>, 3> Got;
  for (std::size_t Index = 0; Index < 3; ++Index) {
    CallStart Start;
    Start.Path_ = "/" + std::to_string(Index);
    Connection->call(Start, nullptr, into(Got[Index]));
  }
  for (std::size_t Index = 0; Index < 3; ++Index) {
    auto Value = Got[Index].take();
    REQUIRE(replyOf(Value));
    CHECK(replyOf(Value)->Body_ == "/" + std::to_string(Index));
  }
}

// Guards against losing or repeating chunks when credit runs out and is granted
// again.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection returns a body beyond the window intact") {
  auto Connection = connect();
  std::string Text(3'000'001, '\0');
  for (std::size_t Index = 0; Index < Text.size(); ++Index)
    Text[Index] = static_cast<char>(Index * 31 + Index / 251);
  Waiter<StreamResult> Got;
  Connection->call({}, std::make_shared<const std::string>(Text), into(Got));
  auto Value = Got.take();
  REQUIRE(replyOf(Value));
  CHECK(replyOf(Value)->Body_ == Text);
}

// Guards against head-of-line blocking by a stream whose reader has stopped.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection with a stalled stream completes others") {
  RawListener Listener;
  startPool();
  Waiter<Result<PeerConnectionPtr>> Opened;
  Pool_->get({Loopback, Listener.port()},
             [&](Result<PeerConnectionPtr> Value) { Opened.set(Value); });
  RawPeer Peer = acceptRaw(Listener);
  auto Connection = Opened.take();
  REQUIRE(Connection);
  Waiter<StreamResult> Large;
  Waiter<StreamResult> Small;
  auto First =
      (*Connection).value()->call({}, body(1'000'000, 'x'), into(Large));
  auto Second = (*Connection).value()->call({}, body(10, 'y'), into(Small));
  std::size_t Received = 0;
  bool SmallEnded = false;
  // The peer sends no WindowUpdate, so the large body must stop when its credit
  // is used up.
  while (!SmallEnded || Received < PeerLimits().Window_) {
    std::string Frame = Peer.next();
    REQUIRE(!Frame.empty());
    std::string_view Content = std::string_view(Frame).substr(1);
    auto Type = static_cast<MessageType>(Frame[0]);
    if (Type == MessageType::CallData) {
      auto Data = decodeBody<CallData>(Content).value();
      CHECK(Data.Data_.size() <= PeerLimits().Chunk_);
      Received += Data.Stream_ == First ? Data.Data_.size() : 0;
    } else if (Type == MessageType::CallEnd) {
      SmallEnded = decodeBody<CallEnd>(Content).value().Stream_ == Second;
    }
  }
  CHECK(Received == PeerLimits().Window_);
  ReplyStart Reply;
  Reply.Stream_ = Second;
  Peer.send(Reply);
  Peer.send(ReplyEnd{Second, {}, {}});
  CHECK(replyOf(Small.take()));
  // The large call is still open and would access Large when it ends.
  Threads_.stop();
}

// Guards against reporting not-run for a request that may have run, and
// unknown for one of which nothing was sent.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection lost after the first byte reports it") {
  Served_.OnCall_ = [](const PeerConnectionPtr &Connection, const CallStart &,
                       const std::string &) {
    Connection->close(fail(ErrorCode::ConnectionFailed));
  };
  auto Connection = connect();
  Waiter<StreamResult> Got;
  Connection->call({}, nullptr, into(Got));
  auto Value = Got.take();
  REQUIRE(lostOf(Value));
  CHECK(lostOf(Value)->Written_);
  Connection->call({}, nullptr, into(Got));
  Value = Got.take();
  REQUIRE(lostOf(Value));
  CHECK_FALSE(lostOf(Value)->Written_);
}

TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection passes on a refusal and a cancellation") {
  Served_.OnStart_ = [](const CallStart &Start) -> std::optional<CallRefused> {
    if (Start.Path_ == "/held")
      return std::nullopt;
    return CallRefused{0, static_cast<std::uint16_t>(ErrorCode::Draining), {}};
  };
  Served_.OnCall_ = [](const PeerConnectionPtr &, const CallStart &,
                       const std::string &) {};
  auto Connection = connect();
  Waiter<StreamResult> Got;
  // The body is still being sent when the refusal arrives.
  Connection->call({}, body(2'000'000, 'x'), into(Got));
  auto Value = Got.take();
  REQUIRE(Value);
  auto *Refusal = std::get_if<CallRefused>(&*Value);
  REQUIRE(Refusal);
  CHECK(Refusal->Code_ == static_cast<std::uint16_t>(ErrorCode::Draining));
  CallStart Start;
  Start.Path_ = "/held";
  auto Stream = Connection->call(Start, nullptr, into(Got));
  CHECK(eventually([&] { return Served_.Calls_ == 1; }));
  Connection->cancel(Stream);
  CHECK(eventually([&] { return Served_.Cancels_ == 1; }));
  CHECK(Connection->isOpen());
}

// Guards against executing an incomplete request.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection that ends within a body delivers no call") {
  {
    RawPeer Peer = rawClient();
    Peer.expect<Hello>();
    Peer.send(startWithBody(1, 10));
    Peer.send(CallData{1, "12345"});
    CHECK(eventually([&] { return Served_.Opened_ == 1; }));
  }
  CHECK(eventually([&] { return Served_.Closed_ == 1; }));
  CHECK(Served_.Calls_ == 0);
  CHECK(Served_.Cancels_ == 0);
}

// Each row is a frame sequence that a correct peer never sends; accepting it
// could mix up streams or let memory grow without bound.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection with a malformed frame is closed") {
  using Send = std::function<void(RawPeer &)>;
  const std::vector<std::pair<std::string, Send>> Cases{
      {"empty frame",
       [](RawPeer &Peer) { Peer.Socket_.send(std::string(4, '\0')); }},
      {"unknown type",
       [](RawPeer &Peer) {
         Peer.Socket_.send(makeFrame(static_cast<MessageType>(99), ""));
       }},
      {"type of a datagram", [](RawPeer &Peer) { Peer.send(Ping{}); }},
      {"length beyond the limit",
       [](RawPeer &Peer) {
         Peer.Socket_.send(std::string("\x00\x10\x00\x00\x14", 5));
       }},
      {"body cut short",
       [](RawPeer &Peer) {
         Peer.Socket_.send(makeFrame(MessageType::CallStart, "\x01"));
       }},
      {"second Hello",
       [](RawPeer &Peer) {
         Peer.send(Hello{PeerProtocolVersion, 77, {}});
       }},
      {"stream number of the other side",
       [](RawPeer &Peer) { Peer.send(startWithBody(2, 0)); }},
      {"stream used twice",
       [](RawPeer &Peer) {
         Peer.send(startWithBody(3, 0));
         Peer.send(startWithBody(3, 0));
       }},
      {"data of an unknown stream",
       [](RawPeer &Peer) {
         Peer.send(CallData{1, "x"});
       }},
      {"data beyond the body size",
       [](RawPeer &Peer) {
         Peer.send(startWithBody(1, 1));
         Peer.send(CallData{1, "xy"});
       }},
      {"empty data",
       [](RawPeer &Peer) {
         Peer.send(startWithBody(1, 1));
         Peer.send(CallData{1, ""});
       }},
      {"end of an incomplete body",
       [](RawPeer &Peer) {
         Peer.send(startWithBody(1, 2));
         Peer.send(CallData{1, "x"});
         Peer.send(CallEnd{1});
       }},
      {"reply to nothing",
       [](RawPeer &Peer) {
         Peer.send(ReplyEnd{2, {}, {}});
       }},
      {"refusal with an unknown code",
       [](RawPeer &Peer) {
         Peer.send(CallRefused{2, 9999, {}});
       }},
      {"credit of zero",
       [](RawPeer &Peer) {
         Peer.send(WindowUpdate{1, 0});
       }},
  };
  std::int64_t Before = 0;
  for (const auto &Case : Cases) {
    CAPTURE(Case.first);
    RawPeer Peer = rawClient();
    Peer.expect<Hello>();
    Case.second(Peer);
    CHECK(Peer.ends());
    ++Before;
    CHECK(Metrics_.total(Metric::MessagesMalformedTotal) == Before);
  }
  // Other connections are not affected.
  auto Connection = connect();
  Waiter<StreamResult> Got;
  Served_.Calls_ = 0;
  Connection->call({}, body(5, 'x'), into(Got));
  CHECK(replyOf(Got.take()));
}

TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection of another mesh or protocol is refused") {
  CHECK(rawClient(78).ends());
  CHECK(rawClient(77, PeerProtocolVersion + 1).ends());
  CHECK(Served_.Opened_ == 0);
  PoolOptions_.Mesh_ = 78;
  startPool();
  auto Value = get({Loopback, Server_->port()});
  CHECK_FALSE(Value);
}

// Guards against unbounded memory growth when a peer stops reading.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer connection with a full control queue is closed") {
  ServerOptions_.Limits_.ControlQueue_ = 100'000;
  RawPeer Peer = rawClient();
  Peer.expect<Hello>();
  CHECK(eventually([&] { return Served_.Opened_ == 1; }));
  HostStateNotice Notice;
  Notice.Record_.Region_.assign(30'000, 'r');
  CHECK(eventually([&] {
    Server_->broadcast(Notice);
    return Served_.Closed_ == 1;
  }));
}

TEST_CASE_FIXTURE(PeerFixture, "peer server broadcasts to connected nodes") {
  auto Connection = connect();
  CHECK(eventually([&] { return Server_->connections() == 1; }));
  HostStateNotice Notice;
  Notice.Record_.Service_ = "desk";
  CHECK(Server_->broadcast(Notice) > 0);
  auto Received = Local_.Notice_.take();
  REQUIRE(Received);
  CHECK(*Received == Notice);
}

// Guards against calls without an answer on a connection that stays open on a
// stopped server, because it was accepted while the server stopped.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer server that stops closes a connection being accepted") {
  std::atomic<bool> Armed = false;
  Waiter<bool> Accepting;
  Waiter<bool> Stopped;
  ServerOptions_.OwnRecord_ = CopiedRecord([&] {
    if (!Armed.exchange(false))
      return;
    Accepting.set(true);
    Stopped.take();
  });
  startServer();
  Armed = true;
  RawPeer Peer = rawClient();
  REQUIRE(Accepting.take());
  Server_->stop();
  Stopped.set(true);
  CHECK(Peer.ends());
  CHECK(Served_.Opened_ == 0);
  CHECK(Server_->connections() == 0);
}

TEST_CASE_FIXTURE(PeerFixture, "peer pool opens one connection for a peer") {
  auto First = connect();
  CHECK(connect() == First);
  CHECK(Pool_->find({Loopback, Server_->port()}) == First);
  Pool_->drop({Loopback, Server_->port()});
  CHECK(eventually([&] { return !First->isOpen(); }));
  CHECK(connect() != First);
}

// Guards against frequent connection attempts to a host that is down.
TEST_CASE_FIXTURE(PeerFixture, "peer pool waits after a failed attempt") {
  PoolLimits_.BackoffFirst_ = std::chrono::hours(1);
  startPool();
  std::uint16_t Port = RawListener().port();
  CHECK_FALSE(get({Loopback, Port}));
  bool Direct = false;
  Pool_->get({Loopback, Port},
             [&](Result<PeerConnectionPtr> Value) { Direct = !Value; });
  CHECK(Direct);
}

TEST_CASE_FIXTURE(PeerFixture,
                  "peer pool at its limit evicts an unused connection") {
  PoolLimits_.Peers_ = 1;
  auto First = connect();
  std::uint16_t Port = RawListener().port();
  CHECK_FALSE(get({Loopback, Port}));
  CHECK(eventually([&] { return !First->isOpen(); }));
}

// Guards against giving up the running work of a host that was declared dead
// because it was slow to answer probes.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer pool that drops a peer lets its calls end") {
  Waiter<std::pair<PeerConnectionPtr, CallStart>> Held;
  Served_.OnCall_ = [&](const PeerConnectionPtr &Connection,
                        const CallStart &Start, const std::string &) {
    Held.set({Connection, Start});
  };
  auto First = connect();
  Waiter<StreamResult> Got;
  First->call({}, nullptr, into(Got));
  auto Running = Held.take();
  REQUIRE(Running);
  HostId Peer{Loopback, Server_->port()};
  Pool_->drop(Peer);
  CHECK_FALSE(First->isOpen());
  Waiter<StreamResult> Refused;
  First->call({}, nullptr, into(Refused));
  auto Late = Refused.take();
  REQUIRE(lostOf(Late));
  CHECK_FALSE(lostOf(Late)->Written_);
  CHECK(connect() != First);
  Running->first->reply(Running->second.Stream_, {}, "done", {});
  auto Value = Got.take();
  REQUIRE(replyOf(Value));
  CHECK(replyOf(Value)->Body_ == "done");
  CHECK(eventually([&] { return Served_.Closed_ == 1; }));
}

// Guards against an exit that cuts off an answer which another node is still
// receiving after the run has ended.
TEST_CASE_FIXTURE(PeerFixture,
                  "peer server counts an answer until it is sent") {
  Served_.OnCall_ = [](const PeerConnectionPtr &Connection,
                       const CallStart &Start, const std::string &) {
    Connection->reply(Start.Stream_, {}, std::string(400'000, 'x'), {});
  };
  RawPeer Peer = rawClient();
  CallStart Start = startWithBody(1, 0);
  Peer.send(Start);
  Peer.send(CallEnd{1});
  // The peer grants no credit, so the answer stops at the window.
  std::size_t Received = 0;
  while (Received < PeerLimits().Window_) {
    std::string Frame = Peer.next();
    REQUIRE(!Frame.empty());
    if (static_cast<MessageType>(Frame[0]) == MessageType::ReplyData)
      Received += decodeBody<ReplyData>(std::string_view(Frame).substr(1))
                      .value()
                      .Data_.size();
  }
  CHECK(Server_->openStreams() == 1);
  Peer.send(WindowUpdate{1, 200'000});
  std::string Frame;
  do {
    Frame = Peer.next();
    REQUIRE(!Frame.empty());
  } while (static_cast<MessageType>(Frame[0]) != MessageType::ReplyEnd);
  CHECK(eventually([&] { return Server_->openStreams() == 0; }));
}

// Guards against a request that runs after its caller has left: the time left
// was that of the first frame, but it counted from the end of a body that took
// long to arrive.
TEST_CASE_FIXTURE(PeerFixture, "time left counts from the first frame") {
  using std::chrono::milliseconds;
  constexpr milliseconds BodyTime(60);
  Waiter<CallStart> Got;
  Served_.OnCall_ = [&](const PeerConnectionPtr &, const CallStart &Start,
                        const std::string &) { Got.set(Start); };
  for (milliseconds Remaining : {milliseconds(2000), milliseconds(20)}) {
    CAPTURE(Remaining.count());
    RawPeer Peer = rawClient();
    Peer.expect<Hello>();
    CallStart Start = startWithBody(1, 4);
    Start.Remaining_ = Remaining;
    Start.Objective_ = milliseconds(500);
    Peer.send(Start);
    std::this_thread::sleep_for(BodyTime);
    Peer.send(CallData{1, "body"});
    Peer.send(CallEnd{1});
    auto Call = Got.take();
    REQUIRE(Call);
    CHECK(Call->Remaining_ >= milliseconds(0));
    CHECK(Call->Remaining_ <=
          std::max(Remaining - BodyTime / 2, milliseconds(0)));
    CHECK(Call->Objective_ <= milliseconds(500) - BodyTime / 2);
  }
}

// Guards against a queue in front of a receiving host to which nobody admits:
// many hosts send bodies to one, each within its own link, and the link of the
// receiver holds seconds of them, with every later call behind. The receiver
// states that it admits bodies. What may be on its way before it has asked for
// more is what its link carries in a quarter of a second.
TEST_CASE_FIXTURE(PeerFixture, "bodies on their way to one host fit its link") {
  constexpr std::size_t Senders = 24;
  constexpr std::size_t BodySize = 60'000;
  constexpr std::uint32_t LinkMbps = 10;
  constexpr std::size_t Allowed = LinkMbps * 1'000'000 / 8 / 4;
  RawListener Receiver;
  HostRecord Record;
  Record.Id_ = {Loopback, Receiver.port()};
  Record.LinkMbps_ = LinkMbps;
  PoolOptions_.Metrics_ = &Metrics_;
  std::vector<std::unique_ptr<PeerConnectionPool>> Pools;
  std::vector<std::unique_ptr<RawPeer>> Peers;
  for (std::size_t Sender = 0; Sender < Senders; ++Sender) {
    Pools.push_back(std::make_unique<PeerConnectionPool>(
        Threads_.Io_, Local_, PoolOptions_, Sender + 1));
    Pools.back()->get(Record.Id_, [&](Result<PeerConnectionPtr> Value) {
      if (Value)
        Value.value()->call(startWithBody(0, BodySize), body(BodySize, 'x'),
                            [](const StreamResult &) {});
    });
    Peers.push_back(std::make_unique<RawPeer>(Receiver.accept()));
    Peers.back()->expect<Hello>();
    Peers.back()->sendHello(Record);
  }
  for (const auto &Peer : Peers)
    Peer->expect<CallStart>();
  auto Sent = [&] {
    return Senders * BodySize -
           static_cast<std::size_t>(Metrics_.total(Metric::EgressBacklogBytes));
  };
  CHECK_FALSE(eventually([&] { return Sent() > Allowed; }));
  for (const auto &Pool : Pools)
    Pool->stop();
}

} // namespace marigold::transport
