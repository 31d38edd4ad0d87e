#pragma once

#include "Schema/SettingTypes.h"
#include "Support/Clock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace marigold {

/// 127.0.0.1, on which all tests listen.
inline constexpr std::uint32_t Loopback = 0x7f000001;

/// Longest wait for something that a test expects. No test passes or fails by
/// elapsed time; this only ends a test that would hang.
inline constexpr auto TestGuard = std::chrono::seconds(30);

/// Runs an io_context on two threads, as a node does.
class IoThreads {
public:
  IoThreads();
  ~IoThreads();
  IoThreads(const IoThreads &) = delete;
  IoThreads &operator=(const IoThreads &) = delete;

  /// Ends the threads; call it before anything that the handlers use is
  /// destroyed.
  void stop();

  boost::asio::io_context Io_;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;
  std::vector<std::thread> Threads_;
};

/// Waits until the condition holds; false after TestGuard.
bool eventually(const std::function<bool()> &Condition);

/// A value that another thread sets.
template <class T> class Waiter {
public:
  void set(T Value) {
    std::lock_guard Lock(Mutex_);
    Value_ = std::move(Value);
    Ready_.notify_all();
  }

  /// The value, or nothing after TestGuard.
  std::optional<T> take() {
    std::unique_lock Lock(Mutex_);
    Ready_.wait_for(Lock, TestGuard, [this] { return Value_.has_value(); });
    return std::exchange(Value_, std::nullopt);
  }

private:
  std::mutex Mutex_;
  std::condition_variable Ready_;
  std::optional<T> Value_;
};

/// A blocking TCP connection that sends and receives exact bytes.
class RawConnection {
public:
  explicit RawConnection(std::uint16_t Port);
  /// Takes over a connected descriptor.
  explicit RawConnection(int Descriptor, bool);
  ~RawConnection();
  RawConnection(RawConnection &&Other) noexcept;
  RawConnection &operator=(RawConnection &&) = delete;
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Sends all bytes; false if the connection was lost.
  bool send(std::string_view Data);

  /// Exactly Size bytes; fewer when the connection ended.
  std::string receive(std::size_t Size);

  /// One HTTP message with Content-Length, or what arrived before the end.
  std::string receiveHttp();

  /// Everything until the peer closes.
  std::string receiveAll();

  /// Whether the peer has closed or reset the connection, as the last receive
  /// found it; false when that only met TestGuard.
  bool ended() const { return Ended_; }

  /// Whether the peer ends the connection without sending anything.
  bool endsSilently() { return receiveAll().empty() && Ended_; }

  /// Closes the sending side.
  void finishSending();

  /// Closes the connection; with Reset the peer sees a reset.
  void close(bool Reset = false);

private:
  int Descriptor_ = -1;
  bool Ended_ = false;
};

/// A listening socket whose connections a test serves itself.
class RawListener {
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  std::uint16_t port() const { return Port_; }

  /// The next connection; fails the process after TestGuard.
  RawConnection accept();

  /// Stops listening.
  void close();

private:
  int Descriptor_ = -1;
  std::uint16_t Port_ = 0;
};

/// Status of an HTTP response, 0 if there is none.
unsigned statusOf(const std::string &Message);

/// Value of a header field, empty if there is none.
std::string fieldOf(const std::string &Message, const std::string &LowerName);

/// Body of an HTTP message.
std::string bodyOf(const std::string &Message);

} // namespace marigold
