#include "StandIns/PlatformServer.h"

#include "StandIns/HttpListener.h"
#include "StandIns/PlatformState.h"
#include "StandIns/UrlQuery.h"
#include "Support/Addresses.h"
#include "Support/Log.h"
#include "Support/SettingsParser.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace marigold::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

/// Limits documented for the Consul API: wait defaults to 5 minutes and is at
/// most 10 minutes.
constexpr std::chrono::minutes DefaultWait{5};
constexpr std::chrono::minutes MaxWait{10};

/// Maximum size of a value in bytes (1 MiB), the limit of the real platform.
constexpr std::size_t MaxValueBytes = 1'048'576;

/// Default delay for the fault "slow".
constexpr std::chrono::milliseconds DefaultSlowDelay{2000};

/// Path prefix of the key-value endpoints.
constexpr std::string_view KeyPathPrefix = "/v1/kv/";

std::string jsonText(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Parses hosts in the format of the catalogue API: a JSON array of objects
/// with Node, Address and Meta. Fails with SettingInvalid.
Result<std::vector<CatalogHost>> parseHosts(const std::string &Text) {
  json List = json::parse(Text, nullptr, false);
  Failure Invalid = fail(ErrorCode::SettingInvalid,
                         "hosts: not a list of Node, Address and Meta, where "
                         "every value is a string");
  if (!List.is_array())
    return Invalid;
  std::vector<CatalogHost> Hosts;
  for (const json &Entry : List) {
    bool Complete = Entry.is_object() && Entry.contains("Node") &&
                    Entry["Node"].is_string() && Entry.contains("Address") &&
                    Entry["Address"].is_string() && Entry.contains("Meta") &&
                    Entry["Meta"].is_object();
    if (!Complete)
      return Invalid;
    CatalogHost Host{Entry["Node"], Entry["Address"], {}};
    for (const auto &[Name, Value] : Entry["Meta"].items()) {
      if (!Value.is_string())
        return Invalid;
      Host.Meta_[Name] = Value;
    }
    Hosts.push_back(std::move(Host));
  }
  return Hosts;
}

/// Parameters of a blocking query.
struct BlockingRead {
  /// The query is a watch, which means that its index is not 0.
  bool Watch_ = false;
  std::uint64_t Index_ = 0;
  std::chrono::milliseconds Wait_ = DefaultWait;
};

Result<BlockingRead> parseBlocking(const UrlQuery &Query) {
  BlockingRead Read;
  if (auto Index = Query.find("index")) {
    BOOST_OUTCOME_TRY(
        Read.Index_,
        parseNumber(*Index, std::numeric_limits<std::uint64_t>::max()));
    Read.Watch_ = Read.Index_ > 0;
  }
  if (auto Wait = Query.find("wait")) {
    BOOST_OUTCOME_TRY(Read.Wait_, parseDuration(*Wait));
    Read.Wait_ = std::min<std::chrono::milliseconds>(Read.Wait_, MaxWait);
  }
  return Read;
}

/// Counters reported by /bench/counters.
struct PlatformCounters {
  std::uint64_t TextReads_ = 0;
  std::uint64_t KeyReads_ = 0;
  std::uint64_t HostReads_ = 0;
  std::uint64_t Watches_ = 0;
  std::uint64_t Waiting_ = 0;
  std::uint64_t Faulted_ = 0;
  std::uint64_t Rejected_ = 0;
  std::uint64_t Published_ = 0;
};

} // namespace

class PlatformServer::Impl {
public:
  explicit Impl(const PlatformSettings &Settings)
      : Settings_(Settings), State_(Settings.HostsLag_),
        Listener_(Context_, {},
                  [this](HttpSession &Session, const HttpRequest &Request) {
                    return handle(Session, Request);
                  }) {}

  Result<void> open() { return Listener_.open(Settings_.Address_); }

  Address address() const { return Listener_.address(); }

  void run(bool HandleSignals) {
    asio::signal_set Signals(Context_);
    if (HandleSignals) {
      Signals.add(SIGTERM);
      Signals.add(SIGINT);
      Signals.async_wait([this](auto, int) { Context_.stop(); });
    }
    Context_.run();
  }

  void stop() { Context_.stop(); }

private:
  using Answer = asio::awaitable<std::optional<HttpResponse>>;

  Answer handle(HttpSession &Session, const HttpRequest &Request) {
    UrlQuery Query({Request.target().data(), Request.target().size()});
    if (Query.path().starts_with("/bench/"))
      co_return bench(Query, Request);
    bool IsKey = Query.path().starts_with(KeyPathPrefix);
    std::string Key = IsKey ? Query.path().substr(KeyPathPrefix.size()) : "";
    if (IsKey && !Key.empty() && Request.method() == http::verb::put)
      co_return publish(Key, Request);
    bool IsCatalog = Query.path() == "/v1/catalog/nodes";
    if (!IsCatalog && (!IsKey || Key.empty()))
      co_return rejected(404, "no such endpoint");
    if (Request.method() != http::verb::get)
      co_return rejected(405, "method not allowed");
    co_return co_await read(Session, Query, IsCatalog, Key);
  }

  Answer read(HttpSession &Session, const UrlQuery &Query, bool IsCatalog,
              const std::string &Key) {
    auto Blocking = parseBlocking(Query);
    if (!Blocking)
      co_return rejected(400, Blocking.error().Detail_);
    bool KeysOnly = !IsCatalog && Query.find("keys").has_value();
    std::optional<CatalogFilter> Filter;
    if (auto Text = Query.find("filter"); Text && IsCatalog) {
      auto Parsed = parseFilter(*Text);
      if (!Parsed)
        co_return rejected(400, Parsed.error().Detail_);
      Filter = Parsed.value();
    }
    if (!IsCatalog && !KeysOnly && !Query.find("raw"))
      co_return rejected(400, "parameter raw or keys is required");

    if (IsCatalog)
      ++Counters_.HostReads_;
    else
      ++(KeysOnly ? Counters_.KeyReads_ : Counters_.TextReads_);
    auto CurrentIndex = [&] {
      if (IsCatalog)
        return State_.hostsIndex(Clock::now());
      return KeysOnly ? State_.prefixIndex(Key) : State_.keyIndex(Key);
    };
    if (State_.fault() == PlatformFault::Slow &&
        co_await closedDuring(Session, SlowDelay_))
      co_return std::nullopt;
    if (Blocking.value().Watch_ &&
        co_await closedDuringWatch(Session, Blocking.value(), CurrentIndex))
      co_return std::nullopt;
    if (State_.fault() == PlatformFault::Down) {
      ++Counters_.Faulted_;
      co_return makeResponse(503, "fault down is in force\n");
    }
    if (IsCatalog)
      co_return hostsAnswer(Filter);
    co_return KeysOnly ? keysAnswer(Key) : textAnswer(Key);
  }

  asio::awaitable<bool> closedDuring(HttpSession &Session, Duration Delay) {
    asio::steady_timer Timer(Context_, Delay);
    co_return co_await Session.closedBefore(Timer);
  }

  /// Waits until the index exceeds that of the watch, the wait time has passed,
  /// the state is reset or the fault "down" is active. Returns true if the peer
  /// closed the connection in the meantime.
  template <class IndexReader>
  asio::awaitable<bool> closedDuringWatch(HttpSession &Session,
                                          BlockingRead Read,
                                          const IndexReader &CurrentIndex) {
    ++Counters_.Watches_;
    TimePoint End = Clock::now() + Read.Wait_;
    std::uint64_t Generation = State_.generation();
    asio::steady_timer Timer(Context_);
    bool Closed = false;
    ++Counters_.Waiting_;
    while (!Closed && CurrentIndex() <= Read.Index_ && Clock::now() < End &&
           State_.generation() == Generation &&
           State_.fault() != PlatformFault::Down) {
      Timer.expires_at(End);
      Waiters_.insert(&Timer);
      Closed = co_await Session.closedBefore(Timer);
      Waiters_.erase(&Timer);
    }
    --Counters_.Waiting_;
    co_return Closed;
  }

  void wakeWatches() {
    for (asio::steady_timer *Timer : Waiters_)
      Timer->expires_at(TimePoint::min());
  }

  HttpResponse withIndex(HttpResponse Response, std::uint64_t Index) const {
    Response.set("X-Consul-Index",
                 std::to_string(std::max<std::uint64_t>(Index, 1)));
    return Response;
  }

  HttpResponse textAnswer(const std::string &Key) {
    const PublishedText *Text = State_.read(Key);
    if (!Text)
      return withIndex(makeResponse(404, ""), State_.index());
    return withIndex(makeResponse(200, Text->Text_), Text->Index_);
  }

  HttpResponse keysAnswer(const std::string &Prefix) {
    std::vector<std::string> Keys = State_.keys(Prefix);
    if (Keys.empty())
      return withIndex(makeResponse(404, ""), State_.index());
    return withIndex(
        makeResponse(200, jsonText(json(Keys)), "application/json"),
        State_.prefixIndex(Prefix));
  }

  HttpResponse hostsAnswer(const std::optional<CatalogFilter> &Filter) {
    TimePoint Now = Clock::now();
    json List = json::array();
    for (const CatalogHost &Host : State_.hosts(Filter, Now))
      List.push_back({{"Node", Host.Node_},
                      {"Address", Host.Address_},
                      {"Meta", Host.Meta_}});
    return withIndex(makeResponse(200, jsonText(List), "application/json"),
                     State_.hostsIndex(Now));
  }

  HttpResponse rejected(unsigned Status, const std::string &Reason) {
    ++Counters_.Rejected_;
    return makeResponse(Status, Reason + "\n");
  }

  HttpResponse publish(const std::string &Key, const HttpRequest &Request) {
    if (Request.body().size() > MaxValueBytes)
      return rejected(413, "value exceeds 1 MiB");
    ++Counters_.Published_;
    std::uint64_t Index = State_.publish(Key, Request.body());
    wakeWatches();
    logEvent(LogLevel::Info, "text_published",
             {{"key", Key}, {"index", std::to_string(Index)}});
    return withIndex(makeResponse(200, std::to_string(Index) + "\n"), Index);
  }

  HttpResponse bench(const UrlQuery &Query, const HttpRequest &Request) {
    bool IsPut = Request.method() == http::verb::put;
    if (IsPut && Query.path() == "/bench/hosts")
      return setHosts(Request);
    if (IsPut && Query.path() == "/bench/fault")
      return setFault(Query);
    if (Request.method() == http::verb::get &&
        Query.path() == "/bench/counters")
      return counters();
    return rejected(404, "no such endpoint");
  }

  HttpResponse setHosts(const HttpRequest &Request) {
    auto Hosts = parseHosts(Request.body());
    if (!Hosts)
      return rejected(400, Hosts.error().Detail_);
    TimePoint Now = Clock::now();
    std::size_t Count = Hosts.value().size();
    State_.setHosts(std::move(Hosts.value()), Now);
    // Wake the catalogue watches when the new list becomes visible.
    auto Timer = std::make_shared<asio::steady_timer>(
        Context_, Now + Settings_.HostsLag_);
    Timer->async_wait([this, Timer](auto) { wakeWatches(); });
    return makeResponse(200, std::to_string(Count) + "\n");
  }

  HttpResponse setFault(const UrlQuery &Query) {
    auto Fault = parseFault(Query.find("kind").value_or(""));
    if (!Fault)
      return rejected(400, Fault.error().Detail_);
    SlowDelay_ = DefaultSlowDelay;
    if (auto Text = Query.find("delay")) {
      auto Delay = parseDuration(*Text);
      if (!Delay)
        return rejected(400, "delay: " + Delay.error().Detail_);
      SlowDelay_ = Delay.value();
    }
    State_.setFault(Fault.value());
    wakeWatches();
    logEvent(LogLevel::Info, "fault_set",
             {{"kind", std::string(toText(Fault.value()))}});
    return makeResponse(200, std::string(toText(Fault.value())) + "\n");
  }

  HttpResponse counters() {
    const ListenerCounters &Listener = Listener_.counters();
    json Values{{"text_reads", Counters_.TextReads_},
                {"key_reads", Counters_.KeyReads_},
                {"host_reads", Counters_.HostReads_},
                {"calls", Counters_.TextReads_ + Counters_.KeyReads_ +
                              Counters_.HostReads_},
                {"watches", Counters_.Watches_},
                {"waiting_watches", Counters_.Waiting_},
                {"answered_by_fault", Counters_.Faulted_},
                {"rejected", Counters_.Rejected_},
                {"published", Counters_.Published_},
                {"connections", Listener.Open_},
                {"malformed", Listener.Malformed_},
                {"bytes_received", Listener.BytesReceived_},
                {"bytes_sent", Listener.BytesSent_},
                {"fault", std::string(toText(State_.fault()))}};
    return makeResponse(200, jsonText(Values) + "\n", "application/json");
  }

  using Clock = std::chrono::steady_clock;

  PlatformSettings Settings_;
  asio::io_context Context_{1};
  PlatformState State_;
  HttpListener Listener_;
  PlatformCounters Counters_;
  std::chrono::milliseconds SlowDelay_ = DefaultSlowDelay;
  std::set<asio::steady_timer *> Waiters_;
};

PlatformServer::PlatformServer(const PlatformSettings &Settings)
    : Impl_(std::make_unique<Impl>(Settings)) {}

PlatformServer::~PlatformServer() = default;

Result<void> PlatformServer::open() { return Impl_->open(); }

Address PlatformServer::address() const { return Impl_->address(); }

void PlatformServer::run(bool HandleSignals) { Impl_->run(HandleSignals); }

void PlatformServer::stop() { Impl_->stop(); }

} // namespace marigold::standins
