#!/usr/bin/env bash
# Plays seeded schedules of faults against real processes on loopback addresses
# and checks the promises to callers; see soak.sh --help.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
[ -x "$root/build/bin/marigold-node" ] || {
  echo "soak.sh: run tools/build.sh first" >&2
  exit 2
}
exec /usr/bin/python3 -B "$root/tools/lib/soak.py" "$@"
