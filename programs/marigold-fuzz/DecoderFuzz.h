#pragma once

#include <cstdint>

namespace marigold::fuzz {

/// Feeds Runs malformed inputs for each message type of the schema to its
/// decoder. An input is an encoded random message with bytes changed, cut off,
/// inserted, repeated or overwritten. Accepted input must keep the same
/// encoding when it is encoded and decoded again; other input must be refused
/// with MessageMalformed. Prints one line per message type and per failure.
/// Returns the number of failures.
std::size_t fuzzDecoders(std::uint64_t Seed, std::uint64_t Runs);

} // namespace marigold::fuzz
