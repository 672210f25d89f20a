"""UDP proxies on loopback that inject faults into the datagrams between programs, for each way separately.

    async with UdpFaultProxy(("127.0.0.1", 7420), seed=1) as path:
        path.add_faults((Way.UP,), lost=0.2, delay_ms=30.0)

A datagram to `address` is forwarded to the target from a separate socket for each sender: the target sees one
stable source address per sender, and its answers to that address go back to that sender. Faults last until
`heal`. Random decisions depend on the seed, the way, and the order in which datagrams arrive. `cut` closes
the port: a sender gets an ICMP port-unreachable error and nothing is forwarded.

A proxy serves up to 256 senders (the one that has sent nothing for the longest time is removed) and holds up
to 256 KiB per way. `UdpFaultMesh` connects several programs, with separate faults for each pair of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from balancer.endpoints import Address
from balancer.testbed.tcp_fault_proxy import (
    BOTH,
    MAX_HELD_BYTES,
    Way,
    require_loopback,
)

MAX_SENDERS = 256
MAX_SWAP_WAIT_MS = 100.0  # how long a swapped datagram waits for the next one at most
MAX_DATAGRAM_BYTES = 65_535


@dataclass(slots=True, frozen=True)
class DatagramFaults:
    """The faults of one way.

    `lost`, `doubled` and `swapped` (overtaken by the next datagram) are probabilities; 1.0 for `lost`
    silences the way. Each datagram is delayed by `delay_ms` plus a random share of `jitter_ms`. `bytes_s`
    limits the rate in bytes per second; 0 sets no limit.
    """

    lost: float = 0.0
    doubled: float = 0.0
    swapped: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_s: float = 0.0


class _Channel:
    """One way of a path: applies the faults to each datagram and holds those that are delayed."""

    def __init__(self, way: Way, seed: object) -> None:
        self.faults, self.rng = DatagramFaults(), random.Random(f"{seed}:{way.name}")
        self.counts: Counter[str] = Counter()  # keys: passed, lost, doubled, swapped, full
        self.held_bytes, self.next_send_at_ms = 0, 0.0
        self.swap_candidates: dict[socket.socket, tuple[asyncio.TimerHandle, bytes, Address]] = {}
        self.timers: set[asyncio.TimerHandle] = set()

    def receive(self, data: bytes, output_socket: socket.socket, destination: Address) -> None:
        """Applies the faults to a datagram.

        Draws four numbers whatever the faults are, so that a seed gives the same draws under all faults.
        """
        loss_draw, duplicate_draw, swap_draw, jitter_draw = (self.rng.random() for _ in range(4))
        faults = self.faults
        if loss_draw < faults.lost:
            self.counts["lost"] += 1
            return
        if swap_draw < faults.swapped and output_socket not in self.swap_candidates:
            self.counts["swapped"] += 1
            self.swap_candidates[output_socket] = (
                self._call_later(MAX_SWAP_WAIT_MS, self._release_swapped, output_socket),
                data,
                destination,
            )
            return
        wait_ms = faults.delay_ms + jitter_draw * faults.jitter_ms
        if faults.bytes_s:
            now_ms = asyncio.get_running_loop().time() * 1000
            self.next_send_at_ms = max(self.next_send_at_ms, now_ms) + len(data) * 1000 / faults.bytes_s
            wait_ms += self.next_send_at_ms - now_ms
        copies = 1 + (duplicate_draw < faults.doubled)
        self.counts["doubled"] += copies - 1
        for _ in range(copies):
            self._send_after(wait_ms, data, output_socket, destination)
        self._release_swapped(output_socket)

    def _release_swapped(self, output_socket: socket.socket) -> None:
        if (candidate := self.swap_candidates.pop(output_socket, None)) is not None:
            candidate[0].cancel()
            self._send_after(self.faults.delay_ms, candidate[1], output_socket, candidate[2])

    def _send_after(
        self, wait_ms: float, data: bytes, output_socket: socket.socket, destination: Address
    ) -> None:
        if wait_ms <= 0:
            self._send(data, output_socket, destination)
        elif self.held_bytes + len(data) > MAX_HELD_BYTES:
            self.counts["full"] += 1
        else:
            self.held_bytes += len(data)
            self._call_later(wait_ms, self._send_held, data, output_socket, destination)

    def _send_held(self, data: bytes, output_socket: socket.socket, destination: Address) -> None:
        self.held_bytes -= len(data)
        self._send(data, output_socket, destination)

    def _send(self, data: bytes, output_socket: socket.socket, destination: Address) -> None:
        with contextlib.suppress(OSError):  # no listener, or the socket is closed: the datagram is lost
            output_socket.sendto(data, destination)
            self.counts["passed"] += 1

    def _call_later(
        self, wait_ms: float, callback: Callable[..., None], *args: object
    ) -> asyncio.TimerHandle:
        def run() -> None:
            self.timers.discard(handle)
            callback(*args)

        handle = asyncio.get_running_loop().call_later(wait_ms / 1000, run)
        self.timers.add(handle)
        return handle

    def drop_held(self) -> None:
        """Drops all held datagrams."""
        for timer in self.timers:
            timer.cancel()


def _open_socket(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(address)
    return sock


class UdpPath:
    """The two ways between two programs, each with its own faults."""

    def __init__(self, channels: dict[Way, _Channel]) -> None:
        self.channels = channels

    def add_faults(self, ways: Iterable[Way] = BOTH, **faults: float) -> None:
        """Sets these fields of `DatagramFaults`; the other fields keep their values."""
        for way in ways:
            self.channels[way].faults = replace(self.channels[way].faults, **faults)

    def cut(self) -> None:
        """Drops all datagrams of the way up."""
        self.add_faults((Way.UP,), lost=1.0)

    def heal(self, ways: Iterable[Way] = BOTH) -> None:
        """Ends the faults of these ways and a cut; held datagrams are still sent at their planned time."""
        for way in ways:
            self.channels[way].faults, self.channels[way].next_send_at_ms = DatagramFaults(), 0.0


class UdpFaultMesh:
    """UDP proxies between programs that tell each other their addresses: each has one proxy address for all.

    A datagram to the proxy address of a program is forwarded from the proxy address of its sender. Thus all
    programs see a program at the same address, both as a source and in messages about it. `addresses` holds
    the proxy addresses by name, `paths` the path from one program to another by both names. Datagrams from
    unknown sources are dropped.
    """

    def __init__(self, targets: dict[str, Address], host: str, seed: int = 0) -> None:
        self.targets = {name: require_loopback(address) for name, address in targets.items()}
        names_by_address = {address: name for name, address in self.targets.items()}
        channels = {(a, b): _Channel(Way.UP, f"{seed}:{a}:{b}") for a in targets for b in targets if a != b}
        self.paths = {
            (a, b): UdpPath({Way.UP: channel, Way.DOWN: channels[b, a]})
            for (a, b), channel in channels.items()
        }
        self._sockets = {
            name: self._bind_socket(require_loopback((host, 0)), name, names_by_address, channels)
            for name in targets
        }
        self.addresses: dict[str, Address] = {
            program: sock.getsockname()[:2] for program, sock in self._sockets.items()
        }

    def _bind_socket(
        self,
        address: Address,
        receiver: str,
        names_by_address: dict[Address, str],
        channels: dict[tuple[str, str], _Channel],
    ) -> socket.socket:
        def read_datagrams() -> None:
            with contextlib.suppress(OSError):  # nothing left to read
                while True:
                    data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
                    if (sender := names_by_address.get(source[:2], receiver)) != receiver:
                        channels[sender, receiver].receive(
                            data, self._sockets[sender], self.targets[receiver]
                        )

        sock = _open_socket(address)
        asyncio.get_running_loop().add_reader(sock, read_datagrams)
        return sock

    def close(self) -> None:
        """Closes all sockets and drops held datagrams."""
        for path in self.paths.values():
            path.channels[Way.UP].drop_held()
        for sock in self._sockets.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


class UdpFaultProxy(UdpPath):
    """A UDP proxy to one loopback address, as an async context manager; it listens on `address`.

    Raises ValueError if an address is not a loopback address.
    """

    def __init__(self, target: Address, seed: int = 0, host: str = "127.0.0.1") -> None:
        super().__init__({way: _Channel(way, seed) for way in Way})
        self.target, self.address = require_loopback(target), require_loopback((host, 0))
        self._front_socket: socket.socket | None = None
        self._sender_sockets: dict[Address, socket.socket] = {}  # by sender; the last one to send is last

    async def __aenter__(self) -> UdpFaultProxy:
        """Starts to listen."""
        self._open_front_socket()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Closes all sockets and drops held datagrams."""
        for channel in self.channels.values():
            channel.drop_held()
        self.cut()
        while self._sender_sockets:
            self._remove_oldest_sender()

    def cut(self) -> None:
        """Closes the port."""
        if self._front_socket is not None:
            asyncio.get_running_loop().remove_reader(self._front_socket)
            self._front_socket.close()
            self._front_socket = None

    def heal(self, ways: Iterable[Way] = BOTH) -> None:
        """Ends the faults of these ways, and a cut regardless of the ways."""
        super().heal(ways)
        if self._front_socket is None:
            self._open_front_socket()

    # --- sockets: the front socket receives from senders, one socket per sender receives from the target

    def _open_front_socket(self) -> None:
        self._front_socket = self._bind_socket(self.address, self._read_upward)
        self.address = self._front_socket.getsockname()[:2]

    def _bind_socket(self, address: Address, callback: Callable[..., None], *args: object) -> socket.socket:
        sock = _open_socket(address)
        asyncio.get_running_loop().add_reader(sock, callback, sock, *args)
        return sock

    def _remove_oldest_sender(self) -> None:
        oldest = self._sender_sockets.pop(next(iter(self._sender_sockets)))
        asyncio.get_running_loop().remove_reader(oldest)
        oldest.close()

    def _read_upward(self, front_socket: socket.socket) -> None:
        with contextlib.suppress(OSError):  # nothing left to read
            while True:
                data, sender = front_socket.recvfrom(MAX_DATAGRAM_BYTES)
                sender_socket = self._sender_sockets.pop(sender, None)
                if sender_socket is None:
                    if len(self._sender_sockets) >= MAX_SENDERS:
                        self._remove_oldest_sender()
                    sender_socket = self._bind_socket((self.address[0], 0), self._read_downward, sender)
                self._sender_sockets[sender] = sender_socket
                self.channels[Way.UP].receive(data, sender_socket, self.target)

    def _read_downward(self, sender_socket: socket.socket, sender: Address) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, source = sender_socket.recvfrom(MAX_DATAGRAM_BYTES)
                # Only datagrams of the target are forwarded, and none while the port is closed.
                if source[:2] == self.target and self._front_socket is not None:
                    self.channels[Way.DOWN].receive(data, self._front_socket, sender)
