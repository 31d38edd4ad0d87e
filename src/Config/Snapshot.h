#pragma once

#include "Config/ServiceModel.h"
#include "Support/Result.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::config {

/// One service of a snapshot. Snapshots share the entries of services that do
/// not differ between them.
struct ServiceEntry {
  /// The service.
  ServiceConfig Config_;
  /// XXH3-128 over the wire form of the service.
  Digest128 Digest_;
};

/// Shared, immutable entry.
using ServiceEntryPointer = std::shared_ptr<const ServiceEntry>;

/// One virtual host of a snapshot, shared like the services.
struct VirtualHostEntry {
  /// The host.
  VirtualHost Config_;
  /// XXH3-128 over the wire form of the host.
  Digest128 Digest_;
};

/// Shared, immutable entry.
using VirtualHostPointer = std::shared_ptr<const VirtualHostEntry>;

/// One complete, immutable configuration version: services and routes
/// together, so that a route never refers to a service of another version.
/// Safe for use by several threads at once.
class Snapshot {
public:
  /// Keeps the parts as they are; the digest is computed. Use buildSnapshot,
  /// fromImage or applyDelta instead. Entries must not be null.
  Snapshot(ConfigVersion Version, std::string Mesh,
           std::vector<ServiceEntryPointer> Services,
           std::vector<VirtualHostPointer> Hosts = {},
           const ClientLimits &Limits = {});

  /// Version. Not part of the digest.
  const ConfigVersion &version() const { return Version_; }

  /// XXH3-128 over the mesh's name and the services' digests in the order of
  /// their names, then the virtual hosts' digests and the limits of clients
  /// when there are any.
  const Digest128 &digest() const { return Digest_; }

  /// Name of the mesh.
  const std::string &mesh() const { return Mesh_; }

  /// Services sorted by name.
  const std::vector<ServiceEntryPointer> &services() const { return Services_; }

  /// Virtual hosts sorted by name.
  const std::vector<VirtualHostPointer> &hosts() const { return Hosts_; }

  /// Limits of clients.
  const ClientLimits &limits() const { return Limits_; }

  /// The virtual host with this name, or null. Valid as long as the snapshot.
  const VirtualHost *findHost(std::string_view Name) const;

  /// The route of a virtual host whose prefix is the longest that begins the
  /// path of Target, or null. Bytes are compared as they are, because the
  /// target sees the same bytes. Valid as long as the snapshot.
  static const HostRoute *matchHostRoute(const VirtualHost &Host,
                                         std::string_view Target);

  /// The service with this name, or null. Valid as long as the snapshot.
  const ServiceConfig *findService(std::string_view Name) const;

  /// The route that a request takes: of the routes that have the method and
  /// whose path is a prefix of the request's path by whole segments, the one
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

/// Splits the path of a request target into segments, with escaped unreserved
/// characters decoded, without a trailing empty segment. Fails with
/// MalformedRequest on paths that targets may read in different ways: dot
/// segments, empty segments, escaped slashes, backslashes, bad escapes. A
/// target that resolves such a path could run a booking that this node took
/// for a repeatable request.
Result<std::vector<std::string>> requestSegments(std::string_view Target);

/// Writes a digest as 32 hexadecimal digits.
std::string digestText(const Digest128 &Digest);

/// Shared entry of a virtual host, with its digest.
VirtualHostPointer makeHostEntry(VirtualHost Host);

/// Digest of one service.
Digest128 serviceDigest(const ServiceConfig &Service);

/// Builds the snapshot of a model, which is sorted first. Does not validate:
/// a model from parseText is valid. Version must be
/// {Model.Epoch_, the source's modify index}.
SnapshotPointer buildSnapshot(ServiceModel Model, ConfigVersion Version);

/// Checks a snapshot against every rule that a text has to meet, the order
/// and uniqueness of names, and the digests. Fails with SnapshotInvalid or
/// DigestMismatch; the detail names the first error.
Result<void> validateSnapshot(const Snapshot &Value);

/// The model of a snapshot, for a readable diff.
ServiceModel toModel(const Snapshot &Value);

/// Wire form of a whole snapshot.
SnapshotImage toImage(const Snapshot &Value);

/// Builds and validates the snapshot of a wire form that came from a peer.
/// Fails with DigestMismatch or SnapshotInvalid.
Result<SnapshotPointer> fromImage(SnapshotImage Image);

} // namespace marigold::config
