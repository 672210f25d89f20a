"""The faulty link: what each fault does to both ends, back-pressure, what is recorded."""

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
    Link,
    Refuse,
    Reset,
    Stall,
    Trickle,
    Way,
)

WAIT = 10.0  # s until a test that waits for something that does not come fails
QUIET = 0.1  # s in which nothing may come
MIB = 1024 * 1024


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(WAIT):
            await test()

    asyncio.run(bounded())


@dataclass
class End:
    """One end of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def says(self, data: bytes) -> None:
        """Write all of it."""
        self.writer.write(data)
        await self.writer.drain()

    async def hears(self, data: bytes) -> None:
        """Exactly this comes."""
        assert await self.reader.readexactly(len(data)) == data

    async def hears_end(self) -> bytes:
        """What comes until the end, which is in order."""
        return await self.reader.read(-1)

    async def is_reset(self) -> None:
        """A reset comes."""
        with pytest.raises(ConnectionResetError):
            while await self.reader.read(MIB):
                pass

    async def hears_nothing(self) -> None:
        """Neither a byte nor an end comes for a while."""
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(QUIET):
                await self.reader.read(1)


def abort(end: End) -> None:
    """Reset a connection."""
    sock = end.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    end.writer.transport.abort()


@dataclass
class World:
    """A server behind a link, and connections through it."""

    link: Link
    taken: asyncio.Queue[End]
    ends: list[End] = field(default_factory=list)

    async def client(self) -> End:
        """A client's end."""
        out = End(*await asyncio.open_connection(*self.link.address))
        self.ends.append(out)
        return out

    async def pair(self) -> tuple[End, End]:
        """Both ends of a new connection."""
        return await self.client(), await self.taken.get()


@contextlib.asynccontextmanager
async def world(seed: int = 0) -> AsyncIterator[World]:
    """A server, and a link to it."""
    taken: asyncio.Queue[End] = asyncio.Queue()
    ends: list[End] = []

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ends.append(End(reader, writer))
        taken.put_nowait(ends[-1])

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    target = server.sockets[0].getsockname()
    try:
        async with Link(target, seed) as link:
            yield (out := World(link, taken))
    finally:
        server.close()
        for end in (*ends, *out.ends):
            end.writer.transport.abort()


def test_both_ways_pass_and_are_counted() -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            before = time.monotonic() * 1000
            await client.says(b"question")
            await server.hears(b"question")
            await server.says(b"answer")
            await client.hears(b"answer")
            assert w.link.counts.connections == 1
            assert w.link.counts.bytes == {Way.UP: 8, Way.DOWN: 6}
            data = [r for r in w.link.records if r.what == "data"]
            assert [(r.connection, r.way, r.size) for r in data] == [(1, Way.UP, 8), (1, Way.DOWN, 6)]
            assert before <= data[0].at_ms <= data[1].at_ms <= time.monotonic() * 1000

    run(test)


def test_an_end_of_sending_passes_and_the_other_way_goes_on() -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            client.writer.write_eof()
            assert await server.hears_end() == b""
            await server.says(b"late")
            await client.hears(b"late")
            server.writer.close()
            assert await client.hears_end() == b""

    run(test)


def test_a_reset_of_one_end_resets_the_other() -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            abort(client)
            await server.is_reset()

    run(test)


def test_a_target_that_refuses_resets_the_client() -> None:
    async def test() -> None:
        with socket.socket() as nobody:
            nobody.bind(("127.0.0.1", 0))
            async with Link(nobody.getsockname()) as link:
                client = End(*await asyncio.open_connection(*link.address))
                await client.is_reset()
                assert any("ECONNREFUSED" in r.what for r in link.records)

    run(test)


def test_a_target_that_says_nothing_gets_nothing_later() -> None:
    """Its queue is full, so that connects get no answer until there is room."""

    async def test() -> None:
        with socket.socket() as target:
            target.bind(("127.0.0.1", 0))
            target.listen(0)
            with socket.create_connection(target.getsockname()):
                async with Link(target.getsockname()) as link:
                    end = End(*await asyncio.open_connection(*link.address))
                    await end.says(b"by now it is too late")
                    await end.is_reset()
                    target.accept()[0].close()  # now there is room
                    target.settimeout(1.5)  # by then the SYN would have come again
                    with pytest.raises(TimeoutError):
                        await asyncio.to_thread(target.accept)

    run(test)


def test_a_slow_reader_holds_up_its_writer_and_loses_nothing() -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            data = bytes(range(256)) * (64 * MIB // 256)
            writing = asyncio.create_task(client.says(data))
            await asyncio.sleep(0.3)
            assert not writing.done(), "64 MiB vanished into a link that nobody reads from"
            assert w.link.counts.bytes[Way.UP] < 32 * MIB
            await server.hears(data)
            await writing

    run(test)


def test_reset_resets_both_ends() -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            w.link.apply(Reset())
            await client.is_reset()
            await server.is_reset()

    run(test)


@pytest.mark.parametrize("ways", [(Way.UP,), (Way.DOWN,), (Way.UP, Way.DOWN)])
def test_stall_holds_data_and_ends_until_healed(ways: tuple[Way, ...]) -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            w.link.apply(Stall(ways))
            for way, sender, receiver in ((Way.UP, client, server), (Way.DOWN, server, client)):
                await sender.says(b"held")
                sender.writer.write_eof()
                if way in ways:
                    await receiver.hears_nothing()
                else:
                    await receiver.hears(b"held")
            w.link.apply(Heal())
            assert await client.hears_end() == (b"held" if Way.DOWN in ways else b"")
            assert await server.hears_end() == (b"held" if Way.UP in ways else b"")

    run(test)


@pytest.mark.parametrize("fault", [Stall(), Delay(3_600_000.0)], ids=repr)
def test_what_is_held_is_bounded_so_that_the_sender_feels_it(fault: Fault) -> None:
    async def test() -> None:
        async with world() as w:
            w.link.apply(fault)
            client, server = await w.pair()
            writing = asyncio.create_task(client.says(bytes(64 * MIB)))
            await server.hears_nothing()
            assert not writing.done() and w.link.counts.bytes[Way.UP] == 0
            writing.cancel()

    run(test)


def test_stall_hides_even_a_reset() -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            w.link.apply(Stall())
            abort(client)
            await server.hears_nothing()
            w.link.apply(Heal())
            await server.is_reset()

    run(test)


def test_refuse_and_heal_keep_the_port_and_leave_old_connections_alone() -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            address = w.link.address
            w.link.apply(Refuse())
            with pytest.raises(ConnectionRefusedError):
                await w.client()
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind(address)
            await client.says(b"still")
            await server.hears(b"still")
            w.link.apply(Heal())
            another, there = await w.pair()
            await another.says(b"new")
            await there.hears(b"new")
            assert w.link.address == address

    run(test)


def test_blackhole_takes_new_connections_and_says_nothing() -> None:
    async def test() -> None:
        async with world() as w:
            old, server = await w.pair()
            w.link.apply(Blackhole())
            client = await w.client()
            await client.says(b"anyone?")
            await client.hears_nothing()
            assert w.taken.empty() and w.link.counts.swallowed == 1
            await old.says(b"here")
            await server.hears(b"here")
            w.link.apply(Heal())
            await client.is_reset()

    run(test)


def test_delay_holds_each_byte_and_keeps_the_order() -> None:
    async def test() -> None:
        async with world(seed=3) as w:
            client, server = await w.pair()
            w.link.apply(Delay(80.0, jitter_ms=60.0, ways=(Way.UP,)))
            start = time.monotonic()
            for n in range(30):
                await client.says(b"%02d" % n)
                await asyncio.sleep(0.002)
            await server.hears(b"".join(b"%02d" % n for n in range(30)))
            assert time.monotonic() - start >= 0.08
            w.link.apply(Heal())
            w.link.apply(Delay(300.0, ways=(Way.UP,)))
            await client.says(b"later")
            await server.says(b"sooner")
            await client.hears(b"sooner")
            await server.hears(b"later")
            assert [r.way for r in w.link.records if r.what == "data"][-2:] == [Way.DOWN, Way.UP]

    run(test)


def test_jitter_is_that_of_the_seed() -> None:
    async def drawn(seed: int) -> list[float]:
        async with world(seed=seed) as w:
            return [w.link.rng.uniform(0, 10) for _ in range(3)]

    async def test() -> None:
        assert await drawn(1) == await drawn(1) != await drawn(2)

    run(test)


def test_trickle_passes_few_bytes_at_a_time() -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            w.link.apply(Trickle(3, every_ms=2.0, ways=(Way.UP,)))
            await client.says(b"abcdefghij")
            await server.hears(b"abcdefghij")
            data = [r for r in w.link.records if r.what == "data"]
            assert [r.size for r in data] == [3, 3, 3, 1]
            assert all(b.at_ms - a.at_ms >= 2.0 for a, b in itertools.pairwise(data))

    run(test)


def test_a_connection_may_end_while_it_is_coming_up() -> None:
    async def test() -> None:
        async with world() as w:
            coming = asyncio.create_task(w.client())
            while not w.link.counts.connections:
                await asyncio.sleep(0)
            w.link.apply(Reset())
            with pytest.raises(ConnectionResetError):  # as it connects, or after
                await (await coming).reader.read(1)
            await (await w.taken.get()).is_reset()

    run(test)


@pytest.mark.parametrize("host", ["10.0.0.1", "localhost", "8.8.8.8", "", "::"])
def test_only_loopback_is_joined(host: str) -> None:
    with pytest.raises(ValueError, match="only joins loopback addresses, not"):
        Link((host, 80))
    with pytest.raises(ValueError, match="only joins loopback addresses, not"):
        Link(("127.0.0.1", 80), host=host)


def test_the_end_of_a_link_resets_what_is_open_and_leaves_nothing() -> None:
    async def test() -> None:
        async with world() as w:
            one, _ = await w.pair()
            w.link.apply(Blackhole())
            two = await w.client()
            while not w.link.counts.swallowed:
                await asyncio.sleep(0)
            await w.link.__aexit__()
            for client in (one, two):
                await client.is_reset()
            assert w.link.records[-1].what != "taken"
            with pytest.raises(ConnectionRefusedError):
                await w.client()

    run(test)


@pytest.mark.parametrize("fault", [Stall(), Delay(5.0, 5.0), Trickle(100, 0.1)], ids=repr)
def test_much_data_both_ways_survives_what_only_slows(fault: Fault) -> None:
    async def test() -> None:
        async with world() as w:
            client, server = await w.pair()
            data = bytes(range(251)) * 400
            writes = [asyncio.create_task(end.says(data)) for end in (client, server)]
            w.link.apply(fault)
            await asyncio.sleep(0.05)
            w.link.apply(Heal())
            await server.hears(data)
            await client.hears(data)
            await asyncio.gather(*writes)

    run(test)
