# `make demo` and `make test` are one command each on a fresh machine: they set up what they need.
# Needs Python 3.11 or newer and a package mirror. `make test PYTHON=python3.12` takes another Python.

PYTHON = python3
PIP = bin/pip -q install --disable-pip-version-check
OLD = Python 3.11 or newer is needed: make PYTHON=...

.PHONY: demo test clean

# The main job on stand-ins: a small fleet under load, and the judge's verdict.
demo: .venv/.ready
	.venv/bin/python -B -m balancer demo

# Layout, lint, types, tests.
test: .venv-dev/.ready
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/ruff check .
	.venv-dev/bin/mypy
	.venv-dev/bin/python -m pytest

clean:
	rm -rf .venv .venv-dev .mypy_cache .ruff_cache .hypothesis

.venv/.ready: requirements.txt
.venv-dev/.ready: requirements.txt requirements-dev.txt

.venv/.ready .venv-dev/.ready:
	@$(PYTHON) -c 'import sys; sys.exit(None if sys.version_info >= (3, 11) else "$(OLD)")'
	test -x $(@D)/bin/python || $(PYTHON) -m venv $(@D)
	$(@D)/$(PIP) -r $(lastword $^)
	touch $@
