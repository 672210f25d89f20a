"""A TCP proxy on loopback that injects network faults at run time.

It listens on a loopback port that the system chooses and forwards both ways to one loopback address. It
propagates back-pressure, half-closes and resets: without a fault it looks like a direct connection.

- `TcpFaultProxy`: the proxy, an async context manager. `apply` switches a fault on, `heal` ends all faults.
- `Reset` closes existing connections. The other faults last until healed: `Stall`, `Delay` and `Trickle`,
  and, for new connections, `Refuse` and `Blackhole`.
- `Record`: an event with its time in milliseconds of the monotonic clock.

The proxy holds up to 256 KiB per connection and way, and keeps the last 100,000 records;
the totals in `Counts` are not limited.
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

MAX_HELD_BYTES = 256 * 1024  # per connection and way; above it the proxy stops reading from the sender
MAX_RECORDS = 100_000
CONNECT_TIMEOUT_S = 0.9  # below the 1 s after which Linux sends a SYN again
_LINGER_FOR_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s: close() sends a RST and drops unsent data


class Way(Enum):
    """A direction of the data through the proxy."""

    UP = "to the server"
    DOWN = "to the client"


BOTH = (Way.UP, Way.DOWN)


@dataclass(slots=True, frozen=True)
class Reset:
    """Resets both ends of all existing connections."""


@dataclass(slots=True, frozen=True)
class Stall:
    """Reads and forwards nothing on these ways, not even EOF. Connections stay open."""

    ways: tuple[Way, ...] = BOTH


@dataclass(slots=True, frozen=True)
class Delay:
    """Delays every byte by `ms` plus a random share of `jitter_ms`; the order of bytes is kept."""

    ms: float
    jitter_ms: float = 0.0
    ways: tuple[Way, ...] = BOTH


@dataclass(slots=True, frozen=True)
class Trickle:
    """Forwards at most `size_bytes` at a time, with `interval_ms` between writes."""

    size_bytes: int = 1
    interval_ms: float = 1.0
    ways: tuple[Way, ...] = BOTH


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuses new connections; the proxy keeps its port."""


@dataclass(slots=True, frozen=True)
class Blackhole:
    """Accepts new connections but neither reads nor answers; healing resets them."""


@dataclass(slots=True, frozen=True)
class Heal:
    """Ends all faults: stalled connections continue, blackholed ones are reset."""


Fault = Reset | Stall | Delay | Trickle | Refuse | Blackhole | Heal


@dataclass(slots=True, frozen=True)
class Record:
    """An event at `at_ms` of one connection (number 0: of the proxy), with `size_bytes` of forwarded data."""

    at_ms: float
    connection_number: int
    event: str
    way: Way | None = None
    size_bytes: int = 0


def require_loopback(address: Address) -> Address:
    """Returns the address; raises ValueError if it is not a loopback address."""
    try:
        if ipaddress.ip_address(address[0]).is_loopback:
            return address
    except ValueError:
        pass
    raise ValueError(f"not a loopback address: {address[0]!r:.120}")


def _now_ms() -> float:
    return time.monotonic() * 1000


class _ConnectionEnd(asyncio.Protocol):
    """One end of a connection: feeds `source` with its data and pauses `sink` while it cannot write."""

    def __init__(self, connection: _Connection, source: _Flow, sink: _Flow) -> None:
        self.connection, self.source, self.sink = connection, source, sink

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        stream_transport = cast(asyncio.Transport, transport)
        self.source.reader = self.sink.writer = stream_transport

    def data_received(self, data: bytes) -> None:
        self.source.receive(data)

    def eof_received(self) -> bool:
        self.source.receive(b"")
        return True  # keep the transport open: the other way may still carry data

    def pause_writing(self) -> None:
        self.sink.set_writer_paused(True)

    def resume_writing(self) -> None:
        self.sink.set_writer_paused(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self.connection.on_end_lost(exc)


@dataclass(slots=True)
class _LastingFaults:
    """The faults of one way that last until healed."""

    is_stalled: bool = False
    delay: Delay | None = None
    trickle: Trickle | None = None

    def apply(self, fault: Stall | Delay | Trickle) -> None:
        match fault:
            case Stall():
                self.is_stalled = True
            case Delay():
                self.delay = fault
            case Trickle():
                self.trickle = fault


class _Flow:
    """One way of one connection: holds the data that was read until it may be forwarded."""

    def __init__(self, connection: _Connection, way: Way, faults: _LastingFaults) -> None:
        self.connection, self.way, self.faults = connection, way, _LastingFaults()
        self.reader: asyncio.Transport | None = None
        self.writer: asyncio.Transport | None = None
        self.held_chunks: deque[tuple[float, bytes]] = deque()  # (due time in ms, data); empty data is EOF
        self.held_bytes = 0
        self.next_write_at_ms = 0.0
        self.is_writer_paused = self.is_reading = self.has_read_eof = self.has_written_eof = False
        self.timer: asyncio.TimerHandle | None = None
        for fault in (faults.delay, faults.trickle):
            if fault is not None:
                self.apply(fault)
        self.faults.is_stalled = faults.is_stalled

    def apply(self, fault: Stall | Delay | Trickle) -> None:
        """Switches a lasting fault on."""
        self.faults.apply(fault)
        self.forward_due_data()

    def heal(self) -> None:
        """Ends all faults and forwards the held data at once."""
        self.faults = _LastingFaults()
        self.next_write_at_ms = 0.0
        self.held_chunks = deque((0.0, data) for _, data in self.held_chunks)
        self.forward_due_data()

    def receive(self, data: bytes) -> None:
        """Takes data from the reader; empty data is EOF."""
        delay = self.faults.delay
        wait_ms = delay.ms + self.connection.proxy.rng.uniform(0, delay.jitter_ms) if delay else 0.0
        self.held_chunks.append((_now_ms() + wait_ms, data))  # sent after all earlier chunks
        self.held_bytes += len(data)
        self.has_read_eof = self.has_read_eof or not data
        self.forward_due_data()

    def set_writer_paused(self, is_writer_paused: bool) -> None:
        """Stops forwarding while the write buffer is full."""
        self.is_writer_paused = is_writer_paused
        self.forward_due_data()

    def forward_due_data(self) -> None:
        """Forwards what is due, and reads more while there is room."""
        while (
            self.held_chunks
            and self.writer
            and not (self.faults.is_stalled or self.is_writer_paused or self.connection.is_closed)
        ):
            due_at_ms, data = self.held_chunks[0]
            if (wait_ms := max(due_at_ms, self.next_write_at_ms) - _now_ms()) > 0:
                self._schedule_forwarding(wait_ms)
                break
            self.held_chunks.popleft()
            if data:
                self._forward_chunk(due_at_ms, data)
            else:
                self.has_written_eof = True
                self.writer.write_eof()
                self.connection.proxy.record_event(self.connection.number, "eof", self.way)
                self.connection.close_if_finished()
        self._update_reading()

    def _forward_chunk(self, due_at_ms: float, data: bytes) -> None:
        assert self.writer is not None
        trickle, chunk_bytes = self.faults.trickle, len(data)
        if trickle is not None:
            chunk_bytes = min(chunk_bytes, trickle.size_bytes)
            self.next_write_at_ms = _now_ms() + trickle.interval_ms
        if chunk_bytes < len(data):
            self.held_chunks.appendleft((due_at_ms, data[chunk_bytes:]))
        self.held_bytes -= chunk_bytes
        self.writer.write(data[:chunk_bytes])
        self.connection.proxy.record_forwarded(self.connection.number, self.way, chunk_bytes)

    def _schedule_forwarding(self, wait_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(wait_ms / 1000, self.forward_due_data)

    def _update_reading(self) -> None:
        if self.reader is None or self.writer is None or self.has_read_eof or self.connection.is_closed:
            return
        should_read = self.held_bytes < MAX_HELD_BYTES and not (
            self.faults.is_stalled or self.is_writer_paused
        )
        if should_read == self.is_reading:
            return
        self.is_reading = should_read
        if should_read:
            self.reader.resume_reading()
        else:
            self.reader.pause_reading()

    def stop(self) -> None:
        """Drops the held data and forwards nothing more."""
        if self.timer is not None:
            self.timer.cancel()
        self.held_chunks.clear()


class _Connection:
    """One connection through the proxy: two ends, two flows."""

    def __init__(self, proxy: TcpFaultProxy, number: int) -> None:
        self.proxy, self.number, self.is_closed = proxy, number, False
        self.up = _Flow(self, Way.UP, proxy.lasting_faults[Way.UP])
        self.down = _Flow(self, Way.DOWN, proxy.lasting_faults[Way.DOWN])
        self.client_end = _ConnectionEnd(self, self.up, self.down)
        self.server_end = _ConnectionEnd(self, self.down, self.up)

    async def connect(self, sock: socket.socket) -> None:
        """Connects the accepted socket to the target; resets the client if the target cannot be reached."""
        loop = asyncio.get_running_loop()
        try:
            client_transport, _ = await loop.connect_accepted_socket(lambda: self.client_end, sock)
            client_transport.pause_reading()
            # The timeout keeps old data of a client that has given up from reaching a target that is back:
            # without the proxy between them no connection would have been established.
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                server_transport, _ = await loop.create_connection(
                    lambda: self.server_end, *self.proxy.target
                )
            server_transport.pause_reading()
        except asyncio.CancelledError:
            if self.up.reader is None:
                sock.close()
            raise
        except OSError as error:
            self.close(f"connect failed: {errno.errorcode.get(error.errno or 0, 'no answer')}", is_reset=True)
        if self.is_closed:  # closed while it was being established
            self._close_transports(is_reset=True)
            return
        for flow in self.flows():
            flow.forward_due_data()

    def flows(self) -> tuple[_Flow, _Flow]:
        return self.up, self.down

    def _transports(self) -> Iterator[asyncio.Transport]:
        yield from (transport for transport in (self.up.reader, self.up.writer) if transport is not None)

    def close_if_finished(self) -> None:
        """Closes the connection once both ways have forwarded EOF."""
        if self.up.has_written_eof and self.down.has_written_eof:
            self.close("closed", is_reset=False)

    def on_end_lost(self, exc: Exception | None) -> None:
        """Handles the loss of one end; a reset is propagated to the other."""
        self.close("closed" if exc is None else "reset by peer", is_reset=exc is not None)

    def close(self, event: str, is_reset: bool) -> None:
        """Closes both ends, with a RST if `is_reset`."""
        if self.is_closed:
            return
        self.is_closed = True
        self.proxy.record_event(self.number, event)
        self._close_transports(is_reset)

    def _close_transports(self, is_reset: bool) -> None:
        for flow in self.flows():
            flow.stop()
        for transport in self._transports():
            _close(transport, is_reset)
        self.proxy.remove_connection(self)


def _close(transport: asyncio.Transport, is_reset: bool) -> None:
    if not is_reset:
        transport.close()
        return
    with contextlib.suppress(OSError, ValueError):  # the socket may be closed already
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_FOR_RESET)
    transport.abort()


@dataclass(slots=True)
class Counts:
    """Totals: accepted connections, those of them that a `Blackhole` took, and forwarded bytes by way."""

    connections: int = 0
    blackholed: int = 0
    forwarded_bytes: dict[Way, int] = field(default_factory=lambda: dict.fromkeys(Way, 0))


class TcpFaultProxy:
    """A TCP proxy to one loopback address, as an async context manager; it listens on `address`.

    `seed` determines the jitter. Raises ValueError if an address is not a loopback address.
    """

    def __init__(self, target: Address, seed: int = 0, host: str = "127.0.0.1") -> None:
        self.target = require_loopback(target)
        self.address: Address = require_loopback((host, 0))
        self.rng = random.Random(seed)
        self.counts = Counts()
        self.records: deque[Record] = deque(maxlen=MAX_RECORDS)
        self.lasting_faults = {way: _LastingFaults() for way in Way}
        self._blackholed_sockets: list[socket.socket] = []
        self._connections: dict[int, _Connection] = {}
        self._is_blackhole = False
        self._port_holder: socket.socket | None = None
        self._listener: socket.socket | None = None
        self._connect_tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> TcpFaultProxy:
        """Starts to listen."""
        self._port_holder = self._bind_socket()
        self.address = (self.address[0], self._port_holder.getsockname()[1])
        self._start_listening()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stops listening and resets all open connections."""
        self._stop_listening()
        if self._port_holder is not None:
            self._port_holder.close()
            self._port_holder = None
        for task in self._connect_tasks:
            task.cancel()
        await asyncio.gather(*self._connect_tasks, return_exceptions=True)
        for connection in list(self._connections.values()):
            connection.close("proxy closed", is_reset=True)
        self.heal()
        await asyncio.sleep(0)  # lets the event loop close the aborted transports

    # --- faults

    def apply(self, fault: Fault) -> None:
        """Switches a fault on, for existing and new connections."""
        self.record_event(0, repr(fault))
        match fault:
            case Reset():
                for connection in list(self._connections.values()):
                    connection.close("reset", is_reset=True)
            case Refuse():
                self._stop_listening()
            case Blackhole():
                self._is_blackhole = True
            case Heal():
                self.heal()
            case _:
                for way in fault.ways:
                    self.lasting_faults[way].apply(fault)
                for connection in list(self._connections.values()):
                    for flow in connection.flows():
                        if flow.way in fault.ways:
                            flow.apply(fault)

    def heal(self) -> None:
        """Ends all faults."""
        self._is_blackhole = False
        self.lasting_faults = {way: _LastingFaults() for way in Way}
        for sock in self._blackholed_sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_FOR_RESET)
            sock.close()
        self._blackholed_sockets = []
        if self._listener is None and self._port_holder is not None:
            self._start_listening()
        for connection in list(self._connections.values()):
            for flow in connection.flows():
                flow.heal()

    # --- called by connections

    def record_event(
        self, connection_number: int, event: str, way: Way | None = None, size_bytes: int = 0
    ) -> None:
        """Records an event; connection number 0 is the proxy itself."""
        self.records.append(Record(_now_ms(), connection_number, event, way, size_bytes))

    def record_forwarded(self, connection_number: int, way: Way, size_bytes: int) -> None:
        """Counts and records forwarded bytes."""
        self.counts.forwarded_bytes[way] += size_bytes
        self.record_event(connection_number, "data", way, size_bytes)

    def remove_connection(self, connection: _Connection) -> None:
        """Removes a closed connection."""
        self._connections.pop(connection.number, None)

    # --- listening

    def _bind_socket(self) -> socket.socket:
        """Binds a socket to the port of this proxy. The first one never listens: it reserves the port."""
        sock = socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(self.address)
        return sock

    def _start_listening(self) -> None:
        self._listener = self._bind_socket()
        self._listener.setblocking(False)
        self._listener.listen(1024)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _stop_listening(self) -> None:
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
            self.record_event(number, "accepted")
            connection = self._connections[number] = _Connection(self, number)
            if self._is_blackhole:
                self.remove_connection(connection)
                self.counts.blackholed += 1
                self._blackholed_sockets.append(sock)
                continue
            task = asyncio.get_running_loop().create_task(connection.connect(sock))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)
