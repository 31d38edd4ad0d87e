#include "Ctl/StatusClient.h"

#include "Transport/HttpGetMany.h"

namespace marigold::ctl {
namespace {

constexpr unsigned StatusOk = 200;

Result<NodeStatus> parseAnswer(Result<transport::HttpGetResponse> Answer) {
  if (!Answer) {
    Failure Error = std::move(Answer.error());
    bool Reached = Error.Code_ == ErrorCode::MalformedAnswer ||
                   Error.Code_ == ErrorCode::AnswerTooLarge;
    return fail(Reached ? ErrorCode::MessageMalformed : Error.Code_,
                Error.Detail_);
  }
  const transport::HttpGetResponse &Received = Answer.value();
  if (Received.Response_.Status_ != StatusOk)
    return fail(ErrorCode::MessageMalformed,
                "HTTP status " + std::to_string(Received.Response_.Status_));
  return parseStatus(Received.Response_.Body_);
}

} // namespace

std::vector<StatusReply> queryStatus(const std::vector<StatusRequest> &Requests,
                                     const QueryLimits &Limits) {
  std::vector<transport::HttpGetRequest> Gets;
  for (const StatusRequest &Request : Requests) {
    transport::HttpGetRequest Get;
    Get.Server_ = Request.Admin_;
    Get.Target_ = Request.WithHosts_ ? "/status" : "/status?hosts=0";
    Get.Timeout_ = Limits.Timeout_;
    Get.Limit_ = Limits.MaxBody_;
    Gets.push_back(std::move(Get));
  }
  auto Answers = transport::httpGetMany(std::move(Gets), Limits.Parallel_);
  std::vector<StatusReply> Replies;
  for (std::size_t Index = 0; Index < Answers.size(); ++Index)
    Replies.push_back(
        {Requests[Index].Admin_, parseAnswer(std::move(Answers[Index]))});
  return Replies;
}

} // namespace marigold::ctl
