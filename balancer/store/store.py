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

import msgspec

from balancer.store.engine import (
    MAX_KEY_LENGTH,
    MAX_VALUE_BYTES,
    TABLE_NAME_PATTERN,
    Change,
    Delete,
    Engine,
    JournalRecord,
    OpenResult,
    Put,
)
from balancer.store.errors import FaultKind, StoreFileError, WriteQueueFull
from balancer.store.files import FileSystem, LocalFileSystem

MAX_LANE_CHANGES = 20_000  # changes and records of a lane
MAX_LANE_BYTES = 8 * 1024 * 1024  # of a lane
GROUP_COMMIT_CHANGES = 1_000  # changes and records of one commit, or one batch more
CALLBACKS_PER_LOOP_TURN = 100  # calls of `done` in one turn of the loop
MIN_RETRY_BACKOFF_S, MAX_RETRY_BACKOFF_S = 0.1, 10.0  # s
LOCK_WAIT_TIMEOUT_S = 0.5  # s for which a start waits for an owner to go
SLOW_COMMIT_THRESHOLD_S = 1.0  # s of a commit from which the store says that it is slow

DurableCallback = Callable[[int], None]
CallSoonThreadsafe = Callable[[Callable[[], None]], object]


class StoreStatus(msgspec.Struct, frozen=True):
    """How the store does, for pages and logs. `trouble` is None while all is well."""

    fault: FaultKind | None
    reason: str
    queued_changes: int
    queued_bytes: int
    rejected_changes: int
    commit_count: int
    failure_count: int
    slow_commit_ms: int  # how long the commit at work takes by now, where that is over SLOW; else 0


class _QueuedWork(msgspec.Struct):
    changes: Sequence[Change] = ()
    journal: str = ""
    record: bytes = b""
    on_durable: DurableCallback | None = None
    engine_call: Callable[[Engine], Callable[[], None] | None] | None = None
    size_bytes: int = 0
    change_count: int = 1


class _Lane(msgspec.Struct):
    queue: deque[_QueuedWork] = msgspec.field(default_factory=deque)
    change_count: int = 0
    size_bytes: int = 0


class Store:
    """A directory, from `open` to `close`. All but these two return at once, on any thread."""

    def __init__(
        self,
        directory: str,
        call_soon_threadsafe: CallSoonThreadsafe,
        file_system: FileSystem | None = None,
        urgent_tables: frozenset[str] = frozenset(),
        wall_clock_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """`urgent` tables are written before all else."""
        self.engine = Engine(file_system or LocalFileSystem(), directory, wall_clock_ms)
        self._call_soon_threadsafe, self._urgent_tables = call_soon_threadsafe, urgent_tables
        self._lanes = (_Lane(), _Lane())
        self._condition = threading.Condition()
        self._thread: threading.Thread | None = None
        self._is_closing = False
        self._last_error: StoreFileError | None = None
        self._rejected_changes = self._commit_count = self._failure_count = 0
        self._commit_started_s = 0.0
        self._commits_singly = False  # one piece of work a commit, to find the one that cannot be done

    def open(self) -> OpenResult:
        """Take the directory and load it; blocks, so not on the loop. Raises StoreFault.

        It waits for no sync: the first write begins this start's generation, and `state` says where that
        fails.
        """
        deadline_s = time.monotonic() + LOCK_WAIT_TIMEOUT_S
        while True:
            try:
                result = self.engine.open()
                break
            except StoreFileError as fault:  # a process that is dying, or a look at the directory
                if fault.kind is not FaultKind.LOCKED or time.monotonic() > deadline_s:
                    raise
                time.sleep(0.02)
        self._thread = threading.Thread(target=self._run_writer, name="store", daemon=True)
        self._thread.start()
        return result

    def close(self, timeout_s: float = 2.0) -> int:
        """Write what waits, for so long at most, and let go; how much was not written. Blocks."""
        with self._condition:
            self._is_closing = True
            self._condition.notify()
        if self._thread is not None:
            self._thread.join(timeout_s)
            if self._thread.is_alive():  # a disk that hangs: the kernel lets go of the lock with the process
                return max(1, sum(lane.change_count for lane in self._lanes))
        self.engine.close()
        return sum(lane.change_count for lane in self._lanes)

    # --- what others ask ---

    def put(self, table: str, key: str, value: object, on_durable: DurableCallback | None = None) -> None:
        """See StorePort."""
        self.write([Put(table, key, msgspec.msgpack.encode(value))], on_durable)

    def delete(self, table: str, key: str, on_durable: DurableCallback | None = None) -> None:
        """See StorePort."""
        self.write([Delete(table, key)], on_durable)

    def write(self, changes: Sequence[Change], on_durable: DurableCallback | None = None) -> None:
        """All of them in one commit, all or none; the tables of one lane. Raises StoreFull, ValueError."""
        if not changes:
            raise ValueError("nothing to write")
        urgencies = {change.table in self._urgent_tables for change in changes}
        if len(urgencies) > 1:
            raise ValueError("urgent tables and others in one commit")
        size_bytes = 0
        for change in changes:
            if (
                not TABLE_NAME_PATTERN.fullmatch(change.table)
                or not 0 < len(change.key) <= MAX_KEY_LENGTH
                or "\0" in change.key
            ):
                raise ValueError(f"no key of a table: {change.table!r:.60}, {change.key!r:.120}")
            if isinstance(change, Put):
                size_bytes += len(change.key) + _checked_size_bytes(change.value)
        self._enqueue(
            self._lanes[not urgencies.pop()],
            _QueuedWork(changes, on_durable=on_durable, size_bytes=size_bytes, change_count=len(changes)),
        )

    def append(self, journal: str, record: object, on_durable: DurableCallback | None = None) -> None:
        """See StorePort."""
        if not TABLE_NAME_PATTERN.fullmatch(journal):
            raise ValueError(f"no name of a journal: {journal!r:.60}")
        packed = msgspec.msgpack.encode(record)
        self._enqueue(
            self._lanes[1],
            _QueuedWork(
                journal=journal, record=packed, on_durable=on_durable, size_bytes=_checked_size_bytes(packed)
            ),
        )

    def items(self, table: str) -> dict[str, bytes]:
        """See StorePort."""
        found = self.engine.tables.get(table)
        return {} if found is None else {key: row.value for key, row in found.copy().items()}

    def get(self, table: str, key: str) -> bytes | None:
        """One value as it is durable."""
        row = self.engine.tables.get(table, {}).get(key)
        return None if row is None else row.value

    def read_journal(
        self, journal: str, position: int, count: int, on_read: Callable[[list[JournalRecord]], None]
    ) -> None:
        """See StorePort."""

        def ask(engine: Engine) -> Callable[[], None]:
            found = engine.read_journal(journal, position, count)
            return lambda: on_read(found)

        self._enqueue(self._lanes[1], _QueuedWork(engine_call=ask))

    def trim_journal(self, journal: str, before_ms: int = 0, max_bytes: int | None = None) -> None:
        """Take away a journal's old segments (`Engine.cut`), at some time soon."""

        def ask(engine: Engine) -> None:
            engine.trim_journal(journal, before_ms, max_bytes)

        self._enqueue(self._lanes[1], _QueuedWork(engine_call=ask))

    def begin_generation(self) -> None:
        """Write all tables anew, at some time soon; who changes them waits for so long."""
        self._enqueue(self._lanes[1], _QueuedWork(engine_call=lambda engine: engine.begin_generation()))

    def status(self) -> StoreStatus:
        """How it does."""
        commit_started_s, last_error = self._commit_started_s, self._last_error
        commit_duration_s = time.monotonic() - commit_started_s if commit_started_s else 0.0
        return StoreStatus(
            last_error.kind if last_error else None,
            str(last_error or ""),
            sum(lane.change_count for lane in self._lanes),
            sum(lane.size_bytes for lane in self._lanes),
            self._rejected_changes,
            self._commit_count,
            self._failure_count,
            int(commit_duration_s * 1000) if commit_duration_s > SLOW_COMMIT_THRESHOLD_S else 0,
        )

    def _enqueue(self, lane: _Lane, work: _QueuedWork) -> None:
        with self._condition:
            is_over_limit = (
                lane.change_count + work.change_count > MAX_LANE_CHANGES
                or lane.size_bytes + work.size_bytes > MAX_LANE_BYTES
            )
            if self._is_closing or is_over_limit:
                self._rejected_changes += work.change_count
                raise WriteQueueFull(lane.change_count, self._is_closing)
            lane.queue.append(work)
            lane.change_count += work.change_count
            lane.size_bytes += work.size_bytes
            self._condition.notify()

    # --- the writer ---

    def _run_writer(self) -> None:
        backoff_s = MIN_RETRY_BACKOFF_S
        while group := self._next_group():
            try:
                self._commit_started_s = time.monotonic()
                callbacks = self._execute_group(group)
            except Exception as error:  # guards against a store that stops for good by one odd error
                unexpected = StoreFileError(FaultKind.IO_ERROR, self.engine.directory, repr(error))
                self._last_error, self._commit_started_s = (
                    error if isinstance(error, StoreFileError) else unexpected,
                    0.0,
                )
                self._failure_count += 1
                with self._condition:
                    if self._is_closing:
                        return
                    if isinstance(error, ValueError):  # a change that can never be made: it alone goes
                        if self._commits_singly:
                            self._dequeue_group(group)
                            self._rejected_changes += group[0].change_count
                        self._commits_singly = not self._commits_singly
                        continue
                    self._condition.wait_for(lambda: self._is_closing, backoff_s)
                backoff_s = min(2 * backoff_s, MAX_RETRY_BACKOFF_S)
                continue
            self._commit_started_s, self._last_error, backoff_s = 0.0, None, MIN_RETRY_BACKOFF_S
            self._commits_singly = False
            self._commit_count += 1
            self._notify(callbacks)

    def _next_group(self) -> list[_QueuedWork]:
        """What one commit takes; it stays in its lane until it is durable. Empty: nothing is left."""
        with self._condition:
            while not any(lane.queue for lane in self._lanes):
                if self._is_closing:
                    return []
                self._condition.wait()
            lane = self._lanes[0] if self._lanes[0].queue else self._lanes[1]
            group: list[_QueuedWork] = []
            count, first = 0, lane.queue[0]
            for work in lane.queue:
                starts_next_group = (
                    self._commits_singly
                    or work.engine_call is not None
                    or _group_key(work) != _group_key(first)
                )
                if group and (starts_next_group or count >= GROUP_COMMIT_CHANGES):
                    break
                group.append(work)
                count += work.change_count
            return group

    def _execute_group(self, group: list[_QueuedWork]) -> list[Callable[[], None]]:
        first = group[0]
        callbacks: list[Callable[[], None]] = []
        if first.engine_call is not None:
            callback = first.engine_call(self.engine)
            callbacks += [callback] if callback is not None else []
        elif first.journal:
            position = self.engine.append(first.journal, [work.record for work in group])
            callbacks += [
                _bind_callback(w.on_durable, position + n)
                for n, w in enumerate(group)
                if w.on_durable is not None
            ]
        else:
            stamp = self.engine.commit([change for work in group for change in work.changes])
            callbacks += [
                _bind_callback(work.on_durable, stamp) for work in group if work.on_durable is not None
            ]
        with self._condition:
            self._dequeue_group(group)
        return callbacks

    def _dequeue_group(self, group: list[_QueuedWork]) -> None:
        """It waits no more."""
        urgent, other = self._lanes
        lane = urgent if urgent.queue and urgent.queue[0] is group[0] else other
        for work in group:
            lane.queue.popleft()
            lane.change_count -= work.change_count
            lane.size_bytes -= work.size_bytes

    def _notify(self, callbacks: list[Callable[[], None]]) -> None:
        try:
            for start in range(0, len(callbacks), CALLBACKS_PER_LOOP_TURN):
                self._call_soon_threadsafe(_run_all(callbacks[start : start + CALLBACKS_PER_LOOP_TURN]))
        except RuntimeError:  # the loop is closed: nobody waits any more
            pass


def _group_key(work: _QueuedWork) -> str:
    return work.journal if work.record else "?" if work.engine_call is not None else ""


def _bind_callback(on_durable: DurableCallback | None, value: int) -> Callable[[], None]:
    assert on_durable is not None
    return lambda: on_durable(value)


def _run_all(callbacks: list[Callable[[], None]]) -> Callable[[], None]:
    def run() -> None:
        for one in callbacks:
            one()

    return run


def _checked_size_bytes(value: bytes) -> int:
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"a value of {len(value)} bytes, where {MAX_VALUE_BYTES} are allowed")
    return len(value)
