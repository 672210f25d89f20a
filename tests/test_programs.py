"""Tests against real programs are left out by name, and never where CI=true."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
NEEDS_ONE = "tests/test_operators.py::test_control tests/test_operators.py::test_every_key_of_etcd_arrives"


def without_programs(**env: str) -> subprocess.CompletedProcess[str]:
    """The closing lines of a run where no program is found."""
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *NEEDS_ONE.split()], cwd=ROOT, capture_output=True, text=True,
        env={k: v for k, v in os.environ.items() if k != "CI"} | {"PATH": "/nowhere"} | env, check=False,
    )  # fmt: skip


def test_an_ordinary_run_ends_by_saying_what_was_left_out() -> None:
    got = without_programs()
    *_, title, named, closing = got.stdout.splitlines()
    assert got.returncode == 0 and closing.startswith("1 passed, 1 skipped in ")
    assert "tests against real programs that were left out" in title
    assert named.endswith("::test_every_key_of_etcd_arrives: real program openssl is not installed")


def test_ci_leaves_none_out() -> None:
    got = without_programs(CI="true")
    assert got.returncode == 1 and "CI=true leaves no test out" in got.stdout
