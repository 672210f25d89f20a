"""What the time line costs a whole node: CPU time of a request and memory, off and on by turns in one run.

    python -m benchmarks.timeline_overhead [--quick] [--servers N] ... [--node-cores CORES] [--lab-cores
    CORES]

The clients and stand-in servers are those of `benchmarks.proxies`. The figure is the median of the ratios of
neighbouring runs: a machine whose speed drifts moves both. A further run on a node with a probe in its loop
(`benchmarks.measured_process`) tells the longest time that anything held the loop, off and on.
"""

from __future__ import annotations

import argparse
import os
import platform
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

from balancer.testbed.event_log import now_ms
from benchmarks.proxies import SOCKETS, ask, servers
from benchmarks.proxy_fleet import (
    KNOWN,
    SITE,
    Measured,
    sources,
)
from benchmarks.result_table import (
    Row,
    cores,
    memory_mb,
    on,
    table,
)

SIZES = (15, 1_000)


def entries_of(addresses: list[tuple[str, int]]) -> list[dict[str, Any]]:
    """The list."""
    return [
        {
            "id": f"s-{n:08x}",
            "host_port": f"{host}:{port}",
            "locality": SITE.zones[n % 2],
            "flavor": "m",
            "cell": n // 16,
            "phase": "in_service",
            "size": 2.0,
            "up_since_ms": 0,
        }
        for n, (host, port) in enumerate(addresses)
    ]


async def one(
    entries: list[dict[str, Any]],
    watched: bool,
    words: list[str],
    where: set[int],
    seconds: float,
) -> tuple[float, float, float]:
    """CPU us a request, memory in MB, and the longest stall in ms where there is a probe, of one run."""
    async with sources(entries, KNOWN, 1, SOCKETS) as told:
        settings = Path(told.env["BALANCER_SETTINGS"])
        if watched:
            settings.write_text(settings.read_text() + "[timeline]\nmemory_mb = 16\n")
        async with Measured(words, told.env, where) as node:
            begun = now_ms()
            figure = await ask(node.port, node.pid, seconds)
            memory, end = memory_mb(node.pid)[0], now_ms()
        stall = node.stall(begun + 1_500, end)[0] if node.report else 0.0
        return figure.cpu_us, memory, stall


def rows(sizes: Sequence[int], turns: int, seconds: float, where: set[int]) -> Iterator[Row]:
    """The table."""
    for size in sizes:
        with servers(size) as addresses:
            entries = entries_of(addresses)
            got: dict[bool, list[tuple[float, float, float]]] = {False: [], True: []}
            for _ in range(turns):
                for watched in (False, True):
                    got[watched].append(uvloop.run(one(entries, watched, ["balancer"], where, seconds)))
            stalls = [
                uvloop.run(one(entries, watched, ["benchmarks.measured_process", "node"], where, seconds))[2]
                for watched in (False, True)
            ]
        cpu = [[run[0] for run in got[watched]] for watched in (False, True)]
        ratios = [after / before for before, after in zip(*cpu, strict=True)]
        memory = [median(run[1] for run in got[watched]) for watched in (False, True)]
        spread = f"{min(ratios):.2f} to {max(ratios):.2f}"
        yield Row(
            f"{len(entries):,} servers: CPU us a request, off and on",
            f"{median(cpu[0]):.0f}, {median(cpu[1]):.0f}; ratio {median(ratios):.3f} ({spread})",
            "1.05",
        )
        named = f"{len(entries):,} servers"
        yield Row(f"{named}: MB, off and on", f"{memory[0]:.1f}, {memory[1]:.1f}", "+24 at 1,000")
        yield Row(f"{named}: longest stall, off and on", f"{stalls[0]:.1f}, {stalls[1]:.1f} ms", "5")


def main(argv: Sequence[str] | None = None) -> int:
    """The command; its exit code."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.timeline_overhead", description=__doc__.partition("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="shorter and once: to see that it runs")
    parser.add_argument("--servers", type=int, action="append", metavar="N", help="only at this size")
    parser.add_argument("--node-cores", type=cores, default=set(), metavar="CORES", help="for the node")
    parser.add_argument("--lab-cores", type=cores, default=set(), metavar="CORES", help="for all else")
    args = parser.parse_args(argv)
    print(f"Python {platform.python_version()}, {os.cpu_count()} cores")
    turns, seconds = (1, 3.0) if args.quick else (5, 6.0)
    with on(args.lab_cores):
        found = rows(args.servers or SIZES, turns, seconds, args.node_cores)
        print("\n".join(table("The time line's cost", found)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
