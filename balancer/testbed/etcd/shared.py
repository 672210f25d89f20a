"""What the endpoints of a stand-in have in common, and the record of what each of them told whom."""

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
    """What an endpoint can say instead of something that makes sense."""

    NOT_JSON = "a line that is no JSON"
    NOT_OBJECT = "JSON of another shape"
    NOT_BASE64 = "a key and a value that are not base64"
    HUGE_VALUE = "a value of 2 MB"
    ENDLESS_LINE = "a line that does not end, up to `ENDLESS` bytes"


@dataclass(slots=True, frozen=True)
class Record:
    """What an endpoint told a client, and when.

    `at_ms` is the monotonic clock's, taken right before the bytes were handed to the socket, while nothing
    older waited there. Garbage tells nothing and is not recorded, nor is what goes to a client that has
    closed its end: a member that was frozen may only find out later. `kind` is "watch" (an event's revision,
    what it put and deleted), "range" (the revision that it shows, what was found from `key` to before `end`,
    and whether there is `more`), or "count" (a range that tells no keys).
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
    """What the endpoints of a cluster have in common. `lists`: whole ones that were asked for, when, at which
    endpoint, and whether it was let in.
    """

    store: Store
    auth: Auth
    cluster_id: int
    election_ms: float
    quorum_wait_ms: float
    progress_ms: float
    sync_ms: float
    has_quorum: Callable[[int], bool]
    leader: Callable[[], int]  # its member id; 0 while there is none
    changed: Callable[[], None]
    records: list[Record] = field(default_factory=list)
    lost: int = 0  # records that were one too many
    garbled: dict[bytes, Garbage] = field(default_factory=dict)  # keys whose values make no sense
    bears: int | None = None  # whole lists in any 100 ms, from where on they are refused; None: any number
    lists: deque[tuple[float, int, bool]] = field(default_factory=lambda: deque(maxlen=MAX_LISTS))
    heard_by: Callable[[Record], None] | None = None  # gets each record as it is made

    def lets_in(self, endpoint: int) -> bool:
        """Whether one more whole list is not too much; the first pages of them are counted."""
        at_ms = now_ms()
        now = sum(let_in and at_ms - then < 100.0 for then, _, let_in in self.lists)
        self.lists.append((at_ms, endpoint, self.bears is None or now < self.bears))
        return self.lists[-1][2]

    def record(self, record: Record) -> None:
        """Keep it, and let it be known."""
        if self.heard_by is not None:
            self.heard_by(record)
        if len(self.records) < MAX_RECORDS:
            self.records.append(record)
        else:
            self.lost += 1


def now_ms() -> float:
    """The monotonic clock."""
    return time.monotonic() * 1000.0


def names(keys: Iterable[bytes]) -> tuple[str, ...]:
    """Keys as text."""
    return tuple(key.decode("utf-8", "backslashreplace") for key in keys)
