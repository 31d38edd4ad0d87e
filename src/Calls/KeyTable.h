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

/// Complete answer to a keyed request, replayed to later claims of the key.
struct StoredAnswer {
  /// HTTP status code.
  std::uint16_t Status_ = 0;
  /// End-to-end header fields.
  std::vector<Header> Headers_;
  std::string Body_;

  /// Memory use in bytes, with an estimate of the overhead per field.
  std::size_t bytes() const;
};

/// Parameters of a KeyTable.
struct KeyTableSettings {
  /// Time after its issue in which a key can first be claimed, and time after
  /// the end of its request for which the record is kept (setting
  /// key-lifetime).
  Duration Lifetime_ = std::chrono::minutes(15);
  /// Maximum size of all stored answers in bytes (setting key-memory).
  std::size_t AnswerBytes_ = std::size_t{4} * 1024 * 1024;
  /// Maximum number of records. A record takes about 200 bytes, so that a full
  /// table takes 6.5 MB of a node's 32 MB, not counting the stored answers.
  std::size_t Records_ = 32768;
};

/// What the claimant has to do.
enum class ClaimAction : std::uint8_t {
  /// Run the request and then call complete, release or abandon.
  Run,
  /// Send the stored answer; the request has already run.
  Replay,
  /// Refuse the request with the reason.
  Refuse,
};

/// Result of a claim.
struct Claim {
  ClaimAction Action_ = ClaimAction::Refuse;
  /// Number of the key, to be passed to complete, release or abandon.
  std::uint64_t Number_ = 0;
  /// Set for Replay.
  std::shared_ptr<const StoredAnswer> Answer_;
  /// Set for Refuse.
  ErrorCode Reason_ = ErrorCode::KeyMalformed;
};

/// Idempotency keys that this node issued in this incarnation. Ensures that the
/// request of a key runs at most once: the state of a record changes from
/// issued to running and then to done, released or abandoned, never back, so
/// that a claim returns Run at most once, and never for a key without a record.
/// Only the owner's node has the records, in memory only. A key therefore
/// contains the incarnation, so that a restarted node recognizes keys whose
/// records are lost.
class KeyTable {
public:
  /// Own and Incarnation identify this process. MeshHash is the hash of the
  /// mesh name that is passed to formatKey.
  KeyTable(HostId Own, std::uint64_t Incarnation, std::uint64_t MeshHash,
           KeyTableSettings Settings, TimePoint Now);

  /// Issues a new key. Fails with KeyTableFull if the table is full of records
  /// that are still needed.
  Result<std::string> issue(TimePoint Now);

  /// Claims the request of a key. Call it before any other check that can
  /// refuse the request, so that a refusal releases the key. Refuses with
  /// KeyMalformed (not a key, or never issued), KeyOwnerUnreachable (key of
  /// another node), KeyOwnerRestarted, KeyExpired, KeyInProgress, KeyReleased,
  /// KeyAnswerTooLarge, MalformedRequest (Fingerprint differs from that of the
  /// first claim), or the reason of an abandoned run.
  Claim claim(std::string_view Text, std::uint64_t Fingerprint, TimePoint Now);

  /// Records that the request ran and its complete answer is known. The oldest
  /// answers are dropped to make room; an answer that is too large to be stored
  /// is not kept. Claims of a key without its answer are refused with
  /// KeyAnswerTooLarge.
  void complete(std::uint64_t Number, StoredAnswer Answer, TimePoint Now);

  /// Records that the request was refused before a byte was sent to the target.
  /// The key never runs.
  void release(std::uint64_t Number, TimePoint Now);

  /// Records that the request may have run but its answer was lost. Later
  /// claims are refused with Reason, such as TargetLost or DeadlineExceeded; a
  /// code whose outcome is not Unknown is replaced by TargetLost.
  void abandon(std::uint64_t Number, ErrorCode Reason, TimePoint Now);

  /// Drops expired records. Running ones do not expire.
  void expire(TimePoint Now);

  /// Number of records.
  std::size_t size() const { return Records_.size(); }

  /// Size of all stored answers in bytes.
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
    /// Time at which the record is dropped; unused while running.
    TimePoint Expiry_;
    std::uint64_t Fingerprint_ = 0;
    std::shared_ptr<const StoredAnswer> Answer_;
    /// Key in AnswersByAge_; only valid if Answer_ is set.
    std::uint64_t AnswerSequence_ = 0;
  };

  Record *findRunning(std::uint64_t Number);
  void finish(std::uint64_t Number, Record &Entry, State Final, TimePoint Now);
  void dropAnswer(Record &Entry);
  void erase(std::uint64_t Number);
  bool makeRoom();

  HostId Own_;
  std::uint64_t Incarnation_;
  std::uint64_t MeshHash_;
  KeyTableSettings Settings_;
  TimePoint Created_;
  std::uint64_t NextNumber_ = 1;
  std::unordered_map<std::uint64_t, Record> Records_;
  /// Records that are not running, ordered by expiry.
  std::set<std::pair<TimePoint, std::uint64_t>> ByExpiry_;
  /// Released records. When the table is full, the one with the lowest number
  /// is dropped; this is safe because a key without a record does not run
  /// either.
  std::set<std::uint64_t> Released_;
  /// Key numbers of the stored answers, in the order in which their requests
  /// ended.
  std::map<std::uint64_t, std::uint64_t> AnswersByAge_;
  std::uint64_t NextAnswerSequence_ = 0;
  std::size_t AnswerBytes_ = 0;
};

} // namespace marigold::calls
