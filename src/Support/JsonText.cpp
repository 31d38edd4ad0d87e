#include "Support/JsonText.h"

#include <set>
#include <string>
#include <vector>

namespace marigold {
namespace {

using nlohmann::json;

/// Returns whether more than Depth arrays and objects enclose some value. The
/// result is only meaningful for valid JSON.
bool isNestedDeeper(std::string_view Text, std::size_t Depth) {
  std::size_t Open = 0;
  bool Quoted = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    char Character = Text[Index];
    if (Quoted) {
      if (Character == '\\')
        ++Index;
      else if (Character == '"')
        Quoted = false;
    } else if (Character == '"') {
      Quoted = true;
    } else if (Character == '[' || Character == '{') {
      if (++Open > Depth)
        return true;
    } else if ((Character == ']' || Character == '}') && Open > 0) {
      --Open;
    }
  }
  return false;
}

/// Records, as a callback of the parser, whether an object has two members of
/// one name.
class NameCheck {
public:
  bool operator()(int, json::parse_event_t Event, const json &Value) {
    if (Event == json::parse_event_t::object_start)
      Names_.emplace_back();
    else if (Event == json::parse_event_t::object_end)
      Names_.pop_back();
    else if (Event == json::parse_event_t::key)
      Repeated_ |= !Names_.back().insert(Value.get<std::string>()).second;
    return true;
  }

  bool hasRepeated() const { return Repeated_; }

private:
  /// Names in each object that is being parsed, outermost first.
  std::vector<std::set<std::string>> Names_;
  bool Repeated_ = false;
};

} // namespace

Result<json> parseJson(std::string_view Text, const JsonLimits &Limits) {
  if (Text.size() > Limits.Bytes_)
    return fail(ErrorCode::SourceMalformed, std::to_string(Text.size()) +
                                                " bytes of JSON exceed " +
                                                std::to_string(Limits.Bytes_));
  if (isNestedDeeper(Text, Limits.Depth_))
    return fail(ErrorCode::SourceMalformed, "JSON is nested deeper than " +
                                                std::to_string(Limits.Depth_) +
                                                " levels");
  NameCheck Names;
  json Root = Limits.UniqueNames_ ? json::parse(Text, std::ref(Names), false)
                                  : json::parse(Text, nullptr, false);
  if (Root.is_discarded())
    return fail(ErrorCode::SourceMalformed, "not valid JSON");
  if (Names.hasRepeated())
    return fail(ErrorCode::SourceMalformed,
                "two members of a JSON object have the same name");
  return Root;
}

} // namespace marigold
