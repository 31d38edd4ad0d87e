#pragma once

#include "Membership/HostListMerger.h"
#include "Node/ControlCore.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace marigold::node {

/// Bytes of one call to the source, including estimated TCP and IP headers.
struct SourceBytes {
  std::uint64_t Sent_ = 0;
  std::uint64_t Received_ = 0;
};

/// Called at the end of every call to the source, successful or failed.
using SourceCallObserver =
    std::function<void(distribution::SourceCall, const SourceBytes &)>;

/// Client of a platform's configuration service, from which it reads the
/// configuration and the host list. distribution::SourceReader decides what to
/// read and when; an implementation only handles the platform's protocol.
/// Callbacks run on threads of the io_context, never within the function that
/// takes them, and never after stop(). Thread-safe.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;

  /// Waits up to Wait for a revision of the configuration later than Index and
  /// returns the current revision. With Index 0 returns it immediately.
  virtual void watchKeys(std::uint64_t Index, std::chrono::milliseconds Wait,
                         std::function<void(Result<std::uint64_t>)> Done) = 0;

  /// Fetches and validates the configuration. Fails with a connection error,
  /// SourceError or SourceMalformed. An invalid configuration is not a failure:
  /// it is returned with SourceText::Refused_ set.
  virtual void fetchText(std::function<void(Result<SourceText>)> Done) = 0;

  /// Reads the host list of this node's failure domain, or of all failure
  /// domains if All. May wait until the list differs from the previous one or
  /// an implementation-defined time has passed.
  virtual void
  readHosts(bool All,
            std::function<void(Result<membership::HostList>)> Done) = 0;

  /// Time of the latest response from the source, or of the latest sign that
  /// a pending call will be answered. Empty before the first one, and always if
  /// the implementation does not track it.
  virtual std::optional<TimePoint> contactAt() const { return std::nullopt; }

  /// Number of times that the source has returned from an older copy, as far as
  /// its responses tell; 0 if they do not.
  virtual std::uint32_t era() const { return 0; }

  /// Makes the next call to the source continue from a state that was obtained
  /// from peers.
  virtual void resumeFrom(const KnownSourceState &) {}

  /// Cancels all pending calls.
  virtual void stop() = 0;
};

/// Creates the source client of a node.
using ConfigSourceFactory = std::function<std::unique_ptr<ConfigSource>(
    boost::asio::io_context &, const NodeSettings &, SourceCallObserver)>;

} // namespace marigold::node
