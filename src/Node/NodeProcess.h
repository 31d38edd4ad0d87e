#pragma once

#include "Node/ConfigSource.h"
#include "Node/HttpHeaderNames.h"
#include "Schema/generated/Settings.h"
#include "Support/Result.h"

#include <functional>
#include <memory>

namespace marigold::node {

/// Platform-specific parts of a node.
struct PlatformAdapter {
  /// Creates the client of the platform's configuration service.
  ConfigSourceFactory MakeSource_;
  /// Names of the HTTP header fields.
  HttpHeaderNames HeaderNames_;
};

/// Returns the default adapter: SourceClient, which uses the Consul HTTP API,
/// and marigolddale's own header field names.
PlatformAdapter defaultPlatform();

/// A node: the control plane, the request path and the admin server, with the
/// threads that run them.
class NodeProcess {
public:
  /// Reads the settings file again. Fails with SettingInvalid; the node then
  /// keeps its current settings.
  using SettingsReader = std::function<Result<NodeSettings>()>;

  explicit NodeProcess(NodeSettings Settings,
                       PlatformAdapter Adapter = defaultPlatform(),
                       SettingsReader ReloadSettings = nullptr);
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  /// Listens on all ports. Fails with ConnectionFailed if a port is in use.
  Result<void> start();

  /// Runs until the node has drained after SIGTERM, SIGINT or POST /drain. A
  /// signal during draining stops the node immediately.
  void run();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace marigold::node
