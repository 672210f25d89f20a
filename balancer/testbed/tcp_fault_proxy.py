"""A relay on loopback that makes a link faulty, at run time.

It listens on a loopback port that the system chooses and forwards both ways to one loopback address. It
passes on back-pressure, half-closes and resets, so that without a fault both ends see one connection.

- `Link`: the relay, an async context manager. `apply` switches a fault on, `heal` ends all of them.
- `Reset` ends connections. Faults that last until healed: `Stall`, `Delay`, `Trickle`, and for new
  connections `Refuse`, `Blackhole`.
- `Record`: what happened when. Times are milliseconds of the monotonic clock.

Bounds: 256 KiB held per connection and way, the last 100,000 records (totals go on counting).
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import ipaddress
import random
import socket
import struct
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

from balancer.endpoints import Address

HELD = 256 * 1024  # bytes held of one connection and way before its sender is no longer read
RECORDS = 100_000
DIAL_S = 0.9  # that the target gets to answer: less than the second after which Linux sends a SYN again
_AT_ONCE = struct.pack("ii", 1, 0)  # SO_LINGER: close by RST and keep nothing


class Way(Enum):
    """A direction through the link."""

    UP = "to the server"
    DOWN = "to the client"


BOTH = (Way.UP, Way.DOWN)


@dataclass(slots=True, frozen=True)
class Reset:
    """Reset both ends of the connections that are there."""


@dataclass(slots=True, frozen=True)
class Stall:
    """Read and forward nothing on these ways, not even an end. Connections stay open."""

    ways: tuple[Way, ...] = BOTH


@dataclass(slots=True, frozen=True)
class Delay:
    """Hold every byte for `ms` and up to `jitter_ms` more; order is kept."""

    ms: float
    jitter_ms: float = 0.0
    ways: tuple[Way, ...] = BOTH


@dataclass(slots=True, frozen=True)
class Trickle:
    """Pass on at most `size` bytes at a time, `every_ms` apart."""

    size: int = 1
    every_ms: float = 1.0
    ways: tuple[Way, ...] = BOTH


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse new connections; the port stays this link's."""


@dataclass(slots=True, frozen=True)
class Blackhole:
    """Take new connections and say nothing; healing resets them."""


@dataclass(slots=True, frozen=True)
class Heal:
    """End all faults: what was stalled goes on, what was swallowed is reset."""


Fault = Reset | Stall | Delay | Trickle | Refuse | Blackhole | Heal


@dataclass(slots=True, frozen=True)
class Record:
    """What happened at `at_ms`: `what` to which connection (0: to the link), with `size` bytes of data."""

    at_ms: float
    connection: int
    what: str
    way: Way | None = None
    size: int = 0


def loopback(address: Address) -> Address:
    """The address itself; raises ValueError where it is off loopback."""
    try:
        if ipaddress.ip_address(address[0]).is_loopback:
            return address
    except ValueError:
        pass
    raise ValueError(f"a link only joins loopback addresses, not {address[0]!r:.120}")


def _now() -> float:
    return time.monotonic() * 1000


class _End(asyncio.Protocol):
    """One end of a connection: reads for the flow that starts here, tells the one that ends here to wait."""

    def __init__(self, pipe: _Pipe, source: _Flow, sink: _Flow) -> None:
        self.pipe, self.source, self.sink = pipe, source, sink

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        made = cast(asyncio.Transport, transport)
        self.source.reader = self.sink.writer = made

    def data_received(self, data: bytes) -> None:
        self.source.take(data)

    def eof_received(self) -> bool:
        self.source.take(b"")
        return True  # stay open: the other way may go on

    def pause_writing(self) -> None:
        self.sink.wait(True)

    def resume_writing(self) -> None:
        self.sink.wait(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pipe.lost(exc)


@dataclass(slots=True)
class _Faults:
    """The lasting faults of one way."""

    stall: bool = False
    delay: Delay | None = None
    trickle: Trickle | None = None

    def apply(self, fault: Stall | Delay | Trickle) -> None:
        match fault:
            case Stall():
                self.stall = True
            case Delay():
                self.delay = fault
            case Trickle():
                self.trickle = fault


class _Flow:
    """One way of one connection: what was read and has not passed yet, and when it may."""

    def __init__(self, pipe: _Pipe, way: Way, faults: _Faults) -> None:
        self.pipe, self.way, self.faults = pipe, way, _Faults()
        self.reader: asyncio.Transport | None = None
        self.writer: asyncio.Transport | None = None
        self.held: deque[tuple[float, bytes]] = deque()  # due at, data; no data is the end
        self.size = 0
        self.free_at = 0.0
        self.blocked = self.reading = self.read_all = self.passed_all = False
        self.timer: asyncio.TimerHandle | None = None
        for fault in (faults.delay, faults.trickle):
            if fault is not None:
                self.apply(fault)
        self.faults.stall = faults.stall

    def apply(self, fault: Stall | Delay | Trickle) -> None:
        """Switch a lasting fault on."""
        self.faults.apply(fault)
        self.pump()

    def heal(self) -> None:
        """What is held goes on at once."""
        self.faults = _Faults()
        self.free_at = 0.0
        self.held = deque((0.0, data) for _, data in self.held)
        self.pump()

    def take(self, data: bytes) -> None:
        """Data, or the end, came from the reader."""
        delay = self.faults.delay
        wait = delay.ms + self.pipe.link.rng.uniform(0, delay.jitter_ms) if delay else 0.0
        self.held.append((_now() + wait, data))  # a later one waits for those before it
        self.size += len(data)
        self.read_all = self.read_all or not data
        self.pump()

    def wait(self, blocked: bool) -> None:
        """The writer takes no more for now, or does again."""
        self.blocked = blocked
        self.pump()

    def pump(self) -> None:
        """Pass on what may pass, and read on while there is room."""
        while self.held and self.writer and not (self.faults.stall or self.blocked or self.pipe.over):
            due, data = self.held[0]
            if (wait := max(due, self.free_at) - _now()) > 0:
                self._wake(wait)
                break
            self.held.popleft()
            if data:
                self._pass(due, data)
            else:
                self.passed_all = True
                self.writer.write_eof()
                self.pipe.link.note(self.pipe.number, "end", self.way)
                self.pipe.ended()
        self._read()

    def _pass(self, due: float, data: bytes) -> None:
        assert self.writer is not None
        trickle, most = self.faults.trickle, len(data)
        if trickle is not None:
            most = min(most, trickle.size)
            self.free_at = _now() + trickle.every_ms
        if most < len(data):
            self.held.appendleft((due, data[most:]))
        self.size -= most
        self.writer.write(data[:most])
        self.pipe.link.passed_on(self.pipe.number, self.way, most)

    def _wake(self, wait_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(wait_ms / 1000, self.pump)

    def _read(self) -> None:
        if self.reader is None or self.writer is None or self.read_all or self.pipe.over:
            return
        want = self.size < HELD and not (self.faults.stall or self.blocked)
        if want == self.reading:
            return
        self.reading = want
        if want:
            self.reader.resume_reading()
        else:
            self.reader.pause_reading()

    def stop(self) -> None:
        """No more passes."""
        if self.timer is not None:
            self.timer.cancel()
        self.held.clear()


class _Pipe:
    """One connection through the link: two ends, two flows."""

    def __init__(self, link: Link, number: int) -> None:
        self.link, self.number, self.over = link, number, False
        self.up = _Flow(self, Way.UP, link.lasting[Way.UP])
        self.down = _Flow(self, Way.DOWN, link.lasting[Way.DOWN])
        self.client = _End(self, self.up, self.down)
        self.server = _End(self, self.down, self.up)

    async def dial(self, sock: socket.socket) -> None:
        """Join the accepted socket to the target; a target that cannot be reached resets the client."""
        loop = asyncio.get_running_loop()
        try:
            accepted, _ = await loop.connect_accepted_socket(lambda: self.client, sock)
            accepted.pause_reading()
            # Guards against what was written long ago, by one who has given up since, reaching a target that
            # is back: without the link between them no connection would have come up.
            async with asyncio.timeout(DIAL_S):
                joined, _ = await loop.create_connection(lambda: self.server, *self.link.target)
            joined.pause_reading()
        except asyncio.CancelledError:
            if self.up.reader is None:
                sock.close()
            raise
        except OSError as err:
            self.end(f"not connected: {errno.errorcode.get(err.errno or 0, 'no answer')}", reset=True)
        if self.over:  # ended while it was coming up
            self._drop(reset=True)
            return
        for flow in self.flows():
            flow.pump()

    def flows(self) -> tuple[_Flow, _Flow]:
        return self.up, self.down

    def _transports(self) -> Iterator[asyncio.Transport]:
        yield from (t for t in (self.up.reader, self.up.writer) if t is not None)

    def ended(self) -> None:
        """Both ways have come to their end: close."""
        if self.up.passed_all and self.down.passed_all:
            self.end("closed", reset=False)

    def lost(self, exc: Exception | None) -> None:
        """An end is gone; a reset is passed on as one."""
        self.end("closed" if exc is None else "reset by peer", reset=exc is not None)

    def end(self, what: str, reset: bool) -> None:
        """End both ends, by reset or in order."""
        if self.over:
            return
        self.over = True
        self.link.note(self.number, what)
        self._drop(reset)

    def _drop(self, reset: bool) -> None:
        for flow in self.flows():
            flow.stop()
        for transport in self._transports():
            _close(transport, reset)
        self.link.forget(self)


def _close(transport: asyncio.Transport, reset: bool) -> None:
    if not reset:
        transport.close()
        return
    with contextlib.suppress(OSError, ValueError):  # its socket may be gone by now
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _AT_ONCE)
    transport.abort()


@dataclass(slots=True)
class Counts:
    """What a link did: connections taken, those of them that a `Blackhole` swallowed, bytes each way."""

    connections: int = 0
    swallowed: int = 0
    bytes: dict[Way, int] = field(default_factory=lambda: dict.fromkeys(Way, 0))


class Link:
    """A relay to one loopback address, as an async context manager; `address` is where it listens.

    `seed` fixes the jitter. Raises ValueError for an address off loopback.
    """

    def __init__(self, target: Address, seed: int = 0, host: str = "127.0.0.1") -> None:
        self.target = loopback(target)
        self.address: Address = loopback((host, 0))
        self.rng = random.Random(seed)
        self.counts = Counts()
        self.records: deque[Record] = deque(maxlen=RECORDS)
        self.lasting = {way: _Faults() for way in Way}
        self._swallowed: list[socket.socket] = []
        self._pipes: dict[int, _Pipe] = {}
        self._blackhole = False
        self._port: socket.socket | None = None
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Link:
        """Listen."""
        self._port = self._bound()
        self.address = (self.address[0], self._port.getsockname()[1])
        self._listen()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Reset whatever is open."""
        self._unlisten()
        if self._port is not None:
            self._port.close()
            self._port = None
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for pipe in list(self._pipes.values()):
            pipe.end("link ends", reset=True)
        self.heal()
        await asyncio.sleep(0)  # the loop closes what was aborted

    # --- faults

    def apply(self, fault: Fault) -> None:
        """Switch a fault on, for all connections and those to come."""
        self.note(0, repr(fault))
        match fault:
            case Reset():
                for pipe in list(self._pipes.values()):
                    pipe.end("reset", reset=True)
            case Refuse():
                self._unlisten()
            case Blackhole():
                self._blackhole = True
            case Heal():
                self.heal()
            case _:
                for way in fault.ways:
                    self.lasting[way].apply(fault)
                for pipe in list(self._pipes.values()):
                    for flow in pipe.flows():
                        if flow.way in fault.ways:
                            flow.apply(fault)

    def heal(self) -> None:
        """End all faults."""
        self._blackhole = False
        self.lasting = {way: _Faults() for way in Way}
        for sock in self._swallowed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _AT_ONCE)
            sock.close()
        self._swallowed = []
        if self._listener is None and self._port is not None:
            self._listen()
        for pipe in list(self._pipes.values()):
            for flow in pipe.flows():
                flow.heal()

    # --- what connections tell

    def note(self, connection: int, what: str, way: Way | None = None, size: int = 0) -> None:
        """Record what happened."""
        self.records.append(Record(_now(), connection, what, way, size))

    def passed_on(self, connection: int, way: Way, size: int) -> None:
        """Bytes were passed on."""
        self.counts.bytes[way] += size
        self.note(connection, "data", way, size)

    def forget(self, pipe: _Pipe) -> None:
        """A connection is over."""
        self._pipes.pop(pipe.number, None)

    # --- listening

    def _bound(self) -> socket.socket:
        """A socket on this link's port. The first never listens: it keeps the port while none does."""
        out = socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET)
        out.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        out.bind(self.address)
        return out

    def _listen(self) -> None:
        self._listener = self._bound()
        self._listener.setblocking(False)
        self._listener.listen(1024)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _unlisten(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _accept(self) -> None:
        while self._listener is not None:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            self.counts.connections += 1
            number = self.counts.connections
            self.note(number, "taken")
            pipe = self._pipes[number] = _Pipe(self, number)
            if self._blackhole:
                self.forget(pipe)
                self.counts.swallowed += 1
                self._swallowed.append(sock)
                continue
            task = asyncio.get_running_loop().create_task(pipe.dial(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
