#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python files of this folder,
# on the standard library alone, run from their source: this checks that each one compiles. No network is needed.
set -e
cd "$(dirname "$0")/.."
for file in review/standins.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/*.py review/probes/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
