"""TCP fault proxy: effect of each fault on both ends, back-pressure, and recorded events."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from balancer.testbed.tcp_fault_proxy import (
    Blackhole,
    Delay,
    Fault,
    Heal,
    Refuse,
    Reset,
    Stall,
    TcpFaultProxy,
    Trickle,
    Way,
)

TEST_TIMEOUT_S = 10.0
QUIET_PERIOD_S = 0.1  # how long an end must receive nothing
MIB_BYTES = 1024 * 1024


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Runs the coroutine of a test with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test()

    asyncio.run(bounded())


@dataclass
class ConnectionEnd:
    """One end of a connection through the proxy."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Writes all of the data."""
        self.writer.write(data)
        await self.writer.drain()

    async def expect_data(self, data: bytes) -> None:
        """Checks that exactly these bytes arrive."""
        assert await self.reader.readexactly(len(data)) == data

    async def read_until_eof(self) -> bytes:
        """Returns what arrives until EOF; raises ConnectionResetError on a reset."""
        return await self.reader.read(-1)

    async def expect_reset(self) -> None:
        """Checks that a reset arrives."""
        with pytest.raises(ConnectionResetError):
            while await self.reader.read(MIB_BYTES):
                pass

    async def expect_silence(self) -> None:
        """Checks that neither data nor EOF arrives for a while."""
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(QUIET_PERIOD_S):
                await self.reader.read(1)


def abort(end: ConnectionEnd) -> None:
    """Resets a connection."""
    sock = end.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    end.writer.transport.abort()


@dataclass
class ProxyHarness:
    """A server behind a proxy, and the connections through it."""

    proxy: TcpFaultProxy
    accepted_ends: asyncio.Queue[ConnectionEnd]
    client_ends: list[ConnectionEnd] = field(default_factory=list)

    async def open_client(self) -> ConnectionEnd:
        """Opens a connection and returns the client's end."""
        client_end = ConnectionEnd(*await asyncio.open_connection(*self.proxy.address))
        self.client_ends.append(client_end)
        return client_end

    async def open_pair(self) -> tuple[ConnectionEnd, ConnectionEnd]:
        """Opens a connection and returns the ends of the client and the server."""
        return await self.open_client(), await self.accepted_ends.get()


@contextlib.asynccontextmanager
async def start_harness(seed: int = 0) -> AsyncIterator[ProxyHarness]:
    """Starts a server and a proxy to it."""
    accepted_ends: asyncio.Queue[ConnectionEnd] = asyncio.Queue()
    server_ends: list[ConnectionEnd] = []

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_ends.append(ConnectionEnd(reader, writer))
        accepted_ends.put_nowait(server_ends[-1])

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    target = server.sockets[0].getsockname()
    try:
        async with TcpFaultProxy(target, seed) as proxy:
            yield (harness := ProxyHarness(proxy, accepted_ends))
    finally:
        server.close()
        for end in (*server_ends, *harness.client_ends):
            end.writer.transport.abort()


def test_proxy_without_faults_forwards_and_counts_both_ways() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            started_at_ms = time.monotonic() * 1000
            await client.send(b"question")
            await server.expect_data(b"question")
            await server.send(b"answer")
            await client.expect_data(b"answer")
            assert harness.proxy.counts.connections == 1
            assert harness.proxy.counts.forwarded_bytes == {Way.UP: 8, Way.DOWN: 6}
            data_records = [record for record in harness.proxy.records if record.event == "data"]
            assert [(record.connection_number, record.way, record.size_bytes) for record in data_records] == [
                (1, Way.UP, 8),
                (1, Way.DOWN, 6),
            ]
            assert started_at_ms <= data_records[0].at_ms <= data_records[1].at_ms <= time.monotonic() * 1000

    run(test)


def test_proxy_half_closed_by_client_keeps_the_other_way_open() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            client.writer.write_eof()
            assert await server.read_until_eof() == b""
            await server.send(b"late")
            await client.expect_data(b"late")
            server.writer.close()
            assert await client.read_until_eof() == b""

    run(test)


def test_proxy_reset_by_client_resets_the_server() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            abort(client)
            await server.expect_reset()

    run(test)


def test_proxy_refused_by_target_resets_the_client() -> None:
    async def test() -> None:
        with socket.socket() as unused_socket:
            unused_socket.bind(("127.0.0.1", 0))
            async with TcpFaultProxy(unused_socket.getsockname()) as proxy:
                client = ConnectionEnd(*await asyncio.open_connection(*proxy.address))
                await client.expect_reset()
                assert any("ECONNREFUSED" in record.event for record in proxy.records)

    run(test)


def test_proxy_without_answer_of_target_sends_nothing_later() -> None:
    """The accept queue of the target is full, so that it answers no SYN until there is room.

    A proxy that kept the data and connected later would deliver requests that the client has given up.
    """

    async def test() -> None:
        with socket.socket() as target:
            target.bind(("127.0.0.1", 0))
            target.listen(0)
            with socket.create_connection(target.getsockname()):
                async with TcpFaultProxy(target.getsockname()) as proxy:
                    client = ConnectionEnd(*await asyncio.open_connection(*proxy.address))
                    await client.send(b"by now it is too late")
                    await client.expect_reset()
                    target.accept()[0].close()  # makes room in the accept queue
                    target.settimeout(1.5)  # longer than the 1 s after which Linux repeats a SYN
                    with pytest.raises(TimeoutError):
                        await asyncio.to_thread(target.accept)

    run(test)


def test_proxy_with_slow_reader_blocks_the_writer_and_loses_nothing() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            data = bytes(range(256)) * (64 * MIB_BYTES // 256)
            writing = asyncio.create_task(client.send(data))
            await asyncio.sleep(0.3)
            assert not writing.done(), "the proxy took 64 MiB although nobody reads them"
            assert harness.proxy.counts.forwarded_bytes[Way.UP] < 32 * MIB_BYTES
            await server.expect_data(data)
            await writing

    run(test)


def test_reset_of_open_connection_resets_both_ends() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            harness.proxy.apply(Reset())
            await client.expect_reset()
            await server.expect_reset()

    run(test)


@pytest.mark.parametrize("ways", [(Way.UP,), (Way.DOWN,), (Way.UP, Way.DOWN)])
def test_stall_of_a_way_holds_data_and_eof_until_healed(ways: tuple[Way, ...]) -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            harness.proxy.apply(Stall(ways))
            for way, sender, receiver in ((Way.UP, client, server), (Way.DOWN, server, client)):
                await sender.send(b"held")
                sender.writer.write_eof()
                if way in ways:
                    await receiver.expect_silence()
                else:
                    await receiver.expect_data(b"held")
            harness.proxy.apply(Heal())
            assert await client.read_until_eof() == (b"held" if Way.DOWN in ways else b"")
            assert await server.read_until_eof() == (b"held" if Way.UP in ways else b"")

    run(test)


@pytest.mark.parametrize("fault", [Stall(), Delay(3_600_000.0)], ids=repr)
def test_proxy_at_limit_of_held_bytes_blocks_the_sender(fault: Fault) -> None:
    async def test() -> None:
        async with start_harness() as harness:
            harness.proxy.apply(fault)
            client, server = await harness.open_pair()
            writing = asyncio.create_task(client.send(bytes(64 * MIB_BYTES)))
            await server.expect_silence()
            assert not writing.done() and harness.proxy.counts.forwarded_bytes[Way.UP] == 0
            writing.cancel()

    run(test)


def test_stall_of_reset_connection_hides_the_reset_until_healed() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            harness.proxy.apply(Stall())
            abort(client)
            await server.expect_silence()
            harness.proxy.apply(Heal())
            await server.expect_reset()

    run(test)


def test_refuse_until_healed_keeps_the_port_and_open_connections() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            address = harness.proxy.address
            harness.proxy.apply(Refuse())
            with pytest.raises(ConnectionRefusedError):
                await harness.open_client()
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind(address)
            await client.send(b"still")
            await server.expect_data(b"still")
            harness.proxy.apply(Heal())
            new_client, new_server = await harness.open_pair()
            await new_client.send(b"new")
            await new_server.expect_data(b"new")
            assert harness.proxy.address == address

    run(test)


def test_blackhole_of_new_connection_stays_silent_and_heal_resets_it() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            old_client, server = await harness.open_pair()
            harness.proxy.apply(Blackhole())
            client = await harness.open_client()
            await client.send(b"anyone?")
            await client.expect_silence()
            assert harness.accepted_ends.empty() and harness.proxy.counts.blackholed == 1
            await old_client.send(b"here")
            await server.expect_data(b"here")
            harness.proxy.apply(Heal())
            await client.expect_reset()

    run(test)


def test_delay_with_jitter_holds_each_byte_and_keeps_the_order() -> None:
    async def test() -> None:
        async with start_harness(seed=3) as harness:
            client, server = await harness.open_pair()
            harness.proxy.apply(Delay(80.0, jitter_ms=60.0, ways=(Way.UP,)))
            started_at_s = time.monotonic()
            for number in range(30):
                await client.send(b"%02d" % number)
                await asyncio.sleep(0.002)
            await server.expect_data(b"".join(b"%02d" % number for number in range(30)))
            assert time.monotonic() - started_at_s >= 0.08
            harness.proxy.apply(Heal())
            harness.proxy.apply(Delay(300.0, ways=(Way.UP,)))
            await client.send(b"later")
            await server.send(b"sooner")
            await client.expect_data(b"sooner")
            await server.expect_data(b"later")
            assert [record.way for record in harness.proxy.records if record.event == "data"][-2:] == [
                Way.DOWN,
                Way.UP,
            ]

    run(test)


def test_jitter_with_equal_seeds_is_equal() -> None:
    async def draw_delays(seed: int) -> list[float]:
        async with start_harness(seed=seed) as harness:
            return [harness.proxy.rng.uniform(0, 10) for _ in range(3)]

    async def test() -> None:
        assert await draw_delays(1) == await draw_delays(1) != await draw_delays(2)

    run(test)


def test_trickle_of_ten_bytes_forwards_three_at_a_time() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            harness.proxy.apply(Trickle(3, interval_ms=2.0, ways=(Way.UP,)))
            await client.send(b"abcdefghij")
            await server.expect_data(b"abcdefghij")
            data_records = [record for record in harness.proxy.records if record.event == "data"]
            assert [record.size_bytes for record in data_records] == [3, 3, 3, 1]
            assert all(
                later.at_ms - earlier.at_ms >= 2.0 for earlier, later in itertools.pairwise(data_records)
            )

    run(test)


def test_reset_during_connect_resets_both_ends() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            connecting = asyncio.create_task(harness.open_client())
            while not harness.proxy.counts.connections:
                await asyncio.sleep(0)
            harness.proxy.apply(Reset())
            with pytest.raises(ConnectionResetError):  # while it connects, or later
                await (await connecting).reader.read(1)
            await (await harness.accepted_ends.get()).expect_reset()

    run(test)


@pytest.mark.parametrize("host", ["10.0.0.1", "localhost", "8.8.8.8", "", "::"])
def test_proxy_with_address_off_loopback_raises(host: str) -> None:
    with pytest.raises(ValueError, match="not a loopback address: "):
        TcpFaultProxy((host, 80))
    with pytest.raises(ValueError, match="not a loopback address: "):
        TcpFaultProxy(("127.0.0.1", 80), host=host)


def test_proxy_closed_resets_open_connections_and_frees_the_port() -> None:
    async def test() -> None:
        async with start_harness() as harness:
            connected_client, _ = await harness.open_pair()
            harness.proxy.apply(Blackhole())
            blackholed_client = await harness.open_client()
            while not harness.proxy.counts.blackholed:
                await asyncio.sleep(0)
            await harness.proxy.__aexit__()
            for client in (connected_client, blackholed_client):
                await client.expect_reset()
            assert harness.proxy.records[-1].event != "accepted"
            with pytest.raises(ConnectionRefusedError):
                await harness.open_client()

    run(test)


@pytest.mark.parametrize("fault", [Stall(), Delay(5.0, 5.0), Trickle(100, 0.1)], ids=repr)
def test_slowing_faults_under_load_lose_no_data(fault: Fault) -> None:
    async def test() -> None:
        async with start_harness() as harness:
            client, server = await harness.open_pair()
            data = bytes(range(251)) * 400
            writes = [asyncio.create_task(end.send(data)) for end in (client, server)]
            harness.proxy.apply(fault)
            await asyncio.sleep(0.05)
            harness.proxy.apply(Heal())
            await server.expect_data(data)
            await client.expect_data(data)
            await asyncio.gather(*writes)

    run(test)
