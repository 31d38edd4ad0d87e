#include "Support/UrlText.h"

#include <charconv>
#include <optional>

namespace marigold {
namespace {

bool isUnreserved(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.' || Character == '~';
}

std::optional<char> hexByte(std::string_view Digits) {
  unsigned Value = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Position, Error] = std::from_chars(Digits.data(), End, Value, 16);
  if (Digits.size() != 2 || Error != std::errc() || Position != End)
    return std::nullopt;
  return static_cast<char>(Value);
}

} // namespace

std::string decodeUrl(std::string_view Text, bool PlusIsSpace) {
  std::string Decoded;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '%') {
      if (auto Byte = hexByte(Text.substr(Index + 1, 2))) {
        Decoded += *Byte;
        Index += 2;
        continue;
      }
    }
    Decoded += PlusIsSpace && Text[Index] == '+' ? ' ' : Text[Index];
  }
  return Decoded;
}

std::string encodeUrl(std::string_view Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (char Character : Text) {
    if (isUnreserved(Character)) {
      Encoded += Character;
      continue;
    }
    auto Byte = static_cast<unsigned char>(Character);
    Encoded += '%';
    Encoded += Digits[Byte >> 4];
    Encoded += Digits[Byte & 15];
  }
  return Encoded;
}

} // namespace marigold
