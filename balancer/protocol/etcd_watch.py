"""etcd v3 over its JSON gateway: what is asked as bytes, what comes back as messages.

etcd serves its gRPC calls as JSON over HTTP/1.1 too (etcd's docs, "gRPC gateway"): keys and values are
base64, 64-bit numbers are text, and a value that is zero is left out. A call is one POST and one answer; the
answer to a watch is chunked, does not end, and holds one `{"result":...}` a line until an `{"error":...}`,
which has no newline behind it. Not every `result` is one chunk.

- `Asks` makes the requests: a page of a range, a watch, a small read that shows an endpoint alive, a log-in.
- `Answer` reads what comes back to one of them, cut anywhere, into messages. It never raises: what cannot be
  read, or passes a bound, is a `Broken` message, and the last one of its call.

Nothing here knows a socket or a clock. `etcd_entry` makes members out of the keys and values.
"""

from __future__ import annotations

import base64
import binascii
import json
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import httptools

MAX_LINE = 8 * 1024 * 1024  # bytes of one line of a watch, and of a whole answer to any other call
MAX_HEAD = 16 * 1024  # bytes of a status line with its headers, of trailers, of a chunk's size line
PAGE = 500  # keys of a page of a range, unless asked otherwise
LONG = 64 * 1024  # bytes of a line that is worth reading event by event
SLICE = 250  # events in one message: more of one line come as several, as if etcd had cut them


class Kind(Enum):
    """Which call an answer belongs to."""

    RANGE = "range"
    WATCH = "watch"
    LOGIN = "log-in"


class Why(Enum):
    """What was wrong with an answer that could not be read."""

    NOT_HTTP = "not HTTP"
    HEAD_TOO_LONG = "head too long"
    TOO_LONG = "too long"
    NOT_JSON = "not JSON"
    WRONG_SHAPE = "not what etcd answers"
    CUT_SHORT = "cut short"


# --- messages


@dataclass(slots=True, frozen=True)
class Header:
    """Who answered, and how far it is. A number that was left out is 0."""

    cluster_id: str
    member_id: str
    revision: int
    raft_term: int


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A key at a revision. `value` is None if it was not base64; `deleted` keys have none."""

    key: bytes
    value: bytes | None
    mod_revision: int
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class RangePage:
    """A page of a range. `unreadable` says of entries that had not even a key what was wrong with them.

    A later page's `header` names the revision of its answer, not that of the range.
    """

    header: Header
    kvs: tuple[KeyValue, ...]
    more: bool
    count: int
    unreadable: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class WatchCreated:
    """The watch is on."""

    header: Header


@dataclass(slots=True, frozen=True)
class WatchEvents:
    """Events, oldest first; others of the same batch follow a `fragment`, maybe of the same revision."""

    header: Header
    events: tuple[KeyValue, ...]
    fragment: bool


@dataclass(slots=True, frozen=True)
class WatchProgress:
    """All events up to the header's revision were sent."""

    header: Header


@dataclass(slots=True, frozen=True)
class WatchCanceled:
    """The watch is off, though its stream stays open: because of a compaction up to `compact_revision`, if
    that is not 0. The header may lack a revision."""

    header: Header
    compact_revision: int
    reason: str


@dataclass(slots=True, frozen=True)
class GatewayError:
    """etcd refused the call, or ended a watch. `code` is gRPC's, or 0 where none was told.

    `after_s` is its `Retry-After` in seconds, 0 for none.
    """

    code: int
    text: str
    status: int = 200
    after_s: int = 0

    @property
    def compacted(self) -> bool:
        """The revision asked for is gone, or not there yet: both are gRPC's OUT_OF_RANGE."""
        return self.code == 11

    @property
    def auth_off(self) -> bool:
        """There is nothing to log in to."""
        return self.code == 9 and "authentication is not enabled" in self.text

    @property
    def stale_token(self) -> bool:
        """A new log-in may help: the token ran out, or etcd was started anew, or auth was turned on."""
        return self.code == 16 or self.status == 401 or _any(self.text, "auth token", "auth store is old")

    @property
    def busy(self) -> bool:
        """There is more to do than it can: gRPC's RESOURCE_EXHAUSTED, or a proxy's word for that.

        etcd's own 503 is gRPC's UNAVAILABLE: it has no leader, or no quorum.
        """
        return self.code == 8 or self.status == 429 or (self.status == 503 and self.code != 14)

    @property
    def denied(self) -> bool:
        """Whoever asked is not let in."""
        return self.code == 7 or _any(self.text, "user name is empty", "authentication failed", "denied")


@dataclass(slots=True, frozen=True)
class Authenticated:
    """Logged in. The token never shows."""

    token: str = field(repr=False)


@dataclass(slots=True, frozen=True)
class Broken:
    """The answer cannot be read; nothing further of it is."""

    why: Why
    text: str

    def __str__(self) -> str:
        return f"{self.why.value}: {self.text}"


Message = (
    RangePage
    | WatchCreated
    | WatchEvents
    | WatchProgress
    | WatchCanceled
    | GatewayError
    | Authenticated
    | Broken
)


def _any(text: str, *parts: str) -> bool:
    return any(part in text for part in parts)


# --- requests


def end_of(prefix: bytes) -> bytes:
    """The end of the range of all keys that begin with `prefix` (etcd's docs); b"\\0": of all keys."""
    kept = prefix.rstrip(b"\xff")
    return kept[:-1] + bytes([kept[-1] + 1]) if kept else b"\0"


def _text(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


class Asks:
    """Request bytes for the keys below `prefix`; `host` is the Host header's value."""

    def __init__(self, host: str, prefix: bytes) -> None:
        self.host, self.prefix = host, prefix

    def range(self, after_key: bytes = b"", revision: int = 0, limit: int = PAGE, token: str = "") -> bytes:
        """A page of the keys behind `after_key`, as of `revision` (0: the present one); linearizable."""
        key = after_key + b"\0" if after_key else self.prefix or b"\0"
        body: dict[str, Any] = {"key": _text(key), "range_end": _text(end_of(self.prefix)), "limit": limit}
        if revision:
            body["revision"] = str(revision)
        return self._post("/v3/kv/range", body, token)

    def check(self, token: str = "", count: bool = False) -> bytes:
        """A read of one key, linearizable: only a member that reaches its quorum can answer it.

        The key is the prefix itself, which whoever may read the members may read, and which costs etcd no
        walk over them; `count` walks, and tells how many keys there are below it.
        """
        body = {"key": _text(self.prefix or b"\0"), "count_only": True, "serializable": False}
        if count:
            body["range_end"] = _text(end_of(self.prefix))
        return self._post("/v3/kv/range", body, token)

    def watch(self, start_revision: int, token: str = "") -> bytes:
        """A watch of everything below the prefix from `start_revision` on."""
        key, end = _text(self.prefix or b"\0"), _text(end_of(self.prefix))
        body = {
            "create_request": {
                "key": key,
                "range_end": end,
                "start_revision": str(start_revision),
                "progress_notify": True,
                "fragment": True,
            }
        }
        return self._post("/v3/watch", body, token)

    def login(self, user: str, password: str) -> bytes:
        """A log-in, which is answered by a token."""
        return self._post("/v3/auth/authenticate", {"name": user, "password": password}, "")

    def _post(self, path: str, body: dict[str, Any], token: str) -> bytes:
        data = json.dumps(body).encode()
        lines = [f"POST {path} HTTP/1.1", f"Host: {self.host}", "Content-Type: application/json"]
        if token:
            lines.append(f"Authorization: {token}")
        return "\r\n".join([*lines, f"Content-Length: {len(data)}", "", ""]).encode() + data


# --- answers


class _Shape(Exception):
    """JSON, but not etcd's."""


def _plain(text: str) -> str:
    """What an endpoint says, for the log: on one line, without what a terminal would obey."""
    return text[:300] if text[:300].isprintable() else ascii(text[:300])


def _number(value: object) -> int:
    """A 64-bit number, which the gateway writes as text; one that was left out is 0."""
    if value is None:
        return 0
    if isinstance(value, str) and re.fullmatch(r"-?[0-9]{1,20}", value):
        value = int(value)
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) < 1 << 64:
        return value
    raise _Shape(f"{value!r:.60} is no number")


def _object(value: object) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _Shape(f"{value!r:.60} is no object")
    return value


def _rows(value: object) -> list[Any]:
    if value is None:
        return []
    if not isinstance(value, list):
        raise _Shape(f"{value!r:.60} is no list")
    return value


def _flag(value: object) -> bool:
    if value is None or isinstance(value, bool):
        return bool(value)
    raise _Shape(f"{value!r:.60} is neither true nor false")


def _bytes(value: object) -> bytes:
    if value is None:
        return b""
    if not isinstance(value, str):
        raise _Shape(f"{value!r:.60} is not base64")
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        raise _Shape(f"{value!r:.60} is not base64") from None


def _header(value: object) -> Header:
    """A cluster without an id cannot be told from another: that is no header."""
    raw = _object(value)
    cluster = _number(raw.get("cluster_id"))
    if not cluster:
        raise _Shape("the header has no cluster_id")
    member, revision, term = (_number(raw.get(k)) for k in ("member_id", "revision", "raft_term"))
    return Header(str(cluster), str(member), revision, term)


def _frame(text: str) -> tuple[dict[str, Any], _Rows | None]:
    """A long line without its events, and these by themselves, where there are some."""
    begin, end = EVENTS.search(text), text.rfind("]")
    if begin is None or end < begin.end():
        return _object(json.loads(text)), None
    raw = _object(json.loads(text[: begin.end()] + text[end:]))
    return raw, _Rows([], text, begin.end(), end)


def _kv(raw: object, deleted: bool = False) -> KeyValue:
    """The key and the revision have to be there; a value that is not base64 costs its own key alone."""
    row = _object(raw)
    key, revision = _bytes(row.get("key")), _number(row.get("mod_revision"))
    if not key:
        raise _Shape("a key is missing")
    value: bytes | None = None
    if not deleted:
        try:
            value = _bytes(row.get("value"))
        except _Shape:
            value = None
    return KeyValue(key, value, revision, deleted)


def _event(raw: object) -> KeyValue:
    row = _object(raw)
    kind = row.get("type")
    if kind not in (None, "PUT", "DELETE", 0, 1):
        raise _Shape(f"{kind!r:.60} is no type of event")
    kv = _kv(row.get("kv"), kind in ("DELETE", 1))
    if kv.mod_revision <= 0:
        raise _Shape("an event has no revision")
    return kv


DECODER = json.JSONDecoder()
BETWEEN = re.compile(r"[ \t\r\n]*(,?)[ \t\r\n]*")
# As a key: inside a text its quotes would be escaped.
EVENTS = re.compile(r'"events"[ \t\r\n]*:[ \t\r\n]*\[[ \t\r\n]*')


class _Rows:
    """The events of a line, taken some at a time; of a long line they are read no sooner than that.

    Guards against a line of megabytes that would hold up whoever shares the thread: `json` cannot pause.
    """

    def __init__(self, rows: list[Any], text: str = "", at: int = 0, end: int = 0) -> None:
        self._rows, self._text, self._at, self._end = rows, text, at, end
        self._taken = 0

    def __bool__(self) -> bool:
        return self._taken < len(self._rows) or self._at < self._end

    def take(self, count: int) -> list[Any]:
        """Up to `count` rows; raises ValueError for what is not JSON."""
        while len(self._rows) - self._taken < count and self._at < self._end:
            row, at = DECODER.raw_decode(self._text, self._at)
            found = BETWEEN.match(self._text, at, self._end)
            if found is None or bool(found[1]) == (found.end() == self._end):
                raise ValueError(f"no list of events: char {at}")
            self._rows.append(row)
            self._at = found.end()
        out = self._rows[self._taken : self._taken + count]
        self._taken += len(out)
        if self._at < self._end:
            self._rows, self._taken = [], 0
        return out


class Answer:
    """Reads the answer to one call.

    `receive` gives all messages at once. A reader that shares its thread uses `feed` and `pull` instead:
    `pull` gives the next message, and reads no more than it has to for that.

    Bounds: a line of a watch, and any other answer as a whole, may have MAX_LINE bytes (a txn of etcd's
    default limit, 1.5 MiB, makes a line of 2 MB; `fragment` cuts longer batches at about that size).
    Beyond it the answer is Broken, TOO_LONG: a watch has to be followed by a range in pages, and a page by a
    smaller one. A head may have MAX_HEAD bytes.
    """

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.ended = False  # nothing more will come of it
        self.reusable = False  # the answer is whole, and the connection can carry another call
        self._parser = httptools.HttpResponseParser(self)
        self._line = bytearray()  # of the line or body that is not whole yet
        self._size = 0
        self._since = 0  # bytes since the last one of a body: of a head, of trailers, of chunk sizes
        self._status = 0
        self._after_s = 0
        self._complete = False
        self._lines: deque[bytes] = deque()
        self._events = _Rows([])  # of a line that was begun
        self._frame: tuple[Header, bool] | None = None  # what goes with them
        self._fault: Broken | None = None

    def receive(self, data: bytes) -> list[Message]:
        """All messages that `data` completes."""
        self.feed(data)
        return self._drain()

    def end(self) -> list[Message]:
        """The connection has ended: what that completes."""
        self.feed_end()
        return self._drain()

    def _drain(self) -> list[Message]:
        out = []
        while (message := self.pull()) is not None:
            out.append(message)
        return out

    def feed(self, data: bytes) -> None:
        """Take bytes; `pull` what they hold."""
        start = 0
        while start < len(data) and self._fault is None and not self.ended:
            if self._complete:
                self.reusable = False  # nothing was asked that this could be the answer to
                return
            piece = data[start : start + MAX_HEAD + 1 - self._since]
            start += len(piece)
            self._since += len(piece)
            try:
                self._parser.feed_data(piece)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
                if not self._complete:
                    self._break(Why.NOT_HTTP, f"{err}"[:120])
                self.reusable = False
                return
            if self._since > MAX_HEAD and not self._complete:
                self._break(Why.HEAD_TOO_LONG, f"over {MAX_HEAD} bytes")

    def feed_end(self) -> None:
        """The connection has ended. A watch may end anywhere; what it was saying is lost and nothing else."""
        self.reusable = False
        if self._complete or self._fault is not None or self.ended:
            return
        if self.kind is Kind.WATCH and self._status == 200:
            try:
                json.loads(self._line or b"{}")
            except (ValueError, RecursionError):
                self._line.clear()
                self._break(Why.CUT_SHORT, "the connection ended within a line")
            else:
                self._finish()  # a server that ends puts no newline behind its error, nor always a last chunk
        elif self._status and self._size and not self._parser.should_keep_alive():
            self._finish()  # an answer without a length ends with its connection
        else:
            self._break(Why.CUT_SHORT, "the connection ended before the answer")

    @property
    def pending(self) -> bool:
        """Whether a `pull` has something to read already."""
        return bool(self._events or self._lines) and not self.ended

    def pull(self) -> Message | None:
        """The next message, or None where more bytes are needed."""
        while not self.ended:
            if self._events:
                return self._guard(self._next_events)
            if self._lines:
                line = self._lines.popleft()
                if line.strip() or self._status != 200 or self.kind is not Kind.WATCH:
                    return self._guard(self._read, line)
                continue
            if self._fault is not None:
                self.ended = True
                return self._fault
            if self._complete:
                self.ended = True
            return None
        return None

    # --- httptools

    def on_message_begin(self) -> None:
        """An answer that nothing asked for must not be taken for that of the next call."""
        if self._complete:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A date needs a clock that both agree on: of `Retry-After` only seconds are taken, five digits."""
        if name.lower() == b"retry-after" and value.strip().isdigit() and not self._complete:
            self._after_s = int(value.strip()[:5])

    def on_headers_complete(self) -> None:
        """The status is known."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        self._since = 0

    def on_body(self, body: bytes) -> None:
        """Cut lines, wherever the chunks were cut."""
        self._since = 0
        if self._fault is not None or self._complete:
            return
        if self.kind is Kind.WATCH and self._status == 200:
            *lines, body = body.split(b"\n")
            for line in lines:
                self._add(line)
                self._flush()
        self._add(body)

    def on_chunk_complete(self) -> None:
        """A chunk's size line was no endless one."""
        self._since = 0

    def on_message_complete(self) -> None:
        """The answer is whole."""
        if self._complete or 100 <= self._status < 200:
            return
        self.reusable = self._parser.should_keep_alive()
        self._finish()

    def _add(self, part: bytes) -> None:
        if self._fault is not None or not part:
            return
        self._size += len(part)
        if self._size > MAX_LINE:
            self._line.clear()
            self._break(Why.TOO_LONG, f"over {MAX_LINE} bytes")
            return
        self._line += part

    def _flush(self) -> None:
        if self._fault is None:
            self._lines.append(bytes(self._line))
        self._line.clear()
        self._size = 0

    def _finish(self) -> None:
        self._flush()
        self._complete = True

    def _break(self, why: Why, text: str) -> None:
        if self._fault is None:
            self._fault = Broken(why, text)
            self.reusable = False

    # --- JSON

    def _guard(self, read: Callable[..., Message], *args: bytes) -> Message:
        """Read; what cannot be is the last that comes of this answer."""
        why = Why.WRONG_SHAPE
        try:
            return read(*args)
        except (ValueError, RecursionError) as err:
            why, text = Why.NOT_JSON, str(err)
        except _Shape as err:
            text = str(err)
        self.ended, self.reusable = True, False
        self._lines.clear()
        self._events = _Rows([])
        return Broken(why, text[:120])

    def _read(self, line: bytes) -> Message:
        if self._status != 200:
            return self._refused(line)
        rows = None
        if self.kind is Kind.WATCH and len(line) >= LONG:
            raw, rows = _frame(line.decode("utf-8"))
        else:
            raw = _object(json.loads(line))
        if "error" in raw:
            return self._error(raw)
        if self.kind is Kind.RANGE:
            return self._page(raw)
        if self.kind is Kind.WATCH:
            return self._watch(_object(raw.get("result")), rows)
        token = raw.get("token")
        if not isinstance(token, str) or not token or not (token.isascii() and token.isprintable()):
            raise _Shape("the answer to a log-in has no token")
        return Authenticated(token)

    def _refused(self, line: bytes) -> GatewayError:
        """Any other status than 200; what stands between here and etcd need not answer in JSON."""
        try:
            return self._error(_object(json.loads(line)))
        except (ValueError, RecursionError, _Shape):
            return GatewayError(0, f"HTTP status {self._status}", self._status, self._after_s)

    def _error(self, raw: dict[str, Any]) -> GatewayError:
        """A stream's error is an object, a call's is a text beside its code."""
        inner = raw.get("error")
        about = inner if isinstance(inner, dict) else raw
        code = about.get("grpc_code", about.get("code"))
        text = about.get("message") or (inner if isinstance(inner, str) else "")
        if not isinstance(text, str) or (code is not None and not isinstance(code, int)):
            raise _Shape(f"no error of etcd's: {raw!r:.60}")
        return GatewayError(code or 0, _plain(text), self._status, self._after_s)

    def _page(self, raw: dict[str, Any]) -> RangePage:
        header, kvs, unreadable = _header(raw.get("header")), [], []
        for row in _rows(raw.get("kvs")):
            try:
                kvs.append(_kv(row))
            except _Shape as err:
                unreadable.append(str(err))
        more, count = _flag(raw.get("more")), _number(raw.get("count"))
        return RangePage(header, tuple(kvs), more, count, tuple(unreadable))

    def _watch(self, raw: dict[str, Any], later: _Rows | None) -> Message:
        """A watch that is refused is created and canceled in one line: canceled goes first."""
        header = _header(raw.get("header"))
        if _flag(raw.get("canceled")):
            reason = raw.get("cancel_reason", "")
            text = reason if isinstance(reason, str) else ""
            return WatchCanceled(header, _number(raw.get("compact_revision")), _plain(text))
        if _flag(raw.get("created")):
            return WatchCreated(header)
        told = _rows(raw.get("events"))
        if not told and later is None:
            return WatchProgress(header)
        if later is not None and "events" not in raw:
            raise _Shape("there are events where none belong")
        self._events = later or _Rows(told)
        self._frame = header, _flag(raw.get("fragment"))
        return self._next_events()

    def _next_events(self) -> WatchEvents:
        """Some of a line's events. An event without a key may be anyone's removal: it breaks the answer."""
        assert self._frame is not None
        header, fragment = self._frame
        events = tuple(_event(row) for row in self._events.take(SLICE))
        return WatchEvents(header, events, fragment or bool(self._events))
