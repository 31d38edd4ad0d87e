#pragma once

#include "Support/Random.h"

#include <cereal/cereal.hpp>

#include <cstring>
#include <string>
#include <type_traits>

namespace marigold::fuzz {

/// Input archive that generates random values instead of reading bytes, so that
/// any structure of the schema can be filled. Throws cereal::Exception if an
/// enumeration gets a value out of range; the caller has to retry.
class RandomInput : public cereal::InputArchive<RandomInput> {
public:
  /// Uses Rng as the source of values; it must outlive the archive.
  explicit RandomInput(Random &Rng) : InputArchive(this), Rng_(Rng) {}

  /// Draws a number that is often small or at a limit of its type.
  std::uint64_t number() {
    switch (Rng_.below(4)) {
    case 0:
      return Rng_.below(4);
    case 1:
      return ~std::uint64_t(0) - Rng_.below(2);
    case 2:
      return std::uint64_t(1) << Rng_.below(64);
    default:
      return Rng_.next();
    }
  }

  /// Draws the size of a container.
  std::uint64_t size() { return Rng_.below(4); }

  /// Fills a buffer with random bytes.
  void bytes(void *Out, std::size_t Size) {
    for (std::size_t I = 0; I < Size; ++I)
      static_cast<char *>(Out)[I] = static_cast<char>(Rng_.next());
  }

private:
  Random &Rng_;
};

/// Draws an arithmetic value. Single bytes get small values, since most of them
/// are enumerations.
template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(RandomInput &Ar, T &Value) {
  if constexpr (std::is_floating_point_v<T>)
    Value = static_cast<T>(Ar.number()) / 16;
  else if constexpr (sizeof(T) == 1)
    Value = static_cast<T>(Ar.size());
  else
    Value = static_cast<T>(Ar.number());
}

/// Draws the size of a container.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(RandomInput &Ar, cereal::SizeTag<T> &Tag) {
  Tag.size = Ar.size();
}

/// Fills the value of a named pair.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(RandomInput &Ar,
                               cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

/// Fills contiguous raw data.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(RandomInput &Ar, cereal::BinaryData<T> &Data) {
  Ar.bytes(Data.data, static_cast<std::size_t>(Data.size));
}

} // namespace marigold::fuzz

CEREAL_REGISTER_ARCHIVE(marigold::fuzz::RandomInput)
