#pragma once

#include "Membership/HostListMerger.h"
#include "Node/ControlCore.h"
#include "Schema/generated/Settings.h"
#include "Support/Result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace marigold::node {

/// Bytes of one call to the source with estimated TCP and IP headers.
struct SourceBytes {
  std::uint64_t Sent_ = 0;
  std::uint64_t Received_ = 0;
};

/// Called at the end of each call to the source, failed or not.
using SourceCallObserver =
    std::function<void(distribution::SourceCall, const SourceBytes &)>;

/// Reads the platform's configuration service by the read-only subset of the
/// Consul HTTP API. Each call has a connection of its own: readers are few, a
/// text is fetched about every 30 s, and a waiting watch would block another
/// call on the same connection. Safe to use from any thread.
class SourceClient {
public:
  SourceClient(boost::asio::io_context &Io, const NodeSettings &Settings,
               SourceCallObserver Observer);

  /// Waits for an index beyond Index, at most Wait. The result is the index.
  void watchKeys(std::uint64_t Index, std::chrono::milliseconds Wait,
                 std::function<void(Result<std::uint64_t>)> Done);

  /// Fetches, parses and validates the text. Fails with an error of the
  /// connection, SourceError or SourceMalformed; an invalid text is a result.
  void fetchText(std::function<void(Result<SourceText>)> Done);

  /// Reads the host list of the own failure domain, or of all.
  void readHosts(bool All,
                 std::function<void(Result<membership::HostList>)> Done);

  /// Gives up all calls.
  void stop();

private:
  struct Shared;
  using BodyCallback =
      std::function<void(Result<std::pair<std::uint64_t, std::string>>)>;

  void get(distribution::SourceCall Call, std::string Target, Duration Timeout,
           BodyCallback Done);

  boost::asio::io_context &Io_;
  const NodeSettings &Settings_;
  std::shared_ptr<Shared> Shared_;
};

/// Parses the answer of /v1/catalog/nodes. Fails with SourceMalformed. Hosts
/// whose address or ports are not usable are left out.
Result<std::vector<membership::ListedHost>>
parseHostList(std::string_view Json);

/// Parses a text into the result of a fetch. A text of another mesh is
/// refused with SnapshotInvalid.
SourceText readSourceText(std::string_view Text, std::uint64_t Index,
                          const NodeSettings &Settings);

} // namespace marigold::node
