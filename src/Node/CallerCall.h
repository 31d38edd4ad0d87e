#pragma once

#include "Node/CallLogLimiter.h"
#include "Node/CallerPools.h"
#include "Node/CallerProxy.h"
#include "Node/TargetProxy.h"

#include "Calls/Deadline.h"
#include "Calls/OutcomeTracker.h"
#include "Calls/RequestAge.h"
#include "Routing/OfferPlan.h"
#include "Routing/WeightedSplit.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marigold::node {

class CallerCall;

/// State shared by all calls of a CallerProxy.
struct CallerContext {
  CallerContext(CallerProxyParts Parts, std::uint64_t Seed)
      : Parts_(Parts),
        Pools_(Parts.Environment_, Parts.Metrics_, Parts.Settings_, Seed),
        LogLimiter_(Parts.Metrics_, Parts.Settings_.CallLogRate_),
        RequestIdSeed_(Seed), SplitSeeds_(~Seed) {}

  /// Chooses the service that takes the next request of a route, by the weights
  /// of the route's targets.
  const std::string &chooseService(const VirtualHost &Host,
                                   const HostRoute &Route);

  /// Sends an error response to a request that could not be assigned to a
  /// configured service, and counts it under the service name "none".
  void refuseWithoutService(transport::HttpExchange &Exchange, ErrorCode Code);

  /// Estimated time since the first attempt of a request that its caller may
  /// send again, from the time for which the caller still waits.
  Duration ageOf(const std::string &RouteName, Duration Wait, TimePoint Now);

  /// Returns an identifier for a request that came without one.
  std::string newRequestId();

  CallerProxyParts Parts_;
  CallerPools Pools_;
  CallLogLimiter LogLimiter_;
  /// Set when the process is about to exit and could no longer wait for the
  /// answers to further calls.
  std::atomic<bool> RefusesNewCalls_ = false;

  /// Registry of calls that have not been answered yet.
  void addOpen(const std::shared_ptr<CallerCall> &Call);
  void removeOpen(const CallerCall *Call);
  std::vector<std::shared_ptr<CallerCall>> openCalls();
  std::size_t countOpen();

private:
  const std::uint64_t RequestIdSeed_;
  std::atomic<std::uint64_t> RequestIds_ = 0;
  std::mutex OpenMutex_;
  std::unordered_map<const CallerCall *, std::weak_ptr<CallerCall>> Open_;
  std::mutex AgesMutex_;
  std::map<std::string, calls::RequestAge> Ages_;
  std::mutex SplitMutex_;
  Random SplitSeeds_;
  /// Traffic splits of routes, by virtual host and path prefix.
  std::map<std::pair<std::string, std::string>, routing::WeightedSplit> Splits_;
};

/// Handle for cancelling a sent attempt: a stream of a peer connection, or the
/// number that TargetProxy::callLocal returned. Empty before the attempt is
/// sent and after it has ended.
struct SentRequest {
  transport::PeerConnectionPtr Connection_;
  std::uint32_t Stream_ = 0;
  std::optional<std::uint64_t> LocalNumber_;
};

/// A second attempt of a request that runs concurrently with the first one.
struct HedgedAttempt {
  HostId Host_;
  bool Pending_ = true;
  SentRequest Sent_;
};

/// One request of a caller, with all its attempts. Events (answers, lost
/// connections, the deadline, a caller that disconnects) may arrive on several
/// threads; Mutex_ decides which of them ends the request.
class CallerCall : public std::enable_shared_from_this<CallerCall> {
public:
  CallerCall(std::shared_ptr<CallerContext> Context,
             transport::HttpRequest Request,
             std::shared_ptr<transport::HttpExchange> Exchange);
  ~CallerCall();
  CallerCall(const CallerCall &) = delete;
  CallerCall &operator=(const CallerCall &) = delete;

  /// Starts processing the request, or waits while the control plane holds new
  /// calls back.
  void start();

  /// Ends the call as if its deadline had passed, because the process is about
  /// to exit.
  void onShutdown() { onDeadline(); }

private:
  /// Idempotency key of the request; empty if it has none.
  std::string_view requestKey() const;
  /// Checks the request and initializes the call from it. Fails with the code
  /// of the refusal.
  Result<void> prepare();
  Result<void> prepareRouted();
  /// Moves the header fields and the body of the request into the call.
  void takeHeadersAndBody();
  void begin();
  void waitForGate(TimePoint Until);
  /// Sets the timer to the end of the attempt or to the deadline, whichever
  /// comes first. Requires Mutex_.
  void armTimer();
  void onTimer();
  void armAttemptTimer();
  /// Sends the request to a second target as well, because the current attempt
  /// is slow, if the retry budget has a token and a target can be chosen. The
  /// first answer that is not a server error is used, and the other attempt is
  /// cancelled.
  void hedge(unsigned Attempt);
  void sendHedge(const HostId &Host);
  void sendHedgeOver(const HostId &Host,
                     const transport::PeerConnectionPtr &Connection);
  void onHedge(const HostId &Host, TimePoint Sent,
               transport::StreamResult Value);
  void cancelHedge();
  /// Whether a hedge is in progress. Requires Mutex_.
  bool hedgePending() const { return Hedge_ && Hedge_->Pending_; }

  void attempt();
  Result<HostId> chooseHost(TimePoint Now);
  /// Connections that this call uses, by the size of its body.
  transport::PeerConnectionPool &connections() const;
  void send(const HostId &Host, unsigned Attempt);
  void sendOver(const HostId &Host,
                const transport::PeerConnectionPtr &Connection,
                unsigned Attempt);
  void sendLocal(const HostId &Host, unsigned Attempt);
  bool beginSend(unsigned Attempt);
  CallStart makeStart() const;
  /// Bound of the expected wait at the last host of Tried_. Requires Mutex_.
  Duration offerBound(TimePoint Now);
  /// As makeStart, with the bound of the expected wait of this attempt.
  CallStart makeOffer();

  void onConnectFailed(const HostId &Host, unsigned Attempt,
                       const Failure &Cause);
  void onStream(const HostId &Host, unsigned Attempt, TimePoint Sent,
                transport::StreamResult Value);
  void onReply(const HostId &Host, unsigned Attempt, TimePoint Sent,
               transport::PeerReply Reply);
  void onAttemptFailed(unsigned Attempt);
  /// State of the request, for the retry policy, after an attempt that ended
  /// with Reason. Requires Mutex_.
  calls::AttemptState attemptState(ErrorCode Reason) const;
  /// Like attemptState, for an attempt that reached a target, may have run
  /// there and is not counted yet. Requires Mutex_.
  calls::AttemptState stateAfterRun(ErrorCode Reason) const;
  /// If a target answered a repeatable request with a server error, retries the
  /// request on another target and keeps the answer in case no other attempt
  /// succeeds.
  bool retryAnswer(unsigned Attempt, transport::PeerReply &Reply);
  void respond(transport::PeerReply Reply);
  /// Value of the Retry-After field: seconds, with fractions.
  std::string retryAfterValue();
  void log(Outcome Result, unsigned Status, std::string_view Reason);
  void onDeadline();
  void onDisconnect();
  void endEarly(void (calls::OutcomeTracker::*Event)(), ErrorCode Code);

  /// Reports the end of an attempt to the pool exactly once: the events of one
  /// attempt may arrive on several threads, and the pool expects one result for
  /// each call that it counted as started.
  void report(const HostId &Host, unsigned Attempt,
              const routing::CallSample &Sample);
  void reportCancelled(const HostId &Host, unsigned Attempt);

  void refuse(ErrorCode Code);
  void finishWithError(ErrorCode Code);
  void cancelAttempt();
  void cancelSent(const SentRequest &Sent);

  const std::shared_ptr<CallerContext> Context_;
  transport::HttpRequest Request_;
  const std::shared_ptr<transport::HttpExchange> Exchange_;
  std::shared_ptr<const config::Snapshot> Snapshot_;
  std::shared_ptr<const std::string> Body_;
  const ServiceConfig *Service_ = nullptr;
  ServiceState *State_ = nullptr;
  CallStart Start_;
  /// Request identifier sent by the caller; empty if there is none.
  std::string RequestId_;
  /// Virtual host and prefix, or path, of the matched route; empty if there is
  /// none.
  std::string RouteName_;
  std::optional<HostId> KeyOwner_;
  calls::Deadline Deadline_{TimePoint::max()};
  /// Time after which the latency objective is missed.
  TimePoint ObjectiveDeadline_{};
  /// Estimated time from the caller's first attempt to this one.
  Duration Age_{};
  Duration Objective_{};
  unsigned MaxTargets_ = 0;
  boost::asio::steady_timer Timer_;

  std::mutex Mutex_;
  calls::OutcomeTracker Tracker_;
  std::vector<HostId> Tried_;
  unsigned UnknownAttempts_ = 0;
  routing::OfferPlan Offers_;
  /// Longest expected wait that the current attempt accepts; zero for any.
  Duration OfferBound_{};
  unsigned Reported_ = 0;
  unsigned ReachedTargets_ = 0;
  /// Time at which the current attempt counts as slow and is hedged; max() if
  /// only the deadline limits it.
  TimePoint AttemptEnd_ = TimePoint::max();
  /// Shortest time after which one of the refusing nodes expects free capacity;
  /// zero if none gave an estimate.
  std::chrono::milliseconds RetryAfter_{};
  std::optional<transport::PeerReply> Fallback_;
  std::optional<HedgedAttempt> Hedge_;
  /// Error with which the attempt beside a pending hedge has ended. The call
  /// ends if the hedge fails too.
  std::optional<ErrorCode> DeferredError_;
  /// Hosts that were tried, each with the result of its attempt, for the log.
  std::string Trace_;
  bool SendStarted_ = false;
  bool Ended_ = false;
  /// Handle of the current attempt.
  SentRequest Sent_;
};

} // namespace marigold::node
