#pragma once

#include "Membership/HostTable.h"

namespace marigold::membership {

/// Largest body of a HostExchange, with room for its list size below the
/// 64 KiB of a frame.
inline constexpr std::size_t MaxExchangeBytes = std::size_t(60) * 1024;

/// Adds the bucket digests to a SyncRequest that also compares host tables.
void addBucketDigests(const HostTable &Table, SyncRequest &Request);

/// Adds the differing buckets and their records to the answer, if the request
/// has bucket digests.
void addDifferingRecords(const HostTable &Table, const SyncRequest &Request,
                         SyncReply &Reply);

/// The asker's records of the differing buckets, cut into messages that fit a
/// frame. Make them before the records of the reply are merged.
std::vector<HostExchange> makeHostExchanges(const HostTable &Table,
                                            const SyncReply &Reply);

} // namespace marigold::membership
