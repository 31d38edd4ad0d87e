#pragma once

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace marigold::transport {

/// Largest datagram in bytes; stays below common path limits, so that no
/// datagram is fragmented.
inline constexpr std::size_t DatagramLimit = 1200;

/// Receives the content of a datagram (type byte and body). Runs on the
/// socket's strand, one datagram at a time. Data is valid during the call.
using DatagramCallback =
    std::function<void(const Address &From, std::string_view Data)>;

/// Counters of a socket since it was opened.
struct DatagramCounters {
  /// Datagrams and payload bytes sent.
  std::uint64_t Sent_ = 0;
  std::uint64_t SentBytes_ = 0;
  /// Datagrams and payload bytes received.
  std::uint64_t Received_ = 0;
  std::uint64_t ReceivedBytes_ = 0;
  /// Datagrams that were too large or for which the kernel had no room.
  std::uint64_t Dropped_ = 0;
};

/// A UDP socket for peer messages. Safe to use from any thread.
class DatagramSocket {
public:
  /// The socket runs on Io. Received datagrams go to OnDatagram.
  DatagramSocket(boost::asio::io_context &Io, DatagramCallback OnDatagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// Binds and receives from now on. Port 0 takes a free port. Fails with
  /// ConnectionFailed when the address is in use.
  Result<void> open(const Address &Local);

  /// Port that the socket is bound to.
  std::uint16_t port() const;

  /// Sends a datagram at once or drops it, as the network may do as well.
  /// Returns whether it was handed to the kernel.
  bool send(const Address &To, std::string_view Data);

  /// Counters since open.
  DatagramCounters counters() const;

  /// Receives no more.
  void close();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
