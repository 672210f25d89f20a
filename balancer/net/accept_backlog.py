"""Connections that wait in the backlog of the listening socket while every slot is taken."""

from __future__ import annotations

import socket
import sys

MAX_WAIT_S = 0.05  # for slots that become free; then what exceeds them is rejected
# tcp_info.tcpi_unacked in <linux/tcp.h>: of a listening socket, the connections that wait.
WAITING_COUNT = slice(24, 28)


class AcceptBacklog:
    """Decides how long connections wait, in groups: all that waited as the group before was dealt with."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.since_s: float | None = None  # when the group was first looked at
        self.arrived_after_s = 0.0  # an earliest time of its arrival
        self.group_count = 0

    def __repr__(self) -> str:
        return f"<AcceptBacklog {self.group_count} since {self.since_s}>"

    def waiting_count(self) -> int:
        """Return how many connections wait to be accepted; 1 if the system does not tell."""
        try:
            tcp_info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, WAITING_COUNT.stop)
        except OSError:
            return 1
        return int.from_bytes(tcp_info[WAITING_COUNT], sys.byteorder)

    def has_waited(self, now_s: float, waiting_count: int) -> bool:
        """Whether the next connection has waited for as long as it may."""
        if self.since_s is None or self.group_count <= 0:
            self.arrived_after_s = now_s if self.since_s is None else self.since_s
            self.since_s, self.group_count = now_s, waiting_count
        return now_s - self.since_s >= MAX_WAIT_S

    def max_wait_s(self, now_s: float) -> float:
        """Return for how long at most the next connection has waited."""
        return 0.0 if self.since_s is None else now_s - self.arrived_after_s

    def clear(self) -> None:
        """Note that no connection waits any more."""
        self.since_s, self.group_count = None, 0


def has_ended(sock: socket.socket) -> bool:
    """Whether a client has closed its connection and has sent nothing."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
