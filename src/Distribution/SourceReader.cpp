#include "Distribution/SourceReader.h"

#include "Distribution/ReaderRanking.h"

#include <algorithm>
#include <cmath>

namespace marigold::distribution {
namespace {

constexpr Duration TakeoverDrawInterval = std::chrono::seconds(1);

// Jitter of the time between two reads of the host list, in percent of its
// mean. It makes nodes that read the same change at the same time drift apart.
constexpr int HostsJitterPercent = 10;

// A node that is not a reader fetches at a random time within this number of
// fetch steps, which is about the number of readers.
constexpr int NonReaderFetchSteps = 8;

// A peer may have refused the text up to this long before this node saw its
// index.
constexpr Duration RefusalSlack = std::chrono::seconds(10);

} // namespace

std::string_view toText(SourceRole Role) {
  switch (Role) {
  case SourceRole::None:
    return "none";
  case SourceRole::Reader:
    return "reader";
  case SourceRole::Takeover:
    return "takeover";
  }
  return "invalid";
}

SourceReader::SourceReader(const membership::HostTable &Table,
                           const VersionStore &Store,
                           SourceConfirmation &Confirmation, const HostId &Own,
                           std::string FailureDomain,
                           SourceReaderOptions Options, Random Rng,
                           TimePoint Now)
    : Table_(Table), Store_(Store), Confirmation_(Confirmation), Own_(Own),
      FailureDomain_(std::move(FailureDomain)), Options_(Options), Rng_(Rng),
      Backoff_(Options.FirstBackoff_, Options.MaxBackoff_),
      HostsBackoff_(Options.FirstBackoff_, Options.MaxBackoff_),
      TakeoverBackoff_(Options.FirstTakeoverBackoff_,
                       Options.MaxTakeoverBackoff_),
      RoleStartsAt_(Now + Options.RestartSpread_ / 2 +
                    Rng_.upTo(Options.RestartSpread_ / 2)),
      NotBefore_(Now), NextWatch_(Now), NextHosts_(Now),
      NextTakeoverDraw_(RoleStartsAt_ + Rng_.upTo(TakeoverDrawInterval)) {}

SourceActions SourceReader::tick(TimePoint Now) {
  SourceActions Out;
  if (Now < RoleStartsAt_ || Now < NotBefore_)
    return Out;
  Role_ = decideRole(Now);
  bool Reader = Role_ != SourceRole::None;
  watch(Reader, Now, Out);
  fetch(Now, Out);
  if (Reader)
    readHosts(Now, Out);
  return Out;
}

SourceRole SourceReader::decideRole(TimePoint Now) {
  if (isReader(Now))
    return SourceRole::Reader;
  if (Options_.Takeover_ != Takeover::AtOnce)
    return SourceRole::None;
  if (Confirmation_.age(Now) >= Options_.StaleAfter_) {
    Takeovers_ += Now >= TakeoverUntil_ ? 1 : 0;
    TakeoverUntil_ = Now + Options_.TakeoverHold_;
  }
  return Now < TakeoverUntil_ ? SourceRole::Takeover : SourceRole::None;
}

void SourceReader::watch(bool Reader, TimePoint Now, SourceActions &Out) {
  if (WatchRunning_ || Now < NextWatch_)
    return;
  bool TakeOver = !Reader && drawsTakeover(Now);
  if (!Reader && !TakeOver)
    return;
  std::chrono::milliseconds Wait = Options_.Wait_;
  if (Options_.Mode_ == SourceMode::Peers)
    Wait = std::min(Wait, Options_.ConfirmWait_);
  // The jitter makes readers that started together drift apart.
  Wait -= std::chrono::milliseconds(
      Rng_.below(static_cast<std::uint64_t>(Wait.count()) / 4));
  WatchRunning_ = true;
  NextWatch_ = Now + Options_.WatchGap_;
  Out.push_back(WatchKeys{TakeOver ? 0 : SeenIndex_, Wait});
}

void SourceReader::fetch(TimePoint Now, SourceActions &Out) {
  if (!FetchAt_ || FetchRunning_ || Now < *FetchAt_)
    return;
  if (isHandled(SeenIndex_)) {
    FetchAt_.reset();
    return;
  }
  FetchRunning_ = true;
  FetchIndex_ = SeenIndex_;
  Out.push_back(FetchText{});
}

void SourceReader::readHosts(TimePoint Now, SourceActions &Out) {
  if (HostsRunning_ || Now < NextHosts_)
    return;
  HostsRunning_ = true;
  Out.push_back(ReadHosts{});
}

void SourceReader::onKeys(std::uint64_t Index, TimePoint Now) {
  WatchRunning_ = false;
  Backoff_.reset();
  TakeoverBackoff_.reset();
  Confirmation_.confirm(Now);
  std::uint64_t Highest = std::max(SeenIndex_, Store_.version().Revision_);
  if (Index < Highest && Index != SeenIndex_) {
    ++IndexFalls_;
    IndexTrusted_ = false;
  }
  if (Index != SeenIndex_) {
    SeenAt_ = Now;
    NextWatch_ = std::max(NextWatch_, Now + Options_.WatchGap_);
  }
  SeenIndex_ = Index;
  scheduleFetch(Now);
}

void SourceReader::onText(std::uint64_t Index, TimePoint Now) {
  FetchRunning_ = false;
  FetchAt_.reset();
  Backoff_.reset();
  TakeoverBackoff_.reset();
  Confirmation_.confirm(Now);
  IndexTrusted_ = Index >= Store_.version().Revision_;
  // A watch answered during the fetch requires a fetch of its own, unless the
  // fetched text already has the index of that watch.
  HandledIndex_ = Index == SeenIndex_ ? Index : FetchIndex_;
  scheduleFetch(Now);
}

void SourceReader::onHosts(TimePoint Now) {
  HostsRunning_ = false;
  NextHosts_ =
      Now + Options_.HostsInterval_ * (100 - HostsJitterPercent) / 100 +
      Rng_.upTo(Options_.HostsInterval_ * 2 * HostsJitterPercent / 100);
  HostsBackoff_.reset();
  TakeoverBackoff_.reset();
}

void SourceReader::onFailure(SourceCall Call, TimePoint Now) {
  if (Call == SourceCall::Keys)
    WatchRunning_ = false;
  if (Call == SourceCall::Text)
    FetchRunning_ = false;
  if (Call == SourceCall::Hosts)
    HostsRunning_ = false;
  if (Role_ == SourceRole::Takeover && Options_.Takeover_ == Takeover::AtOnce) {
    // One delay for all calls: those that fail together are made together
    // again.
    if (Now >= NotBefore_)
      NotBefore_ = Now + TakeoverBackoff_.nextLong(Rng_);
    return;
  }
  if (Call != SourceCall::Hosts) {
    NotBefore_ = Now + Backoff_.next(Rng_);
    return;
  }
  // Reads of the host list use their own backoff: if only the catalogue fails,
  // this must not delay configuration versions.
  NextHosts_ = Now + HostsBackoff_.next(Rng_);
}

bool SourceReader::isReader(TimePoint Now) const {
  if (Now < RoleStartsAt_)
    return false;
  if (Options_.Mode_ == SourceMode::EveryNode)
    return true;
  if (CachedGeneration_ != Table_.generation()) {
    CachedGeneration_ = Table_.generation();
    std::vector<HostId> Readers =
        readersOf(Table_, FailureDomain_, Own_, Options_.Readers_);
    CachedIsReader_ =
        std::find(Readers.begin(), Readers.end(), Own_) != Readers.end();
  }
  return CachedIsReader_;
}

bool SourceReader::isHandled(std::uint64_t Index) const {
  if (Index == HandledIndex_)
    return true;
  if (!IndexTrusted_ || Options_.Mode_ == SourceMode::EveryNode)
    return false;
  return Store_.version().Revision_ >= Index ||
         Store_.isRefused(Index, SeenAt_ - RefusalSlack);
}

bool SourceReader::drawsTakeover(TimePoint Now) {
  if (Options_.Takeover_ != Takeover::Spread || Now < NextTakeoverDraw_)
    return false;
  NextTakeoverDraw_ = Now + TakeoverDrawInterval;
  Duration Overdue = Confirmation_.age(Now) - Options_.StaleAfter_;
  if (Overdue < Duration(0))
    return false;
  double Doublings = std::chrono::duration<double>(Overdue) /
                     std::chrono::duration<double>(Options_.TakeoverDoubling_);
  double Expected = std::min(std::exp2(Doublings), Options_.TakeoverLimit_);
  double Hosts =
      static_cast<double>(std::max<std::size_t>(1, Table_.liveCount()));
  if (!Rng_.chance(Expected / Hosts))
    return false;
  ++Takeovers_;
  return true;
}

void SourceReader::scheduleFetch(TimePoint Now) {
  if (FetchAt_ || FetchRunning_ || isHandled(SeenIndex_))
    return;
  // A takeover at once shows that the readers are silent, so there is nobody
  // whose fetch is worth waiting for.
  if (Options_.Mode_ == SourceMode::EveryNode ||
      Role_ == SourceRole::Takeover) {
    FetchAt_ = Now;
    return;
  }
  std::optional<std::size_t> Position =
      fetchPosition(Table_, Own_, SeenIndex_, Options_.Readers_);
  FetchAt_ =
      Now + (Position ? static_cast<int>(*Position) * Options_.FetchStep_
                      : Rng_.upTo(NonReaderFetchSteps * Options_.FetchStep_));
}

} // namespace marigold::distribution
