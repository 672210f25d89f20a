"""Ports on loopback that stay reserved while the server that uses them is down."""

from __future__ import annotations

import socket


def reserve_port() -> socket.socket:
    """Bind a free port and return the socket that reserves it for a server that sets SO_REUSEADDR.

    Without the reservation another process may get the port between two runs of the server. The socket is
    bound but does not listen: connections are refused, and the server can bind the same port.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation
