"""A line of discovery with thousands of entries, read in steps: `json.loads` alone takes 16 ms for 10,000.

`LongList` reads the very objects that `json.loads` would, STEP entries at a time, then hands them to
`ListingBuilder` as slowly. A thread would not do: the C scanner keeps Python's lock for the whole line.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator

from balancer.endpoints import EndpointList, EndpointListParser

STEP = 250  # entries, 1 to 2 ms

_SPACE = re.compile(r"[ \t\n\r]*")
_value = json.JSONDecoder().raw_decode


class LongList:
    """In the place of a `ListingBuilder`. What is no list raises ValueError from some step on."""

    def __init__(self, line: bytes) -> None:
        self._line = line
        self._builder: EndpointListParser | None = None
        self._steps = self._run()

    def read(self, count: int) -> bool:
        """Take a step, whatever the count; whether the list is whole. The last step does nothing else."""
        return next(self._steps, True)

    def result(self) -> EndpointList:
        """What was read."""
        assert self._builder is not None
        return self._builder.result()

    def _run(self) -> Iterator[bool]:
        raw: dict[str, object] = {}
        text = self._line.decode(json.detect_encoding(self._line), "surrogatepass")
        at = _after(text, 0, "{")
        while text[at : at + 1] != "}" or raw:
            key, at = _value(text, at)
            if not isinstance(key, str):
                raise json.JSONDecodeError("Expecting a name", text, at)
            at = _after(text, at, ":")
            if key != "members" or text[at : at + 1] != "[":
                raw[key], at = _value(text, at)
            else:
                raw[key] = rows = list[object]()
                at = _after(text, at, "[")
                while text[at : at + 1] != "]" or rows:
                    row, at = _value(text, at)
                    rows.append(row)
                    if not len(rows) % STEP:
                        yield False
                    if (at := _skip(text, at)) >= len(text) or text[at] != ",":
                        break
                    at = _skip(text, at + 1)
                at = _after(text, at, "]")
            if (at := _skip(text, at)) >= len(text) or text[at] != ",":
                break
            at = _skip(text, at + 1)
        if _after(text, at, "}") != len(text):
            raise json.JSONDecodeError("Extra data", text, at)
        self._builder = EndpointListParser(raw)
        yield False
        taken, at = raw["members"], 0
        while not self._builder.read(STEP):
            assert isinstance(taken, list)  # else the builder had refused it
            taken[at : at + STEP] = [None] * STEP  # guards the last turn against freeing all of them at once
            at += STEP
            yield False
        yield False


def _skip(text: str, at: int) -> int:
    found = _SPACE.match(text, at)
    assert found is not None
    return found.end()


def _after(text: str, at: int, mark: str) -> int:
    """Behind this mark, and whatever space is around it."""
    at = _skip(text, at)
    if text[at : at + 1] != mark:
        raise json.JSONDecodeError(f"Expecting {mark!r}", text, at)
    return _skip(text, at + 1)
