"""Time series of counts and gauges in buckets of 1 s, 10 s and 1 minute, packed and bounded.

`Series` is filled one second at a time. Each resolution has its own retention (`Retention`); older buckets
are dropped. A closed bucket is packed as msgpack, about 25 to 80 bytes; `msgspec` is imported when the first
bucket is packed.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

RESOLUTIONS_S = (1, 10, 60)
BUCKET_OVERHEAD_BYTES = 56  # per packed bucket beside its content: the object header and the list slot
TRIM_SLACK_BUCKETS = 64  # expired buckets are dropped in batches: each drop shifts the list


class Retention(tuple[int, int, int]):
    """How long each resolution is kept, in seconds, finest first."""


FULL_RETENTION = Retention((600, 10_800, 172_800))
# Retention shrinks level by level when memory is short: older fine buckets go first, then coarser ones.
RETENTION_LEVELS = (
    FULL_RETENTION,
    Retention((300, 10_800, 172_800)),
    Retention((300, 5_400, 172_800)),
    Retention((180, 3_600, 86_400)),
    Retention((120, 1_800, 43_200)),
    Retention((120, 1_200, 21_600)),
    Retention((90, 900, 10_800)),
    Retention((60, 600, 7_200)),
    Retention((30, 300, 3_600)),
    Retention((20, 120, 1_800)),
    Retention((10, 60, 600)),
)


@dataclass(slots=True)
class Gauges:
    """Values measured during a bucket; None where nothing was reported."""

    max_own_attempts: int = 0  # maximum of this node's attempts in flight
    in_flight: float | None = None  # as last reported
    queue: float | None = None
    estimate: int | None = None  # the balancer's upper bound of the server's load
    weight: float | None = None
    phase: str | None = None

    def add(self, later: Gauges) -> None:
        """Adds later values: the maximum of the own attempts, the latest of the rest."""
        self.max_own_attempts = max(self.max_own_attempts, later.max_own_attempts)
        for name in ("in_flight", "queue", "estimate", "weight", "phase"):
            if (value := getattr(later, name)) is not None:
                setattr(self, name, value)

    def to_row(self) -> list[Any]:
        """Returns the values in packing order."""
        return [self.max_own_attempts, self.in_flight, self.queue, self.estimate, self.weight, self.phase]


@dataclass(slots=True)
class Bucket:
    """Counts and gauges of one period; `start_s` is its first second since 1970."""

    start_s: int
    counts: dict[int, int] = field(default_factory=dict)
    gauges: Gauges = field(default_factory=Gauges)

    def add(self, counts: Mapping[int, int], gauges: Gauges) -> None:
        """Adds the counts and gauges of a later period."""
        own_counts = self.counts
        for key, count in counts.items():
            own_counts[key] = own_counts.get(key, 0) + count
        self.gauges.add(gauges)


def pack(bucket: Bucket) -> bytes:
    """Encodes the content of a bucket, without its start."""
    import msgspec

    flat_counts = [n for pair in sorted(bucket.counts.items()) for n in pair]
    return msgspec.msgpack.encode((flat_counts, *bucket.gauges.to_row()))


def unpack(start_s: int, packed: bytes) -> Bucket:
    """Decodes a bucket that starts at `start_s`."""
    import msgspec

    flat_counts, *gauges = msgspec.msgpack.decode(packed)
    return Bucket(start_s, dict(zip(flat_counts[::2], flat_counts[1::2], strict=True)), Gauges(*gauges))


class Layer:
    """The closed buckets of one resolution, oldest first."""

    __slots__ = ("packed_buckets", "size_bytes", "starts_s")

    def __init__(self) -> None:
        self.starts_s: list[int] = []
        self.packed_buckets: list[bytes] = []
        self.size_bytes = 0

    def append(self, bucket: Bucket) -> None:
        """Appends a bucket that is later than all others."""
        packed = pack(bucket)
        self.starts_s.append(bucket.start_s)
        self.packed_buckets.append(packed)
        self.size_bytes += len(packed) + BUCKET_OVERHEAD_BYTES

    def trim(self, before_s: int, slack: int = TRIM_SLACK_BUCKETS) -> None:
        """Drops the buckets that start before `before_s` once they number more than `slack`."""
        count = bisect_left(self.starts_s, before_s)
        if count > slack:
            self.size_bytes -= sum(map(len, self.packed_buckets[:count])) + BUCKET_OVERHEAD_BYTES * count
            del self.starts_s[:count], self.packed_buckets[:count]

    def read(self, since_s: int, until_s: int) -> Iterator[Bucket]:
        """Yields the buckets that start within [since_s, until_s)."""
        first_index, last_index = bisect_left(self.starts_s, since_s), bisect_left(self.starts_s, until_s)
        # Slices are copies: buckets may be added and dropped while a reader consumes the iterator.
        yield from map(
            unpack, self.starts_s[first_index:last_index], self.packed_buckets[first_index:last_index]
        )


class Series:
    """A time series in all resolutions."""

    __slots__ = ("layers", "open_buckets")

    def __init__(self) -> None:
        self.layers = (Layer(), Layer(), Layer())
        self.open_buckets: list[Bucket | None] = [None, None]  # of the two coarser resolutions

    @property
    def size_bytes(self) -> int:
        """Approximate memory of the closed buckets."""
        return sum(layer.size_bytes for layer in self.layers)

    @property
    def last_second(self) -> int:
        """Start of the latest bucket; 0 if there is none."""
        starts_s = [layer.starts_s[-1] for layer in self.layers if layer.starts_s]
        return max(starts_s + [bucket.start_s for bucket in self.open_buckets if bucket], default=0)

    def add(self, second: int, counts: dict[int, int], gauges: Gauges) -> None:
        """Adds the values of the second `second`, which must not be earlier than the last one.

        The last second may come again, as when the clock stands still: its bucket is extended.
        """
        self._extend(0, Bucket(second, counts, gauges))
        for index, width_s in enumerate(RESOLUTIONS_S[1:]):
            start_s, bucket = second - second % width_s, self.open_buckets[index]
            if bucket is not None and bucket.start_s != start_s:
                self.layers[index + 1].append(bucket)
                bucket = None
            if bucket is None:
                bucket = self.open_buckets[index] = Bucket(start_s)
            bucket.add(counts, gauges)

    def _extend(self, index: int, bucket: Bucket) -> None:
        layer = self.layers[index]
        if layer.starts_s and layer.starts_s[-1] >= bucket.start_s:
            last = unpack(layer.starts_s.pop(), layer.packed_buckets[-1])
            layer.size_bytes -= len(layer.packed_buckets.pop()) + BUCKET_OVERHEAD_BYTES
            last.add(bucket.counts, bucket.gauges)
            bucket = last
        layer.append(bucket)

    def trim(self, now_s: int, retention: Retention, slack: int = TRIM_SLACK_BUCKETS) -> None:
        """Drops the buckets that are older than the retention of their resolution."""
        for layer, kept_s in zip(self.layers, retention, strict=True):
            layer.trim(now_s - kept_s, slack)

    def iterate(self, resolution: int, since_s: int, until_s: int) -> Iterator[Bucket]:
        """Yields buckets of a resolution (0 to 2) that start within [since_s, until_s), the open one too."""
        bucket = self.open_buckets[resolution - 1] if resolution else None
        yield from self.layers[resolution].read(since_s, until_s)
        if bucket is not None and since_s <= bucket.start_s < until_s:
            yield bucket

    def read(self, resolution: int, since_s: int, until_s: int) -> list[Bucket]:
        """Returns the buckets of `iterate` as a list."""
        return list(self.iterate(resolution, since_s, until_s))


def finest_resolution(
    since_s: int, now_s: int, max_buckets: int, retention: Retention = FULL_RETENTION
) -> int:
    """Returns the finest resolution that reaches back to `since_s` with at most `max_buckets` buckets."""
    for index, (width_s, kept_s) in enumerate(zip(RESOLUTIONS_S, retention, strict=True)):
        if now_s - since_s <= kept_s and (now_s - since_s) / width_s <= max_buckets:
            return index
    return len(RESOLUTIONS_S) - 1


def merged(buckets: Iterable[Bucket]) -> Bucket:
    """Returns the sum of all buckets."""
    total = Bucket(0)
    for bucket in buckets:
        total.start_s = total.start_s or bucket.start_s
        total.add(bucket.counts, bucket.gauges)
    return total
