#include "Node/TargetSideImpl.h"

#include "Support/Addresses.h"

#include <boost/asio/post.hpp>

namespace marigold::node {

using transport::HttpClientFailure;
using transport::HttpClientResult;

namespace {

std::chrono::milliseconds wholeMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value);
}

bool isOwnField(const Header &Field) {
  return Field.Name_ == "x-marigold-deadline-ms" ||
         Field.Name_ == "x-marigold-depth";
}

/// Code of a request of which nothing was written.
ErrorCode unsentCode(const HttpClientFailure &Failed,
                     const calls::Deadline &Limit) {
  if (Failed.Why_.Code_ == ErrorCode::Cancelled)
    return ErrorCode::CancelledBeforeRun;
  if (Limit.passed(std::chrono::steady_clock::now()))
    return ErrorCode::DeadlineBeforeRun;
  return ErrorCode::TargetDown;
}

/// Code of a request that was written and has no complete answer.
ErrorCode sentCode(const HttpClientFailure &Failed) {
  switch (Failed.Why_.Code_) {
  case ErrorCode::TimedOut:
    return ErrorCode::DeadlineExceeded;
  case ErrorCode::Cancelled:
  case ErrorCode::MalformedAnswer:
  case ErrorCode::AnswerTooLarge:
    return Failed.Why_.Code_;
  default:
    return ErrorCode::TargetLost;
  }
}

} // namespace

void TargetSide::Impl::forward(const TargetRunPtr &Run) {
  TimePoint Now = std::chrono::steady_clock::now();
  Duration Remaining = Run->Deadline_.forNextLevel(Now);
  transport::HttpClientRequest Request;
  const CallStart &Start = Run->Start_;
  Request.Method_ = Start.Method_;
  Request.Target_ = Start.Path_;
  Request.Host_ = Start.Service_;
  Request.Headers_.reserve(Start.Headers_.size() + 2);
  for (const Header &Field : Start.Headers_)
    if (!isOwnField(Field))
      Request.Headers_.push_back(Field);
  Request.Headers_.push_back(
      {"x-marigold-deadline-ms",
       std::to_string(wholeMilliseconds(Remaining).count())});
  Request.Headers_.push_back(
      {"x-marigold-depth", std::to_string(Start.Depth_)});
  if (Run->Body_)
    Request.Body_ = *Run->Body_;
  Request.Repeatable_ = Run->Repeatable_;
  Request.Deadline_ = Now + Remaining;
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
  Failed.Why_ = fail(Remaining > Duration::zero() ? ErrorCode::Cancelled
                                                  : ErrorCode::TimedOut);
  // Posted, because this function may run inside apply of another run's end.
  boost::asio::post(Parts_.Io_, [Self = shared_from_this(), Run, Failed] {
    Self->onFailure(Run, Failed, Duration::zero());
  });
}

void TargetSide::Impl::apply(const admission::AdmissionActions &Actions) {
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
}

void TargetSide::Impl::refuse(const TargetRunPtr &Run, ErrorCode Code) {
  LoadReport Load;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    Admission_.Runs_.erase(Run->Id_);
    if (Run->Connection_)
      Admission_.Streams_.erase({Run->Connection_.get(), Run->Start_.Stream_});
    Load = Admission_.Control_.load();
  }
  if (Run->KeyNumber_) {
    std::lock_guard Lock(Keys_.Mutex_);
    Keys_.Keys_.release(*Run->KeyNumber_, std::chrono::steady_clock::now());
  }
  Parts_.Metrics_.add(Metric::RefusedTotal, 1, errorText(Code));
  sendRefusal(Run, Code, Load);
}

void TargetSide::Impl::onResult(const TargetRunPtr &Run,
                                HttpClientResult Value) {
  Duration Latency = std::chrono::steady_clock::now() - Run->Forwarded_;
  if (Value.Response_)
    onAnswer(Run, std::move(*Value.Response_), Latency);
  else
    onFailure(Run, *Value.Failure_, Latency);
}

void TargetSide::Impl::onAnswer(const TargetRunPtr &Run,
                                transport::HttpResponse Response,
                                Duration Latency) {
  auto Status = static_cast<std::uint16_t>(Response.Status_);
  {
    std::lock_guard Lock(Keys_.Mutex_);
    Keys_.Suspects_.onCompleted(Run->Fingerprint_);
    if (Run->KeyNumber_)
      Keys_.Keys_.complete(*Run->KeyNumber_,
                           {Status, Response.Headers_, Response.Body_},
                           std::chrono::steady_clock::now());
  }
  bool Shed = Status == 503 || Status == 429;
  LoadReport Load = endRun(Run, {Latency, true, Shed});
  sendReply(Run, Status, std::move(Response.Headers_),
            std::move(Response.Body_), Load, Latency);
}

void TargetSide::Impl::onFailure(const TargetRunPtr &Run,
                                 const HttpClientFailure &Failed,
                                 Duration Latency) {
  TimePoint Now = std::chrono::steady_clock::now();
  ErrorCode Code =
      Failed.Written_ ? sentCode(Failed) : unsentCode(Failed, Run->Deadline_);
  if (Failed.Written_ && Code == ErrorCode::TargetLost)
    beginCrashCheck(Run);
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
  LoadReport Load = endRun(Run, Sample);
  Parts_.Metrics_.add(Metric::RefusedTotal, 1, errorText(Code));
  sendRefusal(Run, Code, Load);
}

LoadReport TargetSide::Impl::endRun(const TargetRunPtr &Run,
                                    const admission::RunSample &Sample) {
  admission::AdmissionActions Actions;
  LoadReport Load;
  bool Draining = false;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    Admission_.Runs_.erase(Run->Id_);
    if (Run->Connection_)
      Admission_.Streams_.erase({Run->Connection_.get(), Run->Start_.Stream_});
    if (CrashCheck_ && Sample.Measured_)
      CrashCheck_->Fingerprints_.erase(Run->Id_);
    Actions = Admission_.Control_.finish(Run->Id_, Sample,
                                         std::chrono::steady_clock::now());
    Load = Admission_.Control_.load();
    Draining = Admission_.Control_.draining();
  }
  apply(Actions);
  if (Draining)
    updateDrain();
  return Load;
}

void TargetSide::Impl::sendReply(const TargetRunPtr &Run, std::uint16_t Status,
                                 std::vector<Header> Headers, std::string Body,
                                 const LoadReport &Load, Duration Latency) {
  ReplyStart Start;
  Start.Status_ = Status;
  Start.Headers_ = std::move(Headers);
  ReplyEnd End;
  End.Load_ = Load;
  End.ServiceTime_ =
      std::chrono::duration_cast<std::chrono::microseconds>(Latency);
  if (Run->Connection_) {
    Run->Connection_->reply(Run->Start_.Stream_, std::move(Start),
                            std::move(Body), End);
    return;
  }
  Start.BodySize_ = Body.size();
  boost::asio::post(
      Parts_.Io_, [Run, Reply = transport::PeerReply{
                            std::move(Start), std::move(Body), End}]() mutable {
        if (auto Done = std::exchange(Run->Local_, nullptr))
          Done(std::move(Reply));
      });
}

void TargetSide::Impl::sendRefusal(const TargetRunPtr &Run, ErrorCode Code,
                                   const LoadReport &Load) {
  CallRefused Refusal{Run->Start_.Stream_, static_cast<std::uint16_t>(Code),
                      Load};
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
