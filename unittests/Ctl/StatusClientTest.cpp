#include "Ctl/StatusClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <map>
#include <thread>

namespace marigold::ctl {
namespace {

using boost::asio::ip::tcp;

/// Accepts one connection on loopback, reads the request and sends a fixed
/// response. If the response is empty, sends nothing until the client closes.
class CannedResponseServer {
public:
  explicit CannedResponseServer(std::string Answer)
      : Acceptor_(Context_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        Thread_([this, Text = std::move(Answer)] { serve(Text); }) {}

  ~CannedResponseServer() { Thread_.join(); }

  Address address() const {
    return {0x7F000001, Acceptor_.local_endpoint().port()};
  }

  /// Returns the request line. Blocks until the connection has been served.
  std::string requestLine() {
    Thread_.join();
    Thread_ = std::thread([] {});
    return Request_.substr(0, Request_.find('\r'));
  }

private:
  void serve(const std::string &Answer) {
    boost::system::error_code Error;
    tcp::socket Socket = Acceptor_.accept(Error);
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Request_),
                            "\r\n\r\n", Error);
    boost::asio::write(Socket, boost::asio::buffer(Answer), Error);
    if (!Answer.empty())
      return;
    char Byte = 0;
    Socket.read_some(boost::asio::buffer(&Byte, 1), Error);
  }

  boost::asio::io_context Context_;
  tcp::acceptor Acceptor_;
  std::string Request_;
  std::thread Thread_;
};

struct StatusClientFixture {
  static std::string answer(const std::string &Line, const std::string &Body) {
    return "HTTP/1.1 " + Line +
           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  }

  static std::string body() {
    return R"({"host": "127.0.0.1:7001", "failure_domain": "d", "region": "r",
      "service": "s", "incarnation": 1, "state": "ready", "version": "1.5",
      "digest": "aa", "source_age_ms": null, "refused": null,
      "bootstrap_source_only": false, "history": []})";
  }

  /// Queries one node; returns the error code, or nothing on success.
  static std::optional<ErrorCode> queryError(const Address &Admin,
                                             QueryLimits Limits = {}) {
    auto Replies = queryStatus({{Admin, false}}, Limits);
    REQUIRE(Replies.size() == 1);
    CHECK(Replies[0].Admin_ == Admin);
    if (Replies[0].Status_)
      return std::nullopt;
    return Replies[0].Status_.error().Code_;
  }
};

} // namespace

// Guards against lost replies and requests for the wrong path when there are
// more nodes than concurrent queries.
TEST_CASE_FIXTURE(StatusClientFixture, "query of more nodes than run at once") {
  CannedResponseServer First(answer("200 OK", body()));
  CannedResponseServer Second(answer("200 OK", body()));
  CannedResponseServer Third(answer("200 OK", body()));
  QueryLimits Limits;
  Limits.Parallel_ = 2;
  auto Replies = queryStatus({{First.address(), true},
                              {Second.address(), false},
                              {Third.address(), false}},
                             Limits);
  REQUIRE(Replies.size() == 3);
  for (const StatusReply &Reply : Replies) {
    REQUIRE(Reply.Status_);
    CHECK(Reply.Status_.value().Version_ == ConfigVersion{1, 5});
  }
  CHECK(First.requestLine() == "GET /status HTTP/1.1");
  CHECK(Second.requestLine() == "GET /status?hosts=0 HTTP/1.1");
  CHECK(queryStatus({}, Limits).empty());
}

// Guards against a malformed answer that crashes or blocks the command.
TEST_CASE_FIXTURE(StatusClientFixture, "query of a broken node fails typed") {
  for (const std::string &Answer :
       {answer("500 Internal Server Error", "{}"), answer("200 OK", "{}"),
        std::string("nonsense\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")}) {
    CAPTURE(Answer);
    CannedResponseServer Server(Answer);
    CHECK(queryError(Server.address()) == ErrorCode::MessageMalformed);
  }
  CannedResponseServer Large(answer("200 OK", body()));
  QueryLimits Small;
  Small.MaxBody_ = 10;
  CHECK(queryError(Large.address(), Small) == ErrorCode::MessageMalformed);
}

TEST_CASE_FIXTURE(StatusClientFixture, "query of a silent node times out") {
  CannedResponseServer Silent("");
  QueryLimits Limits;
  Limits.Timeout_ = std::chrono::milliseconds(100);
  CHECK(queryError(Silent.address(), Limits) == ErrorCode::TimedOut);
}

TEST_CASE_FIXTURE(StatusClientFixture, "query of a closed port fails") {
  Address Closed;
  {
    boost::asio::io_context Context;
    tcp::acceptor Acceptor(
        Context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    Closed = {0x7F000001, Acceptor.local_endpoint().port()};
  }
  CHECK(queryError(Closed) == ErrorCode::ConnectionFailed);
}

} // namespace marigold::ctl
