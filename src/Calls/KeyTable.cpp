#include "Calls/KeyTable.h"

#include <algorithm>

namespace marigold::calls {
namespace {

/// Estimated overhead in bytes of an answer and of each of its header fields.
constexpr std::size_t ItemOverhead = 64;

Claim refuse(ErrorCode Reason, std::uint64_t Number = 0) {
  return {ClaimAction::Refuse, Number, nullptr, Reason};
}

} // namespace

std::size_t StoredAnswer::bytes() const {
  std::size_t Sum = ItemOverhead + Body_.size();
  for (const Header &Field : Headers_)
    Sum += ItemOverhead + Field.Name_.size() + Field.Value_.size();
  return Sum;
}

KeyTable::KeyTable(HostId Own, std::uint64_t Incarnation,
                   std::uint64_t MeshHash, KeyTableSettings Settings,
                   TimePoint Now)
    : Own_(Own), Incarnation_(Incarnation), MeshHash_(MeshHash),
      Settings_(Settings), Created_(Now) {}

Result<std::string> KeyTable::issue(TimePoint Now) {
  expire(Now);
  if (!makeRoom())
    return fail(ErrorCode::KeyTableFull,
                std::to_string(Records_.size()) + " records in use");
  std::uint64_t Number = NextNumber_++;
  Record &Fresh = Records_[Number];
  Fresh.Expiry_ = Now + Settings_.Lifetime_;
  ByExpiry_.emplace(Fresh.Expiry_, Number);
  RequestKey Key{Own_, Incarnation_, Number,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::max(Now - Created_, Duration::zero()))};
  return formatKey(Key, MeshHash_);
}

Claim KeyTable::claim(std::string_view Text, std::uint64_t Fingerprint,
                      TimePoint Now) {
  auto Key = parseKey(Text, MeshHash_);
  if (!Key)
    return refuse(ErrorCode::KeyMalformed);
  if (Key.value().Owner_ != Own_)
    return refuse(ErrorCode::KeyOwnerUnreachable);
  if (Key.value().Incarnation_ != Incarnation_)
    return refuse(ErrorCode::KeyOwnerRestarted);
  std::uint64_t Number = Key.value().Number_;
  if (Number == 0 || Number >= NextNumber_)
    return refuse(ErrorCode::KeyMalformed);
  expire(Now);
  auto Position = Records_.find(Number);
  if (Position == Records_.end())
    return refuse(ErrorCode::KeyExpired, Number);
  Record &Entry = Position->second;
  if (Entry.State_ == State::Issued) {
    ByExpiry_.erase({Entry.Expiry_, Number});
    Entry.State_ = State::Running;
    Entry.Fingerprint_ = Fingerprint;
    return {ClaimAction::Run, Number, nullptr, {}};
  }
  if (Entry.Fingerprint_ != Fingerprint)
    return refuse(ErrorCode::MalformedRequest, Number);
  switch (Entry.State_) {
  case State::Released:
    return refuse(ErrorCode::KeyReleased, Number);
  case State::Abandoned:
    return refuse(Entry.Reason_, Number);
  case State::Done:
    if (Entry.Answer_)
      return {ClaimAction::Replay, Number, Entry.Answer_, {}};
    return refuse(ErrorCode::KeyAnswerTooLarge, Number);
  case State::Issued:
  case State::Running:
    break;
  }
  return refuse(ErrorCode::KeyInProgress, Number);
}

void KeyTable::complete(std::uint64_t Number, StoredAnswer Answer,
                        TimePoint Now) {
  Record *Entry = findRunning(Number);
  if (!Entry)
    return;
  finish(Number, *Entry, State::Done, Now);
  std::size_t Bytes = Answer.bytes();
  // A single answer must not evict all others.
  if (Bytes > Settings_.AnswerBytes_ / 4)
    return;
  while (AnswerBytes_ + Bytes > Settings_.AnswerBytes_)
    dropAnswer(Records_.at(AnswersByAge_.begin()->second));
  Entry->Answer_ = std::make_shared<const StoredAnswer>(std::move(Answer));
  Entry->AnswerSequence_ = NextAnswerSequence_++;
  AnswersByAge_.emplace(Entry->AnswerSequence_, Number);
  AnswerBytes_ += Bytes;
}

void KeyTable::release(std::uint64_t Number, TimePoint Now) {
  Record *Entry = findRunning(Number);
  if (!Entry)
    return;
  finish(Number, *Entry, State::Released, Now);
  Released_.insert(Number);
}

void KeyTable::abandon(std::uint64_t Number, ErrorCode Reason, TimePoint Now) {
  Record *Entry = findRunning(Number);
  if (!Entry)
    return;
  finish(Number, *Entry, State::Abandoned, Now);
  Entry->Reason_ =
      errorOutcome(Reason) == Outcome::Unknown ? Reason : ErrorCode::TargetLost;
}

void KeyTable::expire(TimePoint Now) {
  while (!ByExpiry_.empty() && ByExpiry_.begin()->first <= Now)
    erase(ByExpiry_.begin()->second);
}

KeyTable::Record *KeyTable::findRunning(std::uint64_t Number) {
  auto Position = Records_.find(Number);
  if (Position == Records_.end() || Position->second.State_ != State::Running)
    return nullptr;
  return &Position->second;
}

void KeyTable::finish(std::uint64_t Number, Record &Entry, State Final,
                      TimePoint Now) {
  Entry.State_ = Final;
  Entry.Expiry_ = Now + Settings_.Lifetime_;
  ByExpiry_.emplace(Entry.Expiry_, Number);
}

void KeyTable::dropAnswer(Record &Entry) {
  if (!Entry.Answer_)
    return;
  AnswerBytes_ -= Entry.Answer_->bytes();
  AnswersByAge_.erase(Entry.AnswerSequence_);
  Entry.Answer_.reset();
}

void KeyTable::erase(std::uint64_t Number) {
  auto Position = Records_.find(Number);
  if (Position == Records_.end())
    return;
  dropAnswer(Position->second);
  ByExpiry_.erase({Position->second.Expiry_, Number});
  Released_.erase(Number);
  Records_.erase(Position);
}

bool KeyTable::makeRoom() {
  if (Records_.size() < Settings_.Records_)
    return true;
  if (Released_.empty())
    return false;
  erase(*Released_.begin());
  return true;
}

} // namespace marigold::calls
