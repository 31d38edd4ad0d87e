#pragma once

#include "Node/ConfigSource.h"
#include "Node/HttpDialect.h"
#include "Schema/generated/Settings.h"
#include "Support/Result.h"

#include <functional>
#include <memory>

namespace marigold::node {

/// What a platform brings to a node in place of marigolddale's own.
struct PlatformAdapter {
  /// Makes the client of the platform's configuration service.
  ConfigSourceFactory MakeSource_;
  /// Names of header fields.
  HttpDialect Dialect_;
};

/// The client of the published HTTP API that the design page names, and
/// marigolddale's own header fields.
PlatformAdapter defaultPlatform();

/// One node: the control plane, the request path and the admin interface,
/// with the threads that run them.
class NodeProcess {
public:
  /// Reads the settings again after a change of their file. Fails with
  /// SettingInvalid; the present ones then stay.
  using SettingsReader = std::function<Result<NodeSettings>()>;

  explicit NodeProcess(NodeSettings Settings,
                       PlatformAdapter Adapter = defaultPlatform(),
                       SettingsReader ReloadSettings = nullptr);
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  /// Listens on all ports. Fails with ConnectionFailed when one is in use.
  Result<void> start();

  /// Runs until the node has drained after SIGTERM, SIGINT or POST /drain; a
  /// second signal ends it at once.
  void run();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace marigold::node
