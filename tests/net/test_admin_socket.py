"""The control socket: who is served, what is answered, what bounds a client, the socket file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import stat
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from pathlib import Path

import pytest

from balancer.net import admin_socket as control
from balancer.net.admin_socket import AdminSocket, AdminSocketError, ask

WAIT = 10.0


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(WAIT):
            await test()

    asyncio.run(bounded())


@contextlib.asynccontextmanager
async def serving(path: Path, uids: frozenset[int] | None = None) -> AsyncIterator[AdminSocket]:
    """A control socket with two answers."""
    out = AdminSocket(uids)
    out.register("members", lambda: {"node": "n0", "members": [{"id": "a"}], "count": 1})
    out.register("broken", lambda: {"x": 1 // 0})
    await out.listen(path)
    try:
        yield out
    finally:
        await out.close()


async def asked(path: Path, name: str) -> dict[str, object]:
    """`ask` beside the loop."""
    return await asyncio.to_thread(ask, path, name)


async def tells(path: Path, line: bytes) -> dict[str, object]:
    """The answer to a raw line."""
    reader, writer = await asyncio.open_unix_connection(path)
    writer.write(line)
    got = json.loads(await reader.readline())
    writer.close()
    assert isinstance(got, dict)
    return got


def test_answers_by_name_and_its_file_goes_with_it(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path):
            assert await asked(path, "members") == {"node": "n0", "members": [{"id": "a"}], "count": 1}
            assert stat.S_IMODE(path.stat().st_mode) == 0o600
        assert not path.exists()

    run(test)


def test_several_questions_on_one_connection(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path):
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(b'{"ask":"members"}\n{"ask":"members"}\n{"ask":"members"}')
            writer.write_eof()
            assert len((await reader.read()).splitlines()) == 3
            writer.close()

    run(test)


def test_a_long_answer_is_whole_and_the_loop_turns_meanwhile(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        turns, seen = 0, set()

        async def count() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        def rows() -> Iterator[dict[str, int]]:
            for n in range(10_000):
                seen.add(turns)
                yield {"id": n}

        async with serving(path) as server:
            server.register("rows", lambda: {"rows": rows(), "none": [], "end": iter(())})
            counting = asyncio.create_task(count())
            got = await asked(path, "rows")
            counting.cancel()
        assert got == {"rows": [{"id": n} for n in range(10_000)], "none": [], "end": []}
        assert len(seen) >= 10_000 / control.ROWS_PER_CHUNK

    run(test)


@pytest.mark.parametrize(
    ("line", "named"),
    [
        (b"members\n", "one JSON object a line"),
        (b"[" * 3000 + b"\n", "one JSON object a line"),
        (b'["members"]\n', "known: broken, members"),
        (b'{"ask":"all"}\n', "cannot be asked: 'all'; known: broken, members"),
        (b'{"ask":["members"]}\n', "cannot be asked"),
        (b'{"ask":"broken"}\n', "broken failed: ZeroDivisionError"),
        (b"x" * 5000, "one line of at most 4096 bytes"),
    ],
)
def test_what_cannot_be_answered_is_said_in_words(tmp_path: Path, line: bytes, named: str) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path):
            assert named in str((await tells(path, line))["error"])
            assert (await asked(path, "members"))["node"] == "n0"

    run(test)


def test_another_user_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path, uids=frozenset({os.geteuid() + 1})):
            with pytest.raises(
                AdminSocketError, match=f"user {os.geteuid()} is neither root nor the node's own"
            ):
                await asked(path, "members")

    run(test)


def test_at_most_eight_clients_and_each_for_a_limited_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "c.sock"
    monkeypatch.setattr(control, "CLIENT_TIMEOUT_S", 0.5)

    async def test() -> None:
        async with serving(path):
            silent = [await asyncio.open_unix_connection(path) for _ in range(8)]
            with pytest.raises(AdminSocketError, match="8 clients are being served"):
                await asked(path, "members")
            for reader, writer in silent:
                assert await reader.read() == b""
                writer.close()
            assert (await asked(path, "members"))["node"] == "n0"

    run(test)


def test_a_client_that_does_not_read_is_left(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "c.sock"
    monkeypatch.setattr(control, "CLIENT_TIMEOUT_S", 0.3)

    async def test() -> None:
        calls = 0

        def answer() -> dict[str, object]:
            nonlocal calls
            calls += 1
            return {"text": "x" * 500_000}

        async with serving(path) as server:
            server.register("long", answer)
            reader, writer = await asyncio.open_unix_connection(path, limit=1000)
            writer.write(b'{"ask":"long"}\n' * 40)
            while not server._clients:
                await asyncio.sleep(0)
            while server._clients:
                await asyncio.sleep(0.01)
            assert calls == 1, "answers are piled up for a client that does not take them"
            assert len(await reader.read()) < 500_000, "the rest of an answer lingers"
            writer.close()

    run(test)


def test_a_dead_process_socket_goes_and_a_live_one_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"
    with socket.socket(socket.AF_UNIX) as dead:
        dead.bind(str(path))

    async def test() -> None:
        async with serving(path):
            with pytest.raises(AdminSocketError, match=r"c\.sock: a running process listens there"):
                await AdminSocket().listen(path)
            assert (await asked(path, "members"))["node"] == "n0"

    run(test)


def test_a_file_that_is_no_socket_is_left_alone(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"
    path.write_text("precious")

    async def test() -> None:
        with pytest.raises(AdminSocketError, match="is no socket"):
            await AdminSocket().listen(path)
        with pytest.raises(AdminSocketError, match="No such file"):
            await AdminSocket().listen(tmp_path / "nowhere" / "c.sock")

    run(test)
    assert path.read_text() == "precious"


def test_another_path_and_none(tmp_path: Path) -> None:
    one, two = tmp_path / "1.sock", tmp_path / "2.sock"

    async def test() -> None:
        async with serving(one) as server:
            (tmp_path / "file").write_text("")
            with pytest.raises(AdminSocketError):
                await server.listen(tmp_path / "file")
            assert (await asked(one, "members"))["node"] == "n0", "a bad path costs the old one"
            await server.listen(two)
            assert not one.exists() and (await asked(two, "members"))["node"] == "n0"
            await server.listen(None)
            assert not two.exists()

    run(test)


def test_the_end_leaves_a_file_that_is_not_its_own(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path):
            path.unlink()
            path.write_text("another's")

    run(test)
    assert path.read_text() == "another's"


def test_asking_where_nobody_answers(tmp_path: Path) -> None:
    with pytest.raises(AdminSocketError, match=r"c\.sock: no node answers there: No such file"):
        ask(tmp_path / "c.sock", "members")
    with socket.socket(socket.AF_UNIX) as mute:
        mute.bind(str(tmp_path / "c.sock"))
        mute.listen()
        with pytest.raises(AdminSocketError, match=r"no answer within 0\.1 s"):
            ask(tmp_path / "c.sock", "members", timeout_s=0.1)


def test_rows_that_take_their_time_let_the_loop_turn_after_each() -> None:
    """Guards requests against an operator who asks for all that thousands of servers did."""

    def rows() -> Iterator[int]:
        for number in range(5):
            time.sleep(2 * control.MAX_TURN_S)
            yield number

    pieces = list(control._chunks({"rows": rows()}))
    assert json.loads("".join(pieces)) == {"rows": [0, 1, 2, 3, 4]}
    assert sum(any(c.isdigit() for c in piece) for piece in pieces) == 5
