#include "Node/NodeProcess.h"
#include "Support/Addresses.h"
#include "Support/Log.h"
#include "Support/SettingsParser.h"

using namespace marigold;

int main(int Argc, const char **Argv) {
  int ExitCode = 0;
  auto Parsed = parseOrExplain<NodeSettings>(Argc, Argv, ExitCode);
  if (!Parsed)
    return ExitCode;
  const NodeSettings &Settings = Parsed->Settings_;
  configureLogging(Settings.LogLevel_, NodeSettings::Binary_);
  setLogHost(toText(Settings.PeerAddress_), Settings.FailureDomain_);
  node::NodeProcess Node(Settings);
  auto Started = Node.start();
  if (!Started) {
    logEvent(LogLevel::Error, "start_failed",
             {{"reason", std::string(errorText(Started.error().Code_))},
              {"detail", Started.error().Detail_}});
    return 1;
  }
  Node.run();
  return 0;
}
