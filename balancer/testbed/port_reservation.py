"""Ports on loopback that stay one's own between two lives of who listens there."""

from __future__ import annotations

import socket


def keep_port() -> socket.socket:
    """A free port, kept for who listens there with SO_REUSEADDR, also while they are down.

    Guards against another process that is given the port between two lives of a server: bound, but not
    listening, this socket refuses connections and lets the server in beside it.
    """
    kept = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    kept.bind(("127.0.0.1", 0))
    return kept
