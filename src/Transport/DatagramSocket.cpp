#include "Transport/DatagramSocket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>

namespace marigold::transport {

namespace asio = boost::asio;
using asio::ip::udp;

class DatagramSocket::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, DatagramCallback OnDatagram)
      : Socket_(asio::make_strand(Io)), OnDatagram_(std::move(OnDatagram)) {}

  Result<void> open(const Address &Local) {
    boost::system::error_code Error;
    udp::endpoint Endpoint(asio::ip::address_v4(Local.Ipv4_), Local.Port_);
    Socket_.open(udp::v4(), Error);
    if (!Error)
      Socket_.non_blocking(true, Error);
    if (!Error)
      Socket_.bind(Endpoint, Error);
    if (Error)
      return fail(ErrorCode::ConnectionFailed, Error.message());
    Port_ = Socket_.local_endpoint(Error).port();
    Open_ = true;
    receive();
    return success();
  }

  void receive() {
    // The buffer is one byte larger than the limit, so that an oversized
    // datagram is detected instead of truncated.
    Socket_.async_receive_from(
        asio::buffer(Buffer_), From_,
        [Self = shared_from_this()](boost::system::error_code Error,
                                    std::size_t Size) {
          Self->onReceived(Error, Size);
        });
  }

  void onReceived(boost::system::error_code Error, std::size_t Size) {
    if (!Open_ || Error == asio::error::operation_aborted ||
        Error == asio::error::bad_descriptor)
      return;
    if (Error) {
      // ICMP errors caused by earlier sends are reported here; the socket
      // remains usable.
      receive();
      return;
    }
    Received_.fetch_add(1, std::memory_order_relaxed);
    ReceivedBytes_.fetch_add(Size, std::memory_order_relaxed);
    if (Size > DatagramLimit)
      Dropped_.fetch_add(1, std::memory_order_relaxed);
    else
      OnDatagram_({From_.address().to_v4().to_uint(), From_.port()},
                  std::string_view(Buffer_.data(), Size));
    receive();
  }

  bool send(const Address &To, std::string_view Data) {
    boost::system::error_code Error = asio::error::message_size;
    if (Open_ && Data.size() <= DatagramLimit)
      Socket_.send_to(asio::buffer(Data),
                      udp::endpoint(asio::ip::address_v4(To.Ipv4_), To.Port_),
                      0, Error);
    if (Error) {
      Dropped_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    Sent_.fetch_add(1, std::memory_order_relaxed);
    SentBytes_.fetch_add(Data.size(), std::memory_order_relaxed);
    return true;
  }

  void close() {
    if (!Open_.exchange(false))
      return;
    // Only cancels the pending receive: another thread may still be sending on
    // the descriptor, which is closed with the last reference to this object.
    asio::dispatch(Socket_.get_executor(), [Self = shared_from_this()] {
      boost::system::error_code Ignored;
      Self->Socket_.cancel(Ignored);
    });
  }

  udp::socket Socket_;
  udp::endpoint From_;
  std::array<char, DatagramLimit + 1> Buffer_{};
  DatagramCallback OnDatagram_;
  std::uint16_t Port_ = 0;
  std::atomic<bool> Open_ = false;
  std::atomic<std::uint64_t> Sent_ = 0;
  std::atomic<std::uint64_t> SentBytes_ = 0;
  std::atomic<std::uint64_t> Received_ = 0;
  std::atomic<std::uint64_t> ReceivedBytes_ = 0;
  std::atomic<std::uint64_t> Dropped_ = 0;
};

DatagramSocket::DatagramSocket(asio::io_context &Io,
                               DatagramCallback OnDatagram)
    : Impl_(std::make_shared<Impl>(Io, std::move(OnDatagram))) {}

DatagramSocket::~DatagramSocket() { close(); }

Result<void> DatagramSocket::open(const Address &Local) {
  return Impl_->open(Local);
}

std::uint16_t DatagramSocket::port() const { return Impl_->Port_; }

bool DatagramSocket::send(const Address &To, std::string_view Data) {
  return Impl_->send(To, Data);
}

DatagramCounters DatagramSocket::counters() const {
  return {Impl_->Sent_, Impl_->SentBytes_, Impl_->Received_,
          Impl_->ReceivedBytes_, Impl_->Dropped_};
}

void DatagramSocket::close() { Impl_->close(); }

} // namespace marigold::transport
