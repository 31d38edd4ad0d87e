#include "StandIns/LoadReport.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace marigold::standins {
namespace {

std::string field(const HttpResponse &Response, const char *Name) {
  auto Value = Response[Name];
  return {Value.data(), Value.size()};
}

/// True if the x-request-id field or the body contains the id of another
/// request.
bool isCrossed(const HttpResponse &Response, std::string_view Id) {
  std::string Echo = field(Response, "x-request-id");
  const std::string &Body = Response.body();
  bool NamesOther = Body.starts_with("id=") &&
                    Body.find('\n') != std::string::npos &&
                    !Body.starts_with("id=" + std::string(Id) + "\n");
  return (!Echo.empty() && Echo != Id) || NamesOther;
}

/// True if the body starts and ends like a body of the simulated target and has
/// the length given in x-body-length, if any.
bool isCompleteBody(const HttpResponse &Response, std::string_view Id) {
  std::string Announced = field(Response, "x-body-length");
  const std::string &Body = Response.body();
  bool SameLength =
      Announced.empty() || Announced == std::to_string(Body.size());
  return SameLength && Body.starts_with("id=" + std::string(Id) + "\n") &&
         Body.ends_with("\nend\n");
}

AttemptResult classifyDirect(const HttpResponse &Response) {
  AttemptResult Result;
  unsigned Status = Response.result_int();
  if (Status == 200)
    Result.Outcome_ = Outcome::Ok;
  else if (!field(Response, "x-marigold-not-run").empty())
    Result.Outcome_ = Outcome::NotRun;
  Result.Reason_ = Status == 200 ? "" : "status-" + std::to_string(Status);
  return Result;
}

AttemptResult classifyThroughNode(const HttpResponse &Response) {
  AttemptResult Result;
  Result.Reason_ = field(Response, "x-marigold-reason");
  std::string Text = field(Response, "x-marigold-outcome");
  for (Outcome Candidate : {Outcome::Ok, Outcome::NotRun, Outcome::Unknown}) {
    if (Text != outcomeText(Candidate))
      continue;
    Result.Outcome_ = Candidate;
    return Result;
  }
  Result.Reason_ = "no-outcome-header";
  return Result;
}

double quantile(const std::vector<Duration> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  auto Rank =
      static_cast<std::size_t>(Fraction * static_cast<double>(Sorted.size()));
  Duration Value = Sorted[std::min(Rank, Sorted.size() - 1)];
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace

AttemptResult classifyExchange(const ExchangeResult &Exchange,
                               std::string_view Id, bool Direct) {
  switch (Exchange.End_) {
  case ExchangeEnd::NotSent:
    return {.Outcome_ = Outcome::NotRun,
            .Unsent_ = true,
            .Reason_ = "no-connection"};
  case ExchangeEnd::NoAnswer:
    return {.Reason_ = "no-answer"};
  case ExchangeEnd::Interrupted:
    return {.Reason_ = "interrupted-answer"};
  case ExchangeEnd::Answered:
    break;
  }
  const HttpResponse &Response = Exchange.Response_;
  AttemptResult Result =
      Direct ? classifyDirect(Response) : classifyThroughNode(Response);
  if (Result.Outcome_ != Outcome::Ok)
    return Result;
  Result.Crossed_ = isCrossed(Response, Id);
  Result.Lost_ = !Result.Crossed_ && !isCompleteBody(Response, Id);
  return Result;
}

void LoadReport::add(const FinishedCall &Call) {
  Entries_.push_back(Call.Entry_);
  ++Outcomes_[Call.Entry_.Outcome_];
  if (!Call.Last_.Reason_.empty())
    ++Reasons_[Call.Last_.Reason_];
  if (Call.Entry_.Attempts_ > 1)
    Resends_ += Call.Entry_.Attempts_ - 1;
  Crossed_ += Call.Last_.Crossed_ ? 1 : 0;
  Lost_ += Call.Last_.Lost_ ? 1 : 0;
  if (!Call.Measured_)
    return;
  ++Measured_;
  if (Call.Entry_.Outcome_ == Outcome::Ok)
    Latencies_[Call.Entry_.Kind_].push_back(Call.Latency_);
}

void LoadReport::addStartDelay(Duration Delay) {
  StartDelay_ = std::max(StartDelay_, Delay);
}

std::string LoadReport::text() const {
  auto Count = [&](Outcome Value) {
    auto Position = Outcomes_.find(Value);
    return Position == Outcomes_.end() ? 0 : Position->second;
  };
  auto Sorted = [&](CallKind Kind) {
    auto Position = Latencies_.find(Kind);
    std::vector<Duration> Samples;
    if (Position != Latencies_.end())
      Samples = Position->second;
    std::sort(Samples.begin(), Samples.end());
    return Samples;
  };
  std::vector<Duration> Calls = Sorted(CallKind::Call);
  std::vector<Duration> Bookings = Sorted(CallKind::Booking);
  double Seconds = std::chrono::duration<double>(Window_).count();
  std::size_t MeasuredOk = Calls.size() + Bookings.size();
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(3);
  Out << "calls=" << Entries_.size() << "\ncalls_ok=" << Count(Outcome::Ok)
      << "\ncalls_not_run=" << Count(Outcome::NotRun)
      << "\ncalls_unknown=" << Count(Outcome::Unknown)
      << "\nmeasured=" << Measured_ << "\nmeasured_ok=" << MeasuredOk
      << "\ngoodput_per_s="
      << (Seconds > 0 ? static_cast<double>(MeasuredOk) / Seconds : 0)
      << "\np50_ms=" << quantile(Calls, 0.5)
      << "\np99_ms=" << quantile(Calls, 0.99)
      << "\np999_ms=" << quantile(Calls, 0.999)
      << "\nbooking_p50_ms=" << quantile(Bookings, 0.5)
      << "\nbooking_p99_ms=" << quantile(Bookings, 0.99)
      << "\ncrossed=" << Crossed_ << "\nlost_answers=" << Lost_
      << "\nresends=" << Resends_ << "\nkey_failures=" << KeyFailures_
      << "\nstart_delay_max_ms="
      << std::chrono::duration<double, std::milli>(StartDelay_).count() << '\n';
  for (const auto &[Reason, Number] : Reasons_)
    Out << "reason." << Reason << '=' << Number << '\n';
  return Out.str();
}

std::string LoadReport::ledger() const {
  std::string Text;
  for (const CallerEntry &Entry : Entries_)
    Text += toText(Entry) + '\n';
  return Text;
}

} // namespace marigold::standins
