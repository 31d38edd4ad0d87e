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

/// Ways in which the stand-in's configuration service misbehaves.
enum class PlatformFault : std::uint8_t {
  None,
  /// Every call is answered with 503.
  Down,
  /// The text before the current one, with its index, is answered.
  Stale,
  /// Successive reads are answered alternately with the current text and the
  /// one before it.
  Crossed,
  /// Every answer is delayed.
  Slow,
  /// The index restarts at 1. Not a lasting state: it happens once.
  Forget
};

/// Reads the text of kind= in PUT /bench/fault. Fails with SettingInvalid.
Result<PlatformFault> parseFault(std::string_view Text);

/// Text of a fault, as in PUT /bench/fault.
std::string_view toText(PlatformFault Value);

/// One text with the index under which it was published.
struct PublishedText {
  /// Modify index.
  std::uint64_t Index_ = 0;
  /// Content.
  std::string Text_;
};

/// One host of the catalogue.
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

/// Reads Meta.<field>==<value>, where the value may be quoted. Fails with
/// SettingInvalid.
Result<CatalogFilter> parseFilter(std::string_view Text);

/// Texts, hosts and faults of the stand-in platform. Holds no clock and no
/// socket.
class PlatformState {
public:
  /// HostsLag is the delay until a changed host list becomes visible.
  explicit PlatformState(Duration HostsLag) : HostsLag_(HostsLag) {}

  /// Publishes a text and returns its index.
  std::uint64_t publish(const std::string &Key, std::string Text);

  /// Replaces the host list; it becomes visible after the lag.
  void setHosts(std::vector<CatalogHost> Hosts, TimePoint Now);

  /// Sets the fault in force. Forget numbers the texts anew from 1 and leaves
  /// no fault in force.
  void setFault(PlatformFault Fault);

  /// Fault in force.
  PlatformFault fault() const { return Fault_; }

  /// Number of times that the state was reset by Forget or Down. A watch that
  /// began under another number ends.
  std::uint64_t generation() const { return Generation_; }

  /// Index of the whole store, for keys that do not exist.
  std::uint64_t index() const { return Index_; }

  /// Index that a watch of the key compares; 0 when the key does not exist.
  std::uint64_t keyIndex(const std::string &Key) const;

  /// The text that a read is answered with; null when there is none. Under
  /// Crossed, each call changes the next answer.
  const PublishedText *read(const std::string &Key);

  /// Existing keys that begin with Prefix.
  std::vector<std::string> keys(std::string_view Prefix) const;

  /// Index of the keys that begin with Prefix, 0 without any.
  std::uint64_t prefixIndex(std::string_view Prefix) const;

  /// Visible hosts that meet the filter.
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

  /// Texts of one key, oldest first; at most the last two are needed.
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
