#pragma once

#include "Membership/HostListMerger.h"
#include "Node/ControlCore.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace marigold::node {

/// Bytes of one call to the source with estimated TCP and IP headers.
struct SourceBytes {
  std::uint64_t Sent_ = 0;
  std::uint64_t Received_ = 0;
};

/// Called at the end of each call to the source, failed or not.
using SourceCallObserver =
    std::function<void(distribution::SourceCall, const SourceBytes &)>;

/// Reads the configuration and the list of hosts from a platform. What is read
/// and when is decided by distribution::SourceReader; an implementation only
/// speaks the platform's protocol. Callbacks come from threads of the
/// io_context, never within the call that names them, and none comes after
/// stop. Safe to use from any thread.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;

  /// Waits for a revision of the configuration beyond Index, at most Wait. The
  /// result is the present revision; with Index 0 it is returned at once.
  virtual void watchKeys(std::uint64_t Index, std::chrono::milliseconds Wait,
                         std::function<void(Result<std::uint64_t>)> Done) = 0;

  /// Fetches and checks the configuration. Fails with an error of the
  /// connection, SourceError or SourceMalformed; an invalid configuration is a
  /// result.
  virtual void fetchText(std::function<void(Result<SourceText>)> Done) = 0;

  /// Reads the host list of the own failure domain, or of all, once it differs
  /// from the one read before or a wait of the implementation's has passed.
  virtual void
  readHosts(bool All,
            std::function<void(Result<membership::HostList>)> Done) = 0;

  /// Time of the latest answer of the source, or of the latest sign that a
  /// waiting call would be answered; nothing before the first one, or when the
  /// implementation does not tell.
  virtual std::optional<TimePoint> contactAt() const { return std::nullopt; }

  /// Peers brought what the source would have told: the next call continues
  /// from there.
  virtual void resumeFrom(const KnownSourceState &) {}

  /// Gives up all calls.
  virtual void stop() = 0;
};

/// Makes the source of a node.
using ConfigSourceFactory = std::function<std::unique_ptr<ConfigSource>(
    boost::asio::io_context &, const NodeSettings &, SourceCallObserver)>;

} // namespace marigold::node
