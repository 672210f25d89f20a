"""What a list costs the loop, part by part: one node in this process, a list on a socket, a look each 1 ms.

A run is the node's first list, one that replaces it (each server has another weight), and, with `[state]`,
the next start with discovery silent. *Lag* is the longest stall; a part's figure is the most CPU time
that it took in one go, which says more on a machine that has other work; `gc` is the longest collection.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import json
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from balancer.core.discovery.endpoint_merger import EndpointMerger, EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.net.admin_socket import AdminSocket
from balancer.net.backend_pool import BackendPool
from balancer.net.component import RunningNode
from balancer.net.config import load
from balancer.net.discovery import platform
from balancer.net.discovery.platform import PlatformSource
from balancer.net.discovery.platform_call import DiscoveryCall
from balancer.net.endpoint_view import EndpointView
from balancer.net.persistence import session, view_scanner
from balancer.net.persistence.component import PersistenceComponent
from balancer.net.recovery import RecoveryComponent
from balancer.net.request_dispatcher import RequestDispatcher
from balancer.operator_settings import OperatorSettings, StateSettings
from balancer.policy.balancer import Balancer
from balancer.testbed.service_profile import Site
from benchmarks.measured_process import Probe
from benchmarks.result_table import Row, spread

NODES = 1000  # that share the fleet, as the settings say
PARTS: dict[str, tuple[Any, tuple[str, ...]]] = {
    "read": (DiscoveryCall, ("_read", "data_received")),
    "merge": (EndpointMerger, ("handle",)),
    "pool": (BackendPool, ("update",)),
    "module": (Balancer, ("handle",)),
    "keeping": (view_scanner.ViewScanner, ("on_merge", "scan", "queue_differences")),
    "writing": (session.PersistenceSession, ("_restore_lists", "_handle")),
    "learned": (Balancer, ("learned",)),
}


class Parts:
    """The most CPU time that each part took in one go, in ms, without what it called of other parts."""

    def __init__(self) -> None:
        self.longest = dict.fromkeys(PARTS, 0.0)
        self._inside = [0.0]
        for part, (owner, names) in PARTS.items():
            for name in names:
                setattr(owner, name, self._timed(part, getattr(owner, name)))

    def _timed(self, part: str, call: Callable[..., Any]) -> Callable[..., Any]:
        @functools.wraps(call)
        def timed(*args: Any, **kwargs: Any) -> Any:
            began = time.thread_time()
            self._inside.append(0.0)
            try:
                return call(*args, **kwargs)
            finally:
                took, inner = time.thread_time() - began, self._inside.pop()
                self._inside[-1] += took
                self.longest[part] = max(self.longest[part], (took - inner) * 1000)

        return timed


class Lists(asyncio.Protocol):
    """A discovery that has its one answer ready."""

    answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Answer whatever it will ask."""
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        transport.write(self.answer)

    @classmethod
    def tell(cls, size: int, revision: int, weight: float) -> None:
        """Have this list told from now on."""
        rows = [
            {
                "id": f"s-{n:08x}",
                "host_port": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
                "locality": "ab"[n % 2],
                "flavor": "m",
                "cell": n // 16,
                "phase": "in_service",
                "size": weight,
                "up_since_ms": 0,
            }
            for n in range(size)
        ]
        body = json.dumps({"revision": revision, "complete": True, "members": rows}).encode()
        cls.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def lists(sizes: list[int], runs: int) -> Iterator[Row]:
    """Stalls and parts at these sizes, without and with `[state]`."""
    parts, probe, rows = Parts(), Probe(), list[Row]()
    probe.start()
    server = await asyncio.get_running_loop().create_server(Lists, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    for size in sizes:
        for kept in (False, True):
            lags: dict[str, list[float]] = {}
            longest: dict[str, dict[str, float]] = {}
            for _ in range(runs):
                with tempfile.TemporaryDirectory(prefix="balancer-turns-") as name:
                    for what, worst in (await run(Path(name), port, size, kept, probe, parts)).items():
                        lags.setdefault(what, []).append(worst[0])
                        for part, took in worst[1].items():
                            held = longest.setdefault(what, {})
                            held[part] = max(held.get(part, 0.0), took)
            for what, values in lags.items():
                seen = ", ".join(f"{part} {took:.1f}" for part, took in longest[what].items() if took >= 0.05)
                name = f"{size:,}{', [state]' if kept else ''}, {what}"
                rows.append(Row(name, f"lag {spread(values, 'ms')}; {seen}", "5 ms"))
    server.close()
    return iter(rows)


class Subject:
    """A node with its list and, maybe, a memory."""

    def __init__(self, path: Path, port: int, kept: bool) -> None:
        table = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{port}",
            "seed": "1",
            "settings": Site().settings(0, NODES),
            "known": {"revision": 0, "complete": True, "members": []},
        }
        (path / "node.json").write_text(json.dumps(table))
        config = load({"PROXY_CONFIG": str(path / "node.json")})
        self.node, source = RequestDispatcher(config), Source(platform.SOURCE_NAME)
        self.fleet = EndpointView(self.node, [source])
        identity = platform.source_identity(config.discovery_address)
        self.fleet.handle(
            EndpointsListed(platform.SOURCE_NAME, identity, config.configured_endpoints, is_cached=True)
        )
        self.source = PlatformSource(
            config.discovery_address,
            False,
            1000.0,
            self.node.now,
            self.fleet.handle,
            lambda: self.fleet.watch_revision(platform.SOURCE_NAME),
            lambda: None,
        )
        running = RunningNode(
            self.node, self.fleet, (source,), AdminSocket(), name="n0", start_phases_ms={"imports": 1.0}
        )
        self.recovery = RecoveryComponent(running) if kept else None
        self.state = PersistenceComponent(running) if kept else None
        if self.state is not None and self.recovery is not None:
            (path / "state").mkdir(exist_ok=True)
            on = OperatorSettings(state=StateSettings(directory=path / "state", every=1))
            self.recovery.apply(on)
            self.state.apply(on)

    async def taken(self, size: int, weight: float) -> None:
        """So many servers of this weight are in the module, and all is kept."""
        while True:
            await asyncio.sleep(0.01)
            order, memory = self.node.balancer.index.order, self.state and self.state.session
            if (
                len(order) < size
                or any(e[3].endpoint.weight != weight for e in order)
                or not self.node.is_ready
            ):
                continue
            if self.state is None:
                return
            if memory and not (
                memory.scanner.changed_ids
                or memory.write_behind.state.dirty
                or memory.write_behind.state.in_flight
            ):
                return

    async def close(self) -> None:
        """Its end."""
        if self.state is not None and self.recovery is not None:
            await self.state.close()
            await self.recovery.close()


Worst = tuple[float, dict[str, float]]


async def run(path: Path, port: int, size: int, kept: bool, probe: Probe, parts: Parts) -> dict[str, Worst]:
    """One life, or two: the longest stall, and of each part, of each thing."""
    out: dict[str, Worst] = {}

    async def watched(what: str, subject: Subject, weight: float) -> None:
        await asyncio.wait_for(subject.taken(size, weight), 60)
        lag = max((late for _, late in probe.lags), default=0.0)
        out[what] = lag, dict(parts.longest, gc=max((c[1] for c in probe.collections), default=0.0))

    async def begin() -> None:
        gc.collect()
        await asyncio.sleep(0.05)
        probe.lags.clear()
        probe.collections.clear()
        parts.longest = dict.fromkeys(PARTS, 0.0)

    subject = Subject(path, port, kept)
    async with asyncio.timeout(60):
        while subject.state is not None and subject.state.session is None:
            await asyncio.sleep(0.01)
    gc.freeze()
    for revision, what in ((1, "first list"), (2, "another list")):
        Lists.tell(size, revision, float(revision))
        await begin()
        subject.source.fetch()
        await watched(what, subject, float(revision))
    if kept:
        await asyncio.sleep(1.2)  # what was learned is asked for
        out[what] = out[what][0], out[what][1] | {"learned": parts.longest["learned"]}
    await subject.close()
    if kept:
        await begin()
        subject = Subject(path, port, kept)
        await watched("the kept list", subject, 2.0)
        await subject.close()
    gc.unfreeze()
    return out
