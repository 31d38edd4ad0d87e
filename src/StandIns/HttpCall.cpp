#include "StandIns/HttpCall.h"

#include "Support/Addresses.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigold::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

asio::awaitable<boost::system::error_code>
exchange(beast::tcp_stream &Stream, asio::ip::tcp::endpoint Endpoint,
         http::request<http::string_body> &Request,
         http::response<http::string_body> &Response) {
  auto [ConnectError] = co_await Stream.async_connect(Endpoint, Token);
  if (ConnectError)
    co_return ConnectError;
  auto [WriteError, Sent] = co_await http::async_write(Stream, Request, Token);
  if (WriteError)
    co_return WriteError;
  beast::flat_buffer Buffer;
  auto [ReadError, Received] =
      co_await http::async_read(Stream, Buffer, Response, Token);
  co_return ReadError;
}

} // namespace

std::string HttpAnswer::field(std::string_view Name) const {
  for (const auto &[Key, Value] : Fields_)
    if (beast::iequals(Key, beast::string_view(Name.data(), Name.size())))
      return Value;
  return {};
}

Result<HttpAnswer> callHttp(const Address &Where, const std::string &Method,
                            const std::string &Target, const HttpFields &Fields,
                            const std::string &Body,
                            std::chrono::milliseconds Timeout) {
  asio::io_context Context(1);
  beast::tcp_stream Stream(Context);
  Stream.expires_after(Timeout);
  http::request<http::string_body> Request;
  Request.version(11);
  Request.method_string(Method);
  Request.target(Target);
  Request.set(http::field::host, toText(Where));
  for (const auto &[Name, Value] : Fields)
    Request.set(Name, Value);
  Request.body() = Body;
  Request.prepare_payload();
  http::response<http::string_body> Response;
  boost::system::error_code Error;
  asio::ip::tcp::endpoint Endpoint(asio::ip::address_v4(Where.Ipv4_),
                                   Where.Port_);
  asio::co_spawn(Context, exchange(Stream, Endpoint, Request, Response),
                 [&](const std::exception_ptr &,
                     boost::system::error_code Result) { Error = Result; });
  Context.run();
  if (Error == beast::error::timeout)
    return fail(ErrorCode::TimedOut, toText(Where) + " did not answer");
  if (Error)
    return fail(ErrorCode::ConnectionFailed,
                toText(Where) + ": " + Error.message());
  HttpAnswer Answer;
  Answer.Status_ = Response.result_int();
  for (const auto &Field : Response)
    Answer.Fields_.emplace_back(std::string(Field.name_string()),
                                std::string(Field.value()));
  Answer.Body_ = std::move(Response.body());
  return Answer;
}

} // namespace marigold::standins
