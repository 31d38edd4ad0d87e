#!/usr/bin/env bash
# Plays returns of the platform's store from an older copy against real nodes
# and checks what callers and targets see; see store.sh --help.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
[ -x "$root/build/bin/marigold-store" ] || {
  echo "store.sh: run tools/build.sh first" >&2
  exit 2
}
exec /usr/bin/python3 -B "$root/tools/lib/store_return.py" "$@"
