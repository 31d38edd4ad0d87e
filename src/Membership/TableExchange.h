#pragma once

#include "Membership/HostTable.h"

namespace marigold::membership {

/// Maximum size in bytes of the records in a HostExchange. It leaves room for
/// the list length within the 64 KiB of a frame.
inline constexpr std::size_t MaxExchangeBytes = std::size_t(60) * 1024;

/// Adds the bucket digests to Request, so that the receiver also compares the
/// host tables.
void addBucketDigests(const HostTable &Table, SyncRequest &Request);

/// Adds the differing buckets and their records to Reply if Request has bucket
/// digests.
void addDifferingRecords(const HostTable &Table, const SyncRequest &Request,
                         SyncReply &Reply);

/// Returns the requester's records in the differing buckets, split into
/// messages that fit into a frame. Must be called before the records of Reply
/// are merged.
std::vector<HostExchange> makeHostExchanges(const HostTable &Table,
                                            const SyncReply &Reply);

} // namespace marigold::membership
