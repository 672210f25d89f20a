"""One endpoint of the etcd emulator: the JSON gateway over HTTP/1.1, with injectable faults.

Responses equal those of etcd 3.4.23 byte for byte except for ids and dates;
tests/testbed/test_etcd_gateway.py checks this and names the sources. Easy to miss:

- With auth on, compaction, lease and status calls still succeed without a token.
- With auth on and client certificates requested, a client whose certificate has a common name is rejected
  in plain text.
- A member without a quorum serves serializable reads and creates watches, but sends them no events.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl

from balancer.testbed.etcd import wire
from balancer.testbed.etcd.http import (
    MAX_HEAD_BYTES,
    Connection,
    ConnectionClosedError,
    Request,
    chunk,
)
from balancer.testbed.etcd.shared import (
    ClusterState,
    Garbage,
    Record,
    names,
    now_ms,
)
from balancer.testbed.etcd.store import (
    Delete,
    Found,
    Op,
    Put,
    Range,
    StoreError,
)
from balancer.testbed.etcd.stream import NO_LEADER, Stream, StreamEndedError
from balancer.testbed.etcd.wire import Json, omit_zero_fields

DEFAULT_FRAGMENT_BYTES = 2 * 1024 * 1024  # of events, above which a line is split for a watch with fragments
TIMED_OUT = "etcdserver: request timed out"
COMMON_NAME_REJECTED = (
    b"CommonName of client sending a request against gateway will be ignored and not used as expected\n"
)


def _common_name(connection: Connection) -> bool:
    """Whether the client presented a certificate with a common name."""
    shown = connection.writer.get_extra_info("peercert") or {}
    return any(name == "commonName" for part in shown.get("subject", ()) for name, _ in part)


def _garbage_value(kind: Garbage) -> str:
    """Return an invalid value as it appears in JSON."""
    return wire.b64(b"\0" * 2_000_000) if kind is Garbage.HUGE_VALUE else "!!! not base64"


class Endpoint:
    """A cluster member as clients see it, with the state of its faults."""

    def __init__(self, shared: ClusterState, index: int, member_id: int, tls: ssl.SSLContext | None) -> None:
        self.shared, self.index, self.member_id, self.tls = shared, index, member_id, tls
        self.alive = False
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.unstalled = asyncio.Event()
        self.unstalled.set()
        self.is_isolated = False
        self.lag_revisions = 0
        self.known_revision: int | None = None  # last known revision while without a quorum
        self.quorum_lost_ms: float | None = None  # when the quorum was lost
        self.duplicates_events = False
        self.fragment_bytes = DEFAULT_FRAGMENT_BYTES
        self.cluster_id: int | None = None  # overrides the id of the cluster
        self.garbage: Garbage | None = None  # sent in responses to range calls
        self.garbage_key = b"garbage"
        self.start_count = 0
        self.streams: dict[Connection, Stream] = {}
        # The connection is None until it is established.
        self._tasks: dict[asyncio.Task[None], Connection | None] = {}
        self._listener: socket.socket | None = None
        self._accept_task: asyncio.Task[None] | None = None

    # --- state

    def view(self) -> int:
        """Return the latest revision known to the member."""
        newest = self.shared.store.revision if self.known_revision is None else self.known_revision
        return max(min(newest, self.shared.store.revision) - self.lag_revisions, 1)

    def header(self, revision: int | None = None) -> Json:
        """Encode a ResponseHeader with the latest or the given revision; 0 omits it."""
        return omit_zero_fields(
            cluster_id=self.shared.cluster_id if self.cluster_id is None else self.cluster_id,
            member_id=self.member_id,
            revision=self.view() if revision is None else revision,
            raft_term=1 + self.start_count,
        )

    def wake_streams(self) -> None:
        """Wake all streams after a change."""
        for stream in self.streams.values():
            stream.wake_event.set()

    @property
    def is_awake(self) -> bool:
        """Whether the member is neither frozen nor stalled."""
        return self.thawed.is_set() and self.unstalled.is_set()

    async def wait_until_awake(self) -> None:
        """Wait until the member is neither frozen nor stalled."""
        while not self.is_awake:
            await self.thawed.wait()
            await self.unstalled.wait()

    # --- lifecycle

    def listen(self, port: int) -> None:
        """Listen for connections on a port."""
        listener = self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(("127.0.0.1", port))
        listener.listen(1024)
        self._accept_task = asyncio.ensure_future(self._accept(listener))
        self._accept_task.add_done_callback(lambda _: listener.close())

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listener is not None

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._listener is not None and self._accept_task is not None:
            self._listener.shutdown(socket.SHUT_RDWR)  # refuses at once; closed when the accept task ends
            self._accept_task.cancel()
            self._listener = None

    def drop(self) -> None:
        """Abort all connections without notice."""
        for task, connection in self._tasks.items():
            if connection is not None:
                connection.writer.transport.abort()
            task.cancel()

    def close_gracefully(self) -> None:
        """Close all connections as on SIGTERM: streams end with an error."""
        for task, connection in self._tasks.items():
            if connection is not None and connection in self.streams:
                with contextlib.suppress(StreamEndedError):
                    self.streams[connection].end("transport is closing", 14)
            if connection is not None:
                connection.writer.close()
            task.cancel()

    async def _accept(self, listener: socket.socket) -> None:
        """Accept connections; while frozen, the kernel completes connects but no TLS handshake starts."""
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(listener)
            task = asyncio.ensure_future(self._serve_connection(client))
            self._tasks[task] = None
            task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _serve_connection(self, client: socket.socket) -> None:
        try:
            await self.wait_until_awake()
        except asyncio.CancelledError:
            client.close()
            raise
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(MAX_HEAD_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader)
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, client, ssl=self.tls)
        except OSError:
            return  # the TLS handshake failed
        connection = Connection(reader, asyncio.StreamWriter(transport, protocol, reader, loop))
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = connection
        await connection.run(self.respond)

    # --- calls

    async def respond(self, connection: Connection, request: Request) -> None:
        """Serve one call."""
        await self.wait_until_awake()
        calls = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete,
            "/v3/kv/txn": self._txn,
            "/v3/kv/compaction": self._compact,
            "/v3/lease/grant": self._grant,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
            "/v3/auth/authenticate": self._authenticate,
            "/v3/maintenance/status": self._status,
        }
        streams = {"/v3/watch": self._watch, "/v3/lease/keepalive": self._keep_alive}
        if request.path not in calls and request.path not in streams:
            connection.respond_plain("404 Not Found", b"Not Found\n", request.closes_connection)
            return
        if request.method != "POST":
            connection.respond_plain(
                "405 Method Not Allowed", b"Method Not Allowed\n", request.closes_connection
            )
            return
        if self.shared.auth.enabled and _common_name(connection):
            connection.respond_plain("400 Bad Request", COMMON_NAME_REJECTED, request.closes_connection)
            return
        if request.path in streams:
            await streams[request.path](connection, request)
            return
        try:
            fields = wire.loads(request.body)
            if request.wants_leader and self._has_lost_leader():
                raise StoreError(NO_LEADER, 14)
            value = await calls[request.path](connection, request, fields)
        except wire.MalformedError as err:
            connection.respond_error(str(err), 3, request.closes_connection, is_parsed=False)
        except StoreError as err:
            connection.respond_error(err.message, err.code, request.closes_connection)
        else:
            if value is not None:
                connection.respond(value, request.closes_connection)

    def _has_lost_leader(self) -> bool:
        return self.quorum_lost_ms is not None and now_ms() >= self.quorum_lost_ms + self.shared.election_ms

    async def _wait_for_quorum(self, message: str, code: int) -> None:
        """Wait for a quorum. Raises StoreError after `quorum_wait_ms`."""
        deadline_ms = now_ms() + self.shared.quorum_wait_ms
        while not self.shared.has_quorum(self.index):
            if now_ms() >= deadline_ms:
                raise StoreError(message, code)
            await asyncio.sleep(0.01)

    async def _wait_until_writable(self) -> None:
        await self._wait_for_quorum("context deadline exceeded", 2)
        await self.wait_until_awake()

    async def _range(self, connection: Connection, request: Request, fields: wire.Fields) -> Json | None:
        range_request = wire.range_(fields)
        if not fields.flag("serializable"):
            await self._wait_for_quorum(TIMED_OUT, 14)
            await self.wait_until_awake()
        if range_request.key:
            self.shared.auth.check(request.token, range_request.key, range_request.end, write=False)
        first_page = range_request.end and not range_request.count_only and not range_request.revision
        if first_page and not self.shared.admit_list(self.index):
            raise StoreError("etcdserver: too many requests", 8)
        found = self.shared.store.range(range_request, self.view())
        value = wire.range_response(found, self.header())
        if self.shared.corrupted_values and found.kvs:
            value["kvs"] = [self.corrupt_row(kv.key, wire.key_value(kv)) for kv in found.kvs]
        body = wire.dumps(value)
        # With these kinds the response is valid except for one entry.
        is_readable = self.garbage in (None, Garbage.HUGE_VALUE, Garbage.NOT_BASE64)
        if is_readable and not connection.is_closed:
            put, peer = names(kv.key for kv in found.kvs), connection.peer
            key, end = names((range_request.key, range_request.end))
            kind, shown = (
                "count" if range_request.count_only else "range",
                range_request.revision or self.view(),
            )
            self.shared.record(Record(now_ms(), self.index, kind, shown, put, (), peer, key, end, found.more))
        if self.garbage is not None:
            await self._write_garbage(connection, request, body)
        else:
            connection.respond_encoded(body, request.closes_connection)
        return None

    async def _write_garbage(self, connection: Connection, request: Request, body: bytes) -> None:
        if self.garbage is Garbage.NOT_JSON:
            connection.respond_encoded(body[:-1], request.closes_connection)
        elif self.garbage is Garbage.NOT_OBJECT:
            connection.respond_encoded(b'[{"kvs":"none"}]', request.closes_connection)
        elif self.garbage is Garbage.ENDLESS_LINE:
            stream = Stream(self, connection, request)
            await stream.write_endless_line()
            await connection.reader.read(1)
        else:
            assert self.garbage is not None
            value = wire.loads(body).raw
            value["kvs"] = [*value.get("kvs", []), self.garbage_row(self.garbage, self.garbage_key)]
            connection.respond(value, request.closes_connection)

    def garbage_row(self, kind: Garbage, key: bytes) -> Json:
        """Build a row with an invalid value."""
        revision = self.view()
        numbers = {"create_revision": str(revision), "mod_revision": str(revision), "version": "1"}
        return {"key": wire.b64(key), **numbers, "value": _garbage_value(kind)}

    def corrupt_row(self, key: bytes, kv: Json) -> Json:
        """Return a row as it is sent: with an invalid value if one is configured for the key."""
        kind = self.shared.corrupted_values.get(key)
        return kv if kind is None else kv | {"value": _garbage_value(kind)}

    async def _put(self, connection: Connection, request: Request, fields: wire.Fields) -> Json:
        return await self._write(wire.put(fields), request)

    async def _delete(self, connection: Connection, request: Request, fields: wire.Fields) -> Json:
        return await self._write(wire.delete(fields), request)

    async def _write(self, operation: Put | Delete, request: Request) -> Json:
        await self._wait_until_writable()
        self._check_permissions([operation], request)
        _, (result,) = self.shared.store.txn((), (operation,), ())
        self.shared.changed()
        assert not isinstance(result, Found)
        return wire.write_response(operation, result, self.header())

    def _check_permissions(self, ops: list[Op], request: Request) -> None:
        for operation in ops:
            end = b"" if isinstance(operation, Put) else operation.end
            if operation.key:
                self.shared.auth.check(
                    request.token, operation.key, end, write=not isinstance(operation, Range)
                )

    async def _txn(self, connection: Connection, request: Request, fields: wire.Fields) -> Json:
        conditions, success_ops, failure_ops = wire.txn(fields)
        await self._wait_until_writable()
        for condition in conditions:
            self.shared.auth.check(request.token, condition.key, b"", write=False)
        self._check_permissions([*success_ops, *failure_ops], request)
        succeeded, results = self.shared.store.txn(conditions, success_ops, failure_ops)
        self.shared.changed()
        written = wire.txn_responses(
            success_ops if succeeded else failure_ops, results, self.shared.store.revision
        )
        return omit_zero_fields(header=self.header(), succeeded=succeeded, responses=written)

    async def _compact(self, connection: Connection, request: Request, fields: wire.Fields) -> Json:
        await self._wait_until_writable()
        self.shared.auth.user_of(request.token)
        self.shared.store.compact(fields.number("revision"))
        self.shared.changed()
        return omit_zero_fields(header=self.header())

    async def _grant(self, connection: Connection, request: Request, fields: wire.Fields) -> Json:
        await self._wait_until_writable()
        self.shared.auth.user_of(request.token)
        lease = self.shared.store.grant(fields.number("TTL"), fields.number("ID"))
        self.shared.changed()
        return omit_zero_fields(header=self.header(), ID=lease.id, TTL=lease.ttl_s)

    async def _revoke(self, connection: Connection, request: Request, fields: wire.Fields) -> Json:
        await self._wait_until_writable()
        self.shared.auth.user_of(request.token)
        self.shared.store.revoke(fields.number("ID"))
        self.shared.changed()
        return omit_zero_fields(header=self.header())

    async def _authenticate(self, connection: Connection, request: Request, fields: wire.Fields) -> Json:
        await self._wait_until_writable()
        token = self.shared.auth.authenticate(fields.text("name"), fields.text("password"))
        return omit_zero_fields(header=self.header(), token=token)

    async def _status(self, connection: Connection, request: Request, fields: wire.Fields) -> Json:
        has_lost_leader = self._has_lost_leader()
        index = self.shared.store.revision + 3
        return omit_zero_fields(
            header=self.header(),
            version="3.4.23",
            dbSize=32768,
            leader=0 if has_lost_leader else self.shared.leader(),
            raftIndex=index,
            raftTerm=1 + self.start_count,
            raftAppliedIndex=index,
            errors=[NO_LEADER] if has_lost_leader else [],
            dbSizeInUse=24576,
        )

    async def _watch(self, connection: Connection, request: Request) -> None:
        stream = Stream(self, connection, request)
        try:
            requests = wire.load_all(request.body)
        except wire.MalformedError as err:
            connection.respond_error(str(err), 2, request.closes_connection, is_parsed=False)
            return
        self.streams[connection] = stream
        try:
            if request.wants_leader and self._has_lost_leader():
                stream.end(NO_LEADER, 14)
            try:
                for fields in requests:
                    stream.handle_request(fields)
            except wire.MalformedError as err:
                connection.respond_error(str(err), 2, request.closes_connection, is_parsed=False)
                return
            await stream.run()
            raise ConnectionClosedError  # the client disconnected
        except StreamEndedError:
            return
        finally:
            del self.streams[connection]

    async def _keep_alive(self, connection: Connection, request: Request) -> None:
        stream = Stream(self, connection, request)
        try:
            requests = wire.load_all(request.body)
            lease_ids = [fields.number("ID") for fields in requests]
        except wire.MalformedError as err:
            connection.respond_error(str(err), 2, request.closes_connection, is_parsed=False)
            return
        try:
            await self._wait_for_quorum(NO_LEADER, 14)
        except StoreError as err:
            with contextlib.suppress(StreamEndedError):
                stream.end(err.message, err.code)
            return
        for lease_id in lease_ids:
            ttl_s = self.shared.store.keep_alive(lease_id)
            stream.write_message(header=self.header(), ID=lease_id, TTL=ttl_s)
        self.shared.changed()
        connection.write(chunk(b""))
