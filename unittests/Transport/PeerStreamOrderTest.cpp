#include "PeerFixture.h"

#include "Transport/EgressPacer.h"

namespace marigold::transport {

namespace {

/// Size of a body that waits for the link.
constexpr std::size_t BulkBytes = 100'000;

struct PeerStreamOrderFixture : PeerFixture {
  PeerStreamOrderFixture() {
    PoolOptions_.Pacer_ = std::make_shared<EgressPacer>(Threads_.Io_, Rate_);
  }

  /// Delays large bodies by the time that Bytes take on the link.
  void occupyLink(std::size_t Bytes) { PoolOptions_.Pacer_->charge(Bytes); }

  /// Connects the pool to a listener that the test serves.
  RawPeer connectRaw() {
    startPool();
    Pool_->get({Loopback, Listener_.port()},
               [&](Result<PeerConnectionPtr> Value) { Opened_.set(Value); });
    RawPeer Peer = acceptRaw(Listener_);
    auto Value = Opened_.take();
    REQUIRE(Value);
    Connection_ = Value->value();
    return Peer;
  }

  /// Bytes per second.
  static constexpr double Rate_ = 10e6;
  /// More than the link sends during a test.
  static constexpr std::size_t Forever_ = 1'000'000'000'000;

  RawListener Listener_;
  Waiter<Result<PeerConnectionPtr>> Opened_;
  PeerConnectionPtr Connection_;
};

} // namespace

// Guards against a connection that the peer closes, with all calls on it: a
// call with a large body waits for the link and is overtaken by a later one,
// whose stream number is higher.
TEST_CASE_FIXTURE(
    PeerStreamOrderFixture,
    "calls start in the order of their numbers while a large body "
    "waits for the link") {
  RawPeer Peer = connectRaw();
  occupyLink(Forever_);
  Waiter<StreamResult> Large;
  Waiter<StreamResult> Small;
  Waiter<StreamResult> Key;
  auto First = Connection_->call({}, body(BulkBytes, 'x'), into(Large));
  auto Second = Connection_->requestKey("desk", into(Key));
  auto Third = Connection_->call({}, body(10, 'y'), into(Small));
  CHECK(Peer.expect<CallStart>().Stream_ == First);
  CHECK(Peer.expect<KeyRequest>().Stream_ == Second);
  CHECK(Peer.expect<CallStart>().Stream_ == Third);
  CHECK(Peer.expect<CallData>().Stream_ == Third);
  CHECK(Peer.expect<CallEnd>().Stream_ == Third);
  // The open calls would access the waiters when they end.
  Threads_.stop();
}

// Guards against the loss of calls in progress when the link is free again and
// the body that waited is sent.
TEST_CASE_FIXTURE(PeerStreamOrderFixture,
                  "overtaken call with a large body is answered") {
  auto Connection = connect();
  occupyLink(500'000);
  Waiter<StreamResult> Large;
  Waiter<StreamResult> Small;
  Connection->call({}, body(BulkBytes, 'x'), into(Large));
  Connection->call({}, body(10, 'y'), into(Small));
  auto Last = Small.take();
  REQUIRE(Last);
  CHECK(std::holds_alternative<PeerReply>(*Last));
  auto First = Large.take();
  REQUIRE(First);
  CHECK(std::holds_alternative<PeerReply>(*First));
  CHECK(Served_.Closed_ == 0);
  CHECK(Metrics_.total(Metric::MessagesMalformedTotal) == 0);
}

// Guards against reporting that a call may have run although its body, which
// waited for the link, was never sent.
TEST_CASE_FIXTURE(PeerStreamOrderFixture,
                  "call lost before the end of its body has not run") {
  Waiter<StreamResult> Got;
  {
    RawPeer Peer = connectRaw();
    occupyLink(Forever_);
    Connection_->call({}, body(BulkBytes, 'x'), into(Got));
    Peer.expect<CallStart>();
  }
  auto Value = Got.take();
  REQUIRE(Value);
  auto *Lost = std::get_if<StreamLost>(&*Value);
  REQUIRE(Lost);
  CHECK_FALSE(Lost->Written_);
}

// Guards against a reply that is taken for whole although the connection ended
// in the middle of it. The frames of a reply are cut at each byte.
TEST_CASE_FIXTURE(PeerStreamOrderFixture,
                  "reply that is cut at any byte is no reply") {
  std::string Frames;
  for (std::size_t Size = 0; Size == 0 || Size < Frames.size(); ++Size) {
    CAPTURE(Size);
    Waiter<StreamResult> Got;
    {
      RawPeer Peer = connectRaw();
      auto Stream = Connection_->call({}, nullptr, into(Got));
      Peer.expect<CallStart>();
      Peer.expect<CallEnd>();
      ReplyStart Start;
      Start.Stream_ = Stream;
      Start.BodySize_ = 4;
      Start.Headers_ = {{"x-a", "b"}};
      Frames = makeFrame(MessageType::ReplyStart, encodeBody(Start)) +
               makeFrame(MessageType::ReplyData,
                         encodeBody(ReplyData{Stream, "done"})) +
               makeFrame(MessageType::ReplyEnd,
                         encodeBody(ReplyEnd{Stream, {}, {}}));
      Peer.Socket_.send(std::string_view(Frames).substr(0, Size));
    }
    auto Value = Got.take();
    REQUIRE(Value);
    auto *Lost = std::get_if<StreamLost>(&*Value);
    REQUIRE(Lost);
    CHECK(Lost->Written_);
  }
}

// Guards against the loss of all calls of a connection through one whose number
// is too low, as nodes of an earlier version send it: that call is refused, so
// it does not run, and the others go on.
TEST_CASE_FIXTURE(PeerStreamOrderFixture,
                  "stream with a number that was overtaken is refused alone") {
  RawPeer Peer = rawClient();
  Peer.expect<Hello>();
  Peer.send(startWithBody(7, 0));
  Peer.send(startWithBody(3, 2));
  Peer.send(CallData{3, "xy"});
  Peer.send(CallEnd{3});
  auto Refused = Peer.expect<CallRefused>();
  CHECK(Refused.Stream_ == 3);
  CHECK(Refused.Code_ == static_cast<std::uint16_t>(ErrorCode::QueueFull));
  CallStart Keyed = startWithBody(5, 0);
  Keyed.Key_ = "key";
  Peer.send(Keyed);
  Refused = Peer.expect<CallRefused>();
  CHECK(Refused.Stream_ == 5);
  CHECK(Refused.Code_ ==
        static_cast<std::uint16_t>(ErrorCode::KeyOwnerUnreachable));
  Peer.send(KeyRequest{1, "desk"});
  CHECK(Peer.expect<CallRefused>().Stream_ == 1);
  CHECK(Served_.Calls_ == 0);
  CHECK(Metrics_.total(Metric::MessagesMalformedTotal) == 3);
  Peer.send(CallEnd{7});
  CHECK(Peer.expect<ReplyStart>().Stream_ == 7);
  CHECK(Served_.Calls_ == 1);
}

} // namespace marigold::transport
