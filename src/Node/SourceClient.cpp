#include "Node/SourceClient.h"

#include "Config/TextParser.h"
#include "Support/Addresses.h"
#include "Support/JsonText.h"
#include "Support/Log.h"

#include <boost/asio/post.hpp>
#include <mutex>

namespace marigold::node {
namespace {

/// Time allowed for the response to a blocking read beyond its wait time.
constexpr Duration WatchMargin = std::chrono::seconds(3);
/// Timeout of a non-blocking read.
constexpr Duration ReadTimeout = std::chrono::seconds(5);
/// Estimated header bytes per direction of one connection: five segments to
/// open and close it and acknowledge one response, each with 52 bytes of IP and
/// TCP headers including options.
constexpr std::uint64_t ConnectionOverhead = 260;
/// Payload bytes of a full TCP segment, used to estimate the header bytes of
/// long responses.
constexpr std::uint64_t SegmentPayload = 1448;
constexpr std::uint64_t SegmentOverhead = 52;
constexpr unsigned NotFound = 404;

std::string percentEncode(std::string_view Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (char Character : Text) {
    auto Byte = static_cast<unsigned char>(Character);
    if (std::isalnum(Byte) || Byte == '-' || Byte == '.' || Byte == '_') {
      Encoded += Character;
      continue;
    }
    Encoded += '%';
    Encoded += Digits[Byte >> 4];
    Encoded += Digits[Byte & 15];
  }
  return Encoded;
}

std::string metaText(const nlohmann::json &Meta, const char *Key) {
  auto Position = Meta.find(Key);
  if (Position == Meta.end() || !Position->is_string())
    return {};
  return Position->get<std::string>();
}

Result<std::uint16_t> metaPort(const nlohmann::json &Meta, const char *Key) {
  BOOST_OUTCOME_TRY(auto Port, parseNumber(metaText(Meta, Key), 65535));
  if (Port == 0)
    return fail(ErrorCode::SourceMalformed, std::string(Key) + " is 0");
  return static_cast<std::uint16_t>(Port);
}

Result<membership::ListedHost> parseListedHost(const nlohmann::json &Node) {
  if (!Node.is_object() || !Node.contains("Address") ||
      !Node["Address"].is_string() || !Node.contains("Meta") ||
      !Node["Meta"].is_object())
    return fail(ErrorCode::SourceMalformed, "host without Address or Meta");
  const auto &Meta = Node["Meta"];
  membership::ListedHost Host;
  BOOST_OUTCOME_TRY(auto Peer, parseAddress(Node["Address"].get<std::string>() +
                                            ":" + metaText(Meta, "peer_port")));
  BOOST_OUTCOME_TRY(metaPort(Meta, "peer_port"));
  BOOST_OUTCOME_TRY(auto CallerPort, metaPort(Meta, "caller_port"));
  BOOST_OUTCOME_TRY(auto AdminPort, metaPort(Meta, "admin_port"));
  Host.Record_.Id_ = toHostId(Peer);
  Host.Record_.CallerPort_ = CallerPort;
  Host.Record_.AdminPort_ = AdminPort;
  Host.Record_.Service_ = metaText(Meta, "service");
  Host.Record_.FailureDomain_ = metaText(Meta, "failure_domain");
  Host.Record_.Region_ = metaText(Meta, "region");
  Host.Leaving_ = metaText(Meta, "state") == "leaving";
  return Host;
}

} // namespace

Result<membership::HostList> parseHostList(std::string_view Json,
                                           TimePoint ReadAt) {
  BOOST_OUTCOME_TRY(auto Root, parseJson(Json));
  if (!Root.is_array())
    return fail(ErrorCode::SourceMalformed, "host list is not a JSON array");
  membership::HostList List;
  List.ReadAt_ = ReadAt;
  for (const auto &Node : Root) {
    auto Host = parseListedHost(Node);
    if (Host) {
      List.Hosts_.push_back(std::move(Host.value()));
      continue;
    }
    ++List.Unusable_;
    logEvent(LogLevel::Warning, "host_entry_unusable",
             {{"reason", Host.error().Detail_}});
  }
  return List;
}

SourceText readSourceText(std::string_view Text, std::uint64_t Index,
                          const NodeSettings &Settings) {
  SourceText Answer;
  Answer.Index_ = Index;
  auto Model = config::parseText(Text, Settings.SourceKey_);
  if (!Model) {
    const auto &First = Model.error().front();
    Answer.Refused_ = fail(First.Code_, config::toText(First));
    return Answer;
  }
  if (Model.value().Mesh_ != Settings.Mesh_) {
    Answer.Refused_ =
        fail(ErrorCode::SnapshotInvalid,
             "configuration text is for mesh " + Model.value().Mesh_);
    return Answer;
  }
  ConfigVersion Version{Model.value().Epoch_, Index};
  Answer.Snapshot_ = config::buildSnapshot(std::move(Model.value()), Version);
  return Answer;
}

/// State that pending calls keep alive after the client is destroyed.
struct SourceClient::Shared {
  SourceCallObserver Observer_;
  std::mutex Mutex_;
  /// X-Consul-Index of the last host list read for this node's failure domain.
  /// The next read waits for a later one; 0 means that it does not wait.
  std::uint64_t HostsIndex_ = 0;
};

SourceClient::SourceClient(boost::asio::io_context &Io,
                           const NodeSettings &Settings,
                           SourceCallObserver Observer)
    : Settings_(Settings), Shared_(std::make_shared<Shared>()),
      Calls_(std::make_shared<transport::HttpGetCalls>(Io)) {
  Shared_->Observer_ = std::move(Observer);
}

void SourceClient::get(distribution::SourceCall Call, std::string Target,
                       Duration Timeout, BodyCallback Done) {
  transport::HttpGetRequest Request;
  Request.Server_ = Settings_.SourceAddress_;
  Request.Target_ = std::move(Target);
  Request.Timeout_ = Timeout;
  auto Finish = [State = Shared_, Call, Done = std::move(Done)](
                    Result<transport::HttpGetResponse> Answer) {
    SourceBytes Bytes{ConnectionOverhead, ConnectionOverhead};
    if (!Answer) {
      State->Observer_(Call, Bytes);
      Done(std::move(Answer.error()));
      return;
    }
    auto &Response = Answer.value().Response_;
    Bytes.Sent_ += Answer.value().SentBytes_;
    Bytes.Received_ +=
        Answer.value().ReceivedBytes_ +
        Answer.value().ReceivedBytes_ / SegmentPayload * SegmentOverhead;
    State->Observer_(Call, Bytes);
    auto Index =
        parseNumber(transport::findHeader(Response.Headers_, "x-consul-index"),
                    ~std::uint64_t(0));
    if (Response.Status_ == NotFound && Index) {
      Done(std::make_pair(Index.value(), std::string()));
      return;
    }
    if (Response.Status_ != 200) {
      Done(fail(ErrorCode::SourceError,
                "HTTP status " + std::to_string(Response.Status_)));
      return;
    }
    // A response for the host list is valid without an index.
    Done(std::make_pair(Index ? Index.value() : 0, std::move(Response.Body_)));
  };
  Calls_->start(std::move(Request), std::move(Finish));
}

void SourceClient::watchKeys(std::uint64_t Index,
                             std::chrono::milliseconds Wait,
                             std::function<void(Result<std::uint64_t>)> Done) {
  std::string Target = "/v1/kv/" + Settings_.SourceKey_ + "?keys";
  if (Index != 0)
    Target += "&index=" + std::to_string(Index) +
              "&wait=" + std::to_string(Wait.count()) + "ms";
  get(distribution::SourceCall::Keys, std::move(Target), Wait + WatchMargin,
      [Done = std::move(Done)](auto Answer) {
        if (!Answer)
          Done(std::move(Answer.error()));
        else if (Answer.value().first == 0)
          Done(fail(ErrorCode::SourceMalformed,
                    "response without X-Consul-Index"));
        else
          Done(Answer.value().first);
      });
}

void SourceClient::fetchText(std::function<void(Result<SourceText>)> Done) {
  const NodeSettings &Settings = Settings_;
  get(distribution::SourceCall::Text, "/v1/kv/" + Settings_.SourceKey_ + "?raw",
      ReadTimeout, [Done = std::move(Done), &Settings](auto Answer) {
        if (!Answer) {
          Done(std::move(Answer.error()));
          return;
        }
        auto &[Index, Text] = Answer.value();
        if (Index == 0) {
          Done(fail(ErrorCode::SourceMalformed,
                    "response without X-Consul-Index"));
          return;
        }
        if (Text.empty()) {
          SourceText Missing;
          Missing.Index_ = Index;
          Missing.Missing_ = true;
          Done(std::move(Missing));
          return;
        }
        Done(readSourceText(Text, Index, Settings));
      });
}

void SourceClient::readHosts(
    bool All, std::function<void(Result<membership::HostList>)> Done) {
  // A full list has about 50 KB for 200 hosts. Reading it again without a
  // change would account for most of a node's control traffic, so the read
  // blocks until the list changes.
  std::string Target = "/v1/catalog/nodes";
  Duration Timeout = ReadTimeout;
  if (!All) {
    Target += "?filter=" + percentEncode("Meta.failure_domain==\"" +
                                         Settings_.FailureDomain_ + "\"");
    std::lock_guard Lock(Shared_->Mutex_);
    if (Shared_->HostsIndex_ != 0) {
      Target += "&index=" + std::to_string(Shared_->HostsIndex_) +
                "&wait=" + std::to_string(Settings_.HostsInterval_.count()) +
                "ms";
      Timeout += Settings_.HostsInterval_;
    }
  }
  auto State = Shared_;
  get(distribution::SourceCall::Hosts, std::move(Target), Timeout,
      [Done = std::move(Done), State, All](auto Answer) {
        // The source builds the list at the end of the wait, so the list is as
        // old as the response, not as the request.
        TimePoint ReadAt = std::chrono::steady_clock::now();
        auto List =
            Answer ? parseHostList(Answer.value().second, ReadAt)
                   : Result<membership::HostList>(std::move(Answer.error()));
        if (!All) {
          std::lock_guard Lock(State->Mutex_);
          State->HostsIndex_ = List ? Answer.value().first : 0;
        }
        Done(std::move(List));
      });
}

void SourceClient::stop() { Calls_->stop(); }

} // namespace marigold::node
