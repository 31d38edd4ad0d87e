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

/// 127.0.0.1, the address on which all tests listen.
inline constexpr std::uint32_t Loopback = 0x7f000001;

/// Timeout for anything that a test waits for. It only ends a test that would
/// otherwise hang; no test depends on elapsed time.
inline constexpr auto TestTimeout = std::chrono::seconds(30);

/// Runs an io_context on two threads, like a node.
class IoThreads {
public:
  IoThreads();
  ~IoThreads();
  IoThreads(const IoThreads &) = delete;
  IoThreads &operator=(const IoThreads &) = delete;

  /// Stops the io_context and joins the threads. Must be called before any
  /// object used by a handler is destroyed.
  void stop();

  boost::asio::io_context Io_;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;
  std::vector<std::thread> Threads_;
};

/// Polls until the condition is true. Returns false after TestTimeout.
bool eventually(const std::function<bool()> &Condition);

/// Waits for a value that another thread sets.
template <class T> class Waiter {
public:
  void set(T Value) {
    std::lock_guard Lock(Mutex_);
    Value_ = std::move(Value);
    Ready_.notify_all();
  }

  /// Waits for the value and removes it. Returns nothing after TestTimeout.
  std::optional<T> take() {
    std::unique_lock Lock(Mutex_);
    Ready_.wait_for(Lock, TestTimeout, [this] { return Value_.has_value(); });
    return std::exchange(Value_, std::nullopt);
  }

private:
  std::mutex Mutex_;
  std::condition_variable Ready_;
  std::optional<T> Value_;
};

/// A blocking TCP connection for sending and receiving raw bytes.
class RawConnection {
public:
  explicit RawConnection(std::uint16_t Port);
  /// Takes ownership of the descriptor of a connected socket.
  explicit RawConnection(int Descriptor, bool);
  ~RawConnection();
  RawConnection(RawConnection &&Other) noexcept;
  RawConnection &operator=(RawConnection &&) = delete;
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Sends all bytes. Returns false if the connection was lost.
  bool send(std::string_view Data);

  /// Receives Size bytes, or fewer if the connection ends or after TestTimeout.
  std::string receive(std::size_t Size);

  /// Receives one HTTP message with Content-Length, or what arrives before the
  /// connection ends.
  std::string receiveHttp();

  /// Receives all bytes until the peer closes the connection.
  std::string receiveAll();

  /// True if the peer had closed or reset the connection at the last receive;
  /// false if that receive ended only because of TestTimeout.
  bool ended() const { return Ended_; }

  /// True if the peer ends the connection without sending anything.
  bool endsSilently() { return receiveAll().empty() && Ended_; }

  /// Shuts down the sending side.
  void finishSending();

  /// Closes the connection; if Reset is set, with a TCP reset.
  void close(bool Reset = false);

private:
  int Descriptor_ = -1;
  bool Ended_ = false;
};

/// A listening socket for tests that serve its connections themselves.
class RawListener {
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  std::uint16_t port() const { return Port_; }

  /// Accepts the next connection. Throws std::runtime_error after TestTimeout.
  RawConnection accept();

  /// Stops listening.
  void close();

private:
  int Descriptor_ = -1;
  std::uint16_t Port_ = 0;
};

/// Status code of an HTTP response; 0 if there is none.
unsigned statusOf(const std::string &Message);

/// Value of a header field; empty if there is none.
std::string fieldOf(const std::string &Message, const std::string &LowerName);

/// Body of an HTTP message.
std::string bodyOf(const std::string &Message);

} // namespace marigold
