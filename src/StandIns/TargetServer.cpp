#include "StandIns/TargetServer.h"

#include "StandIns/HttpListener.h"
#include "StandIns/LedgerJoin.h"
#include "StandIns/NodePool.h"
#include "StandIns/TargetModel.h"
#include "StandIns/UrlQuery.h"
#include "Support/Addresses.h"
#include "Support/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace marigold::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

/// Exit code of the process when a request makes it crash.
constexpr int CrashExitCode = 70;

/// Deadline of a request without x-marigold-deadline-ms.
constexpr std::chrono::seconds DefaultDeadline{60};

/// Maximum value of the query parameter bytes (8 MiB).
constexpr std::uint64_t MaxResponseBytes = 8'388'608;

std::string field(const HttpRequest &Request, const char *Name) {
  auto Value = Request[Name];
  return {Value.data(), Value.size()};
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

/// A run in progress. Shared with the chained calls, which may outlive a run
/// whose caller closed the connection.
struct Run {
  std::string Id_;
  std::string Depth_;
  TimePoint Deadline_;
  CallAbort Abort_;
  /// Expires when the chained calls have finished.
  std::shared_ptr<asio::steady_timer> Done_;
  /// First service in the chain that did not answer with status 200.
  std::string FailedService_;
};

} // namespace

class TargetServer::Impl {
public:
  explicit Impl(const TargetSettings &Settings)
      : Settings_(Settings), Model_(Settings, Clock::now()),
        Chain_(splitList(Settings.Calls_)),
        Node_(Context_, Settings.NodeAddress_, Settings.Slots_),
        Listener_(Context_, {.Connections_ = Settings.Connections_},
                  [this](HttpSession &Session, const HttpRequest &Request) {
                    return handle(Session, Request);
                  }) {}

  Result<void> open() {
    if (!Settings_.Ledger_.empty()) {
      LedgerFile_.open(Settings_.Ledger_, std::ios::app);
      if (!LedgerFile_)
        return fail(ErrorCode::FileUnreadable,
                    "cannot write ledger " + Settings_.Ledger_);
    }
    return Listener_.open(Settings_.Address_);
  }

  Address address() const { return Listener_.address(); }

  void run(bool HandleSignals) {
    asio::signal_set Signals(Context_);
    if (HandleSignals) {
      Signals.add(SIGTERM);
      Signals.add(SIGINT);
      Signals.async_wait([this](auto, int) { drain(); });
    }
    Context_.run();
  }

  void stop() { Context_.stop(); }

private:
  using Answer = asio::awaitable<std::optional<HttpResponse>>;

  Answer handle(HttpSession &Session, const HttpRequest &Request) {
    UrlQuery Query({Request.target().data(), Request.target().size()});
    if (Query.path().starts_with("/.target/"))
      co_return endpoint(Query.path());
    if (Draining_ || !Model_.acquireSlot()) {
      HttpResponse Shed =
          makeResponse(503, Draining_ ? "draining\n" : "all slots are taken\n");
      Shed.set("x-marigold-not-run", "true");
      co_return Shed;
    }
    auto Response = co_await runRequest(Session, Request, Query);
    Model_.releaseSlot();
    if (Draining_ && Model_.running() == 0)
      asio::post(Context_, [this] { stopAfterResponses(); });
    co_return Response;
  }

  Answer runRequest(HttpSession &Session, const HttpRequest &Request,
                    const UrlQuery &Query) {
    auto Current = std::make_shared<Run>();
    Current->Id_ = field(Request, "x-request-id");
    Current->Depth_ = field(Request, "x-marigold-depth");
    TimePoint Now = Clock::now();
    Current->Deadline_ = Now + DefaultDeadline;
    auto Remaining = parseNumber(field(Request, "x-marigold-deadline-ms"),
                                 std::uint64_t{3'600'000});
    if (Remaining)
      Current->Deadline_ = Now + std::chrono::milliseconds(Remaining.value());
    write(Model_.recordRun(Current->Id_, field(Request, "idempotency-key")));
    if (Model_.crashes(Query.path()))
      ::_exit(CrashExitCode);

    TimePoint End = Now + Model_.serviceTime(Now);
    asio::steady_timer Timer(Context_, std::min(End, Current->Deadline_));
    bool Closed = co_await Session.closedBefore(Timer);
    if (!Closed && !Chain_.empty() && End <= Current->Deadline_)
      Closed = co_await closedDuringChain(Session, Current);
    if (Closed) {
      write(Model_.recordCut(Current->Id_));
      co_return std::nullopt;
    }
    co_return answer(*Current, Query, End > Current->Deadline_);
  }

  asio::awaitable<bool> closedDuringChain(HttpSession &Session,
                                          std::shared_ptr<Run> Current) {
    Current->Done_ =
        std::make_shared<asio::steady_timer>(Context_, TimePoint::max());
    asio::co_spawn(Context_, callChain(Current), asio::detached);
    bool Closed = co_await Session.closedBefore(*Current->Done_);
    if (Closed)
      Current->Abort_.abort();
    co_return Closed;
  }

  /// Calls the services of the chain in order; stops at the first one that does
  /// not answer with status 200.
  asio::awaitable<void> callChain(std::shared_ptr<Run> Current) {
    for (const std::string &Callee : Chain_) {
      std::size_t Slash = Callee.find('/');
      std::string Service = Callee.substr(0, Slash);
      std::string Path =
          Slash == std::string::npos ? "/" : Callee.substr(Slash);
      HttpRequest Request(http::verb::get, Path, 11);
      Request.set(http::field::host, Service);
      Request.set("x-request-id", Current->Id_ + ChainSeparator + Service);
      auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
          Current->Deadline_ - Clock::now());
      if (Left.count() <= 0) {
        Current->FailedService_ = Service;
        break;
      }
      Request.set("x-marigold-deadline-ms", std::to_string(Left.count()));
      if (!Current->Depth_.empty())
        Request.set("x-marigold-depth", Current->Depth_);
      Request.prepare_payload();
      ExchangeResult Result = co_await Node_.exchange(
          Request, Current->Deadline_, &Current->Abort_);
      bool Answered = Result.End_ == ExchangeEnd::Answered &&
                      Result.Response_.result_int() == 200;
      if (!Answered) {
        ++ChainFailures_;
        Current->FailedService_ = Service;
        break;
      }
    }
    // Unlike cancel(), this also ends a wait that starts later.
    Current->Done_->expires_at(TimePoint::min());
  }

  HttpResponse answer(const Run &Current, const UrlQuery &Query,
                      bool DeadlineExceeded) {
    unsigned Status = 200;
    std::string Body = "id=" + Current.Id_ + "\nservice=" + Settings_.Service_;
    if (DeadlineExceeded) {
      Status = 504;
      Body += "\ndeadline exceeded";
    } else if (!Current.FailedService_.empty()) {
      Status = 502;
      Body += "\nfailed call to " + Current.FailedService_;
    }
    Body += '\n';
    auto Bytes =
        parseNumber(Query.find("bytes").value_or(""), MaxResponseBytes);
    if (Bytes && Body.size() < Bytes.value())
      Body.append(Bytes.value() - Body.size(), '.');
    Body += "\nend\n";
    HttpResponse Response = makeResponse(Status, std::move(Body));
    Response.set("x-request-id", Current.Id_);
    Response.set("x-body-length", std::to_string(Response.body().size()));
    return Response;
  }

  HttpResponse endpoint(const std::string &Path) const {
    if (Path == "/.target/health")
      return Model_.reportedHealthy() ? makeResponse(200, "healthy\n")
                                      : makeResponse(503, "unhealthy\n");
    if (Path == "/.target/load")
      return json({{"load", Model_.reportedLoad()}});
    if (Path == "/.target/ledger")
      return makeResponse(200, Model_.ledger());
    if (Path == "/.target/counters")
      return json({{"running", Model_.running()},
                   {"runs", Model_.runs()},
                   {"shed", Model_.shed()},
                   {"cut_runs", Model_.cuts()},
                   {"chain_failures", ChainFailures_},
                   {"connections", Listener_.counters().Open_},
                   {"refused_connections", Listener_.counters().Refused_}});
    return makeResponse(404, "no such endpoint\n");
  }

  static HttpResponse json(const nlohmann::json &Value) {
    return makeResponse(200, Value.dump() + "\n", "application/json");
  }

  /// Writes a ledger line and flushes it, so that it is not lost if the process
  /// is killed.
  void write(const std::string &Line) {
    if (LedgerFile_.is_open())
      LedgerFile_ << Line << std::flush;
  }

  void drain() {
    Draining_ = true;
    Listener_.close();
    logEvent(LogLevel::Info, "target_draining",
             {{"running", std::to_string(Model_.running())}});
    if (Model_.running() == 0)
      stopAfterResponses();
  }

  /// Stops the server 50 ms after the last run, so that its response can be
  /// written first.
  void stopAfterResponses() {
    auto Timer = std::make_shared<asio::steady_timer>(
        Context_, std::chrono::milliseconds(50));
    Timer->async_wait([this, Timer](auto) {
      if (Model_.running() == 0)
        Context_.stop();
    });
  }

  TargetSettings Settings_;
  asio::io_context Context_{1};
  TargetModel Model_;
  std::vector<std::string> Chain_;
  NodePool Node_;
  HttpListener Listener_;
  std::ofstream LedgerFile_;
  std::uint64_t ChainFailures_ = 0;
  bool Draining_ = false;
};

TargetServer::TargetServer(const TargetSettings &Settings)
    : Impl_(std::make_unique<Impl>(Settings)) {}

TargetServer::~TargetServer() = default;

Result<void> TargetServer::open() { return Impl_->open(); }

Address TargetServer::address() const { return Impl_->address(); }

void TargetServer::run(bool HandleSignals) { Impl_->run(HandleSignals); }

void TargetServer::stop() { Impl_->stop(); }

} // namespace marigold::standins
