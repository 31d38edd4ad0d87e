#include "StandIns/HttpListener.h"

#include "Support/Addresses.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>

namespace marigold::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

/// Delay before the next accept after a failed one. Without it, running out of
/// file descriptors would cause a busy loop.
constexpr std::chrono::milliseconds AcceptPause{20};

/// Detects input or end of stream on a connection while its request runs.
struct InputWatch {
  /// Timer to cancel on input; null when nothing waits for it any more.
  asio::steady_timer *Timer_ = nullptr;
  /// Input or end of stream was detected.
  bool Seen_ = false;
};

} // namespace

HttpResponse makeResponse(unsigned Status, std::string Body,
                          std::string_view ContentType) {
  HttpResponse Response(static_cast<http::status>(Status), 11);
  Response.set(
      http::field::content_type,
      boost::beast::string_view(ContentType.data(), ContentType.size()));
  Response.body() = std::move(Body);
  return Response;
}

asio::awaitable<bool> HttpSession::closedBefore(asio::steady_timer &Timer) {
  auto Watch = std::make_shared<InputWatch>(InputWatch{&Timer});
  Socket_.async_wait(tcp::socket::wait_read, [Watch](const error_code &) {
    Watch->Seen_ = true;
    if (Watch->Timer_)
      Watch->Timer_->cancel();
  });
  co_await Timer.async_wait(Token);
  Watch->Timer_ = nullptr;
  if (!Watch->Seen_) {
    Socket_.cancel();
    co_return false;
  }
  char Byte = 0;
  error_code Error;
  Socket_.non_blocking(true, Error);
  std::size_t Count =
      Socket_.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
  if (Error == asio::error::would_block || (!Error && Count > 0)) {
    // A pipelined request is pending in the socket, so the end of the stream
    // cannot be detected before the current request is answered.
    co_await Timer.async_wait(Token);
    co_return false;
  }
  co_return true;
}

HttpListener::HttpListener(asio::io_context &Context, ListenerLimits Limits,
                           Handler Handle)
    : Context_(Context), Acceptor_(Context), Limits_(Limits),
      Handle_(std::move(Handle)) {}

Result<void> HttpListener::open(const Address &Where) {
  tcp::endpoint Endpoint(asio::ip::address_v4(Where.Ipv4_), Where.Port_);
  error_code Error;
  Acceptor_.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(Endpoint, Error);
  if (!Error)
    Acceptor_.listen(1024, Error);
  if (Error)
    return fail(ErrorCode::ConnectionFailed,
                "cannot listen on " + toText(Where) + ": " + Error.message());
  asio::co_spawn(Context_, accept(), asio::detached);
  return success();
}

Address HttpListener::address() const {
  error_code Error;
  tcp::endpoint Endpoint = Acceptor_.local_endpoint(Error);
  return {Endpoint.address().to_v4().to_uint(), Endpoint.port()};
}

void HttpListener::close() {
  error_code Error;
  Acceptor_.close(Error);
}

asio::awaitable<void> HttpListener::accept() {
  while (Acceptor_.is_open()) {
    auto [Error, Socket] = co_await Acceptor_.async_accept(Token);
    if (!Acceptor_.is_open())
      co_return;
    if (Error) {
      asio::steady_timer Pause(Context_, AcceptPause);
      co_await Pause.async_wait(Token);
      continue;
    }
    if (Counters_->Open_ >= Limits_.Connections_) {
      ++Counters_->Refused_;
      continue;
    }
    asio::co_spawn(Context_, serve(std::move(Socket)), asio::detached);
  }
}

asio::awaitable<void> HttpListener::serve(tcp::socket Socket) {
  std::shared_ptr<ListenerCounters> Counters = Counters_;
  ++Counters->Open_;
  auto DecrementOpen = [](std::uint64_t *Open) { --*Open; };
  std::unique_ptr<std::uint64_t, decltype(DecrementOpen)> Guard(
      &Counters->Open_, DecrementOpen);
  HttpSession Session(std::move(Socket));
  error_code Ignored;
  Session.Socket_.set_option(tcp::no_delay(true), Ignored);
  while (true) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(Limits_.Body_);
    auto [ReadError, Received] = co_await http::async_read(
        Session.Socket_, Session.Buffer_, Parser, Token);
    Counters->BytesReceived_ += Received;
    if (ReadError) {
      bool Closed = ReadError == http::error::end_of_stream ||
                    ReadError.category() == asio::error::get_system_category();
      Counters->Malformed_ += Closed ? 0 : 1;
      co_return;
    }
    HttpRequest Request = Parser.release();
    auto Response = co_await Handle_(Session, Request);
    if (!Response)
      co_return;
    Response->version(Request.version());
    Response->keep_alive(Request.keep_alive() && Acceptor_.is_open());
    Response->prepare_payload();
    auto [WriteError, Sent] =
        co_await http::async_write(Session.Socket_, *Response, Token);
    Counters->BytesSent_ += Sent;
    if (WriteError || !Response->keep_alive())
      co_return;
  }
}

} // namespace marigold::standins
