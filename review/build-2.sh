#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10: Python with the standard library only, nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib
for path in [*pathlib.Path("standin2").glob("*.py"), *pathlib.Path(".").glob("[6-9]/*.py"), *pathlib.Path(".").glob("10/*.py")]:
    ast.parse(path.read_text(encoding="utf-8"))
CHECK
