#!/usr/bin/env bash
# Compiles the stand-ins of all cases; they need the Python of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
from pathlib import Path

for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
