#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file: byte code, and no network.
cd "$(dirname "$0")/.." || exit 1
for folder in review/6 review/7 review/8 review/9 review/10; do
    test -d "$folder" || continue
    .venv/bin/python -m compileall -q --invalidation-mode checked-hash review/standins.py "$folder" || exit 1
done
