#include "Transport/PeerConnectionPool.h"

#include "Transport/PeerLink.h"

#include "Support/Addresses.h"
#include "Support/Backoff.h"
#include "Support/Digest.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <optional>
#include <unordered_map>

namespace marigold::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

class PeerConnectionPool::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, PeerHandler &Handler, PeerOptions Options,
       std::uint64_t Seed, PeerPoolLimits Limits)
      : Io_(Io), Handler_(Handler), Options_(std::move(Options)),
        Limits_(Limits), Random_(Seed) {}

  void get(const HostId &Peer, PeerCallback Done);
  PeerConnectionPtr find(const HostId &Peer) const;
  void drop(const HostId &Peer);
  void stop();

private:
  struct Entry {
    std::shared_ptr<PeerLink> Link_;
    std::vector<PeerCallback> Waiting_;
    bool Opening_ = false;
    // Number of the current connection attempt; the result of an older attempt
    // is ignored.
    std::uint64_t Attempt_ = 0;
    std::optional<Backoff> Backoff_;
    TimePoint NotBefore_{};
    Failure LastFailure_;
  };

  /// A connection attempt and its timeout.
  struct Attempt {
    Attempt(asio::io_context &Io)
        : Socket_(asio::make_strand(Io)), Timer_(Socket_.get_executor()) {}
    tcp::socket Socket_;
    asio::steady_timer Timer_;
    bool TimedOut_ = false;
  };

  void open(const HostId &Peer, std::uint64_t Number);
  void finish(const HostId &Peer, std::uint64_t Number,
              const std::shared_ptr<PeerLink> &Link,
              const Result<PeerConnectionPtr> &Value);
  std::shared_ptr<PeerLink> evictLeastRecentlyUsed();

  asio::io_context &Io_;
  PeerHandler &Handler_;
  const PeerOptions Options_;
  const PeerPoolLimits Limits_;
  mutable std::mutex Mutex_;
  Random Random_;
  std::unordered_map<HostId, Entry, HostIdHash> Entries_;
  std::uint64_t Attempts_ = 0;
  bool Stopped_ = false;
};

void PeerConnectionPool::Impl::get(const HostId &Peer, PeerCallback Done) {
  std::optional<Result<PeerConnectionPtr>> Known;
  std::shared_ptr<PeerLink> Evicted;
  std::uint64_t Number = 0;
  {
    std::lock_guard Lock(Mutex_);
    auto Position = Entries_.find(Peer);
    if (Stopped_) {
      Known = fail(ErrorCode::ConnectionFailed, "stopped");
    } else if (Position != Entries_.end() && Position->second.Link_ &&
               Position->second.Link_->isOpen()) {
      Known = PeerConnectionPtr(Position->second.Link_);
    } else {
      if (Position == Entries_.end()) {
        if (Entries_.size() >= Limits_.Peers_)
          Evicted = evictLeastRecentlyUsed();
        if (Entries_.size() >= Limits_.Peers_)
          Known =
              fail(ErrorCode::ConnectionFailed, "peer connection pool is full");
        else
          Position = Entries_.try_emplace(Peer).first;
      }
      if (!Known) {
        Entry &Slot = Position->second;
        if (!Slot.Opening_ &&
            std::chrono::steady_clock::now() < Slot.NotBefore_) {
          Known = Slot.LastFailure_;
        } else {
          Slot.Waiting_.push_back(Done);
          if (!Slot.Opening_) {
            Slot.Opening_ = true;
            Number = Slot.Attempt_ = ++Attempts_;
          }
        }
      }
    }
  }
  if (Evicted)
    Evicted->close(fail(ErrorCode::ConnectionFailed,
                        "evicted from the peer connection pool"));
  if (Known)
    Done(std::move(*Known));
  else if (Number != 0)
    open(Peer, Number);
}

std::shared_ptr<PeerLink> PeerConnectionPool::Impl::evictLeastRecentlyUsed() {
  auto Oldest = Entries_.end();
  for (auto Position = Entries_.begin(); Position != Entries_.end();
       ++Position) {
    const Entry &Slot = Position->second;
    if (Slot.Opening_ || (Slot.Link_ && Slot.Link_->streams() != 0))
      continue;
    if (!Slot.Link_ || !Slot.Link_->isOpen()) {
      Oldest = Position;
      break;
    }
    if (Oldest == Entries_.end() ||
        Slot.Link_->lastUse() < Oldest->second.Link_->lastUse())
      Oldest = Position;
  }
  if (Oldest == Entries_.end())
    return nullptr;
  auto Link = std::move(Oldest->second.Link_);
  Entries_.erase(Oldest);
  return Link;
}

void PeerConnectionPool::Impl::open(const HostId &Peer, std::uint64_t Number) {
  auto Try = std::make_shared<Attempt>(Io_);
  auto Self = shared_from_this();
  asio::post(Try->Socket_.get_executor(), [Self, Try, Peer, Number] {
    Try->Timer_.expires_after(Self->Limits_.Connect_);
    Try->Timer_.async_wait([Try](boost::system::error_code Error) {
      if (Error)
        return;
      Try->TimedOut_ = true;
      boost::system::error_code Ignored;
      Try->Socket_.close(Ignored);
    });
    tcp::endpoint Endpoint(asio::ip::address_v4(Peer.Ipv4_), Peer.Port_);
    Try->Socket_.async_connect(Endpoint, [Self, Try, Peer, Number, Endpoint](
                                             boost::system::error_code Error) {
      Try->Timer_.cancel();
      // TCP simultaneous open can connect a socket to itself if the port has no
      // listener.
      boost::system::error_code Ignored;
      if (!Error && !Try->TimedOut_ &&
          Try->Socket_.local_endpoint(Ignored) == Endpoint)
        Error = asio::error::connection_refused;
      if (Error || Try->TimedOut_) {
        Self->finish(Peer, Number, nullptr,
                     fail(Try->TimedOut_ ? ErrorCode::TimedOut
                                         : ErrorCode::ConnectionFailed,
                          toText(Peer) + ": " + Error.message()));
        return;
      }
      // Weak reference, because the link owns the callback.
      auto Holder = std::make_shared<std::weak_ptr<PeerLink>>();
      auto Link = std::make_shared<PeerLink>(
          std::move(Try->Socket_), Self->Handler_, Self->Options_, true, Peer,
          [Self, Peer, Number, Holder](const Result<PeerConnectionPtr> &Value) {
            Self->finish(Peer, Number, Holder->lock(), Value);
          });
      *Holder = Link;
      Link->start();
    });
  });
}

void PeerConnectionPool::Impl::finish(const HostId &Peer, std::uint64_t Number,
                                      const std::shared_ptr<PeerLink> &Link,
                                      const Result<PeerConnectionPtr> &Value) {
  std::vector<PeerCallback> Waiting;
  bool Superseded = false;
  {
    std::lock_guard Lock(Mutex_);
    auto Position = Entries_.find(Peer);
    Superseded =
        Position == Entries_.end() || Position->second.Attempt_ != Number;
    if (!Superseded) {
      Entry &Slot = Position->second;
      Slot.Opening_ = false;
      Waiting.swap(Slot.Waiting_);
      if (Value) {
        Slot.Link_ = Link;
        Slot.Backoff_.reset();
        Slot.NotBefore_ = TimePoint();
      } else {
        if (!Slot.Backoff_)
          Slot.Backoff_.emplace(Limits_.BackoffFirst_, Limits_.BackoffMaximum_);
        Slot.NotBefore_ =
            std::chrono::steady_clock::now() + Slot.Backoff_->next(Random_);
        Slot.LastFailure_ = Value.error();
      }
    }
  }
  if (Superseded && Link)
    Link->close(fail(ErrorCode::ConnectionFailed, "dropped"));
  for (PeerCallback &Done : Waiting)
    Done(Value);
}

PeerConnectionPtr PeerConnectionPool::Impl::find(const HostId &Peer) const {
  std::lock_guard Lock(Mutex_);
  auto Position = Entries_.find(Peer);
  if (Position == Entries_.end() || !Position->second.Link_ ||
      !Position->second.Link_->isOpen())
    return nullptr;
  return Position->second.Link_;
}

void PeerConnectionPool::Impl::drop(const HostId &Peer) {
  Entry Dropped;
  {
    std::lock_guard Lock(Mutex_);
    auto Position = Entries_.find(Peer);
    if (Position == Entries_.end())
      return;
    Dropped = std::move(Position->second);
    Entries_.erase(Position);
  }
  // The host may only be slow to answer probes. Its calls in progress go on;
  // TCP keep-alives end them if the host is really gone.
  if (Dropped.Link_)
    Dropped.Link_->retire();
  Failure Cause = fail(ErrorCode::ConnectionFailed, "dropped");
  for (PeerCallback &Done : Dropped.Waiting_)
    Done(Cause);
}

void PeerConnectionPool::Impl::stop() {
  std::unordered_map<HostId, Entry, HostIdHash> Dropped;
  {
    std::lock_guard Lock(Mutex_);
    Stopped_ = true;
    Dropped.swap(Entries_);
  }
  Failure Cause = fail(ErrorCode::ConnectionFailed, "stopped");
  for (auto &[Peer, Slot] : Dropped) {
    if (Slot.Link_)
      Slot.Link_->close(Cause);
    for (PeerCallback &Done : Slot.Waiting_)
      Done(Cause);
  }
}

PeerConnectionPool::PeerConnectionPool(asio::io_context &Io,
                                       PeerHandler &Handler,
                                       PeerOptions Options, std::uint64_t Seed,
                                       PeerPoolLimits Limits)
    : Impl_(std::make_shared<Impl>(Io, Handler, std::move(Options), Seed,
                                   Limits)) {}

PeerConnectionPool::~PeerConnectionPool() { stop(); }

void PeerConnectionPool::get(const HostId &Peer, PeerCallback Done) {
  Impl_->get(Peer, std::move(Done));
}

PeerConnectionPtr PeerConnectionPool::find(const HostId &Peer) const {
  return Impl_->find(Peer);
}

void PeerConnectionPool::drop(const HostId &Peer) { Impl_->drop(Peer); }

void PeerConnectionPool::stop() { Impl_->stop(); }

} // namespace marigold::transport
