"""The control socket: access, responses, limits for clients, and the socket file."""

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

from balancer.net import admin_socket
from balancer.net.admin_socket import AdminSocket, AdminSocketError, ask

WAIT = 10.0


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(WAIT):
            await test()

    asyncio.run(bounded())


@contextlib.asynccontextmanager
async def serving(path: Path, uids: frozenset[int] | None = None) -> AsyncIterator[AdminSocket]:
    """Run a control socket with two commands."""
    server = AdminSocket(uids)
    server.register("members", lambda: {"node": "n0", "members": [{"id": "a"}], "count": 1})
    server.register("broken", lambda: {"x": 1 // 0})
    await server.listen(path)
    try:
        yield server
    finally:
        await server.close()


async def ask_in_thread(path: Path, name: str) -> dict[str, object]:
    """Call `ask` in a thread, as it blocks."""
    return await asyncio.to_thread(ask, path, name)


async def send_line(path: Path, line: bytes) -> dict[str, object]:
    """Send a raw line and return the response."""
    reader, writer = await asyncio.open_unix_connection(path)
    writer.write(line)
    response = json.loads(await reader.readline())
    writer.close()
    assert isinstance(response, dict)
    return response


def test_admin_socket_answers_by_name_and_removes_file_on_close(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path):
            assert await ask_in_thread(path, "members") == {
                "node": "n0",
                "members": [{"id": "a"}],
                "count": 1,
            }
            assert stat.S_IMODE(path.stat().st_mode) == 0o600
        assert not path.exists()

    run(test)


def test_admin_socket_answers_several_requests_on_one_connection(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path):
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(b'{"ask":"members"}\n{"ask":"members"}\n{"ask":"members"}')
            writer.write_eof()
            assert len((await reader.read()).splitlines()) == 3
            writer.close()

    run(test)


def test_admin_socket_with_long_response_lets_loop_turn(tmp_path: Path) -> None:
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
            got = await ask_in_thread(path, "rows")
            counting.cancel()
        assert got == {"rows": [{"id": n} for n in range(10_000)], "none": [], "end": []}
        assert len(seen) >= 10_000 / admin_socket.ROWS_PER_CHUNK

    run(test)


@pytest.mark.parametrize(
    ("line", "error"),
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
def test_admin_socket_with_invalid_request_returns_error(tmp_path: Path, line: bytes, error: str) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path):
            assert error in str((await send_line(path, line))["error"])
            assert (await ask_in_thread(path, "members"))["node"] == "n0"

    run(test)


def test_admin_socket_with_another_user_refuses(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path, uids=frozenset({os.geteuid() + 1})):
            with pytest.raises(
                AdminSocketError, match=f"user {os.geteuid()} is neither root nor the node's own"
            ):
                await ask_in_thread(path, "members")

    run(test)


def test_admin_socket_limits_clients_and_their_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "c.sock"
    monkeypatch.setattr(admin_socket, "CLIENT_TIMEOUT_S", 0.5)

    async def test() -> None:
        async with serving(path):
            silent = [await asyncio.open_unix_connection(path) for _ in range(8)]
            with pytest.raises(AdminSocketError, match="8 clients are being served"):
                await ask_in_thread(path, "members")
            for reader, writer in silent:
                assert await reader.read() == b""
                writer.close()
            assert (await ask_in_thread(path, "members"))["node"] == "n0"

    run(test)


def test_admin_socket_with_client_that_does_not_read_disconnects(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "c.sock"
    monkeypatch.setattr(admin_socket, "CLIENT_TIMEOUT_S", 0.3)

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


def test_listen_replaces_dead_socket_and_rejects_live_one(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"
    with socket.socket(socket.AF_UNIX) as dead:
        dead.bind(str(path))

    async def test() -> None:
        async with serving(path):
            with pytest.raises(AdminSocketError, match=r"c\.sock: a running process listens there"):
                await AdminSocket().listen(path)
            assert (await ask_in_thread(path, "members"))["node"] == "n0"

    run(test)


def test_listen_on_other_file_fails_and_keeps_it(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"
    path.write_text("precious")

    async def test() -> None:
        with pytest.raises(AdminSocketError, match="is no socket"):
            await AdminSocket().listen(path)
        with pytest.raises(AdminSocketError, match="No such file"):
            await AdminSocket().listen(tmp_path / "nowhere" / "c.sock")

    run(test)
    assert path.read_text() == "precious"


def test_listen_on_another_path_moves_and_on_none_stops(tmp_path: Path) -> None:
    first_path, second_path = tmp_path / "1.sock", tmp_path / "2.sock"

    async def test() -> None:
        async with serving(first_path) as server:
            (tmp_path / "file").write_text("")
            with pytest.raises(AdminSocketError):
                await server.listen(tmp_path / "file")
            assert (await ask_in_thread(first_path, "members"))["node"] == "n0", (
                "a bad path costs the old one"
            )
            await server.listen(second_path)
            assert not first_path.exists() and (await ask_in_thread(second_path, "members"))["node"] == "n0"
            await server.listen(None)
            assert not second_path.exists()

    run(test)


def test_close_keeps_file_of_another_process(tmp_path: Path) -> None:
    path = tmp_path / "c.sock"

    async def test() -> None:
        async with serving(path):
            path.unlink()
            path.write_text("another's")

    run(test)
    assert path.read_text() == "another's"


def test_ask_without_answering_node_raises(tmp_path: Path) -> None:
    with pytest.raises(AdminSocketError, match=r"c\.sock: no node answers there: No such file"):
        ask(tmp_path / "c.sock", "members")
    with socket.socket(socket.AF_UNIX) as silent_socket:
        silent_socket.bind(str(tmp_path / "c.sock"))
        silent_socket.listen()
        with pytest.raises(AdminSocketError, match=r"no answer within 0\.1 s"):
            ask(tmp_path / "c.sock", "members", timeout_s=0.1)


def test_chunks_with_slow_rows_yield_after_each() -> None:
    """A query over thousands of backends must not hold up requests."""

    def rows() -> Iterator[int]:
        for number in range(5):
            time.sleep(2 * admin_socket.MAX_TURN_S)
            yield number

    pieces = list(admin_socket._chunks({"rows": rows()}))
    assert json.loads("".join(pieces)) == {"rows": [0, 1, 2, 3, 4]}
    assert sum(any(c.isdigit() for c in piece) for piece in pieces) == 5
