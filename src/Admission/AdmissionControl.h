#pragma once

#include "Admission/AdaptiveLimit.h"
#include "Admission/RunTimes.h"
#include "Schema/generated/Errors.h"
#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marigold::admission {

/// A request that asks for a slot of the target.
struct CallTicket {
  /// Number chosen by the node, never reused while the node runs.
  std::uint64_t Id_ = 0;
  /// Importance.
  Priority Priority_ = Priority::Normal;
  /// Time at which the request's answer is no longer wanted.
  TimePoint Deadline_;
  /// Time until which the answer has its full use; max() without an objective.
  TimePoint Objective_ = TimePoint::max();
  /// Time that the answer will wait for the host's link and take on it; zero
  /// for small answers.
  Duration Transfer_{};
  /// Kind of request, for the time that its run is expected to take.
  std::uint32_t Kind_ = 0;
};

/// A queued request that leaves without a run.
struct RefusedTicket {
  std::uint64_t Id_ = 0;
  /// A code whose outcome is NotRun.
  ErrorCode Reason_ = ErrorCode::QueueFull;

  friend bool operator==(const RefusedTicket &,
                         const RefusedTicket &) = default;
};

/// What the node has to do after an event: forward some requests to the
/// target and refuse others.
struct AdmissionActions {
  /// Tickets that now hold a slot; each ends with finish.
  std::vector<std::uint64_t> Start_;
  std::vector<RefusedTicket> Refuse_;
};

/// Decision on a new request.
enum class Admission : std::uint8_t { Run, Queue, Refuse };

/// Result of submit.
struct Submission {
  Admission Admission_ = Admission::Refuse;
  /// Set for Refuse: QueueFull, HopelessWait (the answer would come after the
  /// objective or the deadline; the caller's node may try another host), Shed,
  /// Draining, TargetDown or DeadlineBeforeRun.
  ErrorCode Reason_ = ErrorCode::QueueFull;
  /// Queued request that this one displaced; refuse it.
  std::optional<RefusedTicket> Displaced_;
};

/// How a run ended, for the adaptive limit and the estimate of waiting times.
struct RunSample {
  /// Time between forwarding to the target and the end of its answer.
  Duration Latency_{};
  /// False when the target was not reached or the caller cancelled; the
  /// latency then says nothing.
  bool Measured_ = true;
  /// The run failed because of load: deadline exceeded or shed by the target.
  bool Overloaded_ = false;
};

/// Parameters of AdmissionControl.
struct AdmissionSettings {
  /// Requests that the target runs at once (ServiceConfig::Slots_).
  std::uint32_t Slots_ = 1;
  /// Requests that may wait (ServiceConfig::Queue_).
  std::uint32_t Queue_ = 0;
  /// Whether the limit adapts to latency (setting adaptive-limit).
  bool Adaptive_ = true;
  AdaptiveLimitSettings AdaptiveSettings_ = {};
};

/// Slots and queue of the target beside this node. Every request passes here,
/// so that the count of running requests is exact. Under overload the least
/// important requests leave first, and of equally important ones the latest
/// arrival, because the earlier one has waited already.
///
/// Load patterns and the decisions that answer them:
/// - A burst beyond the slots: requests wait, those of the earliest objective
///   first, so that short calls made by running work pass long ones.
/// - Short calls of running work among long requests that fill the queue: each
///   kind of request is expected to take the time of its own runs, and one with
///   an earlier objective takes the place of the one with the latest.
/// - A lasting overload: a request joins the queue only when its answer would
///   still meet the objective. All others are refused at once; a queue that is
///   longer would only make every answer late.
/// - Runs that become slower while requests wait: a waiting request that can no
///   longer meet its objective makes room for those that can.
/// - Large answers beyond the rate of the host's link: a request whose answer
///   would wait for the link beyond the objective is refused although slots
///   are free; its answer would only delay the others.
/// - A slow target: one whose runs alone miss the objective has a short queue,
///   so that callers' nodes prefer the others.
class AdmissionControl {
public:
  explicit AdmissionControl(AdmissionSettings Settings);

  /// Decides on a new request. The id must not be in use.
  Submission submit(const CallTicket &Ticket, TimePoint Now);

  /// A running request ended; its slot goes to the queue. An id that does not
  /// run is ignored.
  AdmissionActions finish(std::uint64_t Id, const RunSample &Sample,
                          TimePoint Now);

  /// The caller went away. A queued request leaves with CancelledBeforeRun; a
  /// running one keeps its slot until finish, because the target still works.
  AdmissionActions cancel(std::uint64_t Id, TimePoint Now);

  /// Refuses queued requests whose deadline has passed.
  AdmissionActions expire(TimePoint Now);

  /// Refuses new and queued requests with Draining from now on.
  AdmissionActions beginDrain(TimePoint Now);

  /// The platform names the target as leaving: refuses new and queued requests
  /// with Draining until it no longer does.
  AdmissionActions setLeaving(bool Leaving, TimePoint Now);

  /// The target accepts no connections: refuses new and queued requests with
  /// TargetDown until targetUp.
  AdmissionActions targetDown(TimePoint Now);

  /// The target accepts connections again; a new process has a new limit.
  void targetUp();

  /// Applies changed figures of the configuration. Requests that no longer fit
  /// the queue leave with Shed, running ones are not touched.
  AdmissionActions configure(std::uint32_t Slots, std::uint32_t Queue,
                             TimePoint Now);

  /// Earliest deadline in the queue, when expire has to be called next;
  /// TimePoint::max() when the queue is empty.
  TimePoint nextExpiry() const;

  /// Time after which a request that is refused now would probably find a
  /// slot: the time in which the requests before it end.
  std::chrono::milliseconds retryAfter() const;

  /// Requests that hold a slot.
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running_.size());
  }

  /// Requests in the queue.
  std::uint32_t queued() const { return QueuedCount_; }

  /// Concurrency limit in force.
  std::uint32_t limit() const;

  /// Whether beginDrain was called.
  bool draining() const { return Draining_; }

  /// Load that rides on answers.
  LoadReport load() const;

private:
  struct Waiting {
    std::uint64_t Id_;
    TimePoint Deadline_;
    TimePoint Objective_;
    std::uint32_t Kind_;
  };
  /// Requests of one priority by objective, equal ones by arrival.
  using WaitingQueue = std::deque<Waiting>;

  bool transferIsTooLong(const CallTicket &Ticket, TimePoint Now) const;
  bool waitIsTooLong(const CallTicket &Ticket, TimePoint Now) const;
  std::optional<RefusedTicket> displaceFor(const CallTicket &Ticket);
  RefusedTicket displaceLast(WaitingQueue &Waiters, ErrorCode Reason);
  ErrorCode queueFullReason(Priority Value) const;
  void refuseLate(WaitingQueue &Waiters, AdmissionActions &Actions,
                  TimePoint Now);
  void startQueued(AdmissionActions &Actions, TimePoint Now);
  void refuseQueue(AdmissionActions &Actions, ErrorCode Reason);

  AdmissionSettings Settings_;
  AdaptiveLimit Limit_;
  std::array<WaitingQueue, PriorityCount> Queues_;
  std::uint32_t QueuedCount_ = 0;
  /// Kind of each request that holds a slot, by id.
  std::unordered_map<std::uint64_t, std::uint32_t> Running_;
  RunTimes RunTimes_;
  bool Draining_ = false;
  bool Leaving_ = false;
  bool TargetDown_ = false;
};

} // namespace marigold::admission
