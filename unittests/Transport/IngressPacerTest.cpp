#include "PeerFixture.h"

#include <memory>
#include <vector>

namespace marigold::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Link of 10 Mbit/s.
constexpr double LinkRate = 10e6 / 8;

/// A host with a link of 10 Mbit/s that admits the bodies of its peers.
struct IngressPacerFixture : PeerFixture {
  IngressPacerFixture() {
    Ingress_ = std::make_shared<IngressPacer>(Threads_.Io_, LinkRate);
    ServerOptions_.Ingress_ = Ingress_;
  }
  ~IngressPacerFixture() { Threads_.stop(); }

  /// Connects as a host that waits for credit.
  RawPeer admittedClient() {
    if (!Server_)
      startServer();
    RawPeer Peer{RawConnection(Server_->port())};
    Peer.sendHello({});
    Peer.expect<Hello>();
    return Peer;
  }

  static CallStart upload(std::uint32_t Stream, std::uint64_t Size,
                          milliseconds Limit = seconds(60)) {
    CallStart Start = startWithBody(Stream, Size);
    Start.Remaining_ = Limit;
    return Start;
  }

  /// Sends the rest of a body as credit permits; returns the answer's status.
  static unsigned sendBody(RawPeer &Peer, std::uint32_t Stream,
                           std::size_t Size) {
    constexpr std::size_t Chunk = 16'384;
    while (Size != 0) {
      auto Credit = Peer.expect<WindowUpdate>();
      REQUIRE(Credit.Stream_ == Stream);
      std::size_t Left = Credit.Credit_;
      while (Left != 0) {
        std::size_t Part = std::min(Left, Chunk);
        REQUIRE(Part <= Size);
        Peer.send(CallData{Stream, std::string(Part, 'x')});
        Left -= Part;
        Size -= Part;
      }
    }
    Peer.send(CallEnd{Stream});
    ReplyStart Start = Peer.expect<ReplyStart>();
    return Start.Status_;
  }

  std::shared_ptr<IngressPacer> Ingress_;
};

} // namespace

// Guards against credit that exceeds the link when it is granted by each of
// many connections for itself.
TEST_CASE_FIXTURE(IngressPacerFixture,
                  "one account grants credit for all connections") {
  Served_.OnCall_ = [](const PeerConnectionPtr &Connection,
                       const CallStart &Start, const std::string &Body) {
    ReplyStart Reply;
    Reply.Status_ = Body.size() == 60'000 ? 200 : 500;
    Connection->reply(Start.Stream_, Reply, std::string(), {});
  };
  std::vector<RawPeer> Peers;
  for (int Sender = 0; Sender < 24; ++Sender) {
    Peers.push_back(admittedClient());
    Peers.back().send(upload(1, 60'000));
  }
  REQUIRE(eventually([&] { return Ingress_->bodies() == 24; }));
  CHECK(Ingress_->outstanding() <= static_cast<std::size_t>(LinkRate / 4));
  // Served in the order of their arrival, since all are due at the same time.
  for (RawPeer &Peer : Peers)
    CHECK(sendBody(Peer, 1, 60'000) == 200);
  CHECK(Ingress_->bodies() == 0);
  CHECK(Ingress_->outstanding() == 0);
}

// Guards against credit that stays with calls that were cancelled or whose
// connection was lost.
TEST_CASE_FIXTURE(IngressPacerFixture,
                  "credit returns with cancelled calls and connections") {
  std::vector<RawPeer> Peers;
  for (int Sender = 0; Sender < 8; ++Sender) {
    Peers.push_back(admittedClient());
    Peers.back().send(upload(1, 60'000));
  }
  REQUIRE(eventually([&] { return Ingress_->bodies() == 8; }));
  for (std::size_t Index = 0; Index < 4; ++Index)
    Peers[Index].send(CallCancel{1});
  CHECK(eventually([&] { return Ingress_->bodies() == 4; }));
  Peers.clear();
  CHECK(eventually([&] { return Ingress_->bodies() == 0; }));
  CHECK(Ingress_->outstanding() == 0);
}

// Guards against an upload that takes link time although its caller will have
// left when it is complete, and against a refusal that makes the target look
// idle or tells callers to come back at once.
TEST_CASE_FIXTURE(IngressPacerFixture,
                  "upload that cannot arrive in time is refused at once") {
  Served_.Load_.Running_ = 7;
  RawPeer Peer = admittedClient();
  Peer.send(upload(1, 500'000));
  Peer.expect<WindowUpdate>();
  Peer.send(upload(3, 1'000'000, milliseconds(400)));
  auto Refused = Peer.expect<CallRefused>();
  CHECK(Refused.Stream_ == 3);
  CHECK(Refused.Code_ == static_cast<std::uint16_t>(ErrorCode::HopelessWait));
  CHECK(Refused.Load_.Running_ == 7);
  // 400 ms at the full rate of the link.
  CHECK(Refused.RetryAfter_ >= milliseconds(400));
  CHECK(Refused.RetryAfter_ <= milliseconds(500));
  CallStart Keyed = upload(5, 1'000'000, milliseconds(400));
  Keyed.Key_ = "k-1";
  Peer.send(Keyed);
  Refused = Peer.expect<CallRefused>();
  CHECK(Refused.Code_ ==
        static_cast<std::uint16_t>(ErrorCode::KeyOwnerUnreachable));
  CHECK(Ingress_->bodies() == 1);
}

// Guards against a rolling update that breaks uploads: builds that do not know
// the admission send up to a window at once, and close the connection on credit
// that they do not expect.
TEST_CASE_FIXTURE(IngressPacerFixture,
                  "peer that does not know the admission uses its window") {
  RawPeer Peer = rawClient();
  Peer.expect<Hello>();
  Peer.send(upload(1, 60'000));
  for (std::size_t Left = 60'000; Left != 0;) {
    std::size_t Part = std::min<std::size_t>(Left, 16'384);
    Peer.send(CallData{1, std::string(Part, 'x')});
    Left -= Part;
  }
  Peer.send(CallEnd{1});
  Peer.expect<ReplyStart>();
  CHECK(Peer.Admission_ == AdmitsBodies);
  CHECK(Ingress_->bodies() == 0);
}

// Guards against bodies that stop or are damaged when both sides admit them, in
// either direction, while others are in progress.
TEST_CASE_FIXTURE(IngressPacerFixture,
                  "admitted bodies arrive whole in both directions") {
  PoolOptions_.Ingress_ =
      std::make_shared<IngressPacer>(Threads_.Io_, 10 * LinkRate);
  PeerConnectionPtr Connection = connect();
  std::vector<std::unique_ptr<Waiter<StreamResult>>> Results;
  for (int Count = 0; Count < 20; ++Count) {
    Results.push_back(std::make_unique<Waiter<StreamResult>>());
    Connection->call(upload(0, 0),
                     body(20'000 + 7'777 * static_cast<std::size_t>(Count),
                          static_cast<char>('a' + Count)),
                     into(*Results.back()));
  }
  for (std::size_t Count = 0; Count < Results.size(); ++Count) {
    auto Value = Results[Count]->take();
    REQUIRE(Value);
    auto *Reply = std::get_if<PeerReply>(&*Value);
    REQUIRE(Reply);
    CHECK(Reply->Body_ ==
          std::string(20'000 + 7'777 * Count, static_cast<char>('a' + Count)));
  }
  CHECK(Ingress_->bodies() == 0);
  CHECK(PoolOptions_.Ingress_->bodies() == 0);
}

} // namespace marigold::transport
