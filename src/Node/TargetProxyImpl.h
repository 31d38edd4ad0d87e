#pragma once

#include "Node/CallLogLimiter.h"
#include "Node/TargetProxy.h"

#include "Admission/AdmissionControl.h"
#include "Admission/DrainControl.h"
#include "Admission/TargetMonitor.h"
#include "Admission/TransferForecast.h"
#include "Calls/CrashSuspects.h"
#include "Calls/Deadline.h"
#include "Calls/KeyTable.h"
#include "Calls/OutcomeTracker.h"
#include "Config/Snapshot.h"
#include "Support/Random.h"
#include "Transport/HttpClientPool.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace marigold::node {

/// One call at the target's node, from its arrival to its end.
struct TargetRun {
  /// Ticket number of admission.
  std::uint64_t Id_ = 0;
  /// The call.
  CallStart Start_;
  std::shared_ptr<const std::string> Body_;
  /// Where the answer goes: a stream of a connection, or a callback of the
  /// same node.
  transport::PeerConnectionPtr Connection_;
  transport::StreamCallback Local_;
  /// End of the time in which an answer is of use.
  calls::Deadline Deadline_{TimePoint()};
  /// Whether both nodes' configurations allow more than one run.
  bool Repeatable_ = false;
  /// Number of the claimed key; nothing for a request without a key.
  std::optional<std::uint64_t> KeyNumber_;
  /// Content of the request, for CrashSuspects.
  std::uint64_t Fingerprint_ = 0;
  /// Time at which the request asked for a slot.
  TimePoint Accepted_{};
  /// Time at which the request was given to the connection pool; zero before.
  TimePoint Forwarded_{};

  /// Protects the fields below.
  std::mutex Mutex_;
  /// Number at the connection pool; 0 before it is forwarded.
  std::uint64_t Job_ = 0;
  bool Cancelled_ = false;
};

using TargetRunPtr = std::shared_ptr<TargetRun>;

/// Runs in progress when the connection of one of them was lost. They are
/// suspects if the process turns out to be gone.
struct TargetCrashCheck {
  std::unordered_map<std::uint64_t, std::uint64_t> Fingerprints_;
  std::size_t Runs_ = 0;
  std::size_t Lost_ = 0;
};

/// State of TargetProxy. Locks: the admission shard and the key shard, never
/// both, and none while a callback or the environment is called.
class TargetProxy::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(TargetProxyParts Parts, std::uint64_t Incarnation, std::uint64_t Seed);

  // Arrival (TargetProxy.cpp).
  std::optional<ErrorCode> checkBeforeBody(const CallStart &Start) const;
  void accept(const TargetRunPtr &Run);
  std::uint64_t acceptLocal(CallStart Start,
                            std::shared_ptr<const std::string> Body,
                            transport::StreamCallback Done);
  void cancelStream(const transport::PeerConnectionPtr &Connection,
                    std::uint32_t Stream);
  void cancelRun(const TargetRunPtr &Run);
  TargetRunPtr findRun(std::uint64_t Id);
  Result<std::string> issueKey(const std::string &Service);
  LoadReport load() const;

  // From admission to the answer (TargetRun.cpp).
  void forward(const TargetRunPtr &Run);
  void apply(const admission::AdmissionActions &Actions);
  void refuse(const TargetRunPtr &Run, ErrorCode Code);

  // Target process, drain, housekeeping (TargetHealth.cpp).
  void start();
  void drain(std::function<void()> Done);
  void onCrashNotice(const CrashNotice &Notice);
  void onOwnTarget(const OwnTarget &Own);
  void stop();
  void onConnectFailed();

  TargetProxyParts Parts_;
  transport::HttpClientPool Pool_;

  /// Slots, queue, drain, and the runs that hold or wait for a slot.
  struct AdmissionShard {
    mutable std::mutex Mutex_;
    admission::AdmissionControl Control_;
    admission::DrainControl Drain_;
    admission::TargetMonitor Monitor_;
    Random Random_;
    std::unordered_map<std::uint64_t, TargetRunPtr> Runs_;
    std::map<std::pair<const void *, std::uint32_t>, std::uint64_t> Streams_;
    ConfigVersion Configured_;
    /// Sizes of answers that are on their way to the link.
    admission::TransferForecast Transfers_;
    /// Slots and queue were taken from a configuration.
    bool Started_ = false;
    /// The target beside this node as the platform lists it.
    OwnTarget Own_;
    std::vector<std::function<void()>> Drained_;
  };

  /// Keys, stored answers and crash suspects.
  struct KeyShard {
    std::mutex Mutex_;
    calls::KeyTable Keys_;
    calls::CrashSuspects Suspects_;
  };

  AdmissionShard Admission_;
  std::optional<TargetCrashCheck>
      CrashCheck_; // Under the admission shard's lock.
  KeyShard Keys_;
  std::uint64_t Incarnation_;
  std::atomic<std::uint64_t> LastId_ = 0;

private:
  void configure(const config::Snapshot &Current, TimePoint Now);
  void startAdmission(const ServiceConfig &Service, TimePoint Now);
  /// What the configuration says of a call.
  struct CallRules {
    bool Repeatable_ = false;
    Priority Priority_ = Priority::Normal;
    Duration Deadline_{};
  };

  /// The rules of a call that this node may run. Fails with WrongService,
  /// NotReady, TargetUnlisted, BodyTooLarge or an error of the route.
  Result<CallRules> rulesForCall(const CallStart &Start,
                                 const config::Snapshot *Current) const;
  OwnTarget ownTarget() const;
  void logRun(const TargetRun &Run, std::string_view Decision,
              std::string_view Reason, const LoadReport &Load,
              Duration Latency);
  std::optional<ErrorCode> checkAndApplyRules(TargetRun &Run, TimePoint Now);
  bool claimKey(const TargetRunPtr &Run, TimePoint Now);
  std::optional<ErrorCode> admit(const TargetRunPtr &Run, TimePoint Now);
  /// Time until an answer of this kind would be with its caller, from its end
  /// at the target; zero for small ones. Call with the admission lock held.
  Duration transferTime(std::uint32_t Kind) const;
  void onResult(const TargetRunPtr &Run, transport::HttpClientResult Value);
  void onAnswer(const TargetRunPtr &Run, transport::HttpResponse Response,
                Duration Latency);
  void onFailure(const TargetRunPtr &Run,
                 const transport::HttpClientFailure &Failed, Duration Latency);
  LoadReport endRun(const TargetRunPtr &Run, const admission::RunSample &Sample,
                    std::size_t AnswerBytes);
  void sendReply(const TargetRunPtr &Run, std::uint16_t Status,
                 std::vector<Header> Headers, std::string Body,
                 const LoadReport &Load, Duration Latency);
  void sendRefusal(const TargetRunPtr &Run, ErrorCode Code,
                   const LoadReport &Load,
                   std::chrono::milliseconds RetryAfter);
  /// Code of a complete response that is not the answer of a run.
  std::optional<ErrorCode>
  rejectionOf(const transport::HttpResponse &Response) const;
  void endWithoutAnswer(const TargetRunPtr &Run,
                        const transport::HttpClientFailure &Failed,
                        ErrorCode Code, Duration Latency);
  void armExpiry();
  void runProbe();
  void armProbe();
  void onConnected();
  void beginCrashCheck(const TargetRunPtr &Run);
  void endCrashCheck(bool TargetAccepts);
  void updateDrain();
  void armHousekeeping();

  boost::asio::steady_timer ExpiryTimer_; // Under the admission shard's lock.
  boost::asio::steady_timer ProbeTimer_;  // Under the admission shard's lock.
  boost::asio::steady_timer CrashTimer_;  // Under the admission shard's lock.
  boost::asio::steady_timer DrainTimer_;  // Under the admission shard's lock.
  boost::asio::steady_timer Housekeeping_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<std::int64_t> &AdmittedTotal_;
  CallLogLimiter LogLimiter_;
};

} // namespace marigold::node
