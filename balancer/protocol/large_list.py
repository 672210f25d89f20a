"""Parses a list of thousands of entries in steps: `json.loads` alone takes 16 ms for 10,000.

`LargeListParser` decodes the same objects as `json.loads`, `ENTRIES_PER_STEP` at a time, and then passes them
to an `EndpointListParser` in steps of the same size. A thread would not help: the C scanner holds the GIL for
the whole line.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator

from balancer.endpoints import EndpointList, EndpointListParser

ENTRIES_PER_STEP = 250  # 1 to 2 ms

_WHITESPACE = re.compile(r"[ \t\n\r]*")
_decode_value = json.JSONDecoder().raw_decode


class LargeListParser:
    """Has the interface of `EndpointListParser`. For a line that is not a list a step raises ValueError."""

    def __init__(self, line: bytes) -> None:
        self._line = line
        self._parser: EndpointListParser | None = None
        self._steps = self._parse_in_steps()

    def read(self, count: int) -> bool:
        """Take one step, whatever the count; returns whether the list is complete.

        The last step does no work but that.
        """
        return next(self._steps, True)

    def result(self) -> EndpointList:
        """The list of the entries that were parsed."""
        assert self._parser is not None
        return self._parser.result()

    def _parse_in_steps(self) -> Iterator[bool]:
        raw: dict[str, object] = {}
        text = self._line.decode(json.detect_encoding(self._line), "surrogatepass")
        position = _position_after(text, 0, "{")
        while text[position : position + 1] != "}" or raw:
            key, position = _decode_value(text, position)
            if not isinstance(key, str):
                raise json.JSONDecodeError("Expecting a name", text, position)
            position = _position_after(text, position, ":")
            if key != "members" or text[position : position + 1] != "[":
                raw[key], position = _decode_value(text, position)
            else:
                raw[key] = rows = list[object]()
                position = _position_after(text, position, "[")
                while text[position : position + 1] != "]" or rows:
                    row, position = _decode_value(text, position)
                    rows.append(row)
                    if not len(rows) % ENTRIES_PER_STEP:
                        yield False
                    if (position := _skip_whitespace(text, position)) >= len(text) or text[position] != ",":
                        break
                    position = _skip_whitespace(text, position + 1)
                position = _position_after(text, position, "]")
            if (position := _skip_whitespace(text, position)) >= len(text) or text[position] != ",":
                break
            position = _skip_whitespace(text, position + 1)
        if _position_after(text, position, "}") != len(text):
            raise json.JSONDecodeError("Extra data", text, position)
        self._parser = EndpointListParser(raw)
        yield False
        rows_to_free, position = raw["members"], 0
        while not self._parser.read(ENTRIES_PER_STEP):
            assert isinstance(rows_to_free, list)  # otherwise EndpointListParser has raised
            # Freeing all rows at once would make the last step long.
            rows_to_free[position : position + ENTRIES_PER_STEP] = [None] * ENTRIES_PER_STEP
            position += ENTRIES_PER_STEP
            yield False
        yield False


def _skip_whitespace(text: str, position: int) -> int:
    match = _WHITESPACE.match(text, position)
    assert match is not None
    return match.end()


def _position_after(text: str, position: int, mark: str) -> int:
    """The position after `mark` and the whitespace around it; raises JSONDecodeError if it is missing."""
    position = _skip_whitespace(text, position)
    if text[position : position + 1] != mark:
        raise json.JSONDecodeError(f"Expecting {mark!r}", text, position)
    return _skip_whitespace(text, position + 1)
