#pragma once

#include "Schema/generated/Errors.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigold::node {

/// State of the target on this node's host.
struct OwnTarget {
  /// Service of the target: taken from the platform's target list if it
  /// names this target, otherwise from the settings.
  std::string Service_;
  /// Service named in the settings, which is also the service of the callers on
  /// this host. Differs from Service_ while the list still has a previous
  /// target at this address.
  std::string ConfiguredService_;
  /// Instance name from the platform's list; empty if the list does not name
  /// this target.
  std::string Instance_;
  /// Number of requests that the target runs concurrently, from the list; 0 if
  /// unknown.
  std::uint32_t Slots_ = 0;
  /// Whether the list marks the target as leaving.
  bool Leaving_ = false;
  /// Whether the list reports the target as cold.
  bool Cold_ = false;
  /// Whether the failure domain of the target is evacuated.
  bool Evacuated_ = false;
  /// Whether there is a list that does not contain a target for this node.
  bool Unlisted_ = false;
  /// Digest of the entries that name this host if there are several, otherwise
  /// 0. The target itself tells which of them is its own.
  std::uint64_t Contested_ = 0;

  friend bool operator==(const OwnTarget &, const OwnTarget &) = default;
};

/// Returns why the own target must not run a request for a service, or nothing
/// if it may. A request that has waited is checked again, because the target
/// may have changed meanwhile.
std::optional<ErrorCode> refusalBy(const OwnTarget &Own,
                                   std::string_view Service);

} // namespace marigold::node
