"""`python -m balancer`: the command line. Without words it starts one node, as the platform asks."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time

STARTED_S = time.monotonic()  # before what follows is loaded: a start is measured by part


def record_hangups() -> list[int]:
    """From now on each SIGHUP is noted in this list, until the node's loop takes the signal.

    Guards against the signal's default, which ends a node that has not come that far.
    """
    hung_up: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: hung_up.append(number))
    return hung_up


def parse_node_arguments(words: list[str]) -> tuple[bool, str]:
    """Whether these words start a node and no more than that, and the operators' file that they name.

    They are `[--settings FILE] [run [--settings FILE]]`, of which the last counts. All else is left to the
    command line, which understands this, too, and says what makes no sense.
    """
    run, settings, rest = False, "", iter(words)
    for word in rest:
        if word == "run" and not run:
            run = True
        elif word == "--settings" and (file := next(rest, ""))[:1] not in ("", "-"):
            settings = file
        else:
            return False, ""
    return True, settings


def main() -> int:
    """Carry out the command line; the exit code.

    A node is killed and started under load, with most of its fleet: its way in loads no command line, and
    the platform's own, without an operators' file, nothing that reads one.
    """
    starts, settings = parse_node_arguments(sys.argv[1:])
    if not starts:
        from balancer.cli import main as words

        return words()
    hung_up = record_hangups()
    gc.disable()  # what is loaded stays: looking through it again and again finds nothing
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
