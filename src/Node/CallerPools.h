#pragma once

#include "Node/CallEnvironment.h"

#include "Calls/Retry.h"
#include "Config/Snapshot.h"
#include "Routing/Pool.h"
#include "Schema/generated/Settings.h"
#include "Support/Metrics.h"
#include "Support/Random.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace marigold::node {

/// Metric counters of one service, looked up once.
struct ServiceCounters {
  ServiceCounters(MetricsRegistry &Metrics, const std::string &Service);

  std::atomic<std::int64_t> &Ok_;
  std::atomic<std::int64_t> &NotRun_;
  std::atomic<std::int64_t> &Unknown_;
  std::atomic<std::int64_t> &Slow_;
  std::atomic<std::int64_t> &Retries_;
  std::atomic<std::int64_t> &RetriesDenied_;
};

/// Host pool and retry budgets of one service that this node calls. Lives as
/// long as CallerPools; protected by the mutex of its shard.
class ServiceState {
public:
  ServiceState(std::mutex &Mutex, Random &Rng, routing::Pool Pool,
               calls::RetryBudget Budget, calls::RetryBudget Redirects,
               MetricsRegistry &Metrics, const std::string &Service)
      : Counters_(Metrics, Service), Mutex_(Mutex), Random_(Rng),
        Pool_(std::move(Pool)), Budget_(Budget), Redirects_(Redirects) {}

  /// Counts a new call for the retry and redirect budgets.
  void onCall(TimePoint Now);

  /// Chooses a host; see routing::Pool::choose.
  Result<HostId> choose(const routing::CallContext &Context, TimePoint Now);

  /// Bound of the expected wait for an offer to the last host of Tried; see
  /// routing::Pool::offerBound. Zero without a token to redirect the request.
  Duration offerBound(std::span<const HostId> Tried, Duration Objective,
                      TimePoint Now);

  /// Counts a call to the given host; see routing::Pool::startCall.
  bool startCall(const HostId &Id, TimePoint Now);

  /// Records the result of a call; see routing::Pool::onResult.
  void onResult(const HostId &Id, const routing::CallSample &Sample,
                TimePoint Now);

  /// Returns Expected plus a random time of up to the same length, so that
  /// callers that were refused together do not return together.
  std::chrono::milliseconds
  jitterRetryAfter(std::chrono::milliseconds Expected);

  /// Decides on a retry and takes a token for it: from the retry budget if a
  /// target was reached, otherwise from the redirect budget. A declined offer
  /// is repeated without a token too: the budget was not exhausted when the
  /// offer was made, and the request must not fail because of it.
  calls::RetryDecision retry(const calls::AttemptState &State,
                             const calls::Deadline &Limit, TimePoint Now);

  ServiceCounters Counters_;

private:
  friend class CallerPools;

  std::mutex &Mutex_;
  Random &Random_;
  routing::Pool Pool_;
  calls::RetryBudget Budget_;
  calls::RetryBudget Redirects_;
  const calls::RetryPolicy Policy_;
  bool HostsLoaded_ = false;
  std::uint64_t HostsGeneration_ = 0;
  ConfigVersion Version_;
};

/// The pools of all services that this node calls, divided by the hash of the
/// service name into 16 shards with a mutex each.
class CallerPools {
public:
  CallerPools(CallEnvironment &Environment, MetricsRegistry &Metrics,
              const NodeSettings &Settings, std::uint64_t Seed);

  /// Returns the state of a service, updated from the host table and the
  /// configuration. Call only for services of the current snapshot; otherwise
  /// requests could create any number of entries.
  ServiceState &stateOf(const ServiceConfig &Service,
                        const ConfigVersion &Version);

private:
  struct Shard {
    std::mutex Mutex_;
    Random Random_{0};
    std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> Services_;
  };

  std::unique_ptr<ServiceState> createState(Shard &Group,
                                            const ServiceConfig &Service) const;

  CallEnvironment &Environment_;
  MetricsRegistry &Metrics_;
  const NodeSettings &Settings_;
  std::array<Shard, 16> Shards_;
};

} // namespace marigold::node
