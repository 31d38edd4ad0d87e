#pragma once

#include <cstdint>

namespace marigold::fuzz {

/// Gives Runs malformed inputs for each message type of the schema to its
/// decoder. An input is a random message with bytes changed, cut off, added,
/// repeated or exchanged. Whatever the decoder accepts must come out the same
/// after encoding and decoding again; whatever it refuses must be refused with
/// MessageMalformed. Prints one line for each message type and each failure;
/// returns the number of failures.
std::size_t fuzzDecoders(std::uint64_t Seed, std::uint64_t Runs);

} // namespace marigold::fuzz
