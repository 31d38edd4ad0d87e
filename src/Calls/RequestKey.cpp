#include "Calls/RequestKey.h"

#include "Support/Digest.h"

#include <array>
#include <charconv>
#include <limits>
#include <optional>

namespace marigold::calls {
namespace {

constexpr std::string_view Prefix = "mk1-";

/// Makes the checksum differ from other hashes of the same bytes.
constexpr std::uint64_t ChecksumSeed = 0x6d6b3121;

/// Maximum length of the text: prefix, 8 + 4 + 4 * 16 digits and 5 separators.
constexpr std::size_t MaxKeyLength = 4 + 8 + 4 + 4 * 16 + 5;

std::string hexOf(std::uint64_t Value) {
  std::array<char, 16> Digits{};
  auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value, 16);
  return {Digits.data(), End.ptr};
}

std::uint64_t checksum(std::string_view Text, std::uint64_t MeshHash) {
  return hash64(Text, MeshHash ^ ChecksumSeed);
}

/// Removes the next field from Rest and returns its value, or nullopt if it is
/// malformed or above Maximum. Only the form that hexOf writes is accepted, so
/// that each key has exactly one text.
std::optional<std::uint64_t> takeField(std::string_view &Rest,
                                       std::uint64_t Maximum) {
  std::size_t Length = Rest.find('-');
  std::string_view Field = Rest.substr(0, Length);
  Rest.remove_prefix(Length == std::string_view::npos ? Rest.size()
                                                      : Length + 1);
  std::uint64_t Value = 0;
  auto Parsed =
      std::from_chars(Field.data(), Field.data() + Field.size(), Value, 16);
  if (Parsed.ec != std::errc() || Value > Maximum || hexOf(Value) != Field)
    return std::nullopt;
  return Value;
}

} // namespace

std::string formatKey(const RequestKey &Key, std::uint64_t MeshHash) {
  std::string Text(Prefix);
  for (std::uint64_t Field :
       {std::uint64_t{Key.Owner_.Ipv4_}, std::uint64_t{Key.Owner_.Port_},
        Key.Incarnation_, Key.Number_,
        static_cast<std::uint64_t>(Key.IssuedAt_.count())}) {
    Text += hexOf(Field);
    Text += '-';
  }
  return Text + hexOf(checksum(Text, MeshHash));
}

Result<RequestKey> parseKey(std::string_view Text, std::uint64_t MeshHash) {
  constexpr std::uint64_t Any = std::numeric_limits<std::uint64_t>::max();
  constexpr std::uint64_t MaxTime = std::numeric_limits<std::int64_t>::max();
  if (Text.size() > MaxKeyLength || !Text.starts_with(Prefix))
    return fail(ErrorCode::KeyMalformed,
                "key has a wrong prefix or is too long");
  std::string_view Rest = Text.substr(Prefix.size());
  auto Ipv4 = takeField(Rest, std::numeric_limits<std::uint32_t>::max());
  auto Port = takeField(Rest, std::numeric_limits<std::uint16_t>::max());
  auto Incarnation = takeField(Rest, Any);
  auto Number = takeField(Rest, Any);
  auto IssuedAt = takeField(Rest, MaxTime);
  if (!Ipv4 || !Port || !Incarnation || !Number || !IssuedAt)
    return fail(ErrorCode::KeyMalformed, "key field missing or out of range");
  std::string_view Checked = Text.substr(0, Text.size() - Rest.size());
  if (Rest != hexOf(checksum(Checked, MeshHash)))
    return fail(ErrorCode::KeyMalformed, "key checksum mismatch");
  RequestKey Key;
  Key.Owner_ = {static_cast<std::uint32_t>(*Ipv4),
                static_cast<std::uint16_t>(*Port)};
  Key.Incarnation_ = *Incarnation;
  Key.Number_ = *Number;
  Key.IssuedAt_ =
      std::chrono::milliseconds(static_cast<std::int64_t>(*IssuedAt));
  return Key;
}

std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::string_view Body) {
  return requestFingerprint(Method, Path, hash64(Body));
}

std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::uint64_t BodyHash) {
  return mixHash(mixHash(hash64(Method), hash64(Path)), BodyHash);
}

std::uint64_t keyFingerprint(std::string_view Key) {
  return hash64(Key, ChecksumSeed);
}

} // namespace marigold::calls
