#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace marigold::config {

/// Maximum size of a text in bytes (1 MiB), which is also the maximum size of a
/// value at the configuration source.
inline constexpr std::size_t MaxTextBytes = 1'048'576;
/// Maximum nesting depth of mappings and lists; a valid text needs six levels.
inline constexpr unsigned MaxNesting = 16;
/// Maximum number of YAML nodes (scalars, lists, mappings) in one text, which
/// bounds the memory that a malicious text can allocate.
inline constexpr std::size_t MaxTextNodes = 250'000;
/// Maximum number of errors reported for one text.
inline constexpr std::size_t MaxDiagnostics = 1000;
/// Epoch of versions that the operators number: content that another system
/// has accepted, under limits of its own (ModelRules::AcceptedContent).
inline constexpr std::uint32_t NumberedEpoch = 2;

// The limits below hold for the operators' texts (ModelRules::OperatorText).

/// Maximum number of services in one text; 180 are planned.
inline constexpr std::size_t MaxServices = 512;
/// Maximum number of dependencies of one service.
inline constexpr std::size_t MaxDependencies = 64;
/// Maximum number of routes of one service.
inline constexpr std::size_t MaxRoutes = 64;
/// Maximum number of methods of one route. It exceeds the number of known
/// methods so that each duplicate can be reported individually.
inline constexpr std::size_t MaxMethods = 16;
/// Maximum number of services in a chain of dependencies, which is the planned
/// call depth.
inline constexpr std::size_t MaxDependencyChain = 12;
/// Maximum length of the name of a service or mesh, the same as for a DNS
/// label.
inline constexpr std::size_t MaxNameLength = 63;
/// Maximum length of a route's path in bytes.
inline constexpr std::size_t MaxPathLength = 256;

/// Minimum epoch; 0 means "no version".
inline constexpr std::uint32_t MinEpoch = 1;

/// Ranges of durations. They catch typing errors by operators and are not
/// needed for safety.
inline constexpr std::chrono::milliseconds MinDeadline{1};
inline constexpr std::chrono::milliseconds MaxDeadline{600'000};
inline constexpr std::chrono::milliseconds MaxSlowStart{600'000};
inline constexpr std::chrono::milliseconds MaxColdTime{600'000};
inline constexpr std::uint32_t MaxColdRate = 1'000'000;
inline constexpr std::chrono::microseconds MinLatency{100};
inline constexpr std::chrono::microseconds MaxLatency{60'000'000};

/// Maximum latency objective of a virtual host's route, equal to MaxDeadline.
inline constexpr std::chrono::microseconds MaxRouteObjective{600'000'000};

/// Maximum values of the client limits; the node applies lower limits of its
/// own.
inline constexpr std::uint64_t MaxClientBytes = 1ULL << 32;
inline constexpr std::chrono::milliseconds MaxClientTimeout{86'400'000};

/// Range of objectives in parts per million. An objective of 100 % leaves no
/// error budget, so the burn rate would be undefined.
inline constexpr std::uint64_t MinObjective = 10'000;
inline constexpr std::uint64_t MaxObjective = 999'999;

/// Maximum number of slots, queued requests and connections of one target.
inline constexpr std::uint32_t MaxSlots = 10'000;
inline constexpr std::uint32_t MaxQueue = 100'000;
inline constexpr std::uint32_t MaxConnections = 100'000;

/// Maximum number of virtual hosts in one text, and of routes in one virtual
/// host.
inline constexpr std::size_t MaxVirtualHosts = 2048;
inline constexpr std::size_t MaxHostRoutes = 8192;
/// Maximum number of services among which one route splits its requests.
inline constexpr std::size_t MaxRouteTargets = 32;
/// Maximum length of a virtual host's name, the same as for a DNS name.
inline constexpr std::size_t MaxHostNameBytes = 253;
/// Maximum number of attempts that a route can allow per request.
inline constexpr std::uint32_t MaxAttempts = 16;
/// Maximum weight of a service in a split.
inline constexpr std::uint32_t MaxWeight = 1'000'000;

/// Maximum value of a route's max_body in bytes (16 MiB).
inline constexpr std::uint64_t MaxBodyLimit = 16'777'216;

} // namespace marigold::config
