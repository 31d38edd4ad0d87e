#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace marigold::calls {

/// Content of an idempotency key.
struct RequestKey {
  /// Node that issued the key and is the only one that can run its request.
  HostId Owner_;
  /// Incarnation of the owner when it issued the key.
  std::uint64_t Incarnation_ = 0;
  /// Number of the key, starting at 1 and unique in the incarnation.
  std::uint64_t Number_ = 0;
  /// Time of issue on the owner's monotonic clock, relative to the creation of
  /// its KeyTable.
  std::chrono::milliseconds IssuedAt_{};

  friend bool operator==(const RequestKey &, const RequestKey &) = default;
};

/// Formats a key as text: "mk1-", five hexadecimal fields and a checksum, at
/// most 90 characters, all of them allowed in a header field. MeshHash is the
/// hash of the mesh name, so that a key of another mesh is not accepted. Any
/// node can parse the text to find the owner of the key.
std::string formatKey(const RequestKey &Key, std::uint64_t MeshHash);

/// Parses the text of a key. Fails with KeyMalformed.
Result<RequestKey> parseKey(std::string_view Text, std::uint64_t MeshHash);

/// Hash of a request's method, path with query, and body. Binds a key to one
/// request and identifies a request in CrashSuspects.
std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::string_view Body);

/// Same as above, for a body that was hashed while it was received.
std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::uint64_t BodyHash);

/// Hash that identifies a keyed request in CrashSuspects.
std::uint64_t keyFingerprint(std::string_view Key);

} // namespace marigold::calls
