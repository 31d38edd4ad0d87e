// Runs one case of the second review: review-rig CASE FOLDER. Exit codes: 1
// the rule was broken, 0 it held, 2 the case could not run.
#include "Cases.h"

#include <string>

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 3)
    return 2;
  const char *Trouble = std::getenv("TROUBLE");
  bool Disturb = !Trouble || std::string(Trouble) != "0";
  const std::string Name = Values[1];
  rig::Record Log(std::string(Values[2]) + "/record.txt");
  Log.line("case " + Name + (Disturb ? ", with" : ", without") +
           " the disruption");
  int Code = 2;
  try {
    for (const rig::Case &Each : rig::cases())
      if (Each.Name_ == Name)
        Code = Each.Run_(Log, Disturb);
  } catch (const std::exception &Error) {
    Log.line(std::string("could not run: ") + Error.what());
  }
  Log.line("exit code " + std::to_string(Code));
  std::printf("%s: exit code %d\n", Name.c_str(), Code);
  std::fflush(stdout);
  // Threads of the stand-ins may still wait; the nodes have ended.
  std::_Exit(Code);
}
