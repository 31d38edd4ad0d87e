#include "StandIns/UrlQuery.h"

#include "Support/UrlText.h"

namespace marigold::standins {

UrlQuery::UrlQuery(std::string_view Target) {
  std::size_t Mark = Target.find('?');
  Path_ = decodeUrl(Target.substr(0, Mark), false);
  if (Mark == std::string_view::npos)
    return;
  std::string_view Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    std::size_t End = Rest.find('&');
    std::string_view Part = Rest.substr(0, End);
    std::size_t Equals = Part.find('=');
    std::string_view Value =
        Equals == std::string_view::npos ? "" : Part.substr(Equals + 1);
    if (!Part.empty())
      Parameters_.emplace_back(decodeUrl(Part.substr(0, Equals), true),
                               decodeUrl(Value, true));
    if (End == std::string_view::npos)
      return;
    Rest.remove_prefix(End + 1);
  }
}

std::optional<std::string> UrlQuery::find(std::string_view Name) const {
  for (const auto &[Key, Value] : Parameters_)
    if (Key == Name)
      return Value;
  return std::nullopt;
}

} // namespace marigold::standins
