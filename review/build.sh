#!/usr/bin/env bash
# Builds the stand-ins. They are Python without libraries: this checks that they
# compile and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -S - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
test -d target/deps
