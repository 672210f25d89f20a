"""The stand-in app servers, over loopback: what they answer, when they turn away, fall, die, come back."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from functools import partial

import pytest

from balancer.interface import Idempotency
from balancer.testbed import backend_emulator as servers
from balancer.testbed.backend_emulator import (
    Fleet,
    Machine,
    SeenKeys,
    Server,
)
from balancer.testbed.event_log import (
    Journal,
    LetGo,
    Ran,
    Received,
    Replied,
    ServerEnded,
    ServerStarted,
    TurnedAway,
)
from balancer.testbed.service_profile import RequestClass, Rules, Site
from tests.testbed.cluster_fixtures import (
    Wire,
    of,
    run,
    until,
)

SITE = Site(
    classes=(
        RequestClass("read", Idempotency.IDEMPOTENT, 500, 1_000, work_ms=10, spread=0),
        RequestClass("long", Idempotency.IDEMPOTENT, 500, 60_000, work_ms=60_000, spread=0),
        RequestClass("pay", Idempotency.KEYED, 500, 1_000, work_ms=10, spread=0, memory_ms=60_000),
    ),
    rules=Rules(warm_ms=60_000),
)
ONE = Machine(cores=1, queue=1, handshake_ms=0)


@contextlib.asynccontextmanager
async def fleet(count: int = 1, machine: Machine = ONE, site: Site = SITE) -> AsyncIterator[Fleet]:
    """Servers s0 and so on, warm."""
    out = Fleet(site, Journal(), seed=1)
    try:
        for n in range(count):
            await out.add(f"s{n}", machine, zone="a").start()
        yield out
    finally:
        out.stop()


def count(journal: Journal, number: int) -> bool:
    """Whether so many requests have come."""
    return len(of(journal, Received)) == number


async def to(server: Server) -> Wire:
    """A connection."""
    return await Wire.to(server.host, server.port)


def test_serves_and_records() -> None:
    async def test() -> None:
        async with fleet() as world:
            wire = await to(world["s0"])
            for name in ("r1", "r2"):
                got = await wire.ask(name, "/read/x?obj=1")
                assert got.code == 200 and name in got.body.decode()
            journal = world.journal
            first, second = of(journal, Received)
            assert (first.request, first.connection) == ("r1", 1) == ("r1", second.connection)
            assert first.last_byte_at_ms is not None and first.first_byte_at_ms <= first.last_byte_at_ms
            assert first.form.startswith("GET /read/x?obj=1 ")
            ran = of(journal, Ran)[0]
            assert ran.ended_at_ms is not None and ran.ended_at_ms - ran.began_at_ms >= ran.cost_ms - 1 >= 8
            assert [r.body for r in of(journal, Replied)][1] == got.body.decode()
            assert (await wire.ask("", "/read/x")).code == 404

    run(test)


def test_queue_is_bounded_and_turns_away() -> None:
    async def test() -> None:
        async with fleet() as world:
            wires = [await to(world["s0"]) for _ in range(3)]
            for n, wire in enumerate(wires):
                wire.send(f"r{n}", "/long/x")
                await until(partial(count, world.journal, n + 1))
            got = await wires[2].answer()
            assert (got.code, got.headers["not-started"]) == (503, "1")
            assert [r.reason for r in of(world.journal, TurnedAway)] == ["queue full"]
            assert (len(world["s0"].running), len(world["s0"].waiting)) == (1, 1)

    run(test)


def test_drains() -> None:
    async def test() -> None:
        async with fleet() as world:
            held, new = await to(world["s0"]), await to(world["s0"])
            held.send("r1")
            await until(lambda: of(world.journal, Received))
            world["s0"].drain()
            got = await new.ask("r2")
            assert (got.code, got.headers["not-started"]) == (503, "1")
            assert (await held.answer()).code == 200
            held.send("r3")
            assert (await held.answer()).code == 503
            world["s0"].stop()
            assert await held.end() == b""
            assert [r.how for r in of(world.journal, ServerEnded)] == ["stopped"]

    run(test)


def test_connection_cap() -> None:
    async def test() -> None:
        async with fleet(machine=Machine(connections=1)) as world:
            first, second = await to(world["s0"]), await to(world["s0"])
            assert (await first.ask("r1")).code == 200
            got = await second.ask("r2")
            assert (got.code, got.headers["not-started"]) == (503, "1")
            assert await second.end() == b""

    run(test)


def test_dies_and_comes_back_cold_behind_its_address() -> None:
    async def test() -> None:
        async with fleet() as world:
            server = world["s0"]
            wire, port = await to(server), server.port
            wire.send("r1", "/long/x")
            await until(lambda: of(world.journal, Received))
            server.die()
            with pytest.raises(ConnectionResetError):
                await wire.end()
            with pytest.raises(ConnectionRefusedError):
                await to(server)
            assert [r.by for r in of(world.journal, LetGo)] == ["server"]
            assert [r.ended_at_ms for r in of(world.journal, Ran)] == [None]
            await server.start(cold=True)
            assert server.port == port and server.member()["up_since_ms"] > 1e12
            assert (await (await to(server)).ask("r2")).code == 200
            cold = of(world.journal, ServerStarted)[1]
            assert (cold.incarnation, cold.cold_share) == (2, SITE.rules.cold_share)
            assert of(world.journal, Ran)[1].cost_ms > 3 * 10  # at about 0.3 of its speed
            server.die()
            await server.start(new_port=True)
            assert server.port != port

    run(test)


def test_cold_server_falls_and_stays_down() -> None:
    async def test() -> None:
        async with fleet(machine=Machine(cores=1, queue=100)) as world:
            server = world["s0"]
            server.die()
            await server.start(cold=True)
            # 3 x 0.3 of one core for 1 s is 900 ms: one request of a minute is far beyond its chance.
            wires = [await to(server) for _ in range(20)]
            for n, wire in enumerate(wires):
                wire.send(f"r{n}", "/long/x")
            await until(lambda: not server.up)
            assert [r.how for r in of(world.journal, ServerEnded)] == ["died", "fell"]
            assert len(of(world.journal, Received)) < 20

    run(test)


def test_something_else_at_its_address_answers_404_to_all() -> None:
    async def test() -> None:
        async with fleet() as world:
            server, wire = world["s0"], await to(world["s0"])
            assert (await wire.ask("r1", "/read/x?obj=1")).code == 200
            server.usurp()
            assert not server.connections
            for name in ("r2", "r3", "r4"):
                assert (await (await to(server)).ask(name, "/read/x?obj=1")).code == 404
            last = of(world.journal, Replied)[-1]
            assert (last.request, last.status) == ("r4", 404) and len(of(world.journal, Ran)) == 1
            assert server.busiest == 4
            server.die()
            await server.start()
            assert (await (await to(server)).ask("r9", "/read/x?obj=1")).code == 200

    run(test)


def test_hangs_and_goes_on() -> None:
    async def test() -> None:
        async with fleet() as world:
            wires = [await to(world["s0"]) for _ in range(4)]
            wire = wires[0]
            wire.send("r1")
            await until(lambda: world["s0"].running)
            world["s0"].hang()
            for n, other in enumerate(wires[1:]):
                other.send(f"more{n}")  # more than it would queue: it turns nothing away
            await until(partial(count, world.journal, 4))
            await asyncio.sleep(0.05)
            assert not of(world.journal, Replied) and not of(world.journal, TurnedAway)
            world["s0"].resume()
            for other in wires:
                assert (await other.answer()).code == 200
            world["s0"].slow(20)
            assert (await wire.ask("r2")).code == 200
            assert of(world.journal, Ran)[-1].cost_ms >= 200
            world["s0"].slow(1)
            world["s0"].fail(1.0)
            assert (await wire.ask("r3")).code == 500

    run(test)


def test_repeat_of_a_key_has_no_second_effect() -> None:
    async def test() -> None:
        async with fleet(2) as world:
            for n, server in enumerate(world.servers.values()):
                wire = await to(server)
                got = await wire.ask(f"p{n}", "/pay/x", "Idempotency-Key: k", method="POST", body="{}")
                assert got.code == 200
            assert [r.repeat for r in of(world.journal, Ran)] == [False, True]
            assert [r.key for r in of(world.journal, Received)] == ["k", "k"]

    run(test)


def test_keys_that_a_group_remembers(monkeypatch: pytest.MonkeyPatch) -> None:
    memory = SeenKeys()
    assert memory.add("k", 0, 100) and not memory.add("k", 100, 100)
    assert memory.add("k", 101, 100)  # forgotten by then
    memory.discard("k")
    assert memory.add("k", 102, 100)
    monkeypatch.setattr(servers, "MAX_REMEMBERED_KEYS", 3)
    for n in range(5):
        assert memory.add(f"other{n}", 103, 100)
    assert len(memory.added_at_ms) == 3 and memory.add("k", 103, 100)


def test_another_group_knows_nothing_of_a_key() -> None:
    async def test() -> None:
        async with fleet() as world:
            await world.add("far", ONE, zone="b").start()
            for name in ("s0", "far"):
                wire = await to(world[name])
                assert (await wire.ask(name, "/pay/x", "Idempotency-Key: k", method="POST")).code == 200
            assert [r.repeat for r in of(world.journal, Ran)] == [False, False]

    run(test)


async def pay(wire: Wire, name: str, *headers: str) -> int:
    """A keyed request, always the same one."""
    return (await wire.ask(name, "/pay/x", "Idempotency-Key: k", *headers, method="POST")).code


def test_a_key_that_did_not_come_to_run_is_forgotten() -> None:
    async def test() -> None:
        async with fleet(machine=Machine(cores=1, drops=True)) as world:
            server = world["s0"]
            server.slow(20)
            first, second, third = [await to(server) for _ in range(3)]
            first.send("r1")
            await until(lambda: server.running)
            assert await pay(second, "p1", "Request-Timeout: 1m") == 503  # over before it could begin
            assert [r.reason for r in of(world.journal, TurnedAway)] == ["the request is over"]
            first.send("r2")
            await until(lambda: server.running)
            server.slow(1)
            second.send("p2", "/pay/x", "Idempotency-Key: k", method="POST")
            await until(lambda: server.waiting)
            second.close()
            await until(lambda: not server.waiting)
            assert await pay(third, "p3") == 200
            assert [(r.request, r.repeat) for r in of(world.journal, Ran)][-1] == ("p3", False)

    run(test)


def test_a_server_that_dies_forgets_what_waited() -> None:
    async def test() -> None:
        async with fleet() as world:
            server = world["s0"]
            first, second = await to(server), await to(server)
            first.send("r1", "/long/x")
            await until(lambda: server.running)
            second.send("p1", "/pay/x", "Idempotency-Key: k", method="POST")
            await until(lambda: server.waiting)
            server.die()
            await server.start()
            assert await pay(await to(server), "p2") == 200
            assert [(r.request, r.repeat) for r in of(world.journal, Ran)] == [("r1", False), ("p2", False)]

    run(test)


def test_new_connections_cost_work() -> None:
    async def test() -> None:
        async with fleet(machine=Machine(handshake_ms=7)) as world:
            wire = await to(world["s0"])
            for name in ("r1", "r2"):
                await wire.ask(name)
            assert [r.work_ms for r in of(world.journal, Received)] == [17, 10]

    run(test)


@pytest.mark.parametrize(
    "data",
    [
        b"POST /pay/x HTTP/1.1\r\nRequest-Id: p\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
        2 * b"GET /long/x HTTP/1.1\r\nRequest-Id: r\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
    ids=["too large", "two at once", "no HTTP"],
)
def test_resets_what_is_no_single_request(data: bytes) -> None:
    async def test() -> None:
        async with fleet() as world:
            wire = await to(world["s0"])
            wire.writer.write(data)
            with pytest.raises(ConnectionError):
                await wire.end()
            await until(lambda: not world["s0"].connections)

    run(test)


@pytest.mark.parametrize("drops", [False, True])
def test_work_that_waits_for_a_node_that_left(drops: bool) -> None:
    async def test() -> None:
        async with fleet(machine=Machine(cores=1, drops=drops, handshake_ms=0)) as world:
            first, second = await to(world["s0"]), await to(world["s0"])
            world["s0"].slow(20)
            first.send("p1", "/pay/x", "Idempotency-Key: k1", method="POST")
            await until(lambda: of(world.journal, Received))
            world["s0"].slow(1)
            second.send("p2", "/pay/x", "Idempotency-Key: k2", method="POST")
            await until(lambda: len(of(world.journal, Received)) == 2)
            second.close()
            assert (await first.answer()).code == 200
            await until(lambda: of(world.journal, LetGo))
            await until(lambda: not world["s0"].running)
            assert [r.request for r in of(world.journal, Ran)] == ["p1"] + ([] if drops else ["p2"])

    run(test)


def test_breaks_before_the_last_byte() -> None:
    async def test() -> None:
        async with fleet() as world:
            wire = await to(world["s0"])
            wire.writer.write(b"POST /pay/x HTTP/1.1\r\nRequest-Id: p1\r\nContent-Length: 9\r\n\r\n{")
            await wire.writer.drain()
            await until(lambda: world["s0"].connections)
            await asyncio.sleep(0.02)
            wire.close()
            await until(lambda: of(world.journal, Received))
            got = of(world.journal, Received)[0]
            assert (got.request, got.last_byte_at_ms) == ("p1", None)

    run(test)


def test_reports_are_late() -> None:
    async def test() -> None:
        machine = Machine(cores=1, report_ms=40, report_late_ms=10, report_noise=0)
        async with fleet(machine=machine) as world:
            wire, other = await to(world["s0"]), await to(world["s0"])
            other.send("r0", "/long/x")
            async with asyncio.timeout(10):
                while "inflight=1, queue=0" not in world["s0"].report:
                    await asyncio.sleep(0.01)
            world["s0"].drain()
            assert (await wire.ask("r1")).headers["server-load"] == "TEXT inflight=1, queue=0"

    run(test)


def test_closes_what_is_idle() -> None:
    async def test() -> None:
        async with fleet(site=Site(classes=SITE.classes, idle_ms=50)) as world:
            wire = await to(world["s0"])
            assert (await wire.ask("r1")).code == 200
            assert await wire.end() == b""

    run(test)


def test_crowding_costs() -> None:
    async def test() -> None:
        crowded = Machine(cores=1, queue=50, crowd=1.0, crowd_at=1.0, handshake_ms=0)
        async with fleet(machine=crowded) as world:
            wires = [await to(world["s0"]) for _ in range(5)]
            for n, wire in enumerate(wires):
                wire.send(f"r{n}")
            for wire in wires:
                assert (await wire.answer()).code == 200
            costs = [r.cost_ms for r in of(world.journal, Ran)]
            assert max(costs) >= 2 * 10 and costs[-1] == pytest.approx(10)

    run(test)


def test_two_hundred_in_one_process() -> None:
    async def test() -> None:
        async with fleet(200) as world:
            assert len({s.host for s in world.servers.values()}) == 200
            assert len(world.members()) == 200
            wires = [await to(s) for s in world.servers.values()]
            for n, wire in enumerate(wires):
                wire.send(f"r{n}")
            for wire in wires:
                assert (await wire.answer()).code == 200
                wire.close()

    run(test)


def test_one_that_vanished_answers_no_connect_and_is_back_at_its_address() -> None:
    async def test() -> None:
        async with fleet() as world:
            wire, server = await to(world["s0"]), world["s0"]
            server.vanish()
            server.vanish()
            wire.send("r1")
            await until(partial(count, world.journal, 1))
            with pytest.raises(TimeoutError):  # nor is it refused
                await asyncio.wait_for(to(server), 0.3)
            server.die()
            with pytest.raises(ConnectionResetError):
                await wire.end()
            with pytest.raises(ConnectionRefusedError):
                await to(server)
            await server.start(cold=True)
            assert (await (await to(server)).ask("r2")).code == 200

    run(test)
