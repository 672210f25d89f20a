"""Fifty real nodes through the hard days of a fleet: what is served, when all is again, what it costs.

    python -m benchmarks.scenario_comparison --nodes 50 --servers 40 [--before ../older/checkout] [--script
    herd]
    python -m benchmarks.scenario_comparison --script quiet --nodes 40 --servers 40 --rate 4 --seconds 120 \
        --failing 1

The second: 40 nodes that see a request in ten seconds each, and what one failing server of 40 costs them.
Plays the scripts of `balancer/testbed/scenarios` with more nodes and servers, each version in turn within one
run, and prints for each: the worth in time, the longest time to full service after a fault, breaches, the
attempts that came to servers while these were made to fail, connections that servers took a second (mean and
peak), and the nodes' CPU time and peak memory (/proc).
Servers and clients share the machine, in one Python process: `lab late` says by how much that was behind,
and a rate it cannot hold is no figure of the nodes.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import tempfile
from collections.abc import Sequence
from pathlib import Path

import msgspec

from balancer.testbed import scenario as sc
from balancer.testbed.cluster import ROOT, World
from balancer.testbed.event_log import HeldUp
from balancer.testbed.scenario_runner import SCRIPTS
from benchmarks.result_table import Row, table

TICKS = os.sysconf("SC_CLK_TCK")
LOOK_S = 1.0  # between two looks at how many connections servers took


class Watch:
    """Looks at a world while it is played: connections by the second, and what the processes used."""

    def __init__(self) -> None:
        self.taken: list[int] = []
        self.cpu_s: list[float] = []
        self.memory_mb: list[float] = []
        self.late_ms = 0.0
        self._task: asyncio.Task[None] | None = None

    def __call__(self, world: World) -> None:
        """Begin, and the second time end."""
        if self._task is None:
            self._task = asyncio.create_task(self._look(world))
            return
        self._task.cancel()
        for node in world.nodes:
            if node.process is not None and node.process.returncode is None:
                self._used(node.process.pid)
        self.late_ms = max((r.late_ms for r in world.journal if isinstance(r, HeldUp)), default=0.0)

    async def _look(self, world: World) -> None:
        before = 0
        while True:
            now = sum(server.connections_taken for server in world.fleet.servers.values())
            self.taken.append(now - before)
            before = now
            await asyncio.sleep(LOOK_S)

    def _used(self, pid: int) -> None:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        self.cpu_s.append((int(fields[11]) + int(fields[12])) / TICKS)
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                self.memory_mb.append(int(line.split()[1]) / 1024)


def played(
    name: str,
    nodes: int,
    servers: int,
    rate: float,
    seed: int,
    program: Path,
    seconds: float | None = None,
    failing: int | None = None,
) -> str:
    """One script, larger; its figures in a line."""
    small = sc.parse((SCRIPTS / f"{name}.toml").read_bytes())
    faults = tuple(
        msgspec.structs.replace(row, names=None, part=row.part or len(row.names) / small.servers)
        if row.names
        else row
        for row in small.fault
    )
    script = msgspec.structs.replace(
        small, nodes=nodes, servers=servers, rate=rate, fault=faults, seconds=seconds or small.seconds
    )
    if failing is not None:
        one = [
            msgspec.structs.replace(row, part=None, count=failing) if row.kind == "fail" else row
            for row in script.fault
        ]
        script = msgspec.structs.replace(script, fault=tuple(one))
    watch = Watch()
    with tempfile.TemporaryDirectory(prefix="balancer-fleet-") as directory:
        got = asyncio.run(sc.play(script, seed, Path(directory), program=program, watch=watch))
    times = [full for _, full in got.full_ms]
    longest = "never" if None in times else f"{max(t for t in times if t is not None) / 1000:.1f} s"
    taken = watch.taken[1:] or [0]  # all before the first look came up with the nodes
    return (
        f"worth {got.worth:.1%}, full service {longest}, {len(got.verdict.breaches)} breaches, "
        f"{got.spent[0]} of {got.spent[1]} attempts at failing servers, "
        f"{statistics.mean(taken):.0f} connections a second ({max(taken)} at most), "
        f"CPU {statistics.median(watch.cpu_s):.2f} s, {max(watch.memory_mb):.0f} MB, "
        f"lab late {watch.late_ms:.0f} ms"
    )


def main(argv: Sequence[str] | None = None) -> None:
    """Play, and print the tables."""
    about = __doc__.split("\n")[0]
    parser = argparse.ArgumentParser("python -m benchmarks.scenario_comparison", description=about)
    parser.add_argument("--nodes", type=int, default=50)
    parser.add_argument("--servers", type=int, default=40)
    parser.add_argument("--rate", type=float, default=250.0, help="requests a second of all clients (250)")
    parser.add_argument("--seconds", type=float, help="that clients ask, in place of the script's own")
    parser.add_argument("--failing", type=int, help="how many servers fail, where a script has some fail")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--before", type=Path, metavar="DIR", help="a checkout of an older version")
    names = sorted(path.stem for path in SCRIPTS.glob("*.toml"))
    parser.add_argument("--script", action="append", choices=names, help="only this one")
    args = parser.parse_args(argv)
    versions = [("now", ROOT)] if args.before is None else [("before", args.before.absolute()), ("now", ROOT)]
    rows = []
    for name in args.script or names:
        for version, program in versions:
            figures = played(
                name, args.nodes, args.servers, args.rate, args.seed, program, args.seconds, args.failing
            )
            rows.append(Row(f"{name}, {version}", figures))
    title = f"{args.nodes} nodes, {args.servers} servers, {args.rate:.0f} requests a second"
    print("\n".join(table(title, rows)))


if __name__ == "__main__":
    main()
