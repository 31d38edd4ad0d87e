#include "Transport/HttpClientConnection.h"

#include "Transport/DeadPeer.h"
#include "Transport/HttpHead.h"

#include "Support/Addresses.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace marigold::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Discarded responses after which the connection is closed. A target sends few
/// informational responses, and at most a second copy of an earlier response.
constexpr unsigned MaxDiscarded = 16;
/// Size in bytes from which on a response counts as large.
constexpr std::size_t LargeResponse = std::size_t{64} * 1024;

} // namespace

HttpClientConnection::HttpClientConnection(tcp::socket Socket,
                                           const HttpClientLimits &Limits)
    : Socket_(std::move(Socket)), Timer_(Socket_.get_executor()),
      Limits_(Limits) {}

void HttpClientConnection::connect(const tcp::endpoint &Target,
                                   TimePoint Deadline,
                                   std::function<void(Result<void>)> Callback) {
  boost::system::error_code Error;
  Socket_.open(tcp::v4(), Error);
  if (!Error)
    Socket_.non_blocking(true, Error);
  int Handle = Socket_.native_handle();
  if (!Error && ::connect(Handle, Target.data(),
                          static_cast<socklen_t>(Target.size())) != 0)
    Error.assign(errno, boost::system::system_category());
  if (Error && Error != asio::error::in_progress) {
    // Posted, because a failure reported within this call would recurse once
    // for each waiting request.
    asio::post(Socket_.get_executor(), [Self = shared_from_this(), Error,
                                        Callback = std::move(Callback)] {
      Self->onConnected(Error, Callback);
    });
    return;
  }
  // Over loopback the handshake is complete when connect returns; polling here
  // saves the request a round through the event loop.
  pollfd Ready{Handle, POLLOUT, 0};
  if (::poll(&Ready, 1, 0) == 1) {
    onConnected(connectError(), Callback);
    return;
  }
  armTimer(
      std::min(Deadline, std::chrono::steady_clock::now() + Limits_.Connect_));
  Socket_.async_wait(
      tcp::socket::wait_write,
      [Self = shared_from_this(),
       Callback = std::move(Callback)](boost::system::error_code Failed) {
        Self->onConnected(Failed ? Failed : Self->connectError(), Callback);
      });
}

boost::system::error_code HttpClientConnection::connectError() {
  int Code = 0;
  socklen_t Size = sizeof(Code);
  if (::getsockopt(Socket_.native_handle(), SOL_SOCKET, SO_ERROR, &Code,
                   &Size) != 0)
    Code = errno;
  return {Code, boost::system::system_category()};
}

void HttpClientConnection::onConnected(
    boost::system::error_code Error,
    const std::function<void(Result<void>)> &Callback) {
  Timer_.cancel();
  // TCP simultaneous open can connect a socket to itself if the port is in the
  // ephemeral range and has no listener; that would look like a target that
  // accepts connections.
  boost::system::error_code Ignored;
  if (!Error && !Closed_ &&
      Socket_.local_endpoint(Ignored) == Socket_.remote_endpoint(Ignored))
    Error = asio::error::connection_refused;
  if (Error || Closed_) {
    close(ErrorCode::ConnectionFailed, Error.message());
    Callback(CloseReason_);
    return;
  }
  Socket_.set_option(tcp::no_delay(true), Ignored);
  detectDeadPeer(Socket_, BulkUserTimeout);
  IdleSince_ = std::chrono::steady_clock::now();
  Callback(success());
  read();
}

bool HttpClientConnection::isUsable() {
  if (Closed_ || Done_ || Buffer_.size() != 0)
    return false;
  char Byte = 0;
  ssize_t Size =
      ::recv(Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::send(const HttpClientRequest &Request,
                                Done Callback) {
  Done_ = std::move(Callback);
  ++Requests_;
  Written_ = false;
  Discarded_ = 0;
  HeadMethod_ = Request.Method_ == "HEAD";
  EchoField_ = Request.EchoField_;
  EchoValue_ = Request.EchoValue_;
  Message_.emplace();
  Message_->version(11);
  Message_->method_string(Request.Method_);
  Message_->target(Request.Target_);
  Message_->set(http::field::host, Request.Host_);
  addFields(*Message_, Request.Headers_);
  Body_ = Request.Body_;
  if (Body_)
    Message_->body() = {Body_->data(), Body_->size()};
  bool BodyExpected = Request.Method_ != "GET" && Request.Method_ != "HEAD";
  if (BodyExpected || !Message_->body().empty())
    Message_->content_length(Message_->body().size());
  startParser();
  armTimer(Request.Deadline_);
  Serializer_.emplace(*Message_);
  writeRequest();
  read();
}

void HttpClientConnection::writeRequest() {
  // Writes synchronously as far as the kernel accepts data. An asynchronous
  // write could complete after the response has arrived; the connection would
  // then be closed although it is reusable.
  boost::system::error_code Error;
  while (!Serializer_->is_done() && !Error)
    if (http::write_some(Socket_, *Serializer_, Error) != 0)
      Written_ = true;
  if (Error == http::error::end_of_stream)
    Error = {};
  if (!Error)
    return;
  if (Error != asio::error::would_block) {
    asio::post(Socket_.get_executor(), [Self = shared_from_this(), Error] {
      Self->end(fail(ErrorCode::ConnectionFailed, Error.message()), true);
    });
    return;
  }
  Writing_ = true;
  // From here on the kernel may have accepted data, whatever the write reports.
  Written_ = true;
  http::async_write(
      Socket_, *Serializer_,
      [Self = shared_from_this()](boost::system::error_code Failed,
                                  std::size_t) {
        Self->Writing_ = false;
        if (Failed)
          Self->end(fail(ErrorCode::ConnectionFailed, Failed.message()), true);
      });
}

void HttpClientConnection::startParser() {
  Parser_.emplace();
  Parser_->header_limit(HttpHeaderLimit);
  Parser_->body_limit(Limits_.Response_);
  Parser_->eager(true);
  if (HeadMethod_)
    Parser_->skip(true);
}

void HttpClientConnection::armTimer(TimePoint Deadline) {
  Timer_.expires_at(Deadline);
  Timer_.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        // The timer may have been rearmed while this handler was queued.
        if (Error || Self->Timer_.expiry() > std::chrono::steady_clock::now())
          return;
        Self->close(ErrorCode::TimedOut);
      });
}

void HttpClientConnection::read() {
  if (Reading_ || Closed_)
    return;
  Reading_ = true;
  Socket_.async_read_some(asio::buffer(Input_),
                          [Self = shared_from_this()](
                              boost::system::error_code Error,
                              std::size_t Size) { Self->onRead(Error, Size); });
}

void HttpClientConnection::onRead(boost::system::error_code Error,
                                  std::size_t Size) {
  Reading_ = false;
  if (Closed_)
    return;
  // A body without a length ends when the target closes the connection; a reset
  // does not end it.
  if (Error == asio::error::eof && Done_ && Parser_ &&
      Parser_->is_header_done() && Parser_->need_eof()) {
    boost::system::error_code Ended;
    Parser_->put_eof(Ended);
    if (!Ended && Parser_->is_done() && isAnswer()) {
      complete();
      return;
    }
  }
  if (Error) {
    end(fail(ErrorCode::ConnectionFailed, Error.message()), true);
    return;
  }
  if (!Done_) {
    end(fail(ErrorCode::MalformedAnswer,
             "received data with no request in progress"),
        false);
    return;
  }
  Buffer_.commit(
      asio::buffer_copy(Buffer_.prepare(Size), asio::buffer(Input_, Size)));
  parse();
  if (Done_ && !holdBody(bodyMemory()))
    return;
  if (OnLargeResponse_ && bodyMemory() >= LargeResponse)
    OnLargeResponse_();
  read();
}

bool HttpClientConnection::holdBody(std::size_t Size) {
  if (!Limits_.Memory_ || (Size == 0 && !Held_))
    return true;
  TimePoint Now = std::chrono::steady_clock::now();
  if (Held_ && Held_->resize(Size, Now))
    return true;
  if (!Held_) {
    auto Reserved =
        reserveMemory(Limits_.Memory_, MemoryUse::Answers, Size, Now);
    if (Reserved) {
      Held_ = std::move(Reserved.value());
      return true;
    }
  }
  end(fail(ErrorCode::AnswerTooLarge, "no memory left for the response"),
      false);
  return false;
}

void HttpClientConnection::releaseRequest() {
  if (Writing_)
    return;
  Serializer_.reset();
  Message_.reset();
  Body_.reset();
}

std::size_t HttpClientConnection::bodyMemory() const {
  if (!Parser_ || Closed_)
    return 0;
  const std::string &Body = Parser_->get().body();
  return Parser_->content_length() ? Body.size() : Body.capacity();
}

void HttpClientConnection::parse() {
  boost::system::error_code Error;
  while (Buffer_.size() != 0) {
    std::size_t Used = Parser_->put(Buffer_.data(), Error);
    Buffer_.consume(Used);
    if (Parser_->is_header_done() && !hasValidStatus()) {
      end(fail(ErrorCode::MalformedAnswer,
               "status " + std::to_string(Parser_->get().result_int())),
          false);
      return;
    }
    if (Error == http::error::need_more) {
      if (Buffer_.size() > HttpHeaderLimit)
        end(fail(ErrorCode::MalformedAnswer,
                 "unparsed data exceeds the header size limit"),
            false);
      return;
    }
    if (Error) {
      bool Large = Error == http::error::body_limit;
      end(fail(Large ? ErrorCode::AnswerTooLarge : ErrorCode::MalformedAnswer,
               Error.message()),
          false);
      return;
    }
    if (Parser_->is_done()) {
      if (isAnswer()) {
        complete();
        return;
      }
      if (++Discarded_ > MaxDiscarded) {
        end(fail(ErrorCode::MalformedAnswer,
                 "too many responses that belong to no request"),
            false);
        return;
      }
      startParser();
    } else if (Used == 0) {
      return;
    }
  }
}

bool HttpClientConnection::hasValidStatus() const {
  unsigned Status = Parser_->get().result_int();
  return isFinalStatus(Status) || isInformationalStatus(Status);
}

bool HttpClientConnection::isAnswer() const {
  return isFinalStatus(Parser_->get().result_int()) && belongsToRequest();
}

bool HttpClientConnection::belongsToRequest() const {
  if (EchoField_.empty())
    return true;
  auto Position = Parser_->get().find(EchoField_);
  // A target may omit the field if it refuses the request before reading it. On
  // a connection that carried an earlier request, such a response may as well
  // be a second copy of the earlier one.
  if (Position == Parser_->get().end())
    return Requests_ == 1;
  return std::string_view(Position->value().data(), Position->value().size()) ==
         EchoValue_;
}

void HttpClientConnection::updateIdleLimit() {
  constexpr std::string_view Name = "timeout=";
  // Margin for network delay: the target may close the connection while a
  // request is in transit.
  constexpr int MarginPercent = 80;
  auto Value = Parser_->get()[http::field::keep_alive];
  std::string_view Text(Value.data(), Value.size());
  std::size_t At = Text.find(Name);
  if (At == std::string_view::npos)
    return;
  std::string_view Digits = Text.substr(At + Name.size());
  Digits = Digits.substr(0, Digits.find_first_not_of("0123456789"));
  auto Seconds = parseNumber(Digits, 86'400);
  if (Seconds)
    IdleLimit_ = std::chrono::seconds(Seconds.value()) * MarginPercent / 100;
}

void HttpClientConnection::complete() {
  if (!holdBody(Parser_->get().body().size()))
    return;
  auto Response = std::make_unique<HttpResponse>();
  auto &Head = Parser_->get();
  bool Reusable = Parser_->keep_alive() && !Parser_->need_eof() && !Writing_ &&
                  Buffer_.size() == 0 &&
                  (EchoField_.empty() || Head.count(EchoField_) != 0);
  updateIdleLimit();
  Response->Status_ = Head.result_int();
  Response->Headers_ = endToEndFields(Head);
  Response->Body_ = std::move(Head.body());
  Response->Memory_ = std::move(Held_);
  Parser_.reset();
  releaseRequest();
  IdleSince_ = std::chrono::steady_clock::now();
  auto Callback = std::exchange(Done_, nullptr);
  if (!Reusable)
    close(ErrorCode::ConnectionFailed);
  else
    Timer_.cancel();
  Callback({std::move(Response), nullptr}, Reusable);
}

void HttpClientConnection::close(ErrorCode Code, std::string Detail) {
  if (!Closed_)
    end(fail(Code, std::move(Detail)), false);
}

void HttpClientConnection::end(Failure Cause, bool Lost) {
  if (Closed_)
    return;
  Closed_ = true;
  CloseReason_ = Cause;
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
  Timer_.cancel();
  releaseRequest();
  if (auto Callback = std::exchange(Done_, nullptr)) {
    auto Ended = std::make_unique<HttpClientFailure>();
    Ended->Cause_ = std::move(Cause);
    Ended->Written_ = Written_;
    Ended->Lost_ = Lost;
    Callback({nullptr, std::move(Ended)}, false);
  } else if (OnIdleClosed_) {
    std::exchange(OnIdleClosed_, nullptr)();
  }
}

} // namespace marigold::transport
