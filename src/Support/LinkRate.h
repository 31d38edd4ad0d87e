#pragma once

namespace marigold {

/// Bytes a second that a link of the given rate in Mbit/s carries.
constexpr double linkBytesPerSecond(double Mbps) { return Mbps * 1e6 / 8; }

/// Part of a host's link that a large answer of the configuration source takes
/// while the host serves calls: half, so that neither waits for the other.
inline constexpr double SourceLinkShare = 0.5;

} // namespace marigold
