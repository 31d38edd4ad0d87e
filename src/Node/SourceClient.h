#pragma once

#include "Membership/HostListMerger.h"
#include "Node/ConfigSource.h"
#include "Schema/generated/Settings.h"
#include "Support/Result.h"
#include "Transport/HttpGetCalls.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace marigold::node {

/// Reads the platform's configuration service through a read-only subset of the
/// Consul HTTP API. Every call uses a separate connection: few nodes are
/// readers, a text is fetched only about every 30 s, and a blocking watch would
/// delay other calls on the same connection. Thread-safe.
class SourceClient : public ConfigSource {
public:
  SourceClient(boost::asio::io_context &Io, const NodeSettings &Settings,
               SourceCallObserver Observer);

  void watchKeys(std::uint64_t Index, std::chrono::milliseconds Wait,
                 std::function<void(Result<std::uint64_t>)> Done) override;
  void fetchText(std::function<void(Result<SourceText>)> Done) override;
  void
  readHosts(bool All,
            std::function<void(Result<membership::HostList>)> Done) override;
  void stop() override;

private:
  struct Shared;
  using BodyCallback =
      std::function<void(Result<std::pair<std::uint64_t, std::string>>)>;

  void get(distribution::SourceCall Call, std::string Target, Duration Timeout,
           BodyCallback Done);

  const NodeSettings &Settings_;
  std::shared_ptr<Shared> Shared_;
  const std::shared_ptr<transport::HttpGetCalls> Calls_;
};

/// Parses the response body of /v1/catalog/nodes, read at ReadAt. Logs, counts
/// and omits hosts with an invalid address or port. Fails with SourceMalformed
/// if Json is not a JSON array or is nested too deeply.
Result<membership::HostList> parseHostList(std::string_view Json,
                                           TimePoint ReadAt);

/// Parses and validates a configuration text. Refuses a text of another mesh
/// with SnapshotInvalid.
SourceText readSourceText(std::string_view Text, std::uint64_t Index,
                          const NodeSettings &Settings);

} // namespace marigold::node
