#pragma once

#include <cereal/cereal.hpp>

#include <cstdint>
#include <type_traits>

namespace marigold {

/// Serializes an enumeration as one byte. Throws cereal::Exception when the
/// byte read is not less than Count, so that a corrupt message is refused
/// instead of producing a value outside the enumeration.
template <std::uint8_t Count, class Archive, class Enum>
void enumField(Archive &Ar, Enum &Value) {
  static_assert(std::is_enum_v<Enum>);
  auto Byte = static_cast<std::uint8_t>(Value);
  Ar(Byte);
  if constexpr (Archive::is_loading::value) {
    if (Byte >= Count)
      throw cereal::Exception("enumeration out of range");
    Value = static_cast<Enum>(Byte);
  }
}

} // namespace marigold
