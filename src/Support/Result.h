#pragma once

#include "Schema/generated/Errors.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace marigold {

/// An error code with a detail text for readers of the log. Code must branch on
/// the error code only, never on the text.
struct Failure {
  /// The kind of failure.
  ErrorCode Code_ = ErrorCode::MessageMalformed;
  /// The names, values and limits involved. May be empty.
  std::string Detail_;

  friend bool operator==(const Failure &, const Failure &) = default;
};

/// A value or a failure. Accessing the value without a check is a programming
/// error.
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Failure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Builds the success value of a Result<void>.
inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

/// Builds a failure to return from a function that returns a Result.
inline Failure fail(ErrorCode Code, std::string Detail = {}) {
  return Failure{Code, std::move(Detail)};
}

} // namespace marigold
