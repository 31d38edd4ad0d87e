#include "StandIns/NodePool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace marigold::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

} // namespace

class NodePool::Connection {
public:
  explicit Connection(asio::io_context &Context) : Stream_(Context) {}

  /// True if the connection is open and no unexpected data was received.
  bool isIdle() {
    char Byte = 0;
    error_code Error;
    tcp::socket &Socket = Stream_.socket();
    Socket.non_blocking(true, Error);
    Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
    return Error == asio::error::would_block;
  }

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
};

NodePool::NodePool(asio::io_context &Context, Address Where,
                   std::uint64_t Limit)
    : Context_(Context), Where_(Where), Limit_(Limit) {}

NodePool::~NodePool() = default;

asio::awaitable<std::unique_ptr<NodePool::Connection>>
NodePool::acquire(TimePoint Deadline) {
  while (true) {
    while (!Idle_.empty()) {
      auto Candidate = std::move(Idle_.back());
      Idle_.pop_back();
      if (Candidate->isIdle())
        co_return Candidate;
      --Open_;
    }
    if (Open_ < Limit_)
      break;
    if (std::chrono::steady_clock::now() >= Deadline)
      co_return nullptr;
    auto Timer = std::make_shared<asio::steady_timer>(Context_, Deadline);
    Waiting_.push_back(Timer);
    co_await Timer->async_wait(Token);
    std::erase(Waiting_, Timer);
  }
  ++Open_;
  auto Opened = std::make_unique<Connection>(Context_);
  Opened->Stream_.expires_at(Deadline);
  auto [Error] = co_await Opened->Stream_.async_connect(
      tcp::endpoint(asio::ip::address_v4(Where_.Ipv4_), Where_.Port_), Token);
  if (Error) {
    release(std::move(Opened), false);
    co_return nullptr;
  }
  error_code Ignored;
  Opened->Stream_.socket().set_option(tcp::no_delay(true), Ignored);
  co_return Opened;
}

void NodePool::release(std::unique_ptr<Connection> Used, bool Reusable) {
  if (Reusable)
    Idle_.push_back(std::move(Used));
  else
    --Open_;
  if (Waiting_.empty())
    return;
  Waiting_.front()->cancel();
  Waiting_.pop_front();
}

asio::awaitable<ExchangeResult> NodePool::exchange(const HttpRequest &Request,
                                                   TimePoint Deadline,
                                                   CallAbort *Abort) {
  ExchangeResult Result;
  auto Used = co_await acquire(Deadline);
  if (!Used)
    co_return Result;
  if (Abort && Abort->Aborted_) {
    release(std::move(Used), true);
    co_return Result;
  }
  if (Abort)
    Abort->Close_ = [Stream = &Used->Stream_] { Stream->close(); };
  Result.End_ = ExchangeEnd::NoAnswer;
  Used->Stream_.expires_at(Deadline);
  auto [WriteError, Sent] =
      co_await http::async_write(Used->Stream_, Request, Token);
  http::response_parser<http::string_body> Parser;
  bool Reusable = false;
  // Read even after a write error, since the peer may have responded before
  // the request was sent completely.
  auto [ReadError, Received] =
      co_await http::async_read(Used->Stream_, Used->Buffer_, Parser, Token);
  if (!ReadError) {
    Result.End_ = ExchangeEnd::Answered;
    Reusable = !WriteError && Parser.keep_alive();
    Result.Response_ = Parser.release();
  } else if (Parser.got_some()) {
    Result.End_ = ExchangeEnd::Interrupted;
  }
  if (Abort)
    Abort->Close_ = nullptr;
  release(std::move(Used), Reusable);
  co_return Result;
}

} // namespace marigold::standins
