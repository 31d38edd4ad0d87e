#include "StandIns/UrlQuery.h"

#include <charconv>

namespace marigold::standins {
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

UrlQuery::UrlQuery(std::string_view Target) {
  std::size_t Mark = Target.find('?');
  Path_ = decodeUrl(Target.substr(0, Mark), false);
  if (Mark == std::string_view::npos)
    return;
  std::string_view Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    std::size_t End = Rest.find('&');
    std::string_view Part = Rest.substr(0, End);
    std::size_t Equals = Part.find('=');
    std::string_view Value =
        Equals == std::string_view::npos ? "" : Part.substr(Equals + 1);
    if (!Part.empty())
      Parameters_.emplace_back(decodeUrl(Part.substr(0, Equals), true),
                               decodeUrl(Value, true));
    if (End == std::string_view::npos)
      return;
    Rest.remove_prefix(End + 1);
  }
}

std::optional<std::string> UrlQuery::find(std::string_view Name) const {
  for (const auto &[Key, Value] : Parameters_)
    if (Key == Name)
      return Value;
  return std::nullopt;
}

} // namespace marigold::standins
