#include "StandIns/LoadRunner.h"

#include "StandIns/LoadPlan.h"
#include "StandIns/NodePool.h"
#include "Support/UrlText.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

namespace marigold::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

/// Maximum number of nodes to which an attempt tries to connect.
constexpr std::uint64_t MaxNodesTried = 3;

/// Maximum number of attempts for one booking, including the first.
constexpr std::uint64_t MaxBookingAttempts = 4;

/// Delay before a booking is retried, multiplied by the number of the retry.
constexpr std::chrono::milliseconds ResendPause{100};

/// Extracts the idempotency key from a response to POST /.marigold/keys: the
/// header Idempotency-Key, the member "key" of a JSON body, or the plain body.
std::string extractKey(const HttpResponse &Response) {
  auto Field = Response["Idempotency-Key"];
  if (!Field.empty())
    return {Field.data(), Field.size()};
  auto Json = nlohmann::json::parse(Response.body(), nullptr, false);
  if (Json.is_object() && Json.contains("key") && Json["key"].is_string())
    return Json["key"];
  std::string Text = Response.body();
  while (!Text.empty() && static_cast<unsigned char>(Text.back()) <= ' ')
    Text.pop_back();
  return Text;
}

class Runner {
public:
  explicit Runner(const LoadSettings &Settings)
      : Settings_(Settings), Prefix_(std::to_string(Settings.RandomSeed_) +
                                     '.' + std::to_string(::getpid()) + '-'),
        Signals_(Context_, SIGTERM, SIGINT),
        Report_(Settings.Duration_ - Settings.Warmup_) {
    for (const Address &Node : Settings.Nodes_)
      Pools_.push_back(
          std::make_unique<NodePool>(Context_, Node, Settings.Connections_));
  }

  LoadReport run() {
    Signals_.async_wait([this](const boost::system::error_code &Error, int) {
      if (!Error)
        Interrupted_ = true;
    });
    asio::co_spawn(Context_, schedule(), asio::detached);
    Context_.run();
    return std::move(Report_);
  }

private:
  /// Starts each request at its scheduled time, regardless of whether earlier
  /// requests were answered.
  asio::awaitable<void> schedule() {
    ArrivalPlan Plan(Settings_.Rate_, Settings_.Duration_,
                     Settings_.BookingRatio_, Settings_.RandomSeed_);
    TimePoint Start = Clock::now();
    asio::steady_timer Timer(Context_);
    ++Active_;
    while (auto Next = Plan.next()) {
      TimePoint Intended = Start + Next->At_;
      if (Intended > Clock::now()) {
        Timer.expires_at(Intended);
        co_await Timer.async_wait(Token);
      }
      if (Interrupted_)
        break;
      Report_.addStartDelay(Clock::now() - Intended);
      ++Active_;
      asio::co_spawn(Context_, runCall(*Next, Intended), asio::detached);
    }
    finishTask();
  }

  /// Cancels the signal handler after the last task, since it would keep the
  /// io_context running.
  void finishTask() {
    if (--Active_ == 0)
      Signals_.cancel();
  }

  asio::awaitable<void> runCall(PlannedCall Planned, TimePoint Intended) {
    FinishedCall Call;
    Call.Entry_.Id_ = Prefix_ + std::to_string(Planned.Number_);
    Call.Entry_.Kind_ = Planned.Kind_;
    Call.Measured_ = Planned.At_ >= Duration(Settings_.Warmup_);
    if (Planned.Kind_ == CallKind::Booking && !Settings_.Direct_)
      co_await book(Planned, Intended, Call);
    else
      co_await callOnce(Planned, Intended, Call);
    Call.Latency_ = Clock::now() - Intended;
    Call.Entry_.Outcome_ = Call.Last_.Outcome_;
    Report_.add(Call);
    finishTask();
  }

  asio::awaitable<void> callOnce(const PlannedCall &Planned, TimePoint Intended,
                                 FinishedCall &Call) {
    bool IsBooking = Planned.Kind_ == CallKind::Booking;
    HttpRequest Request =
        IsBooking ? makeRequest(http::verb::post, Settings_.BookingPath_)
                  : makeRequest(http::verb::get, Settings_.Path_);
    Request.set("x-request-id", Call.Entry_.Id_);
    ExchangeResult Result =
        co_await send(Request, Planned.Number_, Intended + Settings_.Timeout_);
    Call.Last_ = classifyExchange(Result, Call.Entry_.Id_, Settings_.Direct_);
    Call.Entry_.Attempts_ = Call.Last_.Unsent_ ? 0 : 1;
  }

  /// Sends a booking with an idempotency key. Retries use the same key after
  /// the outcome unknown, and a new key after not-run.
  asio::awaitable<void> book(const PlannedCall &Planned, TimePoint Intended,
                             FinishedCall &Call) {
    std::string Key;
    // An earlier attempt with this key may have run the booking.
    bool MayHaveRun = false;
    for (std::uint64_t Attempt = 0; Attempt < MaxBookingAttempts; ++Attempt) {
      if (Attempt > 0)
        co_await pause(ResendPause * Attempt);
      TimePoint Deadline =
          (Attempt == 0 ? Intended : Clock::now()) + Settings_.Timeout_;
      std::uint64_t Node = Planned.Number_ + Attempt;
      if (Key.empty())
        Key = co_await fetchKey(Node, Deadline);
      if (Key.empty()) {
        Report_.addKeyFailure();
        Call.Last_ = {.Outcome_ = Outcome::NotRun, .Reason_ = "no-key"};
        continue;
      }
      HttpRequest Request =
          makeRequest(http::verb::post, Settings_.BookingPath_);
      Request.set("x-request-id", Call.Entry_.Id_);
      Request.set("Idempotency-Key", Key);
      ExchangeResult Result = co_await send(Request, Node, Deadline);
      Call.Last_ = classifyExchange(Result, Call.Entry_.Id_, false);
      Call.Entry_.Attempts_ += Call.Last_.Unsent_ ? 0 : 1;
      if (Call.Last_.Unsent_ && MayHaveRun)
        Call.Last_.Outcome_ = Outcome::Unknown;
      if (Call.Last_.Outcome_ == Outcome::Ok || Interrupted_)
        co_return;
      MayHaveRun = Call.Last_.Outcome_ == Outcome::Unknown;
      if (!MayHaveRun && !Call.Last_.Unsent_)
        Key.clear();
    }
  }

  asio::awaitable<std::string> fetchKey(std::uint64_t Node,
                                        TimePoint Deadline) {
    HttpRequest Request =
        makeRequest(http::verb::post,
                    "/.marigold/keys?service=" + encodeUrl(Settings_.Service_));
    ExchangeResult Result = co_await send(Request, Node, Deadline);
    bool Issued = Result.End_ == ExchangeEnd::Answered &&
                  Result.Response_.result_int() / 100 == 2;
    co_return Issued ? extractKey(Result.Response_) : std::string();
  }

  HttpRequest makeRequest(http::verb Method, const std::string &Target) const {
    HttpRequest Request(Method, Target, 11);
    Request.set(http::field::host, Settings_.Service_);
    return Request;
  }

  /// Sends the request to the node with this number. If nothing could be sent,
  /// tries the following nodes.
  asio::awaitable<ExchangeResult> send(HttpRequest &Request, std::uint64_t Node,
                                       TimePoint Deadline) {
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - Clock::now());
    // The deadline for the node is 10 % shorter, so that its answer arrives
    // before the caller gives up.
    Request.set("x-marigold-deadline-ms", std::to_string(std::max<std::int64_t>(
                                              Left.count() * 9 / 10, 1)));
    Request.prepare_payload();
    ExchangeResult Result;
    for (std::uint64_t Search = 0; Search < MaxNodesTried; ++Search) {
      NodePool &Pool = *Pools_[(Node + Search) % Pools_.size()];
      Result = co_await Pool.exchange(Request, Deadline, nullptr);
      if (Result.End_ != ExchangeEnd::NotSent)
        break;
    }
    co_return Result;
  }

  asio::awaitable<void> pause(Duration Length) {
    asio::steady_timer Timer(Context_, Length);
    co_await Timer.async_wait(Token);
  }

  LoadSettings Settings_;
  std::string Prefix_;
  asio::io_context Context_{1};
  asio::signal_set Signals_;
  LoadReport Report_;
  std::vector<std::unique_ptr<NodePool>> Pools_;
  std::uint64_t Active_ = 0;
  bool Interrupted_ = false;
};

} // namespace

Result<LoadReport> runLoad(const LoadSettings &Settings) {
  if (Settings.Nodes_.empty())
    return fail(ErrorCode::SettingInvalid, "setting 'nodes': '' is empty");
  if (Settings.Service_.empty() && !Settings.Direct_)
    return fail(ErrorCode::SettingInvalid, "setting 'service': '' is empty");
  if (Settings.Warmup_ >= Settings.Duration_)
    return fail(
        ErrorCode::SettingInvalid,
        "setting 'warmup': " + std::to_string(Settings.Warmup_.count()) +
            "ms is not below the duration");
  Runner Run(Settings);
  return Run.run();
}

} // namespace marigold::standins
