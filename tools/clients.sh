#!/usr/bin/env bash
# Plays clients that stay outside the limits against one node and its target,
# one case at a time; see clients.sh --help.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
[ -x "$root/build/bin/marigold-node" ] || {
  echo "clients.sh: run tools/build.sh first" >&2
  exit 2
}
exec /usr/bin/python3 -B "$root/tools/lib/clients.py" "$@"
