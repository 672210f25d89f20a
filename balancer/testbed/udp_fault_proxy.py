"""A relay for datagrams on loopback that makes a path between two programs faulty, each way by itself.

    async with Datagrams(("127.0.0.1", 7420), seed=1) as path:
        path.set((Way.UP,), lost=0.2, delay_ms=30.0)

What comes to `address` goes on to the target from a socket of the link's own, one for each sender: the target
sees one stable source address per sender, and what it sends there goes back to that sender. Faults last until
`heal`; what is left to chance is drawn on the seed, by way, in the order in which datagrams come. `cut` shuts
the port, so that the sender is told (ICMP port unreachable) and nothing passes.

Bounds: 256 senders (the one that was silent longest is forgotten), 256 KiB held each way.
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
    HELD,
    Way,
    loopback,
)

SENDERS = 256
SWAP_MS = 100.0  # that one which is to be overtaken waits for the next at the most
BIGGEST = 65_535  # bytes


@dataclass(slots=True, frozen=True)
class Weather:
    """What is wrong with one way.

    `lost`, `doubled` and `swapped` (overtaken by the next one) are shares; all lost is a silent way. Each
    datagram is held for `delay_ms` and up to `jitter_ms` more, and `bytes_s` pass a second (0: all).
    """

    lost: float = 0.0
    doubled: float = 0.0
    swapped: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_s: float = 0.0


class _Lane:
    """One way: what happens to each datagram, and what is held of it."""

    def __init__(self, way: Way, seed: object) -> None:
        self.weather, self.rng = Weather(), random.Random(f"{seed}:{way.name}")
        self.counts: Counter[str] = Counter()  # passed, lost, doubled, swapped, full
        self.held, self.free_at = 0, 0.0
        self.late: dict[socket.socket, tuple[asyncio.TimerHandle, bytes, Address]] = {}
        self.timers: set[asyncio.TimerHandle] = set()

    def take(self, data: bytes, via: socket.socket, to: Address) -> None:
        """One came; the draws are the same whatever the weather, so that a seed means the same."""
        lost, doubled, swapped, jitter = (self.rng.random() for _ in range(4))
        now = self.weather
        if lost < now.lost:
            self.counts["lost"] += 1
            return
        if swapped < now.swapped and via not in self.late:
            self.counts["swapped"] += 1
            self.late[via] = (self._after(SWAP_MS, self._overtaken, via), data, to)
            return
        wait = now.delay_ms + jitter * now.jitter_ms
        if now.bytes_s:
            loop_ms = asyncio.get_running_loop().time() * 1000
            self.free_at = max(self.free_at, loop_ms) + len(data) * 1000 / now.bytes_s
            wait += self.free_at - loop_ms
        copies = 1 + (doubled < now.doubled)
        self.counts["doubled"] += copies - 1
        for _ in range(copies):
            self._hold(wait, data, via, to)
        self._overtaken(via)

    def _overtaken(self, via: socket.socket) -> None:
        if (found := self.late.pop(via, None)) is not None:
            found[0].cancel()
            self._hold(self.weather.delay_ms, found[1], via, found[2])

    def _hold(self, wait_ms: float, data: bytes, via: socket.socket, to: Address) -> None:
        if wait_ms <= 0:
            self._pass(data, via, to)
        elif self.held + len(data) > HELD:
            self.counts["full"] += 1
        else:
            self.held += len(data)
            self._after(wait_ms, self._due, data, via, to)

    def _due(self, data: bytes, via: socket.socket, to: Address) -> None:
        self.held -= len(data)
        self._pass(data, via, to)

    def _pass(self, data: bytes, via: socket.socket, to: Address) -> None:
        with contextlib.suppress(OSError):  # nobody is there, or the link has ended: it is lost
            via.sendto(data, to)
            self.counts["passed"] += 1

    def _after(self, wait_ms: float, act: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        def due() -> None:
            self.timers.discard(handle)
            act(*args)

        handle = asyncio.get_running_loop().call_later(wait_ms / 1000, due)
        self.timers.add(handle)
        return handle

    def end(self) -> None:
        """Lose what is held."""
        for timer in self.timers:
            timer.cancel()


def _socket(address: Address) -> socket.socket:
    out = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    out.setblocking(False)
    out.bind(address)
    return out


class Path:
    """The two ways between two programs."""

    def __init__(self, ways: dict[Way, _Lane]) -> None:
        self.ways = ways

    def set(self, ways: Iterable[Way] = BOTH, **faults: float) -> None:
        """Bring faults on (see `Weather`), beside those that are there."""
        for way in ways:
            self.ways[way].weather = replace(self.ways[way].weather, **faults)

    def cut(self) -> None:
        """Lose what goes up."""
        self.set((Way.UP,), lost=1.0)

    def heal(self, ways: Iterable[Way] = BOTH) -> None:
        """End the faults of these ways, and a cut; what is held comes when it would have."""
        for way in ways:
            self.ways[way].weather, self.ways[way].free_at = Weather(), 0.0


class Hub:
    """Datagrams between programs that know each other by address: each is seen by all at one of the hub's.

    What a program sends to another's address here goes on from its own address here, so that whom it calls,
    and whom it is told of, are at the same place for all. `addresses` are those, by name; `paths` the ways
    between two. What comes from anybody else is lost.
    """

    def __init__(self, targets: dict[str, Address], host: str, seed: int = 0) -> None:
        self.targets = {name: loopback(at) for name, at in targets.items()}
        names = {at: name for name, at in self.targets.items()}
        lanes = {(a, b): _Lane(Way.UP, f"{seed}:{a}:{b}") for a in targets for b in targets if a != b}
        self.paths = {(a, b): Path({Way.UP: lane, Way.DOWN: lanes[b, a]}) for (a, b), lane in lanes.items()}
        self._socks = {name: self._bound(loopback((host, 0)), name, names, lanes) for name in targets}
        self.addresses: dict[str, Address] = {n: s.getsockname()[:2] for n, s in self._socks.items()}

    def _bound(
        self, at: Address, to: str, names: dict[Address, str], lanes: dict[tuple[str, str], _Lane]
    ) -> socket.socket:
        def came() -> None:
            with contextlib.suppress(OSError):  # no more is there
                while True:
                    data, source = out.recvfrom(BIGGEST)
                    if (sender := names.get(source[:2], to)) != to:
                        lanes[sender, to].take(data, self._socks[sender], self.targets[to])

        out = _socket(at)
        asyncio.get_running_loop().add_reader(out, came)
        return out

    def close(self) -> None:
        """Close all; what is held is lost."""
        for path in self.paths.values():
            path.ways[Way.UP].end()
        for sock in self._socks.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


class Datagrams(Path):
    """The relay to one address, an async context manager; `address` is where it listens.

    Raises ValueError for an address off loopback.
    """

    def __init__(self, target: Address, seed: int = 0, host: str = "127.0.0.1") -> None:
        super().__init__({way: _Lane(way, seed) for way in Way})
        self.target, self.address = loopback(target), loopback((host, 0))
        self._front: socket.socket | None = None
        self._backs: dict[Address, socket.socket] = {}  # by sender, the one that spoke last at the end

    async def __aenter__(self) -> Datagrams:
        """Listen."""
        self._open()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close all; what is held is lost."""
        for lane in self.ways.values():
            lane.end()
        self.cut()
        while self._backs:
            self._forget()

    def cut(self) -> None:
        """Close the port."""
        if self._front is not None:
            asyncio.get_running_loop().remove_reader(self._front)
            self._front.close()
            self._front = None

    def heal(self, ways: Iterable[Way] = BOTH) -> None:
        """As a path; a cut ends whatever the ways."""
        super().heal(ways)
        if self._front is None:
            self._open()

    # --- sockets: the front takes what goes up, a back for each sender what comes down

    def _open(self) -> None:
        self._front = self._bound(self.address, self._up)
        self.address = self._front.getsockname()[:2]

    def _bound(self, address: Address, act: Callable[..., None], *args: object) -> socket.socket:
        out = _socket(address)
        asyncio.get_running_loop().add_reader(out, act, out, *args)
        return out

    def _forget(self) -> None:
        oldest = self._backs.pop(next(iter(self._backs)))
        asyncio.get_running_loop().remove_reader(oldest)
        oldest.close()

    def _up(self, front: socket.socket) -> None:
        with contextlib.suppress(OSError):  # no more is there
            while True:
                data, sender = front.recvfrom(BIGGEST)
                back = self._backs.pop(sender, None)
                if back is None:
                    if len(self._backs) >= SENDERS:
                        self._forget()
                    back = self._bound((self.address[0], 0), self._down, sender)
                self._backs[sender] = back
                self.ways[Way.UP].take(data, back, self.target)

    def _down(self, back: socket.socket, sender: Address) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, source = back.recvfrom(BIGGEST)
                # What a stranger sends is not passed on, nor what comes while the port is closed.
                if source[:2] == self.target and self._front is not None:
                    self.ways[Way.DOWN].take(data, self._front, sender)
