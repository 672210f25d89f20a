"""UDP fault proxies: effect of each fault on plain sockets, for each way separately, with fixed seeds."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from functools import partial
from operator import ne

import pytest

from balancer.endpoints import Address
from balancer.testbed import udp_fault_proxy
from balancer.testbed.tcp_fault_proxy import BOTH, Way
from balancer.testbed.udp_fault_proxy import UdpFaultMesh, UdpFaultProxy
from tests.testbed.cluster_fixtures import run, until

QUIET_PERIOD_S = 0.1  # how long a socket must receive nothing


class Peer:
    """A plain UDP socket that keeps the received datagrams and their sources."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.address: Address = self.sock.getsockname()
        self.received: list[bytes] = []
        self.sources: list[Address] = []
        asyncio.get_running_loop().add_reader(self.sock, self._read)

    def _read(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, source = self.sock.recvfrom(65_535)
                self.received.append(data)
                self.sources.append(source)

    def send(self, destination: Address, *payloads: bytes) -> None:
        """Sends each payload as a datagram."""
        for payload in payloads:
            self.sock.sendto(payload, destination)

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()


@contextlib.asynccontextmanager
async def start_proxy(seed: int = 1) -> AsyncIterator[tuple[UdpFaultProxy, Callable[[], Peer], Peer]]:
    """Starts a proxy; yields it, a function that opens a sender, and the target."""
    peers = [Peer()]

    def open_peer() -> Peer:
        peers.append(Peer())
        return peers[-1]

    try:
        async with UdpFaultProxy(peers[0].address, seed) as proxy:
            yield proxy, open_peer, peers[0]
    finally:
        for member in peers:
            member.close()


def numbered_payloads(count: int, size: int = 3) -> list[bytes]:
    return [b"%0*d" % (size, n) for n in range(count)]


def test_proxy_with_several_senders_keeps_one_address_for_each(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with start_proxy() as (proxy, open_peer, target):
            first, second, stranger = open_peer(), open_peer(), open_peer()
            first.send(proxy.address, b"a")
            await until(lambda: target.received == [b"a"])
            second.send(proxy.address, b"b")
            await until(lambda: target.received == [b"a", b"b"])
            first.send(proxy.address, b"c")
            await until(lambda: len(target.received) == 3)
            first_address, second_address, repeated_address = target.sources
            assert first_address == repeated_address != second_address and proxy.address not in target.sources
            target.send(second_address, b"to two")
            target.send(first_address, b"to one", b"")
            stranger.send(first_address, b"nobody asked")
            await until(lambda: first.received == [b"to one", b""] and second.received == [b"to two"])
            await asyncio.sleep(QUIET_PERIOD_S)
            assert len(first.received) == 2 and set(first.sources + second.sources) == {proxy.address}
            # Beyond the limit the sender that has sent nothing for the longest time is removed.
            monkeypatch.setattr(udp_fault_proxy, "MAX_SENDERS", 2)
            open_peer().send(proxy.address, b"d")
            await until(lambda: len(target.received) == 4)
            first.send(proxy.address, b"e")
            second.send(proxy.address, b"f")
            await until(lambda: len(target.received) == 6)
            assert target.sources[4] == first_address and target.sources[5] != second_address

    run(test)


def test_cut_until_healed_refuses_datagrams_and_keeps_addresses() -> None:
    async def test() -> None:
        async with start_proxy() as (proxy, open_peer, target):
            sender = open_peer()
            sender.send(proxy.address, b"a")
            await until(lambda: target.received)
            proxy.cut()
            loop, refused_sender = asyncio.get_running_loop(), open_peer()
            loop.remove_reader(refused_sender.sock)
            refused_sender.sock.connect(proxy.address)
            refused_sender.sock.send(b"lost")
            with pytest.raises(ConnectionRefusedError):
                await asyncio.wait_for(loop.sock_recv(refused_sender.sock, 1), 5)
            target.send(target.sources[0], b"lost too")
            await asyncio.sleep(QUIET_PERIOD_S)
            assert not sender.received
            proxy.heal()
            sender.send(proxy.address, b"b")
            target.send(target.sources[0], b"c")
            await until(lambda: target.received == [b"a", b"b"] and sender.received == [b"c"])
            assert target.sources[0] == target.sources[1]

    run(test)


@pytest.mark.parametrize("ways", [(Way.UP,), (Way.DOWN,), BOTH], ids=str)
def test_loss_of_all_datagrams_of_a_way_leaves_the_other_way_alone(ways: tuple[Way, ...]) -> None:
    async def test() -> None:
        async with start_proxy() as (proxy, open_peer, target):
            sender = open_peer()
            sender.send(proxy.address, b"hello")
            await until(lambda: target.received)
            proxy.add_faults(ways, lost=1.0)
            sender.send(proxy.address, b"up")
            target.send(target.sources[0], b"down")
            await asyncio.sleep(QUIET_PERIOD_S)
            assert (target.received[1:] == []) is (Way.UP in ways) and (sender.received == []) is (
                Way.DOWN in ways
            )
            proxy.heal(ways)
            sender.send(proxy.address, b"end")
            target.send(target.sources[0], b"end")
            await until(lambda: b"end" in target.received and b"end" in sender.received)

    run(test)


def test_random_faults_with_equal_seeds_are_equal() -> None:
    async def receive_numbered(seed: int, **faults: float) -> list[bytes]:
        async with start_proxy(seed) as (proxy, open_peer, target):
            proxy.add_faults((Way.UP,), **faults)
            sender = open_peer()
            for number in numbered_payloads(50):  # one at a time, so that the socket buffer drops none
                counts = proxy.channels[Way.UP].counts
                before = counts.copy()
                sender.send(proxy.address, number)
                await until(partial(ne, counts, before))
            proxy.heal()
            sender.send(proxy.address, b"end")
            await until(lambda: b"end" in target.received)
            await asyncio.sleep(QUIET_PERIOD_S)
            return (
                target.received[: target.received.index(b"end")]
                if faults.get("swapped", 0) == 0
                else target.received
            )

    async def test() -> None:
        lossy = await receive_numbered(1, lost=0.3)
        assert lossy == await receive_numbered(1, lost=0.3) != await receive_numbered(2, lost=0.3)
        assert 25 < len(lossy) < 45 and lossy == sorted(lossy)
        doubled = await receive_numbered(1, doubled=0.3)
        assert sorted(set(doubled)) == numbered_payloads(50) and 55 < len(doubled) < 75
        swapped = await receive_numbered(1, swapped=0.3)
        assert sorted(swapped) == [*numbered_payloads(50), b"end"] and swapped != sorted(swapped)
        assert all(
            abs(int(payload) - position) <= 1 for position, payload in enumerate(swapped) if payload != b"end"
        )

    run(test)


def test_delay_and_rate_limit_hold_datagrams_up_to_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with start_proxy() as (proxy, open_peer, target):
            sender, channel, loop = open_peer(), proxy.channels[Way.UP], asyncio.get_running_loop()
            proxy.add_faults((Way.UP,), delay_ms=80.0)
            started_at_s = loop.time()
            sender.send(proxy.address, *numbered_payloads(3))
            await until(lambda: len(target.received) == 3)
            assert loop.time() - started_at_s >= 0.079 and target.received == numbered_payloads(3)
            proxy.add_faults((Way.UP,), delay_ms=0.0, jitter_ms=200.0)
            sender.send(proxy.address, *numbered_payloads(20))
            await until(lambda: len(target.received) == 23)
            assert target.received[3:] != numbered_payloads(20) and sorted(
                target.received[3:]
            ) == numbered_payloads(20)
            proxy.heal()
            proxy.add_faults((Way.UP,), bytes_s=10_000.0)
            started_at_s = loop.time()
            sender.send(proxy.address, *numbered_payloads(4, 500))
            await until(lambda: len(target.received) == 27)
            assert loop.time() - started_at_s >= 0.199 and channel.held_bytes == 0
            monkeypatch.setattr(udp_fault_proxy, "MAX_HELD_BYTES", 1_000)
            sender.send(proxy.address, *numbered_payloads(4, 500))
            await until(lambda: channel.counts["full"] == 2 and len(target.received) == 29)

    run(test)


def test_proxy_with_address_off_loopback_raises() -> None:
    with pytest.raises(ValueError, match="not a loopback address: "):
        UdpFaultProxy(("10.0.0.1", 80))
    with pytest.raises(ValueError, match="not a loopback address: "):
        UdpFaultProxy(("127.0.0.1", 80), host="0.0.0.0")


def test_mesh_of_three_programs_keeps_one_address_each_and_separate_faults() -> None:
    async def test() -> None:
        peers = {name: Peer() for name in "abc"}
        stranger = Peer()

        def has_arrived(text: bytes) -> bool:
            return {b"b" + text, b"a" + text} <= {*peers["c"].received} and b"c" + text in peers["a"].received

        mesh = UdpFaultMesh({name: member.address for name, member in peers.items()}, "127.0.0.1")
        try:
            for text in (b"1", b"2", b"3"):
                if text == b"2":
                    mesh.paths["a", "b"].add_faults((Way.UP,), lost=1.0)  # only from a to b
                    mesh.paths["c", "b"].cut()
                if text == b"3":
                    mesh.paths["a", "b"].heal()
                stranger.send(mesh.addresses["a"], b"?")
                for source in peers:
                    for destination in peers:
                        if source != destination:
                            peers[source].send(mesh.addresses[destination], source.encode() + text)
                await until(partial(has_arrived, text))
            await until(lambda: b"a3" in peers["b"].received and b"b3" in peers["a"].received)
            await asyncio.sleep(QUIET_PERIOD_S)
            assert sorted(peers["b"].received) == [b"a1", b"a3", b"c1"]
            assert sorted(peers["a"].received) == [b"b1", b"b2", b"b3", b"c1", b"c2", b"c3"]
            for member in peers.values():
                datagrams_and_sources = zip(member.received, member.sources, strict=True)
                assert all(
                    address == mesh.addresses[data[:1].decode()] for data, address in datagrams_and_sources
                )
        finally:
            mesh.close()
            for member in (*peers.values(), stranger):
                member.close()

    run(test)
