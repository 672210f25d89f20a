"""How long a server still gets requests once its key was deleted in etcd.

A real node, the lab's servers and clients, and etcd's stand-in. Servers are deleted in
turn and put back some time later, while clients ask all the time. Servers record each request's first byte.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import median

from balancer.testbed.backend_emulator import Machine
from balancer.testbed.cluster import Node, World
from balancer.testbed.etcd.cluster import EtcdCluster
from balancer.testbed.etcd.standin import EtcdEmulator
from balancer.testbed.event_log import (
    HeldUp,
    Received,
    Wanted,
    now_ms,
)
from balancer.testbed.load_generator import Habits
from balancer.testbed.service_profile import CLASSES, Site
from benchmarks.result_table import Row, part_of

PREFIX = "/dillport/members/"
SERVERS = 4  # few, so that each gets a request every 8 ms: a late one would be seen
AWAY_S, BACK_S = 0.2, 0.05  # a server is off the list for so long, and all are on it for so long
BEFORE_S = 2.0  # of load before the first delete
SITE = Site(classes=tuple(replace(c, work_ms=c.work_ms / 10) for c in CLASSES))  # so that all is answered


@dataclass(slots=True)
class Delete:
    """One delete: when it was asked for, when the node was written to (if that is known), and what came."""

    server: str
    asked_ms: float
    put_back_ms: float = 0.0
    written_ms: float | None = None
    last_ms: float | None = None  # the last first byte after it was asked for
    count: int = 0


@dataclass(slots=True, frozen=True)
class Drains:
    """All deletes of a run, and what the world was able to do."""

    deletes: list[Delete]
    rate: float
    in_time: float
    late_ms: float  # how late the lab's own loop was at most

    def rows(self) -> Iterator[Row]:
        """The figures."""
        n = len(self.deletes)
        yield Row("load, as asked for", f"{self.rate:.0f} requests a second, {self.in_time:.1%} in time")
        after = [d for d in self.deletes if d.last_ms is not None]
        yield Row("deletes after which a request still came", f"{len(after)} of {n}")
        last = [0.0 if d.last_ms is None else d.last_ms - d.asked_ms for d in self.deletes]
        figures = f"median {median(last):.1f}, 99% {part_of(last, 0.99):.1f}, largest {max(last):.1f} ms"
        yield Row("from the delete to the last first byte", figures, "100 ms; rule 2,000 ms")
        if any(d.written_ms for d in self.deletes):
            told = [d.written_ms - d.asked_ms for d in self.deletes if d.written_ms is not None]
            took = f"median {median(told):.1f}, largest {max(told):.1f} ms"
            yield Row("from the delete to the event's write to the node", took)
            last = [max(0.0, (d.last_ms or 0.0) - d.written_ms) for d in self.deletes if d.written_ms]
            figures = f"median {median(last):.1f}, 99% {part_of(last, 0.99):.1f}, largest {max(last):.1f} ms"
            yield Row("from that write to the last first byte", figures)
        yield Row("the lab's own loop late by at most (under 5 ms is not seen)", f"{self.late_ms:.1f} ms")


def pin(node: Node, where: set[int]) -> None:
    """Keep a node on these cores."""
    assert node.process is not None
    if where:
        for thread in Path(f"/proc/{node.process.pid}/task").iterdir():
            os.sched_setaffinity(int(thread.name), where)


async def drains(etcd: EtcdCluster, directory: Path, count: int, rate: float, where: set[int]) -> Drains:
    """Measure; the node runs on the cores `where`."""
    path = directory / "drains.toml"
    path.write_text(f'[membership.etcd]\nendpoints = {json.dumps(etcd.endpoints)}\nprefix = "{PREFIX}"\n')

    def prepare(node: Node) -> None:
        node.env["BALANCER_SETTINGS"] = str(path)

    machine = Machine(cores=32, queue=64)
    async with World(
        directory,
        site=SITE,
        seed=2,
        nodes=1,
        servers=SERVERS,
        machine=machine,
        habits=Habits(retries=0),
        prepare=prepare,
    ) as world:
        pin(world.nodes[0], where)
        entries = {name: json.dumps(s.member()).encode() for name, s in world.fleet.servers.items()}
        for name, entry in entries.items():
            await etcd.put(PREFIX + name, entry)
        await asyncio.sleep(1.0)
        seconds = BEFORE_S + count * (AWAY_S + BACK_S + 0.01) + 0.5
        gc.collect()
        gc.disable()  # guards against pauses of this process, which would be taken for the node's
        load = asyncio.create_task(world.play(rate, seconds))
        await asyncio.sleep(BEFORE_S)
        deletes = []
        for number in range(count):
            name = list(entries)[number % len(entries)]
            deletes.append(delete := Delete(name, now_ms()))
            await etcd.delete(PREFIX + name)
            await asyncio.sleep(AWAY_S)
            delete.put_back_ms = now_ms()
            await etcd.put(PREFIX + name, entries[name])
            await asyncio.sleep(BACK_S)
        await load
        gc.enable()
        records = list(world.journal)
        verdict = world.verdict()
    for delete in deletes:
        if isinstance(etcd, EtcdEmulator):
            key = PREFIX + delete.server
            delete.written_ms = next(
                r.at_ms
                for r in etcd.records
                if r.kind == "watch" and key in r.deleted and r.at_ms >= delete.asked_ms
            )
        times = [
            r.first_byte_at_ms
            for r in records
            if isinstance(r, Received)
            and r.server == delete.server
            and delete.asked_ms <= r.first_byte_at_ms < delete.put_back_ms
        ]
        delete.count, delete.last_ms = len(times), max(times, default=None)
    wanted = [r.at_ms for r in records if isinstance(r, Wanted)]
    held = [r for r in records if isinstance(r, HeldUp) and r.at_ms > deletes[0].asked_ms]
    late = max((r.late_ms for r in held), default=0.0)
    total = verdict.classes["all"]
    asked = (len(wanted) - 1) / (wanted[-1] - wanted[0]) * 1000
    return Drains(deletes, asked, total.in_time / total.asked, late)
