"""The time line of a running node: the right server is named, the commands answer, requests go on."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from balancer.net.admin_socket import AdminSocketError, ask
from tests.sockets import (
    ROOT,
    WAIT,
    Backend,
    Message,
    Rig,
    answer,
    running,
)

SERVERS, CLIENTS = 5, 24


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(4 * WAIT):
            await test()

    asyncio.run(bounded())


class Servers:
    """Servers that take some time, and of which a test may spoil one."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.slow: dict[str, float] = {}
        self.errs: dict[str, float] = {}
        self.all = [Backend(f"s{n}", self.respond) for n in range(SERVERS)]

    async def respond(self, backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02 * self.rng.lognormvariate(0, 0.3) * self.slow.get(backend.name, 1.0))
        if self.rng.random() < self.errs.get(backend.name, 0.0):
            writer.write(answer(b"no", "500 No"))
        else:
            writer.write(answer(b"ok"))


@contextlib.asynccontextmanager
async def world(
    tmp: Path,
    monkeypatch: pytest.MonkeyPatch,
    seed: int = 1,
    memory_mb: int = 8,
) -> AsyncIterator[tuple[Rig, Servers, Path]]:
    """A node with the time line on, servers, and where to ask it."""
    path, settings = tmp / "c.sock", tmp / "balancer.toml"
    settings.write_text(f'[control]\nsocket = "{path}"\n[timeline]\nmemory_mb = {memory_mb}\n')
    monkeypatch.setenv("BALANCER_SETTINGS", str(settings))
    servers = Servers(seed)
    async with running(tmp, *servers.all) as rig:
        yield rig, servers, path


@contextlib.asynccontextmanager
async def load(rig: Rig, count: int = CLIENTS) -> AsyncIterator[list[int]]:
    """Clients that ask again and again; the codes that they got."""
    codes: list[int] = []

    async def one() -> None:
        client = await rig.client()
        while True:
            got = await client.ask("/read/x")
            codes.append(got.code)
            if got.headers.get("connection") == "close":
                client = await rig.client()
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(one()) for _ in range(count)]
    try:
        yield codes
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def asked(path: Path, name: str, **more: Any) -> dict[str, Any]:
    return await asyncio.to_thread(ask, path, name, **more)


async def event(path: Path, signal_: str, step: str = "departure_began") -> dict[str, Any]:
    """Wait for the first event of a signal."""
    while True:
        told = await asked(path, "events")
        for one in told["events"]:
            if one["signal"] == signal_ and one["event"] == step:
                return dict(one)
        await asyncio.sleep(0.1)


async def told(path: Path, holds: Callable[[dict[str, Any]], object], **more: Any) -> dict[str, Any]:
    """What the time line says, once that holds; nothing is known of a server before its first point."""
    while True:
        with contextlib.suppress(AdminSocketError):
            if holds(found := await asked(path, "timeline", **more)):
                return found
        await asyncio.sleep(0.1)


def served(found: dict[str, Any]) -> int:
    """Answers in the points of a server's line."""
    return sum(p["counts"].get("ok", 0) for p in found["points"])


async def departures(path: Path) -> list[dict[str, Any]]:
    """Events but those of the node's own way back."""
    return [one for one in (await asked(path, "events"))["events"] if one["event"] != "recovery"]


async def says(*words: str) -> tuple[int, str, str]:
    """The program's exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "balancer",
        *words,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode or 0, out.decode(), err.decode()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_degraded_server_is_named_and_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async def test() -> None:
        async with world(tmp_path, monkeypatch, seed) as (rig, servers, path), load(rig):
            await asyncio.sleep(7)  # what is usual
            assert await departures(path) == []
            servers.slow["s3"] = 3.0
            began = await event(path, "answer_time")
            name = next(b for b in servers.all if b.name == "s3").member()["id"]
            assert (began["scope"], began["subject"]) == ("server", name)
            servers.slow.clear()
            servers.errs["s1"] = 0.1
            began = await event(path, "errors")
            name = next(b for b in servers.all if b.name == "s1").member()["id"]
            assert (began["scope"], began["subject"]) == ("server", name)
            told = await departures(path)
            assert len({(e["signal"], e["subject"]) for e in told}) == 2

    run(test)


def test_the_commands_tell_it(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with world(tmp_path, monkeypatch) as (rig, servers, path):
            async with load(rig, 8):
                client = await rig.client()
                name = client.send("/read/x")
                assert (await client.answer()).code == 200
                server = servers.all[0].member()["id"]
                await told(path, served, server=server)
                # A zone's point is the sum of those of its servers, told a second later.
                await told(path, lambda found: any(line["scope"] == "zone" for line in found["lines"]))
            here = ("--control", str(path))
            code, out, _ = await says("why", name, "--json", *here)
            found = json.loads(out)
            assert code == 0 and found["request"] == name
            assert [d["action"] for d in found["decisions"]] == ["arrived", "send", "outcome"]
            assert found["decisions"][1]["why"] == "lowest_below_m" and found["decisions"][1]["backend"]
            code, out, _ = await says("why", name, *here)
            assert code == 0 and "lowest_below_m" in out
            code, out, err = await says("why", "nobody", *here)
            assert code == 1 and "nothing is kept of request nobody" in err
            code, out, _ = await says("timeline", server, "--json", *here)
            found = json.loads(out)
            assert code == 0 and found["server"] == server and served(found) > 0
            code, out, _ = await says("timeline", *here)
            assert code == 0 and server in out and "class" in out and "P99 MS" in out
            code, out, _ = await says("timeline", "--json", *here)
            rows = [(r["scope"], r["name"], r["zone"]) for r in json.loads(out)["lines"]]
            # From the list that the node had before the time line was on.
            assert ("zone", "a", "") in rows and ("server", server, "a") in rows
            code, out, _ = await says("timeline", server, "node", "--from", "5m", "--class", "read", *here)
            assert code == 0 and out.count("DECISIONS") == 2
            code, _, err = await says("timeline", server, "--from", "half past", *here)
            assert code == 2 and "is no time" in err
            code, out, err = await says("events", "--json", *here)
            assert {json.loads(line)["event"] for line in out.splitlines()} == {"recovery"}
            assert (code, err) == (0, "")
            file = tmp_path / "r.html"
            code, out, err = await says("report", "--html", str(file), *here)
            assert (code, out, err) == (0, f"{file}: {SERVERS} servers\n", "") and "<svg" in file.read_text()
            code, _, err = await says("report", "--html", "/nowhere/r.html", *here)
            assert code == 2 and "No such file" in err

    run(test)


def test_without_the_table_nothing_answers_and_nothing_is_loaded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, settings = tmp_path / "c.sock", tmp_path / "balancer.toml"
    settings.write_text(f'[control]\nsocket = "{path}"\n')
    monkeypatch.setenv("BALANCER_SETTINGS", str(settings))

    async def test() -> None:
        async with running(tmp_path, Backend("s0")) as rig:
            code, _, err = await says("events", "--control", str(path))
            assert code == 1 and "cannot be asked: 'events'" in err
            maps = Path(f"/proc/{rig.process.pid}/maps").read_text()
            assert "msgspec" not in maps
            settings.write_text(f'[control]\nsocket = "{path}"\n[timeline]\n')
            rig.process.send_signal(signal.SIGHUP)
            await rig.logged("timeline is on")
            assert await departures(path) == []
            settings.write_text(f'[control]\nsocket = "{path}"\n[timeline]\nmemory_mb = 4\n')
            rig.process.send_signal(signal.SIGHUP)
            await rig.logged("timeline.memory_mb is 4, was 16")
            assert (await asked(path, "timeline"))["lines"] is not None
            settings.write_text(f'[control]\nsocket = "{path}"\n')
            rig.process.send_signal(signal.SIGHUP)
            await rig.logged("timeline is off")
            code, _, err = await says("events", "--control", str(path))
            assert code == 1 and "cannot be asked: 'events'" in err

    run(test)


def test_followers_that_stop_reading_and_many_at_once_hold_up_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with world(tmp_path, monkeypatch) as (rig, _, path), load(rig, 8) as codes:
            await told(path, lambda found: found["lines"])
            mute = socket.socket(socket.AF_UNIX)  # asks for all and reads nothing
            mute.connect(str(path))
            mute.sendall(b'{"ask": "timeline"}\n' * 50)
            before = len(codes)
            words = ("events", "--follow", "--json", "--control", str(path))
            follower = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "balancer", *words, cwd=ROOT, stdout=asyncio.subprocess.PIPE
            )
            got = await asyncio.gather(*(asked(path, "timeline") for _ in range(6)))
            assert all(one["lines"] for one in got)
            assert follower.stdout is not None
            # It follows by then: a signal while the program is loaded would end it as that ends any.
            assert json.loads(await asyncio.wait_for(follower.stdout.readline(), WAIT))["event"] == "recovery"
            while len(codes) <= before + 8:
                await asyncio.sleep(0.1)
            assert set(codes) == {200}
            follower.send_signal(signal.SIGINT)
            assert await asyncio.wait_for(follower.wait(), WAIT) == 0
            mute.close()

    run(test)


def test_a_server_that_moves_is_a_line_of_its_own(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with world(tmp_path, monkeypatch) as (rig, servers, path):
            first, other = servers.all[0].member(), Backend("other", servers.respond)
            await other.start()
            async with load(rig, 4):
                await told(path, served, server=first["id"])
                assert await rig.discovery.asked.get()
                rig.discovery.news(50, first | {"host_port": f"127.0.0.1:{other.port}"})
                await told(path, lambda found: any("moved" in r["name"] for r in found["lines"]))
            names = [r["name"] for r in (await asked(path, "timeline"))["lines"]]
            assert [name.startswith("s0 (until it moved, ") for name in names if "moved" in name] == [True]
            other.stop()

    run(test)


async def scrape(port: int, head: bytes = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n") -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head)
    got = await asyncio.wait_for(reader.read(), WAIT)
    writer.close()
    return got


def test_metrics_are_scraped_moved_and_switched_off(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            async with world(tmp_path, monkeypatch) as (rig, _, _), load(rig, 4) as codes:
                settings = tmp_path / "balancer.toml"
                base = settings.read_text()
                settings.write_text(base + f'[metrics]\nlisten = "127.0.0.1:{port}"\n')
                rig.process.send_signal(signal.SIGHUP)
                await rig.logged("tried again every 2 s")
                taken.close()
                # Its own word: the reload's line on what changed names the address too.
                await rig.logged(f"INFO metrics at http://127.0.0.1:{port}/metrics")
                got, count = b"", b'dillport_requests_total{class="read",result="served"}'
                while count not in got:
                    got = await scrape(port)
                    assert got.startswith(b"HTTP/1.1 200 OK\r\n") and got.endswith(b"# EOF\n")
                    await asyncio.sleep(0.1)
                assert (await scrape(port, b"GET / HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 404 ")
                assert (await scrape(port, b"POST /metrics HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 405 ")
                assert (await scrape(port, b"x" * 9_000)).startswith(b"HTTP/1.1 431 ")
                settings.write_text(base)
                rig.process.send_signal(signal.SIGHUP)
                await rig.logged("metrics is off")
                with pytest.raises(OSError):
                    for _ in range(100):
                        await scrape(port)
                        await asyncio.sleep(0.05)
                assert set(codes) == {200}

    run(test)
