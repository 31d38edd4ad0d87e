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
  /// Node that issued the key, the only one that can run its request.
  HostId Owner_;
  /// Incarnation of the owner when it issued the key.
  std::uint64_t Incarnation_ = 0;
  /// Number of the key, unique in the incarnation, starting at 1.
  std::uint64_t Number_ = 0;
  /// Time of issue on the owner's monotonic clock, counted from the creation
  /// of its KeyTable.
  std::chrono::milliseconds IssuedAt_{};

  friend bool operator==(const RequestKey &, const RequestKey &) = default;
};

/// Text of a key: "mk1-", five fields in hexadecimal and a checksum, at most
/// 90 characters, all of them allowed in a header field. MeshHash is the hash
/// of the mesh name, so that a key of another mesh is not accepted. Any node
/// can read a key in order to find its owner.
std::string formatKey(const RequestKey &Key, std::uint64_t MeshHash);

/// Reads the text of a key. Fails with KeyMalformed.
Result<RequestKey> parseKey(std::string_view Text, std::uint64_t MeshHash);

/// Fingerprint of a request by content: method, path with query, and body. It
/// binds a key to one request and names a request to CrashSuspects.
std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::string_view Body);

/// Like requestFingerprint, for a body that was hashed while it arrived.
std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::uint64_t BodyHash);

/// Fingerprint of a keyed request for CrashSuspects.
std::uint64_t keyFingerprint(std::string_view Key);

} // namespace marigold::calls
