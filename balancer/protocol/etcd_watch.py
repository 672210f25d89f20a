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

MAX_LINE_BYTES = 8 * 1024 * 1024  # bytes of one line of a watch, and of a whole answer to any other call
MAX_HEAD_BYTES = 16 * 1024  # bytes of a status line with its headers, of trailers, of a chunk's size line
DEFAULT_PAGE_KEYS = 500  # keys of a page of a range, unless asked otherwise
LARGE_LINE_BYTES = 64 * 1024  # bytes of a line that is worth reading event by event
MAX_EVENTS_PER_MESSAGE = (
    250  # events in one message: more of one line come as several, as if etcd had cut them
)


class CallKind(Enum):
    """Which call an answer belongs to."""

    RANGE = "range"
    WATCH = "watch"
    AUTHENTICATE = "log-in"


class ResponseFault(Enum):
    """What was wrong with an answer that could not be read."""

    NOT_HTTP = "not HTTP"
    HEAD_TOO_LARGE = "head too long"
    TOO_LARGE = "too long"
    NOT_JSON = "not JSON"
    UNEXPECTED_SHAPE = "not what etcd answers"
    TRUNCATED = "cut short"


# --- messages


@dataclass(slots=True, frozen=True)
class ResponseHeader:
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
    is_deleted: bool = False


@dataclass(slots=True, frozen=True)
class RangePage:
    """A page of a range. `unreadable` says of entries that had not even a key what was wrong with them.

    A later page's `header` names the revision of its answer, not that of the range.
    """

    header: ResponseHeader
    key_values: tuple[KeyValue, ...]
    has_more: bool
    key_count: int
    unreadable_entries: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class WatchCreated:
    """The watch is on."""

    header: ResponseHeader


@dataclass(slots=True, frozen=True)
class WatchEvents:
    """Events, oldest first; others of the same batch follow a `fragment`, maybe of the same revision."""

    header: ResponseHeader
    events: tuple[KeyValue, ...]
    is_fragment: bool


@dataclass(slots=True, frozen=True)
class WatchProgress:
    """All events up to the header's revision were sent."""

    header: ResponseHeader


@dataclass(slots=True, frozen=True)
class WatchCanceled:
    """The watch is off, though its stream stays open: because of a compaction up to `compact_revision`, if
    that is not 0. The header may lack a revision."""

    header: ResponseHeader
    compact_revision: int
    reason: str


@dataclass(slots=True, frozen=True)
class GatewayError:
    """etcd refused the call, or ended a watch. `code` is gRPC's, or 0 where none was told.

    `after_s` is its `Retry-After` in seconds, 0 for none.
    """

    code: int
    message: str
    http_status: int = 200
    retry_after_s: int = 0

    @property
    def is_compacted(self) -> bool:
        """The revision asked for is gone, or not there yet: both are gRPC's OUT_OF_RANGE."""
        return self.code == 11

    @property
    def is_auth_disabled(self) -> bool:
        """There is nothing to log in to."""
        return self.code == 9 and "authentication is not enabled" in self.message

    @property
    def is_token_expired(self) -> bool:
        """A new log-in may help: the token ran out, or etcd was started anew, or auth was turned on."""
        return (
            self.code == 16
            or self.http_status == 401
            or _contains_any(self.message, "auth token", "auth store is old")
        )

    @property
    def is_overloaded(self) -> bool:
        """There is more to do than it can: gRPC's RESOURCE_EXHAUSTED, or a proxy's word for that.

        etcd's own 503 is gRPC's UNAVAILABLE: it has no leader, or no quorum.
        """
        return self.code == 8 or self.http_status == 429 or (self.http_status == 503 and self.code != 14)

    @property
    def is_permission_denied(self) -> bool:
        """Whoever asked is not let in."""
        return self.code == 7 or _contains_any(
            self.message, "user name is empty", "authentication failed", "denied"
        )


@dataclass(slots=True, frozen=True)
class Authenticated:
    """Logged in. The token never shows."""

    token: str = field(repr=False)


@dataclass(slots=True, frozen=True)
class InvalidResponse:
    """The answer cannot be read; nothing further of it is."""

    fault: ResponseFault
    detail: str

    def __str__(self) -> str:
        return f"{self.fault.value}: {self.detail}"


Message = (
    RangePage
    | WatchCreated
    | WatchEvents
    | WatchProgress
    | WatchCanceled
    | GatewayError
    | Authenticated
    | InvalidResponse
)


def _contains_any(text: str, *parts: str) -> bool:
    return any(part in text for part in parts)


# --- requests


def prefix_range_end(prefix: bytes) -> bytes:
    """The end of the range of all keys that begin with `prefix` (etcd's docs); b"\\0": of all keys."""
    incrementable = prefix.rstrip(b"\xff")
    return incrementable[:-1] + bytes([incrementable[-1] + 1]) if incrementable else b"\0"


def _base64_text(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


class RequestBuilder:
    """Request bytes for the keys below `prefix`; `host` is the Host header's value."""

    def __init__(self, host: str, key_prefix: bytes) -> None:
        self.host, self.key_prefix = host, key_prefix

    def range_request(
        self, after_key: bytes = b"", revision: int = 0, max_keys: int = DEFAULT_PAGE_KEYS, token: str = ""
    ) -> bytes:
        """A page of the keys behind `after_key`, as of `revision` (0: the present one); linearizable."""
        key = after_key + b"\0" if after_key else self.key_prefix or b"\0"
        body: dict[str, Any] = {
            "key": _base64_text(key),
            "range_end": _base64_text(prefix_range_end(self.key_prefix)),
            "limit": max_keys,
        }
        if revision:
            body["revision"] = str(revision)
        return self._post_request("/v3/kv/range", body, token)

    def check_request(self, token: str = "", count: bool = False) -> bytes:
        """A read of one key, linearizable: only a member that reaches its quorum can answer it.

        The key is the prefix itself, which whoever may read the members may read, and which costs etcd no
        walk over them; `count` walks, and tells how many keys there are below it.
        """
        body = {"key": _base64_text(self.key_prefix or b"\0"), "count_only": True, "serializable": False}
        if count:
            body["range_end"] = _base64_text(prefix_range_end(self.key_prefix))
        return self._post_request("/v3/kv/range", body, token)

    def watch_request(self, start_revision: int, token: str = "") -> bytes:
        """A watch of everything below the prefix from `start_revision` on."""
        key, end = _base64_text(self.key_prefix or b"\0"), _base64_text(prefix_range_end(self.key_prefix))
        body = {
            "create_request": {
                "key": key,
                "range_end": end,
                "start_revision": str(start_revision),
                "progress_notify": True,
                "fragment": True,
            }
        }
        return self._post_request("/v3/watch", body, token)

    def authenticate_request(self, user: str, password: str) -> bytes:
        """A log-in, which is answered by a token."""
        return self._post_request("/v3/auth/authenticate", {"name": user, "password": password}, "")

    def _post_request(self, path: str, body: dict[str, Any], token: str) -> bytes:
        data = json.dumps(body).encode()
        lines = [f"POST {path} HTTP/1.1", f"Host: {self.host}", "Content-Type: application/json"]
        if token:
            lines.append(f"Authorization: {token}")
        return "\r\n".join([*lines, f"Content-Length: {len(data)}", "", ""]).encode() + data


# --- answers


class _UnexpectedShape(Exception):
    """JSON, but not etcd's."""


def _printable(text: str) -> str:
    """What an endpoint says, for the log: on one line, without what a terminal would obey."""
    return text[:300] if text[:300].isprintable() else ascii(text[:300])


def _parse_integer(value: object) -> int:
    """A 64-bit number, which the gateway writes as text; one that was left out is 0."""
    if value is None:
        return 0
    if isinstance(value, str) and re.fullmatch(r"-?[0-9]{1,20}", value):
        value = int(value)
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) < 1 << 64:
        return value
    raise _UnexpectedShape(f"{value!r:.60} is no number")


def _require_object(value: object) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _UnexpectedShape(f"{value!r:.60} is no object")
    return value


def _parse_list(value: object) -> list[Any]:
    if value is None:
        return []
    if not isinstance(value, list):
        raise _UnexpectedShape(f"{value!r:.60} is no list")
    return value


def _parse_flag(value: object) -> bool:
    if value is None or isinstance(value, bool):
        return bool(value)
    raise _UnexpectedShape(f"{value!r:.60} is neither true nor false")


def _decode_base64(value: object) -> bytes:
    if value is None:
        return b""
    if not isinstance(value, str):
        raise _UnexpectedShape(f"{value!r:.60} is not base64")
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        raise _UnexpectedShape(f"{value!r:.60} is not base64") from None


def _parse_header(value: object) -> ResponseHeader:
    """A cluster without an id cannot be told from another: that is no header."""
    raw = _require_object(value)
    cluster = _parse_integer(raw.get("cluster_id"))
    if not cluster:
        raise _UnexpectedShape("the header has no cluster_id")
    member, revision, term = (_parse_integer(raw.get(k)) for k in ("member_id", "revision", "raft_term"))
    return ResponseHeader(str(cluster), str(member), revision, term)


def _split_events(text: str) -> tuple[dict[str, Any], _EventReader | None]:
    """A long line without its events, and these by themselves, where there are some."""
    begin, end = EVENTS_MEMBER.search(text), text.rfind("]")
    if begin is None or end < begin.end():
        return _require_object(json.loads(text)), None
    raw = _require_object(json.loads(text[: begin.end()] + text[end:]))
    return raw, _EventReader([], text, begin.end(), end)


def _parse_key_value(raw: object, is_deleted: bool = False) -> KeyValue:
    """The key and the revision have to be there; a value that is not base64 costs its own key alone."""
    row = _require_object(raw)
    key, revision = _decode_base64(row.get("key")), _parse_integer(row.get("mod_revision"))
    if not key:
        raise _UnexpectedShape("a key is missing")
    value: bytes | None = None
    if not is_deleted:
        try:
            value = _decode_base64(row.get("value"))
        except _UnexpectedShape:
            value = None
    return KeyValue(key, value, revision, is_deleted)


def _parse_event(raw: object) -> KeyValue:
    row = _require_object(raw)
    event_type = row.get("type")
    if event_type not in (None, "PUT", "DELETE", 0, 1):
        raise _UnexpectedShape(f"{event_type!r:.60} is no type of event")
    key_value = _parse_key_value(row.get("kv"), event_type in ("DELETE", 1))
    if key_value.mod_revision <= 0:
        raise _UnexpectedShape("an event has no revision")
    return key_value


JSON_DECODER = json.JSONDecoder()
EVENT_SEPARATOR = re.compile(r"[ \t\r\n]*(,?)[ \t\r\n]*")
# As a key: inside a text its quotes would be escaped.
EVENTS_MEMBER = re.compile(r'"events"[ \t\r\n]*:[ \t\r\n]*\[[ \t\r\n]*')


class _EventReader:
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
            row, at = JSON_DECODER.raw_decode(self._text, self._at)
            found = EVENT_SEPARATOR.match(self._text, at, self._end)
            if found is None or bool(found[1]) == (found.end() == self._end):
                raise ValueError(f"no list of events: char {at}")
            self._rows.append(row)
            self._at = found.end()
        out = self._rows[self._taken : self._taken + count]
        self._taken += len(out)
        if self._at < self._end:
            self._rows, self._taken = [], 0
        return out


class ResponseDecoder:
    """Reads the answer to one call.

    `receive` gives all messages at once. A reader that shares its thread uses `feed` and `pull` instead:
    `pull` gives the next message, and reads no more than it has to for that.

    Bounds: a line of a watch, and any other answer as a whole, may have MAX_LINE bytes (a txn of etcd's
    default limit, 1.5 MiB, makes a line of 2 MB; `fragment` cuts longer batches at about that size).
    Beyond it the answer is Broken, TOO_LONG: a watch has to be followed by a range in pages, and a page by a
    smaller one. A head may have MAX_HEAD bytes.
    """

    def __init__(self, kind: CallKind) -> None:
        self.kind = kind
        self.has_ended = False  # nothing more will come of it
        self.is_reusable = False  # the answer is whole, and the connection can carry another call
        self._parser = httptools.HttpResponseParser(self)
        self._partial_line = bytearray()  # of the line or body that is not whole yet
        self._line_bytes = 0
        self._unframed_bytes = 0  # bytes since the last one of a body: of a head, of trailers, of chunk sizes
        self._http_status = 0
        self._retry_after_s = 0
        self._is_complete = False
        self._lines: deque[bytes] = deque()
        self._event_reader = _EventReader([])  # of a line that was begun
        self._batch: tuple[ResponseHeader, bool] | None = None  # what goes with them
        self._invalid_response: InvalidResponse | None = None

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
        while start < len(data) and self._invalid_response is None and not self.has_ended:
            if self._is_complete:
                self.is_reusable = False  # nothing was asked that this could be the answer to
                return
            piece = data[start : start + MAX_HEAD_BYTES + 1 - self._unframed_bytes]
            start += len(piece)
            self._unframed_bytes += len(piece)
            try:
                self._parser.feed_data(piece)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
                if not self._is_complete:
                    self._fail(ResponseFault.NOT_HTTP, f"{err}"[:120])
                self.is_reusable = False
                return
            if self._unframed_bytes > MAX_HEAD_BYTES and not self._is_complete:
                self._fail(ResponseFault.HEAD_TOO_LARGE, f"over {MAX_HEAD_BYTES} bytes")

    def feed_end(self) -> None:
        """The connection has ended. A watch may end anywhere; what it was saying is lost and nothing else."""
        self.is_reusable = False
        if self._is_complete or self._invalid_response is not None or self.has_ended:
            return
        if self.kind is CallKind.WATCH and self._http_status == 200:
            try:
                json.loads(self._partial_line or b"{}")
            except (ValueError, RecursionError):
                self._partial_line.clear()
                self._fail(ResponseFault.TRUNCATED, "the connection ended within a line")
            else:
                self._finish()  # a server that ends puts no newline behind its error, nor always a last chunk
        elif self._http_status and self._line_bytes and not self._parser.should_keep_alive():
            self._finish()  # an answer without a length ends with its connection
        else:
            self._fail(ResponseFault.TRUNCATED, "the connection ended before the answer")

    @property
    def has_pending(self) -> bool:
        """Whether a `pull` has something to read already."""
        return bool(self._event_reader or self._lines) and not self.has_ended

    def pull(self) -> Message | None:
        """The next message, or None where more bytes are needed."""
        while not self.has_ended:
            if self._event_reader:
                return self._decode_or_fail(self._take_events)
            if self._lines:
                line = self._lines.popleft()
                if line.strip() or self._http_status != 200 or self.kind is not CallKind.WATCH:
                    return self._decode_or_fail(self._decode_line, line)
                continue
            if self._invalid_response is not None:
                self.has_ended = True
                return self._invalid_response
            if self._is_complete:
                self.has_ended = True
            return None
        return None

    # --- httptools

    def on_message_begin(self) -> None:
        """An answer that nothing asked for must not be taken for that of the next call."""
        if self._is_complete:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A date needs a clock that both agree on: of `Retry-After` only seconds are taken, five digits."""
        if name.lower() == b"retry-after" and value.strip().isdigit() and not self._is_complete:
            self._retry_after_s = int(value.strip()[:5])

    def on_headers_complete(self) -> None:
        """The status is known."""
        if self._is_complete:
            return
        self._http_status = self._parser.get_status_code()
        self._unframed_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Cut lines, wherever the chunks were cut."""
        self._unframed_bytes = 0
        if self._invalid_response is not None or self._is_complete:
            return
        if self.kind is CallKind.WATCH and self._http_status == 200:
            *lines, body = body.split(b"\n")
            for line in lines:
                self._append_to_line(line)
                self._complete_line()
        self._append_to_line(body)

    def on_chunk_complete(self) -> None:
        """A chunk's size line was no endless one."""
        self._unframed_bytes = 0

    def on_message_complete(self) -> None:
        """The answer is whole."""
        if self._is_complete or 100 <= self._http_status < 200:
            return
        self.is_reusable = self._parser.should_keep_alive()
        self._finish()

    def _append_to_line(self, part: bytes) -> None:
        if self._invalid_response is not None or not part:
            return
        self._line_bytes += len(part)
        if self._line_bytes > MAX_LINE_BYTES:
            self._partial_line.clear()
            self._fail(ResponseFault.TOO_LARGE, f"over {MAX_LINE_BYTES} bytes")
            return
        self._partial_line += part

    def _complete_line(self) -> None:
        if self._invalid_response is None:
            self._lines.append(bytes(self._partial_line))
        self._partial_line.clear()
        self._line_bytes = 0

    def _finish(self) -> None:
        self._complete_line()
        self._is_complete = True

    def _fail(self, fault: ResponseFault, detail: str) -> None:
        if self._invalid_response is None:
            self._invalid_response = InvalidResponse(fault, detail)
            self.is_reusable = False

    # --- JSON

    def _decode_or_fail(self, decode: Callable[..., Message], *args: bytes) -> Message:
        """Read; what cannot be is the last that comes of this answer."""
        fault = ResponseFault.UNEXPECTED_SHAPE
        try:
            return decode(*args)
        except (ValueError, RecursionError) as err:
            fault, detail = ResponseFault.NOT_JSON, str(err)
        except _UnexpectedShape as err:
            detail = str(err)
        self.has_ended, self.is_reusable = True, False
        self._lines.clear()
        self._event_reader = _EventReader([])
        return InvalidResponse(fault, detail[:120])

    def _decode_line(self, line: bytes) -> Message:
        if self._http_status != 200:
            return self._decode_http_error(line)
        event_reader = None
        if self.kind is CallKind.WATCH and len(line) >= LARGE_LINE_BYTES:
            raw, event_reader = _split_events(line.decode("utf-8"))
        else:
            raw = _require_object(json.loads(line))
        if "error" in raw:
            return self._decode_error(raw)
        if self.kind is CallKind.RANGE:
            return self._decode_page(raw)
        if self.kind is CallKind.WATCH:
            return self._decode_watch(_require_object(raw.get("result")), event_reader)
        token = raw.get("token")
        if not isinstance(token, str) or not token or not (token.isascii() and token.isprintable()):
            raise _UnexpectedShape("the answer to a log-in has no token")
        return Authenticated(token)

    def _decode_http_error(self, line: bytes) -> GatewayError:
        """Any other status than 200; what stands between here and etcd need not answer in JSON."""
        try:
            return self._decode_error(_require_object(json.loads(line)))
        except (ValueError, RecursionError, _UnexpectedShape):
            return GatewayError(0, f"HTTP status {self._http_status}", self._http_status, self._retry_after_s)

    def _decode_error(self, raw: dict[str, Any]) -> GatewayError:
        """A stream's error is an object, a call's is a text beside its code."""
        error = raw.get("error")
        details = error if isinstance(error, dict) else raw
        code = details.get("grpc_code", details.get("code"))
        text = details.get("message") or (error if isinstance(error, str) else "")
        if not isinstance(text, str) or (code is not None and not isinstance(code, int)):
            raise _UnexpectedShape(f"no error of etcd's: {raw!r:.60}")
        return GatewayError(code or 0, _printable(text), self._http_status, self._retry_after_s)

    def _decode_page(self, raw: dict[str, Any]) -> RangePage:
        header, kvs, unreadable = _parse_header(raw.get("header")), [], []
        for row in _parse_list(raw.get("kvs")):
            try:
                kvs.append(_parse_key_value(row))
            except _UnexpectedShape as err:
                unreadable.append(str(err))
        more, count = _parse_flag(raw.get("more")), _parse_integer(raw.get("count"))
        return RangePage(header, tuple(kvs), more, count, tuple(unreadable))

    def _decode_watch(self, raw: dict[str, Any], event_reader: _EventReader | None) -> Message:
        """A watch that is refused is created and canceled in one line: canceled goes first."""
        header = _parse_header(raw.get("header"))
        if _parse_flag(raw.get("canceled")):
            reason = raw.get("cancel_reason", "")
            text = reason if isinstance(reason, str) else ""
            return WatchCanceled(header, _parse_integer(raw.get("compact_revision")), _printable(text))
        if _parse_flag(raw.get("created")):
            return WatchCreated(header)
        events = _parse_list(raw.get("events"))
        if not events and event_reader is None:
            return WatchProgress(header)
        if event_reader is not None and "events" not in raw:
            raise _UnexpectedShape("there are events where none belong")
        self._event_reader = event_reader or _EventReader(events)
        self._batch = header, _parse_flag(raw.get("fragment"))
        return self._take_events()

    def _take_events(self) -> WatchEvents:
        """Some of a line's events. An event without a key may be anyone's removal: it breaks the answer."""
        assert self._batch is not None
        header, fragment = self._batch
        events = tuple(_parse_event(row) for row in self._event_reader.take(MAX_EVENTS_PER_MESSAGE))
        return WatchEvents(header, events, fragment or bool(self._event_reader))
