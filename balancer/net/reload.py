"""SIGHUP's part for the operators' file: read it again, keep the old one where the new one is bad."""

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

MAX_LOG_LINES = 20  # of faults or changes in the log for one reading


def reread(path: Path, held: OperatorSettings, apply: Callable[[OperatorSettings], None]) -> OperatorSettings:
    """The settings in force after `path` was read again: `held` where it is bad, else what is in it now.

    `apply` is called with the new ones if they differ, once what changed is in the log, a line a key.
    """
    try:
        new = load(path)
    except OperatorSettingsError as err:
        _log_lines(logging.ERROR, f"the old settings stay: {path}", str(err).splitlines())
        return held
    found = changes(held, new)
    _log_lines(logging.INFO, str(path), found or ["nothing changed"])
    if found:
        apply(new)
    return new


def _log_lines(level: int, what: str, lines: list[str]) -> None:
    for line in lines[:MAX_LOG_LINES]:
        log.log(level, "reload: %s: %s", what, line)
    if len(lines) > MAX_LOG_LINES:
        log.log(level, "reload: %s: %d more lines", what, len(lines) - MAX_LOG_LINES)
