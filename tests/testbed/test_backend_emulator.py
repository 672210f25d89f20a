"""Tests of the backend emulator over loopback: responses, rejections, overload, crashes and restarts."""

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
SINGLE_CORE = Machine(cores=1, queue=1, handshake_ms=0)


@contextlib.asynccontextmanager
async def running_fleet(
    count: int = 1, machine: Machine = SINGLE_CORE, site: Site = SITE
) -> AsyncIterator[Fleet]:
    """Run `count` warm servers, named s0, s1 and so on."""
    fleet = Fleet(site, Journal(), seed=1)
    try:
        for n in range(count):
            await fleet.add(f"s{n}", machine, zone="a").start()
        yield fleet
    finally:
        fleet.stop()


def has_received(journal: Journal, number: int) -> bool:
    """Whether exactly this many requests were received."""
    return len(of(journal, Received)) == number


async def connect(server: Server) -> Wire:
    """Open a connection to a server."""
    return await Wire.to(server.host, server.port)


def test_server_request_is_answered_and_recorded() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            wire = await connect(fleet["s0"])
            for name in ("r1", "r2"):
                response = await wire.ask(name, "/read/x?obj=1")
                assert response.code == 200 and name in response.body.decode()
            journal = fleet.journal
            first, second = of(journal, Received)
            assert (first.request, first.connection) == ("r1", 1) == ("r1", second.connection)
            assert first.last_byte_at_ms is not None and first.first_byte_at_ms <= first.last_byte_at_ms
            assert first.form.startswith("GET /read/x?obj=1 ")
            ran = of(journal, Ran)[0]
            assert ran.ended_at_ms is not None and ran.ended_at_ms - ran.began_at_ms >= ran.cost_ms - 1 >= 8
            assert [r.body for r in of(journal, Replied)][1] == response.body.decode()
            assert (await wire.ask("", "/read/x")).code == 404

    run(test)


def test_server_full_queue_rejects_request() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            wires = [await connect(fleet["s0"]) for _ in range(3)]
            for n, wire in enumerate(wires):
                wire.send(f"r{n}", "/long/x")
                await until(partial(has_received, fleet.journal, n + 1))
            response = await wires[2].answer()
            assert (response.code, response.headers["not-started"]) == (503, "1")
            assert [r.reason for r in of(fleet.journal, TurnedAway)] == ["queue full"]
            assert (len(fleet["s0"].running), len(fleet["s0"].waiting)) == (1, 1)

    run(test)


def test_server_draining_finishes_held_and_rejects_new_requests() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            held, new = await connect(fleet["s0"]), await connect(fleet["s0"])
            held.send("r1")
            await until(lambda: of(fleet.journal, Received))
            fleet["s0"].drain()
            response = await new.ask("r2")
            assert (response.code, response.headers["not-started"]) == (503, "1")
            assert (await held.answer()).code == 200
            held.send("r3")
            assert (await held.answer()).code == 503
            fleet["s0"].stop()
            assert await held.end() == b""
            assert [r.how for r in of(fleet.journal, ServerEnded)] == ["stopped"]

    run(test)


def test_server_above_connection_limit_rejects_request() -> None:
    async def test() -> None:
        async with running_fleet(machine=Machine(connections=1)) as fleet:
            first, second = await connect(fleet["s0"]), await connect(fleet["s0"])
            assert (await first.ask("r1")).code == 200
            response = await second.ask("r2")
            assert (response.code, response.headers["not-started"]) == (503, "1")
            assert await second.end() == b""

    run(test)


def test_server_restart_after_death_is_cold_at_same_address() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            server = fleet["s0"]
            wire, port = await connect(server), server.port
            wire.send("r1", "/long/x")
            await until(lambda: of(fleet.journal, Received))
            server.die()
            with pytest.raises(ConnectionResetError):
                await wire.end()
            with pytest.raises(ConnectionRefusedError):
                await connect(server)
            assert [r.by for r in of(fleet.journal, LetGo)] == ["server"]
            assert [r.ended_at_ms for r in of(fleet.journal, Ran)] == [None]
            await server.start(cold=True)
            assert server.port == port and server.member()["up_since_ms"] > 1e12
            assert (await (await connect(server)).ask("r2")).code == 200
            cold = of(fleet.journal, ServerStarted)[1]
            assert (cold.incarnation, cold.cold_share) == (2, SITE.rules.cold_share)
            assert of(fleet.journal, Ran)[1].cost_ms > 3 * 10  # a cold server has about 0.3 of its speed
            server.die()
            await server.start(new_port=True)
            assert server.port != port

    run(test)


def test_server_cold_and_overloaded_falls_and_stays_down() -> None:
    async def test() -> None:
        async with running_fleet(machine=Machine(cores=1, queue=100)) as fleet:
            server = fleet["s0"]
            server.die()
            await server.start(cold=True)
            # The budget is 3 x 0.3 of one core for 1 s = 900 ms: one request of a minute far exceeds it.
            wires = [await connect(server) for _ in range(20)]
            for n, wire in enumerate(wires):
                wire.send(f"r{n}", "/long/x")
            await until(lambda: not server.up)
            assert [r.how for r in of(fleet.journal, ServerEnded)] == ["died", "fell"]
            assert len(of(fleet.journal, Received)) < 20

    run(test)


def test_server_usurped_answers_404_until_restart() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            server, wire = fleet["s0"], await connect(fleet["s0"])
            assert (await wire.ask("r1", "/read/x?obj=1")).code == 200
            server.usurp()
            assert not server.connections
            for name in ("r2", "r3", "r4"):
                assert (await (await connect(server)).ask(name, "/read/x?obj=1")).code == 404
            last = of(fleet.journal, Replied)[-1]
            assert (last.request, last.status) == ("r4", 404) and len(of(fleet.journal, Ran)) == 1
            assert server.busiest == 4
            server.die()
            await server.start()
            assert (await (await connect(server)).ask("r9", "/read/x?obj=1")).code == 200

    run(test)


def test_server_hung_answers_after_resume() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            wires = [await connect(fleet["s0"]) for _ in range(4)]
            wire = wires[0]
            wire.send("r1")
            await until(lambda: fleet["s0"].running)
            fleet["s0"].hang()
            for n, other in enumerate(wires[1:]):
                other.send(f"more{n}")  # more than the queue holds: a hung process rejects nothing
            await until(partial(has_received, fleet.journal, 4))
            await asyncio.sleep(0.05)
            assert not of(fleet.journal, Replied) and not of(fleet.journal, TurnedAway)
            fleet["s0"].resume()
            for other in wires:
                assert (await other.answer()).code == 200
            fleet["s0"].slow(20)
            assert (await wire.ask("r2")).code == 200
            assert of(fleet.journal, Ran)[-1].cost_ms >= 200
            fleet["s0"].slow(1)
            fleet["s0"].fail(1.0)
            assert (await wire.ask("r3")).code == 500

    run(test)


def test_server_repeated_key_has_no_second_effect() -> None:
    async def test() -> None:
        async with running_fleet(2) as fleet:
            for n, server in enumerate(fleet.servers.values()):
                wire = await connect(server)
                response = await wire.ask(f"p{n}", "/pay/x", "Idempotency-Key: k", method="POST", body="{}")
                assert response.code == 200
            assert [r.repeat for r in of(fleet.journal, Ran)] == [False, True]
            assert [r.key for r in of(fleet.journal, Received)] == ["k", "k"]

    run(test)


def test_seen_keys_expire_and_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    memory = SeenKeys()
    assert memory.add("k", 0, 100) and not memory.add("k", 100, 100)
    assert memory.add("k", 101, 100)  # the window is over
    memory.discard("k")
    assert memory.add("k", 102, 100)
    monkeypatch.setattr(servers, "MAX_REMEMBERED_KEYS", 3)
    for n in range(5):
        assert memory.add(f"other{n}", 103, 100)
    assert len(memory.added_at_ms) == 3 and memory.add("k", 103, 100)


def test_server_in_other_zone_does_not_share_keys() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            await fleet.add("far", SINGLE_CORE, zone="b").start()
            for name in ("s0", "far"):
                wire = await connect(fleet[name])
                assert (await wire.ask(name, "/pay/x", "Idempotency-Key: k", method="POST")).code == 200
            assert [r.repeat for r in of(fleet.journal, Ran)] == [False, False]

    run(test)


async def pay(wire: Wire, name: str, *headers: str) -> int:
    """Send a request with the same idempotency key each time; return the status."""
    return (await wire.ask(name, "/pay/x", "Idempotency-Key: k", *headers, method="POST")).code


def test_server_key_of_request_that_did_not_run_is_discarded() -> None:
    async def test() -> None:
        async with running_fleet(machine=Machine(cores=1, drops=True)) as fleet:
            server = fleet["s0"]
            server.slow(20)
            first, second, third = [await connect(server) for _ in range(3)]
            first.send("r1")
            await until(lambda: server.running)
            assert await pay(second, "p1", "Request-Timeout: 1m") == 503  # timed out before it could start
            assert [r.reason for r in of(fleet.journal, TurnedAway)] == ["the request is over"]
            first.send("r2")
            await until(lambda: server.running)
            server.slow(1)
            second.send("p2", "/pay/x", "Idempotency-Key: k", method="POST")
            await until(lambda: server.waiting)
            second.close()
            await until(lambda: not server.waiting)
            assert await pay(third, "p3") == 200
            assert [(r.request, r.repeat) for r in of(fleet.journal, Ran)][-1] == ("p3", False)

    run(test)


def test_server_death_discards_keys_of_queued_requests() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            server = fleet["s0"]
            first, second = await connect(server), await connect(server)
            first.send("r1", "/long/x")
            await until(lambda: server.running)
            second.send("p1", "/pay/x", "Idempotency-Key: k", method="POST")
            await until(lambda: server.waiting)
            server.die()
            await server.start()
            assert await pay(await connect(server), "p2") == 200
            assert [(r.request, r.repeat) for r in of(fleet.journal, Ran)] == [("r1", False), ("p2", False)]

    run(test)


def test_server_new_connection_adds_handshake_work() -> None:
    async def test() -> None:
        async with running_fleet(machine=Machine(handshake_ms=7)) as fleet:
            wire = await connect(fleet["s0"])
            for name in ("r1", "r2"):
                await wire.ask(name)
            assert [r.work_ms for r in of(fleet.journal, Received)] == [17, 10]

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
def test_server_invalid_input_resets_connection(data: bytes) -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            wire = await connect(fleet["s0"])
            wire.writer.write(data)
            with pytest.raises(ConnectionError):
                await wire.end()
            await until(lambda: not fleet["s0"].connections)

    run(test)


@pytest.mark.parametrize("drops", [False, True])
def test_server_queued_work_of_disconnected_node_is_dropped_if_configured(drops: bool) -> None:
    async def test() -> None:
        async with running_fleet(machine=Machine(cores=1, drops=drops, handshake_ms=0)) as fleet:
            first, second = await connect(fleet["s0"]), await connect(fleet["s0"])
            fleet["s0"].slow(20)
            first.send("p1", "/pay/x", "Idempotency-Key: k1", method="POST")
            await until(lambda: of(fleet.journal, Received))
            fleet["s0"].slow(1)
            second.send("p2", "/pay/x", "Idempotency-Key: k2", method="POST")
            await until(lambda: len(of(fleet.journal, Received)) == 2)
            second.close()
            assert (await first.answer()).code == 200
            await until(lambda: of(fleet.journal, LetGo))
            await until(lambda: not fleet["s0"].running)
            assert [r.request for r in of(fleet.journal, Ran)] == ["p1"] + ([] if drops else ["p2"])

    run(test)


def test_server_connection_closed_mid_request_is_recorded() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            wire = await connect(fleet["s0"])
            wire.writer.write(b"POST /pay/x HTTP/1.1\r\nRequest-Id: p1\r\nContent-Length: 9\r\n\r\n{")
            await wire.writer.drain()
            await until(lambda: fleet["s0"].connections)
            await asyncio.sleep(0.02)
            wire.close()
            await until(lambda: of(fleet.journal, Received))
            received = of(fleet.journal, Received)[0]
            assert (received.request, received.last_byte_at_ms) == ("p1", None)

    run(test)


def test_server_load_report_is_delayed() -> None:
    async def test() -> None:
        machine = Machine(cores=1, report_interval_ms=40, report_delay_ms=10, report_noise=0)
        async with running_fleet(machine=machine) as fleet:
            wire, other = await connect(fleet["s0"]), await connect(fleet["s0"])
            other.send("r0", "/long/x")
            async with asyncio.timeout(10):
                while "inflight=1, queue=0" not in fleet["s0"].report:
                    await asyncio.sleep(0.01)
            fleet["s0"].drain()
            assert (await wire.ask("r1")).headers["server-load"] == "TEXT inflight=1, queue=0"

    run(test)


def test_server_idle_connection_is_closed() -> None:
    async def test() -> None:
        async with running_fleet(site=Site(classes=SITE.classes, idle_ms=50)) as fleet:
            wire = await connect(fleet["s0"])
            assert (await wire.ask("r1")).code == 200
            assert await wire.end() == b""

    run(test)


def test_server_crowded_runs_slower() -> None:
    async def test() -> None:
        crowded = Machine(cores=1, queue=50, crowding_slowdown=1.0, crowding_threshold=1.0, handshake_ms=0)
        async with running_fleet(machine=crowded) as fleet:
            wires = [await connect(fleet["s0"]) for _ in range(5)]
            for n, wire in enumerate(wires):
                wire.send(f"r{n}")
            for wire in wires:
                assert (await wire.answer()).code == 200
            costs = [r.cost_ms for r in of(fleet.journal, Ran)]
            assert max(costs) >= 2 * 10 and costs[-1] == pytest.approx(10)

    run(test)


def test_fleet_of_200_serves_in_one_process() -> None:
    async def test() -> None:
        async with running_fleet(200) as fleet:
            assert len({s.host for s in fleet.servers.values()}) == 200
            assert len(fleet.members()) == 200
            wires = [await connect(s) for s in fleet.servers.values()]
            for n, wire in enumerate(wires):
                wire.send(f"r{n}")
            for wire in wires:
                assert (await wire.answer()).code == 200
                wire.close()

    run(test)


def test_server_vanished_ignores_connects_until_restart_at_same_address() -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            wire, server = await connect(fleet["s0"]), fleet["s0"]
            server.vanish()
            server.vanish()
            wire.send("r1")
            await until(partial(has_received, fleet.journal, 1))
            with pytest.raises(TimeoutError):  # not refused either
                await asyncio.wait_for(connect(server), 0.3)
            server.die()
            with pytest.raises(ConnectionResetError):
                await wire.end()
            with pytest.raises(ConnectionRefusedError):
                await connect(server)
            await server.start(cold=True)
            assert (await (await connect(server)).ask("r2")).code == 200

    run(test)
