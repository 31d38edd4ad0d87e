#!/usr/bin/env bash
# Demonstrates the system on this machine: builds it, starts a simulated
# platform and, for each host of an example, a target and a node, sends calls,
# publishes a second and an invalid third configuration, then stops everything.
# Usage: demo.sh [zinc-andes|museums]     (default: zinc-andes)
# Prints "step: ..." lines, then convergence_ms, control_bytes (sent and
# received by all nodes after the start-up), calls_ok, calls_failed and
# bad_version_refused_on. Exit code: 1 if a step fails, 2 on incorrect usage.
set -euo pipefail
case "${1:-zinc-andes}" in
--help)
  sed -n '2,8s/^# //p' "$0"
  exit 0
  ;;
zinc-andes | museums) ;;
*)
  echo "demo.sh: expected zinc-andes or museums, got '$1'; see --help" >&2
  exit 2
  ;;
esac
root=$(cd "$(dirname "$0")/.." && pwd)
"$root/tools/install-packages.sh"
echo "step: build"
"$root/tools/build.sh" "$root/build" >/dev/null
exec /usr/bin/python3 -B "$root/tools/lib/demo.py" "${1:-zinc-andes}"
