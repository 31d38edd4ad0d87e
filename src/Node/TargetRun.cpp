#include "Node/TargetProxyImpl.h"

#include "Admission/TargetLoadReport.h"
#include "Support/Addresses.h"
#include "Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace marigold::node {

using transport::HttpClientFailure;
using transport::HttpClientResult;

namespace {

std::chrono::milliseconds wholeMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value);
}

/// HTTP status of an answer from an instance other than the expected one.
constexpr unsigned MisdirectedRequest = 421;

/// Whether a status tells callers, on platforms where statuses do, that the
/// request has not run: request timeout, misdirected request, too many requests
/// and service unavailable.
bool statusMeansNotRun(unsigned Status) {
  return Status == 408 || Status == MisdirectedRequest || Status == 429 ||
         Status == 503;
}

/// Whether a refusal with this code is caused by load, so that the expected
/// time until capacity is free is of use to the caller.
bool isCapacityRefusal(ErrorCode Code) {
  return Code == ErrorCode::QueueFull || Code == ErrorCode::Shed ||
         Code == ErrorCode::HopelessWait || Code == ErrorCode::TargetCold ||
         Code == ErrorCode::TargetBusy || Code == ErrorCode::TargetRefused;
}

void addField(std::vector<Header> &Headers, const std::string &Name,
              std::string Value) {
  if (!Name.empty() && !Value.empty())
    Headers.push_back({Name, std::move(Value)});
}

/// Error code for a request of which nothing was written to the target.
ErrorCode unsentCode(const HttpClientFailure &Failed,
                     const calls::Deadline &Limit) {
  switch (Failed.Cause_.Code_) {
  case ErrorCode::Cancelled:
    return ErrorCode::CancelledBeforeRun;
  // The target changed while the request waited for a connection.
  case ErrorCode::WrongService:
  case ErrorCode::TargetUnlisted:
  case ErrorCode::Draining:
  case ErrorCode::Evacuated:
  case ErrorCode::TargetCold:
    return Failed.Cause_.Code_;
  default:
    break;
  }
  if (Limit.passed(std::chrono::steady_clock::now()))
    return ErrorCode::DeadlineBeforeRun;
  return ErrorCode::TargetDown;
}

/// Error code for a request that was written and got no complete answer.
ErrorCode sentCode(const HttpClientFailure &Failed) {
  switch (Failed.Cause_.Code_) {
  case ErrorCode::TimedOut:
    return ErrorCode::DeadlineExceeded;
  case ErrorCode::Cancelled:
  case ErrorCode::MalformedAnswer:
  case ErrorCode::AnswerTooLarge:
    return Failed.Cause_.Code_;
  default:
    return ErrorCode::TargetLost;
  }
}

} // namespace

void TargetProxy::Impl::forward(const TargetRunPtr &Run) {
  TimePoint Now = std::chrono::steady_clock::now();
  Duration Remaining = Run->Deadline_.forNextLevel(Now);
  transport::HttpClientRequest Request;
  const CallStart &Start = Run->Start_;
  const HttpHeaderNames &Names = Parts_.HeaderNames_;
  Request.Method_ = Start.Method_;
  Request.Target_ = Start.Path_;
  Request.Host_ = Start.Host_.empty() ? Start.Service_ : Start.Host_;
  Request.Headers_.reserve(Start.Headers_.size() + 4);
  for (const Header &Field : Start.Headers_)
    if (Field.Name_ != Names.Deadline_ && Field.Name_ != Names.Depth_)
      Request.Headers_.push_back(Field);
  addField(Request.Headers_, Names.Deadline_,
           std::to_string(wholeMilliseconds(Remaining).count()));
  addField(Request.Headers_, Names.Depth_, std::to_string(Start.Depth_));
  addField(Request.Headers_, Names.CallerService_, Start.Caller_);
  OwnTarget Own = ownTarget();
  addField(Request.Headers_, Names.ExpectedInstance_, Own.Instance_);
  if (!Names.RequestId_.empty()) {
    Request.EchoField_ = Names.RequestId_;
    Request.EchoValue_ =
        transport::findHeader(Start.Headers_, Names.RequestId_);
  }
  Request.Body_ = Run->Body_;
  Request.Repeatable_ = Run->Repeatable_;
  Request.Deadline_ = Now + Remaining;
  Request.MayWrite_ = [Self = shared_from_this(), Run,
                       Instance = Own.Instance_] {
    return Self->checkBeforeWrite(*Run, Instance);
  };
  Run->Forwarded_ = Now;

  {
    std::lock_guard Lock(Run->Mutex_);
    if (!Run->Cancelled_ && Remaining > Duration::zero()) {
      AdmittedTotal_.fetch_add(1, std::memory_order_relaxed);
      Run->Job_ = Pool_.send(std::move(Request), [Self = shared_from_this(),
                                                  Run](HttpClientResult Value) {
        Self->onResult(Run, std::move(Value));
      });
      return;
    }
  }
  HttpClientFailure Failed;
  Failed.Cause_ = fail(Remaining > Duration::zero() ? ErrorCode::Cancelled
                                                    : ErrorCode::TimedOut);
  // Posted, because this function may be called by apply() at the end of
  // another run.
  boost::asio::post(Parts_.Io_, [Self = shared_from_this(), Run, Failed] {
    Self->onFailure(Run, Failed, Duration::zero());
  });
}

Result<void>
TargetProxy::Impl::checkBeforeWrite(const TargetRun &Run,
                                    const std::string &Instance) const {
  std::lock_guard Lock(Admission_.Mutex_);
  if (auto Code = refusalBy(Admission_.Own_, Run.Start_.Service_))
    return fail(*Code);
  if (Admission_.Own_.Instance_ != Instance)
    return fail(ErrorCode::TargetUnlisted);
  // The start was counted in an earlier window.
  TimePoint Now = std::chrono::steady_clock::now();
  if (Now - Run.Forwarded_ > admission::ColdStartLimiter::MaxSendTime_ &&
      Admission_.Control_.coldStarts().isLimiting(Now))
    return fail(ErrorCode::TargetCold);
  return success();
}

void TargetProxy::Impl::apply(const admission::AdmissionActions &Actions) {
  for (const admission::RefusedTicket &Ticket : Actions.Refuse_)
    if (TargetRunPtr Run = findRun(Ticket.Id_)) {
      {
        std::lock_guard Lock(Keys_.Mutex_);
        Keys_.Suspects_.onNotRun(Run->Fingerprint_);
      }
      refuse(Run, Ticket.Reason_);
    }
  for (std::uint64_t Id : Actions.Start_)
    if (TargetRunPtr Run = findRun(Id))
      forward(Run);
  std::lock_guard Lock(Admission_.Mutex_);
  if (Admission_.Control_.coldStarts().isLimiting(
          std::chrono::steady_clock::now()))
    armExpiry();
}

void TargetProxy::Impl::refuse(const TargetRunPtr &Run, ErrorCode Code) {
  LoadReport Load;
  std::chrono::milliseconds RetryAfter{};
  {
    std::lock_guard Lock(Admission_.Mutex_);
    Admission_.Runs_.erase(Run->Id_);
    Admission_.Transfers_.onEnded(Run->Id_, Run->Start_.Kind_, 0);
    if (Run->Connection_)
      Admission_.Streams_.erase({Run->Connection_.get(), Run->Start_.Stream_});
    Load = Admission_.Control_.load(std::chrono::steady_clock::now());
    if (isCapacityRefusal(Code))
      RetryAfter = Admission_.Control_.retryAfter();
  }
  logRun(*Run, "refused", errorText(Code), Load, Duration::zero());
  if (Run->KeyNumber_) {
    std::lock_guard Lock(Keys_.Mutex_);
    Keys_.Keys_.release(*Run->KeyNumber_, std::chrono::steady_clock::now());
  }
  Parts_.Metrics_.add(Metric::RefusedTotal, 1, errorText(Code));
  sendRefusal(Run, Code, Load, RetryAfter);
}

void TargetProxy::Impl::logRun(const TargetRun &Run, std::string_view Decision,
                               std::string_view Reason, const LoadReport &Load,
                               Duration Latency) {
  TimePoint Now = std::chrono::steady_clock::now();
  if (!LogLimiter_.admits(Decision != "answered", Now))
    return;
  OwnTarget Own = ownTarget();
  Duration Wait =
      (Run.Forwarded_ == TimePoint() ? Now : Run.Forwarded_) - Run.Accepted_;
  logEvent(
      LogLevel::Info, "target_call",
      {{"id", std::string(transport::findHeader(
                  Run.Start_.Headers_, Parts_.HeaderNames_.RequestId_))},
       {"decision", std::string(Decision)},
       {"reason", std::string(Reason)},
       {"service", Own.Service_},
       {"instance", Own.Instance_},
       {"priority", std::string(toText(Run.Start_.Priority_))},
       {"objective_ms",
        std::to_string(wholeMilliseconds(Run.Start_.Objective_).count())},
       {"running", std::to_string(Load.Running_)},
       {"queued", std::to_string(Load.Queued_)},
       {"limit", std::to_string(Load.Limit_)},
       {"expected_wait_ms",
        std::to_string(wholeMilliseconds(Load.ExpectedWait_).count())},
       {"slowdown", std::to_string(Load.Slowdown_)},
       {"wait_ms", std::to_string(wholeMilliseconds(Wait).count())},
       {"latency_ms", std::to_string(wholeMilliseconds(Latency).count())},
       {"remaining_ms",
        std::to_string(wholeMilliseconds(Run.Deadline_.at() - Now).count())},
       {"targets_age_ms",
        std::to_string(
            wholeMilliseconds(Parts_.Environment_.targetsAge(Now)).count())}});
}

void TargetProxy::Impl::onResult(const TargetRunPtr &Run,
                                 HttpClientResult Value) {
  Duration Latency = std::chrono::steady_clock::now() - Run->Forwarded_;
  if (Value.Response_)
    onAnswer(Run, std::move(*Value.Response_), Latency);
  else
    onFailure(Run, *Value.Failure_, Latency);
}

void TargetProxy::Impl::onAnswer(const TargetRunPtr &Run,
                                 transport::HttpResponse Response,
                                 Duration Latency) {
  auto Status = static_cast<std::uint16_t>(Response.Status_);
  if (auto Code = rejectionOf(Response)) {
    if (*Code == ErrorCode::WrongInstance && !reportInstance(Response))
      checkIdentity();
    HttpClientFailure Failed;
    Failed.Cause_ = fail(*Code, "status " + std::to_string(Status));
    // Some codes state that the request did not run; with the others it is
    // unknown whether it did.
    Failed.Written_ = errorOutcome(*Code) == Outcome::Unknown;
    endWithoutAnswer(Run, Failed, *Code, Latency);
    return;
  }
  {
    std::lock_guard Lock(Keys_.Mutex_);
    Keys_.Suspects_.onCompleted(Run->Fingerprint_);
    if (Run->KeyNumber_)
      Keys_.Keys_.complete(*Run->KeyNumber_,
                           {Status, Response.Headers_, Response.Body_},
                           std::chrono::steady_clock::now());
  }
  readTargetLoad(Response, std::chrono::steady_clock::now());
  bool Shed = Status == 503 || Status == 429;
  LoadReport Load = endRun(Run, {Latency, true, Shed}, Response.Body_.size());
  logRun(*Run, Status >= 500 ? "failed" : "answered", std::to_string(Status),
         Load, Latency);
  sendReply(Run, std::move(Response), Load, Latency);
}

void TargetProxy::Impl::readTargetLoad(const transport::HttpResponse &Response,
                                       TimePoint Now) {
  const std::string &Name = Parts_.HeaderNames_.TargetLoad_;
  if (Name.empty())
    return;
  auto Report = admission::parseTargetLoad(
      transport::findHeader(Response.Headers_, Name));
  if (!Report || Report->Slowdown_ == 0)
    return;
  LoadReport Load;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    Admission_.Control_.onSlowdown(Report->Slowdown_, Now);
    Load = Admission_.Control_.load(Now);
  }
  Parts_.Metrics_.set(Metric::TargetSlowdownPercent, Report->Slowdown_);
  Parts_.Metrics_.set(Metric::ExpectedWaitMs,
                      wholeMilliseconds(Duration(Load.ExpectedWait_)).count());
}

void TargetProxy::Impl::onFailure(const TargetRunPtr &Run,
                                  const HttpClientFailure &Failed,
                                  Duration Latency) {
  ErrorCode Code =
      Failed.Written_ ? sentCode(Failed) : unsentCode(Failed, Run->Deadline_);
  if (Failed.Written_ && Code == ErrorCode::TargetLost)
    beginCrashCheck(Run);
  endWithoutAnswer(Run, Failed, Code, Latency);
}

std::optional<ErrorCode>
TargetProxy::Impl::rejectionOf(const transport::HttpResponse &Response) const {
  const HttpHeaderNames &Names = Parts_.HeaderNames_;
  if (!Names.ExpectedInstance_.empty() &&
      Response.Status_ == MisdirectedRequest)
    return ErrorCode::WrongInstance;
  auto Has = [&](const std::string &Name) {
    return std::any_of(
        Response.Headers_.begin(), Response.Headers_.end(),
        [&](const Header &Field) { return Field.Name_ == Name; });
  };
  if (!Names.NotRun_.empty() && Has(Names.NotRun_))
    return ErrorCode::TargetRefused;
  if (Names.StatusMeansNotRun_ && statusMeansNotRun(Response.Status_))
    return ErrorCode::MalformedAnswer;
  bool Success = Response.Status_ >= 200 && Response.Status_ < 300;
  if (Success && !Names.Signature_.empty() && !Has(Names.Signature_))
    return ErrorCode::MalformedAnswer;
  return std::nullopt;
}

void TargetProxy::Impl::endWithoutAnswer(const TargetRunPtr &Run,
                                         const HttpClientFailure &Failed,
                                         ErrorCode Code, Duration Latency) {
  TimePoint Now = std::chrono::steady_clock::now();
  {
    std::lock_guard Lock(Keys_.Mutex_);
    if (!Failed.Written_)
      Keys_.Suspects_.onNotRun(Run->Fingerprint_);
    if (Run->KeyNumber_ && Failed.Written_)
      Keys_.Keys_.abandon(*Run->KeyNumber_, Code, Now);
    else if (Run->KeyNumber_)
      Keys_.Keys_.release(*Run->KeyNumber_, Now);
  }
  if (!Failed.Written_ && Code == ErrorCode::TargetDown)
    onConnectFailed();
  admission::RunSample Sample;
  Sample.Latency_ = Latency;
  Sample.Overloaded_ = Code == ErrorCode::DeadlineExceeded;
  Sample.Measured_ = Sample.Overloaded_;
  LoadReport Load = endRun(Run, Sample, 0);
  logRun(*Run, "failed", errorText(Code), Load, Latency);
  Parts_.Metrics_.add(Metric::RefusedTotal, 1, errorText(Code));
  sendRefusal(Run, Code, Load, {});
}

LoadReport TargetProxy::Impl::endRun(const TargetRunPtr &Run,
                                     const admission::RunSample &Sample,
                                     std::size_t AnswerBytes) {
  admission::AdmissionActions Actions;
  LoadReport Load;
  bool Draining = false;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    Admission_.Runs_.erase(Run->Id_);
    Admission_.Transfers_.onEnded(Run->Id_, Run->Start_.Kind_, AnswerBytes);
    if (Run->Connection_)
      Admission_.Streams_.erase({Run->Connection_.get(), Run->Start_.Stream_});
    if (CrashCheck_ && Sample.Measured_)
      CrashCheck_->Fingerprints_.erase(Run->Id_);
    TimePoint Now = std::chrono::steady_clock::now();
    Actions = Admission_.Control_.finish(Run->Id_, Sample, Now);
    Load = Admission_.Control_.load(Now);
    Draining = Admission_.Control_.draining();
  }
  apply(Actions);
  if (Draining)
    updateDrain();
  return Load;
}

void TargetProxy::Impl::sendReply(const TargetRunPtr &Run,
                                  transport::HttpResponse Response,
                                  const LoadReport &Load, Duration Latency) {
  ReplyStart Start;
  Start.Status_ = static_cast<std::uint16_t>(Response.Status_);
  Start.Headers_ = std::move(Response.Headers_);
  ReplyEnd End;
  End.Load_ = Load;
  End.ServiceTime_ =
      std::chrono::duration_cast<std::chrono::microseconds>(Latency);
  if (Run->Connection_) {
    Run->Connection_->reply(Run->Start_.Stream_, std::move(Start),
                            transport::shareBody(std::move(Response.Body_),
                                                 std::move(Response.Memory_)),
                            End);
    return;
  }
  Start.BodySize_ = Response.Body_.size();
  boost::asio::post(Parts_.Io_,
                    [Run, Reply = transport::PeerReply{
                              std::move(Start), std::move(Response.Body_), End,
                              std::move(Response.Memory_)}]() mutable {
                      if (auto Done = std::exchange(Run->Local_, nullptr))
                        Done(std::move(Reply));
                    });
}

void TargetProxy::Impl::sendRefusal(const TargetRunPtr &Run, ErrorCode Code,
                                    const LoadReport &Load,
                                    std::chrono::milliseconds RetryAfter) {
  CallRefused Refusal{Run->Start_.Stream_, static_cast<std::uint16_t>(Code),
                      Load, RetryAfter};
  if (Run->Connection_) {
    Run->Connection_->refuse(Refusal);
    return;
  }
  boost::asio::post(Parts_.Io_, [Run, Refusal] {
    if (auto Done = std::exchange(Run->Local_, nullptr))
      Done(Refusal);
  });
}

} // namespace marigold::node
