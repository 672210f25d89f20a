"""Tests against real programs are left out by name, and never where CI=true."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
TESTS = """
from tests.programs import real_program

def test_plain():
    pass

def test_etcd():
    real_program("no-such-program")
"""


def ended(tmp_path: Path, **env: str) -> subprocess.CompletedProcess[str]:
    """A run of two tests, one of which needs a program that is not there."""
    path = tmp_path / "test_two.py"
    path.write_text(TESTS)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-c", "pyproject.toml", "-p", "tests.conftest", str(path)],
        cwd=ROOT, capture_output=True, text=True, check=False,
        env={k: v for k, v in os.environ.items() if k != "CI"} | env,
    )  # fmt: skip


def test_an_ordinary_run_ends_by_saying_what_was_left_out(tmp_path: Path) -> None:
    got = ended(tmp_path)
    *_, title, named, closing = got.stdout.splitlines()
    assert got.returncode == 0 and closing.startswith("1 passed, 1 skipped in ")
    assert "tests against real programs that were left out" in title
    assert named.endswith("::test_etcd: real program no-such-program is not installed")


def test_ci_leaves_none_out(tmp_path: Path) -> None:
    got = ended(tmp_path, CI="true")
    assert got.returncode == 1 and "CI=true leaves no test out" in got.stdout
