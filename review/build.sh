#!/usr/bin/env bash
# Checks what the review scripts need: the node of the deploy file's build and
# Python. The stand-ins are Python modules in review/lib and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/marigold-sidecar || {
  echo "target/bin/marigold-sidecar is missing: run the build of deploy/system.toml"
  exit 1
}
python3 -m py_compile review/lib/standins.py
for script in review/[1-5]/*.py; do
  [ -e "$script" ] && python3 -m py_compile "$script"
done
echo "review: nothing else to build"
