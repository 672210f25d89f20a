#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -B review/3/case.py &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT
wait "$pid"
code=$?
if [ "$code" -gt 128 ]; then wait "$pid"; code=2; fi
case $code in 0) exit 0 ;; 3) exit 1 ;; *) exit 2 ;; esac
