#pragma once

#include "Node/CallerPools.h"
#include "Node/CallerSide.h"
#include "Node/TargetSide.h"

#include "Calls/Deadline.h"
#include "Calls/OutcomeTracker.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

namespace marigold::node {

/// What the calls of a caller's side share.
struct CallerContext {
  CallerContext(CallerSideParts Parts, std::uint64_t Seed)
      : Parts_(Parts),
        Pools_(Parts.Environment_, Parts.Metrics_, Parts.Settings_, Seed) {}

  /// Refuses a request that belongs to no service of the configuration.
  void refuseUnnamed(transport::HttpExchange &Exchange, ErrorCode Code);

  CallerSideParts Parts_;
  CallerPools Pools_;
  std::atomic<std::size_t> Open_ = 0;
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

private:
  /// Checks the request and fills in the call. Fails with the code of the
  /// refusal.
  Result<void> prepare();
  void begin();
  void waitForGate(TimePoint Until);
  void armDeadline();

  void attempt();
  Result<HostId> chooseHost(TimePoint Now);
  void send(const HostId &Host, unsigned Attempt);
  void sendOver(const HostId &Host,
                const transport::PeerConnectionPtr &Connection,
                unsigned Attempt);
  void sendLocal(const HostId &Host, unsigned Attempt);
  bool handOver(unsigned Attempt);
  CallStart makeStart() const;

  void onConnectFailed(const HostId &Host, unsigned Attempt,
                       const Failure &Why);
  void onStream(const HostId &Host, unsigned Attempt, TimePoint Sent,
                transport::StreamResult Value);
  void onReply(const HostId &Host, unsigned Attempt, TimePoint Sent,
               transport::PeerReply Reply);
  void onAttemptFailed(unsigned Attempt);
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

  const std::shared_ptr<CallerContext> Context_;
  transport::HttpRequest Request_;
  const std::shared_ptr<transport::HttpExchange> Exchange_;
  std::shared_ptr<const config::Snapshot> Snapshot_;
  std::shared_ptr<const std::string> Body_;
  const ServiceConfig *Service_ = nullptr;
  ServiceState *State_ = nullptr;
  CallStart Start_;
  std::optional<HostId> Owner_;
  calls::Deadline Deadline_{TimePoint::max()};
  boost::asio::steady_timer Timer_;

  std::mutex Mutex_;
  calls::OutcomeTracker Tracker_{calls::CallSide::CallerNode};
  std::vector<HostId> Tried_;
  unsigned UnknownAttempts_ = 0;
  unsigned Reported_ = 0;
  bool HandedOver_ = false;
  bool Ended_ = false;
  transport::PeerConnectionPtr Connection_;
  std::uint32_t Stream_ = 0;
  std::optional<std::uint64_t> LocalNumber_;
};

} // namespace marigold::node
