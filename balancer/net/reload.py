"""Reloads the operators' file on SIGHUP; an invalid file leaves the old settings in force."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

from balancer.operator_settings import (
    OperatorSettings,
    OperatorSettingsError,
    changes,
    load,
)

log = logging.getLogger(__name__)

MAX_LOG_LINES = 20  # of errors or changes, for one reload


def reload_settings(
    path: Path, current: OperatorSettings, apply: Callable[[OperatorSettings], None]
) -> OperatorSettings:
    """Read `path` again; return the settings in force, which are `current` if the file is invalid.

    If they differ, the changes are logged, one line per key, and `apply` is called with the new settings.
    """
    try:
        new = load(path)
    except OperatorSettingsError as err:
        _log_lines(logging.ERROR, f"the old settings stay: {path}", str(err).splitlines())
        return current
    changed_keys = changes(current, new)
    _log_lines(logging.INFO, str(path), changed_keys or ["nothing changed"])
    if changed_keys:
        apply(new)
    return new


def _log_lines(level: int, subject: str, lines: list[str]) -> None:
    for line in lines[:MAX_LOG_LINES]:
        log.log(level, "reload: %s: %s", subject, line)
    if len(lines) > MAX_LOG_LINES:
        log.log(level, "reload: %s: %d more lines", subject, len(lines) - MAX_LOG_LINES)
