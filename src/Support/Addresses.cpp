#include "Support/Addresses.h"

#include <charconv>
#include <limits>

namespace marigold {

Result<std::uint64_t> parseNumber(std::string_view Text,
                                  std::uint64_t Maximum) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Position, Error] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Error != std::errc() || Position != End ||
      Value > Maximum)
    return fail(ErrorCode::SettingInvalid,
                "'" + std::string(Text) + "' is not an unsigned number up to " +
                    std::to_string(Maximum));
  return Value;
}

Result<Address> parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(ErrorCode::SettingInvalid,
                "'" + std::string(Text) + "' is not an address ip:port");
  Address Value;
  std::string_view Ip = Text.substr(0, Colon);
  for (int Part = 0; Part < 4; ++Part) {
    std::size_t Dot = Part < 3 ? Ip.find('.') : Ip.size();
    if (Dot == std::string_view::npos)
      return fail(ErrorCode::SettingInvalid,
                  "'" + std::string(Text) +
                      "' does not start with an IPv4 address");
    BOOST_OUTCOME_TRY(auto Byte, parseNumber(Ip.substr(0, Dot), 255));
    Value.Ipv4_ = Value.Ipv4_ << 8 | static_cast<std::uint32_t>(Byte);
    Ip.remove_prefix(Part < 3 ? Dot + 1 : Dot);
  }
  BOOST_OUTCOME_TRY(auto Port, parseNumber(Text.substr(Colon + 1), 65535));
  Value.Port_ = static_cast<std::uint16_t>(Port);
  return Value;
}

std::string formatIpv4(std::uint32_t Ipv4) {
  return std::to_string(Ipv4 >> 24) + '.' + std::to_string(Ipv4 >> 16 & 255) +
         '.' + std::to_string(Ipv4 >> 8 & 255) + '.' +
         std::to_string(Ipv4 & 255);
}

std::string toText(const Address &Value) {
  return formatIpv4(Value.Ipv4_) + ':' + std::to_string(Value.Port_);
}

std::string toText(const HostId &Value) { return toText(toAddress(Value)); }

std::string toText(const ConfigVersion &Value) {
  return std::to_string(Value.Epoch_) + '.' + std::to_string(Value.Revision_);
}

Result<ConfigVersion> parseVersion(std::string_view Text) {
  std::size_t Dot = Text.find('.');
  if (Dot == std::string_view::npos)
    return fail(ErrorCode::SettingInvalid,
                "'" + std::string(Text) + "' is not a version epoch.revision");
  BOOST_OUTCOME_TRY(auto Epoch,
                    parseNumber(Text.substr(0, Dot),
                                std::numeric_limits<std::uint32_t>::max()));
  BOOST_OUTCOME_TRY(auto Revision,
                    parseNumber(Text.substr(Dot + 1),
                                std::numeric_limits<std::uint64_t>::max()));
  return ConfigVersion{static_cast<std::uint32_t>(Epoch), Revision};
}

} // namespace marigold
