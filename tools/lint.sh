#!/usr/bin/env bash
# Checks format, generated code and clang-tidy. With --fix, formats instead.
# With --changed, clang-tidy reads only the files that differ from HEAD.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
  '*.cpp' '*.h')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
# Names on the platform's wire and in its settings are decoded in platform/.
leaks=$(git grep -nE 'kv-(key|range|watch)|Marigolddale-|marigolddale-(request|deadline|caller|expect|not|response)|MARIGOLDDALE_CONFIG|goal_latency_s|cold_left_s|traffic_split|max_header_bytes' \
  -- src programs unittests schema || true)
if [ -n "$leaks" ]; then
  echo "lint: names of the platform outside platform/:"
  echo "$leaks"
  exit 1
fi
clang-format --dry-run -Werror "${sources[@]}"
/usr/bin/python3 tools/generate.py --check
[ -f build/compile_commands.json ] || {
  echo "lint: run tools/build.sh first, clang-tidy needs its compile commands"
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
