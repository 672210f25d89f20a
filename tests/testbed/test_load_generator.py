"""The stand-in clients against small fake nodes: arrivals, tries, retries, connections, what they record."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace

import pytest

from balancer.interface import DeduplicationScope, Idempotency
from balancer.testbed.event_log import (
    Answered,
    Asked,
    ClientLeft,
    Crossed,
    HeldUp,
    Journal,
    NodeHeldUp,
    Unreached,
    Wanted,
    now_ms,
)
from balancer.testbed.invariant_checker import STARVED_MS, judge
from balancer.testbed.load_generator import (
    Arrival,
    Clients,
    Connection,
    Disconnect,
    FrontEnd,
    Habits,
    draw,
)
from balancer.testbed.service_profile import RequestClass, Site
from tests.sockets import Message, answer, read_message
from tests.testbed.cluster_fixtures import of, run, until

SITE = Site(
    classes=(
        RequestClass("read", Idempotency.IDEMPOTENT, 300, 2_000),
        RequestClass("pay", Idempotency.KEYED, 300, 2_000),
        RequestClass("any", Idempotency.KEYED, 300, 2_000, group=DeduplicationScope.ALL),
        RequestClass("once", Idempotency.NON_IDEMPOTENT, 300, 2_000),
    )
)
Reply = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class Rig:
    """A fake node and the clients that ask it."""

    def __init__(self, reply: Reply, habits: Habits | None) -> None:
        self.reply, self.journal, self.front = reply, Journal(), FrontEnd()
        self.clients = Clients(SITE, self.journal, self.front, 1, habits)
        self.got: list[Message] = []
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                self.got.append(message)
                await self.reply(message, writer)
        writer.close()

    async def ask(self, cls: str, leaves_ms: float | None = None, by: Disconnect = "close") -> int:
        """One request; the status it ends with."""
        found = SITE.find(cls)
        assert found is not None
        name = f"{len(self.journal):016x}"
        key = f"key-{name}" if found.effect is Idempotency.KEYED else ""
        return (await self.clients.ask(Arrival(0, name, found, key, "north", leaves_ms, by))).status


@contextlib.asynccontextmanager
async def rig(*replies: bytes, habits: Habits | None = None) -> AsyncIterator[Rig]:
    """A node that gives these answers in turn, the last for good; an empty one ends the connection."""
    left = list(replies)

    async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
        text = left.pop(0) if len(left) > 1 else left[0]
        if text:
            writer.write(text)
        else:
            writer.close()

    out = Rig(reply, habits)
    server = await asyncio.start_server(out.serve, "127.0.0.1", 0)
    out.front.nodes["n0"] = server.sockets[0].getsockname()[:2]
    try:
        yield out
    finally:
        out.clients.close()
        server.close()


OK, REFUSED, FAILED = answer(b"ok"), answer(b"", "503 Busy", "Retry-After: 0.1"), answer(b"", "502 No")


def test_drawn_ahead_and_alike_for_a_seed() -> None:
    calm = draw(SITE, 200, 5, 7)
    assert calm == draw(SITE, 200, 5, 7) != draw(SITE, 200, 5, 8)
    assert 850 < len(calm) < 1150
    assert [a.at_ms for a in calm] == sorted(a.at_ms for a in calm)
    assert set(Counter(a.cls.name for a in calm)) == {"read", "pay", "any", "once"}
    assert all(bool(a.key) is (a.cls.effect is Idempotency.KEYED) for a in calm)
    burst = draw(SITE, 200, 5, 7, Habits(bursts=((1, 2, 3.0),)))
    inside = sum(1_000 <= a.at_ms < 2_000 for a in burst)
    assert 500 < inside < 700 and 700 < len(burst) - inside < 900


def test_does_not_wait_for_answers() -> None:
    async def test() -> None:
        async with rig(OK) as world:
            gate = asyncio.Event()

            async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
                await gate.wait()
                writer.write(OK)

            world.reply = reply
            play = asyncio.create_task(world.clients.play(draw(SITE, 200, 0.1, 1)))
            await until(lambda: len(world.got) == len(draw(SITE, 200, 0.1, 1)))
            assert world.connections == len(world.got) > 5
            gate.set()
            await play
            assert len(of(world.journal, Answered)) == len(world.got)
            await world.ask("read")
            assert world.connections == len(world.got) - 1  # the next one found a kept connection

    run(test)


def test_an_answer_is_waited_for_as_long_as_the_judge_may_excuse_it() -> None:
    """Else a node that had no core for a while, and answered right after, had given no answer."""

    async def test() -> None:
        async with rig(OK) as world:

            async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(STARVED_MS / 1000 - 0.1)
                world.journal.add(NodeHeldUp("n0", now_ms(), STARVED_MS))
                writer.write(FAILED)

            world.reply = reply
            hasty = replace(SITE.classes[3], give_up_ms=30)
            await world.clients.ask(Arrival(0, "r1", hasty, "", "north", None))
            world.journal.add(HeldUp(now_ms() + 5_000, 0.1))  # all that went on is over
            (late,) = of(world.journal, Answered)
            assert late.status == 502 and not (breaches := judge(world.journal, SITE).breaches), breaches

    run(test)


def test_a_request_as_nodes_get_it() -> None:
    async def test() -> None:
        async with rig(OK) as world:
            assert await world.ask("pay") == 200
            got, asked = world.got[0], of(world.journal, Asked)[0]
            assert got.start.startswith("POST /pay/x?obj=") and got.headers["tenant"] == "north"
            assert got.headers["request-id"] == asked.request == asked.first
            assert got.headers["idempotency-key"] == asked.key != ""
            limit = float(got.headers["request-timeout"].removesuffix("u")) / 1000
            assert 0.7 * 2_000 - 1 <= limit <= 2_000
            assert asked.deadline_ms == pytest.approx(asked.at_ms + limit, abs=1)
            assert asked.form.startswith(got.start.removesuffix(" HTTP/1.1"))
            wanted, answered = of(world.journal, Wanted)[0], of(world.journal, Answered)[0]
            assert (answered.status, answered.whole, answered.body) == (200, True, "ok")
            assert wanted.aim_ms == wanted.at_ms + 300

    run(test)


@pytest.mark.parametrize(
    ("cls", "first", "again"),
    [
        ("read", REFUSED, True),
        ("once", REFUSED, True),
        ("pay", REFUSED, True),
        ("read", FAILED, True),
        ("any", FAILED, True),
        ("pay", FAILED, False),
        ("once", FAILED, False),
        ("once", b"", False),
        ("read", b"", True),
    ],
)
def test_retries_by_itself_where_that_is_harmless(cls: str, first: bytes, again: bool) -> None:
    async def test() -> None:
        async with rig(first, OK) as world:
            assert (await world.ask(cls) == 200) is again
            asked = of(world.journal, Asked)
            assert len(asked) == 1 + again
            if again:
                assert asked[1].first == asked[0].request != asked[1].request
                assert asked[1].key == asked[0].key and asked[1].deadline_ms <= asked[0].at_ms + 2_001
                assert world.got[1].headers["client-retry"] == "1"
                wait = asked[1].at_ms - of(world.journal, Answered)[0].at_ms
                assert wait >= (100 if first is REFUSED else 12) - 2

    run(lambda: test())


def test_advice_to_wait_is_honoured_up_to_a_limit() -> None:
    async def test() -> None:
        long = answer(b"", "503 Busy", "Retry-After: 100")
        async with rig(long, OK, habits=Habits(follows_retry_after=1.0)) as world:
            assert await world.ask("read") == 503  # there would be no time left
            assert len(world.got) == 1
        async with rig(long, OK, habits=Habits(follows_retry_after=1.0)) as world:
            world.clients.site = replace(SITE, max_retry_after_ms=30)
            assert await world.ask("read") == 200

    run(test)


def test_once_more_at_most_and_not_at_all() -> None:
    async def test() -> None:
        async with rig(REFUSED) as world:
            assert await world.ask("read") == 503
            assert len(world.got) == 2
        async with rig(REFUSED, habits=Habits(retries=0)) as world:
            assert await world.ask("read") == 503
            assert len(world.got) == 1

    run(test)


def test_unreached_node() -> None:
    async def test() -> None:
        async with rig(OK) as world:
            good = world.front.nodes.pop("n0")
            server = await asyncio.start_server(world.serve, "127.0.0.1", 0)
            world.front.nodes["n1"] = server.sockets[0].getsockname()[:2]
            server.close()
            await server.wait_closed()
            asyncio.get_running_loop().call_later(0.005, world.front.nodes.update, {"n1": good})
            assert await world.ask("once") == 200  # nothing was taken, so it may be tried again
            assert [r.node for r in of(world.journal, Unreached)] == ["n1"]
            assert len(of(world.journal, Asked)) == 1
            world.front.nodes.clear()
            world.clients.close()
            assert await world.ask("once") == -1

    run(test)


def test_who_has_no_time_left_once_connected_does_not_ask(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the judge against requests that were late before any node had them, on a busy machine."""

    async def test() -> None:
        async with rig(OK) as world:
            connect, hasty = world.clients._get_connection, replace(SITE.classes[3], give_up_ms=30)

            async def late() -> Connection | str:
                connection = await connect()
                await asyncio.sleep(0.05)
                return connection

            monkeypatch.setattr(world.clients, "_get_connection", late)
            assert (await world.clients.ask(Arrival(0, "0" * 16, hasty, "", "north", None))).status == -1
            assert of(world.journal, Unreached) and not of(world.journal, Asked) and not world.got

    run(test)


def test_leaves_early() -> None:
    async def test() -> None:
        async with rig(OK) as world:

            async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
                """Say nothing."""

            world.reply = reply
            await world.ask("read", leaves_ms=30)
            assert [r.request for r in of(world.journal, ClientLeft)] == [world.got[0].headers["request-id"]]
            assert not of(world.journal, Answered) and not world.clients.connections

    run(test)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_ways_to_leave(how: Disconnect) -> None:
    async def test() -> None:
        seen: asyncio.Future[bytes | type[Exception]] = asyncio.get_running_loop().create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            try:
                seen.set_result(await reader.read(1))
            except ConnectionError as err:
                seen.set_result(type(err))
            await gate.wait()
            writer.close()

        gate = asyncio.Event()
        async with rig(OK) as world:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            world.front.nodes["n0"] = server.sockets[0].getsockname()[:2]
            await world.ask("read", leaves_ms=30, by=how)
            assert await seen == (ConnectionResetError if how == "reset" else b"")
            assert len(of(world.journal, ClientLeft)) == 1 and not of(world.journal, Answered)
            assert len(world.clients.connections) == (how == "half") and not world.clients.idle
            gate.set()
            await until(lambda: not world.clients.connections)
            server.close()

    run(test)


def test_those_who_leave_do_so_in_each_way() -> None:
    ways: tuple[Disconnect, ...] = ("close", "reset", "half")
    some, plain = (draw(SITE, 200, 2, 7, Habits(leaves=0.5, leaves_by=by)) for by in (ways, ways[:1]))
    assert {a.leaves_by for a in some if a.leaves_ms} == set(ways)
    assert [a.leaves_ms for a in some] == [a.leaves_ms for a in plain] and plain[1].leaves_by == "close"


def test_no_answer_in_time_is_seen() -> None:
    async def test() -> None:
        async with rig(OK, habits=Habits(try_timeout_share=(0.01, 0.01), retries=0)) as world:

            async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(0.1)
                writer.write(OK)

            world.reply = reply
            assert await world.ask("read") == 200
            asked, answered = of(world.journal, Asked)[0], of(world.journal, Answered)[0]
            assert answered.at_ms > asked.deadline_ms + 50

    run(test)


def test_second_answers_and_broken_ones_are_recorded() -> None:
    async def test() -> None:
        async with rig(OK + OK) as world:
            assert await world.ask("read") == 200
            assert sorted(r.whole for r in of(world.journal, Answered)) == [False, True]
        async with rig(OK) as world:

            async def twice(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(OK)
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(OK)

            world.reply = twice
            assert await world.ask("read") == 200
            await until(lambda: len(of(world.journal, Answered)) == 2)
            assert [r.whole for r in of(world.journal, Answered)] == [True, False]
        async with rig(answer(b"long body")[:-4], habits=Habits(retries=0)) as world:

            async def half(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(answer(b"long body")[:-4])
                writer.close()

            world.reply = half
            await world.ask("once")
            assert [(r.status, r.whole) for r in of(world.journal, Answered)] == [(200, False)]

    run(test)


def test_a_close_between_two_requests_is_no_lost_request() -> None:
    """A node that closes with a request unread resets; one that had read it ends plainly."""

    async def test(read_first: bool) -> None:
        async with rig(OK, habits=Habits(retries=0)) as world:
            closes = asyncio.Event()

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                world.got.append(await read_message(reader))
                writer.write(OK)
                reader._transport.pause_reading()  # type: ignore[attr-defined]
                if len(world.got) == 1:
                    await closes.wait()
                    if read_first:
                        reader._transport.resume_reading()  # type: ignore[attr-defined]
                        await read_message(reader)
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            world.front.nodes["n0"] = server.sockets[0].getsockname()[:2]
            assert await world.ask("once") == 200
            second = asyncio.create_task(world.ask("once"))
            await until(lambda: len(of(world.journal, Asked)) == 2)
            await asyncio.sleep(0.02)
            closes.set()
            status = await second
            server.close()
            asked = of(world.journal, Asked)
            if read_first:
                assert status == 0 and not of(world.journal, Crossed) and len(asked) == 2
                assert [r.whole for r in of(world.journal, Answered)] == [True, False]
            else:
                assert status == 200 and asked[1].request == asked[2].request
                assert [r.request for r in of(world.journal, Crossed)] == [asked[1].request]

    run(lambda: test(True))
    run(lambda: test(False))


def test_a_new_connection_that_ends_has_lost_its_request() -> None:
    async def test() -> None:
        async with rig(OK, habits=Habits(retries=0)) as world:
            loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            world.front.nodes["n0"] = listener.getsockname()[:2]
            asking = asyncio.create_task(world.ask("once"))
            sock, _ = await loop.sock_accept(listener)
            await until(lambda: of(world.journal, Asked))
            sock.close()  # with the request unread, which resets
            assert await asking == 0
            assert [r.whole for r in of(world.journal, Answered)] == [False]
            assert not of(world.journal, Crossed)
            listener.close()

    run(test)


def test_written_to_a_connection_that_had_ended() -> None:
    """The end of the connection was there before the request, and this side had not read it yet."""

    async def test() -> None:
        async with rig(OK, habits=Habits(retries=0)) as world:
            loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            world.front.nodes["n0"] = listener.getsockname()[:2]
            socks: list[socket.socket] = []

            async def serve() -> None:
                while True:
                    sock, _ = await loop.sock_accept(listener)
                    socks.append(sock)
                    await loop.sock_recv(sock, 4096)
                    await loop.sock_sendall(sock, OK)

            task = asyncio.create_task(serve())
            assert await world.ask("once") == 200
            socks[0].close()
            assert await world.ask("once") == 200  # it writes before the loop takes another turn
            assert len(of(world.journal, Crossed)) == 1 and len(socks) == 2
            task.cancel()
            for sock in (*socks, listener):
                sock.close()

    run(test)
