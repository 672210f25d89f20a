"""The start of a node with an operators' file: both files read, every fault told, its parts timed.

Without such a file nothing of this is loaded (`__main__`). What the file switches on is loaded here, before
the loop is there and with the collector off: what is loaded stays, so looking through it finds nothing.
"""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from balancer.net.config import read
from balancer.operator_settings import OperatorSettings, OperatorSettingsError
from balancer.operator_settings import load as load_operators

SETTINGS = "BALANCER_SETTINGS"
DEPRECATED_SETTINGS = "DILLPORT_SETTINGS"
"""The name of the variable before the package was renamed; read where the new one is not set."""


def settings_from_environment() -> str | None:
    """The operators' file that the environment names; the new variable goes before the deprecated one."""
    return os.environ.get(SETTINGS) or os.environ.get(DEPRECATED_SETTINGS)


def deprecation_warning() -> str | None:
    """What to log where the deprecated variable is set."""
    if not os.environ.get(DEPRECATED_SETTINGS):
        return None
    if os.environ.get(SETTINGS):
        return f"settings: {DEPRECATED_SETTINGS} is ignored: {SETTINGS} is set"
    return f"settings: {DEPRECATED_SETTINGS} is deprecated: set {SETTINGS} instead"


def read_operators(settings: Path | None) -> tuple[Path | None, OperatorSettings, list[str]]:
    """Where the operators' settings are, what they are, and what is wrong with them."""
    named = settings or settings_from_environment()
    path = Path(named).absolute() if named else None
    try:
        return path, load_operators(path) if path else OperatorSettings(), []
    except OperatorSettingsError as err:
        return path, OperatorSettings(), [f"{path}: {line}" for line in str(err).splitlines()]


def start_with_operator_settings(settings: Path | None, began: float, hung_up: Sequence[int]) -> int:
    """Run a node to its end; the exit code. `began` is when its program did, by the monotonic clock."""
    files = time.monotonic()
    path, operators, wrong = read_operators(settings)
    config, faults = read(os.environ)
    if config is None or wrong:
        for line in [*(["; ".join(faults)] if faults else []), *wrong]:
            print(f"balancer: {line}", file=sys.stderr)
        return 2
    imports = time.monotonic()
    gc.disable()
    from balancer.net import application as assemble

    if path is not None:
        from balancer.net.components import load

        load(operators)
    gc.enable()
    now = time.monotonic()
    parts = {"interpreter": process_age_ms() - 1000 * (now - began)}
    parts["imports"] = 1000 * (now - imports + files - began)
    parts["files"] = 1000 * (imports - files)
    return assemble.run(config, path, None if path is None else operators, hung_up, parts)


def process_age_ms() -> float:
    """For how long this process has been there, by the kernel's word, to 10 ms (proc(5), `starttime`)."""
    try:
        told = Path("/proc/self/stat").read_bytes().rpartition(b")")[2].split()
        began = int(told[19]) / os.sysconf("SC_CLK_TCK")
        return max(0.0, 1000 * (time.clock_gettime(time.CLOCK_BOOTTIME) - began))
    except (OSError, ValueError, IndexError, AttributeError):
        return 1000 * time.process_time()
