#include "Node/OwnTarget.h"

namespace marigold::node {

std::optional<ErrorCode> refusalBy(const OwnTarget &Own,
                                   std::string_view Service) {
  if (Own.Service_.empty() || Own.Service_ != Service)
    return ErrorCode::WrongService;
  if (Own.Unlisted_)
    return ErrorCode::TargetUnlisted;
  if (Own.Leaving_)
    return ErrorCode::Draining;
  if (Own.Evacuated_)
    return ErrorCode::Evacuated;
  return std::nullopt;
}

} // namespace marigold::node
