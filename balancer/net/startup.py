"""Starts a node with an operators' file: reads both files, reports all faults and measures the start phases.

Without such a file this module is not imported (`__main__`). The components that the file enables are
imported here, before the event loop runs and with the garbage collector off: imported modules stay loaded, so
there is nothing to collect.
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
from balancer.operator_settings import load as load_operator_settings

SETTINGS_VAR = "BALANCER_SETTINGS"
"""Environment variable with the path of the operators' file."""
DEPRECATED_SETTINGS_VAR = "DILLPORT_SETTINGS"
"""Name of the variable before the package was renamed; read if SETTINGS_VAR is not set."""


def settings_from_environment() -> str | None:
    """The path of the operators' file from the environment; the deprecated variable comes second."""
    return os.environ.get(SETTINGS_VAR) or os.environ.get(DEPRECATED_SETTINGS_VAR)


def deprecation_warning() -> str | None:
    """The warning to log if the deprecated variable is set; None if it is not."""
    if not os.environ.get(DEPRECATED_SETTINGS_VAR):
        return None
    if os.environ.get(SETTINGS_VAR):
        return f"settings: {DEPRECATED_SETTINGS_VAR} is ignored: {SETTINGS_VAR} is set"
    return f"settings: {DEPRECATED_SETTINGS_VAR} is deprecated: set {SETTINGS_VAR} instead"


def read_operator_settings(settings: Path | None) -> tuple[Path | None, OperatorSettings, list[str]]:
    """Returns the path of the operators' file, its settings, and its faults, one a line."""
    file_name = settings or settings_from_environment()
    path = Path(file_name).absolute() if file_name else None
    try:
        return path, load_operator_settings(path) if path else OperatorSettings(), []
    except OperatorSettingsError as error:
        return path, OperatorSettings(), [f"{path}: {line}" for line in str(error).splitlines()]


def start_with_operator_settings(
    settings: Path | None, program_started_s: float, hangup_signals: Sequence[int]
) -> int:
    """Runs a node until it ends; returns its exit code.

    `program_started_s` is the start time of the program, by the monotonic clock. `hangup_signals` are the
    SIGHUPs received so far.
    """
    reading_started_s = time.monotonic()
    path, operator_settings, settings_faults = read_operator_settings(settings)
    config, config_faults = read(os.environ)
    if config is None or settings_faults:
        for line in [*(["; ".join(config_faults)] if config_faults else []), *settings_faults]:
            print(f"balancer: {line}", file=sys.stderr)
        return 2
    imports_started_s = time.monotonic()
    gc.disable()
    from balancer.net import application

    if path is not None:
        from balancer.net.components import load

        load(operator_settings)
    gc.enable()
    now_s = time.monotonic()
    phases_ms = {"interpreter": process_age_ms() - 1000 * (now_s - program_started_s)}
    phases_ms["imports"] = 1000 * (now_s - imports_started_s + reading_started_s - program_started_s)
    phases_ms["files"] = 1000 * (imports_started_s - reading_started_s)
    return application.run(
        config, path, None if path is None else operator_settings, hangup_signals, phases_ms
    )


def process_age_ms() -> float:
    """The age of this process according to the kernel, to 10 ms (proc(5), `starttime`)."""
    try:
        fields = Path("/proc/self/stat").read_bytes().rpartition(b")")[2].split()
        started_s = int(fields[19]) / os.sysconf("SC_CLK_TCK")
        return max(0.0, 1000 * (time.clock_gettime(time.CLOCK_BOOTTIME) - started_s))
    except (OSError, ValueError, IndexError, AttributeError):
        return 1000 * time.process_time()
