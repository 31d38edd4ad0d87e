#pragma once

#include "Schema/SettingTypes.h"
#include "Schema/generated/Messages.h"
#include "Support/Result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::ctl {

/// Host list entry as reported by a node.
struct HostEntry {
  /// Peer address.
  HostId Host_;
  /// Address of its admin interface.
  Address Admin_;
  std::string FailureDomain_;
  /// Service that its target runs.
  std::string Service_;
  /// State of the host according to the reporting node.
  HostState State_ = HostState::Starting;
  std::uint64_t Incarnation_ = 0;
};

/// A version with the digest of its content in hexadecimal.
struct VersionDigest {
  ConfigVersion Version_;
  std::string Digest_;

  friend bool operator==(const VersionDigest &,
                         const VersionDigest &) = default;
};

/// A version that a node refused.
struct RefusedVersion {
  /// Version; the epoch is 0 if the configuration text could not be parsed.
  ConfigVersion Version_;
  /// Text of the error code.
  std::string Reason_;
};

/// Response to GET /status.
struct NodeStatus {
  /// Peer address of the node.
  HostId Host_;
  std::string FailureDomain_;
  std::string Region_;
  /// Service that the node's target runs.
  std::string Service_;
  std::uint64_t Incarnation_ = 0;
  /// State that the node reports for itself.
  HostState State_ = HostState::Starting;
  /// Active version; {0, 0} if there is none.
  ConfigVersion Version_;
  /// Digest of the active version in hexadecimal.
  std::string Digest_;
  /// Time since the configuration source last confirmed a version, as far as
  /// the node knows; nothing if it knows of no confirmation.
  std::optional<std::chrono::milliseconds> SourceAge_;
  /// Version that the node refused last, if any.
  std::optional<RefusedVersion> Refused_;
  /// True if only the configuration source was available when the node started.
  bool SourceOnlyStart_ = false;
  /// Adopted versions, oldest first.
  std::vector<VersionDigest> History_;
  /// Other hosts known to the node; nothing if they were not requested.
  std::optional<std::vector<HostEntry>> Hosts_;
};

/// Parses the body of a response to GET /status. Unknown keys are ignored for
/// compatibility with newer nodes. Fails with MessageMalformed.
Result<NodeStatus> parseStatus(std::string_view Body);

} // namespace marigold::ctl
