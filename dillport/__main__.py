"""`python -m dillport`: the command line. Without words it starts one node, as the platform asks."""

from __future__ import annotations

import gc
import os
import signal
import sys


def held_hangups() -> list[int]:
    """From now on each SIGHUP is noted in this list, until the node's loop takes the signal.

    Guards against the signal's default, which ends a node that has not come that far.
    """
    hung_up: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: hung_up.append(number))
    return hung_up


def main() -> int:
    """Carry out the command line; the exit code.

    The platform's own way in, without a word or an operators' file, loads neither the command line nor what
    reads that file: a node is killed and started under load, with most of its fleet.
    """
    if len(sys.argv) > 1 or os.environ.get("DILLPORT_SETTINGS"):
        from dillport.cli import main as words

        return words()
    hung_up = held_hangups()
    gc.disable()  # what is loaded stays: looking through it again and again finds nothing
    from dillport.net import assemble
    from dillport.net.config import read

    config, faults = read(os.environ)
    if config is None:
        print(f"dillport: {'; '.join(faults)}", file=sys.stderr)
        return 2
    gc.enable()
    return assemble.run(config, hung_up=hung_up)


if __name__ == "__main__":
    sys.exit(main())
