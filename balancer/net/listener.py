"""The listening socket: accepts, hands on, and turns away where there is no room or no descriptor.

- `Listener`: its own accept loop, as the event loop's own ones either end or drop connections on EMFILE.
- `fit`: a wanted number of descriptors held against the process's limit (getrlimit(2), RLIMIT_NOFILE).
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import errno
import logging
import os
import resource
import socket
from collections.abc import Callable
from functools import partial

from balancer.endpoints import Address

log = logging.getLogger(__name__)

BACKLOG = 1024
ACCEPT_BATCH = 64  # connections taken between two turns of the loop
ACCEPT_PAUSE_S = 0.1  # s until the next try where not even the spare descriptor helps
LOG_INTERVAL_S = 10.0  # s between two lines about it
SERVICE_UNAVAILABLE_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 5\r\n\r\nbusy\n"
)
DESCRIPTOR_ERRNOS = (errno.EMFILE, errno.ENFILE)


class SlotState(enum.Enum):
    """What becomes of the next connection."""

    FREE = enum.auto()  # it is taken
    SOON_FREE = enum.auto()  # it waits until one that is being closed is gone, a turn or two of the loop
    NONE = enum.auto()  # it is turned away


class Listener:
    """Accepts connections on one address and makes a protocol of each.

    One descriptor is kept spare: on EMFILE and ENFILE (accept(2)) it is given up for a moment, to answer 503
    to who waits. Guards against connections that hang in the kernel while the loop spins over them. Bound: as
    many as `room` allows, and `BATCH` between two turns of the loop.
    """

    def __init__(self, make: Callable[[], asyncio.Protocol], room: Callable[[], SlotState]) -> None:
        """`room` is asked before each connection is accepted."""
        self.make, self.slot_state = make, room
        self.loop = asyncio.get_running_loop()
        self.coming: dict[asyncio.Protocol, asyncio.Task[object]] = {}  # accepted, no transport yet
        self.sock: socket.socket | None = None
        self._spare: int | None = None
        self._resting: asyncio.TimerHandle | None = None
        self._said = -LOG_INTERVAL_S

    async def listen(self, address: Address) -> None:
        """Listen on this address only; raises OSError."""
        found = await self.loop.getaddrinfo(*address, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
        family, _, _, _, place = found[0]
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            sock.bind(place)
            sock.listen(BACKLOG)
        except OSError as err:
            sock.close()
            raise OSError(err.errno, f"{address[0]}:{address[1]}: {err.strerror}") from None
        self.sock = sock
        self._keep_spare()
        self.loop.add_reader(sock, self._ready)

    def close(self) -> None:
        """Accept all that wait, then listen no more; what is on its way to a protocol gets there.

        Guards against the reset that the kernel sends to who waits when a listening socket is closed.
        """
        if self._resting is not None:
            self._resting.cancel()
        if self.sock is not None:
            self._accept(2 * BACKLOG, last=True)
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        self._drop_spare()

    def arrived(self, protocol: asyncio.Protocol) -> None:
        """It has its transport."""
        self.coming.pop(protocol, None)

    def _ready(self) -> None:
        self._accept(ACCEPT_BATCH)

    def _accept(self, most: int, last: bool = False) -> None:
        """Accept so many; who finds no place waits for one, but the `last` are turned away."""
        for _ in range(most):
            room = self.slot_state()
            if self.sock is None or (room is SlotState.SOON_FREE and not last):
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue  # it has left already
            except OSError as err:
                if err.errno in DESCRIPTOR_ERRNOS and self._relieve():
                    continue
                if not last:
                    self._rest(err)
                return
            if room is SlotState.FREE:
                self._hand_on(sock)
            else:
                _reject(sock)

    def _hand_on(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        protocol = self.make()
        task: asyncio.Task[object] = self.loop.create_task(
            self.loop.connect_accepted_socket(lambda: protocol, sock)
        )
        self.coming[protocol] = task
        task.add_done_callback(partial(self._handed_on, protocol, sock))

    def _handed_on(self, protocol: asyncio.Protocol, sock: socket.socket, task: asyncio.Task[object]) -> None:
        self.coming.pop(protocol, None)
        if task.cancelled() or task.exception() is not None:
            sock.close()

    # --- no descriptor left

    def _relieve(self) -> bool:
        """Turn one away with the spare descriptor; False where there is none, or nobody to turn away."""
        assert self.sock is not None
        self._say("no descriptor for a client, new ones get 503")
        if self._spare is None:
            return False
        self._drop_spare()
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return False
        else:
            _reject(sock)
            return True
        finally:
            self._keep_spare()

    def _rest(self, err: OSError) -> None:
        """Guards against a loop that spins over a connection which it cannot accept."""
        self._say(f"accept: {err.strerror}; the next try is in {ACCEPT_PAUSE_S:g} s")
        assert self.sock is not None
        self.loop.remove_reader(self.sock)
        self._resting = self.loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self.sock is not None:
            self._keep_spare()
            self.loop.add_reader(self.sock, self._ready)

    def _keep_spare(self) -> None:
        if self._spare is None:
            with contextlib.suppress(OSError):
                self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def _drop_spare(self) -> None:
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None

    def _say(self, text: str) -> None:
        if self.loop.time() - self._said >= LOG_INTERVAL_S:
            self._said = self.loop.time()
            log.warning("%s", text)


def _reject(sock: socket.socket) -> None:
    """Answer and close. What has come is read first, as a close over unread bytes resets the answer away."""
    with sock, contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.send(SERVICE_UNAVAILABLE_RESPONSE)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(64 * 1024)


def raise_descriptor_limit(wanted: int) -> int:
    """How many of the wanted descriptors there are; raises the soft limit as far as the hard one allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    most = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    with contextlib.suppress(OSError, ValueError):  # not allowed: what is there has to do
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
        soft = most
    return min(wanted, soft)
