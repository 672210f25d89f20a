"""Signals that cross one another, the start and the end, at a real node process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from tests.net.test_request_dispatcher import never, run
from tests.sockets import (
    CLASSES,
    PATIENT,
    ROOT,
    WAIT,
    Backend,
    Client,
    Message,
    configuration,
    running,
)

TERM, HUP = signal.SIGTERM, signal.SIGHUP


@pytest.mark.parametrize("more", [(TERM,), (HUP,), (HUP, TERM, HUP)], ids=str)
@pytest.mark.parametrize("first", [(TERM,), (HUP, TERM)], ids=str)
def test_a_signal_beside_sigterm_costs_no_answer(
    tmp_path: Path, first: tuple[int, ...], more: tuple[int, ...]
) -> None:
    """A request that is out meanwhile is answered, and the node ends with 0."""
    go = asyncio.Event()

    async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def test() -> None:
        backend = Backend("b0", slow)
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            client.send("/read")
            await backend.got.get()
            for number in first:
                rig.process.send_signal(number)
            while (await (await rig.client()).ask("/up")).code != 503:
                pass
            for number in more:
                rig.process.send_signal(number)
            assert (await (await rig.client()).ask("/up")).code == 503
            go.set()
            assert (await client.answer()).code == 200
            assert await rig.end() == 0

    run(test)


@pytest.mark.parametrize("number", [TERM, HUP, signal.SIGINT])
def test_a_signal_at_the_very_end_changes_nothing(tmp_path: Path, number: int) -> None:
    """Guards against the default, which comes back with the loop's end and gives another exit code."""

    async def test() -> None:
        async with running(tmp_path, Backend("b0")) as rig:
            handle = os.pidfd_open(rig.process.pid)
            rig.terminate()
            await rig.logged("n0 ends")
            with contextlib.suppress(ProcessLookupError):
                while True:  # all through the interpreter's own end
                    signal.pidfd_send_signal(handle, number)
                    await asyncio.sleep(0)
            os.close(handle)
            assert await rig.end() == 0

    run(test)


@pytest.mark.parametrize("begun", ["balancer.interface", "uvloop", "asyncio"])
def test_sigterm_while_it_starts_ends_it_without_a_word(tmp_path: Path, begun: str) -> None:
    """By the signal's default or by its own handler: it has taken nothing."""

    async def test() -> None:
        path = tmp_path / "c.json"
        path.write_text(json.dumps(configuration([], 1)))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-X",
            "importtime",
            "-m",
            "balancer",
            cwd=ROOT,
            env=dict(os.environ) | {"PROXY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        said, sent = "", False
        async with asyncio.timeout(WAIT):
            while line := (await process.stderr.readline()).decode():
                said += line
                if not sent and begun in line:
                    process.send_signal(TERM)
                    sent = True
            assert await process.wait() in (0, -TERM) and sent
        assert "Traceback" not in said

    run(test)


@pytest.mark.parametrize("longest", [60, 300])
def test_all_that_is_sent_up_to_the_end_is_answered_or_can_be_sent_again(
    tmp_path: Path, longest: int
) -> None:
    """Short deadlines, a server that never answers, clients that send on all connections until the end."""
    classes = [c | {"give-up": longest, "objective": longest / 2} for c in CLASSES]
    lost: list[str] = []
    answered = [0]

    async def test() -> None:
        async with running(tmp_path, Backend("b0", never), **{"request-classes": classes}) as rig:
            ended, loop = asyncio.Event(), asyncio.get_running_loop()
            told: list[float] = []

            async def client() -> None:
                while not ended.is_set():
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
                    except ConnectionError:
                        return  # it accepts no more
                    used, came = 0, not told or loop.time() - told[0] < 0.4
                    try:
                        while True:
                            got = await Client(reader, writer).ask("/read")
                            used += 1
                            answered[0] += 1
                            if got.headers.get("connection") == "close":
                                break
                    except (asyncio.IncompleteReadError, ConnectionError) as err:
                        if not used and came:
                            lost.append(repr(err))
                    finally:
                        writer.transport.abort()

            clients = [asyncio.create_task(client()) for _ in range(8)]
            while answered[0] < 40:
                await asyncio.sleep(0.01)
            told.append(loop.time())
            rig.terminate()
            assert await rig.end() == 0
            ended.set()
            await asyncio.gather(*clients)
            assert not lost

    run(test)


def test_requests_that_wait_for_a_server_at_sigterm_are_answered(tmp_path: Path) -> None:
    """Some are out at one that never answers, the others held: their own deadlines are an hour off."""

    async def test() -> None:
        async with running(tmp_path, Backend("b0", never), **PATIENT) as rig:
            clients = [await rig.client() for _ in range(6)]
            for client in clients:
                client.send("/read")
            while (await (await rig.client()).ask("/up")).code != 200:
                pass
            rig.terminate()
            for client in clients:
                assert (await client.answer()).code in (502, 503)
                assert await client.ended() == b""
            assert await rig.end() == 0

    run(test)


def test_half_a_request_at_sigterm_is_answered_when_it_is_whole(tmp_path: Path) -> None:
    """After the listener's end, while the node waits for nothing else."""

    async def test() -> None:
        async with running(tmp_path, Backend("b0")) as rig:
            client = await rig.client()
            client.writer.write(b"GET /read HTTP/1.1\r\nRequest-Id: h1\r\n")
            while (await (await rig.client()).ask("/up")).code != 200:
                pass
            rig.terminate()
            with contextlib.suppress(ConnectionError):
                while True:
                    socket.create_connection(("127.0.0.1", rig.port)).close()
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)  # a node that waits for nothing has ended by now
            client.writer.write(b"\r\n")
            assert (await client.answer()).code == 200
            assert await client.ended() == b"" and await rig.end() == 0

    run(test)
