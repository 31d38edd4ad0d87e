#include "Node/CallerCall.h"

#include "Support/Digest.h"

#include <array>
#include <cstdio>

namespace marigold::node {
namespace {

// Size limit of the table of splits. Splits of removed routes stay in the
// table; when it exceeds this size it is cleared, and the splits in use are
// created again.
constexpr std::size_t MaxSplits = 4096;
// The same for the table of routes whose requests' ages are estimated.
constexpr std::size_t MaxAges = 4096;

} // namespace

void CallerContext::refuseWithoutService(transport::HttpExchange &Exchange,
                                         ErrorCode Code) {
  Parts_.Metrics_.add(Metric::CallsTotal, 1, "none",
                      outcomeText(errorOutcome(Code)));
  Parts_.Metrics_.add(Metric::CallErrorsTotal, 1, "none", errorText(Code));
  Exchange.respond(transport::errorResponse(Code));
}

Duration CallerContext::ageOf(const std::string &RouteName, Duration Wait,
                              TimePoint Now) {
  std::lock_guard Lock(AgesMutex_);
  if (Ages_.size() > MaxAges)
    Ages_.clear();
  return Ages_[RouteName].onRequest(Wait, Now);
}

std::string CallerContext::newRequestId() {
  std::uint64_t Number = RequestIds_.fetch_add(1, std::memory_order_relaxed);
  std::array<char, 17> Text{};
  std::snprintf(
      Text.data(), Text.size(), "%016llx",
      static_cast<unsigned long long>(mixHash(RequestIdSeed_, Number)));
  return Text.data();
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
