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

/// Largest datagram of the peer protocol.
inline constexpr std::size_t MaxDatagramBytes = 1200;

/// Most host updates of one datagram.
inline constexpr std::size_t MaxUpdates = 4;

/// Times and limits of probing.
struct ProbeOptions {
  /// Time between two probes.
  Duration Interval_ = std::chrono::seconds(1);
  /// Wait for a direct answer, and then for indirect ones.
  Duration Timeout_ = std::chrono::milliseconds(300);
  /// Longest time in which a suspected host can refute.
  Duration SuspicionTimeout_ = std::chrono::seconds(3);
  /// Helpers that are asked when the direct probe fails.
  std::size_t IndirectProbes_ = 3;
  /// Time between two probes of a random dead host. At 3,000 nodes a dead
  /// host of a healed partition is found within a fraction of a second.
  Duration DeadProbeInterval_ = std::chrono::seconds(10);
  /// Hosts of the setting seeds. One that is not known to be alive is asked at
  /// each DeadProbeInterval_: parts of a mesh that started apart, or forgot
  /// each other, have no records by which they could find each other.
  std::vector<HostId> Seeds_;
  /// Most hosts per second that are asked whether a dead record that came in
  /// an exchange of tables is true. Bounds the traffic after a partition.
  std::size_t VerificationsPerSecond_ = 10;
};

/// Gives the state that rides on probes, without HostsDigest.
using SummaryProvider = std::function<NodeSummary(TimePoint Now)>;

/// Failure detector after SWIM with the extensions of Lifeguard: local health,
/// suspicion that shortens with confirmations, and early word to the suspect.
/// The caller sends the datagrams, calls tick about every 50 ms, and uses the
/// actions. Not safe for use by several threads at once.
class ProbeScheduler {
public:
  /// Works on Table, which must outlive it and in which Own is entered.
  /// Own.Incarnation_ is the wall clock in ms at the start of the process.
  ProbeScheduler(HostTable &Table, HostRecord Own, ProbeOptions Options,
                 SummaryProvider Summary, Random Rng, TimePoint Now);

  /// Starts probes and ends those that are overdue. A gap between two ticks
  /// above the probe timeout means that answers may wait unread: all deadlines
  /// move by the gap.
  Actions tick(TimePoint Now);

  /// Handles a probe; the actions contain the answer. A probe that is meant
  /// for another host is ignored.
  Actions onPing(const Ping &Message, TimePoint Now);

  /// Handles an answer. Its records count even when the probe is over.
  Actions onAck(const Ack &Message, TimePoint Now);

  /// Handles a request to probe a third host.
  Actions onPingRequest(const PingRequest &Message, TimePoint Now);

  /// Handles a notice of a host's state, from the host itself or from the
  /// node that declared it dead.
  Actions onNotice(const HostStateNotice &Message, TimePoint Now);

  /// Handles the sender's record of a Hello frame.
  Actions onHello(const HostRecord &Sender, TimePoint Now);

  /// Merges records of a SyncReply or HostExchange. Judgements in them are
  /// not taken over for hosts that this node holds to be alive, because after
  /// a partition they are old; such hosts are asked instead.
  Actions onExchange(std::span<const HostRecord> Records, TimePoint Now);

  /// Merges records that HostListMerger made from the host list.
  Actions onListed(std::span<const HostRecord> Records, TimePoint Now);

  /// Sends a probe to an address of which nothing needs to be known, for
  /// starting nodes that ask their seeds. No suspicion follows from it.
  Actions probeAddress(const HostId &Id, TimePoint Now);

  /// Probes a host at once, for a caller whose connection to it was lost. With
  /// one probe a second a host waits about a second, and in one case of a
  /// hundred about 5 s, until any node probes it. Does nothing for a host that
  /// is not known to be alive or is being probed.
  Actions probeNow(const HostId &Id, TimePoint Now);

  /// Changes this node's own state. Raises the sequence.
  Actions setOwnState(HostState State, TimePoint Now);

  /// This node's own record.
  const HostRecord &ownRecord() const { return Own_; }

  /// Whether most recent probes failed without a sign that this node's own
  /// network works. Such a node declares nobody dead.
  bool isDegraded() const { return Health_.isDegraded(); }

  /// Local health multiplier, 1 when healthy.
  unsigned healthMultiplier() const { return Health_.multiplier(); }

  /// Number of suspicions that run.
  std::size_t suspicionCount() const { return Suspicions_.size(); }

  /// Number of updates that wait to ride on datagrams.
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
  // Dead records of hosts that this node holds to be alive.
  std::deque<HostRecord> Verifications_;
  std::uint32_t NextSequence_ = 1;
  TimePoint LastTick_;
  TimePoint NextProbe_;
  TimePoint NextDeadProbe_;
  TimePoint NextVerification_;
  TimePoint NextExpiry_;
};

} // namespace marigold::membership
