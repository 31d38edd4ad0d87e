#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0: without the disruption.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. Writes record.txt in this folder.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
[ -x "$folder/../../target/bin/marigold-sidecar" ] || {
  echo "run.sh: the build of the deploy file is missing" >&2
  exit 2
}
exec timeout --kill-after=2 118 python3 -B "$folder/case.py"
