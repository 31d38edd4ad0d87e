#include "Ctl/StatusClient.h"
#include "Support/Addresses.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>

namespace marigold::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// State that the queries of one round share. All run on one thread.
struct Round {
  const std::vector<StatusRequest> &Requests_;
  const QueryLimits &Limits_;
  asio::io_context Context_{1};
  std::size_t Next_ = 0;
  std::vector<StatusReply> Replies_;
};

void startNext(Round &Shared);

/// One query: connect, send, read. Keeps itself alive by its handlers.
class Query : public std::enable_shared_from_this<Query> {
public:
  Query(Round &Shared, const StatusRequest &Request)
      : Round_(Shared), Request_(Request), Stream_(Shared.Context_) {
    Parser_.body_limit(Shared.Limits_.MaxBody_);
  }

  void start() {
    Message_.method(http::verb::get);
    Message_.target(Request_.WithHosts_ ? "/status" : "/status?hosts=0");
    Message_.version(11);
    Message_.set(http::field::host, toText(Request_.Admin_));
    Message_.keep_alive(false);
    // One limit for the whole query: a node that answers byte by byte must
    // not hold the command.
    Stream_.expires_after(Round_.Limits_.Timeout_);
    tcp::endpoint Endpoint(asio::ip::address_v4(Request_.Admin_.Ipv4_),
                           Request_.Admin_.Port_);
    Stream_.async_connect(Endpoint,
                          [Self = shared_from_this()](beast::error_code Error) {
                            if (Error)
                              return Self->finish(Self->failure(Error));
                            Self->send();
                          });
  }

private:
  void send() {
    http::async_write(
        Stream_, Message_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            return Self->finish(Self->failure(Error));
          Self->receive();
        });
  }

  void receive() {
    http::async_read(
        Stream_, Buffer_, Parser_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            return Self->finish(Self->failure(Error));
          Self->finish(Self->readAnswer());
        });
  }

  Result<NodeStatus> readAnswer() const {
    const auto &Answer = Parser_.get();
    if (Answer.result() != http::status::ok)
      return fail(ErrorCode::MessageMalformed,
                  "HTTP status " + std::to_string(Answer.result_int()));
    return parseStatus(Answer.body());
  }

  static Failure failure(beast::error_code Error) {
    if (Error == beast::error::timeout)
      return fail(ErrorCode::TimedOut, "no answer in time");
    // Errors of the HTTP parser, among them an answer that is too large.
    if (Error.category() ==
        http::make_error_code(http::error::bad_version).category())
      return fail(ErrorCode::MessageMalformed, Error.message());
    return fail(ErrorCode::ConnectionFailed, Error.message());
  }

  void finish(Result<NodeStatus> Status) {
    beast::error_code Ignored;
    Stream_.socket().close(Ignored);
    Round_.Replies_.push_back({Request_.Admin_, std::move(Status)});
    startNext(Round_);
  }

  Round &Round_;
  const StatusRequest &Request_;
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  http::request<http::empty_body> Message_;
  http::response_parser<http::string_body> Parser_;
};

void startNext(Round &Shared) {
  if (Shared.Next_ < Shared.Requests_.size())
    std::make_shared<Query>(Shared, Shared.Requests_[Shared.Next_++])->start();
}

} // namespace

std::vector<StatusReply> queryStatus(const std::vector<StatusRequest> &Requests,
                                     const QueryLimits &Limits) {
  Round Shared{.Requests_ = Requests, .Limits_ = Limits, .Replies_ = {}};
  for (std::size_t Count = 0; Count < Limits.Parallel_; ++Count)
    startNext(Shared);
  Shared.Context_.run();
  return std::move(Shared.Replies_);
}

} // namespace marigold::ctl
