#pragma once

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace marigold::transport {

/// Maximum datagram payload in bytes. Below the usual path MTU, so that
/// datagrams are not fragmented.
inline constexpr std::size_t DatagramLimit = 1200;

/// Called for each received datagram with its payload (message type byte and
/// body). Runs on the strand of the socket, one datagram at a time. Data is
/// valid only during the call.
using DatagramCallback =
    std::function<void(const Address &From, std::string_view Data)>;

/// Traffic counters since the socket was opened.
struct DatagramCounters {
  /// Datagrams and payload bytes sent.
  std::uint64_t Sent_ = 0;
  std::uint64_t SentBytes_ = 0;
  /// Datagrams and payload bytes received.
  std::uint64_t Received_ = 0;
  std::uint64_t ReceivedBytes_ = 0;
  /// Datagrams above DatagramLimit, in either direction, and datagrams that the
  /// kernel did not accept for sending.
  std::uint64_t Dropped_ = 0;
};

/// UDP socket for messages between nodes. Thread-safe.
class DatagramSocket {
public:
  /// The socket runs on Io and calls OnDatagram for each received datagram.
  DatagramSocket(boost::asio::io_context &Io, DatagramCallback OnDatagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// Binds the socket and starts receiving. Port 0 selects a free port. Fails
  /// with ConnectionFailed if the address cannot be bound.
  Result<void> open(const Address &Local);

  /// Local port of the socket.
  std::uint16_t port() const;

  /// Sends a datagram without blocking. Returns false if it was dropped because
  /// it exceeds DatagramLimit, the socket is closed or the kernel did not
  /// accept it. True does not imply delivery.
  bool send(const Address &To, std::string_view Data);

  DatagramCounters counters() const;

  /// Stops sending and receiving.
  void close();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace marigold::transport
