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

/// Counters of one service, looked up once.
struct ServiceCounters {
  ServiceCounters(MetricsRegistry &Metrics, const std::string &Service);

  std::atomic<std::int64_t> &Ok_;
  std::atomic<std::int64_t> &NotRun_;
  std::atomic<std::int64_t> &Unknown_;
  std::atomic<std::int64_t> &Slow_;
  std::atomic<std::int64_t> &Retries_;
  std::atomic<std::int64_t> &RetriesDenied_;
};

/// What this node knows of the hosts of one service that it calls. Lives as
/// long as the table; its state is under the lock of its shard.
class ServiceState {
public:
  ServiceState(std::mutex &Mutex, Random &Rng, routing::Pool Pool,
               calls::RetryBudget Budget, calls::RetryBudget Redirects,
               MetricsRegistry &Metrics, const std::string &Service)
      : Counters_(Metrics, Service), Mutex_(Mutex), Random_(Rng),
        Pool_(std::move(Pool)), Budget_(Budget), Redirects_(Redirects) {}

  /// Counts a call that begins, for the retry budget.
  void onCall(TimePoint Now);

  /// Chooses a host; see routing::Pool::choose.
  Result<HostId> choose(std::span<const HostId> Excluded, TimePoint Now);

  /// Counts a call to a host that is given; see routing::Pool::startCall.
  bool startCall(const HostId &Id, TimePoint Now);

  /// A call ended; see routing::Pool::onResult.
  void onResult(const HostId &Id, const routing::CallSample &Sample,
                TimePoint Now);

  /// Time for a caller to come back after a refusal: Expected, spread over as
  /// much again, so that callers that were refused together do not return
  /// together.
  std::chrono::milliseconds
  jitterRetryAfter(std::chrono::milliseconds Expected);

  /// Decides on a retry and takes a token of the budget for it: that of
  /// retries when a target was reached, that of redirects otherwise.
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

/// The pools of all services that this node calls, in 16 shards by hash of the
/// service name, each with its own lock.
class CallerPools {
public:
  CallerPools(CallEnvironment &Environment, MetricsRegistry &Metrics,
              const NodeSettings &Settings, std::uint64_t Seed);

  /// The state of a service, brought up to date with the host table and the
  /// configuration. Call only for services of the current snapshot, so that
  /// requests cannot create entries at will.
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
