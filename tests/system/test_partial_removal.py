"""Half of 200 servers are deleted in one txn while the load triples; some of those that are left are cold.

At that moment the node holds requests, has connections that are coming up and idle ones, all of which are
judged; so are the cold survivors, whose start only etcd names. Once with a watch that is open, and once with
one that is broken, its revision compacted and old events replayed behind it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Self

from balancer.interface import Idempotency
from balancer.testbed.backend_emulator import Machine
from balancer.testbed.cluster import Step
from balancer.testbed.dual_source_cluster import PREFIX, FleetWorld
from balancer.testbed.event_log import (
    Answered,
    Asked,
    Received,
    Replied,
    Told,
    now_ms,
)
from balancer.testbed.load_generator import Habits
from balancer.testbed.service_profile import RequestClass, Rules, Site
from tests.testbed.cluster_fixtures import of

# A cold server falls over by far less than it can do, so that whoever takes one for warm pushes it over.
SITE = Site(
    classes=(
        RequestClass("search", Idempotency.IDEMPOTENT, 5_000, 6_000, share=0.5, work_ms=20, spread=0.3),
        RequestClass("order", Idempotency.KEYED, 5_000, 6_000, share=0.3, work_ms=20, spread=0.3),
        RequestClass("charge", Idempotency.NON_IDEMPOTENT, 5_000, 6_000, share=0.2, work_ms=20, spread=0.3),
    ),
    zones=("a",),
    connect_ms=5_000,
    rules=Rules(fall_multiple=0.1, fall_ms=2_000, cold_share=0.9, warm_ms=60_000),
)


class Crowd(Site):
    """The same, where the node is one of sixteen."""

    def settings(self, me: int = 0, nodes: int = 1) -> dict[str, Any]:
        """As for a node of sixteen."""
        return super().settings(me, nodes) | {"group-size": 16}


SLOW = Machine(cores=1, speed=0.027, queue=2)  # 1.35 requests a second: in the end 100 get twice as many
QUICK = Machine(cores=1, speed=0.08)  # 4 a second: 100 can do it all
RATE = 90.0
MIN_POOLED = 5  # servers with an idle connection that are deleted
DELETE_S, OPEN_S, SECONDS = 1.3, 3.5, 4.8
WARM, COLD, CLOGGED = 168, 30, 2


CROWD = Crowd(classes=SITE.classes, zones=SITE.zones, rules=SITE.rules, connect_ms=SITE.connect_ms)
Steps = Callable[[FleetWorld, Callable[[], None]], list[Step]]


class Clogged:
    """A server whose connections do not come up until it is opened: its queue of them is full."""

    def __init__(self, name: str, host: str) -> None:
        self.name, self.got = name, b""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.bind((host, 0))
        self.sock.listen(0)
        self.address = self.sock.getsockname()
        self.fillers = [self._filler() for _ in range(2)]
        self.tasks: list[asyncio.Task[None]] = []
        self.accepted = 0

    def _filler(self) -> socket.socket:
        out = socket.socket()
        out.setblocking(False)
        out.connect_ex(self.address)
        return out

    def entry(self, phase: str = "in_service") -> dict[str, object]:
        """What the list says of it."""
        return {
            "id": self.name,
            "host_port": f"{self.address[0]}:{self.address[1]}",
            "phase": phase,
            "locality": "a",
            "cell": 0,
            "size": 0.05,
            "flavor": "m",
        }

    def open(self) -> None:
        """From now on take connections, and note what comes on them."""
        self.tasks.append(asyncio.create_task(self._accept()))

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            sock.setblocking(False)
            self.accepted += 1
            self.tasks.append(asyncio.create_task(self._read(sock)))

    async def _read(self, sock: socket.socket) -> None:
        with sock:
            while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
                self.got += data

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        for task in self.tasks:
            task.cancel()
        for sock in (self.sock, *self.fillers):
            sock.close()


async def come_cold(world: FleetWorld, machine: Machine) -> None:
    """Cold servers, whose start etcd names and discovery does not know."""
    for number in range(WARM + 1, WARM + COLD + 1):
        await world.fleet.add(f"s{number}", machine).start(cold=True)
    rows = [world.fleet[f"s{number}"].member() for number in range(WARM + 1, WARM + COLD + 1)]
    world.writer.publish(*rows)
    world.discovery.publish(*(row | {"up_since_ms": 0.0} for row in rows))
    assert not await world.current()


async def half_removed(
    path: Path, site: Site, machine: Machine, steps: Steps
) -> tuple[FleetWorld, list[str], list[Received]]:
    """The run, judged; who is gone, and what was received from shortly after the word on."""
    habits = Habits(bursts=((DELETE_S - 0.3, SECONDS, 3.0),))
    async with FleetWorld(path, site=site, seed=51, servers=WARM, machine=machine, habits=habits) as world:
        await come_cold(world, machine)
        host = f"127.{world.fleet.second_octet}.251.1"
        with Clogged("c1", host) as one, Clogged("c2", host) as two:
            for server in (one, two):
                await world.etcd.put(PREFIX + server.name, json.dumps(server.entry()).encode())
            assert not await world.current()
            gone = [f"s{number}" for number in range(2, WARM + COLD + 1, 2)][:-1]  # every other one, cold too

            def delete() -> None:
                rows = [world.fleet[name].member("terminated") for name in gone]
                world.writer.publish(*rows, one.entry("terminated"), two.entry("terminated"))

            opened = [Step(OPEN_S, "", lambda w: one.open()), Step(OPEN_S, "", lambda w: two.open())]
            with contextlib.suppress(TimeoutError):  # who waits still is not judged
                async with asyncio.timeout(SECONDS + 0.3):
                    await world.play(RATE, SECONDS, [*steps(world, delete), *opened])
            got = world.verdict()
            assert got.ok, "\n".join(line for breach in got.breaches[:3] for line in breach.lines())
            assert got.sent_to_removed == 0
            assert one.accepted + two.accepted >= 2 and not one.got + two.got  # they came up too late
        word = [t for t in of(world.journal, Told) if t.source == "etcd" and t.phase == "gone"]
        assert {t.server for t in word} == {*gone, "c1", "c2"} and len(gone) + CLOGGED == 100
        assert len({t.revision for t in word}) == 1
        told_ms, received = word[0].at_ms, of(world.journal, Received)
        busy = {r.server for r in received if r.first_byte_at_ms < told_ms}
        idle = {r.server for r in of(world.journal, Replied) if r.at_ms < told_ms}
        assert (
            len(busy & set(gone)) > 15 and len(idle & set(gone)) > MIN_POOLED
        )  # connections to whom are pooled
        after = [r for r in received if r.first_byte_at_ms > told_ms + 500]
        assert not {r.server for r in after} & set(gone) and now_ms() > told_ms + 2_300
        return world, gone, after


def open_watch(world: FleetWorld, delete: Callable[[], None]) -> list[Step]:
    async def delete_once_pooled() -> None:
        """A slow machine has answered too little by then: the deletion is to meet idle connections."""
        gone = {f"s{number}" for number in range(2, WARM + COLD + 1, 2)}
        while len({r.server for r in of(world.journal, Replied)} & gone) <= MIN_POOLED + 1:
            await asyncio.sleep(0.02)
        delete()

    return [Step(DELETE_S, "", lambda w: delete_once_pooled())]


def broken_watch(world: FleetWorld, delete: Callable[[], None]) -> list[Step]:
    """The deletes are seen by a whole list alone; old events come behind it."""

    async def compact() -> None:
        await world.writer.written()
        await world.etcd.compact(await world.etcd.revision())

    def replay() -> None:
        last = world.etcd.store.revision - 1  # all but the deletes
        world.every(lambda index: world.etcd.replay(index, 1, last))

    return [
        Step(DELETE_S - 0.2, "", lambda w: world.cut_watches(world.members())),
        Step(DELETE_S, "", lambda w: delete()),
        Step(DELETE_S + 0.05, "", lambda w: compact()),
        Step(DELETE_S + 0.1, "", lambda w: world.mend(world.members())),
        *(Step(DELETE_S + wait, "", lambda w: replay()) for wait in (0.5, 0.8, 1.5)),
    ]


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(bounded())


def test_half_of_the_fleet_is_deleted_while_the_load_triples(tmp_path: Path) -> None:
    """The node takes itself for one of sixteen, so that it holds what is more than its part."""

    async def test() -> None:
        world, _, after = await half_removed(tmp_path, CROWD, SLOW, open_watch)
        told_ms = next(t.at_ms for t in of(world.journal, Told) if t.phase == "gone")
        first = {r.request: r.first_byte_at_ms for r in reversed(of(world.journal, Received))}
        end = {a.request: a.at_ms for a in reversed(of(world.journal, Answered))}
        asked = [a.request for a in of(world.journal, Asked) if a.at_ms < told_ms - 30]
        never = 1e12
        held = [n for n in asked if first.get(n, never) > told_ms and end.get(n, never) > told_ms]
        assert len(held) > 3 and len(after) > 50

    run(test)


def test_half_of_the_fleet_is_deleted_behind_a_broken_watch(tmp_path: Path) -> None:
    """Whoever took the cold survivors for warm, as discovery does, would push them over."""

    async def test() -> None:
        _, gone, after = await half_removed(tmp_path, SITE, QUICK, broken_watch)
        cold = {f"s{n}" for n in range(WARM + 1, WARM + COLD + 1)} - set(gone)
        assert len(after) > 200 and len(cold) == COLD // 2 + 1

    run(test)
