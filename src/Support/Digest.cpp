#include "Support/Digest.h"

#include <xxhash.h>

#include <array>

namespace marigold {

std::uint64_t hash64(std::string_view Data, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Data.data(), Data.size(), Seed);
}

Digest128 digest128(std::string_view Data) {
  XXH128_hash_t Hash = XXH3_128bits(Data.data(), Data.size());
  return {Hash.high64, Hash.low64};
}

std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right) {
  std::array<std::uint64_t, 2> Pair{Left, Right};
  return XXH3_64bits(Pair.data(), sizeof(Pair));
}

std::uint64_t hashOf(const HostId &Id) { return mixHash(Id.Ipv4_, Id.Port_); }

} // namespace marigold
