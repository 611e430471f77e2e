#!/usr/bin/env bash
# Builds the libraries of the deploy file, and compiles the programs and the
# stand-ins that the scripts of cases 6 to 10 start. Needs no network once the
# libraries are there.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -e target/deps/.installed ]; then
    eval "$(python3 - <<'PY'
import tomllib
with open("deploy/system.toml", "rb") as file:
    print(tomllib.load(file)["build"])
PY
)"
fi
PYTHONPATH="target/deps:." python3 -m compileall -q \
    hibiscusstile hibiscusstile_standins review/common-2 review/[6-9] \
    $(ls -d review/10 2>/dev/null || true)
PYTHONPATH="target/deps:." python3 -c \
    "import hibiscusstile_standins; hibiscusstile_standins.stand_ins.names"
