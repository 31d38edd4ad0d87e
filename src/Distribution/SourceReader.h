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

/// Who reads the source.
enum class SourceMode : std::uint8_t {
  /// Some nodes of each failure domain; the others get versions from peers.
  Peers,
  /// Each node, the baseline of measurements.
  EveryNode
};

/// Who reads the source in mode Peers once no confirmation by it is young
/// enough.
enum class Takeover : std::uint8_t {
  /// A few random nodes, more with time.
  Spread,
  /// Every node, until confirmations of others have been young for a while.
  /// For bounds that leave no time to wait for others.
  AtOnce
};

/// Why a node reads the source, or that it does not.
enum class SourceRole : std::uint8_t { None, Reader, Takeover };

/// Name for logs.
std::string_view toText(SourceRole Role);

/// Start a blocking read of the key names (?keys). The answer goes to onKeys
/// or onFailure.
struct WatchKeys {
  /// Index to wait beyond; 0 answers at once.
  std::uint64_t Index_ = 0;
  /// Longest wait at the source.
  std::chrono::milliseconds Wait_{};
};

/// Fetch the text. Offer it to the store, then call onText; or onFailure.
struct FetchText {};

/// Read the host list of this node's failure domain. The answer goes to
/// HostListMerger; then call onHosts, or onFailure.
struct ReadHosts {};

/// What the caller has to do.
using SourceAction = std::variant<WatchKeys, FetchText, ReadHosts>;

/// List of actions.
using SourceActions = std::vector<SourceAction>;

/// Kind of call to the source.
enum class SourceCall : std::uint8_t { Keys, Text, Hosts };

/// Times and limits of source reads.
struct SourceReaderOptions {
  /// Setting source-mode.
  SourceMode Mode_ = SourceMode::Peers;
  /// Setting source-readers.
  std::size_t Readers_ = 2;
  /// Setting source-wait. In mode Peers a wait is at most ConfirmWait_, since
  /// only a completed read confirms the source to the others.
  std::chrono::milliseconds Wait_ = std::chrono::seconds(30);
  /// Longest wait in mode Peers; below StaleAfter_ with room for the spread of
  /// the age by probes.
  std::chrono::milliseconds ConfirmWait_ = std::chrono::seconds(6);
  /// Mean time between the end of a read of the host list, which waits for a
  /// change, and the next one.
  Duration HostsInterval_ = std::chrono::seconds(30);
  /// Setting restart-spread: time after the start before the role of a reader
  /// is taken up, spread evenly over the second half of this window. A node
  /// that has just started knows few hosts and would take itself for a reader.
  Duration RestartSpread_ = std::chrono::seconds(10);
  /// Time between the fetches of two readers.
  Duration FetchStep_ = std::chrono::milliseconds(150);
  /// Setting source-stale-after: age of the last source confirmation from
  /// which on any node may read.
  std::chrono::milliseconds StaleAfter_ = std::chrono::seconds(10);
  /// Setting source-takeover.
  Takeover Takeover_ = Takeover::Spread;
  /// Time for which a node acts as a reader after a takeover at once, so that
  /// it does not change its role with each late confirmation.
  Duration TakeoverHold_ = std::chrono::seconds(3);
  /// Time in which the expected number of such reads in the fleet doubles.
  Duration TakeoverDoubling_ = std::chrono::seconds(5);
  /// Highest expected number of such reads per second in the whole fleet;
  /// bounds the load of a source that comes back after an outage.
  double TakeoverLimit_ = 50;
  /// Shortest time between two watches and after a change, so that a source
  /// that answers at once is not called in a loop and changes in quick
  /// succession are read together.
  Duration WatchGap_ = std::chrono::milliseconds(200);
  /// First and highest ceiling of the delay after a failed call.
  Duration FirstBackoff_ = std::chrono::milliseconds(500);
  Duration MaxBackoff_ = std::chrono::seconds(30);
};

/// Decides when this node reads the source. Holds no socket: the caller makes
/// the calls and reports their results. Not safe for use by several threads
/// at once.
class SourceReader {
public:
  /// Table, Store and Confirmation must outlive it. Own is entered in Table.
  SourceReader(const membership::HostTable &Table, const VersionStore &Store,
               SourceConfirmation &Confirmation, const HostId &Own,
               std::string FailureDomain, SourceReaderOptions Options,
               Random Rng, TimePoint Now);

  /// Calls that are due. To be called about every 50 ms once the node has
  /// completed its bootstrap.
  SourceActions tick(TimePoint Now);

  /// The watch was answered, at its end or because the index changed. Index is
  /// X-Consul-Index.
  void onKeys(std::uint64_t Index, TimePoint Now);

  /// The text was fetched with this index and offered or refused.
  void onText(std::uint64_t Index, TimePoint Now);

  /// The host list was read.
  void onHosts(TimePoint Now);

  /// A call failed; the next one waits.
  void onFailure(SourceCall Call, TimePoint Now);

  /// Whether this node has the role of a reader now.
  bool isReader(TimePoint Now) const;

  /// Role as of the last tick.
  SourceRole role() const { return ActualRole_; }

  /// Times that the index of the source fell below one seen before.
  std::uint64_t indexFalls() const { return IndexFalls_; }

  /// Reads taken over because no confirmation was young enough.
  std::uint64_t takeovers() const { return Takeovers_; }

private:
  bool isHandled(std::uint64_t Index) const;
  SourceRole decideRole(TimePoint Now);
  bool takesOver(TimePoint Now);
  void planFetch(TimePoint Now);
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

  TimePoint RoleFrom_;
  TimePoint NotBefore_;
  TimePoint NextWatch_;
  TimePoint NextHosts_;
  TimePoint NextTakeoverDraw_;
  /// End of the time for which a takeover at once lasts.
  TimePoint ActsUntil_;
  SourceRole ActualRole_ = SourceRole::None;
  bool WatchRunning_ = false;
  bool FetchRunning_ = false;
  bool HostsRunning_ = false;
  std::optional<TimePoint> FetchAt_;
  // Index of the latest watch, index of the watch whose text is being fetched,
  // and index of the latest watch whose text was handled.
  std::uint64_t SeenIndex_ = 0;
  TimePoint SeenAt_;
  std::uint64_t FetchIndex_ = 0;
  std::uint64_t HandledIndex_ = 0;
  // Whether the source's index is known to continue the held version's. It is
  // not at the start and after the index fell: the source may have lost its
  // history and reuse numbers, and only the text's epoch can tell.
  bool Agreed_ = false;
  std::uint64_t IndexFalls_ = 0;
  std::uint64_t Takeovers_ = 0;
  // Role as of a generation of the host table; computing it hashes each host
  // of the failure domain.
  mutable std::uint64_t RoleGeneration_ = ~std::uint64_t(0);
  mutable bool Role_ = false;
};

} // namespace marigold::distribution
