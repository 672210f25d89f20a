"""Tests of the load generator against fake nodes: arrivals, retries, connections and recorded events."""

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


class ClientHarness:
    """A fake node and the clients that send requests to it."""

    def __init__(self, reply: Reply, habits: Habits | None) -> None:
        self.reply, self.journal, self.front = reply, Journal(), FrontEnd()
        self.clients = Clients(SITE, self.journal, self.front, 1, habits)
        self.received: list[Message] = []
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                self.received.append(message)
                await self.reply(message, writer)
        writer.close()

    async def ask(self, cls: str, leaves_ms: float | None = None, by: Disconnect = "close") -> int:
        """Send one request; return its final status."""
        found = SITE.find(cls)
        assert found is not None
        name = f"{len(self.journal):016x}"
        key = f"key-{name}" if found.effect is Idempotency.KEYED else ""
        return (await self.clients.ask(Arrival(0, name, found, key, "north", leaves_ms, by))).status


@contextlib.asynccontextmanager
async def running_clients(*replies: bytes, habits: Habits | None = None) -> AsyncIterator[ClientHarness]:
    """Run a node that sends these replies in turn and then repeats the last; an empty one closes."""
    remaining = list(replies)

    async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
        text = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        if text:
            writer.write(text)
        else:
            writer.close()

    harness = ClientHarness(reply, habits)
    server = await asyncio.start_server(harness.serve, "127.0.0.1", 0)
    harness.front.nodes["n0"] = server.sockets[0].getsockname()[:2]
    try:
        yield harness
    finally:
        harness.clients.close()
        server.close()


OK, REFUSED, FAILED = answer(b"ok"), answer(b"", "503 Busy", "Retry-After: 0.1"), answer(b"", "502 No")


def test_draw_same_seed_gives_same_arrivals() -> None:
    calm = draw(SITE, 200, 5, 7)
    assert calm == draw(SITE, 200, 5, 7) != draw(SITE, 200, 5, 8)
    assert 850 < len(calm) < 1150
    assert [a.at_ms for a in calm] == sorted(a.at_ms for a in calm)
    assert set(Counter(a.cls.name for a in calm)) == {"read", "pay", "any", "once"}
    assert all(bool(a.key) is (a.cls.effect is Idempotency.KEYED) for a in calm)
    burst = draw(SITE, 200, 5, 7, Habits(bursts=((1, 2, 3.0),)))
    inside = sum(1_000 <= a.at_ms < 2_000 for a in burst)
    assert 500 < inside < 700 and 700 < len(burst) - inside < 900


def test_clients_send_without_waiting_for_responses() -> None:
    async def test() -> None:
        async with running_clients(OK) as harness:
            gate = asyncio.Event()

            async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
                await gate.wait()
                writer.write(OK)

            harness.reply = reply
            play = asyncio.create_task(harness.clients.play(draw(SITE, 200, 0.1, 1)))
            await until(lambda: len(harness.received) == len(draw(SITE, 200, 0.1, 1)))
            assert harness.connections == len(harness.received) > 5
            gate.set()
            await play
            assert len(of(harness.journal, Answered)) == len(harness.received)
            await harness.ask("read")
            assert harness.connections == len(harness.received) - 1  # the last request reused a connection

    run(test)


def test_clients_wait_for_late_response_that_checker_excuses() -> None:
    """Guards against a false breach: a node without CPU time answers late, which the checker excuses."""

    async def test() -> None:
        async with running_clients(OK) as harness:

            async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(STARVED_MS / 1000 - 0.1)
                harness.journal.add(NodeHeldUp("n0", now_ms(), STARVED_MS))
                writer.write(FAILED)

            harness.reply = reply
            hasty = replace(SITE.classes[3], give_up_ms=30)
            await harness.clients.ask(Arrival(0, "r1", hasty, "", "north", None))
            harness.journal.add(
                HeldUp(now_ms() + 5_000, 0.1)
            )  # moves the end of the journal past every deadline
            (late,) = of(harness.journal, Answered)
            assert late.status == 502 and not (breaches := judge(harness.journal, SITE).breaches), breaches

    run(test)


def test_clients_request_has_expected_headers_and_records() -> None:
    async def test() -> None:
        async with running_clients(OK) as harness:
            assert await harness.ask("pay") == 200
            message, asked = harness.received[0], of(harness.journal, Asked)[0]
            assert message.start.startswith("POST /pay/x?obj=") and message.headers["tenant"] == "north"
            assert message.headers["request-id"] == asked.request == asked.first
            assert message.headers["idempotency-key"] == asked.key != ""
            limit = float(message.headers["request-timeout"].removesuffix("u")) / 1000
            assert 0.7 * 2_000 - 1 <= limit <= 2_000
            assert asked.deadline_ms == pytest.approx(asked.at_ms + limit, abs=1)
            assert asked.form.startswith(message.start.removesuffix(" HTTP/1.1"))
            wanted, answered = of(harness.journal, Wanted)[0], of(harness.journal, Answered)[0]
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
def test_clients_retry_only_where_safe(cls: str, first: bytes, again: bool) -> None:
    async def test() -> None:
        async with running_clients(first, OK) as harness:
            assert (await harness.ask(cls) == 200) is again
            asked = of(harness.journal, Asked)
            assert len(asked) == 1 + again
            if again:
                assert asked[1].first == asked[0].request != asked[1].request
                assert asked[1].key == asked[0].key and asked[1].deadline_ms <= asked[0].at_ms + 2_001
                assert harness.received[1].headers["client-retry"] == "1"
                wait = asked[1].at_ms - of(harness.journal, Answered)[0].at_ms
                assert wait >= (100 if first is REFUSED else 12) - 2

    run(lambda: test())


def test_clients_retry_after_is_followed_up_to_limit() -> None:
    async def test() -> None:
        long = answer(b"", "503 Busy", "Retry-After: 100")
        async with running_clients(long, OK, habits=Habits(follows_retry_after=1.0)) as harness:
            assert await harness.ask("read") == 503  # the retry would exceed the deadline
            assert len(harness.received) == 1
        async with running_clients(long, OK, habits=Habits(follows_retry_after=1.0)) as harness:
            harness.clients.site = replace(SITE, max_retry_after_ms=30)
            assert await harness.ask("read") == 200

    run(test)


def test_clients_retries_are_limited() -> None:
    async def test() -> None:
        async with running_clients(REFUSED) as harness:
            assert await harness.ask("read") == 503
            assert len(harness.received) == 2
        async with running_clients(REFUSED, habits=Habits(retries=0)) as harness:
            assert await harness.ask("read") == 503
            assert len(harness.received) == 1

    run(test)


def test_clients_unreachable_node_is_recorded_and_retried() -> None:
    async def test() -> None:
        async with running_clients(OK) as harness:
            good = harness.front.nodes.pop("n0")
            server = await asyncio.start_server(harness.serve, "127.0.0.1", 0)
            harness.front.nodes["n1"] = server.sockets[0].getsockname()[:2]
            server.close()
            await server.wait_closed()
            asyncio.get_running_loop().call_later(0.005, harness.front.nodes.update, {"n1": good})
            assert await harness.ask("once") == 200  # the node received nothing, so a retry is safe
            assert [r.node for r in of(harness.journal, Unreached)] == ["n1"]
            assert len(of(harness.journal, Asked)) == 1
            harness.front.nodes.clear()
            harness.clients.close()
            assert await harness.ask("once") == -1

    run(test)


def test_clients_timeout_while_connecting_sends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against false breaches on a busy machine: a request that was late before any node had it."""

    async def test() -> None:
        async with running_clients(OK) as harness:
            connect, hasty = harness.clients._get_connection, replace(SITE.classes[3], give_up_ms=30)

            async def late() -> Connection | str:
                connection = await connect()
                await asyncio.sleep(0.05)
                return connection

            monkeypatch.setattr(harness.clients, "_get_connection", late)
            assert (await harness.clients.ask(Arrival(0, "0" * 16, hasty, "", "north", None))).status == -1
            assert of(harness.journal, Unreached) and not of(harness.journal, Asked) and not harness.received

    run(test)


def test_clients_early_disconnect_is_recorded() -> None:
    async def test() -> None:
        async with running_clients(OK) as harness:

            async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
                """Send no response."""

            harness.reply = reply
            await harness.ask("read", leaves_ms=30)
            assert [r.request for r in of(harness.journal, ClientLeft)] == [
                harness.received[0].headers["request-id"]
            ]
            assert not of(harness.journal, Answered) and not harness.clients.connections

    run(test)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_clients_disconnect_by_close_reset_or_half_close(how: Disconnect) -> None:
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
        async with running_clients(OK) as harness:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            harness.front.nodes["n0"] = server.sockets[0].getsockname()[:2]
            await harness.ask("read", leaves_ms=30, by=how)
            assert await seen == (ConnectionResetError if how == "reset" else b"")
            assert len(of(harness.journal, ClientLeft)) == 1 and not of(harness.journal, Answered)
            assert len(harness.clients.connections) == (how == "half") and not harness.clients.idle
            gate.set()
            await until(lambda: not harness.clients.connections)
            server.close()

    run(test)


def test_draw_disconnects_in_every_configured_way() -> None:
    ways: tuple[Disconnect, ...] = ("close", "reset", "half")
    some, plain = (draw(SITE, 200, 2, 7, Habits(leaves=0.5, leaves_by=by)) for by in (ways, ways[:1]))
    assert {a.leaves_by for a in some if a.leaves_ms} == set(ways)
    assert [a.leaves_ms for a in some] == [a.leaves_ms for a in plain] and plain[1].leaves_by == "close"


def test_clients_late_response_is_recorded() -> None:
    async def test() -> None:
        async with running_clients(OK, habits=Habits(try_timeout_share=(0.01, 0.01), retries=0)) as harness:

            async def reply(message: Message, writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(0.1)
                writer.write(OK)

            harness.reply = reply
            assert await harness.ask("read") == 200
            asked, answered = of(harness.journal, Asked)[0], of(harness.journal, Answered)[0]
            assert answered.at_ms > asked.deadline_ms + 50

    run(test)


def test_clients_second_and_incomplete_responses_are_recorded() -> None:
    async def test() -> None:
        async with running_clients(OK + OK) as harness:
            assert await harness.ask("read") == 200
            assert sorted(r.whole for r in of(harness.journal, Answered)) == [False, True]
        async with running_clients(OK) as harness:

            async def twice(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(OK)
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(OK)

            harness.reply = twice
            assert await harness.ask("read") == 200
            await until(lambda: len(of(harness.journal, Answered)) == 2)
            assert [r.whole for r in of(harness.journal, Answered)] == [True, False]
        async with running_clients(answer(b"long body")[:-4], habits=Habits(retries=0)) as harness:

            async def half(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(answer(b"long body")[:-4])
                writer.close()

            harness.reply = half
            await harness.ask("once")
            assert [(r.status, r.whole) for r in of(harness.journal, Answered)] == [(200, False)]

    run(test)


def test_clients_request_crossing_close_is_resent() -> None:
    """A node that closes with an unread request causes a reset; after reading it, a normal close."""

    async def test(read_first: bool) -> None:
        async with running_clients(OK, habits=Habits(retries=0)) as harness:
            closes = asyncio.Event()

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                harness.received.append(await read_message(reader))
                writer.write(OK)
                reader._transport.pause_reading()  # type: ignore[attr-defined]
                if len(harness.received) == 1:
                    await closes.wait()
                    if read_first:
                        reader._transport.resume_reading()  # type: ignore[attr-defined]
                        await read_message(reader)
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            harness.front.nodes["n0"] = server.sockets[0].getsockname()[:2]
            assert await harness.ask("once") == 200
            second = asyncio.create_task(harness.ask("once"))
            await until(lambda: len(of(harness.journal, Asked)) == 2)
            await asyncio.sleep(0.02)
            closes.set()
            status = await second
            server.close()
            asked = of(harness.journal, Asked)
            if read_first:
                assert status == 0 and not of(harness.journal, Crossed) and len(asked) == 2
                assert [r.whole for r in of(harness.journal, Answered)] == [True, False]
            else:
                assert status == 200 and asked[1].request == asked[2].request
                assert [r.request for r in of(harness.journal, Crossed)] == [asked[1].request]

    run(lambda: test(True))
    run(lambda: test(False))


def test_clients_new_connection_reset_loses_request() -> None:
    async def test() -> None:
        async with running_clients(OK, habits=Habits(retries=0)) as harness:
            loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            harness.front.nodes["n0"] = listener.getsockname()[:2]
            asking = asyncio.create_task(harness.ask("once"))
            sock, _ = await loop.sock_accept(listener)
            await until(lambda: of(harness.journal, Asked))
            sock.close()  # the request is unread, which causes a reset
            assert await asking == 0
            assert [r.whole for r in of(harness.journal, Answered)] == [False]
            assert not of(harness.journal, Crossed)
            listener.close()

    run(test)


def test_clients_request_on_closed_connection_is_resent() -> None:
    """The node closed the connection before the request, and the client had not yet read the close."""

    async def test() -> None:
        async with running_clients(OK, habits=Habits(retries=0)) as harness:
            loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            harness.front.nodes["n0"] = listener.getsockname()[:2]
            socks: list[socket.socket] = []

            async def serve() -> None:
                while True:
                    sock, _ = await loop.sock_accept(listener)
                    socks.append(sock)
                    await loop.sock_recv(sock, 4096)
                    await loop.sock_sendall(sock, OK)

            task = asyncio.create_task(serve())
            assert await harness.ask("once") == 200
            socks[0].close()
            assert await harness.ask("once") == 200  # the client writes before the event loop reads the close
            assert len(of(harness.journal, Crossed)) == 1 and len(socks) == 2
            task.cancel()
            for sock in (*socks, listener):
                sock.close()

    run(test)
