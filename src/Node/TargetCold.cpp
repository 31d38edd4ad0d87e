// Whether the target is cold, and the health checks that tell it.

#include "Node/TargetProxyImpl.h"

#include "Support/Addresses.h"
#include "Support/Log.h"

namespace marigold::node {
namespace {

/// Timeout of a health check, which waits for a slot of the target like any
/// other request.
constexpr auto HealthTimeout = std::chrono::milliseconds(500);
/// Longest cold time that a target can report, in milliseconds. A longer one is
/// not believed, so that the cold time of the service counts.
constexpr std::uint64_t MaxColdMs = 600'000;

std::string millisecondsText(Duration Value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

/// Returns for how long the target stays cold, or nothing if the answer does
/// not tell. Only a target that took the check is warm without saying so; a
/// refusal may come from one that is starting or full.
std::optional<Duration> readColdLeft(const transport::HttpResponse &Answer,
                                     const HttpHeaderNames &Names) {
  // An answer without the instance is not one to a health check.
  if (!Names.AnsweringInstance_.empty() &&
      transport::findHeader(Answer.Headers_, Names.AnsweringInstance_).empty())
    return std::nullopt;
  std::string_view Given;
  if (!Names.ColdLeft_.empty())
    Given = transport::findHeader(Answer.Headers_, Names.ColdLeft_);
  if (Given.empty())
    return Answer.Status_ >= 200 && Answer.Status_ < 300
               ? std::optional(Duration::zero())
               : std::nullopt;
  auto Milliseconds = parseNumber(Given, MaxColdMs);
  if (!Milliseconds)
    return std::nullopt;
  return std::chrono::milliseconds(Milliseconds.value());
}

} // namespace

void TargetProxy::Impl::configureColdStarts(const ServiceConfig &Service) {
  admission::ColdStartSettings Values;
  Values.ColdTime_ = Service.ColdTime_;
  Values.Rate_ = Parts_.Settings_.ColdExcess_ > 0 ? Service.ColdRate_ : 0;
  Values.Excess_ = Parts_.Settings_.ColdExcess_;
  Values.Slack_ = Parts_.Settings_.ColdSlack_;
  Admission_.Control_.coldStarts().configure(Values);
  bool Checked = Values.Rate_ != 0;
  bool Begins = Checked && Admission_.HealthPath_.empty();
  Admission_.HealthPath_ = Checked ? Service.HealthPath_ : std::string();
  if (Begins)
    armHealthCheck();
}

void TargetProxy::Impl::assumeCold(std::string_view Cause, TimePoint Now) {
  admission::ColdStartLimiter &ColdStarts = Admission_.Control_.coldStarts();
  ColdStarts.onTargetStarted(Now);
  if (ColdStarts.isCold(Now))
    logEvent(LogLevel::Info, "target_cold",
             {{"cause", std::string(Cause)},
              {"rate", std::to_string(ColdStarts.rate(Now))}});
}

void TargetProxy::Impl::armHealthCheck() {
  if (Stopped_ || Admission_.HealthPath_.empty())
    return;
  HealthTimer_.expires_after(Parts_.Settings_.HealthInterval_);
  HealthTimer_.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Error) {
        auto Self = Weak.lock();
        if (!Error && Self)
          Self->checkHealth();
      });
}

void TargetProxy::Impl::checkHealth() {
  transport::HttpClientRequest Request;
  TimePoint Asked = std::chrono::steady_clock::now();
  {
    std::lock_guard Lock(Admission_.Mutex_);
    if (Stopped_ || Admission_.HealthPath_.empty())
      return;
    // The timer also repeats a check that could not be made.
    armHealthCheck();
    if (Admission_.HealthCheckPending_ || !Admission_.Monitor_.isUp() ||
        refusalBy(Admission_.Own_, Admission_.Own_.Service_))
      return;
    Admission_.HealthCheckPending_ = true;
    Request.Target_ = Admission_.HealthPath_;
    // A check that waited for a start would never be made under load, and the
    // target would stay cold in the belief of this node.
    Admission_.Control_.coldStarts().onStart(Asked);
  }
  Request.Method_ = "GET";
  Request.Host_ = toText(Parts_.Settings_.TargetAddress_);
  Request.Repeatable_ = true;
  Request.Deadline_ = Asked + HealthTimeout;
  // Called while the pool ends its requests too, when this object may be gone.
  Request.MayWrite_ = [Weak = weak_from_this()]() -> Result<void> {
    auto Self = Weak.lock();
    if (!Self)
      return fail(ErrorCode::Cancelled);
    std::lock_guard Lock(Self->Admission_.Mutex_);
    const OwnTarget &Own = Self->Admission_.Own_;
    if (auto Code = refusalBy(Own, Own.Service_))
      return fail(*Code);
    return success();
  };
  Pool_.send(std::move(Request), [Weak = weak_from_this(), Asked](
                                     const transport::HttpClientResult &Value) {
    if (auto Self = Weak.lock())
      Self->onHealthAnswer(Value, Asked);
  });
}

void TargetProxy::Impl::onHealthAnswer(const transport::HttpClientResult &Value,
                                       TimePoint Asked) {
  TimePoint Now = std::chrono::steady_clock::now();
  std::optional<Duration> ColdLeft;
  if (Value.Response_)
    ColdLeft = readColdLeft(*Value.Response_, Parts_.HeaderNames_);
  if (ColdLeft)
    readTargetLoad(*Value.Response_, Now);
  Parts_.Metrics_.add(Metric::HealthChecksTotal, 1,
                      ColdLeft ? "answered" : "failed");
  admission::AdmissionActions Actions;
  bool WasCold = false;
  bool IsCold = false;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    Admission_.HealthCheckPending_ = false;
    if (!ColdLeft)
      return;
    admission::ColdStartLimiter &ColdStarts = Admission_.Control_.coldStarts();
    WasCold = ColdStarts.isCold(Now);
    ColdStarts.onHealthAnswer(*ColdLeft, Asked, Now);
    IsCold = ColdStarts.isCold(Now);
    // Requests that waited because the target counted as cold start now.
    Actions = Admission_.Control_.expire(Now);
  }
  if (WasCold != IsCold)
    logEvent(LogLevel::Info, IsCold ? "target_cold" : "target_warm",
             {{"cause", "health"},
              {"left_ms", millisecondsText(*ColdLeft)},
              {"age_ms", millisecondsText(Now - Asked)}});
  apply(Actions);
}

} // namespace marigold::node
