"""Decodes the events of a long line in steps, so that one line does not block the event loop."""

from __future__ import annotations

import json
import re
from typing import Any

from balancer.protocol.etcd_watch.json_fields import require_object

JSON_DECODER = json.JSONDecoder()
EVENT_SEPARATOR = re.compile(r"[ \t\r\n]*(,?)[ \t\r\n]*")
# Matches a member name only: inside a string the quotes would be escaped.
EVENTS_MEMBER = re.compile(r'"events"[ \t\r\n]*:[ \t\r\n]*\[[ \t\r\n]*')


class EventReader:
    """The events of one line, a few at a time: the decoded ones, then those of the text.

    `json` cannot pause within a line of megabytes, so each event is decoded by itself.
    """

    def __init__(self, events: list[Any], text: str = "", start: int = 0, end: int = 0) -> None:
        """The undecoded events are between `start` and `end` of `text`."""
        self._events, self._text, self._position, self._end = events, text, start, end
        self._taken_count = 0

    def __bool__(self) -> bool:
        """Whether there are more events."""
        return self._taken_count < len(self._events) or self._position < self._end

    def take(self, max_count: int) -> list[Any]:
        """Up to `max_count` events; raises ValueError for what is not JSON."""
        while len(self._events) - self._taken_count < max_count and self._position < self._end:
            self._decode_next()
        events = self._events[self._taken_count : self._taken_count + max_count]
        self._taken_count += len(events)
        if self._position < self._end:
            self._events, self._taken_count = [], 0
        return events

    def _decode_next(self) -> None:
        event, position = JSON_DECODER.raw_decode(self._text, self._position)
        separator = EVENT_SEPARATOR.match(self._text, position, self._end)
        # A comma is required between two events, and not allowed after the last one.
        if separator is None or bool(separator[1]) == (separator.end() == self._end):
            raise ValueError(f"no list of events: char {position}")
        self._events.append(event)
        self._position = separator.end()


def split_events(text: str) -> tuple[dict[str, Any], EventReader | None]:
    """A long line as an object without its events, and a reader of these if there are any.

    Raises ValueError for what is not JSON, UnexpectedShapeError for what is no object.
    """
    begin, end = EVENTS_MEMBER.search(text), text.rfind("]")
    if begin is None or end < begin.end():
        return require_object(json.loads(text)), None
    raw = require_object(json.loads(text[: begin.end()] + text[end:]))
    return raw, EventReader([], text, begin.end(), end)
