#include "Membership/TableExchange.h"

#include "Support/Archive.h"

namespace marigold::membership {

void addBucketDigests(const HostTable &Table, SyncRequest &Request) {
  Request.Buckets_.assign(Table.bucketDigests().begin(),
                          Table.bucketDigests().end());
}

void addDifferingRecords(const HostTable &Table, const SyncRequest &Request,
                         SyncReply &Reply) {
  if (Request.Buckets_.empty())
    return;
  Reply.DifferingBuckets_ = Table.differingBuckets(Request.Buckets_);
  Reply.Hosts_ = Table.recordsOfBuckets(Reply.DifferingBuckets_);
}

std::vector<HostExchange> makeHostExchanges(const HostTable &Table,
                                            const SyncReply &Reply) {
  std::vector<HostExchange> Messages;
  std::size_t Bytes = 0;
  for (HostRecord &Record : Table.recordsOfBuckets(Reply.DifferingBuckets_)) {
    std::size_t Size = encodeBody(Record).size();
    if (Messages.empty() || Bytes + Size > MaxExchangeBytes) {
      Messages.emplace_back();
      Bytes = 0;
    }
    Bytes += Size;
    Messages.back().Hosts_.push_back(std::move(Record));
  }
  return Messages;
}

} // namespace marigold::membership
