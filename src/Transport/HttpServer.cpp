#include "Transport/HttpServer.h"

#include "Transport/HttpServerConnection.h"
#include "Transport/Listener.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <vector>

namespace marigold::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// One periodic timer checks the timeouts of all connections. A timer for each
// read and write would cost two system calls per request.
constexpr Duration SweepMaximum = std::chrono::milliseconds(250);
constexpr Duration SweepMinimum = std::chrono::milliseconds(5);
// Connections above the limit while others are being closed for them.
constexpr std::size_t ClosingMargin = 8;

Duration sweepInterval(const HttpServerOptions &Options) {
  Duration Shortest = std::min({Options.HeaderTimeout_, Options.BodyTimeout_,
                                Options.WriteTimeout_, Options.IdleTimeout_});
  return std::clamp(Shortest / 4, SweepMinimum, SweepMaximum);
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, HttpServerOptions Options)
      : Listener_(Io), Sweep_(Io), DrainTimer_(Io),
        Options_(
            std::make_shared<const HttpServerOptions>(std::move(Options))) {}

  Result<void> listen(const Address &Local) {
    BOOST_OUTCOME_TRY(
        Listener_.listen(Local, [Weak = weak_from_this()](tcp::socket Socket) {
          if (auto Self = Weak.lock())
            Self->accept(std::move(Socket));
        }));
    std::lock_guard Lock(Mutex_);
    armSweep();
    return success();
  }

  void accept(tcp::socket Socket) {
    if (*Open_ >= Options_->Connections_ && !closeUnused()) {
      countShed("connections");
      return;
    }
    auto Connection = std::make_shared<HttpServerConnection>(
        std::move(Socket), Options_, Open_, Busy_);
    if (!Connection->openMemory()) {
      closeUnused();
      countShed("memory");
      return;
    }
    {
      std::lock_guard Lock(Mutex_);
      if (Stopped_)
        return;
      Connections_.push_back(Connection);
    }
    if (Draining_)
      Connection->beginDrain();
    Connection->start();
  }

  /// Closes one connection without a request; returns whether there was one.
  bool closeUnused() {
    // Connections that are being closed still count for a moment.
    if (*Open_ >= Options_->Connections_ + ClosingMargin)
      return false;
    auto Open = connections();
    std::vector<UnusedConnection> States;
    States.reserve(Open.size());
    for (const auto &Connection : Open)
      States.push_back(Connection->unused());
    auto Chosen = chooseConnectionToClose(States);
    if (Chosen)
      Open[*Chosen]->closeUnused();
    return Chosen.has_value();
  }

  void countShed(std::string_view Reason) {
    if (Options_->OnShed_)
      Options_->OnShed_(Reason);
  }

  void beginDrain() {
    Draining_ = true;
    for (const auto &Connection : connections())
      Connection->beginDrain();
  }

  /// Requires Mutex_: timers are not thread-safe.
  void armSweep() {
    if (Stopped_)
      return;
    Sweep_.expires_after(sweepInterval(*Options_));
    Sweep_.async_wait(
        [Weak = weak_from_this()](boost::system::error_code Error) {
          auto Self = Weak.lock();
          if (Error || !Self)
            return;
          TimePoint Now = std::chrono::steady_clock::now();
          for (const auto &Connection : Self->connections())
            Connection->checkTimeout(Now);
          if (Self->Options_->OnHeld_ && Self->Options_->Memory_)
            Self->Options_->OnHeld_(Self->Options_->Memory_->held());
          std::lock_guard Lock(Self->Mutex_);
          Self->armSweep();
        });
  }

  std::vector<std::shared_ptr<HttpServerConnection>> connections() {
    std::vector<std::shared_ptr<HttpServerConnection>> Found;
    std::lock_guard Lock(Mutex_);
    std::erase_if(Connections_, [&](const auto &Weak) {
      auto Connection = Weak.lock();
      if (!Connection)
        return true;
      Found.push_back(std::move(Connection));
      return false;
    });
    return Found;
  }

  void drain() {
    beginDrain();
    Listener_.finish();
    std::lock_guard Lock(Mutex_);
    if (Stopped_)
      return;
    DrainTimer_.expires_after(DrainGracePeriod_);
    DrainTimer_.async_wait(
        [Weak = weak_from_this()](boost::system::error_code Error) {
          auto Self = Weak.lock();
          if (Error || !Self)
            return;
          for (const auto &Connection : Self->connections())
            Connection->drain();
        });
  }

  void stop() {
    Listener_.stop();
    {
      std::lock_guard Lock(Mutex_);
      Stopped_ = true;
      Sweep_.cancel();
      DrainTimer_.cancel();
    }
    for (const auto &Connection : connections())
      Connection->close();
  }

  Listener Listener_;
  std::mutex Mutex_;
  asio::steady_timer Sweep_;
  asio::steady_timer DrainTimer_;
  const std::shared_ptr<const HttpServerOptions> Options_;
  std::shared_ptr<std::atomic<std::size_t>> Open_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::shared_ptr<std::atomic<std::size_t>> Busy_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::vector<std::weak_ptr<HttpServerConnection>> Connections_;
  bool Stopped_ = false;
  std::atomic<bool> Draining_ = false;
};

HttpServer::HttpServer(asio::io_context &Io, HttpServerOptions Options)
    : Impl_(std::make_shared<Impl>(Io, std::move(Options))) {}

HttpServer::~HttpServer() { stop(); }

Result<void> HttpServer::listen(const Address &Local) {
  return Impl_->listen(Local);
}

std::uint16_t HttpServer::port() const { return Impl_->Listener_.port(); }

void HttpServer::beginDrain() { Impl_->beginDrain(); }

void HttpServer::drain() { Impl_->drain(); }

std::size_t HttpServer::busyConnections() const { return *Impl_->Busy_; }

void HttpServer::stop() { Impl_->stop(); }

} // namespace marigold::transport
