#pragma once

#include "Schema/generated/Errors.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace marigold {

/// A typed failure with detail for a person who reads a log. Decisions look
/// at the code only.
struct Failure {
  /// What failed.
  ErrorCode Code_ = ErrorCode::MessageMalformed;
  /// Names, values and limits involved; may be empty.
  std::string Detail_;

  friend bool operator==(const Failure &, const Failure &) = default;
};

/// A value or a failure. Access without a check is a programming error.
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Failure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// The success value of a Result<void>.
inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

/// Builds a failure for return from a function with a Result.
inline Failure fail(ErrorCode Code, std::string Detail = {}) {
  return Failure{Code, std::move(Detail)};
}

} // namespace marigold
