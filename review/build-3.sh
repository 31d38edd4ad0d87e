#!/usr/bin/env bash
# Prepares the stand-ins of the third review's scripts (review/11 to 15). They
# are Python programs in review/stand3 that use the standard library alone, so
# nothing is built; this checks that they can start. The node is the build of
# the deploy file, in target/.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
python3 -B - "$folder" <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("build-3.sh: Python 3.9 or later is needed")
folder = pathlib.Path(sys.argv[1])
for path in [folder / "stand3" / "stand.py",
             *sorted(folder.glob("1[1-5]/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
echo "build-3.sh: the stand-ins are ready"
