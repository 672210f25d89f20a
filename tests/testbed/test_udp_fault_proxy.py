"""The faulty path of datagrams: what each fault does to plain sockets, each way by itself, on a seed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from functools import partial
from operator import ne

import pytest

from balancer.endpoints import Address
from balancer.testbed import udp_fault_proxy as datagrams
from balancer.testbed.tcp_fault_proxy import BOTH, Way
from balancer.testbed.udp_fault_proxy import Datagrams, Hub
from tests.testbed.cluster_fixtures import run, until

QUIET = 0.1  # s in which nothing may come


class Peer:
    """A plain socket, what came to it and from whom, and the refusals it was told of."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.address: Address = self.sock.getsockname()
        self.got: list[bytes] = []
        self.sources: list[Address] = []
        asyncio.get_running_loop().add_reader(self.sock, self._read)

    def _read(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, source = self.sock.recvfrom(65_535)
                self.got.append(data)
                self.sources.append(source)

    def says(self, to: Address, *words: bytes) -> None:
        """Send each as a datagram."""
        for word in words:
            self.sock.sendto(word, to)

    def close(self) -> None:
        """End it."""
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()


@contextlib.asynccontextmanager
async def path(seed: int = 1) -> AsyncIterator[tuple[Datagrams, Callable[[], Peer], Peer]]:
    """A path, a maker of senders, and the one that it leads to."""
    made = [Peer()]

    def peer() -> Peer:
        made.append(Peer())
        return made[-1]

    try:
        async with Datagrams(made[0].address, seed) as link:
            yield link, peer, made[0]
    finally:
        for one in made:
            one.close()


def numbers(count: int, size: int = 3) -> list[bytes]:
    return [b"%0*d" % (size, n) for n in range(count)]


def test_each_sender_has_one_stable_address_and_gets_its_own_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with path() as (link, peer, there):
            one, two, stranger = peer(), peer(), peer()
            one.says(link.address, b"a")
            await until(lambda: there.got == [b"a"])
            two.says(link.address, b"b")
            await until(lambda: there.got == [b"a", b"b"])
            one.says(link.address, b"c")
            await until(lambda: len(there.got) == 3)
            first, second, again = there.sources
            assert first == again != second and link.address not in there.sources
            there.says(second, b"to two")
            there.says(first, b"to one", b"")
            stranger.says(first, b"nobody asked")
            await until(lambda: one.got == [b"to one", b""] and two.got == [b"to two"])
            await asyncio.sleep(QUIET)
            assert len(one.got) == 2 and set(one.sources + two.sources) == {link.address}
            monkeypatch.setattr(datagrams, "SENDERS", 2)  # the bound: the one silent longest is forgotten
            peer().says(link.address, b"d")
            await until(lambda: len(there.got) == 4)
            one.says(link.address, b"e")
            two.says(link.address, b"f")
            await until(lambda: len(there.got) == 6)
            assert there.sources[4] == first and there.sources[5] != second

    run(test)


def test_a_cut_tells_the_sender_and_healing_keeps_both_addresses() -> None:
    async def test() -> None:
        async with path() as (link, peer, there):
            one = peer()
            one.says(link.address, b"a")
            await until(lambda: there.got)
            link.cut()
            loop, told = asyncio.get_running_loop(), peer()
            loop.remove_reader(told.sock)
            told.sock.connect(link.address)
            told.sock.send(b"lost")
            with pytest.raises(ConnectionRefusedError):
                await asyncio.wait_for(loop.sock_recv(told.sock, 1), 5)
            there.says(there.sources[0], b"lost too")
            await asyncio.sleep(QUIET)
            assert not one.got
            link.heal()
            one.says(link.address, b"b")
            there.says(there.sources[0], b"c")
            await until(lambda: there.got == [b"a", b"b"] and one.got == [b"c"])
            assert there.sources[0] == there.sources[1]

    run(test)


@pytest.mark.parametrize("ways", [(Way.UP,), (Way.DOWN,), BOTH], ids=str)
def test_a_silent_way_is_silent_alone(ways: tuple[Way, ...]) -> None:
    async def test() -> None:
        async with path() as (link, peer, there):
            one = peer()
            one.says(link.address, b"hello")
            await until(lambda: there.got)
            link.set(ways, lost=1.0)
            one.says(link.address, b"up")
            there.says(there.sources[0], b"down")
            await asyncio.sleep(QUIET)
            assert (there.got[1:] == []) is (Way.UP in ways) and (one.got == []) is (Way.DOWN in ways)
            link.heal(ways)
            one.says(link.address, b"end")
            there.says(there.sources[0], b"end")
            await until(lambda: b"end" in there.got and b"end" in one.got)

    run(test)


def test_what_is_lost_doubled_and_overtaken_is_that_of_the_seed() -> None:
    async def drawn(seed: int, **faults: float) -> list[bytes]:
        async with path(seed) as (link, peer, there):
            link.set((Way.UP,), **faults)
            one = peer()
            for number in numbers(50):  # one by one, so that the system keeps all
                counts = link.ways[Way.UP].counts
                before = counts.copy()
                one.says(link.address, number)
                await until(partial(ne, counts, before))
            link.heal()
            one.says(link.address, b"end")
            await until(lambda: b"end" in there.got)
            await asyncio.sleep(QUIET)
            return there.got[: there.got.index(b"end")] if faults.get("swapped", 0) == 0 else there.got

    async def test() -> None:
        lossy = await drawn(1, lost=0.3)
        assert lossy == await drawn(1, lost=0.3) != await drawn(2, lost=0.3)
        assert 25 < len(lossy) < 45 and lossy == sorted(lossy)
        doubled = await drawn(1, doubled=0.3)
        assert sorted(set(doubled)) == numbers(50) and 55 < len(doubled) < 75
        swapped = await drawn(1, swapped=0.3)
        assert sorted(swapped) == [*numbers(50), b"end"] and swapped != sorted(swapped)
        assert all(abs(int(w) - at) <= 1 for at, w in enumerate(swapped) if w != b"end")

    run(test)


def test_late_and_slow_ways_hold_what_comes_within_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with path() as (link, peer, there):
            one, lane, loop = peer(), link.ways[Way.UP], asyncio.get_running_loop()
            link.set((Way.UP,), delay_ms=80.0)
            begun = loop.time()
            one.says(link.address, *numbers(3))
            await until(lambda: len(there.got) == 3)
            assert loop.time() - begun >= 0.079 and there.got == numbers(3)
            link.set((Way.UP,), delay_ms=0.0, jitter_ms=200.0)
            one.says(link.address, *numbers(20))
            await until(lambda: len(there.got) == 23)
            assert there.got[3:] != numbers(20) and sorted(there.got[3:]) == numbers(20)
            link.heal()
            link.set((Way.UP,), bytes_s=10_000.0)
            begun = loop.time()
            one.says(link.address, *numbers(4, 500))
            await until(lambda: len(there.got) == 27)
            assert loop.time() - begun >= 0.199 and lane.held == 0
            monkeypatch.setattr(datagrams, "HELD", 1_000)
            one.says(link.address, *numbers(4, 500))
            await until(lambda: lane.counts["full"] == 2 and len(there.got) == 29)

    run(test)


def test_only_loopback_is_joined() -> None:
    with pytest.raises(ValueError, match="only joins loopback"):
        Datagrams(("10.0.0.1", 80))
    with pytest.raises(ValueError, match="only joins loopback"):
        Datagrams(("127.0.0.1", 80), host="0.0.0.0")


def test_behind_a_hub_all_see_a_program_at_one_address_and_a_path_fails_alone() -> None:
    async def test() -> None:
        made = {name: Peer() for name in "abc"}
        stranger = Peer()

        def came(text: bytes) -> bool:
            return {b"b" + text, b"a" + text} <= {*made["c"].got} and b"c" + text in made["a"].got

        hub = Hub({name: peer.address for name, peer in made.items()}, "127.0.0.1")
        try:
            for text in (b"1", b"2", b"3"):
                if text == b"2":
                    hub.paths["a", "b"].set((Way.UP,), lost=1.0)  # from a to b alone
                    hub.paths["c", "b"].cut()
                if text == b"3":
                    hub.paths["a", "b"].heal()
                stranger.says(hub.addresses["a"], b"?")
                for a in made:
                    for b in made:
                        if a != b:
                            made[a].says(hub.addresses[b], a.encode() + text)
                await until(partial(came, text))
            await until(lambda: b"a3" in made["b"].got and b"b3" in made["a"].got)
            await asyncio.sleep(QUIET)
            assert sorted(made["b"].got) == [b"a1", b"a3", b"c1"]
            assert sorted(made["a"].got) == [b"b1", b"b2", b"b3", b"c1", b"c2", b"c3"]
            for peer in made.values():
                seen = zip(peer.got, peer.sources, strict=True)
                assert all(source == hub.addresses[data[:1].decode()] for data, source in seen)
        finally:
            hub.close()
            for peer in (*made.values(), stranger):
                peer.close()

    run(test)
