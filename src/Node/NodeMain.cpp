#include "Node/NodeMain.h"

#include "Support/Addresses.h"
#include "Support/Log.h"
#include "Support/SettingsParser.h"

#include <csignal>

namespace marigold::node {

int runNode(int Argc, const char *const *Argv, PlatformAdapter Adapter) {
  // A SIGHUP (request to reload the settings) may arrive while the settings are
  // read for the first time. Its default action would terminate the process.
  std::signal(SIGHUP, SIG_IGN);
  int ExitCode = 0;
  auto Parsed = parseCommandLine<NodeSettings>(Argc, Argv, ExitCode);
  if (!Parsed)
    return ExitCode;
  const NodeSettings &Settings = Parsed->Settings_;
  configureLogging(Settings.LogLevel_, NodeSettings::Binary_);
  setLogHost(toText(Settings.PeerAddress_), Settings.FailureDomain_);
  bufferLog();
  NodeProcess::SettingsReader ReloadSettings;
  if (!Settings.SettingsFile_.empty())
    ReloadSettings = [Argc, Argv]() -> Result<NodeSettings> {
      BOOST_OUTCOME_TRY(auto Reloaded, parseSettings<NodeSettings>(Argc, Argv));
      return std::move(Reloaded.Settings_);
    };
  NodeProcess Node(Settings, std::move(Adapter), std::move(ReloadSettings));
  auto Started = Node.start();
  if (!Started) {
    logEvent(LogLevel::Error, "start_failed",
             {{"reason", std::string(errorText(Started.error().Code_))},
              {"detail", Started.error().Detail_}});
    flushLog();
    return 1;
  }
  Node.run();
  flushLog();
  return 0;
}

} // namespace marigold::node
