#pragma once

#include "Admission/AdaptiveLimit.h"
#include "Admission/ColdStartLimiter.h"
#include "Admission/RunTimes.h"
#include "Admission/WorkForecast.h"
#include "Schema/generated/Errors.h"
#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace marigold::admission {

/// Request for a slot of the target.
struct CallTicket {
  /// Assigned by the node; never reused while the node runs.
  std::uint64_t Id_ = 0;
  Priority Priority_ = Priority::Normal;
  /// Time after which the caller no longer waits for the answer.
  TimePoint Deadline_;
  /// Time by which the answer should arrive to meet the latency objective;
  /// max() without an objective.
  TimePoint Objective_ = TimePoint::max();
  /// Expected time for queueing and sending the answer on the host's link;
  /// zero for small answers.
  Duration Transfer_{};
  /// Kind of request, used to estimate how long its run takes.
  std::uint32_t Kind_ = 0;
  /// Longest expected wait at which the request is not declined with
  /// TargetBusy; zero for no limit (CallStart::MaxWait_).
  Duration MaxWait_{};
};

/// Queued request that is refused without having run.
struct RefusedTicket {
  std::uint64_t Id_ = 0;
  /// Its outcome is always NotRun.
  ErrorCode Reason_ = ErrorCode::QueueFull;

  friend bool operator==(const RefusedTicket &,
                         const RefusedTicket &) = default;
};

/// Requests that the node has to forward to the target or refuse after an
/// event.
struct AdmissionActions {
  /// Ids of the requests that now hold a slot; the node calls finish for each.
  std::vector<std::uint64_t> Start_;
  std::vector<RefusedTicket> Refuse_;
};

/// Decision on a new request.
enum class Admission : std::uint8_t { Run, Queue, Refuse };

/// Result of submit.
struct Submission {
  Admission Admission_ = Admission::Refuse;
  /// Set for Refuse: QueueFull, Shed, Draining, TargetDown, DeadlineBeforeRun,
  /// HopelessWait, TargetCold or TargetBusy. HopelessWait and TargetCold mean
  /// that the answer would come after the objective or the deadline; the
  /// caller's node may try another host.
  ErrorCode Reason_ = ErrorCode::QueueFull;
  /// Queued request that this one displaced; the node has to refuse it.
  std::optional<RefusedTicket> Displaced_;
};

/// Measurement of one run, for the adaptive limit and the estimated waits.
struct RunSample {
  /// Time from forwarding the request to the end of the target's answer.
  Duration Latency_{};
  /// False when the target was not reached or the caller cancelled; the
  /// latency is then meaningless and ignored.
  bool Measured_ = true;
  /// The run failed because of load: deadline exceeded or shed by the target.
  bool Overloaded_ = false;
};

/// When expected waits follow from the remaining work of each run (setting
/// placement): if the target reports its slowdown, always, or never.
enum class ForecastUse : std::uint8_t { Reported, Always, Off };

/// Parameters of AdmissionControl.
struct AdmissionSettings {
  /// Maximum number of requests that the target runs concurrently
  /// (ServiceConfig::Slots_).
  std::uint32_t Slots_ = 1;
  /// Maximum number of queued requests (ServiceConfig::Queue_).
  std::uint32_t Queue_ = 0;
  /// Whether the concurrency limit adapts to latency (setting
  /// adaptive-limit).
  bool Adaptive_ = true;
  /// Whether expected waits follow from the remaining work of each run.
  ForecastUse Forecast_ = ForecastUse::Reported;
  AdaptiveLimitSettings AdaptiveSettings_ = {};
};

/// Slots and queue of the target on this node's host. Every request to the
/// target passes through it, so that the count of running requests is exact.
/// Under overload the requests of the lowest priority are refused first. Among
/// requests of one priority those with the latest objective are refused first,
/// and among equal objectives the latest arrival, because the earlier one has
/// already waited.
///
/// Handling of load patterns:
/// - Burst beyond the slots: requests wait in the order of their objectives, so
///   that short calls made by requests that already run overtake long ones.
/// - Queue full of long requests: run times are estimated per kind of request,
///   and a short call with an earlier objective displaces the request with the
///   latest one.
/// - Lasting overload: a request is queued only if its answer is expected to
///   meet the objective, and is refused at once otherwise. A longer queue would
///   only make every answer late.
/// - Refused callers that return while the overload lasts: a request that is
///   expected to miss its objective waits behind the others, and is refused as
///   soon as one of those waits. Run in its turn, it would take the slot from a
///   request that could be answered in time, for as many answers in all.
/// - Runs that become slower while requests wait: queued requests that can no
///   longer meet their objective are refused in favour of those that can.
/// - Answers beyond the bandwidth of the host's link: a request whose answer
///   would wait for the link beyond the objective is refused even if slots are
///   free, because its answer would only delay the others.
/// - Cold target: a request waits for its next start like for a slot, and is
///   refused if that is too late (ColdStartLimiter).
/// - Kinds of very different cost on a host of changing speed: the expected
///   wait follows from the remaining work of each run (WorkForecast).
/// - Slow target: if runs alone exceed the objective, the target keeps only a
///   short queue, so that callers' nodes prefer other targets.
class AdmissionControl {
public:
  explicit AdmissionControl(AdmissionSettings Settings);

  /// Decides on a new request. The ticket's id must not be in use.
  Submission submit(const CallTicket &Ticket, TimePoint Now);

  /// Releases the slot of a run that ended and starts queued requests. An id
  /// that is not running is ignored.
  AdmissionActions finish(std::uint64_t Id, const RunSample &Sample,
                          TimePoint Now);

  /// Handles a call that its caller cancelled. A queued request is refused
  /// with CancelledBeforeRun; a running one keeps its slot until finish,
  /// because the target still works on it.
  AdmissionActions cancel(std::uint64_t Id, TimePoint Now);

  /// Refuses queued requests whose deadline has passed.
  AdmissionActions expire(TimePoint Now);

  /// Refuses new and queued requests with Draining from now on.
  AdmissionActions beginDrain(TimePoint Now);

  /// Sets whether the platform lists the target as leaving. While it does, new
  /// requests are refused with Draining.
  void setLeaving(bool Leaving) { Leaving_ = Leaving; }

  /// Refuses all queued requests. Called when the target has changed so that it
  /// must not run what was queued for it.
  AdmissionActions refuseQueued(ErrorCode Reason);

  /// Called when the target accepts no connections. Refuses new and queued
  /// requests with TargetDown until targetUp.
  AdmissionActions targetDown(TimePoint Now);

  /// Called when the target accepts connections again. Resets the adaptive
  /// limit and the run times, because the target may be a new process.
  void targetUp();

  /// Records the slowdown that the target reported, in percent of the usual
  /// run time; zero is ignored.
  void onSlowdown(std::uint32_t Percent, TimePoint Now) {
    Work_.onSlowdown(Percent, Now);
  }

  /// Applies changed configuration values. Requests that no longer fit into
  /// the queue are refused with Shed; running ones are not affected.
  AdmissionActions configure(std::uint32_t Slots, std::uint32_t Queue,
                             TimePoint Now);

  /// Earliest deadline in the queue, at which expire has to be called next;
  /// TimePoint::max() when the queue is empty.
  TimePoint nextExpiry() const;

  /// Time at which a queued request may start although no run ends, because the
  /// target is cold; expire has to be called then. Now if a start has become
  /// possible since the last call of expire. TimePoint::max() if slots are
  /// missing or nothing waits.
  TimePoint nextColdStart(TimePoint Now) const;

  /// Estimated time until a request that is refused now would find a free
  /// slot, which is the time to work off the queue.
  std::chrono::milliseconds retryAfter() const;

  /// Number of requests that hold a slot.
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running_.size());
  }

  std::uint32_t queued() const { return QueuedCount_; }

  /// Current concurrency limit.
  std::uint32_t limit() const;

  /// Limit on the starts of a cold target.
  ColdStartLimiter &coldStarts() { return ColdStarts_; }
  const ColdStartLimiter &coldStarts() const { return ColdStarts_; }

  /// Whether beginDrain was called.
  bool draining() const { return Draining_; }

  /// Load report that is sent with answers and refusals.
  LoadReport load(TimePoint Now) const;

private:
  struct Waiting {
    std::uint64_t Id_;
    TimePoint Deadline_;
    TimePoint Objective_;
    std::uint32_t Kind_;
    /// Was not expected to meet its objective when it was queued.
    bool Late_;

    /// Whether this request runs before another one that arrived later.
    bool precedes(const Waiting &Other) const;
  };
  /// Expectation for a request that is about to be queued.
  struct Forecast {
    /// Number of requests, including this one, that run up to it.
    std::size_t Before_ = 1;
    TimePoint Start_;
    /// Whether the answer is expected after the objective.
    bool Late_ = false;
  };
  /// Requests of one priority, ordered by objective and then by arrival. Those
  /// that were expected to be late when they were queued come last.
  using WaitingQueue = std::deque<Waiting>;

  struct Run {
    std::uint32_t Kind_;
    TimePoint Start_;
  };

  bool forecastsWork() const;
  /// Expected wait of a request that runs after those with the given run
  /// times, from the remaining work of each run.
  Duration remainingWait(std::span<const Duration> Before, TimePoint Now) const;
  bool transferIsTooLong(const CallTicket &Ticket, TimePoint Now) const;
  Forecast forecast(const CallTicket &Ticket, TimePoint Now) const;
  bool waitIsTooLong(const CallTicket &Ticket, const Forecast &Expected,
                     TimePoint Now) const;
  std::optional<RefusedTicket> displaceFor(const CallTicket &Ticket);
  RefusedTicket displaceLast(WaitingQueue &Waiters, ErrorCode Reason);
  ErrorCode queueFullReason(Priority Value) const;
  /// Reason for a request whose answer would come too late.
  ErrorCode lateReason(TimePoint Now) const;
  void start(std::uint64_t Id, std::uint32_t Kind, TimePoint Now);
  void refuseLate(WaitingQueue &Waiters, AdmissionActions &Actions,
                  TimePoint Now);
  void startQueued(AdmissionActions &Actions, TimePoint Now);

  AdmissionSettings Settings_;
  AdaptiveLimit Limit_;
  std::array<WaitingQueue, PriorityCount> Queues_;
  std::uint32_t QueuedCount_ = 0;
  /// Requests that hold a slot, by id.
  std::unordered_map<std::uint64_t, Run> Running_;
  RunTimes RunTimes_;
  WorkForecast Work_;
  ColdStartLimiter ColdStarts_;
  bool Draining_ = false;
  bool Leaving_ = false;
  bool TargetDown_ = false;
};

} // namespace marigold::admission
