"""Membership in figures: how fast a drain is obeyed, what 10,000 servers cost, what a change costs.

    python -m benchmarks.endpoint_updates [--quick] [--part NAME] ...

Parts: `drain`, `start`, `stall`, `turns`, `change`, `herd`; most tables are those of
docs/operate/membership.md, that of `turns` is in docs/design/coming-back.md.
"""

from __future__ import annotations

import argparse
import os
import platform
import sys
import tempfile
from collections.abc import Callable, Coroutine, Iterable, Sequence
from importlib.metadata import version
from pathlib import Path
from typing import Any

import uvloop

from balancer.testbed.etcd.standin import EtcdEmulator
from benchmarks import (
    discovery_outage as herd,
)
from benchmarks import (
    drain_delay as drains,
)
from benchmarks import (
    list_change_cost as changes,
)
from benchmarks import (
    list_processing_stalls as turns,
)
from benchmarks import (
    proxy_fleet as fleet,
)
from benchmarks.result_table import (
    Row,
    cores,
    on,
    table,
)

RATE = 500.0  # requests a second while drains are measured


class Benchmark:
    """What was asked for on the command line; each part is a method that prints its tables."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.quick: bool = args.quick
        self.node: set[int] = args.node_cores
        self.servers = 2_000 if self.quick else 10_000
        self.runs = 1 if self.quick else 3
        self.sizes = [100, 1_000] if self.quick else [100, 1_000, 10_000]

    def show(self, title: str, rows: Iterable[Row]) -> None:
        """Print a table."""
        print("\n".join(table(title, rows)), flush=True)

    async def drain(self) -> None:
        """From etcd's delete to the last first byte."""
        count = 20 if self.quick else 200
        with tempfile.TemporaryDirectory(prefix="balancer-drain-") as name:
            async with EtcdEmulator() as standin:
                got = await drains.drains(standin, Path(name), count, RATE, self.node)
            self.show(f"From a delete to the last request ({count} deletes, etcd's stand-in)", got.rows())

    async def start(self) -> None:
        """Time to the first answer, and memory."""
        async with fleet.Servers(self.servers) as servers:
            rows = await fleet.start(servers, self.node, self.runs)
        self.show(f"{self.servers:,} servers: first answer and memory ({self.runs} runs)", rows)

    async def stall(self) -> None:
        """The longest stall of the loop."""
        async with fleet.Servers(self.servers) as servers:
            rows = await fleet.stalls(servers, self.node, self.runs)
        self.show(f"{self.servers:,} servers: stalls of the loop ({self.runs} runs)", rows)

    async def turns(self) -> None:
        """The same in one process, by part."""
        with on(self.node):
            rows = await turns.lists([200, 1_000] if self.quick else [200, 1_000, 10_000], self.runs)
        self.show(f"A list, turn by turn ({self.runs} runs)", rows)

    async def change(self) -> None:
        """What a change costs."""
        with on(self.node):
            rows = await changes.changes(self.sizes, 10 if self.quick else 50)
        self.show("One change, decided", rows)
        async with fleet.Servers(self.sizes[-1]) as servers:
            rows = await fleet.changes(servers, self.node, self.sizes, 200 if self.quick else 1_000)
        self.show("One change, through a source's connection", rows)

    async def herd(self) -> None:
        """A thousand nodes come back."""
        self.show("A thousand nodes come back (virtual time)", herd.herd())


def main(argv: Sequence[str] | None = None) -> int:
    """The command; its exit code."""
    parts: dict[str, Callable[[Benchmark], Coroutine[Any, Any, None]]] = {
        "drain": Benchmark.drain,
        "start": Benchmark.start,
        "stall": Benchmark.stall,
        "turns": Benchmark.turns,
        "change": Benchmark.change,
        "herd": Benchmark.herd,
    }
    parser = argparse.ArgumentParser(
        prog="benchmarks.endpoint_updates", description=__doc__.partition("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="smaller and once: to see that it runs")
    parser.add_argument("--part", action="append", choices=parts, help="only this; may be given often")
    text = "cores such as 1-3,5 for the process that is measured (as the system likes)"
    parser.add_argument("--node-cores", type=cores, default=set(), metavar="CORES", help=text)
    text = "cores for all else: the stand-in world and its clients"
    parser.add_argument("--lab-cores", type=cores, default=set(), metavar="CORES", help=text)
    args = parser.parse_args(argv)
    print(f"Python {platform.python_version()}, uvloop {version('uvloop')}, {os.cpu_count()} cores\n")
    benchmark = Benchmark(args)
    with on(args.lab_cores):
        for name in args.part or parts:
            uvloop.run(parts[name](benchmark))
    return 0


if __name__ == "__main__":
    sys.exit(main())
