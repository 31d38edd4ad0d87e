#include "Transport/HttpClientPool.h"

#include "Transport/HttpClientConnection.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>

namespace marigold::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

/// All state is accessed on Strand_.
class HttpClientPool::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, const Address &Target, HttpClientLimits Limits)
      : Strand_(asio::make_strand(Io)), Limits_(Limits),
        Target_(asio::ip::address_v4(Target.Ipv4_), Target.Port_) {}

  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  /// State of one request from send to its callback.
  struct Job {
    std::uint64_t Number_ = 0;
    HttpClientRequest Request_;
    HttpClientCallback Done_;
    ConnectionPtr Connection_;
    std::shared_ptr<asio::steady_timer> QueueTimer_;
    bool Resent_ = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  std::uint64_t send(HttpClientRequest Request, HttpClientCallback Done) {
    auto Task = std::make_shared<Job>();
    Task->Number_ = ++LastNumber_;
    Task->Request_ = std::move(Request);
    Task->Done_ = std::move(Done);
    asio::post(Strand_, [Self = shared_from_this(), Task] {
      Self->Jobs_.emplace(Task->Number_, Task);
      Self->Waiting_.push_back(Task);
      Self->assign();
      Self->keepWaiting(Task);
    });
    return Task->Number_;
  }

  /// Ends a request that was given no connection if it may not be written any
  /// more, because recheckWaiting may have run before the request was in the
  /// queue. Otherwise starts its timer.
  void keepWaiting(const JobPtr &Task) {
    if (std::ranges::find(Waiting_, Task) == Waiting_.end())
      return;
    if (endIfRefused(Task))
      return;
    armQueueTimer(Task);
  }

  /// Ends a waiting request that may not be written any more; returns whether
  /// it has ended.
  bool endIfRefused(const JobPtr &Task) {
    auto Allowed = mayWrite(*Task);
    if (Allowed)
      return false;
    std::erase(Waiting_, Task);
    failUnsent(Task, Allowed.error());
    return true;
  }

  void armQueueTimer(const JobPtr &Task) {
    Task->QueueTimer_ = std::make_shared<asio::steady_timer>(Strand_);
    Task->QueueTimer_->expires_at(Task->Request_.Deadline_);
    Task->QueueTimer_->async_wait([Self = shared_from_this(),
                                   Task](boost::system::error_code Error) {
      if (!Error && std::erase(Self->Waiting_, Task) != 0)
        Self->failUnsent(Task,
                         fail(ErrorCode::TimedOut,
                              "no connection became free before the deadline"));
    });
  }

  void cancel(std::uint64_t Number) {
    asio::post(Strand_, [Self = shared_from_this(), Number] {
      auto Position = Self->Jobs_.find(Number);
      if (Position == Self->Jobs_.end())
        return;
      JobPtr Task = Position->second;
      if (std::erase(Self->Waiting_, Task) != 0)
        Self->failUnsent(Task, fail(ErrorCode::Cancelled));
      else if (Task->Connection_)
        Task->Connection_->close(ErrorCode::Cancelled);
    });
  }

  /// Ends a request that is not being sent. A request that waits to be sent
  /// again was written to a connection that was then lost.
  void failUnsent(const JobPtr &Task, Failure Cause) {
    auto Ended = std::make_unique<HttpClientFailure>();
    Ended->Cause_ = std::move(Cause);
    Ended->Written_ = Task->Resent_;
    finish(Task, {nullptr, std::move(Ended)});
  }

  void finish(const JobPtr &Task, HttpClientResult Value) {
    if (Jobs_.erase(Task->Number_) == 0)
      return;
    if (Task->QueueTimer_)
      Task->QueueTimer_->cancel();
    Task->Connection_.reset();
    std::exchange(Task->Done_, nullptr)(std::move(Value));
  }

  void assign() {
    while (!Waiting_.empty()) {
      JobPtr Task = Waiting_.front();
      ConnectionPtr Connection;
      if (!Task->Resent_ && !lacksEcho(Task->Request_))
        Connection =
            takeIdle(Task->Request_.Repeatable_ ? Limits_.Idle_
                                                : Limits_.UnrepeatableIdle_);
      if (!Connection && Open_ >= Limits_.Connections_ && !Idle_.empty())
        dropIdle(Idle_.front());
      if (!Connection && Open_ >= Limits_.Connections_)
        return;
      Waiting_.pop_front();
      if (Connection)
        start(Task, Connection);
      else
        open(Task);
    }
  }

  /// Whether nothing would tell the response to this request from a second copy
  /// of an earlier one.
  static bool lacksEcho(const HttpClientRequest &Request) {
    return !Request.EchoField_.empty() && Request.EchoValue_.empty();
  }

  /// Returns the most recently used idle connection, so that surplus
  /// connections reach the idle limit and are closed. Returns null if it has
  /// been idle for longer than MaxIdle.
  ConnectionPtr takeIdle(Duration MaxIdle) {
    while (!Idle_.empty()) {
      ConnectionPtr Connection = Idle_.back();
      Duration Age = std::chrono::steady_clock::now() - Connection->idleSince();
      if (Age > MaxIdle && MaxIdle < Limits_.Idle_)
        return nullptr;
      if (Age <= std::min(Limits_.Idle_, Connection->idleLimit()) &&
          Connection->isUsable()) {
        Idle_.pop_back();
        Connection->OnIdleClosed_ = nullptr;
        return Connection;
      }
      dropIdle(Connection);
    }
    return nullptr;
  }

  void dropIdle(ConnectionPtr Connection) {
    if (std::erase(Idle_, Connection) == 0)
      return;
    --Open_;
    Connection->OnIdleClosed_ = nullptr;
    Connection->close(ErrorCode::ConnectionFailed);
  }

  void open(const JobPtr &Task) {
    ++Open_;
    if (Limits_.OnOpen_)
      Limits_.OnOpen_();
    auto Connection =
        std::make_shared<HttpClientConnection>(tcp::socket(Strand_), Limits_);
    Task->Connection_ = Connection;
    Connection->OnLargeResponse_ = [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->limitResponseMemory();
    };
    Connection->connect(
        Target_, Task->Request_.Deadline_,
        [Self = shared_from_this(), Task, Connection](Result<void> Opened) {
          if (Opened) {
            if (!Self->start(Task, Connection))
              asio::post(Self->Strand_, [Self] { Self->assign(); });
            return;
          }
          --Self->Open_;
          Self->failUnsent(Task, Opened.error());
          Self->assign();
        });
  }

  /// Writes a request unless it may not be written any more. Returns false in
  /// that case; the connection is then idle.
  bool start(const JobPtr &Task, const ConnectionPtr &Connection) {
    if (auto Allowed = mayWrite(*Task); !Allowed) {
      if (Stopped_)
        --Open_;
      else
        returnToIdle(Connection);
      failUnsent(Task, Allowed.error());
      return false;
    }
    bool Reused = Connection->used();
    TimePoint Sent = std::chrono::steady_clock::now();
    Task->Connection_ = Connection;
    Connection->send(Task->Request_,
                     [Self = shared_from_this(), Task, Connection, Reused,
                      Sent](HttpClientResult Value, bool Reusable) {
                       Task->Connection_.reset();
                       if (Reusable && !Self->Stopped_)
                         Self->returnToIdle(Connection);
                       else
                         --Self->Open_;
                       // The target may have closed a reused connection just as
                       // the request was sent. If the connection is lost later,
                       // the target may have run the request.
                       bool Stale = Value.Failure_ && Value.Failure_->Lost_ &&
                                    Reused && !Self->Stopped_ &&
                                    std::chrono::steady_clock::now() - Sent <
                                        Self->Limits_.StaleWindow_;
                       if (Stale && Task->Request_.Repeatable_) {
                         Task->Resent_ = true;
                         Self->Waiting_.push_front(Task);
                       } else {
                         Self->finish(Task, std::move(Value));
                       }
                       Self->assign();
                       if (Stale)
                         Self->keepWaiting(Task);
                     });
    return true;
  }

  static Result<void> mayWrite(const Job &Task) {
    return Task.Request_.MayWrite_ ? Task.Request_.MayWrite_() : success();
  }

  void recheckWaiting() {
    asio::post(Strand_, [Self = shared_from_this()] {
      auto Waiting = Self->Waiting_;
      for (const JobPtr &Task : Waiting)
        Self->endIfRefused(Task);
    });
  }

  void limitResponseMemory() {
    std::uint64_t Total = 0;
    ConnectionPtr Largest;
    for (const auto &[Number, Task] : Jobs_) {
      if (!Task->Connection_)
        continue;
      std::size_t Size = Task->Connection_->bodyMemory();
      Total += Size;
      if (!Largest || Size > Largest->bodyMemory())
        Largest = Task->Connection_;
    }
    if (Total > Limits_.ResponseMemory_)
      Largest->close(ErrorCode::AnswerTooLarge,
                     "responses in progress exceed the memory for them");
  }

  void returnToIdle(const ConnectionPtr &Connection) {
    TimePoint Now = std::chrono::steady_clock::now();
    while (!Idle_.empty() && Now - Idle_.front()->idleSince() > Limits_.Idle_)
      dropIdle(Idle_.front());
    Idle_.push_back(Connection);
    // A strong reference would create a cycle, since the pool owns the
    // connection.
    Connection->OnIdleClosed_ =
        [Weak = weak_from_this(),
         Closed = std::weak_ptr<HttpClientConnection>(Connection)] {
          auto Self = Weak.lock();
          auto Ended = Closed.lock();
          if (Self && Ended && std::erase(Self->Idle_, Ended) != 0)
            --Self->Open_;
        };
  }

  void probe(Duration Timeout, std::function<void(bool)> Done) {
    HttpClientLimits Limits = Limits_;
    Limits.Connect_ = Timeout;
    asio::post(Strand_, [Self = shared_from_this(), Limits, Timeout,
                         Done = std::move(Done)] {
      auto Connection = std::make_shared<HttpClientConnection>(
          tcp::socket(Self->Strand_), Limits);
      Connection->connect(Self->Target_,
                          std::chrono::steady_clock::now() + Timeout,
                          [Connection, Done](Result<void> Opened) {
                            Connection->close(ErrorCode::ConnectionFailed);
                            Done(Opened.has_value());
                          });
    });
  }

  void setConnections(std::size_t Count) {
    asio::post(Strand_, [Self = shared_from_this(), Count] {
      Self->Limits_.Connections_ = Count;
      Self->assign();
    });
  }

  void closeIdle() {
    asio::post(Strand_, [Self = shared_from_this()] {
      while (!Self->Idle_.empty())
        Self->dropIdle(Self->Idle_.front());
    });
  }

  void stop() {
    asio::dispatch(Strand_, [Self = shared_from_this()] {
      Self->Stopped_ = true;
      while (!Self->Idle_.empty())
        Self->dropIdle(Self->Idle_.front());
      Self->Waiting_.clear();
      auto Jobs = Self->Jobs_;
      for (auto &[Number, Task] : Jobs) {
        if (Task->Connection_)
          Task->Connection_->close(ErrorCode::Cancelled);
        else
          Self->failUnsent(Task, fail(ErrorCode::Cancelled, "stopped"));
      }
    });
  }

  asio::strand<asio::io_context::executor_type> Strand_;
  HttpClientLimits Limits_;
  const tcp::endpoint Target_;
  std::atomic<std::uint64_t> LastNumber_ = 0;
  std::map<std::uint64_t, JobPtr> Jobs_;
  std::deque<JobPtr> Waiting_;
  std::deque<ConnectionPtr> Idle_;
  std::size_t Open_ = 0;
  bool Stopped_ = false;
};

HttpClientPool::HttpClientPool(asio::io_context &Io, const Address &Target,
                               HttpClientLimits Limits)
    : Impl_(std::make_shared<Impl>(Io, Target, Limits)) {}

HttpClientPool::~HttpClientPool() { stop(); }

std::uint64_t HttpClientPool::send(HttpClientRequest Request,
                                   HttpClientCallback Done) {
  return Impl_->send(std::move(Request), std::move(Done));
}

void HttpClientPool::cancel(std::uint64_t Number) { Impl_->cancel(Number); }

void HttpClientPool::recheckWaiting() { Impl_->recheckWaiting(); }

void HttpClientPool::probe(Duration Timeout,
                           std::function<void(bool Accepted)> Done) {
  Impl_->probe(Timeout, std::move(Done));
}

void HttpClientPool::setConnections(std::size_t Count) {
  Impl_->setConnections(Count);
}

void HttpClientPool::closeIdle() { Impl_->closeIdle(); }

void HttpClientPool::stop() { Impl_->stop(); }

} // namespace marigold::transport
