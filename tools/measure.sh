#!/usr/bin/env bash
# Runs one experiment with real processes on loopback addresses; see
# measure.sh --help and measure.sh SUBCOMMAND --help.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
case " $* " in
*" --help "* | *" -h "* | "  ") ;;
*)
  [ -x "$root/build/bin/marigold-node" ] || {
    echo "measure.sh: run tools/build.sh first" >&2
    exit 2
  }
  ;;
esac
exec /usr/bin/python3 -B "$root/tools/lib/measure.py" "$@"
