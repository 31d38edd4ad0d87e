#pragma once

#include "Schema/generated/Messages.h"

#include <cstdint>
#include <string_view>

namespace marigold {

/// XXH3 64-bit hash. Different seeds give independent hashes of the same data.
std::uint64_t hash64(std::string_view Data, std::uint64_t Seed = 0);

/// XXH3 128-bit digest.
Digest128 digest128(std::string_view Data);

/// Combines two 64-bit values into one hash, for rendezvous hashing.
std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right);

/// Hash of a host ID.
std::uint64_t hashOf(const HostId &Id);

/// Hash function object for unordered containers keyed by host ID.
struct HostIdHash {
  std::size_t operator()(const HostId &Id) const { return hashOf(Id); }
};

} // namespace marigold
