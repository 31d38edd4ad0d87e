#include "Node/CallerCall.h"

namespace marigold::node {
namespace {

// Size limit of the table of splits. Splits of removed routes stay in the
// table; when it exceeds this size it is cleared, and the splits in use are
// created again.
constexpr std::size_t MaxSplits = 4096;

} // namespace

void CallerContext::refuseWithoutService(transport::HttpExchange &Exchange,
                                         ErrorCode Code) {
  Parts_.Metrics_.add(Metric::CallsTotal, 1, "none",
                      outcomeText(errorOutcome(Code)));
  Parts_.Metrics_.add(Metric::CallErrorsTotal, 1, "none", errorText(Code));
  Exchange.respond(transport::errorResponse(Code));
}

const std::string &CallerContext::chooseService(const VirtualHost &Host,
                                                const HostRoute &Route) {
  if (Route.Targets_.size() == 1)
    return Route.Targets_.front().Service_;
  std::lock_guard Lock(SplitMutex_);
  if (Splits_.size() > MaxSplits)
    Splits_.clear();
  std::pair Key(Host.Name_, Route.Prefix_);
  auto Position = Splits_.find(Key);
  if (Position == Splits_.end() || !Position->second.matches(Route.Targets_))
    Position = Splits_
                   .insert_or_assign(
                       std::move(Key),
                       routing::WeightedSplit(Route.Targets_, SplitSeeds_))
                   .first;
  return Route.Targets_[Position->second.next()].Service_;
}

void CallerContext::addOpen(const std::shared_ptr<CallerCall> &Call) {
  std::lock_guard Lock(OpenMutex_);
  Open_.emplace(Call.get(), Call);
}

void CallerContext::removeOpen(const CallerCall *Call) {
  std::lock_guard Lock(OpenMutex_);
  Open_.erase(Call);
}

std::vector<std::shared_ptr<CallerCall>> CallerContext::openCalls() {
  std::vector<std::shared_ptr<CallerCall>> Calls;
  std::lock_guard Lock(OpenMutex_);
  for (const auto &[Key, Weak] : Open_)
    if (auto Call = Weak.lock())
      Calls.push_back(std::move(Call));
  return Calls;
}

std::size_t CallerContext::countOpen() {
  std::lock_guard Lock(OpenMutex_);
  return Open_.size();
}

} // namespace marigold::node
