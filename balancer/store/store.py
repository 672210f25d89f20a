"""The store behind its port: a writer on a thread of its own, which commits in groups; the loop never waits.

What is handed over is encoded at once and waits in one of two *lanes*: that of the urgent tables (removals
and drains), which is written first, and that of all else. A table or journal belongs to one lane, so its own
order is always kept. A lane is bounded in changes and bytes: what does not fit is turned away at once with
`StoreFull`, counted, and nothing of it is written.

`done` is called once what it was given with is durable, by way of `hand_over` (`loop.call_soon_threadsafe`),
some hundred in one turn. It is not called before, and never for what was not written: who must know waits.

A commit that fails is tried again, whole, after a wait that doubles up to RETRY_MOST, in a new file (see
`engine`); meanwhile the lanes fill, and `state` says why. The process goes on serving.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from balancer.store.engine import (
    MAX_KEY,
    MAX_VALUE,
    NAME,
    Change,
    Delete,
    Engine,
    Opened,
    Put,
    Record,
)
from balancer.store.files import (
    Files,
    Real,
    StoreFault,
    Trouble,
)

MAX_WAITING = 20_000  # changes and records of a lane
MAX_WAITING_BYTES = 8 * 1024 * 1024  # of a lane
GROUP = 1_000  # changes and records of one commit, or one batch more
CHUNK = 100  # calls of `done` in one turn of the loop
RETRY_FIRST, RETRY_MOST = 0.1, 10.0  # s
LOCK_WAIT = 0.5  # s for which a start waits for an owner to go
SLOW = 1.0  # s of a commit from which the store says that it is slow

Done = Callable[[int], None]
HandOver = Callable[[Callable[[], None]], object]


class StoreFull(Exception):
    """As much waits to be written as may; nothing of this was taken."""


class StorePort(Protocol):
    """What others know of the store. `done` gets a journal's position, or the stamp of the last change."""

    def append(self, journal: str, record: object, done: Done | None = None) -> None:
        """Add a record to a journal; raises StoreFull, ValueError."""

    def put(self, table: str, key: str, value: object, done: Done | None = None) -> None:
        """Set a key; raises StoreFull, ValueError."""

    def delete(self, table: str, key: str, done: Done | None = None) -> None:
        """Take a key out; raises StoreFull."""

    def items(self, table: str) -> dict[str, bytes]:
        """A table as it is durable, each value as MessagePack. Not for the loop where it is long."""

    def read(self, journal: str, position: int, count: int, then: Callable[[list[Record]], None]) -> None:
        """Up to `count` records from `position` on, as they are durable."""


class StoreState(msgspec.Struct, frozen=True):
    """How the store does, for pages and logs. `trouble` is None while all is well."""

    trouble: Trouble | None
    reason: str
    waiting: int
    waiting_bytes: int
    turned_away: int
    commits: int
    failures: int
    slow_ms: int  # how long the commit at work takes by now, where that is over SLOW; else 0


class _Work(msgspec.Struct):
    changes: Sequence[Change] = ()
    journal: str = ""
    record: bytes = b""
    done: Done | None = None
    ask: Callable[[Engine], Callable[[], None] | None] | None = None
    size: int = 0
    count: int = 1


class _Lane(msgspec.Struct):
    work: deque[_Work] = msgspec.field(default_factory=deque)
    count: int = 0
    size: int = 0


class Store:
    """A directory, from `open` to `close`. All but these two return at once, on any thread."""

    def __init__(
        self,
        directory: str,
        hand_over: HandOver,
        files: Files | None = None,
        urgent: frozenset[str] = frozenset(),
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """`urgent` tables are written before all else."""
        self.engine = Engine(files or Real(), directory, wall_ms)
        self._hand_over, self._urgent_tables = hand_over, urgent
        self._lanes = (_Lane(), _Lane())
        self._turn = threading.Condition()
        self._thread: threading.Thread | None = None
        self._closing = False
        self._trouble: StoreFault | None = None
        self._turned_away = self._commits = self._failures = 0
        self._began = 0.0
        self._alone = False  # one piece of work a commit, to find the one that cannot be done

    def open(self) -> Opened:
        """Take the directory and load it; blocks, so not on the loop. Raises StoreFault.

        It waits for no sync: the first write begins this start's generation, and `state` says where that
        fails.
        """
        until = time.monotonic() + LOCK_WAIT
        while True:
            try:
                out = self.engine.open()
                break
            except StoreFault as fault:  # a process that is dying, or a look at the directory
                if fault.trouble is not Trouble.OWNED or time.monotonic() > until:
                    raise
                time.sleep(0.02)
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()
        return out

    def close(self, wait_s: float = 2.0) -> int:
        """Write what waits, for so long at most, and let go; how much was not written. Blocks."""
        with self._turn:
            self._closing = True
            self._turn.notify()
        if self._thread is not None:
            self._thread.join(wait_s)
            if self._thread.is_alive():  # a disk that hangs: the kernel lets go of the lock with the process
                return max(1, sum(lane.count for lane in self._lanes))
        self.engine.close()
        return sum(lane.count for lane in self._lanes)

    # --- what others ask ---

    def put(self, table: str, key: str, value: object, done: Done | None = None) -> None:
        """See StorePort."""
        self.write([Put(table, key, msgspec.msgpack.encode(value))], done)

    def delete(self, table: str, key: str, done: Done | None = None) -> None:
        """See StorePort."""
        self.write([Delete(table, key)], done)

    def write(self, changes: Sequence[Change], done: Done | None = None) -> None:
        """All of them in one commit, all or none; the tables of one lane. Raises StoreFull, ValueError."""
        if not changes:
            raise ValueError("nothing to write")
        lanes = {change.table in self._urgent_tables for change in changes}
        if len(lanes) > 1:
            raise ValueError("urgent tables and others in one commit")
        size = 0
        for change in changes:
            if not NAME.fullmatch(change.table) or not 0 < len(change.key) <= MAX_KEY or "\0" in change.key:
                raise ValueError(f"no key of a table: {change.table!r:.60}, {change.key!r:.120}")
            if isinstance(change, Put):
                size += len(change.key) + _sized(change.value)
        self._take(self._lanes[not lanes.pop()], _Work(changes, done=done, size=size, count=len(changes)))

    def append(self, journal: str, record: object, done: Done | None = None) -> None:
        """See StorePort."""
        if not NAME.fullmatch(journal):
            raise ValueError(f"no name of a journal: {journal!r:.60}")
        packed = msgspec.msgpack.encode(record)
        self._take(self._lanes[1], _Work(journal=journal, record=packed, done=done, size=_sized(packed)))

    def items(self, table: str) -> dict[str, bytes]:
        """See StorePort."""
        found = self.engine.tables.get(table)
        return {} if found is None else {key: row.value for key, row in found.copy().items()}

    def get(self, table: str, key: str) -> bytes | None:
        """One value as it is durable."""
        row = self.engine.tables.get(table, {}).get(key)
        return None if row is None else row.value

    def read(self, journal: str, position: int, count: int, then: Callable[[list[Record]], None]) -> None:
        """See StorePort."""

        def ask(engine: Engine) -> Callable[[], None]:
            found = engine.read(journal, position, count)
            return lambda: then(found)

        self._take(self._lanes[1], _Work(ask=ask))

    def cut(self, journal: str, before_ms: int = 0, most_bytes: int | None = None) -> None:
        """Take away a journal's old segments (`Engine.cut`), at some time soon."""

        def ask(engine: Engine) -> None:
            engine.cut(journal, before_ms, most_bytes)

        self._take(self._lanes[1], _Work(ask=ask))

    def begin_generation(self) -> None:
        """Write all tables anew, at some time soon; who changes them waits for so long."""
        self._take(self._lanes[1], _Work(ask=lambda engine: engine.begin_generation()))

    def state(self) -> StoreState:
        """How it does."""
        began, trouble = self._began, self._trouble
        slow = time.monotonic() - began if began else 0.0
        return StoreState(
            trouble.trouble if trouble else None,
            str(trouble or ""),
            sum(lane.count for lane in self._lanes),
            sum(lane.size for lane in self._lanes),
            self._turned_away,
            self._commits,
            self._failures,
            int(slow * 1000) if slow > SLOW else 0,
        )

    def _take(self, lane: _Lane, work: _Work) -> None:
        with self._turn:
            over = lane.count + work.count > MAX_WAITING or lane.size + work.size > MAX_WAITING_BYTES
            if self._closing or over:
                self._turned_away += work.count
                raise StoreFull("the store is closing" if self._closing else f"{lane.count} changes wait")
            lane.work.append(work)
            lane.count += work.count
            lane.size += work.size
            self._turn.notify()

    # --- the writer ---

    def _run(self) -> None:
        wait_s = RETRY_FIRST
        while group := self._group():
            try:
                self._began = time.monotonic()
                told = self._carried_out(group)
            except Exception as err:  # guards against a store that stops for good by one odd error
                odd = StoreFault(Trouble.FAILED, self.engine.directory, repr(err))
                self._trouble, self._began = err if isinstance(err, StoreFault) else odd, 0.0
                self._failures += 1
                with self._turn:
                    if self._closing:
                        return
                    if isinstance(err, ValueError):  # a change that can never be made: it alone goes
                        if self._alone:
                            self._gone(group)
                            self._turned_away += group[0].count
                        self._alone = not self._alone
                        continue
                    self._turn.wait_for(lambda: self._closing, wait_s)
                wait_s = min(2 * wait_s, RETRY_MOST)
                continue
            self._began, self._trouble, wait_s = 0.0, None, RETRY_FIRST
            self._alone = False
            self._commits += 1
            self._tell(told)

    def _group(self) -> list[_Work]:
        """What one commit takes; it stays in its lane until it is durable. Empty: nothing is left."""
        with self._turn:
            while not any(lane.work for lane in self._lanes):
                if self._closing:
                    return []
                self._turn.wait()
            lane = self._lanes[0] if self._lanes[0].work else self._lanes[1]
            out: list[_Work] = []
            count, first = 0, lane.work[0]
            for work in lane.work:
                apart = self._alone or work.ask is not None or _kind(work) != _kind(first)
                if out and (apart or count >= GROUP):
                    break
                out.append(work)
                count += work.count
            return out

    def _carried_out(self, group: list[_Work]) -> list[Callable[[], None]]:
        first = group[0]
        told: list[Callable[[], None]] = []
        if first.ask is not None:
            answer = first.ask(self.engine)
            told += [answer] if answer is not None else []
        elif first.journal:
            position = self.engine.append(first.journal, [work.record for work in group])
            told += [_call(w.done, position + n) for n, w in enumerate(group) if w.done is not None]
        else:
            stamp = self.engine.commit([change for work in group for change in work.changes])
            told += [_call(work.done, stamp) for work in group if work.done is not None]
        with self._turn:
            self._gone(group)
        return told

    def _gone(self, group: list[_Work]) -> None:
        """It waits no more."""
        urgent, other = self._lanes
        lane = urgent if urgent.work and urgent.work[0] is group[0] else other
        for work in group:
            lane.work.popleft()
            lane.count -= work.count
            lane.size -= work.size

    def _tell(self, told: list[Callable[[], None]]) -> None:
        try:
            for at in range(0, len(told), CHUNK):
                self._hand_over(_all(told[at : at + CHUNK]))
        except RuntimeError:  # the loop is closed: nobody waits any more
            pass


def _kind(work: _Work) -> str:
    return work.journal if work.record else "?" if work.ask is not None else ""


def _call(done: Done | None, value: int) -> Callable[[], None]:
    assert done is not None
    return lambda: done(value)


def _all(told: list[Callable[[], None]]) -> Callable[[], None]:
    def run() -> None:
        for one in told:
            one()

    return run


def _sized(value: bytes) -> int:
    if len(value) > MAX_VALUE:
        raise ValueError(f"a value of {len(value)} bytes, where {MAX_VALUE} are allowed")
    return len(value)
