#include "StandIns/LedgerJoin.h"

#include "Support/Addresses.h"

#include <limits>
#include <sstream>
#include <unordered_set>

namespace marigold::standins {
namespace {

constexpr std::size_t MaxExamples = 20;

std::vector<std::string_view> splitFields(std::string_view Line) {
  std::vector<std::string_view> Fields;
  while (!Line.empty()) {
    std::size_t Space = Line.find(' ');
    if (Space != 0)
      Fields.push_back(Line.substr(0, Space));
    Line.remove_prefix(Space == std::string_view::npos ? Line.size()
                                                       : Space + 1);
  }
  return Fields;
}

Failure malformed(std::string_view Line) {
  return fail(ErrorCode::FileUnreadable,
              "malformed ledger line '" + std::string(Line) + "'");
}

Result<std::uint64_t> parseCount(std::string_view Text) {
  return parseNumber(Text, std::numeric_limits<std::uint64_t>::max());
}

Result<void> addLine(TargetRuns &Runs, std::string_view Line) {
  auto Fields = splitFields(Line);
  if (Fields.empty())
    return success();
  if (Fields[0] == "cut") {
    if (Fields.size() != 2)
      return malformed(Line);
    ++Runs.CutRuns_;
    return success();
  }
  if (Fields[0] != "run")
    return success();
  if (Fields.size() != 4 || !parseCount(Fields[3]))
    return malformed(Line);
  ++Runs.RunsById_[std::string(Fields[1])];
  return success();
}

} // namespace

std::string_view toText(CallKind Value) {
  return Value == CallKind::Booking ? "booking" : "call";
}

std::string toText(const CallerEntry &Entry) {
  return Entry.Id_ + ' ' + std::string(toText(Entry.Kind_)) + ' ' +
         std::string(outcomeText(Entry.Outcome_)) + ' ' +
         std::to_string(Entry.Attempts_);
}

Result<CallerEntry> parseCallerEntry(std::string_view Line) {
  auto Fields = splitFields(Line);
  if (Fields.size() != 4)
    return malformed(Line);
  CallerEntry Entry;
  Entry.Id_ = Fields[0];
  if (Fields[1] == toText(CallKind::Booking))
    Entry.Kind_ = CallKind::Booking;
  else if (Fields[1] != toText(CallKind::Call))
    return malformed(Line);
  Entry.Outcome_ = Outcome::None;
  for (Outcome Candidate : {Outcome::Ok, Outcome::NotRun, Outcome::Unknown})
    if (Fields[2] == outcomeText(Candidate))
      Entry.Outcome_ = Candidate;
  auto Attempts = parseCount(Fields[3]);
  if (Entry.Outcome_ == Outcome::None || !Attempts)
    return malformed(Line);
  Entry.Attempts_ = Attempts.value();
  return Entry;
}

Result<void> addTargetLedger(TargetRuns &Runs, std::string_view Text) {
  while (!Text.empty()) {
    std::size_t End = Text.find('\n');
    if (End == std::string_view::npos)
      return success();
    BOOST_OUTCOME_TRY(addLine(Runs, Text.substr(0, End)));
    Text.remove_prefix(End + 1);
  }
  return success();
}

JoinedLedgers joinLedgers(const std::vector<CallerEntry> &Entries,
                          const TargetRuns &Runs) {
  JoinedLedgers Joined;
  Joined.CutRuns_ = Runs.CutRuns_;
  std::unordered_set<std::string> Known;
  auto AddExample = [&](const CallerEntry &Entry) {
    if (Joined.Examples_.size() < MaxExamples)
      Joined.Examples_.push_back(Entry.Id_);
  };
  for (const CallerEntry &Entry : Entries) {
    Known.insert(Entry.Id_);
    auto Position = Runs.RunsById_.find(Entry.Id_);
    std::uint64_t Count =
        Position == Runs.RunsById_.end() ? 0 : Position->second;
    ++Joined.Calls_;
    Joined.Runs_ += Count;
    bool IsBooking = Entry.Kind_ == CallKind::Booking;
    Joined.Bookings_ += IsBooking ? 1 : 0;
    if (IsBooking && Count > 1) {
      ++Joined.Doubled_;
      AddExample(Entry);
    }
    if (Entry.Outcome_ == Outcome::NotRun && Count > 0) {
      ++Joined.FalseNotRun_;
      AddExample(Entry);
    }
    if (Entry.Outcome_ == Outcome::Ok && Count == 0)
      ++Joined.OkWithoutRun_;
    if (Entry.Outcome_ == Outcome::Unknown)
      ++(Count > 0 ? Joined.UnknownRan_ : Joined.UnknownNotRun_);
  }
  for (const auto &[Id, Count] : Runs.RunsById_)
    if (Id.find(ChainSeparator) == std::string::npos && !Known.contains(Id))
      Joined.UnmatchedRuns_ += Count;
  return Joined;
}

std::string toText(const JoinedLedgers &Joined) {
  std::ostringstream Out;
  Out << "calls=" << Joined.Calls_ << "\nbookings=" << Joined.Bookings_
      << "\nruns=" << Joined.Runs_ << "\ndoubled=" << Joined.Doubled_
      << "\nfalse_not_run=" << Joined.FalseNotRun_
      << "\nok_without_run=" << Joined.OkWithoutRun_
      << "\nunknown_ran=" << Joined.UnknownRan_
      << "\nunknown_not_run=" << Joined.UnknownNotRun_
      << "\nunmatched_runs=" << Joined.UnmatchedRuns_
      << "\ncut_runs=" << Joined.CutRuns_ << '\n';
  if (Joined.Examples_.empty())
    return Out.str();
  Out << "examples=";
  for (const std::string &Id : Joined.Examples_)
    Out << (&Id == &Joined.Examples_.front() ? "" : ",") << Id;
  Out << '\n';
  return Out.str();
}

} // namespace marigold::standins
