"""The control socket: a running node answers its operators on a Unix socket; `ask` is the client.

Requests and responses are one JSON object a line. `{"ask": "members"}` returns the result of the callable
that is registered under that name; a request that cannot be answered returns `{"error": "..."}`. Further keys
of the request are passed to the callables that are registered to take them.

Only root and the node's own user are served: the socket has mode 0600, and the kernel's credentials of the
client are checked as well (`SO_PEERCRED`). Bounds: 8 clients, 4 KiB for a request, 5 s for a client.
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

MAX_LINE_BYTES = 4 * 1024  # of a request
MAX_CLIENTS = 8
CLIENT_TIMEOUT_S = 5.0  # from a client's connect to its last response
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # that `ask` reads; 100,000 members need far less
MAX_TURN_S = 0.002  # of work on an iterator before the loop turns
RETRY_INTERVAL_S = 2.0  # until another attempt to create a socket
ROWS_PER_CHUNK = 200  # list items written between two turns of the loop

StatusProvider = Callable[[], dict[str, object]]
CommandHandler = Callable[[dict[str, Any]], dict[str, Any]]


class AdminSocketError(RuntimeError):
    """The control socket cannot be created or queried; the text has its path and the reason."""


class AdminSocket:
    """Serves the registered commands on a Unix socket, once `listen` has given it a path."""

    def __init__(self, uids: frozenset[int] | None = None) -> None:
        """`uids` are the users that are served, by default root and the user of this process."""
        self.uids = frozenset({0, os.geteuid()}) if uids is None else uids
        self.path: Path | None = None
        self._handlers: dict[str, CommandHandler] = {}
        self._server: asyncio.Server | None = None
        self._socket_file_id: tuple[int, int] | None = None  # device and inode of the socket file
        self._clients: set[asyncio.Task[None]] = set()
        self._listen_lock = asyncio.Lock()

    def register(self, name: str, provider: StatusProvider) -> None:
        """Answer `name` with the result of `provider`, in JSON types; iterators in it are written as arrays.

        The node's loop turns between two pieces of a list or an iterator, so an iterator must tolerate
        changes.
        """
        self._handlers[name] = lambda request: provider()

    def register_with(self, name: str, handler: CommandHandler | None) -> None:
        """Answer `name` with the result of `handler` for the whole request; None unregisters it."""
        if handler is None:
            self._handlers.pop(name, None)
        else:
            self._handlers[name] = handler

    async def listen(self, path: Path | None) -> None:
        """Serve at `path` from now on, nowhere with None; AdminSocketError leaves everything as it was."""
        async with self._listen_lock:
            if path == self.path:
                return
            socket_file_id = None
            if path is not None:
                sock = _bind(path)
                file_status = path.stat()
                socket_file_id = file_status.st_dev, file_status.st_ino
                try:
                    server = await asyncio.start_unix_server(
                        self._handle_client, sock=sock, limit=MAX_LINE_BYTES
                    )
                except BaseException:  # such as a cancel at the node's shutdown
                    sock.close()
                    path.unlink(missing_ok=True)
                    raise
            await self._stop_serving()
            if path is not None:
                self._server, self._socket_file_id = server, socket_file_id
            self.path = path

    async def close(self) -> None:
        """Stop serving, and remove the socket file."""
        await self.listen(None)

    async def _stop_serving(self) -> None:
        if self._server is None or self.path is None:
            return
        self._server.close()
        for task in list(self._clients):
            task.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        try:
            file_status = self.path.lstat()
            # Not a socket that another process has created at the path since.
            if (file_status.st_dev, file_status.st_ino) == self._socket_file_id:
                self.path.unlink()
        except OSError as err:
            log.warning("control: cannot remove %s: %s", self.path, err.strerror)
        self._server = self._socket_file_id = None

    # --- clients

    async def _handle_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        writer.transport.set_write_buffer_limits(0)  # a drain waits until the kernel has taken everything
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                if len(self._clients) >= MAX_CLIENTS:
                    await _write_reply(
                        writer, {"error": f"{MAX_CLIENTS} clients are being served, try again"}
                    )
                    return
                self._clients.add(task)
                if (uid := _peer_uid(writer)) not in self.uids:
                    log.warning("control: refused user %d", uid)
                    await _write_reply(writer, {"error": f"user {uid} is neither root nor the node's own"})
                    return
                await self._serve(reader, writer)
        except (TimeoutError, OSError):
            pass  # the client is too slow or has disconnected
        except asyncio.CancelledError:
            pass  # the node shuts down; there is nothing else to do
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
            await _write_reply(writer, self._respond(line))

    def _respond(self, line: bytes) -> dict[str, object]:
        known_names = ", ".join(sorted(self._handlers))
        try:
            request = json.loads(line)
        except (ValueError, RecursionError):
            return {"error": "a request is one JSON object a line"}
        name = request.get("ask") if isinstance(request, dict) else None
        if not isinstance(name, str) or name not in self._handlers:
            return {"error": f"cannot be asked: {name!r:.60}; known: {known_names}"}
        try:
            return self._handlers[name](request)
        except Exception as err:  # a failing command must not stop the node
            log.exception("control: %s failed", name)
            return {"error": f"{name} failed: {type(err).__name__}"}


class AdminSocketComponent:
    """Keeps the control socket at the path in the operator settings, and retries while that fails.

    A previous node that is still draining holds the path; the new node must serve meanwhile.
    """

    def __init__(self, control: AdminSocket) -> None:
        self.control = control
        self._wanted_path: Path | None = None
        self._changed = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._keep_listening())

    def apply(self, settings: OperatorSettings) -> None:
        """Move to another path, or to none, in the next turns of the loop."""
        self._wanted_path = None if settings.control is None else settings.control.socket
        self._changed.set()

    async def close(self) -> None:
        """Stop serving, and remove the socket file."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.control.close()

    async def _keep_listening(self) -> None:
        logged_error = ""
        while True:
            self._changed.clear()
            retry_s = None
            try:
                await self.control.listen(self._wanted_path)
            except AdminSocketError as err:
                retry_s = RETRY_INTERVAL_S
                if logged_error != str(err):
                    log.error("control: %s; it is tried again every %g s", err, retry_s)
                logged_error = str(err)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(retry_s):
                    await self._changed.wait()


def _peer_uid(writer: asyncio.StreamWriter) -> int:
    """Return the user ID of the client, as the kernel reports it."""
    sock = writer.get_extra_info("socket")
    _, uid, _ = struct.unpack("iII", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return int(uid)


async def _write_reply(writer: asyncio.StreamWriter, response: dict[str, object]) -> None:
    """Write a response in pieces, so that thousands of members do not block the loop at once."""
    for piece in _chunks(response):
        writer.write(piece.encode("ascii"))
        await writer.drain()
        await asyncio.sleep(0)


def _chunks(response: dict[str, object]) -> Iterator[str]:
    opening = "{"
    for name, value in response.items():
        yield f"{opening}{json.dumps(name)}:"
        opening = ","
        if not isinstance(value, (list, Iterator)):
            yield json.dumps(value)
            continue
        rows: list[str] = []
        separator, begun_s = "[", time.monotonic()
        for row in value:
            rows.append(json.dumps(row))
            if len(rows) == ROWS_PER_CHUNK or time.monotonic() - begun_s > MAX_TURN_S:
                yield separator + ",".join(rows)
                rows, separator, begun_s = [], ",", time.monotonic()
        yield (separator if rows or separator == "[" else "") + ",".join(rows) + "]"
    yield "}\n" if response else "{}\n"


# --- the socket file ----------------------------------------------------------------------------------


def _bind(path: Path) -> socket.socket:
    """Bind a socket at `path` that only its owner may use; replaces one that a dead process left."""
    try:
        _remove_stale_socket(path)
        sock = socket.socket(socket.AF_UNIX)
    except OSError as err:
        raise AdminSocketError(f"{path}: {err.strerror}") from None
    previous_umask = os.umask(0o177)  # from the start no other user may connect
    try:
        sock.bind(str(path))
        sock.listen(MAX_CLIENTS)  # at once: a socket that does not listen is taken for a dead process's
    except OSError as err:
        sock.close()
        raise AdminSocketError(f"{path}: {err.strerror}") from None
    finally:
        os.umask(previous_umask)
    sock.setblocking(False)
    return sock


def _remove_stale_socket(path: Path) -> None:
    try:
        file_status = path.lstat()
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(file_status.st_mode):
        raise AdminSocketError(f"{path}: is there and is no socket; remove it or name another path")
    with socket.socket(socket.AF_UNIX) as probe:
        probe.setblocking(False)
        state = probe.connect_ex(str(path))
    if state == errno.ECONNREFUSED:  # nothing listens: its process is dead
        path.unlink(missing_ok=True)
    elif state in (0, errno.EAGAIN):
        raise AdminSocketError(f"{path}: a running process listens there; name another path for this one")
    else:
        raise OSError(state, os.strerror(state))


# --- the client ----------------------------------------------------------------------------------------


def ask(path: Path, name: str, timeout_s: float = CLIENT_TIMEOUT_S, **more: Any) -> dict[str, Any]:
    """Ask the node at `path` for `name` and return its response; raises AdminSocketError after `timeout_s`.

    `more` are further keys of the request.
    """
    deadline_s, received = time.monotonic() + timeout_s, bytearray()
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(timeout_s)
            sock.connect(str(path))
            # The node may have rejected the client already: the reason can still be read.
            with contextlib.suppress(BrokenPipeError):
                sock.sendall(json.dumps({**more, "ask": name}).encode("ascii") + b"\n")
            while not received.endswith(b"\n"):
                sock.settimeout(max(0.001, deadline_s - time.monotonic()))
                piece = sock.recv(256 * 1024)
                if not piece or len(received) > MAX_RESPONSE_BYTES:
                    raise AdminSocketError(f"{path}: the answer broke off after {len(received)} bytes")
                received += piece
        response = json.loads(received)
    except TimeoutError:
        raise AdminSocketError(f"{path}: no answer within {timeout_s:g} s") from None
    except OSError as err:
        raise AdminSocketError(f"{path}: no node answers there: {err.strerror or err}") from None
    except (ValueError, RecursionError):
        raise AdminSocketError(f"{path}: what answers there is no node") from None
    if not isinstance(response, dict) or "error" in response:
        raise AdminSocketError(f"{path}: {response['error'] if isinstance(response, dict) else 'no object'}")
    return response
