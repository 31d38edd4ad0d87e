#pragma once

#include <string>
#include <string_view>

namespace marigold {

/// Decodes %XX escapes and, if PlusIsSpace is set, + as a space. Invalid
/// escapes are left unchanged.
std::string decodeUrl(std::string_view Text, bool PlusIsSpace);

/// Percent-encodes all characters except the unreserved ones.
std::string encodeUrl(std::string_view Text);

} // namespace marigold
