#!/usr/bin/env bash
# Runs CTest in a build directory. Tests listed in KNOWN-RED.txt (lines
# "test: NAME") run separately and may fail; any other failure is an error.
# Usage: run-ctest.sh BUILD_DIR
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$1
known=$(sed -n 's/^test: //p' "$root/KNOWN-RED.txt" 2>/dev/null |
  sed 's/[][\.*^$()+?{|]/\\&/g' | paste -sd'|' || true)
if [ -n "$known" ]; then
  echo "known failing tests (KNOWN-RED.txt), allowed to fail:"
  ctest --test-dir "$dir" -R "^($known)\$" --output-on-failure || true
  ctest --test-dir "$dir" -j "$(nproc)" --output-on-failure -E "^($known)\$"
else
  ctest --test-dir "$dir" -j "$(nproc)" --output-on-failure --no-tests=error
fi
