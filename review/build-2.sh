#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are Python programs without dependencies; this checks that they
# compile. They use none of the project's own.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib
names = ["standins2.py", "engineprocess2.py", *sorted(pathlib.Path(".").glob("[4-8]/case.py"))]
for name in map(pathlib.Path, names):
    compile(name.read_text(encoding="utf-8"), str(name), "exec")
PY
