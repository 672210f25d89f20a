"""State shared by the endpoints of an emulated cluster, and the record of the responses they sent."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from balancer.testbed.etcd.auth import Auth
from balancer.testbed.etcd.store import Store

MAX_RECORDS = 1_000_000
MAX_LISTS = 10_000


class Garbage(Enum):
    """Kinds of invalid data that an endpoint can send."""

    NOT_JSON = "a line that is no JSON"
    NOT_OBJECT = "JSON of another shape"
    NOT_BASE64 = "a key and a value that are not base64"
    HUGE_VALUE = "a value of 2 MB"
    ENDLESS_LINE = "a line that does not end, up to `ENDLESS` bytes"


@dataclass(slots=True, frozen=True)
class Record:
    """A response that an endpoint sent to a client.

    `at_ms` is monotonic time, taken right before the bytes are written to the socket, when no older data is
    buffered. Invalid data is not recorded, nor is data for a client that has closed its end, which a frozen
    member may notice only later. `kind` is "watch" (an event's revision and the keys it put and deleted),
    "range" (the revision read, the keys found from `key` up to but excluding `end`, and whether there are
    `more`), or "count" (a range without keys).
    """

    at_ms: float
    endpoint: int
    kind: str
    revision: int
    put: tuple[str, ...]
    deleted: tuple[str, ...]
    peer: tuple[str, int]
    key: str = ""
    end: str = ""
    more: bool = False


@dataclass(slots=True)
class Shared:
    """The state shared by the endpoints of a cluster.

    `lists` holds each requested full list as its time in ms, its endpoint and whether it was admitted.
    """

    store: Store
    auth: Auth
    cluster_id: int
    election_ms: float
    quorum_wait_ms: float
    progress_ms: float
    sync_ms: float
    has_quorum: Callable[[int], bool]
    leader: Callable[[], int]  # the leader's member id; 0 without a leader
    changed: Callable[[], None]
    records: list[Record] = field(default_factory=list)
    lost: int = 0  # number of records dropped beyond `MAX_RECORDS`
    garbled: dict[bytes, Garbage] = field(default_factory=dict)  # keys whose values are sent as invalid data
    bears: int | None = None  # full lists admitted in any 100 ms; None is unlimited
    lists: deque[tuple[float, int, bool]] = field(default_factory=lambda: deque(maxlen=MAX_LISTS))
    heard_by: Callable[[Record], None] | None = None  # called with each new record

    def lets_in(self, endpoint: int) -> bool:
        """Record a full list and return whether it is within the limit; only first pages count."""
        at_ms = now_ms()
        now = sum(let_in and at_ms - then < 100.0 for then, _, let_in in self.lists)
        self.lists.append((at_ms, endpoint, self.bears is None or now < self.bears))
        return self.lists[-1][2]

    def record(self, record: Record) -> None:
        """Store a record and pass it to the listener."""
        if self.heard_by is not None:
            self.heard_by(record)
        if len(self.records) < MAX_RECORDS:
            self.records.append(record)
        else:
            self.lost += 1


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000.0


def names(keys: Iterable[bytes]) -> tuple[str, ...]:
    """Decode keys as text."""
    return tuple(key.decode("utf-8", "backslashreplace") for key in keys)
