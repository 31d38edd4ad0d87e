#pragma once

#include "Transport/PeerConnectionPool.h"
#include "Transport/PeerLink.h"
#include "Transport/PeerServer.h"

#include "TestSupport/NetworkFixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>

namespace marigold::transport {

/// PeerHandler with configurable callbacks and event counters. Set the
/// callbacks before connecting.
struct TestHandler : PeerHandler {
  std::function<void(const PeerConnectionPtr &, const CallStart &,
                     const std::string &)>
      OnCall_;
  /// Called with the body before OnCall_; may be empty.
  std::function<void(std::shared_ptr<const std::string>)> OnBody_;
  std::function<std::optional<CallRefused>(const CallStart &)> OnStart_;
  std::function<void(const PeerConnectionPtr &)> OnOpen_;
  std::atomic<int> Calls_ = 0;
  std::atomic<int> Cancels_ = 0;
  std::atomic<int> Opened_ = 0;
  std::atomic<int> Closed_ = 0;
  Waiter<HostStateNotice> Notice_;
  LoadReport Load_;

  void onOpen(const PeerConnectionPtr &Connection) override {
    ++Opened_;
    if (OnOpen_)
      OnOpen_(Connection);
  }
  void onClosed(const PeerConnectionPtr &, const Failure &) override {
    ++Closed_;
  }
  std::optional<CallRefused> onCallStart(const PeerConnectionPtr &,
                                         const CallStart &Start) override {
    return OnStart_ ? OnStart_(Start) : std::nullopt;
  }
  LoadReport load() const override { return Load_; }
  void onCall(const PeerConnectionPtr &Connection, CallStart Start,
              std::shared_ptr<const std::string> Body) override {
    ++Calls_;
    if (OnBody_)
      OnBody_(Body);
    if (OnCall_)
      OnCall_(Connection, Start, *Body);
    else
      Connection->reply(Start.Stream_, {}, std::move(Body), {});
  }
  void onCallCancel(const PeerConnectionPtr &, std::uint32_t) override {
    ++Cancels_;
  }
  void onHostStateNotice(const PeerConnectionPtr &,
                         HostStateNotice Value) override {
    Notice_.set(std::move(Value));
  }
};

/// Peer side of a connection that sends and receives individual frames.
struct RawPeer {
  explicit RawPeer(RawConnection Socket) : Socket_(std::move(Socket)) {}

  template <class Message> bool send(const Message &Value) {
    return Socket_.send(
        makeFrame(MessageTypeOf<Message>::Value_, encodeBody(Value)));
  }

  /// Sends the handshake of a node that admits large bodies.
  bool sendHello(const HostRecord &Record) {
    return Socket_.send(
        makeFrame(MessageType::Hello,
                  encodeBody(Hello{PeerProtocolVersion, 77, Record})) +
        makeFrame(MessageType::WindowUpdate,
                  encodeBody(WindowUpdate{AdmissionStream, AdmitsBodies})));
  }

  /// Next frame as type byte and body; empty if the connection has ended. What
  /// the peer says about the admission of bodies is recorded and left out.
  std::string next() {
    while (true) {
      std::string Length = Socket_.receive(4);
      if (Length.size() < 4)
        return {};
      std::size_t Size = 0;
      for (unsigned char Byte : Length)
        Size = Size << 8 | Byte;
      std::string Frame = Socket_.receive(Size);
      if (Frame.empty() ||
          static_cast<MessageType>(Frame[0]) != MessageType::WindowUpdate)
        return Frame;
      auto Update = decodeBody<WindowUpdate>(std::string_view(Frame).substr(1));
      if (!Update || Update.value().Stream_ != AdmissionStream)
        return Frame;
      Admission_ = Update.value().Credit_;
    }
  }

  /// Next frame, which must be of the given type.
  template <class Message> Message expect() {
    std::string Frame = next();
    REQUIRE(!Frame.empty());
    REQUIRE(static_cast<MessageType>(Frame[0]) ==
            MessageTypeOf<Message>::Value_);
    auto Value = decodeBody<Message>(std::string_view(Frame).substr(1));
    REQUIRE(Value);
    return std::move(Value.value());
  }

  /// Discards frames until the connection ends; returns whether it has.
  bool ends() {
    while (!next().empty())
      ;
    return Socket_.ended();
  }

  RawConnection Socket_;
  /// Credit of the last WindowUpdate of AdmissionStream; 0 if there was none.
  std::uint32_t Admission_ = 0;
};

inline CallStart startWithBody(std::uint32_t Stream, std::uint64_t Size) {
  CallStart Start;
  Start.Stream_ = Stream;
  Start.BodySize_ = Size;
  return Start;
}

/// Peer server and a pool that connects to it.
struct PeerFixture {
  PeerFixture() {
    ServerOptions_.Mesh_ = PoolOptions_.Mesh_ = 77;
    ServerOptions_.Metrics_ = &Metrics_;
    ServerOptions_.OwnRecord_ = [this] { return serverRecord(); };
    PoolOptions_.OwnRecord_ = [] { return HostRecord{}; };
  }
  ~PeerFixture() { Threads_.stop(); }

  HostRecord serverRecord() const {
    HostRecord Record;
    Record.Id_ = {Loopback, Server_ ? Server_->port() : std::uint16_t(0)};
    return Record;
  }

  void startServer() {
    Server_.emplace(Threads_.Io_, Served_, ServerOptions_);
    REQUIRE(Server_->listen({Loopback, 0}));
  }

  void startPool() {
    Pool_.emplace(Threads_.Io_, Local_, PoolOptions_, 1, PoolLimits_);
  }

  /// Starts the server and the pool if necessary and connects.
  PeerConnectionPtr connect() {
    if (!Server_)
      startServer();
    if (!Pool_)
      startPool();
    auto Value = get({Loopback, Server_->port()});
    REQUIRE(Value);
    return Value.value();
  }

  Result<PeerConnectionPtr> get(const HostId &Peer) {
    auto Got = std::make_shared<Waiter<Result<PeerConnectionPtr>>>();
    Pool_->get(Peer, [Got](Result<PeerConnectionPtr> Value) {
      Got->set(std::move(Value));
    });
    auto Value = Got->take();
    REQUIRE(Value);
    return *Value;
  }

  /// Raw connection to the server that has sent its Hello.
  RawPeer rawClient(std::uint64_t Mesh = 77,
                    std::uint16_t Protocol = PeerProtocolVersion) {
    if (!Server_)
      startServer();
    RawPeer Peer{RawConnection(Server_->port())};
    Peer.send(Hello{Protocol, Mesh, {}});
    return Peer;
  }

  /// Accepts the connection of the pool and completes the handshake.
  RawPeer acceptRaw(RawListener &Listener) {
    RawPeer Peer{Listener.accept()};
    HostRecord Record;
    Record.Id_ = {Loopback, Listener.port()};
    Peer.expect<Hello>();
    Peer.send(Hello{PeerProtocolVersion, 77, Record});
    return Peer;
  }

  static std::shared_ptr<const std::string> body(std::size_t Size, char Fill) {
    return std::make_shared<const std::string>(Size, Fill);
  }

  static StreamCallback into(Waiter<StreamResult> &Got) {
    return [&Got](StreamResult Value) { Got.set(std::move(Value)); };
  }

  // Destroyed last: the pacers in the options have timers.
  IoThreads Threads_;
  MetricsRegistry Metrics_;
  PeerOptions ServerOptions_;
  PeerOptions PoolOptions_;
  PeerPoolLimits PoolLimits_;
  TestHandler Served_;
  TestHandler Local_;
  std::optional<PeerServer> Server_;
  std::optional<PeerConnectionPool> Pool_;
};

} // namespace marigold::transport
