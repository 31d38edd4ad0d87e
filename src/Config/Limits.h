#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace marigold::config {

/// Largest text (1 MiB), the limit of a value at the configuration source.
inline constexpr std::size_t MaxTextBytes = 1'048'576;
/// Deepest nesting of mappings and lists; a valid text needs six levels.
inline constexpr unsigned MaxNesting = 16;
/// Most YAML nodes (scalars, lists, mappings) of one text, which bounds the
/// memory that a hostile text can claim.
inline constexpr std::size_t MaxTextNodes = 250'000;
/// Most errors that are reported for one text.
inline constexpr std::size_t MaxDiagnostics = 1000;
/// Most services of one text; 180 are planned.
inline constexpr std::size_t MaxServices = 512;
/// Most dependencies of one service.
inline constexpr std::size_t MaxDependencies = 64;
/// Most routes of one service.
inline constexpr std::size_t MaxRoutes = 64;
/// Most methods of one route, with room for repeated ones, which are reported
/// one by one.
inline constexpr std::size_t MaxMethods = 16;
/// Most services in one chain of dependencies, the planned depth of calls.
inline constexpr std::size_t MaxDependencyChain = 12;
/// Longest name of a service or mesh, as for a host name's label.
inline constexpr std::size_t MaxNameLength = 63;
/// Longest path of a route.
inline constexpr std::size_t MaxPathLength = 256;

/// Lowest allowed epoch; 0 stands for "no version".
inline constexpr std::uint32_t MinEpoch = 1;

/// Allowed durations, for operators' typing errors rather than for safety.
inline constexpr std::chrono::milliseconds MinDeadline{1};
inline constexpr std::chrono::milliseconds MaxDeadline{600'000};
inline constexpr std::chrono::milliseconds MaxSlowStart{600'000};
inline constexpr std::chrono::microseconds MinLatency{100};
inline constexpr std::chrono::microseconds MaxLatency{60'000'000};

/// Longest latency objective of a route of a virtual host, its deadline's.
inline constexpr std::chrono::microseconds MaxRouteObjective{600'000'000};

/// Largest limits of clients; the node applies lower ones of its own.
inline constexpr std::uint64_t MaxClientBytes = 1ULL << 32;
inline constexpr std::chrono::milliseconds MaxClientTimeout{86'400'000};

/// Allowed objectives in parts per million. An objective of 100 % leaves no
/// error budget, for which no burn rate is defined.
inline constexpr std::uint64_t MinObjective = 10'000;
inline constexpr std::uint64_t MaxObjective = 999'999;

/// Largest numbers for one target.
inline constexpr std::uint32_t MaxSlots = 10'000;
inline constexpr std::uint32_t MaxQueue = 100'000;
inline constexpr std::uint32_t MaxConnections = 100'000;

/// Most virtual hosts of one text, and most routes of one host.
inline constexpr std::size_t MaxVirtualHosts = 2048;
inline constexpr std::size_t MaxHostRoutes = 8192;
/// Most services that share the requests of one route.
inline constexpr std::size_t MaxRouteTargets = 32;
/// Longest name of a virtual host, as for a DNS name.
inline constexpr std::size_t MaxHostNameBytes = 253;
/// Most attempts of a route.
inline constexpr std::uint32_t MaxAttempts = 16;
/// Largest share of a service in a split.
inline constexpr std::uint32_t MaxWeight = 1'000'000;

/// Largest limit of a request body in bytes (16 MiB).
inline constexpr std::uint64_t MaxBodyLimit = 16'777'216;

} // namespace marigold::config
