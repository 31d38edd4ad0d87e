#pragma once

#include "Config/Snapshot.h"

#include <map>
#include <string>

namespace marigold::config {

/// Digests that a node retains of an earlier version, from which it can compute
/// the delta to a later one.
struct SnapshotDigests {
  ConfigVersion Version_;
  /// Digest of the whole snapshot.
  Digest128 Digest_;
  /// Service digests, keyed by service name.
  std::map<std::string, Digest128> Services_;
  /// Virtual host digests, keyed by host name.
  std::map<std::string, Digest128> Hosts_ = {};
};

/// Returns the digests of a snapshot and of its services and virtual hosts.
SnapshotDigests digestsOf(const Snapshot &Value);

/// Computes the changes that turn Old into New.
SnapshotDelta makeDelta(const Snapshot &Old, const Snapshot &New);

/// Computes the changes that turn an earlier version, of which only the digests
/// are available, into New.
SnapshotDelta makeDelta(const SnapshotDigests &Old, const Snapshot &New);

/// Builds the snapshot that results from applying a delta to Base, which is not
/// modified. Fails with DeltaBaseMismatch when Base does not have the version
/// and digest that the delta was computed from, with DigestMismatch when the
/// result does not have the digest stated in the delta, and with
/// SnapshotInvalid when the delta is inconsistent or its result fails
/// validation.
Result<SnapshotPointer> applyDelta(const Snapshot &Base,
                                   const SnapshotDelta &Delta);

} // namespace marigold::config
