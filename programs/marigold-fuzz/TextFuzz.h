#pragma once

#include <cstddef>
#include <cstdint>

namespace marigold::fuzz {

/// Parses malformed configuration texts and host lists. Each is a valid text
/// with random changes, among them values that break careless parsers: deep
/// nesting, numbers out of range, invalid UTF-8 and repeated names. Prints and
/// counts the texts that a parser accepts with invalid contents; a parser that
/// throws or crashes ends the program. Runs is the number of texts of each
/// kind.
std::size_t fuzzTexts(std::uint64_t Seed, std::uint64_t Runs);

} // namespace marigold::fuzz
