#pragma once

#include "Schema/generated/Messages.h"

#include <cstdint>
#include <string_view>

namespace marigold {

/// XXH3 64-bit hash. The seed separates independent uses of the same bytes.
std::uint64_t hash64(std::string_view Data, std::uint64_t Seed = 0);

/// XXH3 128-bit digest.
Digest128 digest128(std::string_view Data);

/// Mixes two 64-bit values into one, for rendezvous hashing.
std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right);

/// Hash of a host's identity.
std::uint64_t hashOf(const HostId &Id);

/// Hash functor for unordered containers keyed by host.
struct HostIdHash {
  std::size_t operator()(const HostId &Id) const { return hashOf(Id); }
};

} // namespace marigold
