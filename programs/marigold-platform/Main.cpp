#include "StandIns/PlatformServer.h"
#include "Support/Log.h"
#include "Support/SettingsParser.h"

#include <cstdio>

int main(int Argc, char **Argv) {
  using namespace marigold;
  int ExitCode = 0;
  auto Parsed = parseCommandLine<PlatformSettings>(Argc, Argv, ExitCode);
  if (!Parsed)
    return ExitCode;
  configureLogging(Parsed->Settings_.LogLevel_, PlatformSettings::Binary_);
  standins::PlatformServer Server(Parsed->Settings_);
  if (auto Opened = Server.open(); !Opened) {
    std::fprintf(stderr, "%s: %s\n", PlatformSettings::Binary_,
                 Opened.error().Detail_.c_str());
    return 3;
  }
  Server.run(true);
  return 0;
}
