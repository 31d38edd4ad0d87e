#pragma once

#include <cstdint>
#include <string>

namespace marigold::node {

/// What is known of the target beside this node.
struct OwnTarget {
  /// Service that it runs: that of the platform's list of targets where there
  /// is one, otherwise that of the settings.
  std::string Service_;
  /// Service that the settings name, that of the callers on this host. The list
  /// may still name an earlier target at this address.
  std::string ConfiguredService_;
  /// Instance of the platform's list; empty without a list.
  std::string Instance_;
  /// Requests that it runs at once by the list; 0 when that is not known.
  std::uint32_t Slots_ = 0;
  /// The list names it as leaving.
  bool Leaving_ = false;
  /// There is a list, and it does not name a target beside this node.
  bool Unlisted_ = false;

  friend bool operator==(const OwnTarget &, const OwnTarget &) = default;
};

} // namespace marigold::node
