#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases 6 to 10 into target/review-2/.
# Needs a C++20 compiler only. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
  -o target/review-2/review-rig review/rig-2/Main.cc review/rig-2/Cases.cc
