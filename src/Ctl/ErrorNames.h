#pragma once

#include "Schema/generated/Errors.h"

#include <optional>
#include <string_view>

namespace marigold::ctl {

/// Returns the error code with this text, as used in responses and log lines;
/// nothing if Text is not the text of an error code, for example an HTTP
/// status.
std::optional<ErrorCode> errorFromText(std::string_view Text);

} // namespace marigold::ctl
