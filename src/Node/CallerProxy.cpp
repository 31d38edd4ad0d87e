#include "Node/CallerProxy.h"

#include "Node/CallInterface.h"
#include "Node/CallerCall.h"
#include "Node/CallerKeys.h"

#include "Config/Limits.h"
#include "Config/Snapshot.h"
#include "Support/Log.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <mutex>

namespace marigold::node {

using transport::HttpExchange;
using transport::HttpRequest;

namespace {

// Body limit of a request that will be refused anyway. The body is read so that
// the caller gets the specific reason.
constexpr std::uint64_t DefaultBodyLimit = std::size_t{64} * 1024;

// Descriptors for the process itself, peers, targets and the configuration
// source, at most half of all.
constexpr std::uint64_t ReservedDescriptors = 1024;

/// Descriptors that the process may use: the setting, or the limit of the
/// process if it is zero.
std::uint64_t maxDescriptors(std::uint64_t Setting) {
  rlimit Limit{};
  if (Setting != 0 || getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return Setting != 0 ? Setting : std::numeric_limits<std::uint64_t>::max();
  return Limit.rlim_cur;
}

/// Logs at most one shed connection per second; the others are counted in its
/// next line.
class ShedLog {
public:
  void log(std::string_view Reason, TimePoint Now) {
    std::lock_guard Lock(Mutex_);
    ++Count_;
    if (Now < Next_)
      return;
    Next_ = Now + std::chrono::seconds(1);
    logEvent(LogLevel::Warning, "connection_shed",
             {{"reason", std::string(Reason)},
              {"count", std::to_string(std::exchange(Count_, 0))}});
  }

private:
  std::mutex Mutex_;
  TimePoint Next_{};
  std::uint64_t Count_ = 0;
};

} // namespace

class CallerProxy::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(CallerProxyParts Parts, std::uint64_t Seed)
      : Context_(std::make_shared<CallerContext>(Parts, Seed)),
        Server_(Parts.Io_, options(Context_)) {}

  static transport::HttpServerOptions
  options(const std::shared_ptr<CallerContext> &Context) {
    transport::HttpServerOptions Values;
    Values.OnRequest_ = [Context](HttpRequest Request,
                                  std::shared_ptr<HttpExchange> Exchange) {
      onRequest(Context, std::move(Request), std::move(Exchange));
    };
    Values.IsRepeatable_ = [Context](const HttpRequest &Line) {
      return isRepeatable(*Context, Line);
    };
    Values.BodyLimit_ = [Context](const HttpRequest &Head) {
      return bodyLimit(*Context, Head);
    };
    Values.ClientLimits_ = [Context] {
      auto Snapshot = Context->Parts_.Environment_.snapshot();
      return Snapshot ? Snapshot->limits() : ClientLimits{};
    };
    Values.OnRefused_ = [Context](ErrorCode Code) {
      MetricsRegistry &Metrics = Context->Parts_.Metrics_;
      Metrics.add(Metric::CallsTotal, 1, "none",
                  outcomeText(errorOutcome(Code)));
      Metrics.add(Metric::CallErrorsTotal, 1, "none", errorText(Code));
    };
    setResourceLimits(Values, Context);
    return Values;
  }

  /// Derives the limits of memory, connections and rates from the settings.
  static void setResourceLimits(transport::HttpServerOptions &Values,
                                const std::shared_ptr<CallerContext> &Context) {
    const NodeSettings &Settings = Context->Parts_.Settings_;
    MetricsRegistry &Metrics = Context->Parts_.Metrics_;
    Values.Memory_ = Context->Parts_.Memory_;
    std::uint64_t Descriptors = maxDescriptors(Settings.MaxDescriptors_);
    Values.Connections_ = std::clamp<std::uint64_t>(
        Descriptors - std::min(Descriptors / 2, ReservedDescriptors), 1,
        Values.Connections_);
    Values.BodyMinRate_ = Settings.BodyMinRate_;
    Values.ReadMinRate_ = Settings.ReadMinRate_;
    Values.OnShed_ = [&Metrics, Limiter = std::make_shared<ShedLog>()](
                         std::string_view Reason) {
      Metrics.add(Metric::ConnectionsShedTotal, 1, Reason);
      Limiter->log(Reason, std::chrono::steady_clock::now());
    };
    Values.OnHeld_ = [&Metrics, Memory = Values.Memory_](std::uint64_t Bytes) {
      std::uint64_t Calls = Memory->reserved(transport::MemoryUse::Calls);
      std::uint64_t Answers = Memory->reserved(transport::MemoryUse::Answers);
      auto Report = [&](std::uint64_t Value, std::string_view Holder) {
        Metrics.set(Metric::HeldBytes, static_cast<std::int64_t>(Value),
                    Holder);
      };
      Report(Bytes - std::min(Bytes, Calls + Answers), "callers");
      Report(Calls, "calls");
      Report(Answers, "answers");
    };
  }

  static void onRequest(const std::shared_ptr<CallerContext> &Context,
                        HttpRequest Request,
                        std::shared_ptr<HttpExchange> Exchange) {
    auto Snapshot = Context->Parts_.Environment_.snapshot();
    if (interfaceOf(Request, Context->Parts_.HeaderNames_, Snapshot.get()) ==
        CallInterface::Reserved) {
      handleReservedPath(Context, Request, std::move(Exchange));
      return;
    }
    std::make_shared<CallerCall>(Context, std::move(Request),
                                 std::move(Exchange))
        ->start();
  }

  static bool isRepeatable(const CallerContext &Context,
                           const HttpRequest &Line) {
    auto Snapshot = Context.Parts_.Environment_.snapshot();
    if (!Snapshot)
      return false;
    switch (interfaceOf(Line, Context.Parts_.HeaderNames_, Snapshot.get())) {
    case CallInterface::VirtualHost: {
      const VirtualHost *Host = Snapshot->findHost(Line.Host_);
      const HostRoute *Route =
          Host ? config::Snapshot::matchHostRoute(*Host, Line.Target_)
               : nullptr;
      return Route && Route->Repeatable_;
    }
    case CallInterface::Service: {
      auto Route = Snapshot->matchRoute(Line.Host_, Line.Method_, Line.Target_);
      return Route && Route.value()->Repeatable_;
    }
    case CallInterface::Reserved:
      break;
    }
    return false;
  }

  static std::uint64_t bodyLimit(const CallerContext &Context,
                                 const HttpRequest &Head) {
    const HttpHeaderNames &Names = Context.Parts_.HeaderNames_;
    // Only the key's owner may refuse a keyed request, whatever its size.
    if (!Names.Key_.empty() &&
        !transport::findHeader(Head.Headers_, Names.Key_).empty())
      return config::MaxBodyLimit;
    auto Snapshot = Context.Parts_.Environment_.snapshot();
    if (!Snapshot)
      return DefaultBodyLimit;
    if (interfaceOf(Head, Names, Snapshot.get()) ==
        CallInterface::VirtualHost) {
      std::uint64_t Limit = Snapshot->limits().BodyBytes_;
      return Limit == 0 ? config::MaxBodyLimit
                        : std::min(Limit, config::MaxBodyLimit);
    }
    auto Route = Snapshot->matchRoute(Head.Host_, Head.Method_, Head.Target_);
    return Route ? Route.value()->MaxBody_ : DefaultBodyLimit;
  }

  std::shared_ptr<CallerContext> Context_;
  transport::HttpServer Server_;
};

CallerProxy::CallerProxy(CallerProxyParts Parts, std::uint64_t Seed)
    : Impl_(std::make_shared<Impl>(Parts, Seed)) {}

CallerProxy::~CallerProxy() { stop(); }

Result<void> CallerProxy::listen(const Address &Local) {
  return Impl_->Server_.listen(Local);
}

std::uint16_t CallerProxy::port() const { return Impl_->Server_.port(); }

std::size_t CallerProxy::openCallCount() const {
  return Impl_->Context_->countOpen();
}

void CallerProxy::beginDrain() { Impl_->Server_.beginDrain(); }

void CallerProxy::drain() { Impl_->Server_.drain(); }

void CallerProxy::refuseNewCalls() { Impl_->Context_->RefusesNewCalls_ = true; }

std::size_t CallerProxy::busyConnectionCount() const {
  return Impl_->Server_.busyConnections();
}

void CallerProxy::answerOpenCalls() {
  for (const auto &Call : Impl_->Context_->openCalls())
    Call->onShutdown();
}

void CallerProxy::stop() { Impl_->Server_.stop(); }

} // namespace marigold::node
