"""Real programs that some tests need: found, or the test is left out by name, or with CI=true it fails."""

from __future__ import annotations

import os
import shutil

import pytest


def real_program(name: str) -> str:
    """Where a program is. Without it the test is skipped, and named at the end; with CI=true it fails."""
    found = shutil.which(name)
    if found is None and os.environ.get("CI") == "true":
        pytest.fail(f"real program {name} is not installed, and CI=true leaves no test out", pytrace=False)
    if found is None:
        pytest.skip(f"real program {name} is not installed")
    return found
