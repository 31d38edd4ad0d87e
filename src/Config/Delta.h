#pragma once

#include "Config/Snapshot.h"

#include <map>
#include <string>

namespace marigold::config {

/// What a node keeps of an earlier version, enough to make a delta from it.
struct SnapshotDigests {
  /// Version.
  ConfigVersion Version_;
  /// Digest of the whole.
  Digest128 Digest_;
  /// Digest of each service by name.
  std::map<std::string, Digest128> Services_;
  /// Digest of each virtual host by name.
  std::map<std::string, Digest128> Hosts_ = {};
};

/// Digests of a snapshot.
SnapshotDigests digestsOf(const Snapshot &Value);

/// Changes that lead from Old to New.
SnapshotDelta makeDelta(const Snapshot &Old, const Snapshot &New);

/// Changes that lead from an earlier version, of which only the digests are
/// kept, to New.
SnapshotDelta makeDelta(const SnapshotDigests &Old, const Snapshot &New);

/// Builds the snapshot that results from a delta. Base is not changed. Fails
/// with DeltaBaseMismatch when Base is not the delta's base, DigestMismatch
/// when the result is not what the delta announces, and SnapshotInvalid when
/// the delta is inconsistent or its result breaks a rule of the validator.
Result<SnapshotPointer> applyDelta(const Snapshot &Base,
                                   const SnapshotDelta &Delta);

} // namespace marigold::config
