#include "Transport/HttpGetMany.h"

#include <functional>

namespace marigold::transport {

std::vector<Result<HttpGetResponse>>
httpGetMany(std::vector<HttpGetRequest> Requests, std::size_t Parallel) {
  boost::asio::io_context Io(1);
  std::vector<Result<HttpGetResponse>> Results(Requests.size(),
                                               fail(ErrorCode::Cancelled));
  std::size_t Next = 0;
  std::function<void()> StartNext = [&] {
    if (Next == Requests.size())
      return;
    std::size_t Index = Next++;
    httpGet(Io, std::move(Requests[Index]),
            [&, Index](Result<HttpGetResponse> Answer) {
              Results[Index] = std::move(Answer);
              StartNext();
            });
  };
  for (std::size_t Count = 0; Count < Parallel; ++Count)
    StartNext();
  Io.run();
  return Results;
}

} // namespace marigold::transport
