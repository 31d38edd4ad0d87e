#include "Burn/BurnScraper.h"

#include "Ctl/NodeStatus.h"
#include "Support/Addresses.h"
#include "Transport/HttpGetMany.h"

#include <set>

namespace marigold::burn {
namespace {

constexpr std::size_t ParallelRequests = 32;
constexpr unsigned StatusOk = 200;
/// Maximum size of a response in bytes (8 MiB). A list of 3,000 hosts takes
/// about 200 bytes per host.
constexpr std::uint64_t AnswerLimit = 8'388'608;

std::vector<transport::HttpGetRequest>
requestsFor(const std::vector<Address> &Nodes, const char *Target,
            Duration Timeout) {
  std::vector<transport::HttpGetRequest> Requests;
  for (const Address &Node : Nodes) {
    transport::HttpGetRequest Request;
    Request.Server_ = Node;
    Request.Target_ = Target;
    Request.Timeout_ = Timeout;
    Request.Limit_ = AnswerLimit;
    Requests.push_back(std::move(Request));
  }
  return Requests;
}

bool isAnswer(const Result<transport::HttpGetResponse> &Answer) {
  return Answer && Answer.value().Response_.Status_ == StatusOk;
}

} // namespace

BurnScraper::BurnScraper(std::vector<Address> Nodes) {
  for (const Address &Node : Nodes)
    Nodes_[Node].Configured_ = true;
}

void BurnScraper::updateNodes(Duration Timeout) {
  std::vector<Address> Configured;
  for (const auto &[Node, Known] : Nodes_)
    if (Known.Configured_)
      Configured.push_back(Node);
  auto Answers = transport::httpGetMany(
      requestsFor(Configured, "/status", Timeout), ParallelRequests);
  std::set<Address> Departed;
  for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
    if (!isAnswer(Answers[Index]))
      continue;
    auto Status = ctl::parseStatus(Answers[Index].value().Response_.Body_);
    if (!Status || !Status.value().Hosts_)
      continue;
    Nodes_[Configured[Index]].FailureDomain_ = Status.value().FailureDomain_;
    for (const auto &Host : *Status.value().Hosts_) {
      if (Host.State_ == HostState::Dead || Host.State_ == HostState::Gone)
        Departed.insert(Host.Admin_);
      else
        Nodes_[Host.Admin_].FailureDomain_ = Host.FailureDomain_;
    }
  }
  for (const Address &Node : Departed) {
    auto Position = Nodes_.find(Node);
    if (Position != Nodes_.end() && !Position->second.Configured_)
      Nodes_.erase(Position);
  }
}

std::vector<NodeSample> BurnScraper::scrape(Duration Timeout) {
  updateNodes(Timeout);
  std::vector<Address> All;
  for (const auto &[Node, Known] : Nodes_)
    All.push_back(Node);
  auto Answers = transport::httpGetMany(requestsFor(All, "/metrics", Timeout),
                                        ParallelRequests);
  std::vector<NodeSample> Samples;
  for (std::size_t Index = 0; Index < All.size(); ++Index) {
    NodeSample Sample{
        toText(All[Index]), Nodes_[All[Index]].FailureDomain_, {}};
    if (isAnswer(Answers[Index])) {
      auto Parsed = parseExposition(Answers[Index].value().Response_.Body_);
      if (Parsed)
        Sample.Series_ = std::move(Parsed.value());
    }
    Samples.push_back(std::move(Sample));
  }
  return Samples;
}

} // namespace marigold::burn
