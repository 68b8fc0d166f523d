#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python scripts that need the standard library
# only, so that nothing has to be built: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib3/*.py 1[1-5]/*.py <<'CHECK'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        ast.parse(path.read_text(encoding='utf-8'), name)
CHECK
