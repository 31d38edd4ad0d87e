#pragma once

#include "Distribution/SourceConfirmation.h"
#include "Distribution/VersionStore.h"
#include "Membership/HostTable.h"
#include "Support/Backoff.h"
#include "Support/Random.h"

#include <string_view>
#include <variant>
#include <vector>

namespace marigold::distribution {

/// Which nodes read the source.
enum class SourceMode : std::uint8_t {
  /// Some nodes of each failure domain; the others receive versions from peers.
  Peers,
  /// Every node; the baseline for measurements.
  EveryNode
};

/// Which nodes read the source in mode Peers when the last source confirmation
/// is older than StaleAfter_.
enum class Takeover : std::uint8_t {
  /// A few random nodes, whose expected number grows with time.
  Spread,
  /// Every node, until confirmations from other nodes have been recent for
  /// TakeoverHold_. For time limits that are too short to wait for other nodes.
  AtOnce
};

/// Reason why a node reads the source; None if it does not.
enum class SourceRole : std::uint8_t { None, Reader, Takeover };

/// Returns the name used in logs.
std::string_view toText(SourceRole Role);

/// Start a blocking read of the key names (?keys). The answer goes to onKeys,
/// an error to onFailure.
struct WatchKeys {
  /// Index that the answer must exceed; 0 returns immediately.
  std::uint64_t Index_ = 0;
  /// Maximum wait at the source.
  std::chrono::milliseconds Wait_{};
};

/// Fetch the text. Offer it to the store, then call onText; on an error call
/// onFailure.
struct FetchText {};

/// Read the host list of this node's failure domain. The answer goes to
/// HostListMerger; then call onHosts. On an error call onFailure.
struct ReadHosts {};

/// A call to the source that the caller must make.
using SourceAction = std::variant<WatchKeys, FetchText, ReadHosts>;

using SourceActions = std::vector<SourceAction>;

enum class SourceCall : std::uint8_t { Keys, Text, Hosts };

/// Timing and limits of reads from the source.
struct SourceReaderOptions {
  /// Setting source-mode.
  SourceMode Mode_ = SourceMode::Peers;
  /// Setting source-readers.
  std::size_t Readers_ = 2;
  /// Setting source-wait. In mode Peers a wait is at most ConfirmWait_, because
  /// only a completed read confirms the source to the other nodes.
  std::chrono::milliseconds Wait_ = std::chrono::seconds(30);
  /// Maximum wait in mode Peers. Less than StaleAfter_ by enough time for
  /// probes to spread the age.
  std::chrono::milliseconds ConfirmWait_ = std::chrono::seconds(6);
  /// Mean time between the end of a read of the host list, which blocks until a
  /// change, and the start of the next one.
  Duration HostsInterval_ = std::chrono::seconds(30);
  /// Setting restart-spread. The node becomes eligible as a reader at a random
  /// time in the second half of this window after its start. A node that has
  /// just started knows few hosts and would otherwise consider itself a reader.
  Duration RestartSpread_ = std::chrono::seconds(10);
  /// Time between the fetches of two readers.
  Duration FetchStep_ = std::chrono::milliseconds(150);
  /// Setting source-stale-after: age of the last source confirmation from which
  /// any node may read.
  std::chrono::milliseconds StaleAfter_ = std::chrono::seconds(10);
  /// Setting source-takeover.
  Takeover Takeover_ = Takeover::Spread;
  /// Minimum time for which a node acts as a reader after a takeover in mode
  /// AtOnce, so that its role does not change with each late confirmation.
  /// Short, because after an outage every node has taken over, and each reads
  /// every change until its role ends.
  Duration TakeoverHold_ = std::chrono::seconds(1);
  /// In mode Spread, the time in which the expected number of takeover reads in
  /// the fleet doubles.
  Duration TakeoverDoubling_ = std::chrono::seconds(5);
  /// Maximum expected number of takeover reads per second in the whole fleet;
  /// bounds the load on a source that recovers from an outage.
  double TakeoverLimit_ = 50;
  /// Minimum time between two watches, and between a change and the next watch.
  /// A source that answers immediately is then not called in a busy loop, and
  /// changes in quick succession are read together.
  Duration WatchGap_ = std::chrono::milliseconds(200);
  /// First and highest upper bound of the random delay after a failed call.
  Duration FirstBackoff_ = std::chrono::milliseconds(500);
  Duration MaxBackoff_ = std::chrono::seconds(30);
  /// The same for a node that has taken over in mode AtOnce. If its calls fail,
  /// the source is probably down for all, and hundreds of nodes that all retry
  /// as often as readers would add to its load. The readers go on and confirm
  /// their answer to the other nodes, which then need no call of their own.
  Duration FirstTakeoverBackoff_ = std::chrono::seconds(1);
  Duration MaxTakeoverBackoff_ = std::chrono::seconds(4);
};

/// Decides when this node reads the source. It performs no I/O: the caller
/// makes the calls and reports their results. Not thread-safe.
class SourceReader {
public:
  /// Table, Store and Confirmation must outlive the reader. Own must be in
  /// Table.
  SourceReader(const membership::HostTable &Table, const VersionStore &Store,
               SourceConfirmation &Confirmation, const HostId &Own,
               std::string FailureDomain, SourceReaderOptions Options,
               Random Rng, TimePoint Now);

  /// Returns the calls that are due. Must be called about every 50 ms once the
  /// node has completed its bootstrap.
  SourceActions tick(TimePoint Now);

  /// Reports the answer to a watch, which ended because its wait was over or
  /// the index changed. Index is the value of X-Consul-Index.
  void onKeys(std::uint64_t Index, TimePoint Now);

  /// Reports that the text with this index was fetched and was adopted or
  /// refused.
  void onText(std::uint64_t Index, TimePoint Now);

  /// Reports that the host list was read. This does not confirm the source: the
  /// list says nothing about the configuration.
  void onHosts(TimePoint Now);

  /// Reports a failed call; the next one is delayed by backoff.
  void onFailure(SourceCall Call, TimePoint Now);

  /// Returns whether this node is a reader of its failure domain now.
  bool isReader(TimePoint Now) const;

  /// Role determined by the last tick.
  SourceRole role() const { return Role_; }

  /// Number of times that the index of the source fell below one seen before.
  std::uint64_t indexFalls() const { return IndexFalls_; }

  /// Number of takeovers because no recent confirmation was known.
  std::uint64_t takeovers() const { return Takeovers_; }

private:
  bool isHandled(std::uint64_t Index) const;
  SourceRole decideRole(TimePoint Now);
  bool drawsTakeover(TimePoint Now);
  void scheduleFetch(TimePoint Now);
  void fetch(TimePoint Now, SourceActions &Out);
  void watch(bool Reader, TimePoint Now, SourceActions &Out);
  void readHosts(TimePoint Now, SourceActions &Out);

  const membership::HostTable &Table_;
  const VersionStore &Store_;
  SourceConfirmation &Confirmation_;
  HostId Own_;
  std::string FailureDomain_;
  SourceReaderOptions Options_;
  Random Rng_;
  Backoff Backoff_;
  Backoff HostsBackoff_;
  Backoff TakeoverBackoff_;

  TimePoint RoleStartsAt_;
  TimePoint NotBefore_;
  TimePoint NextWatch_;
  TimePoint NextHosts_;
  TimePoint NextTakeoverDraw_;
  /// End of the current takeover in mode AtOnce.
  TimePoint TakeoverUntil_;
  SourceRole Role_ = SourceRole::None;
  bool WatchRunning_ = false;
  bool FetchRunning_ = false;
  bool HostsRunning_ = false;
  std::optional<TimePoint> FetchAt_;
  // SeenIndex_ is the index of the latest watch, FetchIndex_ that of the watch
  // whose text is being fetched, HandledIndex_ that of the latest watch whose
  // text was handled.
  std::uint64_t SeenIndex_ = 0;
  TimePoint SeenAt_;
  std::uint64_t FetchIndex_ = 0;
  std::uint64_t HandledIndex_ = 0;
  // Whether the index of the source is known to continue that of the current
  // version. It is not after the start and after the index fell: the source may
  // have lost its history and reuse indexes, which only the epoch in the text
  // reveals.
  bool IndexTrusted_ = false;
  std::uint64_t IndexFalls_ = 0;
  std::uint64_t Takeovers_ = 0;
  // Result of isReader for one generation of the host table, cached because
  // computing it hashes each host of the failure domain.
  mutable std::uint64_t CachedGeneration_ = ~std::uint64_t(0);
  mutable bool CachedIsReader_ = false;
};

} // namespace marigold::distribution
