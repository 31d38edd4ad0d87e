#include "PeerFixture.h"

#include "Transport/EgressPacer.h"

namespace marigold::transport {

namespace {

/// A caller's node that leaves while its call is at the other node.
struct PeerCancelFixture : PeerFixture {
  PeerCancelFixture() {
    ServerOptions_.Pacer_ = std::make_shared<EgressPacer>(Threads_.Io_, 100e6);
    Served_.OnCall_ = [this](const PeerConnectionPtr &Connection,
                             const CallStart &Start, const std::string &) {
      Held_.set({Connection, Start.Stream_});
    };
  }

  /// Opens a call and returns it as the target's node holds it.
  std::pair<PeerConnectionPtr, std::uint32_t> open(RawPeer &Peer,
                                                   std::uint32_t Stream) {
    Peer.send(startWithBody(Stream, 0));
    Peer.send(CallEnd{Stream});
    auto Value = Held_.take();
    REQUIRE(Value);
    return *Value;
  }

  static void reply(const std::pair<PeerConnectionPtr, std::uint32_t> &Call) {
    Call.first->reply(Call.second, {}, std::string(ReplyBytes_, 'x'), {});
  }

  /// Receives data of a reply until its window is used up. Grants no credit.
  static void receiveWindow(RawPeer &Peer) {
    std::size_t Received = 0;
    while (Received < PeerLimits().Window_) {
      std::string Frame = Peer.next();
      REQUIRE(!Frame.empty());
      if (static_cast<MessageType>(Frame[0]) == MessageType::ReplyData)
        Received += decodeBody<ReplyData>(std::string_view(Frame).substr(1))
                        .value()
                        .Data_.size();
    }
  }

  bool nothingHeld() {
    return eventually([&] {
      return Server_->openStreams() == 0 &&
             ServerOptions_.Pacer_->backlog() == 0 &&
             Metrics_.total(Metric::EgressBacklogBytes) == 0;
    });
  }

  /// More than the window, so that a reply needs credit.
  static constexpr std::size_t ReplyBytes_ = 700'000;

  Waiter<std::pair<PeerConnectionPtr, std::uint32_t>> Held_;
};

} // namespace

// Guards against replies that stay at the target's node until its memory is
// exhausted, and that count as waiting for its link, so that it refuses every
// large answer: their callers have left while they were on the way.
TEST_CASE_FIXTURE(PeerCancelFixture,
                  "reply whose caller leaves on its way is dropped") {
  RawPeer Peer = rawClient();
  for (std::uint32_t Stream = 1; Stream < 20; Stream += 2) {
    reply(open(Peer, Stream));
    receiveWindow(Peer);
    CHECK(ServerOptions_.Pacer_->backlog() > 0);
    Peer.send(CallCancel{Stream});
    REQUIRE(nothingHeld());
  }
  CHECK(Metrics_.total(Metric::RepliesCancelledTotal) == 10);
  CHECK(Served_.Cancels_ == 0);
  // The connection goes on.
  auto Last = open(Peer, 21);
  Last.first->reply(Last.second, {}, "done", {});
  CHECK(Peer.expect<ReplyStart>().Stream_ == 21);
}

// Guards against a reply of the target that is kept because it comes after its
// caller has left.
TEST_CASE_FIXTURE(PeerCancelFixture,
                  "reply that comes after its caller has left is dropped") {
  RawPeer Peer = rawClient();
  auto Call = open(Peer, 1);
  Peer.send(CallCancel{1});
  REQUIRE(eventually([&] { return Served_.Cancels_ == 1; }));
  reply(Call);
  Call = open(Peer, 3);
  Call.first->reply(Call.second, {}, "done", {});
  Peer.expect<Hello>();
  CHECK(Peer.expect<ReplyStart>().Stream_ == 3);
  CHECK(nothingHeld());
}

// Guards against a cancellation that crosses the end of the reply and is taken
// for a breach of the protocol.
TEST_CASE_FIXTURE(PeerCancelFixture,
                  "cancellation after the end of the reply changes nothing") {
  RawPeer Peer = rawClient();
  Peer.expect<Hello>();
  for (std::uint32_t Stream : {1U, 3U}) {
    auto Call = open(Peer, Stream);
    Call.first->reply(Call.second, {}, "done", {});
    CHECK(Peer.expect<ReplyStart>().Stream_ == Stream);
    CHECK(Peer.expect<ReplyData>().Stream_ == Stream);
    CHECK(Peer.expect<ReplyEnd>().Stream_ == Stream);
    Peer.send(CallCancel{Stream});
  }
  CHECK(nothingHeld());
  CHECK(Metrics_.total(Metric::RepliesCancelledTotal) == 0);
  CHECK(Served_.Closed_ == 0);
}

// Guards against bytes that still count as waiting for the link after the
// caller's node has died.
TEST_CASE_FIXTURE(PeerCancelFixture,
                  "reply whose caller's node dies is dropped") {
  {
    RawPeer Peer = rawClient();
    reply(open(Peer, 1));
    receiveWindow(Peer);
    CHECK(ServerOptions_.Pacer_->backlog() > 0);
    Peer.Socket_.close(true);
  }
  CHECK(nothingHeld());
}

// Guards against a reply beyond the limit of the caller's node that stays at
// the target's node.
TEST_CASE_FIXTURE(PeerCancelFixture,
                  "reply that its caller's node cannot take is dropped") {
  PoolOptions_.Limits_.Reply_ = ReplyBytes_ - 1;
  auto Connection = connect();
  Waiter<StreamResult> Got;
  Connection->call({}, nullptr, into(Got));
  auto Call = Held_.take();
  REQUIRE(Call);
  reply(*Call);
  auto Value = Got.take();
  REQUIRE(Value);
  CHECK(std::holds_alternative<CallRefused>(*Value));
  CHECK(nothingHeld());
}

} // namespace marigold::transport
