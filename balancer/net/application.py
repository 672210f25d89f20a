"""Assembles and runs one node: its components, signals and exit code. The only module that imports them all.

- `run`: implements `balancer run` once the configuration files are read.
- `serve`: runs the node from its first connection to its last response.

Hundreds of nodes may restart together under load, so startup must be cheap: modules that only the operators'
file enables are loaded only if there is one. `tests/system/test_startup_cost.py` limits what else is loaded.
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
MAX_LOG_LINES, LOG_WINDOW_S = 50, 10.0  # log lines allowed in each window


class LogRateLimiter(logging.Filter):
    """Limits the rate of log lines, since peers can trigger one with every message."""

    def __init__(self) -> None:
        super().__init__()
        self.window_start_s, self.count = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Pass the first lines of each window; the first line of the next one says how many were dropped."""
        if record.created - self.window_start_s >= LOG_WINDOW_S:
            if self.count > MAX_LOG_LINES:
                record.msg = f"({self.count - MAX_LOG_LINES} lines dropped) {record.getMessage()}"
                record.args = None
            self.window_start_s, self.count = record.created, 0
        self.count += 1
        return self.count <= MAX_LOG_LINES


def reload(discovery: PlatformSource) -> None:
    """Read the configuration again for the address of discovery; all else is fixed until a restart."""
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
    operator_settings: OperatorSettings | None = None,
    pending_hangups: Sequence[int] = (),
    start_phases_ms: Mapping[str, float] | None = None,
) -> None:
    """Run until SIGTERM or SIGINT, then answer all accepted requests and return; SIGHUP reloads the files.

    `operator_settings` were read from `path`, the operators' file; both are None if there is none.
    `pending_hangups` holds a SIGHUP received before the event loop could handle it: the files may have
    changed since they were read. `start_phases_ms` are the durations of the start so far, for `net/recovery`.
    """
    loop = asyncio.get_running_loop()
    node = RequestDispatcher(config)
    platform_source = Source(platform.SOURCE_NAME)
    endpoint_view = EndpointView(node, [platform_source])
    node.discovery = discovery = PlatformSource(
        config.discovery_address,
        config.settings.must_poll,
        config.settings.drain_grace_ms,
        node.now,
        endpoint_view.handle,
        lambda: endpoint_view.watch_revision(platform.SOURCE_NAME),
        node.on_list_failed,
        poll_within_ms=config.settings.poll_within_ms,
    )
    max_connections, overload_connections = connection_limits(config.max_client_sockets)
    server = HttpServer(node, max_connections, overload_connections)
    components: Components | None = None
    stop = asyncio.Event()

    def on_termination() -> None:  # deadlines count from the first of these signals
        if server.shutdown_deadlines is None:
            server.shutdown_deadlines = node.stop()
        stop.set()

    for signal_number in TERMINATION_SIGNALS:
        loop.add_signal_handler(signal_number, on_termination)

    # Runs in the next turn of the event loop at the earliest, when everything below is initialized.
    def on_hangup() -> None:
        if server.shutdown_deadlines is not None:
            return  # the node is shutting down, and its components may be closed
        reload(discovery)
        if components is not None:
            components.reload()

    loop.add_signal_handler(signal.SIGHUP, on_hangup)
    if pending_hangups:
        loop.call_soon(on_hangup)
    endpoint_view.handle(
        EndpointsListed(
            platform.SOURCE_NAME,
            platform.source_identity(config.discovery_address),
            config.configured_endpoints,
            is_cached=True,
        )
    )
    if not config.settings.must_poll:
        discovery.watch(True)
    if operator_settings is not None:
        from balancer.net.admin_socket import AdminSocket
        from balancer.net.component import RunningNode
        from balancer.net.components import Components

        running = RunningNode(
            node,
            endpoint_view,
            (platform_source,),
            AdminSocket(),
            name=config.name,
            start_phases_ms=start_phases_ms or {},
        )
        components = Components(path, operator_settings, running)
    try:
        await server.listen(config.listen_address)
        gc.freeze()
        logging.info("%s serves on %s:%d", config.name, *server.address)
        await stop.wait()
        assert server.shutdown_deadlines is not None
        await asyncio.sleep((server.shutdown_deadlines.accept_until_ms - node.now()) / 1000)
        server.stop()
        await server.finish()
        # Closing the event loop restores the default signal handlers, which would end the process early.
        signal.pthread_sigmask(signal.SIG_BLOCK, (*TERMINATION_SIGNALS, signal.SIGHUP))
        discovery.watch(False)
        node.pool.close()
    finally:
        if components is not None:
            await components.close()
    logging.info("%s ends", config.name)


def run(
    config: Config,
    path: Path | None = None,
    operator_settings: OperatorSettings | None = None,
    pending_hangups: Sequence[int] = (),
    start_phases_ms: Mapping[str, float] | None = None,
) -> int:
    """Run a node until it ends and return the exit code. A failed start prints one line with the reason."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(LogRateLimiter())
    if operator_settings is not None and (clock_error := clock.set_offset(os.environ)):
        print(f"balancer: {clock_error}", file=sys.stderr)
        return 2
    if operator_settings is not None:
        from balancer.net.startup import deprecation_warning  # already loaded if there is an operators' file

        if warning := deprecation_warning():
            logging.warning("%s", warning)
    needed_descriptors = config.max_client_sockets + config.max_backend_sockets + RESERVED_DESCRIPTORS
    if (descriptor_limit := raise_descriptor_limit(needed_descriptors)) < min(
        needed_descriptors, MIN_DESCRIPTORS
    ):
        print(
            f"balancer: limits: {descriptor_limit} descriptors (ulimit -n), {MIN_DESCRIPTORS} at least",
            file=sys.stderr,
        )
        return 2
    if descriptor_limit < needed_descriptors:
        max_client_sockets, max_backend_sockets = descriptor_quotas(descriptor_limit)
        config = replace(
            config, max_client_sockets=max_client_sockets, max_backend_sockets=max_backend_sockets
        )
        logging.warning(
            "limits.sockets is %d, the process may hold %d (ulimit -n): %d for clients, %d for servers",
            needed_descriptors,
            descriptor_limit,
            max_client_sockets,
            max_backend_sockets,
        )
    try:
        uvloop.run(serve(config, path, operator_settings, pending_hangups, start_phases_ms))
    except OSError as err:
        print(f"balancer: listen: {err}", file=sys.stderr)
        return 2
    return 0
