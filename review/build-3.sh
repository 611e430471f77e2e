#!/usr/bin/env bash
# Builds the libraries of the deploy file, if they are not there, and checks that
# the programs and stand-ins that the scripts of cases 11 to 15 start can be
# started. Needs no network once the libraries are there.
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
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import pathlib

import hibiscusstile.process
import hibiscusstile_standins

assert hibiscusstile.process

print("stand-ins:", ", ".join(sorted(hibiscusstile_standins.stand_ins.names)))
for folder in ("common-3", "11", "12", "13", "14", "15"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
PY
