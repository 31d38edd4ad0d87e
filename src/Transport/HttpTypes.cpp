#include "Transport/HttpTypes.h"

#include <algorithm>
#include <array>

namespace marigold::transport {

std::string_view findHeader(const std::vector<Header> &Headers,
                            std::string_view Name) {
  auto Position =
      std::find_if(Headers.begin(), Headers.end(),
                   [&](const Header &Field) { return Field.Name_ == Name; });
  return Position == Headers.end() ? std::string_view() : Position->Value_;
}

HttpResponse errorResponse(ErrorCode Code) {
  HttpResponse Response;
  Response.Status_ = errorStatus(Code) == 0 ? 500 : errorStatus(Code);
  Response.Headers_ = {
      {"x-marigold-outcome", std::string(outcomeText(errorOutcome(Code)))},
      {"x-marigold-reason", std::string(errorText(Code))},
      {"content-type", "text/plain"}};
  Response.Body_ = std::string(errorDescription(Code)) + "\n";
  return Response;
}

bool isHopByHop(std::string_view LowerName) {
  // Hop-by-hop fields of RFC 9110, section 7.6.1, and the obsolete Keep-Alive
  // and Proxy-Connection.
  static constexpr std::array<std::string_view, 9> Names{
      "connection",       "keep-alive", "proxy-authenticate",
      "proxy-connection", "te",         "trailer",
      "upgrade",          "expect",     "transfer-encoding"};
  return std::find(Names.begin(), Names.end(), LowerName) != Names.end();
}

} // namespace marigold::transport
