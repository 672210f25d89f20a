"""Limits on the descriptors that clients and backends may hold, and on the length of a message.

The module computes with numbers only: it uses no sockets and no clock. Memory: `core/memory_budget`.
"""

from __future__ import annotations

from typing import NamedTuple

RESERVED_DESCRIPTORS = 32  # for the listener, discovery, the event loop and the log
MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + 4
CLIENT_DESCRIPTOR_RATIO = 0.6  # of the unreserved descriptors; backends get the rest
MAX_OVERLOAD_CONNECTIONS = 16  # connections over the limit that still get one response
OVERLOAD_CONNECTIONS_DIVISOR = 8  # they take at most an eighth of the clients' descriptors

MAX_HEAD_BYTES = 16 * 1024  # of a request or a response
MAX_FORWARDED_BODY_BYTES = 1024 * 1024
MAX_FRAMING_BYTES = 512 * 1024  # of a message besides its body: one-byte chunks take six times the body


class DescriptorQuotas(NamedTuple):
    """How many descriptors clients and backends may hold."""

    clients: int
    backends: int


class ConnectionLimits(NamedTuple):
    """How many connections are served, and how many more get one response before they are closed."""

    served: int
    overload: int


def descriptor_quotas(descriptors: int) -> DescriptorQuotas:
    """Divide the descriptors of the process, which are at least `MIN_DESCRIPTORS`."""
    clients = int((descriptors - RESERVED_DESCRIPTORS) * CLIENT_DESCRIPTOR_RATIO)
    return DescriptorQuotas(clients, descriptors - RESERVED_DESCRIPTORS - clients)


def connection_limits(client_descriptors: int) -> ConnectionLimits:
    """Divide the clients' descriptors, so that an overload never uses the reserved ones."""
    overload = min(MAX_OVERLOAD_CONNECTIONS, client_descriptors // OVERLOAD_CONNECTIONS_DIVISOR)
    return ConnectionLimits(client_descriptors - overload, overload)
