"""When the input of a connection arrived, as the system tells it: the event loop may read it much later."""

from __future__ import annotations

import math
import socket
import sys
import time

from balancer.net.input_queue import READ_BUFFER_BYTES

# tcp_info.tcpi_last_data_recv in <linux/tcp.h>: milliseconds since data was received, counted in ticks.
LAST_DATA_RECEIVED = slice(52, 56)
CLOCK_MONOTONIC_COARSE = 6  # <linux/time.h>; advances with each tick
MAX_TICK_MS = 10.0  # of a system that does not tell


def _tick_ms() -> float:
    try:
        return time.clock_getres(CLOCK_MONOTONIC_COARSE) * 1000
    except OSError:
        return MAX_TICK_MS


# By how much the system may understate an age: a tick, and what rounding to milliseconds cuts off.
RESOLUTION_MS = _tick_ms() + 1.0


def max_age_ms(sock: socket.socket, byte_count: int) -> float:
    """Return for how long at most the input of a connection has waited; infinite if that is unknown.

    `byte_count` is how much input there is. The system knows only when the last of it came: if it fills a
    read, there may be more, and the first may be much older.
    """
    if byte_count >= READ_BUFFER_BYTES:
        return math.inf
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop)
    except OSError:
        return math.inf
    if len(tcp_info) < LAST_DATA_RECEIVED.stop:
        return math.inf
    return int.from_bytes(tcp_info[LAST_DATA_RECEIVED], sys.byteorder) + RESOLUTION_MS
