"""Decodes the response to one call, received in pieces of any size, into messages."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

import httptools

from balancer.protocol.etcd_watch import json_fields, responses
from balancer.protocol.etcd_watch.event_reader import EventReader, split_events
from balancer.protocol.etcd_watch.json_fields import UnexpectedShapeError
from balancer.protocol.etcd_watch.responses import InvalidResponse, Message, ResponseFault

MAX_LINE_BYTES = 8 * 1024 * 1024
"""The limit of a line of a watch, and of the body of any other response.

A transaction of etcd's default limit, 1.5 MiB, makes a line of 2 MB, and etcd fragments longer batches.
"""
MAX_HEAD_BYTES = 16 * 1024
"""The limit of a status line with its headers, of trailers, and of the size line of a chunk."""
LARGE_LINE_BYTES = 64 * 1024
"""A line of a watch of at least this size is decoded event by event."""
MAX_EVENTS_PER_MESSAGE = 250
"""Longer lists of events are split into several messages, as if etcd had fragmented them."""
MAX_DETAIL_CHARACTERS = 120
OK = 200


class CallKind(Enum):
    """Which call a response belongs to."""

    RANGE = "range"
    WATCH = "watch"
    AUTHENTICATE = "log-in"


class EventBatch(NamedTuple):
    """The fields that all events of a line share."""

    header: responses.ResponseHeader
    is_fragment: bool


class ResponseDecoder:
    """Decodes the response to one call.

    `receive` returns all messages at once. A caller that shares its thread uses `feed` and `pull` instead:
    `pull` returns the next message, and decodes no more than that takes. Nothing raises: what cannot be
    decoded, or exceeds a bound, becomes an `InvalidResponse`, which is the last message of the call. A watch
    whose line is TOO_LARGE has to be followed by a range in pages, and a page by a smaller one.
    """

    def __init__(self, kind: CallKind) -> None:
        self.kind = kind
        self.has_ended = False  # no more messages will come
        self.is_reusable = False  # the response is complete, and the connection can carry another call
        self._parser = httptools.HttpResponseParser(self)
        self._partial_line = bytearray()  # of the line or body that is incomplete
        self._line_bytes = 0
        self._unframed_bytes = 0  # since the last byte of a body: of a head, trailers, or chunk sizes
        self._http_status = 0
        self._retry_after_s = 0
        self._is_complete = False
        self._lines: deque[bytes] = deque()  # complete, and not decoded yet
        self._event_reader = EventReader([])  # of the line that is being decoded
        self._batch: EventBatch | None = None  # of the same line
        self._invalid_response: InvalidResponse | None = None  # to be pulled after the lines

    def receive(self, data: bytes) -> list[Message]:
        """All messages that `data` completes."""
        self.feed(data)
        return self._pull_all()

    def end(self) -> list[Message]:
        """All messages that the end of the connection completes."""
        self.feed_end()
        return self._pull_all()

    def _pull_all(self) -> list[Message]:
        messages = []
        while (message := self.pull()) is not None:
            messages.append(message)
        return messages

    def feed(self, data: bytes) -> None:
        """Take received bytes; `pull` returns their messages."""
        start = 0
        while start < len(data) and self._invalid_response is None and not self.has_ended:
            if self._is_complete:
                self.is_reusable = False  # the bytes belong to no call
                return
            # Pieces are short enough that a head cannot exceed its bound unnoticed.
            piece = data[start : start + MAX_HEAD_BYTES + 1 - self._unframed_bytes]
            start += len(piece)
            self._unframed_bytes += len(piece)
            try:
                self._parser.feed_data(piece)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
                if not self._is_complete:
                    self._fail(ResponseFault.NOT_HTTP, f"{err}"[:MAX_DETAIL_CHARACTERS])
                self.is_reusable = False
                return
            if self._unframed_bytes > MAX_HEAD_BYTES and not self._is_complete:
                self._fail(ResponseFault.HEAD_TOO_LARGE, f"over {MAX_HEAD_BYTES} bytes")

    def feed_end(self) -> None:
        """The connection has ended. A watch may end anywhere: only its incomplete line is lost."""
        self.is_reusable = False
        if self._is_complete or self._invalid_response is not None or self.has_ended:
            return
        if self.kind is CallKind.WATCH and self._http_status == OK:
            self._end_watch()
        elif self._http_status and self._line_bytes and not self._parser.should_keep_alive():
            self._finish()  # a response without a length ends with its connection
        else:
            self._fail(ResponseFault.TRUNCATED, "the connection ended before the answer")

    def _end_watch(self) -> None:
        """A server that stops sends no newline after its error, and not always a last chunk."""
        try:
            json.loads(self._partial_line or b"{}")
        except (ValueError, RecursionError):
            self._partial_line.clear()
            self._fail(ResponseFault.TRUNCATED, "the connection ended within a line")
        else:
            self._finish()

    @property
    def has_pending(self) -> bool:
        """Whether `pull` has something to decode already."""
        return bool(self._event_reader or self._lines) and not self.has_ended

    def pull(self) -> Message | None:
        """The next message, or None if more bytes are needed."""
        while not self.has_ended:
            if self._event_reader:
                return self._decode_or_fail(self._take_events)
            if self._lines:
                line = self._lines.popleft()
                # A watch may have empty lines; any other empty response has to become a message.
                if line.strip() or self._http_status != OK or self.kind is not CallKind.WATCH:
                    return self._decode_or_fail(self._decode_line, line)
                continue
            if self._invalid_response is not None:
                self.has_ended = True
                return self._invalid_response
            if self._is_complete:
                self.has_ended = True
            return None
        return None

    # --- callbacks of httptools

    def on_message_begin(self) -> None:
        """Another response begins: an unsolicited one must not be mistaken for that of the next call."""
        if self._is_complete:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parse `Retry-After` in seconds, five digits at most; a date would need synchronized clocks."""
        if name.lower() == b"retry-after" and value.strip().isdigit() and not self._is_complete:
            self._retry_after_s = int(value.strip()[:5])

    def on_headers_complete(self) -> None:
        """The head is complete, and the status known."""
        if self._is_complete:
            return
        self._http_status = self._parser.get_status_code()
        self._unframed_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Split the body of a watch into lines, which are independent of chunks."""
        self._unframed_bytes = 0
        if self._invalid_response is not None or self._is_complete:
            return
        if self.kind is CallKind.WATCH and self._http_status == OK:
            *lines, body = body.split(b"\n")
            for line in lines:
                self._append_to_line(line)
                self._complete_line()
        self._append_to_line(body)

    def on_chunk_complete(self) -> None:
        """The size line of a chunk stayed within its bound."""
        self._unframed_bytes = 0

    def on_message_complete(self) -> None:
        """The response is complete, unless it is an interim one."""
        if self._is_complete or 100 <= self._http_status < 200:
            return
        self.is_reusable = self._parser.should_keep_alive()
        self._finish()

    # --- lines

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
        """Decode; if that fails, the fault is the last message."""
        fault = ResponseFault.UNEXPECTED_SHAPE
        try:
            return decode(*args)
        except (ValueError, RecursionError) as err:
            fault, detail = ResponseFault.NOT_JSON, str(err)
        except UnexpectedShapeError as err:
            detail = str(err)
        self.has_ended, self.is_reusable = True, False
        self._lines.clear()
        self._event_reader = EventReader([])
        return InvalidResponse(fault, detail[:MAX_DETAIL_CHARACTERS])

    def _decode_line(self, line: bytes) -> Message:
        if self._http_status != OK:
            return self._decode_http_error(line)
        event_reader = None
        if self.kind is CallKind.WATCH and len(line) >= LARGE_LINE_BYTES:
            raw, event_reader = split_events(line.decode("utf-8"))
        else:
            raw = json_fields.require_object(json.loads(line))
        if "error" in raw:
            return self._decode_error(raw)
        match self.kind:
            case CallKind.RANGE:
                return _decode_page(raw)
            case CallKind.WATCH:
                return self._decode_watch(json_fields.require_object(raw.get("result")), event_reader)
            case CallKind.AUTHENTICATE:
                return _decode_token(raw)

    def _decode_http_error(self, line: bytes) -> responses.GatewayError:
        """Decode a response whose status is not 200; a proxy in front of etcd may not send JSON."""
        try:
            return self._decode_error(json_fields.require_object(json.loads(line)))
        except (ValueError, RecursionError, UnexpectedShapeError):
            text = f"HTTP status {self._http_status}"
            return responses.GatewayError(0, text, self._http_status, self._retry_after_s)

    def _decode_error(self, raw: dict[str, Any]) -> responses.GatewayError:
        """The error of a stream is an object; that of a call is a text next to its code."""
        error = raw.get("error")
        details = error if isinstance(error, dict) else raw
        code = details.get("grpc_code", details.get("code"))
        text = details.get("message") or (error if isinstance(error, str) else "")
        if not isinstance(text, str) or (code is not None and not isinstance(code, int)):
            raise UnexpectedShapeError(f"no error of etcd's: {raw!r:.60}")
        message = json_fields.printable(text)
        return responses.GatewayError(code or 0, message, self._http_status, self._retry_after_s)

    def _decode_watch(self, raw: dict[str, Any], event_reader: EventReader | None) -> Message:
        """Decode a line of a watch. A rejected watch is created and canceled in the same line."""
        header = json_fields.parse_header(raw.get("header"))
        if json_fields.parse_flag(raw.get("canceled")):
            reason = raw.get("cancel_reason", "")
            text = json_fields.printable(reason) if isinstance(reason, str) else ""
            compact_revision = json_fields.parse_integer(raw.get("compact_revision"))
            return responses.WatchCanceled(header, compact_revision, text)
        if json_fields.parse_flag(raw.get("created")):
            return responses.WatchCreated(header)
        events = json_fields.parse_list(raw.get("events"))
        if not events and event_reader is None:
            return responses.WatchProgress(header)
        if event_reader is not None and "events" not in raw:
            raise UnexpectedShapeError("there are events where none belong")
        self._event_reader = event_reader or EventReader(events)
        self._batch = EventBatch(header, json_fields.parse_flag(raw.get("fragment")))
        return self._take_events()

    def _take_events(self) -> responses.WatchEvents:
        """Some events of the line. One without a key ends the response: any key may have been deleted."""
        assert self._batch is not None
        raw_events = self._event_reader.take(MAX_EVENTS_PER_MESSAGE)
        events = tuple(json_fields.parse_event(event) for event in raw_events)
        is_fragment = self._batch.is_fragment or bool(self._event_reader)
        return responses.WatchEvents(self._batch.header, events, is_fragment)


def _decode_page(raw: dict[str, Any]) -> responses.RangePage:
    header = json_fields.parse_header(raw.get("header"))
    key_values, unreadable_entries = [], []
    for entry in json_fields.parse_list(raw.get("kvs")):
        try:
            key_values.append(json_fields.parse_key_value(entry))
        except UnexpectedShapeError as err:
            unreadable_entries.append(str(err))
    return responses.RangePage(
        header,
        tuple(key_values),
        json_fields.parse_flag(raw.get("more")),
        json_fields.parse_integer(raw.get("count")),
        tuple(unreadable_entries),
    )


def _decode_token(raw: dict[str, Any]) -> responses.Authenticated:
    """A token becomes part of a header, so it has to be printable ASCII."""
    token = raw.get("token")
    if not isinstance(token, str) or not token or not (token.isascii() and token.isprintable()):
        raise UnexpectedShapeError("the answer to a log-in has no token")
    return responses.Authenticated(token)
