#include "Transport/HttpGet.h"

#include "Transport/DeadPeer.h"
#include "Transport/HttpHead.h"

#include "Support/Addresses.h"

#include <boost/asio/post.hpp>
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

class GetOperation : public std::enable_shared_from_this<GetOperation> {
public:
  GetOperation(asio::io_context &Io, HttpGetRequest Request,
               HttpGetCallback Done)
      : Stream_(asio::make_strand(Io)), Request_(std::move(Request)),
        Done_(std::move(Done)) {}

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
      Self->end(fail(ErrorCode::Cancelled));
    });
  }

private:
  void write() {
    Stream_.expires_after(Request_.Timeout_);
    detectDeadPeer(Stream_.socket(), ShortUnacknowledged);
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
    http::async_read(
        Stream_, Buffer_, Parser_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t Size) {
          Self->onRead(Error, Size);
        });
  }

  void onRead(beast::error_code Error, std::size_t Size) {
    if (Error) {
      end(failure(Error));
      return;
    }
    HttpGetResponse Value;
    auto &Head = Parser_.get();
    if (!Parser_.chunked() && !Parser_.content_length()) {
      // The end of such a body cannot be told from a lost connection.
      end(fail(ErrorCode::MalformedAnswer, "a body without an end"));
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
  const HttpGetRequest Request_;
  HttpGetCallback Done_;
  http::request<http::empty_body> Message_;
  http::response_parser<http::string_body> Parser_;
  beast::flat_buffer Buffer_;
  std::size_t Sent_ = 0;
};

} // namespace

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
