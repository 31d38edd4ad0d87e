#!/usr/bin/env bash
# Checks formatting and generated code and runs clang-tidy. --fix reformats the
# sources instead. --changed limits clang-tidy to files that differ from HEAD.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
  '*.cpp' '*.h')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
# Names from the platform's protocols and settings may occur only in platform/,
# which decodes them.
leaks=$(git grep -nE 'kv-(key|range|watch)|Marigolddale-|marigolddale-(request|deadline|caller|expect|not|response)|MARIGOLDDALE_CONFIG|goal_latency_s|cold_left_s|traffic_split|max_header_bytes' \
  -- src programs unittests schema || true)
if [ -n "$leaks" ]; then
  echo "lint: platform-specific names found outside platform/:"
  echo "$leaks"
  exit 1
fi
clang-format --dry-run -Werror "${sources[@]}"
/usr/bin/python3 tools/generate.py --check
[ -f build/compile_commands.json ] || {
  echo "lint: build/compile_commands.json is missing; run tools/build.sh first"
  exit 1
}
if [ "${1:-}" = --changed ]; then
  mapfile -t units < <({ git diff --name-only HEAD -- '*.cpp'
    git ls-files --others --exclude-standard '*.cpp'; } | sort -u)
else
  mapfile -t units < <(git ls-files '*.cpp')
fi
[ ${#units[@]} -eq 0 ] && exit 0
tools/tidy.py "${units[@]}"
