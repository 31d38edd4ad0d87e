// Which of several entries of the platform's list names the target. Anyone who
// writes to the list can name this host; only the target knows its instance.

#include "Node/TargetProxyImpl.h"

#include "Support/Addresses.h"
#include "Support/Log.h"

#include <utility>

namespace marigold::node {
namespace {

/// Timeout of a check, which waits for a slot of the target like any other
/// request.
constexpr auto IdentityTimeout = std::chrono::milliseconds(500);
/// Longest name of an instance that is believed. It is the rest of a key of the
/// store, which has at most 200 bytes.
constexpr std::size_t MaxInstanceBytes = 200;

} // namespace

void TargetProxy::Impl::checkIdentity() {
  auto Current = Parts_.Environment_.snapshot();
  transport::HttpClientRequest Request;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    const OwnTarget &Own = Admission_.Own_;
    if (Stopped_ || Own.Contested_ == 0 || Admission_.IdentityCheckPending_ ||
        !Admission_.Monitor_.isUp() ||
        Parts_.HeaderNames_.AnsweringInstance_.empty())
      return;
    const ServiceConfig *Service =
        Current ? Current->findService(Own.ConfiguredService_) : nullptr;
    if (!Service || Service->HealthPath_.empty()) {
      // A later configuration may have the path.
      armIdentityCheck();
      return;
    }
    Admission_.IdentityCheckPending_ = true;
    Request.Target_ = Service->HealthPath_;
  }
  Request.Method_ = "GET";
  Request.Host_ = toText(Parts_.Settings_.TargetAddress_);
  Request.Repeatable_ = true;
  Request.Deadline_ = std::chrono::steady_clock::now() + IdentityTimeout;
  Pool_.send(std::move(Request), [Weak = weak_from_this()](
                                     const transport::HttpClientResult &Value) {
    if (auto Self = Weak.lock())
      Self->onIdentityAnswer(Value);
  });
}

void TargetProxy::Impl::armIdentityCheck() {
  IdentityTimer_.expires_after(Parts_.Settings_.HealthInterval_);
  IdentityTimer_.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Error) {
        auto Self = Weak.lock();
        if (!Error && Self)
          Self->checkIdentity();
      });
}

void TargetProxy::Impl::onIdentityAnswer(
    const transport::HttpClientResult &Value) {
  {
    std::lock_guard Lock(Admission_.Mutex_);
    Admission_.IdentityCheckPending_ = false;
  }
  if (Value.Response_ && reportInstance(*Value.Response_))
    return;
  std::lock_guard Lock(Admission_.Mutex_);
  if (!Stopped_)
    armIdentityCheck();
}

bool TargetProxy::Impl::reportInstance(
    const transport::HttpResponse &Response) {
  const std::string &Name = Parts_.HeaderNames_.AnsweringInstance_;
  std::string_view Instance =
      Name.empty() ? std::string_view()
                   : transport::findHeader(Response.Headers_, Name);
  if (Instance.empty() || Instance.size() > MaxInstanceBytes)
    return false;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    if (std::exchange(Admission_.AnsweringInstance_, Instance) == Instance)
      return true;
  }
  logEvent(LogLevel::Info, "target_identified",
           {{"instance", std::string(Instance)}});
  Parts_.Environment_.targetAnswered(std::string(Instance));
  return true;
}

} // namespace marigold::node
