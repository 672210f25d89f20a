"""The memory of a node under a mix of clients that get stuck in requests, with what usual clients get.

python -m benchmarks.memory_mixes --memory-mb 48 whole-small=300 whole-large=300
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

import uvloop

from balancer.testbed.memory_load.clients import Behavior
from balancer.testbed.memory_load.measurement import PROGRAM, NodeLimits, measure
from balancer.testbed.memory_load.slow_backends import BackendPlan


def main() -> None:
    """Measure one mix."""
    parser = argparse.ArgumentParser(description="Measure a node's memory under clients that get stuck.")
    parser.add_argument("counts", nargs="*", help="BEHAVIOR=COUNT, such as small-body=300")
    parser.add_argument("--memory-mb", type=float, default=64)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--backends", type=int, default=24)
    parser.add_argument("--delay", type=float, default=2.5, help="of backends, in seconds")
    parser.add_argument("--list-interval", type=float, default=0.0, help="between snapshots, in seconds")
    parser.add_argument("--response-bytes", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--checkout", type=Path, default=PROGRAM, help="whose node is run")
    parser.add_argument("--log", action="store_true", help="print the log of the node")
    options = parser.parse_args()
    counts = {Behavior(name): int(count) for name, _, count in (one.partition("=") for one in options.counts)}
    backend_plan = BackendPlan(
        backends=options.backends,
        delay_s=options.delay,
        response_bytes=options.response_bytes,
        list_interval_s=options.list_interval,
    )
    with tempfile.TemporaryDirectory() as directory:
        result = uvloop.run(
            measure(
                NodeLimits(options.memory_mb, options.sockets),
                counts,
                Path(directory),
                backend_plan=backend_plan,
                seconds=options.seconds,
                seed=options.seed,
                checkout=options.checkout.resolve(),
            )
        )
    print(result)
    if options.log:
        print("\n".join(result.log))


if __name__ == "__main__":
    main()
