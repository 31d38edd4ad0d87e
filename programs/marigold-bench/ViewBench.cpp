#include "ViewBench.h"

#include "Membership/ProbeScheduler.h"
#include "Membership/TableExchange.h"
#include "Support/Archive.h"

#include <malloc.h>

#include <cstdio>

namespace marigold::bench {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t HostCount = 3000;
constexpr std::size_t ServiceCount = 180;
constexpr std::size_t FailureDomainCount = 15;
constexpr std::size_t RegionCount = 6;
constexpr std::size_t UpdateCount = 100'000;
constexpr std::size_t ExchangeCount = 200;

HostRecord makeRecord(std::size_t Number) {
  HostRecord Record;
  Record.Id_ = {static_cast<std::uint32_t>(0x0a000001 + Number), 7400};
  Record.Incarnation_ = 1'700'000'000'000 + Number;
  Record.State_ = HostState::Ready;
  Record.Service_ = "service-name-" + std::to_string(Number % ServiceCount);
  Record.FailureDomain_ =
      "region-domain-" + std::to_string(Number % FailureDomainCount);
  Record.Region_ = "region-" + std::to_string(Number % RegionCount);
  Record.CallerPort_ = 7480;
  Record.AdminPort_ = 7490;
  return Record;
}

double microsecondsSince(std::chrono::steady_clock::time_point Start) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

// Prints the size in bytes of a probe to a host in Table, with and without
// updates.
void printProbeBytes(membership::HostTable &Table, std::uint64_t Seed) {
  TimePoint Now{1h};
  membership::ProbeScheduler Probes(
      Table, makeRecord(0), {},
      [](TimePoint) {
        NodeSummary Summary;
        Summary.Version_ = {1, 1'000'000};
        Summary.Digest_ = ~std::uint64_t(0);
        Summary.SourceAge_ = 3s;
        return Summary;
      },
      Random(Seed), Now);
  std::size_t Least = membership::MaxDatagramBytes;
  std::size_t Most = 0;
  for (std::uint32_t Sequence = 0; Sequence < 2000; ++Sequence) {
    if (Sequence >= 1000 && Sequence % 10 == 0) {
      HostRecord Changed = makeRecord(1 + Sequence);
      Changed.Sequence_ = UpdateCount * 2 + Sequence;
      Probes.onNotice({Changed}, Now);
    }
    for (const membership::Action &Action :
         Probes.probeAddress(makeRecord(7).Id_, Now))
      if (auto *Send = std::get_if<membership::SendDatagram>(&Action)) {
        std::size_t Bytes =
            encodeMessage(std::get<Ping>(Send->Message_)).size();
        Least = std::min(Least, Bytes);
        Most = std::max(Most, Bytes);
      }
  }
  std::printf("bench=view probe_bytes_without_updates=%zu "
              "probe_bytes_with_4_updates=%zu\n",
              Least, Most);
}

} // namespace

int runViewBench(std::uint64_t Seed) {
  TimePoint Now{1h};
  std::size_t Before = mallinfo2().uordblks;
  membership::HostTable Table;
  std::size_t RecordBytes = 0;
  for (std::size_t Number = 0; Number < HostCount; ++Number) {
    HostRecord Record = makeRecord(Number);
    RecordBytes += encodeBody(Record).size();
    Table.apply(Record, Now);
  }
  std::size_t Bytes = mallinfo2().uordblks - Before;
  std::printf("bench=view hosts=%zu table_bytes=%zu bytes_per_host=%zu "
              "wire_bytes_per_record=%.1f\n",
              Table.size(), Bytes, Bytes / HostCount,
              double(RecordBytes) / HostCount);

  Random Rng(Seed);
  std::vector<HostRecord> Updates;
  for (std::size_t Count = 0; Count < UpdateCount; ++Count) {
    Updates.push_back(makeRecord(Rng.below(HostCount)));
    Updates.back().Sequence_ = static_cast<std::uint32_t>(1 + Count);
  }
  auto Start = std::chrono::steady_clock::now();
  for (const HostRecord &Record : Updates)
    Table.apply(Record, Now);
  std::printf("bench=view updates=%zu us_per_update=%.3f\n", UpdateCount,
              microsecondsSince(Start) / UpdateCount);

  membership::HostTable Other = Table;
  for (std::size_t Number = 0; Number < 10; ++Number) {
    HostRecord Record = Other.find(makeRecord(Number).Id_)->Record_;
    Record.Sequence_ += UpdateCount;
    Other.apply(Record, Now);
  }
  std::size_t ExchangeBytes = 0;
  Start = std::chrono::steady_clock::now();
  for (std::size_t Count = 0; Count < ExchangeCount; ++Count) {
    SyncRequest Request;
    membership::addBucketDigests(Table, Request);
    SyncReply Reply;
    membership::addDifferingRecords(Other, Request, Reply);
    ExchangeBytes = encodeMessage(Request).size() + encodeMessage(Reply).size();
    for (const HostExchange &Message :
         membership::makeHostExchanges(Table, Reply))
      ExchangeBytes += encodeMessage(Message).size();
  }
  std::printf("bench=view differing_hosts=10 us_per_exchange=%.1f "
              "exchange_bytes=%zu\n",
              microsecondsSince(Start) / ExchangeCount, ExchangeBytes);
  printProbeBytes(Table, Seed);
  return 0;
}

} // namespace marigold::bench
