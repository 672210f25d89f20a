#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run the build of the deploy file" >&2; exit 2; }
exec .venv/bin/python -B review/10/case.py
