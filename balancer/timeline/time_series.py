"""One line of the time line: counts and gauges in buckets of 1 s, 10 s and 1 minute, packed and bounded.

`Series` is filled a second at a time. Each resolution keeps its own span (`Spans`); what is older goes. A
closed bucket is msgpack (`msgspec`, loaded when the first is packed), some 25 to 80 bytes.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

RESOLUTIONS_S = (1, 10, 60)
OVERHEAD = 56  # bytes of a packed bucket beside its content: the object and its place in a list
SPARE = 64  # buckets past their time that may wait to be dropped, so that a list is not moved at each


class Spans(tuple[int, int, int]):
    """How long each resolution is kept, in seconds, the finest first."""


FULL = Spans((600, 10_800, 172_800))
# What goes first where the memory is short, step by step: the fine buckets of longer ago, then coarser ones.
STEPS = (
    FULL,
    Spans((300, 10_800, 172_800)),
    Spans((300, 5_400, 172_800)),
    Spans((180, 3_600, 86_400)),
    Spans((120, 1_800, 43_200)),
    Spans((120, 1_200, 21_600)),
    Spans((90, 900, 10_800)),
    Spans((60, 600, 7_200)),
    Spans((30, 300, 3_600)),
    Spans((20, 120, 1_800)),
    Spans((10, 60, 600)),
)


@dataclass(slots=True)
class Gauges:
    """What is not counted but measured in a bucket. Nothing was told where a value is None."""

    own: int = 0  # most of the node's own attempts out
    in_flight: float | None = None  # reported, the last word
    queue: float | None = None
    estimate: int | None = None  # the module's upper bound of its load
    weight: float | None = None
    phase: str | None = None

    def add(self, later: Gauges) -> None:
        """Take in what came after it: the most of the own, the last of the rest."""
        self.own = max(self.own, later.own)
        for name in ("in_flight", "queue", "estimate", "weight", "phase"):
            if (value := getattr(later, name)) is not None:
                setattr(self, name, value)

    def row(self) -> list[Any]:
        """As it is packed."""
        return [self.own, self.in_flight, self.queue, self.estimate, self.weight, self.phase]


@dataclass(slots=True)
class Bucket:
    """What happened in one stretch of time; `at` is its first second since 1970."""

    at: int
    counts: dict[int, int] = field(default_factory=dict)
    gauges: Gauges = field(default_factory=Gauges)

    def add(self, counts: Mapping[int, int], gauges: Gauges) -> None:
        """Take in a stretch after it."""
        mine = self.counts
        for key, count in counts.items():
            mine[key] = mine.get(key, 0) + count
        self.gauges.add(gauges)


def pack(bucket: Bucket) -> bytes:
    """A bucket as bytes."""
    import msgspec

    flat = [n for pair in sorted(bucket.counts.items()) for n in pair]
    return msgspec.msgpack.encode((flat, *bucket.gauges.row()))


def unpack(at: int, packed: bytes) -> Bucket:
    """The bucket that was packed."""
    import msgspec

    flat, *gauges = msgspec.msgpack.decode(packed)
    return Bucket(at, dict(zip(flat[::2], flat[1::2], strict=True)), Gauges(*gauges))


class Layer:
    """The closed buckets of one resolution, oldest first."""

    __slots__ = ("size", "starts", "texts")

    def __init__(self) -> None:
        self.starts: list[int] = []
        self.texts: list[bytes] = []
        self.size = 0

    def append(self, bucket: Bucket) -> None:
        """A bucket later than all others."""
        text = pack(bucket)
        self.starts.append(bucket.at)
        self.texts.append(text)
        self.size += len(text) + OVERHEAD

    def trim(self, before: int, slack: int = SPARE) -> None:
        """Drop what began before a second, once that is more than `slack` buckets."""
        count = bisect_left(self.starts, before)
        if count > slack:
            self.size -= sum(map(len, self.texts[:count])) + OVERHEAD * count
            del self.starts[:count], self.texts[:count]

    def read(self, since: int, until: int) -> Iterator[Bucket]:
        """The buckets that begin within a stretch."""
        first, last = bisect_left(self.starts, since), bisect_left(self.starts, until)
        # A copy: whoever reads it in pieces must stand what is added and dropped meanwhile.
        yield from map(unpack, self.starts[first:last], self.texts[first:last])


class Series:
    """One line in all resolutions."""

    __slots__ = ("layers", "open")

    def __init__(self) -> None:
        self.layers = (Layer(), Layer(), Layer())
        self.open: list[Bucket | None] = [None, None]  # of the coarser two

    @property
    def size(self) -> int:
        """Bytes that it holds, about."""
        return sum(layer.size for layer in self.layers)

    @property
    def last(self) -> int:
        """The last second that it knows of; 0 where there is none."""
        ends = [layer.starts[-1] for layer in self.layers if layer.starts]
        return max(ends + [bucket.at for bucket in self.open if bucket], default=0)

    def add(self, at: int, counts: dict[int, int], gauges: Gauges) -> None:
        """The second `at` is over; it may be the one that came last once more, and never an earlier one.

        A clock that stands still adds to the same second.
        """
        self._extend(0, Bucket(at, counts, gauges))
        for number, width in enumerate(RESOLUTIONS_S[1:]):
            start, bucket = at - at % width, self.open[number]
            if bucket is not None and bucket.at != start:
                self.layers[number + 1].append(bucket)
                bucket = None
            if bucket is None:
                bucket = self.open[number] = Bucket(start)
            bucket.add(counts, gauges)

    def _extend(self, number: int, bucket: Bucket) -> None:
        layer = self.layers[number]
        if layer.starts and layer.starts[-1] >= bucket.at:
            last = unpack(layer.starts.pop(), layer.texts[-1])
            layer.size -= len(layer.texts.pop()) + OVERHEAD
            last.add(bucket.counts, bucket.gauges)
            bucket = last
        layer.append(bucket)

    def trim(self, now: int, spans: Spans, slack: int = SPARE) -> None:
        """Drop what is older than its resolution is kept."""
        for layer, span in zip(self.layers, spans, strict=True):
            layer.trim(now - span, slack)

    def each(self, resolution: int, since: int, until: int) -> Iterator[Bucket]:
        """The buckets of a resolution (0, 1, 2) that begin within [since, until), the open one too."""
        bucket = self.open[resolution - 1] if resolution else None
        yield from self.layers[resolution].read(since, until)
        if bucket is not None and since <= bucket.at < until:
            yield bucket

    def read(self, resolution: int, since: int, until: int) -> list[Bucket]:
        """The same, at once."""
        return list(self.each(resolution, since, until))


def finest(since: int, now: int, most: int, spans: Spans = FULL) -> int:
    """The finest resolution that still reaches back to `since` in at most so many buckets."""
    for number, (width, span) in enumerate(zip(RESOLUTIONS_S, spans, strict=True)):
        if now - since <= span and (now - since) / width <= most:
            return number
    return len(RESOLUTIONS_S) - 1


def merged(buckets: Iterable[Bucket]) -> Bucket:
    """All of them as one."""
    out = Bucket(0)
    for bucket in buckets:
        out.at = out.at or bucket.at
        out.add(bucket.counts, bucket.gauges)
    return out
