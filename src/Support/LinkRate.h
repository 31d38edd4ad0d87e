#pragma once

namespace marigold {

/// Converts a link rate in Mbit/s to bytes per second.
constexpr double linkBytesPerSecond(double Mbps) { return Mbps * 1e6 / 8; }

/// Share of a host's link that a large response of the configuration source may
/// use while the host serves calls. With one half each, neither delays the
/// other.
inline constexpr double SourceLinkShare = 0.5;

} // namespace marigold
