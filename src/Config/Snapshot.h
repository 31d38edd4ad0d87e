#pragma once

#include "Config/ServiceModel.h"
#include "Support/Result.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::config {

/// One service of a snapshot. Snapshots share the entries of services that are
/// the same in both.
struct ServiceEntry {
  ServiceConfig Config_;
  /// XXH3-128 hash of the serialized service.
  Digest128 Digest_;
};

/// Shared, immutable entry.
using ServiceEntryPointer = std::shared_ptr<const ServiceEntry>;

/// One virtual host of a snapshot. Snapshots share the entries of virtual hosts
/// that are the same in both.
struct VirtualHostEntry {
  VirtualHost Config_;
  /// XXH3-128 hash of the serialized virtual host.
  Digest128 Digest_;
};

/// Shared, immutable entry.
using VirtualHostPointer = std::shared_ptr<const VirtualHostEntry>;

/// One complete, immutable configuration version: services and routes
/// together, so that a route never refers to a service of another version.
/// Safe for use by several threads at once.
class Snapshot {
public:
  /// Stores the parts without validating them and computes the digest. Entries
  /// must not be null. Prefer buildSnapshot, fromImage or applyDelta.
  Snapshot(ConfigVersion Version, std::string Mesh,
           std::vector<ServiceEntryPointer> Services,
           std::vector<VirtualHostPointer> Hosts = {},
           const ClientLimits &Limits = {});

  /// Version, which the digest does not cover.
  const ConfigVersion &version() const { return Version_; }

  /// XXH3-128 hash of the mesh name and the services' digests in the order of
  /// their names, followed by the virtual hosts' digests and, unless they have
  /// their defaults, the client limits.
  const Digest128 &digest() const { return Digest_; }

  /// Name of the mesh.
  const std::string &mesh() const { return Mesh_; }

  /// Services sorted by name.
  const std::vector<ServiceEntryPointer> &services() const { return Services_; }

  /// Virtual hosts sorted by name.
  const std::vector<VirtualHostPointer> &hosts() const { return Hosts_; }

  /// Client limits.
  const ClientLimits &limits() const { return Limits_; }

  /// Returns the virtual host with this name, or null. The pointer is valid as
  /// long as the snapshot.
  const VirtualHost *findHost(std::string_view Name) const;

  /// Returns the route of Host with the longest prefix of the path of Target, a
  /// request target, or null when no prefix matches. Bytes are compared without
  /// decoding because the service's target receives the same bytes. The pointer
  /// is valid as long as Host.
  static const HostRoute *matchHostRoute(const VirtualHost &Host,
                                         std::string_view Target);

  /// Returns the service with this name, or null. The pointer is valid as long
  /// as the snapshot.
  const ServiceConfig *findService(std::string_view Name) const;

  /// Returns the route for a request: among the routes that list the method and
  /// whose path is a prefix of the request's path in whole segments, the one
  /// with the longest path. Target is a request target; its query is ignored.
  /// Fails with UnknownService, NoRoute, or MalformedRequest when the path is
  /// ambiguous (see requestSegments). The pointer is valid as long as the
  /// snapshot.
  Result<const RouteConfig *> matchRoute(std::string_view Service,
                                         std::string_view Method,
                                         std::string_view Target) const;

private:
  ConfigVersion Version_;
  std::string Mesh_;
  std::vector<ServiceEntryPointer> Services_;
  std::vector<VirtualHostPointer> Hosts_;
  ClientLimits Limits_;
  Digest128 Digest_;
};

/// Shared, immutable snapshot.
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// Splits the path of a request target into segments. Percent-encoded
/// unreserved characters are decoded and a trailing slash is ignored. Fails
/// with MalformedRequest on paths that servers interpret differently: dot
/// segments, empty segments, encoded slashes, backslashes, invalid escapes. A
/// target that normalizes such a path could execute a booking that this node
/// treated as a repeatable request.
Result<std::vector<std::string>> requestSegments(std::string_view Target);

/// Formats a digest as 32 hexadecimal digits.
std::string digestText(const Digest128 &Digest);

/// Creates the shared entry of a virtual host and computes its digest.
VirtualHostPointer makeHostEntry(VirtualHost Host);

/// Computes the digest of one service.
Digest128 serviceDigest(const ServiceConfig &Service);

/// Normalizes a model and builds its snapshot. Does not validate, because a
/// model from parseText is already valid. Version must be {Model.Epoch_, the
/// modify index at the configuration source}.
SnapshotPointer buildSnapshot(ServiceModel Model, ConfigVersion Version);

/// Checks a snapshot against the same rules as a configuration text, and also
/// checks the order and uniqueness of names and the digests. Fails with
/// SnapshotInvalid or DigestMismatch; the detail describes the first error.
Result<void> validateSnapshot(const Snapshot &Value);

/// Returns the model of a snapshot, from which a readable diff can be made.
ServiceModel toModel(const Snapshot &Value);

/// Converts a snapshot to its wire format.
SnapshotImage toImage(const Snapshot &Value);

/// Builds and validates a snapshot received from a peer in wire format.
/// Fails with DigestMismatch or SnapshotInvalid.
Result<SnapshotPointer> fromImage(SnapshotImage Image);

} // namespace marigold::config
