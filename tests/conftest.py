"""What holds for all tests: the last lines name those against real programs that were left out."""

from __future__ import annotations

import pytest

MOST = 40  # tests named


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Guards against a green run that never met the real programs, and did not say so."""
    left_out = []
    for report in terminalreporter.stats.get("skipped", []):
        reason = report.longrepr[2] if isinstance(report.longrepr, tuple) else str(report.longrepr)
        if "real program" in reason or "real_program" in report.keywords:
            left_out.append((report.nodeid, reason.removeprefix("Skipped: ")))
    if not left_out:
        return
    terminalreporter.section("tests against real programs that were left out", yellow=True)
    for name, reason in left_out[:MOST]:
        terminalreporter.line(f"{name}: {reason}")
    if len(left_out) > MOST:
        terminalreporter.line(f"and {len(left_out) - MOST} more")
