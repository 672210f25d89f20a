"""The response stream of a watch call: JSON lines until the client disconnects or the member stops.

Behavior of etcd 3.4.23 that is easy to miss:

- A line longer than 2048 bytes has its newline in a separate chunk; an error that ends a stream has none.
- A watch whose start revision is compacted is created, and canceled some time later; the stream stays open.
  It also stays open if the user may not read the range: the watch is created and canceled in one message.
- A watch that starts in the past gets the past events after a delay, at most 1000 revisions per line.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from balancer.testbed.etcd import wire
from balancer.testbed.etcd.http import (
    WRITE_BUFFER_BYTES,
    Connection,
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
from balancer.testbed.etcd.store import Event, StoreError, inside
from balancer.testbed.etcd.wire import Json, omit_zero_fields

MAX_REVISIONS_PER_LINE = 1000  # revisions per line while a watch catches up
ENDLESS = 64 * 1024 * 1024  # bytes of an endless line, after which nothing more is sent
NO_LEADER = "etcdserver: no leader"


class Member(Protocol):
    """The interface of the member that serves a stream."""

    shared: ClusterState
    index: int
    quorum_lost_ms: float | None
    duplicates_events: bool
    fragment_bytes: int

    def view(self) -> int:
        """Return the latest revision known to the member."""

    def header(self, revision: int | None = None) -> Json:
        """Encode a ResponseHeader."""

    async def wait_until_awake(self) -> None:
        """Wait until the member is neither frozen nor stalled."""

    def corrupt_row(self, key: bytes, row: Json) -> Json:
        """Return a key's row, with an invalid value if one is configured for the key."""

    def garbage_row(self, kind: Garbage, key: bytes) -> Json:
        """Build a row with invalid data."""


class StreamEndedError(Exception):
    """The stream ended but its connection stays open."""


@dataclass(slots=True)
class Watch:
    """A watch on a stream: its request and the next revision to send."""

    request: wire.WatchRequest
    id: int
    next_revision: int
    is_behind: bool  # gets past events in batches instead of one revision at a time
    due_ms: float  # when the past events are sent, if it is behind
    quiet_since_ms: float

    def select_events(self, events: tuple[Event, ...]) -> list[Event]:
        """Select the events that match the request's range and filters."""
        excluded = {one == "NODELETE" for one in self.request.filters}
        return [
            event
            for event in events
            if inside(event.now.key, self.request.key, self.request.end) and event.deleted not in excluded
        ]


class Stream:
    """The response to a watch call."""

    def __init__(self, endpoint: Member, connection: Connection, request: Request) -> None:
        self.endpoint, self.connection, self.shared = endpoint, connection, endpoint.shared
        self.token, self.wants_leader, self.closes_connection = (
            request.token,
            request.wants_leader,
            request.closes_connection,
        )
        self.watches: dict[int, Watch] = {}
        self.wake_event = asyncio.Event()
        self.is_head_written = False
        self._endless_line_task: asyncio.Task[None] | None = None

    def write_head(self, status: str = "200 OK") -> None:
        """Write the response head unless already written."""
        if not self.is_head_written:
            self.is_head_written = True
            kind = ["Content-Type: application/json"]
            kind += ["Grpc-Metadata-Content-Type: application/grpc"] if status.startswith("200") else []
            self.connection.write(self.connection.head(status, self.closes_connection, *kind))

    def write_line(self, raw: bytes) -> None:
        """Write a line, split into chunks as etcd does."""
        if self._endless_line_task is not None:
            return  # a newline would terminate the endless line
        self.write_head()
        if len(raw) < WRITE_BUFFER_BYTES:
            self.connection.write(chunk(raw + b"\n"))
        else:
            self.connection.write(chunk(raw) + chunk(b"\n"))

    def write_message(self, **result: object) -> None:
        """Write a result message."""
        self.write_line(wire.dumps({"result": omit_zero_fields(**result)}))

    def end(self, message: str, code: int) -> None:
        """End the stream with an error; the connection stays usable. Raises StreamEndedError."""
        self.write_head(wire.HTTP_CODES[code])
        self.connection.write(chunk(wire.dumps(wire.stream_error(message, code))) + chunk(b""))
        raise StreamEndedError

    # --- requests

    def handle_request(self, fields: wire.Fields) -> None:
        """Handle a WatchRequest."""
        if (create := fields.object("create_request")) is not None:
            self.create(wire.watch(create))
        elif (cancel := fields.object("cancel_request")) is not None:
            watch = cancel.number("watch_id")
            if self.watches.pop(watch, None) is not None:
                self.write_message(header=self.endpoint.header(), watch_id=watch, canceled=True)
        elif fields.object("progress_request") is not None:
            self.write_message(header=self.endpoint.header(), watch_id=-1)

    def create(self, request: wire.WatchRequest) -> None:
        """Create a watch or reject it."""
        header, reason = self.endpoint.header(), ""
        code_names = {3: "InvalidArgument", 7: "PermissionDenied", 16: "Unauthenticated"}
        try:
            self.shared.auth.check(self.token, request.key, request.end, write=False)
        except StoreError as err:
            reason = f"rpc error: code = {code_names[err.code]} desc = {err.message}"
        if not reason and request.end not in (b"", b"\0") and request.end <= request.key:
            reason = "mvcc: watcher range is empty"
        if reason:
            self.write_message(header=header, watch_id=-1, created=True, canceled=True, cancel_reason=reason)
            return
        watch_id = request.id
        while watch_id in self.watches or (not watch_id and 0 in self.watches):
            watch_id += 1
        view, now = self.endpoint.view(), now_ms()
        start = request.start or view + 1
        self.watches[watch_id] = Watch(
            request, watch_id, start, start <= view, now + self.shared.sync_ms, now
        )
        self.write_message(header=header, watch_id=watch_id, created=True)

    # --- events

    async def run(self) -> None:
        """Send events until the client disconnects or the stream ends."""
        disconnected = asyncio.ensure_future(self.connection.reader.read(1))
        try:
            while not disconnected.done():
                self.wake_event.clear()
                await self.endpoint.wait_until_awake()
                self._check_leader()
                wait_s = await self._serve_watches()
                wake_task = asyncio.ensure_future(self.wake_event.wait())
                try:
                    await asyncio.wait(
                        (disconnected, wake_task), timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    wake_task.cancel()
        finally:
            disconnected.cancel()
            await asyncio.wait((disconnected,))  # the connection reads next, and only one reader is allowed
            if self._endless_line_task is not None:
                self._endless_line_task.cancel()

    def _check_leader(self) -> None:
        quorum_lost_ms = self.endpoint.quorum_lost_ms
        if (
            self.wants_leader
            and quorum_lost_ms is not None
            and now_ms() >= quorum_lost_ms + 3 * self.shared.election_ms
        ):
            self.end(NO_LEADER, 14)

    async def _serve_watches(self) -> float | None:
        """Serve all watches; return the time until the next due action in seconds, None if there is none."""
        deadlines_ms = []
        if self.wants_leader and self.endpoint.quorum_lost_ms is not None:
            deadlines_ms.append(self.endpoint.quorum_lost_ms + 3 * self.shared.election_ms)
        for watch in list(self.watches.values()):
            deadline_ms = await self._serve_watch(watch)
            await self.connection.writer.drain()
            if deadline_ms is not None:
                deadlines_ms.append(deadline_ms)
        return max(min(deadlines_ms) - now_ms(), 0.0) / 1000.0 if deadlines_ms else None

    async def _serve_watch(self, watch: Watch) -> float | None:
        """Send one watch its pending messages; return the time of its next action in ms, if known."""
        store, view, now = self.shared.store, self.endpoint.view(), now_ms()
        if watch.is_behind:
            if now < watch.due_ms:
                return watch.due_ms
            compacted_revision = store.compacted_at(view)
            if watch.next_revision < compacted_revision:
                del self.watches[watch.id]
                header = self.endpoint.header(0)
                self.write_message(
                    header=header, watch_id=watch.id, canceled=True, compact_revision=compacted_revision
                )
                return None
            await self._catch_up(watch, view)
        for revision, events in store.events(watch.next_revision, view, live=True):
            watch.next_revision = revision + 1
            await self._send_events(watch, events, revision)
        watch.next_revision = max(watch.next_revision, view + 1)
        if not watch.request.progress:
            return None
        if now_ms() - watch.quiet_since_ms >= self.shared.progress_ms:
            watch.quiet_since_ms = now_ms()
            self.write_message(header=self.endpoint.header(), watch_id=watch.id)
        return watch.quiet_since_ms + self.shared.progress_ms

    async def _catch_up(self, watch: Watch, view: int) -> None:
        """Send the past events in batches."""
        gathered: list[Event] = []
        count = 0
        for _, events in self.shared.store.events(watch.next_revision, view):
            count += bool(watch.select_events(events))
            gathered += events
            if count == MAX_REVISIONS_PER_LINE:
                await self._send_events(watch, tuple(gathered), view)
                gathered, count = [], 0
        watch.next_revision, watch.is_behind = view + 1, False
        await self._send_events(watch, tuple(gathered), view)

    async def _send_events(self, watch: Watch, events: tuple[Event, ...], revision: int) -> None:
        for _ in range(2 if self.endpoint.duplicates_events else 1):
            await self.endpoint.wait_until_awake()
            self.write_events(watch, events, revision)
            await self.connection.writer.drain()

    def write_events(self, watch: Watch, events: tuple[Event, ...], revision: int) -> None:
        """Write the events that match a watch, with this revision in the header."""
        selected = watch.select_events(events)
        if not selected or self._endless_line_task is not None:
            return
        watch.quiet_since_ms = now_ms()
        header = self.endpoint.header(revision)
        pieces = list(self._pieces(selected)) if watch.request.fragment else [selected]
        for index, piece in enumerate(pieces):
            self._record(piece)
            written = [wire.event(event, watch.request.prev_kv) for event in piece]
            if self.shared.corrupted_values:
                pairs = zip(piece, written, strict=True)
                written = [
                    row
                    if event.deleted
                    else row | {"kv": self.endpoint.corrupt_row(event.now.key, wire.key_value(event.now))}
                    for event, row in pairs
                ]
            more = index < len(pieces) - 1
            self.write_message(header=header, watch_id=watch.id, fragment=more, events=written)

    def _pieces(self, events: list[Event]) -> Iterator[list[Event]]:
        piece: list[Event] = []
        size = 0
        for event in events:
            size += len(event.now.key) + len(event.now.value) + 20
            if piece and size >= self.endpoint.fragment_bytes:
                yield piece
                piece, size = [], len(event.now.key) + len(event.now.value) + 20
            piece.append(event)
        yield piece

    def _record(self, events: list[Event]) -> None:
        if self.connection.is_closed:
            return
        at_ms = now_ms()
        for revision in sorted({event.now.modified for event in events}):
            at_revision = [event for event in events if event.now.modified == revision]
            valid = (event for event in at_revision if event.now.key not in self.shared.corrupted_values)
            put = names(event.now.key for event in valid if not event.deleted)
            deleted = names(event.now.key for event in at_revision if event.deleted)
            index, peer = self.endpoint.index, self.connection.peer
            self.shared.record(Record(at_ms, index, "watch", revision, put, deleted, peer))

    # --- faults

    def replay(self, first: int, last: int | None) -> None:
        """Resend events from revision `first` on, up to `last` if given."""
        for watch in self.watches.values():
            last_sent = min(watch.next_revision - 1, self.endpoint.view())
            end = last_sent if last is None else min(last_sent, last)
            for _, events in list(self.shared.store.events(first, end)):
                # As for a watch that was behind, the header has the latest revision sent.
                self.write_events(watch, events, last_sent)

    def cancel(self, reason: str, compact_revision: int) -> None:
        """Cancel all watches; the stream stays open."""
        for watch_id in list(self.watches):
            del self.watches[watch_id]
            header = self.endpoint.header(0)
            self.write_message(
                header=header,
                watch_id=watch_id,
                canceled=True,
                compact_revision=compact_revision,
                cancel_reason=reason,
            )

    def send_garbage(self, kind: Garbage, key: bytes) -> None:
        """Send invalid data on every watch."""
        if kind is Garbage.ENDLESS_LINE:
            if self._endless_line_task is None:
                self._endless_line_task = asyncio.ensure_future(self.write_endless_line())
            return
        for watch_id in self.watches:
            kv = self.endpoint.garbage_row(kind, key)
            if kind is Garbage.NOT_JSON:
                self.write_line(b'{"result":{"header":{"revision":')
            elif kind is Garbage.NOT_OBJECT:
                self.write_line(b'[{"result":{"events":"none"}},null]')
            else:
                self.write_message(header=self.endpoint.header(), watch_id=watch_id, events=[{"kv": kv}])

    async def write_endless_line(self) -> None:
        """Write a line that never ends, up to `ENDLESS` bytes."""
        self.write_head()
        sent = 0
        with contextlib.suppress(OSError):
            self.connection.write(chunk(b'{"result":{"events":[{"kv":{"key":"'))
            while sent < ENDLESS and not self.connection.writer.is_closing():
                self.connection.write(chunk(b"A" * 65536))
                sent += 65536
                await self.connection.writer.drain()
                await asyncio.sleep(0)
