"""A world with two sources of the list: discovery, and the stand-in for etcd with all its faults.

    async with FleetWorld(directory, servers=6) as world:
        script = [Step(1, "etcd freezes", lambda w: w.etcd.freeze(0))]
        await world.play(rate=100, seconds=5, script=script)

- `Scribe` writes down, as `Told`, what the stand-in wrote to which node: from then on the judge counts.
- `Writer` enters servers in etcd, as whoever runs them would; it waits while there is no quorum.
- `FleetWorld` gives each node endpoints of its own (so it is known who was told what), an operators' file and
  a control socket.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import signal
import tempfile
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from balancer.endpoints import Address
from balancer.net import admin_socket as control
from balancer.testbed.cluster import Node, World
from balancer.testbed.etcd.client import EtcdError, prefix_end
from balancer.testbed.etcd.shared import Record
from balancer.testbed.etcd.standin import EtcdEmulator
from balancer.testbed.etcd.store import Range
from balancer.testbed.event_log import Journal, Told, now_ms

PREFIX = "/dillport/members/"
SOURCE = "etcd"  # the end of a path too
RETRY_S = 0.05  # between two tries to write where there is no quorum
STEADY_S = 20.0  # that a node gets to be in sync with all of its sources
PHASES = {"in_service": "up", "terminating": "draining", "terminated": "gone"}
PER_TXN = 100  # entries that are written in one revision; etcd takes 128


class Scribe:
    """What etcd wrote to which node, as `Told`. `node_of` names the node that asks an endpoint.

    The order is by cluster id and the operators' epoch, and begins by a whole list: events of a watch under
    another cluster id tell nothing until that cluster's whole list was told. A whole list is told with its
    last page, at the revision of its first; `gone` is told of each id that this node was once told of and
    that is not in it.
    """

    def __init__(
        self,
        journal: Journal,
        cluster: EtcdEmulator,
        node_of: Callable[[int], str],
        listed_elsewhere: Callable[[str, str], bool],
    ) -> None:
        self.journal, self.cluster, self.node_of = journal, cluster, node_of
        self.listed_elsewhere = listed_elsewhere
        self.epochs: dict[str, int] = {}
        self.adds_only: set[str] = set()  # nodes at which etcd takes nothing away that another source lists
        self.off: set[str] = set()  # nodes at which etcd is none of the sources
        self._ever: dict[str, dict[str, None]] = {}  # by node: all ids that it was told of
        self._order: dict[str, str] = {}  # by node: the order whose whole list was told last
        self._pages: dict[int, tuple[int, dict[str, str]]] = {}  # by endpoint: a list that goes on
        self._end = prefix_end(PREFIX.encode()).decode()
        cluster.shared.on_record = self.heard

    def heard(self, record: Record) -> None:
        """An endpoint wrote something."""
        node = self.node_of(record.endpoint)
        named = self.cluster.members[record.endpoint].cluster_id
        cluster_id = self.cluster.shared.cluster_id if named is None else named
        order = f"{cluster_id}/{self.epochs.get(node, 0)}"
        if node in self.off:
            return
        if record.kind == "watch":
            if order == self._order.get(node):
                self._changes(node, order, record)
        elif record.kind == "range" and record.end == self._end:  # else a count, or a read of one key
            self._page(node, order, record)

    def _changes(self, node: str, order: str, record: Record) -> None:
        for name, key in _names(record.put):
            self._tell(node, order, record.revision, name, key, record.at_ms)
        for name, _ in _names(record.deleted):
            self._gone(node, order, record.revision, name, record.at_ms)

    def _page(self, node: str, order: str, record: Record) -> None:
        revision, keys = self._pages.pop(record.endpoint, (record.revision, {}))
        if record.key == PREFIX:
            revision, keys = record.revision, {}
        keys |= dict(_names(record.put))
        if record.more:
            self._pages[record.endpoint] = (revision, keys)
            return
        self._order[node] = order
        for name, key in keys.items():
            self._tell(node, order, revision, name, key, record.at_ms)
        for name in sorted(self._ever.get(node, {}).keys() - keys.keys()):
            self._gone(node, order, revision, name, record.at_ms)

    def _tell(self, node: str, order: str, revision: int, name: str, key: str, at_ms: float) -> None:
        """What a value says; one that cannot be read says nothing, but that a server leaves."""
        self._ever.setdefault(node, {})[name] = None
        held = self.cluster.store.get(key.encode(), revision)
        row: dict[str, Any] = {}
        with contextlib.suppress(ValueError, RecursionError):
            raw = json.loads(held.value) if held else None
            row = raw if isinstance(raw, dict) else {}
        phase = PHASES.get(str(row.get("phase")))
        if phase == "gone":
            self._gone(node, order, revision, name, at_ms)
        elif phase == "draining" and node in self.adds_only and self.listed_elsewhere(node, name):
            return
        elif phase is not None and (phase == "draining" or _address(row)):
            since = row.get("up_since_ms", 0.0)
            self.journal.add(Told(node, SOURCE, order, revision, name, phase, at_ms, float(since)))

    def _gone(self, node: str, order: str, revision: int, name: str, at_ms: float) -> None:
        if node not in self.adds_only or not self.listed_elsewhere(node, name):
            self.journal.add(Told(node, SOURCE, order, revision, name, "gone", at_ms))

    def switch_off(self, node: str) -> None:
        """The operators took etcd out: its word is void, and whom no other source lists is gone."""
        self.off.add(node)
        self._order.pop(node, None)
        for name in self._ever.pop(node, {}):
            phase = "up" if self.listed_elsewhere(node, name) else "gone"
            self.journal.add(Told(node, SOURCE, "off", 0, name, phase, now_ms()))


def _names(keys: Iterable[str]) -> list[tuple[str, str]]:
    """Ids and their keys; what is no id names nobody."""
    pairs = [(key.removeprefix(PREFIX), key) for key in keys]
    return [(name, key) for name, key in pairs if name and "/" not in name]


def _address(row: dict[str, Any]) -> bool:
    return str(row.get("host_port")).rpartition(":")[2].isdecimal()


class Writer:
    """Enters servers in etcd: one revision a change, in order, later where there is no quorum.

    `takes` says of whom; a table of `leases` holds the lease that a server's key hangs on, by id.
    """

    def __init__(self, cluster: EtcdEmulator, takes: Callable[[str], bool]) -> None:
        self.cluster, self.takes = cluster, takes
        self.leases: dict[str, int] = {}
        self._turn = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    def publish(self, *entries: dict[str, Any]) -> None:
        """Enter changes."""
        rows = [row for row in entries if self.takes(row["id"])]
        if rows:
            self._keep(self.write(rows))

    async def write(self, entries: Iterable[dict[str, Any]]) -> None:
        """Enter them and return once they are there."""
        rows = list(entries)
        async with self._turn:
            for start in range(0, len(rows), PER_TXN):
                await self._write(rows[start : start + PER_TXN])

    async def _write(self, rows: list[dict[str, Any]]) -> None:
        left = {row["id"] for row in rows if row["phase"] == "terminated"}
        there = {row["id"]: json.dumps(row).encode() for row in rows if row["id"] not in left}
        while True:
            try:
                plain = {PREFIX + name: value for name, value in there.items() if name not in self.leases}
                if plain or left:
                    await self.cluster.txn(plain, [PREFIX + name for name in sorted(left)])
                for name in there.keys() & self.leases.keys():
                    await self.cluster.put(PREFIX + name, there[name], self.leases[name])
                return
            except EtcdError:
                await asyncio.sleep(RETRY_S)

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def written(self) -> None:
        """Return once all that was published is there."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def close(self) -> None:
        """What is not written is left."""
        for task in self._tasks:
            task.cancel()


class FleetWorld(World):
    """`endpoints` a node; `platform` and `in_etcd` say which servers a source is told of, by their names.

    `bears` is what the nodes' settings say of it, what it really bears is `etcd.shared.bears`.
    `etcd` is the stand-in, `writer` who writes to it. An endpoint's number is `world.member(node, place)`.
    """

    def __init__(
        self,
        directory: Path,
        *,
        endpoints: int = 2,
        role: str = "full",
        bears: int | None = None,
        platform: Callable[[str], bool] = lambda name: True,
        in_etcd: Callable[[str], bool] = lambda name: True,
        **more: Any,
    ) -> None:
        self._next = more.pop("prepare", None)
        super().__init__(directory, prepare=self._prepare, **more)
        self.per_node, self.role, self.bears = endpoints, role, bears
        self._platform = platform
        self.etcd = EtcdEmulator(endpoints * self.node_count, seed=self.seed, quorum_wait_ms=5_400)
        self.writer = Writer(self.etcd, in_etcd)
        self.scribe = Scribe(self.journal, self.etcd, self._node_of, self._elsewhere)
        self.sockets = Path(tempfile.mkdtemp(prefix="balancer-lab-"))
        self._begun = False

    def on_platform(self, name: str) -> bool:
        """Whether discovery is told of a server."""
        return self._platform(name)

    def publish(self, *entries: dict[str, Any]) -> None:
        """Enter changes in whichever source the servers belong to."""
        rows = [row for row in entries if self.on_platform(row["id"])]
        if rows:
            self.discovery.publish(*rows)
        self.writer.publish(*entries)

    def member(self, node: int = 0, place: int = 0) -> int:
        """The number of an endpoint of a node's."""
        return node * self.per_node + place

    def members(self, node: int | None = None) -> list[int]:
        """The numbers of a node's endpoints, or of all."""
        begin, end = (0, self.node_count) if node is None else (node, node + 1)
        return list(range(begin * self.per_node, end * self.per_node))

    def used(self, node: int = 0) -> int:
        """The endpoint on which a node has its watch; raises ValueError where it has none, or two for now."""
        found = [index for index in self.members(node) if self.etcd.members[index].streams]
        if len(found) != 1:
            raise ValueError(f"n{node} watches at {found}")
        return found[0]

    def _node_of(self, endpoint: int) -> str:
        return f"n{endpoint // self.per_node}"

    def _elsewhere(self, node: str, name: str) -> bool:
        row = self.discovery.agents[node].member_history.members.get(name)
        return row is not None and row.get("phase") == "in_service"

    async def _prepare(self, node: Node) -> None:
        if not self._begun:
            self._begun = True
            await self.etcd.__aenter__()
            await self.writer.write(row for row in self.fleet.members() if self.writer.takes(row["id"]))
        if (node.name, SOURCE) in self.wired:
            await super().wire(node.name, SOURCE)
        self.settings(node)
        node.args += ["--settings", str(self.settings_of(node))]
        if self._next is not None and isinstance(done := self._next(node), Awaitable):
            await done

    async def start(self) -> None:
        """Bring up all of it; the nodes are in sync with their sources."""
        await super().start()
        async with asyncio.TaskGroup() as tasks:
            for node in self.nodes:
                tasks.create_task(self.state(node, "in sync"))

    async def close(self) -> None:
        """End it all."""
        self.writer.close()
        await super().close()
        if self._begun:
            await self.etcd.__aexit__(None, None, None)
        shutil.rmtree(self.sockets, ignore_errors=True)

    # --- the operators

    def targets(self, node: str, name: str) -> list[Address]:
        """Where a path from a node leads to."""
        if name != SOURCE:
            return super().targets(node, name)
        urls = [urlsplit(self.etcd.endpoints[index]) for index in self.members(int(node[1:]))]
        return [(str(url.hostname), int(url.port or 0)) for url in urls]

    def _reached(self, node: str) -> list[Address]:
        links = self.paths.get((node, SOURCE))
        return [link.address for link in links] if links else self.targets(node, SOURCE)

    async def wire(self, node: str, name: str) -> None:
        """Lay a path; that to etcd not before there is etcd."""
        if name != SOURCE:
            await super().wire(node, name)

    def strays(self, node: str, name: str, on: bool) -> None:
        """A path begins or ends to keep from a node what is told to it."""
        super().strays(node, name, on)
        if name == SOURCE:
            (self.journal.hold if on else self.journal.release)(node, SOURCE)

    def settings_of(self, node: Node) -> Path:
        """A node's operators' file."""
        return self.directory / f"{node.name}.toml"

    def settings(self, node: Node, *, epoch: int = 0, etcd: bool = True) -> None:
        """Write a node's operators' file."""
        lines = ["[control]", f"socket = {json.dumps(str(self.sockets / node.name))}"]
        if etcd:
            urls = [f"http://{host}:{port}" for host, port in self._reached(node.name)]
            lines += [
                "[membership.etcd]",
                f"endpoints = {json.dumps(urls)}",
                f'prefix = "{PREFIX}"',
                f"epoch = {epoch}",
                f'role = "{self.role}"',
            ]
            lines += [] if self.bears is None else [f"bears = {self.bears}"]
        self.settings_of(node).write_text("\n".join(lines) + "\n", encoding="utf-8")
        if self.role == "add":
            self.scribe.adds_only.add(node.name)

    def reset(self, node: Node, *, epoch: int = 0, etcd: bool = True) -> None:
        """Write it anew and have it read again: what etcd says is then of another order, or void."""
        self.settings(node, epoch=epoch, etcd=etcd)
        self.scribe.epochs[node.name] = epoch
        if not etcd:
            self.scribe.switch_off(node.name)
        else:
            self.scribe.off.discard(node.name)
        node.signal(signal.SIGHUP)

    async def report(self, node: Node) -> dict[str, Any]:
        """What the node says that its sources say; no verdict hangs on it."""
        return await asyncio.to_thread(control.ask, self.sockets / node.name, "members")

    async def state(self, node: Node, wanted: str, source: str = SOURCE) -> float:
        """Wait until a source is in this state at the node, as it says; the seconds that took."""
        begun = now_ms()
        async with asyncio.timeout(STEADY_S):
            while True:
                with contextlib.suppress(control.AdminSocketError):
                    found = (await self.report(node))["sources"]
                    if any(one["name"] == source and one["state"] == wanted for one in found):
                        return (now_ms() - begun) / 1000
                await asyncio.sleep(0.02)

    async def current(self, wait_s: float = STEADY_S) -> list[str]:
        """Wait until each source at each node holds what is really in it; what does not by then, in lines."""
        await self.writer.written()
        until = now_ms() + wait_s * 1000
        while True:
            found = [line for node in self.nodes for line in await self._behind(node)]
            if not found or now_ms() > until:
                return found
            await asyncio.sleep(0.05)

    async def _behind(self, node: Node) -> list[str]:
        raw, members = PREFIX.encode(), (await self.report(node))["members"]
        keys = self.etcd.store.range(Range(raw, prefix_end(raw))).kvs
        there = {
            SOURCE: {name for name, _ in _names(kv.key.decode() for kv in keys)},
            self.discovery.source: set(node.agent.member_history.members),
        }
        out = []
        for source, names in there.items():
            says = {row["id"] for row in members if row["sources"].get(source) in ("up", "draining")}
            if says != names:
                out.append(f"{node.name} has {sorted(says)} of {source}, where {sorted(names)} are")
        return out

    # --- faults of several endpoints at once

    def every(self, act: Callable[[int], object]) -> None:
        """Do something to each endpoint."""
        for index in self.members():
            act(index)

    def cut_watches(self, members: Iterable[int]) -> None:
        """Break all connections to endpoints, and refuse new ones until `mend`."""
        for index in members:
            self.etcd.refuse(index)
            self.etcd.drop(index)

    async def mend(self, members: Iterable[int]) -> None:
        """Let connections come up again."""
        for index in members:
            await self.etcd.restart(index)
