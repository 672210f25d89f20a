"""`python -m balancer`: the command line. Without arguments it starts one node, as the platform requires."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time

STARTED_S = time.monotonic()  # before the imports below: each phase of a start is measured


def record_hangups() -> list[int]:
    """Records each SIGHUP in the returned list until the node's event loop handles the signal.

    The default action of SIGHUP would terminate a node that is still starting.
    """
    received_signals: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: received_signals.append(number))
    return received_signals


def parse_node_arguments(arguments: list[str]) -> tuple[bool, str]:
    """Returns whether the arguments only start a node, and the operators' settings file they name.

    Recognized are `[--settings FILE] [run [--settings FILE]]`, where the last file counts. Everything else is
    left to the full command line, which accepts these arguments too and reports invalid ones.
    """
    has_run, settings, remaining = False, "", iter(arguments)
    for argument in remaining:
        if argument == "run" and not has_run:
            has_run = True
        elif argument == "--settings" and (file := next(remaining, ""))[:1] not in ("", "-"):
            settings = file
        else:
            return False, ""
    return True, settings


def main() -> int:
    """Runs the command line and returns the exit code.

    Nodes are killed and restarted under load, most of a fleet at once. To start fast, a node does not import
    the command line, and without an operators' settings file it does not import the code that reads one.
    """
    starts_node, settings = parse_node_arguments(sys.argv[1:])
    if not starts_node:
        from balancer.cli import main as run_command_line

        return run_command_line()
    hung_up = record_hangups()
    gc.disable()  # imported modules stay: repeated collections during the imports would free nothing
    if settings or os.environ.get("BALANCER_SETTINGS") or os.environ.get("DILLPORT_SETTINGS"):
        from pathlib import Path

        from balancer.net.startup import start_with_operator_settings

        return start_with_operator_settings(Path(settings) if settings else None, STARTED_S, hung_up)
    from balancer.net import application as assemble
    from balancer.net.config import read

    config, faults = read(os.environ)
    if config is None:
        print(f"balancer: {'; '.join(faults)}", file=sys.stderr)
        return 2
    gc.enable()
    return assemble.run(config, pending_hangups=hung_up)


if __name__ == "__main__":
    sys.exit(main())
