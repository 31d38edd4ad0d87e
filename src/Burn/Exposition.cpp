#include "Burn/Exposition.h"

#include <cstdlib>

namespace marigold::burn {
namespace {

/// Removes one label pair from the front of Rest and stores it in Out. Returns
/// false if it is malformed.
bool readLabel(std::string_view &Rest, Series &Out) {
  std::size_t Equals = Rest.find("=\"");
  if (Equals == std::string_view::npos)
    return false;
  std::string Name(Rest.substr(0, Equals));
  Rest.remove_prefix(Equals + 2);
  std::string Value;
  while (!Rest.empty() && Rest.front() != '"') {
    if (Rest.front() == '\\' && Rest.size() > 1) {
      Rest.remove_prefix(1);
      Value += Rest.front() == 'n' ? '\n' : Rest.front();
    } else {
      Value += Rest.front();
    }
    Rest.remove_prefix(1);
  }
  if (Rest.empty())
    return false;
  Rest.remove_prefix(1);
  Out.Labels_[Name] = Value;
  return true;
}

/// Removes a label set of the form {a="b",...} from the front of Rest and
/// stores it in Out. Returns false if it is malformed.
bool readLabels(std::string_view &Rest, Series &Out) {
  Rest.remove_prefix(1);
  while (!Rest.empty() && Rest.front() != '}') {
    if (!readLabel(Rest, Out))
      return false;
    if (!Rest.empty() && Rest.front() == ',')
      Rest.remove_prefix(1);
  }
  if (Rest.empty())
    return false;
  Rest.remove_prefix(1);
  return true;
}

bool readSeries(std::string_view Line, Series &Out) {
  std::size_t NameEnd = Line.find_first_of("{ ");
  if (NameEnd == std::string_view::npos || NameEnd == 0)
    return false;
  Out.Name_ = Line.substr(0, NameEnd);
  Line.remove_prefix(NameEnd);
  if (Line.front() == '{' && !readLabels(Line, Out))
    return false;
  if (Line.empty() || Line.front() != ' ')
    return false;
  std::string Number(Line.substr(1));
  char *End = nullptr;
  Out.Value_ = std::strtod(Number.c_str(), &End);
  return !Number.empty() && End == Number.c_str() + Number.size();
}

} // namespace

Result<std::vector<Series>> parseExposition(std::string_view Text) {
  std::vector<Series> All;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('\n'), Text.size());
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (Line.empty() || Line.front() == '#')
      continue;
    Series Next;
    if (!readSeries(Line, Next))
      return fail(ErrorCode::SourceMalformed, std::string(Line));
    All.push_back(std::move(Next));
  }
  return All;
}

} // namespace marigold::burn
