#!/usr/bin/env bash
# Configures and builds the project. Usage: build.sh [BUILD_DIR [SANITIZERS]]
# SANITIZERS is a value of -fsanitize, for example "address,undefined".
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
dir=${1:-$root/build}
sanitize=${2:-}
export CCACHE_BASEDIR=$root CCACHE_NOHASHDIR=1
cmake -S "$root" -B "$dir" -G Ninja -DMARIGOLD_SANITIZE="$sanitize" \
  -DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=mold >"$dir.configure.log" 2>&1 ||
  { cat "$dir.configure.log"; exit 1; }
cmake --build "$dir"
