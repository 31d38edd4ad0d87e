#pragma once

#include "Schema/SettingTypes.h"
#include "Schema/generated/Messages.h"
#include "Support/Result.h"

#include <string>
#include <string_view>

namespace marigold {

/// Reads "a.b.c.d:port". Fails with SettingInvalid.
Result<Address> parseAddress(std::string_view Text);

/// Writes "a.b.c.d:port".
std::string toText(const Address &Value);

/// Writes "a.b.c.d:port".
std::string toText(const HostId &Value);

/// Writes "a.b.c.d".
std::string formatIpv4(std::uint32_t Ipv4);

/// Writes "epoch.revision".
std::string toText(const ConfigVersion &Value);

/// Reads "epoch.revision". Fails with SettingInvalid.
Result<ConfigVersion> parseVersion(std::string_view Text);

/// The host identity that belongs to a peer address.
inline HostId toHostId(const Address &Value) {
  return {Value.Ipv4_, Value.Port_};
}

/// The peer address of a host.
inline Address toAddress(const HostId &Value) {
  return {Value.Ipv4_, Value.Port_};
}

/// Reads a decimal number that fills the whole text and does not exceed
/// Maximum. Fails with SettingInvalid.
Result<std::uint64_t> parseNumber(std::string_view Text, std::uint64_t Maximum);

} // namespace marigold
