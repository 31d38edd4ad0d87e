#pragma once

#include "Config/Diagnostic.h"
#include "Config/ServiceModel.h"
#include "Support/Result.h"

#include <string_view>

namespace marigold::config {

/// A valid model, or every error of the text.
using ParseResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    ServiceModel, Diagnostics, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Parses and validates a configuration text. The text is accepted or refused
/// as a whole; the verdict depends on nothing but the text. FileName appears
/// in diagnostics only. Size and encoding are checked before anything else,
/// and a text that fails there, in syntax or in nesting is not read further;
/// all other errors are reported together.
ParseResult parseText(std::string_view Text, std::string_view FileName);

} // namespace marigold::config
