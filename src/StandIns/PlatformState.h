#pragma once

#include "Support/Clock.h"
#include "Support/Result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::standins {

/// Faults that the simulated platform can inject.
enum class PlatformFault : std::uint8_t {
  None,
  /// Every read is answered with 503.
  Down,
  /// Reads return the previous text with its index.
  Stale,
  /// Successive reads alternate between the current and the previous text.
  Crossed,
  /// Every read is delayed.
  Slow,
  /// Restarts the index at 1. This is a single event and not a lasting fault.
  Forget
};

/// Parses the value of kind= in PUT /bench/fault. Fails with SettingInvalid.
Result<PlatformFault> parseFault(std::string_view Text);

/// Name of a fault, as used in PUT /bench/fault.
std::string_view toText(PlatformFault Value);

/// A configuration text with the index under which it was published.
struct PublishedText {
  /// Modify index, as in Consul.
  std::uint64_t Index_ = 0;
  std::string Text_;
};

/// A host in the catalogue.
struct CatalogHost {
  /// Name of the host.
  std::string Node_;
  /// IP address.
  std::string Address_;
  /// Service, failure domain, region, state and ports by name.
  std::map<std::string, std::string> Meta_;

  friend bool operator==(const CatalogHost &, const CatalogHost &) = default;
};

/// Equality condition on one Meta field.
struct CatalogFilter {
  /// Name of the field.
  std::string Field_;
  /// Required value.
  std::string Value_;
};

/// Parses Meta.<field>==<value>, where the value may be quoted. Fails with
/// SettingInvalid.
Result<CatalogFilter> parseFilter(std::string_view Text);

/// Texts, hosts and faults of the simulated platform. Does no I/O and reads no
/// clock.
class PlatformState {
public:
  /// HostsLag is the delay after which a changed host list becomes visible.
  explicit PlatformState(Duration HostsLag) : HostsLag_(HostsLag) {}

  /// Publishes a text and returns its index.
  std::uint64_t publish(const std::string &Key, std::string Text);

  /// Replaces the host list. The new list becomes visible after HostsLag.
  void setHosts(std::vector<CatalogHost> Hosts, TimePoint Now);

  /// Activates a fault. Forget renumbers the texts from 1 and leaves no fault
  /// active.
  void setFault(PlatformFault Fault);

  /// Active fault.
  PlatformFault fault() const { return Fault_; }

  /// Number of resets of the state by Forget or Down. A watch ends when this
  /// number changes.
  std::uint64_t generation() const { return Generation_; }

  /// Index of the whole store, returned for keys that do not exist.
  std::uint64_t index() const { return Index_; }

  /// Index with which a watch of the key is compared; 0 if the key does not
  /// exist.
  std::uint64_t keyIndex(const std::string &Key) const;

  /// Returns the text for a read of the key; null if the key does not exist.
  /// While the fault Crossed is active, successive calls alternate between two
  /// texts.
  const PublishedText *read(const std::string &Key);

  /// Existing keys that start with Prefix.
  std::vector<std::string> keys(std::string_view Prefix) const;

  /// Highest index of the keys that start with Prefix; 0 if there are none.
  std::uint64_t prefixIndex(std::string_view Prefix) const;

  /// Visible hosts that match the filter.
  std::vector<CatalogHost> hosts(const std::optional<CatalogFilter> &Filter,
                                 TimePoint Now);

  /// Index of the visible host list.
  std::uint64_t hostsIndex(TimePoint Now);

private:
  struct HostList {
    TimePoint VisibleAt_;
    std::uint64_t Index_ = 1;
    std::vector<CatalogHost> Hosts_;
  };

  /// The last two texts of a key at most, oldest first; the faults need no
  /// more.
  using History = std::vector<PublishedText>;

  const PublishedText &visible(const History &Texts) const;
  const HostList &visibleHosts(TimePoint Now);

  Duration HostsLag_;
  std::map<std::string, History> Texts_;
  std::vector<HostList> HostLists_{HostList{}};
  PlatformFault Fault_ = PlatformFault::None;
  std::uint64_t Index_ = 1;
  std::uint64_t Generation_ = 0;
  std::uint64_t CrossedReads_ = 0;
};

} // namespace marigold::standins
