"""What clients, servers, sources and the world itself saw, on one monotonic clock, in milliseconds.

Nothing here comes from a node: the judge reads these records and nothing else. Clients record `Wanted`,
`Asked`, `Crossed`, `Answered`, `ClientLeft`, `Unreached`; servers `ServerStarted`, `ServerEnded`, `Received`,
`TurnedAway`, `Ran`, `Replied`, `LetGo`; sources of the list `Told`; the world `NodeStarted`, `NodeSignalled`,
`NodeEnded`, `NodeHeldUp`, `HeldUp`.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, fields, replace
from pathlib import Path
from typing import Any

BOUND = 2_000_000  # records of a journal: some 500 MB, or an hour of 100 requests a second


def now_ms() -> float:
    """The clock of all records: monotonic and the same in all processes of the machine."""
    return time.monotonic() * 1000


def unix_ms(at_ms: float) -> float:
    """A moment of that clock as Unix time in whole milliseconds, as lists of servers name it."""
    return float(round(at_ms + time.time() * 1000 - time.monotonic() * 1000))


# --- clients


@dataclass(slots=True, frozen=True)
class Wanted:
    """A client wants something, whether or not it finds a node. Its first try bears the same name."""

    request: str
    class_name: str
    at_ms: float
    aim_ms: float  # the moment until which an answer has its worth
    worth: float


@dataclass(slots=True, frozen=True)
class Asked:
    """The last byte of a request was written to a connection that the node's machine had accepted."""

    request: str
    first: str  # the first try's name; its own where it is that
    node: str
    class_name: str
    key: str
    tenant: str
    form: str  # method, target and a sum of the body, which go on unchanged
    at_ms: float
    deadline_ms: float  # the moment at which this try is given up


@dataclass(slots=True, frozen=True)
class Crossed:
    """A used connection ended before the node had read the request, which is sent once more."""

    request: str
    at_ms: float


@dataclass(slots=True, frozen=True)
class Answered:
    """A final answer's last byte came; where `whole` is false, its connection ended before that.

    `status` is 0 where not even a status came, `body` that of a 200.
    """

    request: str
    at_ms: float
    status: int
    whole: bool
    body: str = ""


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client closed its connection before its time was up and without an answer."""

    request: str
    at_ms: float


@dataclass(slots=True, frozen=True)
class Unreached:
    """No connection to the node came up: it has not taken the request."""

    request: str
    node: str
    at_ms: float


# --- servers


@dataclass(slots=True, frozen=True)
class ServerStarted:
    """A server's process started. Its capacity grows evenly from the cold share to the whole in `warm_ms`."""

    server: str
    incarnation: int
    at_ms: float
    zone: str
    cell: int
    capacity: float  # milliseconds of work that it does in one millisecond, once warm
    cold_share: float
    warm_ms: float
    up_since_ms: float  # as lists name its start; 0 is long ago


@dataclass(slots=True, frozen=True)
class ServerEnded:
    """A server's process ended: `died`, `stopped` or `fell` over, having been sent too much while cold."""

    server: str
    incarnation: int
    at_ms: float
    how: str


@dataclass(slots=True, frozen=True)
class Received:
    """An attempt came. Without a last byte it broke before that and never ran."""

    server: str
    incarnation: int
    connection: int
    attempt: str
    request: str
    key: str
    form: str
    work_ms: float  # that it would be, whether or not it runs
    first_byte_at_ms: float
    last_byte_at_ms: float | None


@dataclass(slots=True, frozen=True)
class TurnedAway:
    """The answer `Not-Started` to an attempt was written: it never ran."""

    server: str
    attempt: str
    request: str
    at_ms: float
    reason: str


@dataclass(slots=True, frozen=True)
class Ran:
    """An attempt ran, as a `repeat` without effect; without an end the server did not live to see it."""

    server: str
    incarnation: int
    attempt: str
    request: str
    key: str
    began_at_ms: float
    ended_at_ms: float | None
    cost_ms: float
    repeat: bool = False


@dataclass(slots=True, frozen=True)
class Replied:
    """The answer to an attempt that ran was written to a connection that was open on this side."""

    server: str
    attempt: str
    request: str
    at_ms: float
    status: int
    body: str


@dataclass(slots=True, frozen=True)
class LetGo:
    """An attempt's connection ended before its answer, by the `node` or by the `server`."""

    server: str
    attempt: str
    request: str
    at_ms: float
    by: str


# --- sources of the list


@dataclass(slots=True, frozen=True)
class Told:
    """A source wrote to a node what it has of a server: `up`, `draining` or `gone`.

    A whole list tells of all servers that the node was ever told of. Order is by revision within an identity
    (an address, a cluster id). Where `written` is false it only counts as told, having been there long
    enough.
    """

    node: str
    source: str
    identity: str
    revision: int
    server: str
    phase: str
    at_ms: float
    up_since_ms: float = 0.0
    written: bool = True


# --- the world


@dataclass(slots=True, frozen=True)
class NodeStarted:
    """A node's process starts: from nothing, or with all on its disk that it was told until `kept_ms`."""

    node: str
    at_ms: float
    kept_ms: float | None = None


@dataclass(slots=True, frozen=True)
class NodeSignalled:
    """A node's process was sent a signal, such as `SIGTERM`."""

    node: str
    at_ms: float
    signal: str


@dataclass(slots=True, frozen=True)
class NodeEnded:
    """A node's process is no more; `code` is its exit code, negative for a signal."""

    node: str
    at_ms: float
    code: int


@dataclass(slots=True, frozen=True)
class NodeHeldUp:
    """The machine kept a node's process waiting for a core: so long in all since the record before."""

    node: str
    at_ms: float
    late_ms: float


@dataclass(slots=True, frozen=True)
class HeldUp:
    """The world's own loop ran late: what it recorded in the `late_ms` before may have come earlier."""

    at_ms: float
    late_ms: float


Record = (
    Wanted
    | Asked
    | Crossed
    | Answered
    | ClientLeft
    | Unreached
    | ServerStarted
    | ServerEnded
    | Received
    | TurnedAway
    | Ran
    | Replied
    | LetGo
    | Told
    | NodeStarted
    | NodeSignalled
    | NodeEnded
    | NodeHeldUp
    | HeldUp
)
KINDS: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in (
        Wanted,
        Asked,
        Crossed,
        Answered,
        ClientLeft,
        Unreached,
        ServerStarted,
        ServerEnded,
        Received,
        TurnedAway,
        Ran,
        Replied,
        LetGo,
        Told,
        NodeStarted,
        NodeSignalled,
        NodeEnded,
        NodeHeldUp,
        HeldUp,
    )
}


class JournalError(ValueError):
    """Lines that are no records, or a journal that could not hold all that happened."""


class Journal:
    """Records in the order in which they were made, `bound` at most; what is over that is counted as lost."""

    def __init__(self, bound: int = BOUND) -> None:
        self.bound, self.lost = bound, 0
        self.records: list[Record] = []
        self._held: dict[tuple[str, str], list[Told]] = {}

    def add(self, record: Record) -> None:
        """Append one record."""
        if isinstance(record, NodeStarted):
            for node, source in self._held:
                if node == record.node:  # what was on its way was to the process before
                    self.lose(node, source)
        if isinstance(record, Told) and (held := self._held.get((record.node, record.source))) is not None:
            held.append(record)
        elif len(self.records) < self.bound:
            self.records.append(record)
        else:
            self.lost += 1

    def hold(self, node: str, source: str) -> None:
        """What a source writes to a node does not reach it for now: it counts from `release` on."""
        self._held.setdefault((node, source), [])

    def lose(self, node: str, source: str) -> None:
        """What is held of it never gets there."""
        if (node, source) in self._held:
            self._held[node, source] = []

    def release(self, node: str, source: str) -> None:
        """What was held gets there now."""
        for told in self._held.pop((node, source), []):
            self.add(replace(told, at_ms=now_ms()))

    def __iter__(self) -> Iterator[Record]:
        return iter(self.records)

    def __len__(self) -> int:
        return len(self.records)

    def write(self, path: Path) -> None:
        """Write JSON lines; raises JournalError where records were lost."""
        if self.lost:
            raise JournalError(f"the journal is full: {self.lost} records over {self.bound} were lost")
        with path.open("w", encoding="utf-8") as out:
            for record in self.records:
                out.write(json.dumps({"kind": type(record).__name__} | asdict(record)) + "\n")

    @classmethod
    def read(cls, lines: Iterable[str], bound: int = BOUND) -> Journal:
        """Read JSON lines; raises JournalError, which names the line."""
        out = cls(bound)
        for number, line in enumerate(lines, 1):
            try:
                table = json.loads(line)
                kind = KINDS[table.pop("kind")]
                out.add(kind(**table))
            except (AttributeError, KeyError, TypeError, ValueError) as err:
                raise JournalError(f"line {number} is no record: {err!r:.120}") from None
        return out


def words(record: Record) -> str:
    """A record in one line, for people; times are left as they are."""
    parts = []
    for item in fields(record):
        value = getattr(record, item.name)
        if isinstance(value, float):
            value = f"{value:.1f}"
        parts.append(f"{item.name}={value}")
    return f"{type(record).__name__}({', '.join(parts)})"
