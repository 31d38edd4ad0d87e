#pragma once

#include "Schema/generated/Errors.h"

#include <optional>
#include <string_view>

namespace marigold::ctl {

/// Code of an error by its text, as answers and log lines have it; nothing for
/// a text that is not one of ours, such as a status.
std::optional<ErrorCode> errorFromText(std::string_view Text);

} // namespace marigold::ctl
