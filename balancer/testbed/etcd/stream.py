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
    BUFFER,
    Asked,
    Connection,
    chunk,
)
from balancer.testbed.etcd.shared import (
    Garbage,
    Record,
    Shared,
    names,
    now_ms,
)
from balancer.testbed.etcd.store import Event, StoreError, inside
from balancer.testbed.etcd.wire import Json, lean

BATCH = 1000  # revisions per line while a watch catches up
ENDLESS = 64 * 1024 * 1024  # bytes of an endless line, after which nothing more is sent
NO_LEADER = "etcdserver: no leader"


class Member(Protocol):
    """The interface of the member that serves a stream."""

    shared: Shared
    index: int
    lost_ms: float | None
    twice: bool
    fragment: int

    def view(self) -> int:
        """Return the latest revision known to the member."""

    def header(self, revision: int | None = None) -> Json:
        """Encode a ResponseHeader."""

    async def awake(self) -> None:
        """Wait until the member is neither frozen nor stalled."""

    def garble(self, key: bytes, row: Json) -> Json:
        """Return a key's row, with an invalid value if one is configured for the key."""

    def garbled(self, kind: Garbage, key: bytes) -> Json:
        """Build a row with invalid data."""


class EndedError(Exception):
    """The stream ended but its connection stays open."""


@dataclass(slots=True)
class Watch:
    """A watch on a stream: its request and the next revision to send."""

    asked: wire.WatchRequest
    id: int
    next: int
    behind: bool  # gets past events in batches instead of one revision at a time
    due_ms: float  # when the past events are sent, if it is behind
    quiet_since_ms: float

    def picks(self, events: tuple[Event, ...]) -> list[Event]:
        """Select the events that match the request's range and filters."""
        unwanted = {one == "NODELETE" for one in self.asked.filters}
        return [
            event
            for event in events
            if inside(event.now.key, self.asked.key, self.asked.end) and event.deleted not in unwanted
        ]


class Stream:
    """The response to a watch call."""

    def __init__(self, endpoint: Member, connection: Connection, asked: Asked) -> None:
        self.endpoint, self.connection, self.shared = endpoint, connection, endpoint.shared
        self.token, self.wants_leader, self.last = asked.token, asked.wants_leader, asked.last
        self.watches: dict[int, Watch] = {}
        self.stir = asyncio.Event()
        self.begun = False
        self._endless: asyncio.Task[None] | None = None

    def begin(self, status: str = "200 OK") -> None:
        """Write the response head unless already written."""
        if not self.begun:
            self.begun = True
            kind = ["Content-Type: application/json"]
            kind += ["Grpc-Metadata-Content-Type: application/grpc"] if status.startswith("200") else []
            self.connection.write(self.connection.head(status, self.last, *kind))

    def line(self, raw: bytes) -> None:
        """Write a line, split into chunks as etcd does."""
        if self._endless is not None:
            return  # a newline would terminate the endless line
        self.begin()
        if len(raw) < BUFFER:
            self.connection.write(chunk(raw + b"\n"))
        else:
            self.connection.write(chunk(raw) + chunk(b"\n"))

    def say(self, **result: object) -> None:
        """Write a result message."""
        self.line(wire.dumps({"result": lean(**result)}))

    def end(self, message: str, code: int) -> None:
        """End the stream with an error; the connection stays usable. Raises EndedError."""
        self.begin(wire.HTTP_CODES[code])
        self.connection.write(chunk(wire.dumps(wire.stream_error(message, code))) + chunk(b""))
        raise EndedError

    # --- requests

    def take(self, fields: wire.Fields) -> None:
        """Handle a WatchRequest."""
        if (create := fields.object("create_request")) is not None:
            self.create(wire.watch(create))
        elif (cancel := fields.object("cancel_request")) is not None:
            watch = cancel.number("watch_id")
            if self.watches.pop(watch, None) is not None:
                self.say(header=self.endpoint.header(), watch_id=watch, canceled=True)
        elif fields.object("progress_request") is not None:
            self.say(header=self.endpoint.header(), watch_id=-1)

    def create(self, asked: wire.WatchRequest) -> None:
        """Create a watch or reject it."""
        header, reason = self.endpoint.header(), ""
        words = {3: "InvalidArgument", 7: "PermissionDenied", 16: "Unauthenticated"}
        try:
            self.shared.auth.check(self.token, asked.key, asked.end, write=False)
        except StoreError as err:
            reason = f"rpc error: code = {words[err.code]} desc = {err.message}"
        if not reason and asked.end not in (b"", b"\0") and asked.end <= asked.key:
            reason = "mvcc: watcher range is empty"
        if reason:
            self.say(header=header, watch_id=-1, created=True, canceled=True, cancel_reason=reason)
            return
        number = asked.id
        while number in self.watches or (not number and 0 in self.watches):
            number += 1
        view, now = self.endpoint.view(), now_ms()
        start = asked.start or view + 1
        self.watches[number] = Watch(asked, number, start, start <= view, now + self.shared.sync_ms, now)
        self.say(header=header, watch_id=number, created=True)

    # --- events

    async def run(self) -> None:
        """Send events until the client disconnects or the stream ends."""
        gone = asyncio.ensure_future(self.connection.reader.read(1))
        try:
            while not gone.done():
                self.stir.clear()
                await self.endpoint.awake()
                self._leader()
                wait_s = await self._tell()
                stir = asyncio.ensure_future(self.stir.wait())
                try:
                    await asyncio.wait((gone, stir), timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    stir.cancel()
        finally:
            gone.cancel()
            await asyncio.wait((gone,))  # the connection reads next, and only one reader is allowed
            if self._endless is not None:
                self._endless.cancel()

    def _leader(self) -> None:
        lost_ms = self.endpoint.lost_ms
        if self.wants_leader and lost_ms is not None and now_ms() >= lost_ms + 3 * self.shared.election_ms:
            self.end(NO_LEADER, 14)

    async def _tell(self) -> float | None:
        """Serve all watches; return the time until the next due action in seconds, None if there is none."""
        dues = []
        if self.wants_leader and self.endpoint.lost_ms is not None:
            dues.append(self.endpoint.lost_ms + 3 * self.shared.election_ms)
        for watch in list(self.watches.values()):
            due = await self._feed(watch)
            await self.connection.writer.drain()
            if due is not None:
                dues.append(due)
        return max(min(dues) - now_ms(), 0.0) / 1000.0 if dues else None

    async def _feed(self, watch: Watch) -> float | None:
        """Send one watch its pending messages; return the time of its next action in ms, if known."""
        store, view, now = self.shared.store, self.endpoint.view(), now_ms()
        if watch.behind:
            if now < watch.due_ms:
                return watch.due_ms
            gone = store.compacted_at(view)
            if watch.next < gone:
                del self.watches[watch.id]
                header = self.endpoint.header(0)
                self.say(header=header, watch_id=watch.id, canceled=True, compact_revision=gone)
                return None
            await self._catch_up(watch, view)
        for revision, events in store.events(watch.next, view, live=True):
            watch.next = revision + 1
            await self._say_events(watch, events, revision)
        watch.next = max(watch.next, view + 1)
        if not watch.asked.progress:
            return None
        if now_ms() - watch.quiet_since_ms >= self.shared.progress_ms:
            watch.quiet_since_ms = now_ms()
            self.say(header=self.endpoint.header(), watch_id=watch.id)
        return watch.quiet_since_ms + self.shared.progress_ms

    async def _catch_up(self, watch: Watch, view: int) -> None:
        """Send the past events in batches."""
        gathered: list[Event] = []
        count = 0
        for _, events in self.shared.store.events(watch.next, view):
            count += bool(watch.picks(events))
            gathered += events
            if count == BATCH:
                await self._say_events(watch, tuple(gathered), view)
                gathered, count = [], 0
        watch.next, watch.behind = view + 1, False
        await self._say_events(watch, tuple(gathered), view)

    async def _say_events(self, watch: Watch, events: tuple[Event, ...], revision: int) -> None:
        for _ in range(2 if self.endpoint.twice else 1):
            await self.endpoint.awake()
            self.tell(watch, events, revision)
            await self.connection.writer.drain()

    def tell(self, watch: Watch, events: tuple[Event, ...], revision: int) -> None:
        """Write the events that match a watch, with this revision in the header."""
        picked = watch.picks(events)
        if not picked or self._endless is not None:
            return
        watch.quiet_since_ms = now_ms()
        header = self.endpoint.header(revision)
        pieces = list(self._pieces(picked)) if watch.asked.fragment else [picked]
        for index, piece in enumerate(pieces):
            self._record(piece)
            written = [wire.event(event, watch.asked.prev_kv) for event in piece]
            if self.shared.garbled:
                told = zip(piece, written, strict=True)
                written = [
                    row
                    if event.deleted
                    else row | {"kv": self.endpoint.garble(event.now.key, wire.key_value(event.now))}
                    for event, row in told
                ]
            more = index < len(pieces) - 1
            self.say(header=header, watch_id=watch.id, fragment=more, events=written)

    def _pieces(self, events: list[Event]) -> Iterator[list[Event]]:
        piece: list[Event] = []
        size = 0
        for event in events:
            size += len(event.now.key) + len(event.now.value) + 20
            if piece and size >= self.endpoint.fragment:
                yield piece
                piece, size = [], len(event.now.key) + len(event.now.value) + 20
            piece.append(event)
        yield piece

    def _record(self, events: list[Event]) -> None:
        if self.connection.over:
            return
        at_ms = now_ms()
        for revision in sorted({event.now.modified for event in events}):
            of_it = [event for event in events if event.now.modified == revision]
            sense = (event for event in of_it if event.now.key not in self.shared.garbled)
            put = names(event.now.key for event in sense if not event.deleted)
            deleted = names(event.now.key for event in of_it if event.deleted)
            index, peer = self.endpoint.index, self.connection.peer
            self.shared.record(Record(at_ms, index, "watch", revision, put, deleted, peer))

    # --- faults

    def replay(self, first: int, last: int | None) -> None:
        """Resend events from revision `first` on, up to `last` if given."""
        for watch in self.watches.values():
            told = min(watch.next - 1, self.endpoint.view())
            end = told if last is None else min(told, last)
            for _, events in list(self.shared.store.events(first, end)):
                self.tell(
                    watch, events, told
                )  # as for a watch that was behind, the header has the latest revision sent

    def cancel(self, reason: str, compact_revision: int) -> None:
        """Cancel all watches; the stream stays open."""
        for number in list(self.watches):
            del self.watches[number]
            header = self.endpoint.header(0)
            self.say(
                header=header,
                watch_id=number,
                canceled=True,
                compact_revision=compact_revision,
                cancel_reason=reason,
            )

    def spoil(self, kind: Garbage, key: bytes) -> None:
        """Send invalid data on every watch."""
        if kind is Garbage.ENDLESS_LINE:
            if self._endless is None:
                self._endless = asyncio.ensure_future(self.never_ends())
            return
        for number in self.watches:
            kv = self.endpoint.garbled(kind, key)
            if kind is Garbage.NOT_JSON:
                self.line(b'{"result":{"header":{"revision":')
            elif kind is Garbage.NOT_OBJECT:
                self.line(b'[{"result":{"events":"none"}},null]')
            else:
                self.say(header=self.endpoint.header(), watch_id=number, events=[{"kv": kv}])

    async def never_ends(self) -> None:
        """Write a line that never ends, up to `ENDLESS` bytes."""
        self.begin()
        sent = 0
        with contextlib.suppress(OSError):
            self.connection.write(chunk(b'{"result":{"events":[{"kv":{"key":"'))
            while sent < ENDLESS and not self.connection.writer.is_closing():
                self.connection.write(chunk(b"A" * 65536))
                sent += 65536
                await self.connection.writer.drain()
                await asyncio.sleep(0)
