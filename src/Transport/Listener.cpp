#include "Transport/Listener.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>

namespace marigold::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Delay after a failed accept, for example when no file descriptor is
// available; without it, the accept loop would use a whole core.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

class Listener::Impl : public std::enable_shared_from_this<Impl> {
public:
  explicit Impl(asio::io_context &Io)
      : Io_(Io), Acceptor_(asio::make_strand(Io)),
        RetryTimer_(Acceptor_.get_executor()) {}

  Result<void> listen(const Address &Local, Accepted OnAccepted) {
    boost::system::error_code Error;
    tcp::endpoint Endpoint(asio::ip::address_v4(Local.Ipv4_), Local.Port_);
    Acceptor_.open(tcp::v4(), Error);
    if (!Error)
      Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
    if (!Error)
      Acceptor_.bind(Endpoint, Error);
    if (!Error)
      Acceptor_.listen(asio::socket_base::max_listen_connections, Error);
    if (Error)
      return fail(ErrorCode::ConnectionFailed, Error.message());
    Port_ = Acceptor_.local_endpoint(Error).port();
    OnAccepted_ = std::move(OnAccepted);
    asio::dispatch(Acceptor_.get_executor(),
                   [Self = shared_from_this()] { Self->accept(); });
    return success();
  }

  void accept() {
    if (Stopped_)
      return;
    Acceptor_.async_accept(
        asio::make_strand(Io_),
        [Self = shared_from_this()](boost::system::error_code Error,
                                    tcp::socket Socket) {
          if (!Error)
            Self->OnAccepted_(std::move(Socket));
          if (Self->Stopped_)
            return;
          if (!Error) {
            Self->accept();
            return;
          }
          Self->RetryTimer_.expires_after(AcceptRetryDelay);
          Self->RetryTimer_.async_wait(
              [Self](boost::system::error_code) { Self->accept(); });
        });
  }

  void stop(bool AcceptPending) {
    if (Stopped_.exchange(true))
      return;
    asio::dispatch(Acceptor_.get_executor(),
                   [Self = shared_from_this(), AcceptPending] {
                     if (AcceptPending)
                       Self->acceptPending();
                     boost::system::error_code Ignored;
                     Self->Acceptor_.close(Ignored);
                     Self->RetryTimer_.cancel();
                   });
  }

  void acceptPending() {
    boost::system::error_code Error;
    Acceptor_.non_blocking(true, Error);
    while (!Error) {
      tcp::socket Socket(asio::make_strand(Io_));
      Acceptor_.accept(Socket, Error);
      if (!Error)
        OnAccepted_(std::move(Socket));
    }
  }

  asio::io_context &Io_;
  tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  Accepted OnAccepted_;
  std::uint16_t Port_ = 0;
  std::atomic<bool> Stopped_ = false;
};

Listener::Listener(asio::io_context &Io) : Impl_(std::make_shared<Impl>(Io)) {}

Listener::~Listener() { stop(); }

Result<void> Listener::listen(const Address &Local, Accepted OnAccepted) {
  return Impl_->listen(Local, std::move(OnAccepted));
}

std::uint16_t Listener::port() const { return Impl_->Port_; }

void Listener::stop() { Impl_->stop(false); }

void Listener::finish() { Impl_->stop(true); }

} // namespace marigold::transport
