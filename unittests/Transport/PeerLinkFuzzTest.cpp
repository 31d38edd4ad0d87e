#include "../TestSeed.h"
#include "PeerFixture.h"

#include "Transport/EgressPacer.h"

#include <algorithm>

namespace marigold::transport {

namespace {

/// One end of a connection: the calls that it has sent, and those of the other
/// end that it holds.
class PeerEnd {
public:
  explicit PeerEnd(std::uint64_t Seed)
      : Random_(Seed), ReplyRandom_(Seed + 1) {}

  /// Takes a call of the other end. Some are answered later, some refused.
  void onCall(const PeerConnectionPtr &Connection, const CallStart &Start) {
    std::lock_guard Lock(Mutex_);
    Held_.push_back({Connection, Start.Stream_, bodySize(ReplyRandom_)});
  }

  /// Performs one random action on the connection.
  void act(const PeerConnectionPtr &Connection) {
    switch (Random_.below(8)) {
    case 0:
    case 1:
    case 2:
      call(Connection);
      break;
    case 3:
      Open_.push_back(
          {Connection->requestKey("desk", onEnd()), Results_.back()});
      break;
    case 4:
    case 5:
      cancelOne(Connection);
      break;
    default:
      answerOne();
    }
  }

  /// Cancels a part of the open calls and answers all held ones.
  void finish(const PeerConnectionPtr &Connection) {
    while (Open_.size() > 2)
      cancelOne(Connection);
    while (answerOne())
      ;
  }

  /// Whether each call has ended or was cancelled.
  bool allEnded() const {
    return std::ranges::all_of(
        Open_, [](const OpenCall &Call) { return Call.Ended_->load(); });
  }

private:
  struct HeldCall {
    PeerConnectionPtr Connection_;
    std::uint32_t Stream_ = 0;
    std::size_t ReplySize_ = 0;
  };
  struct OpenCall {
    std::uint32_t Stream_ = 0;
    std::shared_ptr<std::atomic<bool>> Ended_;
  };

  /// Sizes below and above the one from which a body waits for the link, and
  /// above the window.
  static std::size_t bodySize(Random &Rng) {
    constexpr std::array<std::size_t, 6> Sizes{0,      10,     16'384,
                                               16'385, 90'000, 400'000};
    return Sizes[Rng.below(Sizes.size())];
  }

  StreamCallback onEnd() {
    Results_.push_back(std::make_shared<std::atomic<bool>>(false));
    return [Ended = Results_.back()](const StreamResult &) { *Ended = true; };
  }

  void call(const PeerConnectionPtr &Connection) {
    std::size_t Size = bodySize(Random_);
    auto Done = onEnd();
    auto Ended = Results_.back();
    CallStart Start;
    if (Random_.chance(0.9))
      Start.Remaining_ = std::chrono::seconds(Random_.below(60));
    Open_.push_back(
        {Connection->call(std::move(Start),
                          std::make_shared<const std::string>(Size, 'x'), Done),
         Ended});
  }

  void cancelOne(const PeerConnectionPtr &Connection) {
    if (Open_.empty())
      return;
    std::size_t Index = Random_.below(Open_.size());
    Connection->cancel(Open_[Index].Stream_);
    Open_.erase(Open_.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  bool answerOne() {
    HeldCall Call;
    bool Refused = false;
    {
      std::lock_guard Lock(Mutex_);
      if (Held_.empty())
        return false;
      std::size_t Index = Random_.below(Held_.size());
      Call = Held_[Index];
      Held_.erase(Held_.begin() + static_cast<std::ptrdiff_t>(Index));
      Refused = Random_.chance(0.2);
    }
    if (Refused)
      Call.Connection_->refuse(
          {Call.Stream_,
           static_cast<std::uint16_t>(ErrorCode::QueueFull),
           {},
           {}});
    else
      Call.Connection_->reply(Call.Stream_, {},
                              std::string(Call.ReplySize_, 'y'), {});
    return true;
  }

  std::mutex Mutex_;
  Random Random_;
  /// For calls of the other end, which arrive on other threads. Requires
  /// Mutex_.
  Random ReplyRandom_;
  std::vector<HeldCall> Held_;
  std::vector<OpenCall> Open_;
  std::vector<std::shared_ptr<std::atomic<bool>>> Results_;
};

/// A connection between two nodes whose links are slow.
struct PeerLinkFuzzFixture {
  static constexpr double Rate_ = 40e6;

  static void play(Random &Rng) {
    PeerEnd Caller(Rng.next());
    PeerEnd Callee(Rng.next());
    PeerFixture Net;
    Waiter<PeerConnectionPtr> Accepted;
    for (auto [Handler, End] :
         {std::make_pair(&Net.Served_, &Callee), {&Net.Local_, &Caller}})
      Handler->OnCall_ = [End = End](const PeerConnectionPtr &Connection,
                                     const CallStart &Start,
                                     const std::string &) {
        End->onCall(Connection, Start);
      };
    Net.Served_.OnOpen_ = [&](const PeerConnectionPtr &Connection) {
      Accepted.set(Connection);
    };
    Net.PoolOptions_.Metrics_ = &Net.Metrics_;
    for (PeerOptions *Options : {&Net.ServerOptions_, &Net.PoolOptions_}) {
      Options->Pacer_ = std::make_shared<EgressPacer>(Net.Threads_.Io_, Rate_);
      Options->Limits_.Window_ = 65'536;
      // One end may be of a build that does not admit bodies.
      if (Rng.chance(0.7))
        Options->Ingress_ =
            std::make_shared<IngressPacer>(Net.Threads_.Io_, Rate_ / 40);
    }
    auto Near = Net.connect();
    auto Far = Accepted.take();
    REQUIRE(Far);
    for (std::uint64_t Step = 100 + Rng.below(200); Step > 0; --Step) {
      if (Rng.chance(0.5))
        Caller.act(Near);
      else
        Callee.act(*Far);
    }
    Caller.finish(Near);
    Callee.finish(*Far);
    auto Streams = [](const PeerConnectionPtr &Connection) {
      return dynamic_cast<const PeerLink &>(*Connection).streams();
    };
    CHECK(eventually([&] {
      Caller.finish(Near);
      Callee.finish(*Far);
      return Caller.allEnded() && Callee.allEnded() && Streams(Near) == 0 &&
             Streams(*Far) == 0;
    }));
    CHECK(Net.ServerOptions_.Pacer_->backlog() == 0);
    CHECK(Net.PoolOptions_.Pacer_->backlog() == 0);
    for (PeerOptions *Options : {&Net.ServerOptions_, &Net.PoolOptions_})
      CHECK((!Options->Ingress_ || Options->Ingress_->bodies() == 0));
    CHECK(Net.Metrics_.total(Metric::MessagesMalformedTotal) == 0);
    CHECK(Net.Served_.Closed_ == 0);
    CHECK(Near->isOpen());
    Net.Threads_.stop();
  }
};

} // namespace

// Guards against connections that end during a legal sequence of calls, and
// against streams and bytes that remain at a node after their callers have
// left.
TEST_CASE_FIXTURE(
    PeerLinkFuzzFixture,
    "random calls, cancellations and replies leave nothing behind") {
  forEachSeed(30, [](Random &Rng) { play(Rng); });
}

} // namespace marigold::transport
