#pragma once

#include "Config/Diagnostic.h"
#include "Config/ServiceModel.h"
#include "Support/Result.h"

#include <string_view>

namespace marigold::config {

/// A valid model, or all errors found in the text.
using ParseResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    ServiceModel, Diagnostics, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Parses and validates a configuration text. The text is accepted or refused
/// as a whole, and the result depends only on the text. FileName is used only
/// in diagnostics. Size and encoding are checked first; parsing stops at an
/// error in size, encoding, syntax or nesting. All other errors are reported
/// together, up to MaxDiagnostics.
ParseResult parseText(std::string_view Text, std::string_view FileName);

} // namespace marigold::config
