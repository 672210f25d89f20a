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
    MIN_DESCRIPTORS,
    RESERVED_DESCRIPTORS,
    connection_limits,
    descriptor_quotas,
    unread_budget_bytes,
)
from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.net import clock
from balancer.net.config import Config, ConfigError, load
from balancer.net.discovery import platform
from balancer.net.discovery.platform import PlatformSource
from balancer.net.endpoint_view import EndpointView
from balancer.net.http_server import HttpServer
from balancer.net.listener import raise_descriptor_limit
from balancer.net.request_dispatcher import RequestDispatcher

if TYPE_CHECKING:
    from pathlib import Path

    from balancer.net.components import Components
    from balancer.operator_settings import OperatorSettings

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MAX_LOG_LINES, LOG_WINDOW_S = 50, 10.0  # at most so many lines in so many seconds


class LogRateLimiter(logging.Filter):
    """Bounds the log: guards against peers for each of whose messages a line is written."""

    def __init__(self) -> None:
        super().__init__()
        self.window_start_s, self.count = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Pass the first lines of each stretch of time; the next stretch says how many were left out."""
        if record.created - self.window_start_s >= LOG_WINDOW_S:
            if self.count > MAX_LOG_LINES:
                record.msg = f"({self.count - MAX_LOG_LINES} lines left out) {record.getMessage()}"
                record.args = None
            self.window_start_s, self.count = record.created, 0
        self.count += 1
        return self.count <= MAX_LOG_LINES


def reload(discovery: PlatformSource) -> None:
    """Read the configuration again: discovery may have moved. All else holds until the next start."""
    try:
        config = load(os.environ, is_reload=True)
    except ConfigError as err:
        logging.error("reload: the old configuration stays: %s", " ".join(str(err).split()))
        return
    discovery.set_address(config.discovery_address)
    logging.info("reload: discovery is at %s:%d", *config.discovery_address)


async def serve(
    config: Config,
    path: Path | None = None,
    operators: OperatorSettings | None = None,
    hung_up: Sequence[int] = (),
    began: Mapping[str, float] | None = None,
) -> None:
    """Run until SIGTERM or SIGINT, then answer what was taken and return; SIGHUP reads the files again.

    `operators` is what was read from `path`, the operators' file; both are None where there is none.
    `hung_up` holds a SIGHUP that came before the loop could take it: the files may have changed since.
    `began` are times of the start so far, for `net/recovery`.
    """
    loop = asyncio.get_running_loop()
    node = RequestDispatcher(config)
    listed = Source(platform.SOURCE_NAME)
    fleet = EndpointView(node, [listed])
    node.discovery = discovery = PlatformSource(
        config.discovery_address,
        config.settings.must_poll,
        config.settings.drain_grace_ms,
        node.now,
        fleet.handle,
        lambda: fleet.watch_revision(platform.SOURCE_NAME),
        node.list_failed,
    )
    cap, over = connection_limits(config.max_client_sockets)
    front = HttpServer(node, cap, unread_budget_bytes(config.memory_mb), over)
    parts: Components | None = None
    stop = asyncio.Event()

    def told() -> None:  # the times count from the first of such signals
        if front.shutdown_deadlines is None:
            front.shutdown_deadlines = node.stop()
        stop.set()

    for number in TERMINATION_SIGNALS:
        loop.add_signal_handler(number, told)

    def hangup() -> None:  # never before the loop's next turn, when all below is there
        if front.shutdown_deadlines is not None:
            return  # it ends before a change counts, and its parts may be closed
        reload(discovery)
        if parts is not None:
            parts.reload()

    loop.add_signal_handler(signal.SIGHUP, hangup)
    if hung_up:
        loop.call_soon(hangup)
    fleet.handle(
        EndpointsListed(
            platform.SOURCE_NAME,
            platform.source_identity(config.discovery_address),
            config.configured_endpoints,
            is_cached=True,
        )
    )
    if not config.settings.must_poll:
        discovery.watch(True)
    if operators is not None:
        from balancer.net.admin_socket import AdminSocket
        from balancer.net.component import RunningNode
        from balancer.net.components import Components

        running = RunningNode(
            node, fleet, (listed,), AdminSocket(), name=config.name, start_phases_ms=began or {}
        )
        parts = Components(path, operators, running)
    try:
        await front.listen(config.listen_address)
        gc.freeze()
        logging.info("%s serves on %s:%d", config.name, *front.address)
        await stop.wait()
        assert front.shutdown_deadlines is not None
        await asyncio.sleep((front.shutdown_deadlines.accept_until_ms - node.now()) / 1000)
        front.stop()
        await front.finish()
        # Guards against the signals' default, which comes back with the loop's end, before the process's own.
        signal.pthread_sigmask(signal.SIG_BLOCK, (*TERMINATION_SIGNALS, signal.SIGHUP))
        discovery.watch(False)
        node.pool.close()
    finally:
        if parts is not None:
            await parts.close()
    logging.info("%s ends", config.name)


def run(
    config: Config,
    path: Path | None = None,
    operators: OperatorSettings | None = None,
    hung_up: Sequence[int] = (),
    began: Mapping[str, float] | None = None,
) -> int:
    """Run a node to its end; the exit code. One that cannot start says why in one line."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(LogRateLimiter())
    if operators is not None and (wrong := clock.set_offset(os.environ)):
        print(f"balancer: {wrong}", file=sys.stderr)
        return 2
    if operators is not None:
        from balancer.net.startup import deprecation_warning  # loaded already where there is such a file

        if warning := deprecation_warning():
            logging.warning("%s", warning)
    wanted = config.max_client_sockets + config.max_backend_sockets + RESERVED_DESCRIPTORS
    if (there := raise_descriptor_limit(wanted)) < min(wanted, MIN_DESCRIPTORS):
        print(
            f"balancer: limits: {there} descriptors (ulimit -n), {MIN_DESCRIPTORS} at least", file=sys.stderr
        )
        return 2
    if there < wanted:
        clients, upstream = descriptor_quotas(there)
        config = replace(config, max_client_sockets=clients, max_backend_sockets=upstream)
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
