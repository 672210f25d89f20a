#!/bin/sh
# Builds the stand-ins: they are Python files of this folder, run from their source with the interpreter of the
# deploy file's build. This checks that each one compiles; nothing is downloaded.
set -e
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
