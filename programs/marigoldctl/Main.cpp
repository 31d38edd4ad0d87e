#include "Ctl/Commands.h"
#include "Support/SettingsParser.h"

int main(int Argc, char **Argv) {
  using namespace marigold;
  int ExitCode = 0;
  auto Parsed = parseCommandLine<CtlSettings>(Argc, Argv, ExitCode, ctl::Usage);
  if (!Parsed)
    return ExitCode;
  return static_cast<int>(
      ctl::runCommand(Parsed->Settings_, Parsed->Positional_));
}
