"""Starts one node: configuration, signals, exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from dillport.decide.membership import Listed, Source
from dillport.net.config import Config, ConfigError, load
from dillport.net.fleet import Fleet
from dillport.net.front import Front
from dillport.net.node import Node
from dillport.net.sources import platform
from dillport.net.sources.platform import PlatformSource

LOG_LINES, LOG_TIME = 50, 10.0  # at most so many lines in so many seconds
ACCEPT = 0.8  # s to go on accepting after SIGTERM: connections come for 0.4 s more
LAST = 3.2  # s after SIGTERM when the node ends, whatever is open


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


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT, then answer what was taken and return; SIGHUP reads the file again."""
    loop = asyncio.get_running_loop()
    node = Node(config)
    fleet = Fleet(node, [Source(platform.NAME)])
    node.discovery = discovery = PlatformSource(
        config.discovery, config.settings.must_ask, node.now, fleet.hand,
        lambda: fleet.resume(platform.NAME), node.list_failed,
    )  # fmt: skip
    front = Front(node, config.client_sockets)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload, discovery)
    fleet.hand(Listed(platform.NAME, platform.identity(config.discovery), config.known, saved=True))
    if not config.settings.must_ask:
        discovery.watch(True)
    await front.listen(config.listen)
    gc.freeze()
    logging.info("%s serves on %s:%d", config.name, *front.address)
    await stop.wait()
    node.stopping = True
    await asyncio.sleep(ACCEPT)
    front.stop()
    await node.finish(LAST - ACCEPT)
    discovery.watch(False)
    node.pool.close()
    await asyncio.sleep(0.05)  # the last answers leave
    logging.info("%s ends", config.name)


def main() -> int:
    """Entry point; a bad configuration ends with one plain line on standard error."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(Brake())
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"dillport: {' '.join(str(err).split())}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except OSError as err:
        print(f"dillport: listen: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
