"""Puts one node together and runs it: parts, signals, exit code. The only module that imports them all.

- `run`: what `balancer run` does once its files are read.
- `serve`: the node from its first connection to its last answer.

A node is started anew under load, with hundreds of others: what only the operators' file switches on is
loaded by that file alone, and `tests/system/test_startup_cost.py` holds what the rest may load.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

import uvloop

from balancer.core.connection_admission import (
    LEAST_SOCKETS,
    SPARE,
    places,
    shares,
    unread_budget,
)
from balancer.core.discovery.endpoint_merger import Listed, Source
from balancer.net import clock
from balancer.net.config import Config, ConfigError, load
from balancer.net.discovery import platform
from balancer.net.discovery.platform import PlatformSource
from balancer.net.endpoint_view import Fleet
from balancer.net.http_server import Front
from balancer.net.listener import fit
from balancer.net.request_dispatcher import Node

if TYPE_CHECKING:
    from pathlib import Path

    from balancer.net.components import Parts
    from balancer.operator_settings import Operators

ENDING = (signal.SIGTERM, signal.SIGINT)
LOG_LINES, LOG_TIME = 50, 10.0  # at most so many lines in so many seconds


class Brake(logging.Filter):
    """Bounds the log: guards against peers for each of whose messages a line is written."""

    def __init__(self) -> None:
        super().__init__()
        self.start, self.lines = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Pass the first lines of each stretch of time; the next stretch says how many were left out."""
        if record.created - self.start >= LOG_TIME:
            if self.lines > LOG_LINES:
                record.msg = f"({self.lines - LOG_LINES} lines left out) {record.getMessage()}"
                record.args = None
            self.start, self.lines = record.created, 0
        self.lines += 1
        return self.lines <= LOG_LINES


def reload(discovery: PlatformSource) -> None:
    """Read the configuration again: discovery may have moved. All else holds until the next start."""
    try:
        config = load(os.environ, again=True)
    except ConfigError as err:
        logging.error("reload: the old configuration stays: %s", " ".join(str(err).split()))
        return
    discovery.move(config.discovery)
    logging.info("reload: discovery is at %s:%d", *config.discovery)


async def serve(
    config: Config,
    path: Path | None = None,
    operators: Operators | None = None,
    hung_up: Sequence[int] = (),
    began: Mapping[str, float] | None = None,
) -> None:
    """Run until SIGTERM or SIGINT, then answer what was taken and return; SIGHUP reads the files again.

    `operators` is what was read from `path`, the operators' file; both are None where there is none.
    `hung_up` holds a SIGHUP that came before the loop could take it: the files may have changed since.
    `began` are times of the start so far, for `net/recovery`.
    """
    loop = asyncio.get_running_loop()
    node = Node(config)
    listed = Source(platform.NAME)
    fleet = Fleet(node, [listed])
    node.discovery = discovery = PlatformSource(
        config.discovery,
        config.settings.must_poll,
        config.settings.drain_grace_ms,
        node.now,
        fleet.hand,
        lambda: fleet.resume(platform.NAME),
        node.list_failed,
    )
    cap, over = places(config.client_sockets)
    front = Front(node, cap, unread_budget(config.memory_mb), over)
    parts: Parts | None = None
    stop = asyncio.Event()

    def told() -> None:  # the times count from the first of such signals
        if front.ends is None:
            front.ends = node.stop()
        stop.set()

    for number in ENDING:
        loop.add_signal_handler(number, told)

    def hangup() -> None:  # never before the loop's next turn, when all below is there
        if front.ends is not None:
            return  # it ends before a change counts, and its parts may be closed
        reload(discovery)
        if parts is not None:
            parts.reload()

    loop.add_signal_handler(signal.SIGHUP, hangup)
    if hung_up:
        loop.call_soon(hangup)
    fleet.hand(Listed(platform.NAME, platform.identity(config.discovery), config.known, saved=True))
    if not config.settings.must_poll:
        discovery.watch(True)
    if operators is not None:
        from balancer.net.admin_socket import Control
        from balancer.net.component import Running
        from balancer.net.components import Parts

        running = Running(node, fleet, (listed,), Control(), name=config.name, parts=began or {})
        parts = Parts(path, operators, running)
    try:
        await front.listen(config.listen)
        gc.freeze()
        logging.info("%s serves on %s:%d", config.name, *front.address)
        await stop.wait()
        assert front.ends is not None
        await asyncio.sleep((front.ends.accept_ms - node.now()) / 1000)
        front.stop()
        await front.finish()
        # Guards against the signals' default, which comes back with the loop's end, before the process's own.
        signal.pthread_sigmask(signal.SIG_BLOCK, (*ENDING, signal.SIGHUP))
        discovery.watch(False)
        node.pool.close()
    finally:
        if parts is not None:
            await parts.close()
    logging.info("%s ends", config.name)


def run(
    config: Config,
    path: Path | None = None,
    operators: Operators | None = None,
    hung_up: Sequence[int] = (),
    began: Mapping[str, float] | None = None,
) -> int:
    """Run a node to its end; the exit code. One that cannot start says why in one line."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(Brake())
    if operators is not None and (wrong := clock.set_off(os.environ)):
        print(f"balancer: {wrong}", file=sys.stderr)
        return 2
    if operators is not None:
        from balancer.net.startup import deprecation_warning  # loaded already where there is such a file

        if warning := deprecation_warning():
            logging.warning("%s", warning)
    wanted = config.client_sockets + config.upstream_sockets + SPARE
    if (there := fit(wanted)) < min(wanted, LEAST_SOCKETS):
        print(f"balancer: limits: {there} descriptors (ulimit -n), {LEAST_SOCKETS} at least", file=sys.stderr)
        return 2
    if there < wanted:
        clients, upstream = shares(there)
        config = replace(config, client_sockets=clients, upstream_sockets=upstream)
        logging.warning(
            "limits.sockets is %d, the process may hold %d (ulimit -n): %d for clients, %d for servers",
            wanted,
            there,
            clients,
            upstream,
        )
    try:
        uvloop.run(serve(config, path, operators, hung_up, began))
    except OSError as err:
        print(f"balancer: listen: {err}", file=sys.stderr)
        return 2
    return 0
