#!/usr/bin/env bash
# A node that is stopped breaks off bookings at work.
# TROUBLE=0: without the disruption. Exit code 1: the rule was broken, 0: it
# held, 2: the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
for program in target/bin/marigold-sidecar target/review-2/review-rig; do
  [ -x "$program" ] || {
    echo "run.sh: $program is missing; build the deploy file's target and" \
      "run review/build-2.sh" >&2
    exit 2
  }
done
exec target/review-2/review-rig overtaken "$folder"
