#include "Ctl/LogRecord.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace marigold::ctl {
namespace {

constexpr std::string_view EventField = "event=";
/// Format of a timestamp; '0' stands for any digit.
constexpr std::string_view TimePattern = "0000-00-00T00:00:00.000";

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

bool matchesTimePattern(std::string_view Text) {
  return std::ranges::equal(Text, TimePattern, [](char Given, char Expected) {
    return Expected == '0' ? isDigit(Given) : Given == Expected;
  });
}

int parseDigits(std::string_view Text, std::size_t Position,
                std::size_t Length) {
  int Number = 0;
  std::from_chars(Text.data() + Position, Text.data() + Position + Length,
                  Number);
  return Number;
}

/// Parses the last timestamp before the event. A log collector may have put
/// its own timestamp in front of the line.
std::optional<LogTime> findTimestamp(std::string_view Prefix) {
  if (Prefix.size() < TimePattern.size())
    return std::nullopt;
  for (std::size_t Start = Prefix.size() - TimePattern.size() + 1;
       Start-- > 0;) {
    std::string_view Text = Prefix.substr(Start, TimePattern.size());
    if (!matchesTimePattern(Text))
      continue;
    std::chrono::year_month_day Day{
        std::chrono::year(parseDigits(Text, 0, 4)),
        std::chrono::month(static_cast<unsigned>(parseDigits(Text, 5, 2))),
        std::chrono::day(static_cast<unsigned>(parseDigits(Text, 8, 2)))};
    if (!Day.ok())
      return std::nullopt;
    return std::chrono::sys_days(Day) +
           std::chrono::hours(parseDigits(Text, 11, 2)) +
           std::chrono::minutes(parseDigits(Text, 14, 2)) +
           std::chrono::seconds(parseDigits(Text, 17, 2)) +
           std::chrono::milliseconds(parseDigits(Text, 20, 3));
  }
  return std::nullopt;
}

/// Removes a plain or quoted value from the front of Rest and returns it;
/// nothing if its closing quote is missing.
std::optional<std::string> consumeValue(std::string_view &Rest) {
  if (!Rest.starts_with('"')) {
    std::size_t End = std::min(Rest.find(' '), Rest.size());
    std::string Value(Rest.substr(0, End));
    Rest.remove_prefix(End);
    return Value;
  }
  std::string Value;
  for (std::size_t Index = 1; Index < Rest.size(); ++Index) {
    if (Rest[Index] == '"') {
      Rest.remove_prefix(Index + 1);
      return Value;
    }
    if (Rest[Index] == '\\' && Index + 1 < Rest.size())
      ++Index;
    Value += Rest[Index];
  }
  return std::nullopt;
}

} // namespace

const std::string &LogRecord::field(std::string_view Name) const {
  static const std::string None;
  auto Position = std::ranges::find(
      Fields_, Name, &std::pair<std::string, std::string>::first);
  return Position == Fields_.end() ? None : Position->second;
}

LogLineKind parseLogLine(std::string_view Line, LogRecord &Record) {
  std::size_t Start = Line.find(EventField);
  if (Start == std::string_view::npos)
    return LogLineKind::Other;
  auto Time = findTimestamp(Line.substr(0, Start));
  if (!Time)
    return LogLineKind::Malformed;
  Record.Time_ = *Time;
  Record.Event_.clear();
  Record.Fields_.clear();
  std::string_view Rest = Line.substr(Start);
  while (!Rest.empty()) {
    if (Rest.front() == ' ') {
      Rest.remove_prefix(1);
      continue;
    }
    std::size_t Equals = Rest.find('=');
    if (Equals == std::string_view::npos)
      return LogLineKind::Malformed;
    std::string Key(Rest.substr(0, Equals));
    Rest.remove_prefix(Equals + 1);
    auto Value = consumeValue(Rest);
    if (!Value)
      return LogLineKind::Malformed;
    if (Record.Event_.empty())
      Record.Event_ = std::move(*Value);
    else
      Record.Fields_.emplace_back(std::move(Key), std::move(*Value));
  }
  return LogLineKind::Record;
}

} // namespace marigold::ctl
