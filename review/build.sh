#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies; this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib
for name in [*pathlib.Path("review").rglob("*.py"), *pathlib.Path("tests/soak").glob("*.py")]:
    compile(name.read_text(encoding="utf-8"), str(name), "exec")
PY
