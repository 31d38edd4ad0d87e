#!/usr/bin/env bash
# Runs seeded fault schedules against real processes on loopback addresses and
# checks the guarantees given to callers; see soak.sh --help.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
[ -x "$root/build/bin/marigold-node" ] || {
  echo "soak.sh: run tools/build.sh first" >&2
  exit 2
}
exec /usr/bin/python3 -B "$root/tools/lib/soak.py" "$@"
