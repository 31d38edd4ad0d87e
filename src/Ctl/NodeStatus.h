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

/// One host as a node sees it.
struct HostEntry {
  /// Peer address.
  HostId Host_;
  /// Address of its admin interface.
  Address Admin_;
  /// Failure domain.
  std::string FailureDomain_;
  /// Service that its target runs.
  std::string Service_;
  /// State in the view of the node that reports.
  HostState State_ = HostState::Starting;
  /// Incarnation.
  std::uint64_t Incarnation_ = 0;
};

/// A version with the digest of its content in hexadecimal.
struct VersionDigest {
  /// Version.
  ConfigVersion Version_;
  /// Digest.
  std::string Digest_;

  friend bool operator==(const VersionDigest &,
                         const VersionDigest &) = default;
};

/// A version that a node refused.
struct RefusedVersion {
  /// Version; the epoch is 0 when the text could not be parsed.
  ConfigVersion Version_;
  /// Text of the error code.
  std::string Reason_;
};

/// Answer of GET /status.
struct NodeStatus {
  /// Peer address of the node.
  HostId Host_;
  /// Failure domain.
  std::string FailureDomain_;
  /// Region.
  std::string Region_;
  /// Service of the target beside the node.
  std::string Service_;
  /// Incarnation.
  std::uint64_t Incarnation_ = 0;
  /// State as the node itself reports it.
  HostState State_ = HostState::Starting;
  /// Version in force; {0, 0} for none.
  ConfigVersion Version_;
  /// Digest of the version in force in hexadecimal.
  std::string Digest_;
  /// Age of the last confirmation by the source that the node knows of;
  /// nothing when it knows of none.
  std::optional<std::chrono::milliseconds> SourceAge_;
  /// Last refused version.
  std::optional<RefusedVersion> Refused_;
  /// True when only the source was available at the node's start.
  bool SourceOnlyStart_ = false;
  /// Adopted versions, oldest first.
  std::vector<VersionDigest> History_;
  /// Other hosts that the node knows; nothing when they were left out.
  std::optional<std::vector<HostEntry>> Hosts_;
};

/// Reads the body of an answer of GET /status. Unknown keys are ignored, so
/// that newer nodes can be read. Fails with MessageMalformed.
Result<NodeStatus> parseStatus(std::string_view Body);

} // namespace marigold::ctl
