#!/usr/bin/env bash
# Builds what the review's scripts start besides the gateways. The stand-ins are
# Python programs: the libraries are those of the deploy file's build, so this
# only checks that each of them can be started.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import pathlib

import hibiscusstile_standins.store

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("stand-ins can be started:", hibiscusstile_standins.store.__name__)
PYTHON
