#pragma once

#include "Node/CallLogLimiter.h"
#include "Node/CallerPools.h"
#include "Node/CallerProxy.h"
#include "Node/TargetProxy.h"

#include "Calls/Deadline.h"
#include "Calls/OutcomeTracker.h"
#include "Routing/WeightedSplit.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marigold::node {

class CallerCall;

/// What the calls of a caller's side share.
struct CallerContext {
  CallerContext(CallerProxyParts Parts, std::uint64_t Seed)
      : Parts_(Parts),
        Pools_(Parts.Environment_, Parts.Metrics_, Parts.Settings_, Seed),
        LogLimiter_(Parts.Metrics_, Parts.Settings_.CallLogRate_),
        SplitSeeds_(~Seed) {}

  /// The service that takes the next request of a route.
  const std::string &chooseService(const VirtualHost &Host,
                                   const HostRoute &Route);

  /// Refuses a request that belongs to no service of the configuration.
  void refuseWithoutService(transport::HttpExchange &Exchange, ErrorCode Code);

  CallerProxyParts Parts_;
  CallerPools Pools_;
  CallLogLimiter LogLimiter_;

  /// Calls that are not answered yet.
  void addOpen(const std::shared_ptr<CallerCall> &Call);
  void removeOpen(const CallerCall *Call);
  std::vector<std::shared_ptr<CallerCall>> openCalls();
  std::size_t countOpen();

private:
  std::mutex OpenMutex_;
  std::unordered_map<const CallerCall *, std::weak_ptr<CallerCall>> Open_;
  std::mutex SplitMutex_;
  Random SplitSeeds_;
  /// Splits of routes by host and prefix.
  std::map<std::pair<std::string, std::string>, routing::WeightedSplit> Splits_;
};

/// Where an attempt was sent: a stream of a peer's connection, or a number of
/// the own target's side. Neither before the send and after the end.
struct SentRequest {
  transport::PeerConnectionPtr Connection_;
  std::uint32_t Stream_ = 0;
  std::optional<std::uint64_t> LocalNumber_;
};

/// A second attempt of a request beside the first one.
struct HedgedAttempt {
  HostId Host_;
  bool Pending_ = true;
  SentRequest Sent_;
};

/// One request of a caller, with all its attempts. Events (answers, lost
/// connections, the deadline, a caller that goes away) may come from several
/// threads; the lock decides which of them ends the request.
class CallerCall : public std::enable_shared_from_this<CallerCall> {
public:
  CallerCall(std::shared_ptr<CallerContext> Context,
             transport::HttpRequest Request,
             std::shared_ptr<transport::HttpExchange> Exchange);
  ~CallerCall();
  CallerCall(const CallerCall &) = delete;
  CallerCall &operator=(const CallerCall &) = delete;

  /// Takes the request, or waits while the environment holds calls back.
  void start();

  /// Ends the call as if its deadline had passed: the process is about to end.
  void onShutdown() { onDeadline(); }

private:
  /// Checks the request and fills in the call. Fails with the code of the
  /// refusal.
  /// Key of the request; empty without one.
  std::string_view requestKey() const;
  Result<void> prepare();
  Result<void> prepareRouted(const VirtualHost &Host);
  /// Moves header fields and body into the call.
  void takeHeadersAndBody();
  void begin();
  void waitForGate(TimePoint Until);
  /// Sets the timer to the end of the attempt or of the whole request. Call
  /// with the lock held.
  void armTimer();
  void onTimer();
  void armAttemptTimer();
  /// The attempt under way takes long: sends the request to a second target as
  /// well, if the budget has a token and a target can be chosen. The first
  /// answer counts, and the other attempt is cancelled then.
  void hedge(unsigned Attempt);
  void sendHedge(const HostId &Host);
  void sendHedgeOver(const HostId &Host,
                     const transport::PeerConnectionPtr &Connection);
  void onHedge(const HostId &Host, TimePoint Sent,
               transport::StreamResult Value);
  void cancelHedge();
  /// Whether a hedge is under way. Call with the lock held.
  bool hedgePending() const { return Hedge_ && Hedge_->Pending_; }

  void attempt();
  Result<HostId> chooseHost(TimePoint Now);
  void send(const HostId &Host, unsigned Attempt);
  void sendOver(const HostId &Host,
                const transport::PeerConnectionPtr &Connection,
                unsigned Attempt);
  void sendLocal(const HostId &Host, unsigned Attempt);
  bool beginSend(unsigned Attempt);
  CallStart makeStart() const;

  void onConnectFailed(const HostId &Host, unsigned Attempt,
                       const Failure &Why);
  void onStream(const HostId &Host, unsigned Attempt, TimePoint Sent,
                transport::StreamResult Value);
  void onReply(const HostId &Host, unsigned Attempt, TimePoint Sent,
               transport::PeerReply Reply);
  void onAttemptFailed(unsigned Attempt);
  /// State of the request after an attempt that ended with Reason. Call with
  /// the lock held.
  calls::AttemptState attemptState(ErrorCode Reason) const;
  /// The same for an attempt that reached a target, where it may have run, and
  /// that is not counted yet. Call with the lock held.
  calls::AttemptState stateAfterRun(ErrorCode Reason) const;
  /// Sends a repeatable request that a target answered with a server error to
  /// another target and keeps the answer for the case that none does better.
  bool retryAnswer(unsigned Attempt, transport::PeerReply &Reply);
  void respond(transport::PeerReply Reply);
  /// Value of Retry-After: seconds, with fractions.
  std::string retryAfterValue();
  void log(Outcome Result, unsigned Status, std::string_view Reason) const;
  void onDeadline();
  void onDisconnect();
  void endEarly(void (calls::OutcomeTracker::*Event)(), ErrorCode Code);

  /// Reports the end of an attempt to the pool, once: the events of one
  /// attempt may come from several threads, and a pool counts each call out
  /// that it has counted in.
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
  /// Identifier that the caller gave; empty without one.
  std::string RequestId_;
  /// Host and prefix, or path, of the route; empty without one.
  std::string RouteName_;
  std::optional<HostId> KeyOwner_;
  calls::Deadline Deadline_{TimePoint::max()};
  /// Time at which the latency objective is missed.
  TimePoint ObjectiveDeadline_{};
  Duration Objective_{};
  unsigned MaxTargets_ = 0;
  boost::asio::steady_timer Timer_;

  std::mutex Mutex_;
  calls::OutcomeTracker Tracker_;
  std::vector<HostId> Tried_;
  unsigned UnknownAttempts_ = 0;
  unsigned Reported_ = 0;
  unsigned ReachedTargets_ = 0;
  /// End of the attempt under way when that is earlier than the deadline.
  TimePoint AttemptEnd_ = TimePoint::max();
  /// Time after which a target's node that refused expects to have room.
  std::chrono::milliseconds RetryAfter_{};
  std::optional<transport::PeerReply> Fallback_;
  std::optional<HedgedAttempt> Hedge_;
  /// Code of the end without an answer, once only the hedge is under way.
  std::optional<ErrorCode> DeferredError_;
  /// Hosts that were tried, each with the reason of its end, for the log.
  std::string Trace_;
  bool SendStarted_ = false;
  bool Ended_ = false;
  /// Where the attempt under way was sent.
  SentRequest Sent_;
};

} // namespace marigold::node
