#!/usr/bin/env bash
# Regenerates the golden session transcripts and prints the differences. Review
# them before committing. Usage: renew-golden.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
"$root/tools/build.sh" "$root/build"
MARIGOLD_RENEW_GOLDEN=1 "$root/build/unittests/Control/ControlTests" \
  --test-case='session of*'
git -C "$root" diff -- unittests/Control/golden
