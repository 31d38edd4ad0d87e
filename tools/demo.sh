#!/usr/bin/env bash
# Shows the system on this machine: builds it, starts the stand-in platform
# and one target and node for each worker of an example text, sends calls,
# publishes a second and an invalid third text, and ends everything again.
# Usage: demo.sh [zinc-andes|museums]     (zinc-andes when not given)
# Prints "step: ..." lines, then convergence_ms, control_bytes (all nodes,
# sent and received, after the start), calls_ok, calls_failed and
# bad_version_refused_on. Exit code 1 when a step fails, 2 on wrong usage.
set -euo pipefail
case "${1:-zinc-andes}" in
--help)
  sed -n '2,8s/^# //p' "$0"
  exit 0
  ;;
zinc-andes | museums) ;;
*)
  echo "demo.sh: '$1' is not zinc-andes or museums; see --help" >&2
  exit 2
  ;;
esac
root=$(cd "$(dirname "$0")/.." && pwd)
"$root/tools/install-packages.sh"
echo "step: build"
"$root/tools/build.sh" "$root/build" >/dev/null
exec /usr/bin/python3 -B "$root/tools/lib/demo.py" "${1:-zinc-andes}"
