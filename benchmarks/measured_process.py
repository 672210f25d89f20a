"""The process that is measured: a whole node or the parts of its membership, with a look at its loop each ms.

    python -m benchmarks.measured_process pool|module|node

It reads the node's configuration and the operators' file as a node does. `pool` has the real sources, the
merge and the pool of connections, and nothing else; `module` has the decision module behind them too; `node`
is the node. At SIGTERM it writes JSON to standard output: `lags` are [moment, how late the loop was],
`collections` are [moment, length, generation] of Python's garbage collector, all in ms, from 1 ms on.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import uvloop

from balancer import operator_settings as operators
from balancer.core.discovery import endpoint_merger as membership
from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.net import application as assemble
from balancer.net.admin_socket import AdminSocket
from balancer.net.backend_pool import BackendPool
from balancer.net.config import Config, load
from balancer.net.discovery import platform
from balancer.net.discovery.etcd import EtcdDiscovery
from balancer.net.discovery.platform import PlatformSource
from balancer.net.endpoint_view import EndpointView, ViewSink
from balancer.net.etcd_component import EtcdComponent
from balancer.net.request_dispatcher import RequestDispatcher
from balancer.operator_settings import OperatorSettings

EVERY = 0.001  # s between two looks at the loop
WORTH = 1.0  # ms of lateness, or of a collection, that are kept
LOOK = "BENCHMARK_LOOK"  # set to 0: no looks at the loop, which cost CPU time


class Probe:
    """Looks at the loop each millisecond: how late it comes to that is how long something else held it."""

    def __init__(self) -> None:
        self.lags: list[tuple[float, float]] = []
        self.collections: list[tuple[float, float, int]] = []
        self.loop = asyncio.get_running_loop()
        self._due = self._began = 0.0
        gc.callbacks.append(self._collected)

    def start(self) -> None:
        """Look from now on."""
        self._due = time.monotonic() + EVERY
        self.loop.call_later(EVERY, self._look)

    def _look(self) -> None:
        now = time.monotonic()
        late = (now - self._due) * 1000
        if late >= WORTH:
            self.lags.append((now * 1000, late))
        self.start()

    def _collected(self, phase: str, info: Mapping[str, Any]) -> None:
        now = time.monotonic() * 1000
        if phase == "start":
            self._began = now
        elif now - self._began >= WORTH:
            self.collections.append((now, now - self._began, info["generation"]))


class PoolSink:
    """Takes changes of the view as a node does, without its decision module."""

    def __init__(self, config: Config) -> None:
        self.pool = BackendPool(config.settings, config.max_backend_sockets)

    def now(self) -> float:
        """Milliseconds; never goes back."""
        return time.monotonic() * 1000

    def apply(self, change: membership.ApplyEndpoints) -> None:
        """Take a change."""
        self.pool.update(change.records, [m.id for m in change.removed_records])


async def parts(config: Config, settings: OperatorSettings, sink: ViewSink) -> None:
    """The membership of a node, put together as `assemble.serve` does, until SIGTERM."""
    listed = Source(platform.SOURCE_NAME)
    fleet = EndpointView(sink, [listed])
    discovery = PlatformSource(
        config.discovery_address,
        False,
        config.settings.drain_grace_ms,
        sink.now,
        fleet.handle,
        lambda: fleet.watch_revision(platform.SOURCE_NAME),
        lambda: None,
    )
    etcd = EtcdComponent(
        fleet, (listed,), lambda table, seen: EtcdDiscovery(table, fleet.handle, resume_position=seen)
    )
    control = AdminSocket()
    control.register("members", fleet.report)
    if settings.control is not None:
        await control.listen(settings.control.socket)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    fleet.handle(
        EndpointsListed(
            platform.SOURCE_NAME,
            platform.source_identity(config.discovery_address),
            config.configured_endpoints,
            is_cached=True,
        )
    )
    discovery.watch(True)
    etcd.apply(settings)
    gc.freeze()
    logging.info("the parts are up")
    await stop.wait()
    discovery.watch(False)
    etcd.stop()
    await control.close()


async def watched(mode: str, config: Config, path: Path | None, settings: OperatorSettings) -> Probe:
    """Run it with the probe beside it."""
    probe = Probe()
    if os.environ.get(LOOK) != "0":
        probe.start()
    if mode == "node":
        await assemble.serve(config, path, settings)
    else:
        await parts(config, settings, RequestDispatcher(config) if mode == "module" else PoolSink(config))
    return probe


def main() -> int:
    """The command; the exit code."""
    if len(sys.argv) != 2 or sys.argv[1] not in ("pool", "module", "node"):
        print(__doc__, file=sys.stderr)
        return 2
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(message)s")
    config, named = load(os.environ), os.environ.get("BALANCER_SETTINGS")
    path = Path(named) if named else None
    probe = uvloop.run(
        watched(sys.argv[1], config, path, operators.load(path) if path else OperatorSettings())
    )
    print(json.dumps({"lags": probe.lags, "collections": probe.collections}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
