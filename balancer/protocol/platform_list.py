"""Discovery's answers: HTTP/1.1 bytes in, the lines of a list or a watch out.

One `ListCall` a connection. A whole list is one JSON object; a watch is one after the other, each on a line
of its own or indented over several, with empty lines while nothing changes. What one says is for
`members.ListingBuilder`.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

import httptools

MAX_LINE = 4 * 1024 * 1024  # bytes of one object: some 27,000 backends
STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?')  # one that is cut off, too: linear on whatever comes


@dataclass(slots=True, frozen=True)
class Line:
    """One object, or a line that is none."""

    text: bytes


@dataclass(slots=True, frozen=True)
class Beat:
    """An empty line: nothing has changed."""


@dataclass(slots=True, frozen=True)
class Began:
    """The answer has begun: its head is whole; `accepted` says that it is a 200."""

    accepted: bool


@dataclass(slots=True, frozen=True)
class Finished:
    """The answer is over; `whole` says that it was a 200."""

    whole: bool


@dataclass(slots=True, frozen=True)
class Broken:
    """What came is no such answer."""

    reason: str


Message = Line | Beat | Began | Finished | Broken


def request(host: str, target: str, watch: bool) -> bytes:
    """A call's bytes."""
    keep = "keep-alive" if watch else "close"
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\nConnection: {keep}\r\n\r\n".encode("ascii")


def _left(text: bytes) -> int:
    """How many more braces and brackets are opened than closed."""
    return text.count(b"{") + text.count(b"[") - text.count(b"}") - text.count(b"]")


def _is_list(line: bytes) -> bool:
    """Whether a line is a whole list by itself, and no part of one."""
    if not (line.lstrip().startswith(b"{") and b'"members"' in line and b'"revision"' in line):
        return False
    try:
        found = json.loads(line)
    except (ValueError, RecursionError):
        return False
    return isinstance(found, dict) and found.keys() >= {"members", "revision"}


class ListCall:
    """The answer to one call. After `Finished` or `Broken` it says nothing more."""

    def __init__(self, watch: bool) -> None:
        self.watch, self.over = watch, False
        self._parser = httptools.HttpResponseParser(self)
        self._rest = bytearray()  # of a line
        self._open = bytearray()  # lines of an object that goes on
        self._depth = 0
        self._began = False
        self._out: list[Message] = []

    @property
    def began(self) -> bool:
        """Whether the answer's head is whole."""
        return self._began

    @property
    def under_way(self) -> bool:
        """Whether more has to come at once: the rest of an object, or of an answer that is no watch."""
        watching = self.watch and self._parser.get_status_code() == 200
        return self._began and not self.over and (not watching or bool(self._rest or self._open))

    def receive(self, data: bytes) -> list[Message]:
        """Bytes as they come, cut anywhere."""
        if self.over:
            return []
        self._out = []
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._end(Broken(f"broken answer: {err}"))
        self._early()
        if not self.over and len(self._rest) + len(self._open) > MAX_LINE:
            self._end(Broken(f"line too long: over {MAX_LINE} bytes"))
        return self._out

    def eof(self) -> list[Message]:
        """The connection has ended: so does a list without a length."""
        self._out = []
        if not self.over and not self.watch and self._rest:
            self.on_message_complete()
        return self._out

    def _end(self, message: Message) -> None:
        self.over = True
        self._out.append(message)

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self._began = True
        self._out.append(Began(self._parser.get_status_code() == 200))

    def on_body(self, body: bytes) -> None:
        """A piece of it."""
        if self.over or self._parser.get_status_code() != 200:
            return
        self._rest += body
        if not self.watch:
            return
        if b"\n" in body:
            *lines, rest = self._rest.split(b"\n")
            self._rest = bytearray(rest)
            for line in lines:
                self._line(bytes(line))

    def _early(self) -> None:
        """The last line of an object may come without its end."""
        if not self.watch or self.over or not self._rest.endswith(b"}"):
            return
        rest = bytes(self._rest)
        if (self._open or rest.lstrip().startswith(b"{")) and self._depth + _left(rest) == 0:
            self._rest = bytearray()
            self._line(rest)

    def _line(self, line: bytes) -> None:
        """A line of a watch: an object, a part of one, or a beat.

        What is no object is handed on as it is, as soon as a beat or a whole list shows that it never will
        be: guards what comes behind it.
        """
        text = line.strip()
        if not text:
            self._cut()
            self._out.append(Beat())
            return
        if self._open and _is_list(text):
            self._cut()
        if not self._open and (not text.startswith(b"{") or (text.endswith(b"}") and not _left(text))):
            self._out.append(Line(line))  # nearly always: a whole object, whose strings need no look
            return
        self._open += line + b"\n"
        self._depth += _left(STRING.sub(b"", text))
        if self._depth <= 0:
            self._cut()

    def _cut(self) -> None:
        if self._open:
            self._out.append(Line(bytes(self._open)))
            self._open, self._depth = bytearray(), 0

    def on_message_complete(self) -> None:
        """The end of a whole list, or of a watch."""
        if self.over:
            return
        whole = not self.watch and self._parser.get_status_code() == 200
        if whole and self._rest.strip():
            self._out.append(Line(bytes(self._rest)))
        self._end(Finished(whole))
