#include "Transport/HttpServerConnection.h"

#include "Transport/HttpHead.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace marigold::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Maximum number of pipelined bytes that are buffered while no further request
// may be passed on. Reading continues up to it to detect a client that
// disconnects.
constexpr std::size_t PipelineBufferLimit = std::size_t{16} * 1024;
// Maximum size of an incomplete chunk header in bytes.
constexpr std::size_t UnparsedLimit = std::size_t{64} * 1024;
// Body limit in bytes for a server without a BodyLimit_ option.
constexpr std::uint64_t DefaultBodyLimit = std::size_t{64} * 1024;
// Time for which a connection continues to read after its last response.
// Closing it with unread data would make the kernel send a reset, which can
// discard the response before the client has read it.
constexpr auto LingerTime = std::chrono::seconds(1);
// Bytes counted for a connection whatever it holds: its buffers and a header
// section. Bodies below it are part of it, so that small requests and answers
// do not touch the account.
constexpr std::size_t ConnectionMemory = std::size_t{16} * 1024;
constexpr auto NoDeadline = TimePoint::max().time_since_epoch().count();
// Empty lines before a request are ignored (RFC 9112, section 2.2).
constexpr unsigned MaxEmptyLines = 2;

} // namespace

void DisconnectNotifier::set(std::function<void()> Callback) {
  {
    std::lock_guard Lock(Mutex_);
    if (Cleared_)
      return;
    if (!Disconnected_) {
      Callback_ = std::move(Callback);
      return;
    }
  }
  Callback();
}

void DisconnectNotifier::clear() {
  std::function<void()> Dropped;
  std::lock_guard Lock(Mutex_);
  Cleared_ = true;
  Dropped.swap(Callback_);
}

void DisconnectNotifier::disconnected() {
  std::function<void()> Callback;
  {
    std::lock_guard Lock(Mutex_);
    Disconnected_ = true;
    Callback.swap(Callback_);
  }
  if (Callback)
    Callback();
}

void ServerExchange::respond(HttpResponse Response) {
  std::shared_ptr<HttpServerConnection> Connection;
  {
    std::lock_guard Lock(Mutex_);
    Connection.swap(Connection_);
  }
  if (!Connection)
    return;
  Notifier_->clear();
  Connection->respond(Place_, std::move(Response));
}

void ServerExchange::onDisconnect(std::function<void()> Callback) {
  Notifier_->set(std::move(Callback));
}

HttpServerConnection::HttpServerConnection(
    tcp::socket Socket, std::shared_ptr<const HttpServerOptions> Options,
    std::shared_ptr<std::atomic<std::size_t>> Open,
    std::shared_ptr<std::atomic<std::size_t>> Busy)
    : Socket_(std::move(Socket)), Options_(std::move(Options)),
      Open_(std::move(Open)), Busy_(std::move(Busy)), Deadline_(NoDeadline),
      UnusedSince_(
          std::chrono::steady_clock::now().time_since_epoch().count()) {
  ++*Open_;
}

HttpServerConnection::~HttpServerConnection() {
  --*Open_;
  if (CountedBusy_)
    --*Busy_;
  if (Account_)
    Options_->Memory_->close(*Account_);
}

bool HttpServerConnection::openMemory() {
  if (!Options_->Memory_)
    return true;
  Account_ = Options_->Memory_->open(
      ConnectionMemory,
      [Weak = weak_from_this()] {
        // Not called directly: the caller may be a handler of this connection.
        if (auto Self = Weak.lock())
          asio::post(Self->Socket_.get_executor(), [Self] { Self->giveWay(); });
      },
      std::chrono::steady_clock::now());
  return Account_.has_value();
}

void HttpServerConnection::start() {
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this()] {
    boost::system::error_code Ignored;
    Self->Socket_.set_option(tcp::no_delay(true), Ignored);
    Self->beginPhase(Phase::Head, Self->idleTimeout());
    Self->read();
  });
}

void HttpServerConnection::beginPhase(Phase Next,
                                      std::optional<Duration> Limit) {
  Phase_ = Next;
  ReceiveDeadline_ =
      Limit ? std::chrono::steady_clock::now() + *Limit : TimePoint::max();
  updateDeadline();
}

void HttpServerConnection::updateDeadline() {
  Deadline_ =
      std::min(ReceiveDeadline_, WriteDeadline_).time_since_epoch().count();
  updateBusy();
}

void HttpServerConnection::updateBusy() {
  bool Busy = Phase_ != Phase::Closed && (Phase_ != Phase::Head || !isIdle());
  if (std::exchange(CountedBusy_, Busy) != Busy)
    *Busy_ += Busy ? 1 : std::size_t(-1);
  UnusedState Unused = UnusedState::InUse;
  if (Phase_ == Phase::Head && Pending_.empty())
    Unused = Parser_ || !HadRequest_ ? UnusedState::Silent : UnusedState::Idle;
  if (UnusedState_.exchange(Unused) != Unused)
    UnusedSince_ = std::chrono::steady_clock::now().time_since_epoch().count();
}

void HttpServerConnection::closeUnused() {
  asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    boost::system::error_code Ignored;
    bool Unread = !Self->Parser_ && Self->Socket_.available(Ignored) > 0;
    if (Self->Phase_ != Phase::Head || !Self->Pending_.empty() || Unread)
      return;
    Self->countShed("connections");
    Self->shutDown();
  });
}

void HttpServerConnection::countShed(std::string_view Reason) {
  if (Options_->OnShed_)
    Options_->OnShed_(Reason);
}

std::size_t HttpServerConnection::bodyCapacity() {
  if (Phase_ == Phase::Body && Parser_)
    return Parser_->get().body().capacity();
  return Request_.Body_.capacity();
}

bool HttpServerConnection::updateMemory(std::size_t Added) {
  if (!Account_ || Phase_ == Phase::Closed)
    return true;
  std::size_t Body = bodyCapacity() + Added;
  std::size_t Kept = Phase_ == Phase::Held ? Body : 0;
  SheddableMemory Sheddable;
  if (Phase_ == Phase::Body) {
    Sheddable = BodyProgress_;
    Sheddable.Bytes_ = Body + Buffer_.capacity();
  }
  std::size_t Answers = 0;
  for (const auto &Place : Pending_) {
    Kept += Place->RequestBytes_;
    Answers += Place->ResponseBytes_;
  }
  if (Answers > Sheddable.Bytes_) {
    Kept += Sheddable.Bytes_;
    Sheddable = AnswerProgress_;
    Sheddable.Bytes_ = Answers;
  } else {
    Kept += Answers;
  }
  std::size_t Total = Kept + Sheddable.Bytes_;
  if (Total <= ConnectionMemory && ReportedBytes_ <= ConnectionMemory)
    return true;
  if (Total <= ConnectionMemory)
    Sheddable = {};
  if (!Options_->Memory_->resize(*Account_, ConnectionMemory + Kept, Sheddable,
                                 std::chrono::steady_clock::now()))
    return false;
  ReportedBytes_ = Total;
  return true;
}

bool HttpServerConnection::reserveBody() {
  std::string &Body = Parser_->get().body();
  // A body of known length is reserved as a whole by the parser.
  std::uint64_t Needed =
      std::min<std::uint64_t>(Body.size() + Buffer_.size(), BodyLimit_);
  Needed = std::max(Needed, Parser_->content_length().value_or(0));
  if (Needed <= Body.capacity())
    return updateMemory();
  std::uint64_t Grown = Body.capacity() + Body.capacity() / 2;
  Needed = std::max(Needed, std::min(Grown, BodyLimit_));
  // Both exist while the text is copied.
  if (!updateMemory(Needed))
    return false;
  {
    // std::string::reserve would at least double the capacity.
    std::string Moved;
    Moved.reserve(Needed);
    Moved.append(Body);
    Body.swap(Moved);
  }
  return updateMemory();
}

void HttpServerConnection::giveWay() {
  if (Phase_ == Phase::Closed)
    return;
  std::size_t Answers = 0;
  for (const auto &Place : Pending_)
    Answers += Place->ResponseBytes_;
  bool Receiving = Phase_ == Phase::Body;
  if (Receiving && bodyCapacity() >= Answers) {
    countShed("memory");
    refuse(ErrorCode::NodeMemory);
  } else if (Answers > 0) {
    countShed("memory");
    shutDown();
  }
  updateMemory();
}

void HttpServerConnection::checkRates(TimePoint Now) {
  if (Phase_ == Phase::Body &&
      BodyRate_.isTooSlow(Now, BodyProgress_.Moved_, Options_->BodyMinRate_)) {
    countShed("body-rate");
    refuse(ErrorCode::BodyTooSlow);
  }
  if (Writing_ && AnswerRate_.isTooSlow(Now, AnswerProgress_.Moved_,
                                        Options_->ReadMinRate_)) {
    countShed("read-rate");
    shutDown();
  }
}

void HttpServerConnection::read() {
  if (Reading_ || Phase_ == Phase::Closed)
    return;
  if (Phase_ != Phase::Lingering && Buffer_.size() >= PipelineBufferLimit &&
      !mayReceive())
    return;
  Reading_ = true;
  Socket_.async_read_some(asio::buffer(Input_),
                          [Self = shared_from_this()](
                              boost::system::error_code Error,
                              std::size_t Size) { Self->onRead(Error, Size); });
}

void HttpServerConnection::onRead(boost::system::error_code Error,
                                  std::size_t Size) {
  Reading_ = false;
  if (Phase_ == Phase::Closed)
    return;
  if (Error) {
    // A half-closed connection also counts as disconnected, because it cannot
    // be distinguished from a closed one.
    if (Writing_ && Pending_.size() == 1)
      Closing_ = true;
    else
      shutDown();
    return;
  }
  if (Phase_ != Phase::Lingering) {
    Buffer_.commit(
        asio::buffer_copy(Buffer_.prepare(Size), asio::buffer(Input_, Size)));
    if (Phase_ == Phase::Body) {
      BodyProgress_.Moved_ += Size;
      BodyProgress_.LastProgress_ = std::chrono::steady_clock::now();
    }
    advance();
  }
  read();
}

void HttpServerConnection::advance() {
  // A handler may respond synchronously, which re-enters this function; the
  // outer loop then continues.
  if (Advancing_)
    return;
  Advancing_ = true;
  for (bool Again = true; Again && mayReceive();) {
    Phase Before = Phase_;
    std::size_t Size = Buffer_.size();
    if (Phase_ == Phase::Head)
      parseHead();
    else if (Phase_ == Phase::Body)
      parseBody();
    Again = Phase_ != Before || Buffer_.size() != Size;
  }
  Advancing_ = false;
}

bool HttpServerConnection::mayReceive() {
  if (Phase_ != Phase::Head && Phase_ != Phase::Body)
    return false;
  if (hasBegunRequest())
    return true;
  if (LastRequest_)
    return false;
  if (Pending_.empty())
    return true;
  if (Draining_ || Pending_.size() >= MaxPipelined_)
    return false;
  return std::ranges::all_of(Pending_, [this](const auto &Place) {
    if (!Place->Repeatable_)
      Place->Repeatable_ = isRepeatable(Place->Line_);
    return *Place->Repeatable_;
  });
}

bool HttpServerConnection::isRepeatable(const HttpRequest &Request) const {
  return Options_->IsRepeatable_ && Options_->IsRepeatable_(Request);
}

ClientLimits HttpServerConnection::limits() const {
  return Options_->ClientLimits_ ? Options_->ClientLimits_() : ClientLimits{};
}

Duration HttpServerConnection::headerTimeout() const {
  Duration Limit = limits().HeaderTimeout_;
  return Limit > Duration::zero() ? Limit : Options_->HeaderTimeout_;
}

Duration HttpServerConnection::idleTimeout() const {
  Duration Limit = limits().IdleTimeout_;
  return Limit > Duration::zero() ? Limit : Options_->IdleTimeout_;
}

void HttpServerConnection::beginDrain() {
  asio::dispatch(Socket_.get_executor(),
                 [Self = shared_from_this()] { Self->Draining_ = true; });
}

void HttpServerConnection::parseHead() {
  auto View = [this] {
    return std::string_view(static_cast<const char *>(Buffer_.data().data()),
                            Buffer_.size());
  };
  for (unsigned Line = 0; Line < MaxEmptyLines && View().starts_with("\r\n");
       ++Line)
    Buffer_.consume(2);
  if (Buffer_.size() == 0)
    return;
  std::size_t End = findHeadEnd(View());
  if (std::min(End, Buffer_.size()) > HttpHeaderLimit) {
    refuse(ErrorCode::HeaderTooLarge);
    return;
  }
  if (End == std::string_view::npos) {
    // The timeout starts with the first byte of the section; further bytes do
    // not extend it.
    if (!Parser_) {
      Parser_.emplace();
      beginPhase(Phase::Head, headerTimeout());
    }
    return;
  }
  if (auto Code = checkHead(View().substr(0, End))) {
    refuse(*Code);
    return;
  }
  Parser_.emplace();
  Parser_->header_limit(HttpHeaderLimit + 1);
  Parser_->body_limit(boost::none);
  Parser_->eager(false);
  boost::system::error_code Error;
  std::size_t Used = Parser_->put(asio::buffer(Buffer_.data(), End), Error);
  if (Error || !Parser_->is_header_done()) {
    refuse(Error == http::error::header_limit ? ErrorCode::HeaderTooLarge
                                              : ErrorCode::MalformedRequest);
    return;
  }
  Buffer_.consume(Used);
  if (auto Code = checkRequest(Parser_->get())) {
    refuse(*Code);
    return;
  }
  // Header fields are copied before the body is parsed, so that they do not
  // include trailer fields of a chunked body.
  Request_ = toRequest(Parser_->get());
  KeepAlive_ = Parser_->keep_alive();
  HeadMethod_ = Parser_->get().method() == http::verb::head;
  if (Parser_->is_done())
    handle();
  else
    acceptBody();
}

void HttpServerConnection::acceptBody() {
  std::uint64_t Limit =
      Options_->BodyLimit_ ? Options_->BodyLimit_(Request_) : DefaultBodyLimit;
  auto Length = Parser_->content_length();
  if (Length && *Length > Limit) {
    refuse(ErrorCode::BodyTooLarge);
    return;
  }
  Parser_->body_limit(Limit);
  Parser_->eager(true);
  BodyLimit_ = Limit;
  beginPhase(Phase::Body, Options_->BodyTimeout_);
  TimePoint Now = std::chrono::steady_clock::now();
  BodyProgress_ = {0, Buffer_.size(), Now, Now};
  BodyRate_.begin(Now);
  if (http::token_list(Parser_->get()[http::field::expect])
          .exists("100-continue") &&
      Buffer_.size() == 0 && Pending_.empty()) {
    Continue_ = "HTTP/1.1 100 Continue\r\n\r\n";
    // No other write can be in progress, since no response is pending.
    boost::system::error_code Ignored;
    Socket_.non_blocking(true, Ignored);
    Socket_.write_some(asio::buffer(Continue_), Ignored);
  }
}

void HttpServerConnection::parseBody() {
  boost::system::error_code Error;
  if (Buffer_.size() != 0 && !reserveBody()) {
    countShed("memory");
    refuse(ErrorCode::NodeMemory);
    return;
  }
  while (!Parser_->is_done() && Buffer_.size() != 0) {
    std::size_t Used = Parser_->put(Buffer_.data(), Error);
    Buffer_.consume(Used);
    if (Error == http::error::need_more && Buffer_.size() < UnparsedLimit)
      return;
    if (Error) {
      refuse(Error == http::error::body_limit ? ErrorCode::BodyTooLarge
                                              : ErrorCode::MalformedRequest);
      return;
    }
    if (Used == 0)
      return;
  }
  if (!Parser_->is_done())
    return;
  Request_.Body_ = std::move(Parser_->get().body());
  // The smaller copy exists beside the body for a moment.
  if (Request_.Body_.capacity() - Request_.Body_.size() > ConnectionMemory &&
      updateMemory(Request_.Body_.capacity() + Request_.Body_.size()))
    Request_.Body_.shrink_to_fit();
  handle();
}

void HttpServerConnection::handle() {
  Parser_.reset();
  if (!Pending_.empty() && !isRepeatable(Request_)) {
    beginPhase(Phase::Held, std::nullopt);
    updateMemory();
  } else
    passOn();
}

void HttpServerConnection::passOn() {
  auto Place = std::make_shared<PendingResponse>();
  Place->Notifier_ = std::make_shared<DisconnectNotifier>();
  Place->Line_.Method_ = Request_.Method_;
  Place->Line_.Host_ = Request_.Host_;
  Place->Line_.Target_ = Request_.Target_;
  Place->Close_ = !KeepAlive_;
  Place->HeadMethod_ = HeadMethod_;
  LastRequest_ = LastRequest_ || Place->Close_;
  Place->RequestBytes_ = Request_.Body_.capacity();
  HadRequest_ = true;
  Pending_.push_back(Place);
  beginPhase(Phase::Head, std::nullopt);
  HttpRequest Request = std::exchange(Request_, {});
  if (Buffer_.size() == 0 && Buffer_.capacity() > ConnectionMemory)
    Buffer_.shrink_to_fit();
  if (!updateMemory()) {
    Pending_.pop_back();
    countShed("memory");
    refuse(ErrorCode::NodeMemory);
    return;
  }
  Options_->OnRequest_(std::move(Request), std::make_shared<ServerExchange>(
                                               shared_from_this(), Place));
}

void HttpServerConnection::refuse(ErrorCode Code) {
  Parser_.reset();
  Request_ = {};
  if (Options_->OnRefused_)
    Options_->OnRefused_(Code);
  auto Place = std::make_shared<PendingResponse>();
  Place->Response_ = errorResponse(Code);
  Place->Close_ = true;
  LastRequest_ = true;
  Pending_.push_back(std::move(Place));
  beginPhase(Phase::Head, std::nullopt);
  updateMemory();
  writeNext();
}

void HttpServerConnection::respond(
    const std::shared_ptr<PendingResponse> &Place, HttpResponse Response) {
  asio::dispatch(Socket_.get_executor(),
                 [Self = shared_from_this(), Place,
                  Response = std::move(Response)]() mutable {
                   if (Self->Phase_ == Phase::Closed || Place->Response_)
                     return;
                   Place->Notifier_.reset();
                   Place->Response_ = std::move(Response);
                   Place->RequestBytes_ = 0;
                   // The connection counts the body from here on.
                   Place->Response_->Memory_.reset();
                   Place->ResponseBytes_ = Place->Response_->Body_.capacity();
                   if (!Self->Writing_) {
                     TimePoint Now = std::chrono::steady_clock::now();
                     Self->AnswerProgress_ = {0, 0, Now, Now};
                   }
                   // The request has run, so that it cannot be refused.
                   if (!Self->updateMemory()) {
                     Self->countShed("memory");
                     Self->shutDown();
                     return;
                   }
                   Self->writeNext();
                 });
}

void HttpServerConnection::writeNext() {
  if (Writing_ || Pending_.empty() || !Pending_.front()->Response_)
    return;
  const PendingResponse &Place = *Pending_.front();
  HttpResponse Response = std::move(*Pending_.front()->Response_);
  Closing_ = Place.Close_ || (Draining_ && Pending_.size() == 1);
  LastRequest_ = LastRequest_ || Closing_;
  // The fields belong to the status: they must not be sent with another one.
  if (!isFinalStatus(Response.Status_))
    Response = errorResponse(ErrorCode::MalformedAnswer);
  unsigned Status = Response.Status_;
  Message_.emplace();
  Message_->version(11);
  Message_->result(Status);
  addFields(*Message_, Response.Headers_);
  if (Closing_)
    Message_->set(http::field::connection, "close");
  if (!Place.HeadMethod_ && Status != 204 && Status != 304) {
    Message_->body() = std::move(Response.Body_);
    Message_->content_length(Message_->body().size());
  }
  Writing_ = true;
  WriteDeadline_ = std::chrono::steady_clock::now() + Options_->WriteTimeout_;
  updateDeadline();
  TimePoint Now = std::chrono::steady_clock::now();
  AnswerProgress_ = {0, 0, Now, Now};
  AnswerRate_.begin(Now);
  Serializer_.emplace(*Message_);
  writeSome();
}

void HttpServerConnection::writeSome() {
  http::async_write_some(
      Socket_, *Serializer_,
      [Self = shared_from_this()](boost::system::error_code Error,
                                  std::size_t Size) {
        if (Error || Self->Serializer_->is_done() ||
            Self->Phase_ == Phase::Closed) {
          Self->onWritten(Error);
          return;
        }
        Self->AnswerProgress_.Moved_ += Size;
        Self->AnswerProgress_.LastProgress_ = std::chrono::steady_clock::now();
        // Reports progress; less is held than before, which is never refused.
        Self->updateMemory();
        Self->writeSome();
      });
}

void HttpServerConnection::onWritten(boost::system::error_code Error) {
  Serializer_.reset();
  Message_.reset();
  Writing_ = false;
  WriteDeadline_ = TimePoint::max();
  if (Phase_ == Phase::Closed)
    return;
  if (Error) {
    shutDown();
    return;
  }
  Pending_.pop_front();
  updateMemory();
  if (Closing_) {
    boost::system::error_code Ignored;
    Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
    Buffer_.clear();
    Parser_.reset();
    beginPhase(Phase::Lingering, LingerTime);
    read();
    return;
  }
  if (Phase_ == Phase::Held && Pending_.empty())
    passOn();
  if (Phase_ == Phase::Head && isIdle())
    beginPhase(Phase::Head, idleTimeout());
  else
    updateDeadline();
  writeNext();
  advance();
  read();
}

void HttpServerConnection::checkTimeout(TimePoint Now) {
  if (Now.time_since_epoch().count() < Deadline_) {
    // The deadline of a transfer is set, so that others cost nothing.
    if (Deadline_ != NoDeadline && UnusedState_ == UnusedState::InUse &&
        (Options_->BodyMinRate_ != 0 || Options_->ReadMinRate_ != 0))
      asio::dispatch(Socket_.get_executor(), [Self = shared_from_this()] {
        Self->checkRates(std::chrono::steady_clock::now());
      });
    return;
  }
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this()] {
    auto Current = std::chrono::steady_clock::now();
    if (Current.time_since_epoch().count() >= Self->Deadline_)
      Self->onTimeout(Current);
  });
}

void HttpServerConnection::onTimeout(TimePoint Now) {
  if (Now < WriteDeadline_ && hasBegunRequest())
    refuse(ErrorCode::RequestTimeout);
  else
    shutDown();
}

void HttpServerConnection::drain() {
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this()] {
    Self->Draining_ = true;
    boost::system::error_code Ignored;
    bool Unread = Self->Socket_.available(Ignored) > 0;
    if (Self->Phase_ == Phase::Head && Self->isIdle() && !Unread)
      Self->shutDown();
    else if (Self->Writing_ && Self->Pending_.size() == 1)
      Self->Closing_ = Self->LastRequest_ = true;
  });
}

void HttpServerConnection::close() {
  asio::dispatch(Socket_.get_executor(),
                 [Self = shared_from_this()] { Self->shutDown(); });
}

void HttpServerConnection::shutDown() {
  if (Phase_ == Phase::Closed)
    return;
  beginPhase(Phase::Closed, std::nullopt);
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
  // The rest is released with the connection, once its last write has ended.
  Parser_.reset();
  Request_ = {};
  for (const auto &Place : std::exchange(Pending_, {}))
    if (auto Notifier = std::exchange(Place->Notifier_, nullptr))
      Notifier->disconnected();
}

} // namespace marigold::transport
