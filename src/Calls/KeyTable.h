#pragma once

#include "Calls/RequestKey.h"
#include "Support/Clock.h"
#include "Support/Result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marigold::calls {

/// Complete answer of a keyed request, kept for repeated claims.
struct StoredAnswer {
  /// HTTP status.
  std::uint16_t Status_ = 0;
  /// End-to-end header fields.
  std::vector<Header> Headers_;
  /// Body.
  std::string Body_;

  /// Bytes that the answer takes, with the overhead of its fields estimated.
  std::size_t bytes() const;
};

/// Parameters of a KeyTable.
struct KeyTableSettings {
  /// Time from issue in which a key can be claimed, and from the end of its
  /// request in which the record is kept (setting key-lifetime).
  Duration Lifetime_ = std::chrono::minutes(15);
  /// Bytes of stored answers (setting key-memory).
  std::size_t AnswerBytes_ = std::size_t{4} * 1024 * 1024;
  /// Records. One takes about 200 bytes, so that a full table takes 6.5 MB of
  /// a node's 32 MB, besides the stored answers.
  std::size_t Records_ = 32768;
};

/// What a claim leads to.
enum class ClaimAction : std::uint8_t {
  /// The claimant runs the request and then calls complete, release or
  /// abandon.
  Run,
  /// The request has run; send the stored answer.
  Replay,
  /// Refuse with the reason.
  Refuse,
};

/// Result of a claim.
struct Claim {
  ClaimAction Action_ = ClaimAction::Refuse;
  /// Number of the key, the handle for the calls that follow.
  std::uint64_t Number_ = 0;
  /// Set for Replay.
  std::shared_ptr<const StoredAnswer> Answer_;
  /// Set for Refuse.
  ErrorCode Reason_ = ErrorCode::KeyMalformed;
};

/// Keys that this node issued in this incarnation (guarantee G6). A record
/// moves from issued through running to done, released or abandoned, never
/// back, so that a key gives Run at most once. A key without a record never
/// gives Run. Only the owner's node holds records; nothing is stored on disk,
/// which is why the incarnation is a part of the key.
class KeyTable {
public:
  /// Self and Incarnation identify this process; MeshHash is the one of
  /// formatKey.
  KeyTable(HostId Self, std::uint64_t Incarnation, std::uint64_t MeshHash,
           KeyTableSettings Settings, TimePoint Now);

  /// A new key. Fails with KeyTableFull when the table holds only records that
  /// are still needed.
  Result<std::string> issue(TimePoint Now);

  /// Claims the request of a key; call it before every other check that can
  /// refuse the request, so that a refusal releases the key. Refusals:
  /// KeyMalformed (not a key, or never issued), KeyOwnerUnreachable (another
  /// node's key), KeyOwnerRestarted, KeyExpired, KeyInProgress, KeyReleased,
  /// KeyAnswerTooLarge, MalformedRequest (Fingerprint differs from the first
  /// claim's), or the reason of an abandoned run.
  Claim claim(std::string_view Text, std::uint64_t Fingerprint, TimePoint Now);

  /// The request ran and its whole answer is known. An answer that does not
  /// fit is not kept; the oldest answers are dropped for it. A claim after
  /// that is refused with KeyAnswerTooLarge.
  void complete(std::uint64_t Number, StoredAnswer Answer, TimePoint Now);

  /// The request was refused before a byte was sent to the target. The key
  /// never runs again.
  void release(std::uint64_t Number, TimePoint Now);

  /// The request may have run but its answer is lost. Reason (TargetLost,
  /// DeadlineExceeded, ...) is given to later claims; a code whose outcome is
  /// not Unknown counts as TargetLost.
  void abandon(std::uint64_t Number, ErrorCode Reason, TimePoint Now);

  /// Drops records whose time has passed. Running ones stay.
  void expire(TimePoint Now);

  /// Records held.
  std::size_t size() const { return Records_.size(); }

  /// Bytes of stored answers.
  std::size_t answerBytes() const { return AnswerBytes_; }

private:
  enum class State : std::uint8_t {
    Issued,
    Running,
    Done,
    Released,
    Abandoned
  };
  struct Record {
    State State_ = State::Issued;
    ErrorCode Reason_ = ErrorCode::TargetLost;
    /// End of the record; unused while running.
    TimePoint Expiry_;
    std::uint64_t Fingerprint_ = 0;
    std::shared_ptr<const StoredAnswer> Answer_;
    /// Key in AnswersByAge_ while there is an answer.
    std::uint64_t AnswerSequence_ = 0;
  };

  Record *findRunning(std::uint64_t Number);
  void finish(std::uint64_t Number, Record &Entry, State Final, TimePoint Now);
  void dropAnswer(Record &Entry);
  void erase(std::uint64_t Number);
  bool makeRoom();

  HostId Self_;
  std::uint64_t Incarnation_;
  std::uint64_t MeshHash_;
  KeyTableSettings Settings_;
  TimePoint Created_;
  std::uint64_t NextNumber_ = 1;
  std::unordered_map<std::uint64_t, Record> Records_;
  /// Records that are not running, by end of the record.
  std::set<std::pair<TimePoint, std::uint64_t>> ByExpiry_;
  /// Released records; the one with the lowest number is dropped when the
  /// table is full, because a claim without a record does not run either.
  std::set<std::uint64_t> Released_;
  /// Stored answers in the order in which their requests ended.
  std::map<std::uint64_t, std::uint64_t> AnswersByAge_;
  std::uint64_t NextAnswerSequence_ = 0;
  std::size_t AnswerBytes_ = 0;
};

} // namespace marigold::calls
