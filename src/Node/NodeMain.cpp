#include "Node/NodeMain.h"

#include "Support/Addresses.h"
#include "Support/Log.h"
#include "Support/SettingsParser.h"

#include <csignal>

namespace marigold::node {

int runNode(int Argc, const char *const *Argv, PlatformAdapter Adapter) {
  // A request to read the settings again may come while they are read for the
  // first time; by default it would end the process.
  std::signal(SIGHUP, SIG_IGN);
  int ExitCode = 0;
  auto Parsed = parseCommandLine<NodeSettings>(Argc, Argv, ExitCode);
  if (!Parsed)
    return ExitCode;
  const NodeSettings &Settings = Parsed->Settings_;
  configureLogging(Settings.LogLevel_, NodeSettings::Binary_);
  setLogHost(toText(Settings.PeerAddress_), Settings.FailureDomain_);
  bufferLog();
  NodeProcess::SettingsReader Reread;
  if (!Settings.SettingsFile_.empty())
    Reread = [Argc, Argv]() -> Result<NodeSettings> {
      BOOST_OUTCOME_TRY(auto Again, parseSettings<NodeSettings>(Argc, Argv));
      return std::move(Again.Settings_);
    };
  NodeProcess Node(Settings, std::move(Adapter), std::move(Reread));
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
