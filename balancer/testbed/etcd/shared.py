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
MAX_LIST_CALLS = 10_000


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
class ClusterState:
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
    dropped_record_count: int = 0  # beyond `MAX_RECORDS`
    corrupted_values: dict[bytes, Garbage] = field(default_factory=dict)  # kind of invalid value sent, by key
    bears: int | None = None  # full lists admitted in any 100 ms; None is unlimited
    lists: deque[tuple[float, int, bool]] = field(default_factory=lambda: deque(maxlen=MAX_LIST_CALLS))
    on_record: Callable[[Record], None] | None = None  # called with each new record

    def admit_list(self, endpoint: int) -> bool:
        """Record a full list and return whether it is within the limit; only first pages count."""
        at_ms = now_ms()
        admitted_count = sum(
            is_admitted and at_ms - called_ms < 100.0 for called_ms, _, is_admitted in self.lists
        )
        self.lists.append((at_ms, endpoint, self.bears is None or admitted_count < self.bears))
        return self.lists[-1][2]

    def record(self, record: Record) -> None:
        """Store a record and pass it to the listener."""
        if self.on_record is not None:
            self.on_record(record)
        if len(self.records) < MAX_RECORDS:
            self.records.append(record)
        else:
            self.dropped_record_count += 1


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000.0


def names(keys: Iterable[bytes]) -> tuple[str, ...]:
    """Decode keys as text."""
    return tuple(key.decode("utf-8", "backslashreplace") for key in keys)
