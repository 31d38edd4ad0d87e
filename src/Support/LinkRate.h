#pragma once

namespace marigold {

/// Bytes a second that a link of the given rate in Mbit/s carries.
constexpr double linkBytesPerSecond(double Mbps) { return Mbps * 1e6 / 8; }

} // namespace marigold
