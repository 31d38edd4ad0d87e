#include "Membership/HostTable.h"

#include <algorithm>
#include <tuple>

namespace marigold::membership {
namespace {

std::uint64_t contentHash(const HostEntry &Entry) {
  const HostRecord &Record = Entry.Record_;
  std::uint64_t Hash = mixHash(hashOf(Record.Id_), Record.Incarnation_);
  Hash = mixHash(Hash, (std::uint64_t(Record.Sequence_) << 8) |
                           static_cast<std::uint8_t>(Entry.ReportedState_));
  Hash = mixHash(Hash,
                 (std::uint64_t(Record.CallerPort_) << 16) | Record.AdminPort_);
  Hash = hash64(Record.Service_, Hash);
  Hash = hash64(Record.FailureDomain_, Hash);
  return hash64(Record.Region_, Hash);
}

bool isWellFormed(const HostRecord &Record) {
  return Record.Id_.Ipv4_ != 0 && Record.Id_.Port_ != 0 &&
         Record.Incarnation_ <= MaxIncarnation &&
         Record.Service_.size() <= MaxHostNameLength &&
         Record.FailureDomain_.size() <= MaxHostNameLength &&
         Record.Region_.size() <= MaxHostNameLength;
}

bool isDetectorState(HostState State) {
  return State == HostState::Suspect || State == HostState::Dead;
}

auto sortKey(const HostRecord &Record) {
  return std::tie(Record.Incarnation_, Record.Sequence_, Record.State_,
                  Record.Service_, Record.FailureDomain_, Record.Region_,
                  Record.CallerPort_, Record.AdminPort_);
}

template <class Index>
void insertSorted(Index &Where, const std::string &Name, const HostId &Id) {
  std::vector<HostId> &Hosts = Where[Name];
  Hosts.insert(std::lower_bound(Hosts.begin(), Hosts.end(), Id), Id);
}

template <class Index>
void eraseSorted(Index &Where, const std::string &Name, const HostId &Id) {
  auto Found = Where.find(Name);
  std::vector<HostId> &Hosts = Found->second;
  Hosts.erase(std::lower_bound(Hosts.begin(), Hosts.end(), Id));
  if (Hosts.empty())
    Where.erase(Found);
}

template <class Index>
const std::vector<HostId> &lookUp(const Index &Where, std::string_view Name) {
  static const std::vector<HostId> None;
  auto Found = Where.find(Name);
  return Found == Where.end() ? None : Found->second;
}

} // namespace

bool supersedes(const HostRecord &Left, const HostRecord &Right) {
  return sortKey(Left) > sortKey(Right);
}

HostTable::HostTable(HostTableOptions Options) : Options_(Options) {}

ApplyResult HostTable::apply(const HostRecord &Record, TimePoint Now) {
  if (!isWellFormed(Record))
    return {ApplyOutcome::Malformed, std::nullopt};
  auto Found = Entries_.find(Record.Id_);
  if (Found == Entries_.end()) {
    if (isTombstone(Record.State_))
      return {ApplyOutcome::Stale, std::nullopt};
    if (Entries_.size() >= Options_.MaxHosts_ && !evictOldestTombstone())
      return {ApplyOutcome::Full, std::nullopt};
    HostEntry Entry;
    Entry.Record_ = Record;
    Entry.ReportedState_ =
        isDetectorState(Record.State_) ? HostState::Starting : Record.State_;
    Entry.ChangedAt_ = Now;
    addToIndexes(Entry);
    Entries_.emplace(Record.Id_, std::move(Entry));
    return {ApplyOutcome::Added, std::nullopt};
  }
  HostEntry &Entry = Found->second;
  if (!supersedes(Record, Entry.Record_))
    return {ApplyOutcome::Stale, std::nullopt};
  HostState Previous = Entry.Record_.State_;
  removeFromIndexes(Entry);
  Entry.Record_ = Record;
  if (!isDetectorState(Record.State_))
    Entry.ReportedState_ = Record.State_;
  Entry.ChangedAt_ = Now;
  addToIndexes(Entry);
  return {ApplyOutcome::Updated, Previous};
}

void HostTable::onContact(const HostId &Id, TimePoint Now) {
  auto Found = Entries_.find(Id);
  if (Found != Entries_.end())
    Found->second.LastContactAt_ = Now;
}

std::size_t HostTable::expire(TimePoint Now) {
  std::size_t Expired = 0;
  for (auto It = Entries_.begin(); It != Entries_.end();) {
    const HostEntry &Entry = It->second;
    if (isTombstone(Entry.Record_.State_) &&
        Now - Entry.ChangedAt_ > Options_.TombstoneLifetime_) {
      removeFromIndexes(Entry);
      It = Entries_.erase(It);
      ++Expired;
    } else {
      ++It;
    }
  }
  return Expired;
}

const HostEntry *HostTable::find(const HostId &Id) const {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

const std::vector<HostId> &
HostTable::hostsOfService(std::string_view Service) const {
  return lookUp(ByService_, Service);
}

const std::vector<HostId> &
HostTable::hostsOfFailureDomain(std::string_view FailureDomain) const {
  return lookUp(ByFailureDomain_, FailureDomain);
}

std::vector<std::string> HostTable::failureDomains() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Hosts] : ByFailureDomain_)
    Names.push_back(Name);
  return Names;
}

void HostTable::forEach(
    const std::function<void(const HostEntry &)> &Visit) const {
  for (const auto &[Id, Entry] : Entries_)
    Visit(Entry);
}

std::vector<HostId> HostTable::liveHosts() const {
  std::vector<HostId> Hosts;
  Hosts.reserve(LiveCount_);
  for (const auto &[Id, Entry] : Entries_)
    if (!isTombstone(Entry.Record_.State_))
      Hosts.push_back(Id);
  std::sort(Hosts.begin(), Hosts.end());
  return Hosts;
}

std::size_t HostTable::bucketOf(const HostId &Id) {
  return hashOf(Id) % HostBucketCount;
}

std::vector<std::uint16_t>
HostTable::differingBuckets(std::span<const std::uint64_t> Other) const {
  std::vector<std::uint16_t> Differing;
  for (std::uint16_t Bucket = 0; Bucket < HostBucketCount; ++Bucket)
    if (Other.size() != HostBucketCount || Other[Bucket] != Buckets_[Bucket])
      Differing.push_back(Bucket);
  return Differing;
}

std::vector<HostRecord>
HostTable::recordsOfBuckets(std::span<const std::uint16_t> Buckets) const {
  std::array<bool, HostBucketCount> Wanted{};
  for (std::uint16_t Bucket : Buckets)
    if (Bucket < HostBucketCount)
      Wanted[Bucket] = true;
  std::vector<HostRecord> Records;
  for (const auto &[Id, Entry] : Entries_)
    if (Wanted[bucketOf(Id)])
      Records.push_back(Entry.Record_);
  std::sort(Records.begin(), Records.end(),
            [](const HostRecord &Left, const HostRecord &Right) {
              return Left.Id_ < Right.Id_;
            });
  return Records;
}

void HostTable::addToIndexes(const HostEntry &Entry) {
  const HostRecord &Record = Entry.Record_;
  ++Generation_;
  ++CountByState_[static_cast<std::size_t>(Record.State_)];
  if (isTombstone(Record.State_))
    return;
  ++LiveCount_;
  insertSorted(ByService_, Record.Service_, Record.Id_);
  insertSorted(ByFailureDomain_, Record.FailureDomain_, Record.Id_);
  std::uint64_t Hash = contentHash(Entry);
  Buckets_[bucketOf(Record.Id_)] ^= Hash;
  Digest_ ^= Hash;
}

void HostTable::removeFromIndexes(const HostEntry &Entry) {
  const HostRecord &Record = Entry.Record_;
  ++Generation_;
  --CountByState_[static_cast<std::size_t>(Record.State_)];
  if (isTombstone(Record.State_))
    return;
  --LiveCount_;
  eraseSorted(ByService_, Record.Service_, Record.Id_);
  eraseSorted(ByFailureDomain_, Record.FailureDomain_, Record.Id_);
  std::uint64_t Hash = contentHash(Entry);
  Buckets_[bucketOf(Record.Id_)] ^= Hash;
  Digest_ ^= Hash;
}

bool HostTable::evictOldestTombstone() {
  auto Oldest = Entries_.end();
  for (auto It = Entries_.begin(); It != Entries_.end(); ++It)
    if (isTombstone(It->second.Record_.State_) &&
        (Oldest == Entries_.end() ||
         std::tie(It->second.ChangedAt_, It->first) <
             std::tie(Oldest->second.ChangedAt_, Oldest->first)))
      Oldest = It;
  if (Oldest == Entries_.end())
    return false;
  removeFromIndexes(Oldest->second);
  Entries_.erase(Oldest);
  return true;
}

} // namespace marigold::membership
