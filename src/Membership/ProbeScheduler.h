#pragma once

#include "Membership/Actions.h"
#include "Membership/HostTable.h"
#include "Membership/LocalHealth.h"
#include "Membership/SuspicionTable.h"
#include "Membership/UpdateQueue.h"
#include "Support/Random.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>

namespace marigold::membership {

/// Maximum size in bytes of a datagram of the peer protocol.
inline constexpr std::size_t MaxDatagramBytes = 1200;

/// Maximum number of host updates per datagram.
inline constexpr std::size_t MaxUpdates = 4;

/// Timing and limits of the failure detector.
struct ProbeOptions {
  /// Time between two probes.
  Duration Interval_ = std::chrono::seconds(1);
  /// Time to wait for a direct answer, and then again for indirect ones.
  Duration Timeout_ = std::chrono::milliseconds(300);
  /// Maximum time that a suspected host has to refute the suspicion.
  Duration SuspicionTimeout_ = std::chrono::seconds(3);
  /// Number of helpers that are asked to probe the subject when the direct
  /// probe fails.
  std::size_t IndirectProbes_ = 3;
  /// Mean time between two probes of a random dead host. At 3,000 nodes, some
  /// node probes a dead host of a healed partition within a fraction of a
  /// second.
  Duration DeadProbeInterval_ = std::chrono::seconds(10);
  /// Hosts of the setting seeds. At each DeadProbeInterval_ one of those not
  /// known to be alive is probed: parts of a mesh that started separately, or
  /// have expired each other's records, cannot find each other in any other
  /// way.
  std::vector<HostId> Seeds_;
  /// Maximum number of hosts probed per second to verify a dead record received
  /// in a table exchange. Bounds the traffic after a partition.
  std::size_t VerificationsPerSecond_ = 10;
};

/// Returns the node summary that is sent with each probe and answer.
/// HostsDigest is added by the scheduler.
using SummaryProvider = std::function<NodeSummary(TimePoint Now)>;

/// SWIM failure detector with the Lifeguard extensions: local health, suspicion
/// timeouts that shorten with confirmations, and early notification of the
/// suspect. The caller sends the datagrams, calls tick about every 50 ms and
/// applies the returned actions. Not thread-safe.
class ProbeScheduler {
public:
  /// Table must outlive the scheduler; Own is added to it. Own.Incarnation_ is
  /// the wall-clock time in ms at the start of the process.
  ProbeScheduler(HostTable &Table, HostRecord Own, ProbeOptions Options,
                 SummaryProvider Summary, Random Rng, TimePoint Now);

  /// Starts due probes and ends overdue ones. If the gap between two ticks is
  /// longer than the probe timeout and than 200 ms, answers may be waiting
  /// unread in the socket, so all deadlines are moved by the gap.
  Actions tick(TimePoint Now);

  /// Handles a probe; the returned actions contain the answer. A probe of a
  /// different subject is ignored.
  Actions onPing(const Ping &Message, TimePoint Now);

  /// Handles the answer to a probe. Its records are merged even if the probe
  /// has already ended.
  Actions onAck(const Ack &Message, TimePoint Now);

  /// Handles a request to probe a third host on behalf of the sender.
  Actions onPingRequest(const PingRequest &Message, TimePoint Now);

  /// Handles a notice of a host's state, sent by the host itself or by the node
  /// that declared it dead.
  Actions onNotice(const HostStateNotice &Message, TimePoint Now);

  /// Merges the sender's record from a Hello frame.
  Actions onHello(const HostRecord &Sender, TimePoint Now);

  /// Merges the records of a SyncReply or HostExchange. Suspect and Dead
  /// records of hosts that this node considers alive are not adopted, because
  /// they may predate the end of a partition. Dead ones are verified by a probe
  /// instead.
  Actions onExchange(std::span<const HostRecord> Records, TimePoint Now);

  /// Merges records produced by HostListMerger.
  Actions onListed(std::span<const HostRecord> Records, TimePoint Now);

  /// Probes an address whose host may be unknown, as a starting node does with
  /// its seeds. A missing answer does not raise a suspicion.
  Actions probeAddress(const HostId &Id, TimePoint Now);

  /// Probes a host immediately, because a caller lost its connection to it. At
  /// one probe per second from each node, a host is otherwise probed by some
  /// node only after about one second, and after about 5 s in one case out of a
  /// hundred. Does nothing if the host is not known to be alive or is already
  /// being probed.
  Actions probeNow(const HostId &Id, TimePoint Now);

  /// Sets the service in the own record and increments its sequence, so that
  /// peers learn it.
  Actions setOwnService(std::string Service, TimePoint Now);

  /// Changes this node's own state and raises its sequence.
  Actions setOwnState(HostState State, TimePoint Now);

  /// This node's own record.
  const HostRecord &ownRecord() const { return Own_; }

  /// Returns whether most recent probes failed without evidence that this
  /// node's own network works. A degraded node declares no host dead.
  bool isDegraded() const { return Health_.isDegraded(); }

  /// Local health multiplier, 1 when healthy.
  unsigned healthMultiplier() const { return Health_.multiplier(); }

  /// Number of running suspicions.
  std::size_t suspicionCount() const { return Suspicions_.size(); }

  /// Number of updates queued for dissemination.
  std::size_t queuedUpdates() const { return Updates_.size(); }

private:
  struct Probe {
    HostId Subject_;
    TimePoint Deadline_;
    std::vector<HostId> Helpers_;
    std::set<HostId> NackedBy_;
  };
  struct Relay {
    HostRecord Requester_;
    std::uint32_t RequesterSequence_ = 0;
    HostId Subject_;
    TimePoint Deadline_;
  };

  void shiftDeadlines(Duration Gap);
  void startProbe(const HostId &Subject, const HostRecord &Claim, TimePoint Now,
                  Actions &Out);
  void probeNext(TimePoint Now, Actions &Out);
  void sendPingRequests(std::uint32_t Sequence, Probe &Running, TimePoint Now,
                        Actions &Out);
  void endProbes(TimePoint Now, Actions &Out);
  void onProbeAnswer(const Ack &Message, TimePoint Now, Actions &Out);
  void onRelayAnswer(const Ack &Message, TimePoint Now, Actions &Out);
  void failProbe(const Probe &Failed, TimePoint Now, Actions &Out);
  void endRelays(TimePoint Now, Actions &Out);
  void probeDead(TimePoint Now, Actions &Out);
  void probeSeed(TimePoint Now, Actions &Out);
  void verifyNext(TimePoint Now, Actions &Out);
  void processSuspicions(TimePoint Now, Actions &Out);
  void declareDead(const HostId &Subject, TimePoint Now, Actions &Out);
  bool merge(const HostUpdate &Update, bool Disseminate, TimePoint Now,
             Actions &Out);
  void mergeUpdates(const std::vector<HostUpdate> &Received, TimePoint Now,
                    Actions &Out);
  void mergeExchanged(const HostRecord &Record, TimePoint Now, Actions &Out);
  void mergeOwn(const HostRecord &Claim, TimePoint Now, Actions &Out);
  void mergeSender(const HostRecord &Sender, TimePoint Now, Actions &Out);
  void raiseOwnRecordAbove(std::uint64_t Incarnation, std::uint32_t Sequence,
                           TimePoint Now, Actions &Out);
  void publishOwn(TimePoint Now, Actions &Out);
  std::uint32_t sendPing(const HostId &To, TimePoint Now, Actions &Out);
  std::uint32_t sendPing(const HostId &To, const HostRecord &Claim,
                         TimePoint Now, Actions &Out);
  void sendAck(const HostRecord &To, std::uint32_t Sequence,
               const HostId &Subject, bool Reached, TimePoint Now,
               Actions &Out);
  Duration probeTimeout() const;
  NodeSummary summary(TimePoint Now) const;
  template <class Message> void addUpdates(const HostId &To, Message &Sent);
  std::optional<HostId> nextSubject();
  void insertIntoRound(const HostId &Id);

  HostTable &Table_;
  HostRecord Own_;
  ProbeOptions Options_;
  SummaryProvider Summary_;
  Random Rng_;
  LocalHealth Health_;
  SuspicionTable Suspicions_;
  UpdateQueue Updates_;
  std::vector<HostId> ProbeRound_;
  std::map<std::uint32_t, Probe> Probes_;
  std::map<std::uint32_t, Relay> Relays_;
  // Dead records received for hosts that this node considers alive, waiting to
  // be verified by a probe.
  std::deque<HostRecord> Verifications_;
  std::uint32_t NextSequence_ = 1;
  TimePoint LastTick_;
  TimePoint NextProbe_;
  TimePoint NextDeadProbe_;
  TimePoint NextVerification_;
  TimePoint NextExpiry_;
};

} // namespace marigold::membership
