#pragma once

#include "Schema/SettingTypes.h"
#include "Schema/generated/Messages.h"
#include "Support/Result.h"

#include <string>
#include <string_view>

namespace marigold {

/// Parses "a.b.c.d:port". Fails with SettingInvalid.
Result<Address> parseAddress(std::string_view Text);

/// Formats an address as "a.b.c.d:port".
std::string toText(const Address &Value);

/// Formats the peer address of a host as "a.b.c.d:port".
std::string toText(const HostId &Value);

/// Formats an address in host byte order as "a.b.c.d".
std::string formatIpv4(std::uint32_t Ipv4);

/// Formats a version as "epoch.revision".
std::string toText(const ConfigVersion &Value);

/// Parses "epoch.revision". Fails with SettingInvalid.
Result<ConfigVersion> parseVersion(std::string_view Text);

/// Returns the ID of the host with the given peer address.
inline HostId toHostId(const Address &Value) {
  return {Value.Ipv4_, Value.Port_};
}

/// Returns the peer address of a host.
inline Address toAddress(const HostId &Value) {
  return {Value.Ipv4_, Value.Port_};
}

/// Parses Text as an unsigned decimal number. Fails with SettingInvalid if Text
/// contains anything else or the number exceeds Maximum.
Result<std::uint64_t> parseNumber(std::string_view Text, std::uint64_t Maximum);

} // namespace marigold
