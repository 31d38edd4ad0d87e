#include "Node/CallerKeys.h"

#include "Support/Addresses.h"

namespace marigold::node {

namespace {

constexpr std::string_view KeyPath = "/.marigold/keys?service=";
// Number of hosts that are asked for a key before the caller gets an error.
constexpr unsigned MaxHosts = 3;
// Timeout for the whole request; issuing a key is a lookup in memory.
constexpr auto KeyTimeout = std::chrono::seconds(2);

/// Requests a key from the hosts of a service, one after the other. A key that
/// was issued but not used does no harm, so every failure can be retried.
class KeyIssueOperation
    : public std::enable_shared_from_this<KeyIssueOperation> {
public:
  KeyIssueOperation(std::shared_ptr<CallerContext> Context, std::string Service,
                    std::shared_ptr<transport::HttpExchange> Exchange)
      : Context_(std::move(Context)), Service_(std::move(Service)),
        Exchange_(std::move(Exchange)), Timer_(Context_->Parts_.Io_) {}

  void start() {
    CallEnvironment &Environment = Context_->Parts_.Environment_;
    auto Snapshot = Environment.snapshot();
    if (!Snapshot || Environment.gate() != CallGate::Open) {
      Context_->refuseWithoutService(*Exchange_, ErrorCode::NotReady);
      return;
    }
    const ServiceConfig *Config = Snapshot->findService(Service_);
    if (!Config) {
      Context_->refuseWithoutService(*Exchange_, ErrorCode::UnknownService);
      return;
    }
    State_ = &Context_->Pools_.stateOf(*Config, Snapshot->version());
    Timer_.expires_after(KeyTimeout);
    Timer_.async_wait(
        [Weak = weak_from_this()](boost::system::error_code Error) {
          auto Self = Weak.lock();
          if (!Error && Self)
            Self->finishWithError(ErrorCode::NoTarget);
        });
    tryNextHost();
  }

private:
  void tryNextHost() {
    TimePoint Now = std::chrono::steady_clock::now();
    auto Chosen = Tried_.size() < MaxHosts
                      ? State_->choose({Tried_}, Now)
                      : Result<HostId>(fail(ErrorCode::NoTarget));
    if (!Chosen) {
      finishWithError(LastError_.value_or(ErrorCode::NoTarget));
      return;
    }
    HostId Host = Chosen.value();
    Tried_.push_back(Host);
    CallerProxyParts &Parts = Context_->Parts_;
    if (Parts.Local_ && Host == toHostId(Parts.Settings_.PeerAddress_)) {
      auto Key = Parts.Local_->issueKey(Service_);
      if (Key)
        onKey(Host, Key.value());
      else
        onFailed(Host, Key.error().Code_);
      return;
    }
    auto Self = shared_from_this();
    Parts.Peers_.get(
        Host, [Self, Host](Result<transport::PeerConnectionPtr> Value) {
          if (!Value) {
            Self->Context_->Parts_.Environment_.reportHostFailure(Host);
            Self->onFailed(Host, ErrorCode::ConnectionFailed);
            return;
          }
          Value.value()->requestKey(
              Self->Service_, [Self, Host](transport::StreamResult Answer) {
                if (auto *Reply = std::get_if<KeyReply>(&Answer))
                  Self->onKey(Host, Reply->Key_);
                else if (auto *Refused = std::get_if<CallRefused>(&Answer))
                  Self->onFailed(Host, errorFromNumber(Refused->Code_)
                                           .value_or(ErrorCode::NoTarget));
                else
                  Self->onFailed(Host, ErrorCode::ConnectionFailed);
              });
        });
  }

  void onFailed(const HostId &Host, ErrorCode Code) {
    State_->onResult(Host, {Code, false, {}, {}},
                     std::chrono::steady_clock::now());
    // Error codes without an HTTP status occur only between nodes and are not
    // reported to callers.
    if (errorStatus(Code) != 0)
      LastError_ = Code;
    tryNextHost();
  }

  void onKey(const HostId &Host, const std::string &Key) {
    // Cancelled adds no latency sample: the time to issue a key says nothing
    // about the target's latency.
    State_->onResult(Host, {ErrorCode::Cancelled, false, {}, {}},
                     std::chrono::steady_clock::now());
    transport::HttpResponse Response;
    Response.Headers_ = {
        {"content-type", "text/plain"},
        {"x-marigold-outcome", std::string(outcomeText(Outcome::Ok))}};
    Response.Body_ = Key;
    Exchange_->respond(std::move(Response));
  }

  void finishWithError(ErrorCode Code) {
    Exchange_->respond(transport::errorResponse(Code));
  }

  const std::shared_ptr<CallerContext> Context_;
  const std::string Service_;
  const std::shared_ptr<transport::HttpExchange> Exchange_;
  boost::asio::steady_timer Timer_;
  ServiceState *State_ = nullptr;
  std::vector<HostId> Tried_;
  std::optional<ErrorCode> LastError_;
};

} // namespace

void handleReservedPath(const std::shared_ptr<CallerContext> &Context,
                        const transport::HttpRequest &Request,
                        std::shared_ptr<transport::HttpExchange> Exchange) {
  std::string_view Target = Request.Target_;
  if (!Target.starts_with(KeyPath)) {
    Context->refuseWithoutService(*Exchange, ErrorCode::NoRoute);
    return;
  }
  if (Request.Method_ != "POST") {
    transport::HttpResponse Response =
        transport::errorResponse(ErrorCode::NoRoute);
    Response.Status_ = 405;
    Response.Headers_.push_back({"allow", "POST"});
    Exchange->respond(std::move(Response));
    return;
  }
  std::make_shared<KeyIssueOperation>(
      Context, std::string(Target.substr(KeyPath.size())), std::move(Exchange))
      ->start();
}

} // namespace marigold::node
