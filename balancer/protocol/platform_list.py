"""Parses discovery's HTTP/1.1 responses into the JSON objects of a list or a watch.

Each connection has a `ResponseParser` of its own. A complete list is one JSON object. A watch is a sequence
of objects, each on one line or indented over several, with empty lines as heartbeats while nothing changes.
`endpoints.EndpointListParser` parses the objects.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

import httptools

MAX_LINE_BYTES = 4 * 1024 * 1024  # of one object: some 27,000 backends
# Also matches a truncated string; takes linear time on any input.
JSON_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?')


@dataclass(slots=True, frozen=True)
class Line:
    """One JSON object, or a line that is not part of one."""

    text: bytes


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """An empty line: nothing has changed."""


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The head of the response is complete; `is_ok` is True if its status is 200."""

    is_ok: bool


@dataclass(slots=True, frozen=True)
class ResponseEnded:
    """The response is complete; `is_complete_list` is True if it was a list with status 200."""

    is_complete_list: bool


@dataclass(slots=True, frozen=True)
class InvalidResponse:
    """The bytes are not a valid response, or exceed a bound."""

    reason: str


Message = Line | Heartbeat | ResponseStarted | ResponseEnded | InvalidResponse


def build_request(host: str, target: str, is_watch: bool) -> bytes:
    """Build the bytes of a request."""
    connection_option = "keep-alive" if is_watch else "close"
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\nConnection: {connection_option}\r\n\r\n".encode("ascii")


def _bracket_depth(text: bytes | bytearray) -> int:
    """How many more braces and brackets are opened than closed."""
    return text.count(b"{") + text.count(b"[") - text.count(b"}") - text.count(b"]")


def _is_list(line: bytes) -> bool:
    """Whether a line is a list by itself, and not part of an object."""
    if not (line.lstrip().startswith(b"{") and b'"members"' in line and b'"revision"' in line):
        return False
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        return False
    return isinstance(value, dict) and value.keys() >= {"members", "revision"}


class ResponseParser:
    """Parses the response to one call. `ResponseEnded` or `InvalidResponse` is the last message."""

    def __init__(self, is_watch: bool) -> None:
        self.is_watch, self.has_ended = is_watch, False
        self._parser = httptools.HttpResponseParser(self)
        self._partial_line = bytearray()  # of a line or of the list
        self._partial_line_depth = self._counted_bytes = 0  # its bracket depth up to there
        self._partial_object = bytearray()  # lines of an incomplete object
        self._partial_object_depth = 0
        self._has_started = False
        self._messages: list[Message] = []

    @property
    def has_started(self) -> bool:
        """Whether the head of the response is complete."""
        return self._has_started

    @property
    def is_incomplete(self) -> bool:
        """Whether more bytes are due immediately: the rest of an object, or of a response to no watch."""
        is_open_watch = self.is_watch and self._parser.get_status_code() == 200
        return (
            self._has_started
            and not self.has_ended
            and (not is_open_watch or bool(self._partial_line or self._partial_object))
        )

    def receive(self, data: bytes) -> list[Message]:
        """Parse received bytes, split at any position; returns the messages they complete."""
        if self.has_ended:
            return []
        self._messages = []
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._end_with(InvalidResponse(f"broken answer: {err}"))
        self._handle_unterminated_object()
        if not self.has_ended and len(self._partial_line) + len(self._partial_object) > MAX_LINE_BYTES:
            self._end_with(InvalidResponse(f"line too long: over {MAX_LINE_BYTES} bytes"))
        return self._messages

    def eof(self) -> list[Message]:
        """Handle the end of the connection, which also ends a list without a Content-Length."""
        self._messages = []
        if not self.has_ended and not self.is_watch and self._partial_line:
            self.on_message_complete()
        return self._messages

    def _end_with(self, message: Message) -> None:
        self.has_ended = True
        self._messages.append(message)

    def on_headers_complete(self) -> None:
        """Callback of httptools: the head is complete."""
        self._has_started = True
        self._messages.append(ResponseStarted(self._parser.get_status_code() == 200))

    def on_body(self, body: bytes) -> None:
        """Callback of httptools: a part of the body."""
        if self.has_ended or self._parser.get_status_code() != 200:
            return
        self._partial_line += body
        if not self.is_watch:
            return
        if b"\n" in body:
            *lines, partial_line = self._partial_line.split(b"\n")
            self._begin_line(partial_line)
            for line in lines:
                self._handle_line(bytes(line))

    def _handle_unterminated_object(self) -> None:
        """Handle a complete object whose newline has not been received."""
        if not self.is_watch or self.has_ended or not self._partial_line.endswith(b"}"):
            return
        # Each byte is counted once: a list may come in thousands of pieces that end like this.
        self._partial_line_depth += _bracket_depth(self._partial_line[self._counted_bytes :])
        self._counted_bytes = len(self._partial_line)
        if self._partial_object_depth + self._partial_line_depth:
            return
        line = bytes(self._partial_line)
        if self._partial_object or line.lstrip().startswith(b"{"):
            self._begin_line(b"")
            self._handle_line(line)

    def _begin_line(self, text: bytes | bytearray) -> None:
        """Begin a line with the bytes of it that were received."""
        self._partial_line = bytearray(text)
        self._partial_line_depth = self._counted_bytes = 0

    def _handle_line(self, line: bytes) -> None:
        """Handle a line of a watch: an object, a part of one, or a heartbeat.

        An object that a heartbeat or a complete list shows to be truncated is passed on as it is, so that the
        lines that follow it are not taken as parts of it.
        """
        stripped_line = line.strip()
        if not stripped_line:
            self._flush_partial_object()
            self._messages.append(Heartbeat())
            return
        if self._partial_object and _is_list(stripped_line):
            self._flush_partial_object()
        if not self._partial_object and (
            not stripped_line.startswith(b"{")
            or (stripped_line.endswith(b"}") and not _bracket_depth(stripped_line))
        ):
            # The usual case: a complete object, whose strings need no check.
            self._messages.append(Line(line))
            return
        self._partial_object += line + b"\n"
        self._partial_object_depth += _bracket_depth(JSON_STRING.sub(b"", stripped_line))
        if self._partial_object_depth <= 0:
            self._flush_partial_object()

    def _flush_partial_object(self) -> None:
        if self._partial_object:
            self._messages.append(Line(bytes(self._partial_object)))
            self._partial_object, self._partial_object_depth = bytearray(), 0

    def on_message_complete(self) -> None:
        """Callback of httptools: the end of a list or of a watch."""
        if self.has_ended:
            return
        is_complete_list = not self.is_watch and self._parser.get_status_code() == 200
        if is_complete_list and self._partial_line.strip():
            self._messages.append(Line(bytes(self._partial_line)))
        self._end_with(ResponseEnded(is_complete_list))
