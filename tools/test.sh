#!/usr/bin/env bash
# Installs packages, builds the project and runs all tests. Tests listed in
# KNOWN-RED.txt may fail; their results are printed. Usage: test.sh [--help]
set -euo pipefail
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
root=$(cd "$(dirname "$0")/.." && pwd)
"$root/tools/install-packages.sh"
"$root/tools/build.sh" "$root/build"
"$root/tools/run-ctest.sh" "$root/build"
