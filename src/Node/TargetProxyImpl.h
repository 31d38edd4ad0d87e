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
  /// Number of the call's ticket in admission control.
  std::uint64_t Id_ = 0;
  CallStart Start_;
  std::shared_ptr<const std::string> Body_;
  /// Destination of the answer: a stream of a peer connection, or a callback
  /// for a call from the same node.
  transport::PeerConnectionPtr Connection_;
  transport::StreamCallback Local_;
  /// Time after which an answer is of no use to the caller.
  calls::Deadline Deadline_{TimePoint()};
  /// Whether the configurations of both nodes allow the request to run more
  /// than once.
  bool Repeatable_ = false;
  /// Number of the claimed key; empty for a request without a key.
  std::optional<std::uint64_t> KeyNumber_;
  /// Hash of the request's method, path and body, for CrashSuspects.
  std::uint64_t Fingerprint_ = 0;
  /// Time at which the request arrived; its wait for a slot is measured from
  /// here.
  TimePoint Accepted_{};
  /// Time at which the request was passed to the connection pool; default value
  /// before that.
  TimePoint Forwarded_{};

  /// Protects the fields below.
  std::mutex Mutex_;
  /// Job number in the connection pool; 0 before the request is forwarded.
  std::uint64_t Job_ = 0;
  bool Cancelled_ = false;
};

using TargetRunPtr = std::shared_ptr<TargetRun>;

/// Runs that were in progress when one of them lost its connection. They become
/// crash suspects if the target's process turns out to have ended.
struct TargetCrashCheck {
  std::unordered_map<std::uint64_t, std::uint64_t> Fingerprints_;
  std::size_t Runs_ = 0;
  std::size_t Lost_ = 0;
};

/// Implementation of TargetProxy. The mutexes of the admission shard and the
/// key shard are never held together, and neither is held while a callback or
/// the environment is called.
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
  std::vector<CrashNotice> heldBackCrashes();
  void onOwnTarget(const OwnTarget &Own);
  void stop();
  void onConnectFailed();

  TargetProxyParts Parts_;
  transport::HttpClientPool Pool_;

  /// Slots, queue, drain, and the runs that hold a slot or wait for one.
  struct AdmissionShard {
    mutable std::mutex Mutex_;
    admission::AdmissionControl Control_;
    admission::DrainControl Drain_;
    admission::TargetMonitor Monitor_;
    Random Random_;
    std::unordered_map<std::uint64_t, TargetRunPtr> Runs_;
    std::map<std::pair<const void *, std::uint32_t>, std::uint64_t> Streams_;
    ConfigVersion Configured_;
    /// Expected sizes of the answers that running requests will send over the
    /// link.
    admission::TransferForecast Transfers_;
    /// Whether the slots and the queue length were set from a configuration.
    bool Started_ = false;
    /// The target beside this node as the platform lists it.
    OwnTarget Own_;
    std::vector<std::function<void()>> Drained_;
    /// Path of the target's health check; empty if it is not checked.
    std::string HealthPath_;
    bool HealthCheckPending_ = false;
    bool IdentityCheckPending_ = false;
    /// Instance as which the target last answered.
    std::string AnsweringInstance_;
  };

  /// Keys, stored answers and crash suspects.
  struct KeyShard {
    std::mutex Mutex_;
    calls::KeyTable Keys_;
    calls::CrashSuspects Suspects_;
  };

  AdmissionShard Admission_;
  std::optional<TargetCrashCheck> CrashCheck_; // Guarded by Admission_.Mutex_.
  KeyShard Keys_;
  std::uint64_t Incarnation_;
  std::atomic<std::uint64_t> LastId_ = 0;

private:
  void configure(const config::Snapshot &Current, TimePoint Now);
  void startAdmission(const ServiceConfig &Service, TimePoint Now);
  /// Rules of the configuration for one call.
  struct CallRules {
    bool Repeatable_ = false;
    Priority Priority_ = Priority::Normal;
    Duration Deadline_{};
  };

  /// Returns the rules for a call that this node may run. Fails with
  /// WrongService, NotReady, TargetUnlisted, BodyTooLarge or an error of the
  /// route.
  Result<CallRules> rulesForCall(const CallStart &Start,
                                 const config::Snapshot *Current) const;
  OwnTarget ownTarget() const;
  /// Whether a request that waited for a connection may still be written to the
  /// target. Instance is the one that the request names as expected. Fails with
  /// an error of refusalBy, or with TargetUnlisted after a change of instance.
  Result<void> checkBeforeWrite(const TargetRun &Run,
                                const std::string &Instance) const;
  void logRun(const TargetRun &Run, std::string_view Decision,
              std::string_view Reason, const LoadReport &Load,
              Duration Latency);
  std::optional<ErrorCode> checkAndApplyRules(TargetRun &Run, TimePoint Now);
  bool claimKey(const TargetRunPtr &Run, TimePoint Now);
  std::optional<ErrorCode> admit(const TargetRunPtr &Run, TimePoint Now);
  /// Expected time to transfer an answer of this kind to its caller after the
  /// target has finished it; zero for small answers. Requires the admission
  /// shard's mutex.
  Duration transferTime(std::uint32_t Kind) const;
  void onResult(const TargetRunPtr &Run, transport::HttpClientResult Value);
  void onAnswer(const TargetRunPtr &Run, transport::HttpResponse Response,
                Duration Latency);
  void onFailure(const TargetRunPtr &Run,
                 const transport::HttpClientFailure &Failed, Duration Latency);
  LoadReport endRun(const TargetRunPtr &Run, const admission::RunSample &Sample,
                    std::size_t AnswerBytes);
  /// Answers a keyed request with the stored answer.
  void replay(const TargetRunPtr &Run, const calls::StoredAnswer &Answer,
              TimePoint Now);
  void sendReply(const TargetRunPtr &Run, transport::HttpResponse Response,
                 const LoadReport &Load, Duration Latency);
  void sendRefusal(const TargetRunPtr &Run, ErrorCode Code,
                   const LoadReport &Load,
                   std::chrono::milliseconds RetryAfter);
  /// Error code for a complete response that does not count as an answer to the
  /// request; empty otherwise.
  std::optional<ErrorCode>
  rejectionOf(const transport::HttpResponse &Response) const;
  void endWithoutAnswer(const TargetRunPtr &Run,
                        const transport::HttpClientFailure &Failed,
                        ErrorCode Code, Duration Latency);
  void armExpiry();
  // Health checks, which tell whether the target is cold (TargetCold.cpp).
  // Those that take a service require the admission shard's mutex.
  void configureColdStarts(const ServiceConfig &Service);
  /// Counts the target as cold until it says otherwise, because its process may
  /// have been replaced. Requires the admission shard's mutex.
  void assumeCold(std::string_view Cause, TimePoint Now);
  void armHealthCheck();
  void checkHealth();
  void onHealthAnswer(const transport::HttpClientResult &Value,
                      TimePoint Asked);
  // Which of several entries names the target (TargetIdentity.cpp).
  /// Asks the target for its instance if several entries name this host.
  void checkIdentity();
  /// Repeats checkIdentity after the interval of health checks. Requires the
  /// admission shard's mutex.
  void armIdentityCheck();
  void onIdentityAnswer(const transport::HttpClientResult &Value);
  /// Passes on the instance that an answer names, if it names one. Returns
  /// whether it does.
  bool reportInstance(const transport::HttpResponse &Response);
  /// Passes the slowdown that the target reports with an answer to admission
  /// control.
  void readTargetLoad(const transport::HttpResponse &Response, TimePoint Now);
  void runProbe();
  void armProbe();
  void onConnected();
  void beginCrashCheck(const TargetRunPtr &Run);
  void endCrashCheck(bool TargetAccepts);
  void updateDrain();
  void armHousekeeping();

  boost::asio::steady_timer ExpiryTimer_;   // Guarded by Admission_.Mutex_.
  boost::asio::steady_timer ProbeTimer_;    // Guarded by Admission_.Mutex_.
  boost::asio::steady_timer CrashTimer_;    // Guarded by Admission_.Mutex_.
  boost::asio::steady_timer DrainTimer_;    // Guarded by Admission_.Mutex_.
  boost::asio::steady_timer HealthTimer_;   // Guarded by Admission_.Mutex_.
  boost::asio::steady_timer IdentityTimer_; // Guarded by Admission_.Mutex_.
  boost::asio::steady_timer Housekeeping_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<std::int64_t> &AdmittedTotal_;
  CallLogLimiter LogLimiter_;
};

} // namespace marigold::node
