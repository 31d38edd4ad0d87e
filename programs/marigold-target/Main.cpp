#include "StandIns/TargetServer.h"
#include "Support/Log.h"
#include "Support/SettingsParser.h"

#include <cstdio>

int main(int Argc, char **Argv) {
  using namespace marigold;
  int ExitCode = 0;
  auto Parsed = parseCommandLine<TargetSettings>(Argc, Argv, ExitCode);
  if (!Parsed)
    return ExitCode;
  configureLogging(Parsed->Settings_.LogLevel_, TargetSettings::Binary_);
  standins::TargetServer Server(Parsed->Settings_);
  if (auto Opened = Server.open(); !Opened) {
    std::fprintf(stderr, "%s: %s\n", TargetSettings::Binary_,
                 Opened.error().Detail_.c_str());
    return 3;
  }
  Server.run(true);
  return 0;
}
