#include "Transport/HttpGet.h"

#include "Transport/DeadPeer.h"
#include "Transport/HttpHead.h"

#include "Support/Addresses.h"
#include "Support/LinkRate.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace marigold::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Maximum number of body bytes per read of a paced body. Smaller bodies are
/// not paced.
constexpr std::size_t PacedReadSize = std::size_t{16} * 1024;
/// Maximum duration in seconds to which pacing stretches a body. Configuration
/// changes must be known within 2.5 to 3 s. A change made just after a response
/// has begun waits for the rest of that response and for the next one, and each
/// takes longer than calculated here if calls use the link as well.
constexpr double MaxPacedSeconds = 0.5;

class GetOperation : public std::enable_shared_from_this<GetOperation> {
public:
  GetOperation(asio::io_context &Io, HttpGetRequest Request,
               HttpGetCallback Done)
      : Stream_(asio::make_strand(Io)), PacingTimer_(Stream_.get_executor()),
        Request_(std::move(Request)), Done_(std::move(Done)) {}

  void start() {
    asio::post(Stream_.get_executor(), [Self = shared_from_this()] {
      if (!Self->Done_)
        return;
      Self->Stream_.expires_after(
          std::min(Self->Request_.ConnectTimeout_, Self->Request_.Timeout_));
      const Address &Server = Self->Request_.Server_;
      Self->Stream_.async_connect(
          tcp::endpoint(asio::ip::address_v4(Server.Ipv4_), Server.Port_),
          [Self](beast::error_code Error) {
            if (Error)
              Self->end(Self->failure(Error));
            else
              Self->write();
          });
    });
  }

  void cancel() {
    asio::post(Stream_.get_executor(), [Self = shared_from_this()] {
      Self->Stream_.close();
      Self->PacingTimer_.cancel();
      Self->end(fail(ErrorCode::Cancelled));
    });
  }

private:
  void write() {
    Stream_.expires_after(Request_.Timeout_);
    detectDeadPeer(Stream_.socket(), ShortUserTimeout);
    Message_.version(11);
    Message_.method(http::verb::get);
    Message_.target(Request_.Target_);
    Message_.set(http::field::host, toText(Request_.Server_));
    Message_.set(http::field::connection, "close");
    http::async_write(
        Stream_, Message_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t Size) {
          Self->Sent_ = Size;
          if (Error)
            Self->end(Self->failure(Error));
          else
            Self->read();
        });
  }

  void read() {
    Parser_.header_limit(HttpHeaderLimit);
    Parser_.body_limit(Request_.Limit_);
    if (Request_.LinkRate_ > 0 || Request_.OnProgress_) {
      Parser_.eager(true);
      readPiece();
      return;
    }
    http::async_read(
        Stream_, Buffer_, Parser_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t Size) {
          Self->onRead(Error, Size);
        });
  }

  void readPiece() {
    http::async_read_some(
        Stream_, Buffer_, Parser_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t Size) {
          Self->Received_ += Size;
          if (Size != 0 && Self->Request_.OnProgress_)
            Self->Request_.OnProgress_();
          if (Error || Self->Parser_.is_done())
            Self->onRead(Error, Self->Received_);
          else
            Self->pauseAfter(Size);
        });
  }

  /// Waits for the time that Size bytes take at the paced rate, then continues
  /// reading.
  void pauseAfter(std::size_t Size) {
    double Rate = Parser_.is_header_done() && Request_.LinkRate_ > 0
                      ? pacedReadRate(Parser_.content_length().value_or(0),
                                      Request_.LinkRate_)
                      : 0;
    if (Rate <= 0) {
      readPiece();
      return;
    }
    PacingTimer_.expires_after(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(Size) / Rate)));
    PacingTimer_.async_wait([Self = shared_from_this()](beast::error_code) {
      if (Self->Done_)
        Self->readPiece();
    });
  }

  void onRead(beast::error_code Error, std::size_t Size) {
    if (Error) {
      end(failure(Error));
      return;
    }
    HttpGetResponse Value;
    auto &Head = Parser_.get();
    if (!isFinalStatus(Head.result_int())) {
      end(fail(ErrorCode::MalformedAnswer,
               "status " + std::to_string(Head.result_int())));
      return;
    }
    if (!Parser_.chunked() && !Parser_.content_length()) {
      // The end of such a body cannot be distinguished from a lost connection.
      end(fail(ErrorCode::MalformedAnswer,
               "response has neither Content-Length nor chunked encoding"));
      return;
    }
    Value.Response_.Status_ = Head.result_int();
    Value.Response_.Headers_ = endToEndFields(Head);
    Value.Response_.Body_ = std::move(Head.body());
    Value.SentBytes_ = Sent_;
    Value.ReceivedBytes_ = Size;
    end(std::move(Value));
  }

  Failure failure(beast::error_code Error) const {
    ErrorCode Code = ErrorCode::ConnectionFailed;
    if (Error == beast::error::timeout)
      Code = ErrorCode::TimedOut;
    else if (Error == http::error::body_limit)
      Code = ErrorCode::AnswerTooLarge;
    else if (Error.category() ==
             http::make_error_code(http::error::bad_value).category())
      Code = ErrorCode::MalformedAnswer;
    return fail(Code, toText(Request_.Server_) + ": " + Error.message());
  }

  void end(Result<HttpGetResponse> Value) {
    if (auto Callback = std::exchange(Done_, nullptr))
      Callback(std::move(Value));
    Stream_.close();
  }

  beast::tcp_stream Stream_;
  asio::steady_timer PacingTimer_;
  const HttpGetRequest Request_;
  HttpGetCallback Done_;
  http::request<http::empty_body> Message_;
  http::response_parser<http::string_body> Parser_;
  // Bounds the size of a read and has room for a complete header section.
  beast::flat_buffer Buffer_{PacedReadSize + HttpHeaderLimit};
  std::size_t Sent_ = 0;
  std::size_t Received_ = 0;
};

} // namespace

double pacedReadRate(std::uint64_t Size, double LinkRate) {
  if (Size <= PacedReadSize)
    return 0;
  return std::max(LinkRate * SourceLinkShare,
                  static_cast<double>(Size) / MaxPacedSeconds);
}

HttpGetCancel httpGet(asio::io_context &Io, HttpGetRequest Request,
                      HttpGetCallback Done) {
  auto Operation =
      std::make_shared<GetOperation>(Io, std::move(Request), std::move(Done));
  Operation->start();
  return [Weak = std::weak_ptr<GetOperation>(Operation)] {
    if (auto Started = Weak.lock())
      Started->cancel();
  };
}

} // namespace marigold::transport
