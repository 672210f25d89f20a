"""The control socket: a running node answers its operators on a Unix socket, and `ask` asks it.

One JSON object a line each way. `{"ask": "members"}` is answered with what the callable says that was
registered under that name, anything that cannot be answered with `{"error": "..."}`. Further keys of the
object are handed to callables that were registered to take them.

Only root and the node's own user are served: the socket has the rights 0600, and the kernel's word on who
connects is checked too (`SO_PEERCRED`). Bounds: 8 clients, 4 KiB a request, 5 s a client.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import logging
import os
import socket
import stat
import struct
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from balancer.operator_settings import OperatorSettings

log = logging.getLogger(__name__)

MAX_LINE_BYTES = 4 * 1024  # bytes of a request
MAX_CLIENTS = 8
CLIENT_TIMEOUT_S = 5.0  # s for a client from its connect to its last answer
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # bytes that `ask` reads: far more than 100,000 members
MAX_TURN_S = 0.002  # s that a part of an iterator is worked on before the loop turns
RETRY_INTERVAL_S = 2.0  # s until a socket that could not be made is tried again
ROWS_PER_CHUNK = 200  # items of an answer's list written between two turns of the loop

StatusProvider = Callable[[], dict[str, object]]
CommandHandler = Callable[[dict[str, Any]], dict[str, Any]]


class AdminSocketError(RuntimeError):
    """The control socket cannot be made or asked; the text names its path and why."""


class AdminSocket:
    """Serves the registered answers on a Unix socket, or nowhere until `listen` names one."""

    def __init__(self, uids: frozenset[int] | None = None) -> None:
        """`uids` are the users who are served: root and this process's own unless told otherwise."""
        self.uids = frozenset({0, os.geteuid()}) if uids is None else uids
        self.path: Path | None = None
        self._answers: dict[str, CommandHandler] = {}
        self._server: asyncio.Server | None = None
        self._made: tuple[int, int] | None = None  # device and inode of the socket file
        self._clients: set[asyncio.Task[None]] = set()
        self._moving = asyncio.Lock()

    def register(self, name: str, answer: StatusProvider) -> None:
        """Answer `name` with what `answer` returns, JSON's own types; iterators in it are written as arrays.

        The node's loop turns between two pieces of a list or an iterator, so an iterator must stand changes.
        """
        self._answers[name] = lambda asked: answer()

    def register_with(self, name: str, reply: CommandHandler | None) -> None:
        """Answer `name` with what `reply` makes of the whole question; no longer where it is None."""
        if reply is None:
            self._answers.pop(name, None)
        else:
            self._answers[name] = reply

    async def listen(self, path: Path | None) -> None:
        """Serve at `path` from now on, nowhere with None; raises ControlError and leaves all as it was."""
        async with self._moving:
            if path == self.path:
                return
            made = None
            if path is not None:
                sock = _bind(path)
                found = path.stat()
                made = found.st_dev, found.st_ino
                try:
                    server = await asyncio.start_unix_server(self._client, sock=sock, limit=MAX_LINE_BYTES)
                except BaseException:  # cancelled as the node ends
                    sock.close()
                    path.unlink(missing_ok=True)
                    raise
            await self._stop()
            if path is not None:
                self._server, self._made = server, made
            self.path = path

    async def close(self) -> None:
        """Serve no more, and remove the socket file."""
        await self.listen(None)

    async def _stop(self) -> None:
        if self._server is None or self.path is None:
            return
        self._server.close()
        for task in list(self._clients):
            task.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        try:
            found = self.path.lstat()
            if (found.st_dev, found.st_ino) == self._made:  # guards a socket that another process made since
                self.path.unlink()
        except OSError as err:
            log.warning("control: %s was not removed: %s", self.path, err.strerror)
        self._server = self._made = None

    # --- clients

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        writer.transport.set_write_buffer_limits(0)  # a drain waits until the kernel has everything
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                if len(self._clients) >= MAX_CLIENTS:
                    await _write_reply(
                        writer, {"error": f"{MAX_CLIENTS} clients are being served, try again"}
                    )
                    return
                self._clients.add(task)
                if (uid := _peer(writer)) not in self.uids:
                    log.warning("control: refused user %d", uid)
                    await _write_reply(writer, {"error": f"user {uid} is neither root nor the node's own"})
                    return
                await self._serve(reader, writer)
        except (TimeoutError, OSError):
            pass  # too slow, or gone
        except asyncio.CancelledError:
            pass  # the node ends; the task has nothing else to do
        finally:
            self._clients.discard(task)
            writer.transport.abort() if writer.transport.get_write_buffer_size() else writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                line = await reader.readline()
            except ValueError:
                await _write_reply(
                    writer, {"error": f"a request is one line of at most {MAX_LINE_BYTES} bytes"}
                )
                return
            if not line:
                return
            await _write_reply(writer, self._answer(line))

    def _answer(self, line: bytes) -> dict[str, object]:
        known = ", ".join(sorted(self._answers))
        try:
            request = json.loads(line)
        except (ValueError, RecursionError):
            return {"error": "a request is one JSON object a line"}
        name = request.get("ask") if isinstance(request, dict) else None
        if not isinstance(name, str) or name not in self._answers:
            return {"error": f"cannot be asked: {name!r:.60}; known: {known}"}
        try:
            return self._answers[name](request)
        except Exception as err:  # guards the node against a question that it cannot answer
            log.exception("control: %s failed", name)
            return {"error": f"{name} failed: {type(err).__name__}"}


class AdminSocketComponent:
    """Keeps the control socket where the operators' file wants it, and tries again while that fails.

    Guards against a node that does not serve because one that still drains holds the path.
    """

    def __init__(self, control: AdminSocket) -> None:
        self.control = control
        self._wanted: Path | None = None
        self._changed = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._keep())

    def apply(self, settings: OperatorSettings) -> None:
        """Move to another path, or to none, in the loop's next turns."""
        self._wanted = None if settings.control is None else settings.control.socket
        self._changed.set()

    async def close(self) -> None:
        """Serve no more, and remove the socket file."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.control.close()

    async def _keep(self) -> None:
        said = ""
        while True:
            self._changed.clear()
            wait = None
            try:
                await self.control.listen(self._wanted)
            except AdminSocketError as err:
                wait = RETRY_INTERVAL_S
                if said != str(err):
                    log.error("control: %s; it is tried again every %g s", err, wait)
                said = str(err)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._changed.wait()


def _peer(writer: asyncio.StreamWriter) -> int:
    """The user at the other end, by the kernel's word."""
    sock = writer.get_extra_info("socket")
    _, uid, _ = struct.unpack("iII", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return int(uid)


async def _write_reply(writer: asyncio.StreamWriter, answer: dict[str, object]) -> None:
    """Write an answer's line. Guards against thousands of members holding up the loop in one go."""
    for piece in _chunks(answer):
        writer.write(piece.encode("ascii"))
        await writer.drain()
        await asyncio.sleep(0)


def _chunks(answer: dict[str, object]) -> Iterator[str]:
    opening = "{"
    for name, value in answer.items():
        yield f"{opening}{json.dumps(name)}:"
        opening = ","
        if not isinstance(value, (list, Iterator)):
            yield json.dumps(value)
            continue
        rows: list[str] = []
        start, begun = "[", time.monotonic()
        for row in value:
            rows.append(json.dumps(row))
            if len(rows) == ROWS_PER_CHUNK or time.monotonic() - begun > MAX_TURN_S:
                yield start + ",".join(rows)
                rows, start, begun = [], ",", time.monotonic()
        yield (start if rows or start == "[" else "") + ",".join(rows) + "]"
    yield "}\n" if answer else "{}\n"


# --- the socket file ----------------------------------------------------------------------------------


def _bind(path: Path) -> socket.socket:
    """A socket at `path`, for its owner alone; one that a dead process left there goes."""
    try:
        _remove_stale_socket(path)
        sock = socket.socket(socket.AF_UNIX)
    except OSError as err:
        raise AdminSocketError(f"{path}: {err.strerror}") from None
    old = os.umask(0o177)  # from its first moment on nobody else may connect
    try:
        sock.bind(str(path))
        sock.listen(MAX_CLIENTS)  # at once: what does not listen is taken for dead
    except OSError as err:
        sock.close()
        raise AdminSocketError(f"{path}: {err.strerror}") from None
    finally:
        os.umask(old)
    sock.setblocking(False)
    return sock


def _remove_stale_socket(path: Path) -> None:
    try:
        found = path.lstat()
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(found.st_mode):
        raise AdminSocketError(f"{path}: is there and is no socket; remove it or name another path")
    with socket.socket(socket.AF_UNIX) as probe:
        probe.setblocking(False)
        state = probe.connect_ex(str(path))
    if state == errno.ECONNREFUSED:  # nobody listens: its process is dead
        path.unlink(missing_ok=True)
    elif state in (0, errno.EAGAIN):
        raise AdminSocketError(f"{path}: a running process listens there; name another path for this one")
    else:
        raise OSError(state, os.strerror(state))


# --- the other end ------------------------------------------------------------------------------------


def ask(path: Path, name: str, wait: float = CLIENT_TIMEOUT_S, **more: Any) -> dict[str, Any]:
    """What the node at `path` answers to `name` within `wait` seconds; raises ControlError.

    `more` are further keys of the question.
    """
    end, told = time.monotonic() + wait, bytearray()
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(wait)
            sock.connect(str(path))
            with contextlib.suppress(BrokenPipeError):  # refused before it was asked: the reason can be read
                sock.sendall(json.dumps({**more, "ask": name}).encode("ascii") + b"\n")
            while not told.endswith(b"\n"):
                sock.settimeout(max(0.001, end - time.monotonic()))
                piece = sock.recv(256 * 1024)
                if not piece or len(told) > MAX_RESPONSE_BYTES:
                    raise AdminSocketError(f"{path}: the answer broke off after {len(told)} bytes")
                told += piece
        answer = json.loads(told)
    except TimeoutError:
        raise AdminSocketError(f"{path}: no answer within {wait:g} s") from None
    except OSError as err:
        raise AdminSocketError(f"{path}: no node answers there: {err.strerror or err}") from None
    except (ValueError, RecursionError):
        raise AdminSocketError(f"{path}: what answers there is no node") from None
    if not isinstance(answer, dict) or "error" in answer:
        raise AdminSocketError(f"{path}: {answer['error'] if isinstance(answer, dict) else 'no object'}")
    return answer
