"""The listening socket: accepts connections, and rejects them without a free slot or descriptor.

- `Listener`: its own accept loop, as those of the event loops either end or drop connections on EMFILE.
- `raise_descriptor_limit`: raises the process's limit on descriptors (getrlimit(2), RLIMIT_NOFILE).
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import resource
import socket
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from balancer.endpoints import Address

if TYPE_CHECKING:
    from balancer.net.accept_backlog import AcceptBacklog

log = logging.getLogger(__name__)

BACKLOG = 1024
ACCEPT_BATCH = 64  # between two turns of the loop
ACCEPT_PAUSE_S = 0.1  # until the next attempt if the reserve descriptor does not help either
BACKLOG_POLL_S = 0.005  # between looks for a free slot while connections wait
LOG_INTERVAL_S = 10.0  # between log lines about a shortage of descriptors
SERVICE_UNAVAILABLE_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 5\r\n\r\nbusy\n"
)
DESCRIPTOR_ERRNOS = (errno.EMFILE, errno.ENFILE)


class Listener:
    """Accepts connections on one address and makes a protocol of each.

    One descriptor is kept in reserve. On EMFILE and ENFILE (accept(2)) it is closed for a moment, to answer a
    waiting client with 503; else connections hang in the kernel while the loop spins over them. Accepts
    connections while there are slots, and `ACCEPT_BATCH` between two turns of the loop.
    """

    def __init__(
        self,
        protocol_factory: Callable[[socket.socket, float], asyncio.BaseProtocol],
        has_slot: Callable[[bool], bool],
        make_slots: Callable[[int], int],
    ) -> None:
        """`protocol_factory` is called with each accepted socket and for how long it may have waited, in s.

        `has_slot` is called before each accept, and with True for a slot that only gets one response. Without
        a slot `make_slots` is, with the number of connections that wait; it returns how many slots become
        free in a turn or two of the loop.
        """
        self.protocol_factory, self.has_slot, self.make_slots = protocol_factory, has_slot, make_slots
        self.loop = asyncio.get_running_loop()
        # Accepted, without a transport yet.
        self.connecting: dict[asyncio.BaseProtocol, asyncio.Task[object]] = {}
        self.sock: socket.socket | None = None
        self._reserve_descriptor: int | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self._logged_at_s = -LOG_INTERVAL_S
        self._backlog: AcceptBacklog | None = None  # set once a connection had to wait

    async def listen(self, address: Address) -> None:
        """Listen on this address only; raises OSError."""
        infos = await self.loop.getaddrinfo(*address, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
        family, _, _, _, socket_address = infos[0]
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            sock.bind(socket_address)
            sock.listen(BACKLOG)
        except OSError as err:
            sock.close()
            raise OSError(err.errno, f"{address[0]}:{address[1]}: {err.strerror}") from None
        self.sock = sock
        self._open_reserve()
        self.loop.add_reader(sock, self._on_readable)

    def close(self) -> None:
        """Accept the whole backlog, then stop listening; accepted connections still get their protocol.

        The kernel resets the connections that wait in the backlog of a listening socket when it is closed.
        """
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self.sock is not None:
            self._accept(2 * BACKLOG, is_last=True)
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        self._close_reserve()

    def on_connected(self, protocol: asyncio.BaseProtocol) -> None:
        """Record that the protocol has its transport."""
        self.connecting.pop(protocol, None)

    def _on_readable(self) -> None:
        self._accept(ACCEPT_BATCH)

    def _accept(self, max_accepts: int, is_last: bool = False) -> None:
        """Accept up to `max_accepts`; without a slot a connection waits for one that becomes free.

        It is rejected if there is none, if too many wait for too long, or with `is_last`.
        """
        for number in range(max_accepts):
            if self.sock is None:
                return
            # The socket is readable, so at least one connection waits, whatever the system tells.
            if not (self.has_slot(False) or is_last) and self._leave_waiting(int(number == 0)):
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                if self._backlog is not None:
                    self._backlog.clear()
                return
            except ConnectionError:
                continue  # the client has already disconnected
            except OSError as err:
                if err.errno in DESCRIPTOR_ERRNOS and self._reject_with_reserve():
                    continue
                if not is_last:
                    self._log_limited(
                        f"listener: accept failed: {err.strerror}; next attempt in {ACCEPT_PAUSE_S:g} s"
                    )
                    self._pause(ACCEPT_PAUSE_S)
                return
            self._handle_accepted(sock)

    def _handle_accepted(self, sock: socket.socket) -> None:
        max_wait_s = 0.0
        if (backlog := self._backlog) is not None:
            from balancer.net.accept_backlog import has_ended

            backlog.group_count -= 1
            max_wait_s = backlog.max_wait_s(self.loop.time())
            if max_wait_s and has_ended(sock):
                sock.close()  # the client gave up while it waited
                return
        if self.has_slot(True):
            self._connect(sock, max_wait_s)
        else:
            _reject(sock)

    def _leave_waiting(self, min_count: int) -> bool:
        """Leave the connections in the backlog for slots that become free; False if the next is rejected."""
        assert self.sock is not None
        if (backlog := self._backlog) is None:
            from balancer.net.accept_backlog import AcceptBacklog

            backlog = self._backlog = AcceptBacklog(self.sock)
        if not (waiting_count := max(min_count, backlog.waiting_count())):
            backlog.clear()
            return True
        has_waited = backlog.has_waited(self.loop.time(), waiting_count)
        if self.make_slots(min(waiting_count, ACCEPT_BATCH)) >= waiting_count:
            return True
        if not has_waited:
            self._pause(BACKLOG_POLL_S)
        return not has_waited

    def _connect(self, sock: socket.socket, max_wait_s: float) -> None:
        sock.setblocking(False)
        protocol = self.protocol_factory(sock, max_wait_s)
        task: asyncio.Task[object] = self.loop.create_task(
            self.loop.connect_accepted_socket(lambda: protocol, sock)
        )
        self.connecting[protocol] = task
        task.add_done_callback(partial(self._on_connect_done, protocol, sock))

    def _on_connect_done(
        self, protocol: asyncio.BaseProtocol, sock: socket.socket, task: asyncio.Task[object]
    ) -> None:
        self.connecting.pop(protocol, None)
        if task.cancelled() or task.exception() is not None:
            sock.close()

    # --- shortage of descriptors

    def _reject_with_reserve(self) -> bool:
        """Reject one connection with the reserve descriptor; False without one, or without a connection."""
        assert self.sock is not None
        self._log_limited("listener: no descriptor for a client: new connections get 503")
        if self._reserve_descriptor is None:
            return False
        self._close_reserve()
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return False
        else:
            _reject(sock)
            return True
        finally:
            self._open_reserve()

    def _pause(self, duration_s: float) -> None:
        """Pause accepting: the loop would spin over a connection that it cannot accept."""
        assert self.sock is not None
        self.loop.remove_reader(self.sock)
        self._resume_timer = self.loop.call_later(duration_s, self._resume)

    def _resume(self) -> None:
        if self.sock is not None:
            self._open_reserve()
            self.loop.add_reader(self.sock, self._on_readable)

    def _open_reserve(self) -> None:
        if self._reserve_descriptor is None:
            with contextlib.suppress(OSError):
                self._reserve_descriptor = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def _close_reserve(self) -> None:
        if self._reserve_descriptor is not None:
            os.close(self._reserve_descriptor)
            self._reserve_descriptor = None

    def _log_limited(self, text: str) -> None:
        if self.loop.time() - self._logged_at_s >= LOG_INTERVAL_S:
            self._logged_at_s = self.loop.time()
            log.warning("%s", text)


def _reject(sock: socket.socket) -> None:
    """Answer 503 and close. Input is read first: a close over unread bytes would reset the connection."""
    with sock, contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.send(SERVICE_UNAVAILABLE_RESPONSE)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(64 * 1024)


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the soft limit towards `wanted` as far as the hard one allows; returns what is available."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    new_soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    with contextlib.suppress(OSError, ValueError):  # not permitted: the present limit stays
        resource.setrlimit(resource.RLIMIT_NOFILE, (new_soft, hard))
        soft = new_soft
    return min(wanted, soft)
