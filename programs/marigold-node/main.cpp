#include "Node/NodeMain.h"

int main(int Argc, const char **Argv) {
  return marigold::node::runNode(Argc, Argv, marigold::node::defaultPlatform());
}
