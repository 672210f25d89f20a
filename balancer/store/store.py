"""The asynchronous store of a node: one writer thread with group commits; the event loop never waits.

A change is encoded at once and queued in one of two *lanes*: the urgent lane holds the urgent tables
(removals and drains) and is written first, the normal lane holds everything else. A table or journal belongs
to one lane, so the order of its changes is always kept. A lane is bounded in changes and bytes: a request
that does not fit is rejected at once with `WriteQueueFullError` and counted, and no part of it is written.

`on_durable` is called once the changes of its request are durable, through the event loop's
`call_soon_threadsafe`, at most CALLBACKS_PER_LOOP_TURN in one turn. It is never called for changes that were
not written.

A failed commit is retried completely in a new file (see `engine`), after a backoff that doubles up to
MAX_RETRY_BACKOFF_S; meanwhile the lanes fill, and `status` gives the reason. The process continues to serve.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence

import msgspec

from balancer.store.directory import TABLE_NAME_PATTERN
from balancer.store.engine import Change, Delete, Engine, OpenResult, Put
from balancer.store.errors import FaultKind, StoreFileError, WriteQueueFullError
from balancer.store.files import FileSystem, LocalFileSystem
from balancer.store.sqlite_file import JournalRecord

MAX_VALUE_BYTES = 64 * 1024
MAX_KEY_LENGTH = 512
"""In characters."""
MAX_LANE_CHANGES = 20_000
"""Changes and records queued in one lane."""
MAX_LANE_BYTES = 8 * 1024 * 1024
GROUP_COMMIT_CHANGES = 1_000
"""Number of changes and records from which a commit takes no further request."""
CALLBACKS_PER_LOOP_TURN = 100
MIN_RETRY_BACKOFF_S = 0.1
MAX_RETRY_BACKOFF_S = 10.0
LOCK_WAIT_TIMEOUT_S = 0.5
"""How long `open` waits for another lock owner: a process that is exiting, or an inspection."""
LOCK_POLL_INTERVAL_S = 0.02
SLOW_COMMIT_THRESHOLD_S = 1.0
"""Duration of a running commit from which the status reports it as slow."""

DurableCallback = Callable[[int], None]
"""Receives the position of a journal record, or the sequence number of the commit's last change."""
CallSoonThreadsafe = Callable[[Callable[[], None]], object]


class StoreStatus(msgspec.Struct, frozen=True):
    """State of the store for reports and logs."""

    fault: FaultKind | None
    """Fault of the last commit; None if it succeeded."""
    reason: str
    queued_changes: int
    queued_bytes: int
    rejected_changes: int
    commit_count: int
    failure_count: int
    slow_commit_ms: int
    """Duration so far of the running commit if it exceeds SLOW_COMMIT_THRESHOLD_S; else 0."""


class _QueuedCommit(msgspec.Struct):
    changes: Sequence[Change]
    on_durable: DurableCallback | None
    size_bytes: int
    change_count: int


class _QueuedAppend(msgspec.Struct):
    journal: str
    record: bytes
    on_durable: DurableCallback | None
    size_bytes: int
    change_count: int = 1


class _QueuedCall(msgspec.Struct):
    """A call of the engine on the writer thread; the callback it returns is called on the event loop."""

    engine_call: Callable[[Engine], Callable[[], None] | None]
    size_bytes: int = 0
    change_count: int = 1


_QueuedWork = _QueuedCommit | _QueuedAppend | _QueuedCall


class _Lane(msgspec.Struct):
    queue: deque[_QueuedWork] = msgspec.field(default_factory=deque)
    change_count: int = 0
    size_bytes: int = 0

    def has_capacity_for(self, work: _QueuedWork) -> bool:
        """Whether the bounds of the lane admit the work."""
        return (
            self.change_count + work.change_count <= MAX_LANE_CHANGES
            and self.size_bytes + work.size_bytes <= MAX_LANE_BYTES
        )

    def push(self, work: _QueuedWork) -> None:
        """Appends work at the end of the queue."""
        self.queue.append(work)
        self.change_count += work.change_count
        self.size_bytes += work.size_bytes

    def pop(self) -> None:
        """Removes the work at the head of the queue."""
        work = self.queue.popleft()
        self.change_count -= work.change_count
        self.size_bytes -= work.size_bytes


class Store:
    """One directory, from `open` to `close`.

    All other methods return at once and may be called on any thread.
    """

    def __init__(
        self,
        directory: str,
        call_soon_threadsafe: CallSoonThreadsafe,
        file_system: FileSystem | None = None,
        urgent_tables: frozenset[str] = frozenset(),
        wall_clock_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """`urgent_tables` are written before everything else."""
        self.engine = Engine(file_system or LocalFileSystem(), directory, wall_clock_ms)
        self._call_soon_threadsafe, self._urgent_tables = call_soon_threadsafe, urgent_tables
        self._urgent_lane, self._normal_lane = self._lanes = (_Lane(), _Lane())
        self._condition = threading.Condition()
        self._thread: threading.Thread | None = None
        self._is_closing = False
        self._last_error: StoreFileError | None = None
        self._rejected_changes = self._commit_count = self._failure_count = 0
        self._commit_started_s = 0.0  # monotonic; 0: no commit is running
        self._commits_singly = False  # one request per commit, to find the invalid one

    def open(self) -> OpenResult:
        """Locks the directory and loads it. Raises StoreFileError.

        It blocks, so it must not be called on the event loop. It waits for no sync: the first write begins
        this start's generation, and `status` reports a failure of that.
        """
        deadline_s = time.monotonic() + LOCK_WAIT_TIMEOUT_S
        while True:
            try:
                result = self.engine.open()
                break
            except StoreFileError as error:
                if error.kind is not FaultKind.LOCKED or time.monotonic() > deadline_s:
                    raise
                time.sleep(LOCK_POLL_INTERVAL_S)
        self._thread = threading.Thread(target=self._run_writer, name="store", daemon=True)
        self._thread.start()
        return result

    def close(self, timeout_s: float = 2.0) -> int:
        """Writes queued changes until the timeout and closes; returns how many are unwritten. Blocks."""
        with self._condition:
            self._is_closing = True
            self._condition.notify()
        if self._thread is not None:
            self._thread.join(timeout_s)
            if self._thread.is_alive():  # the disk hangs: the kernel releases the lock when the process ends
                return max(1, self._queued_changes())
        self.engine.close()
        return self._queued_changes()

    # --- requests ---

    def put(self, table: str, key: str, value: object, on_durable: DurableCallback | None = None) -> None:
        """Sets a key; raises WriteQueueFullError, ValueError."""
        self.write([Put(table, key, msgspec.msgpack.encode(value))], on_durable)

    def delete(self, table: str, key: str, on_durable: DurableCallback | None = None) -> None:
        """Removes a key; raises WriteQueueFullError, ValueError."""
        self.write([Delete(table, key)], on_durable)

    def write(self, changes: Sequence[Change], on_durable: DurableCallback | None = None) -> None:
        """Queues changes for one atomic commit. Raises WriteQueueFullError.

        Raises ValueError for an invalid key, a value over MAX_VALUE_BYTES, and tables of both lanes.
        """
        if not changes:
            raise ValueError("no changes to write")
        urgencies = {change.table in self._urgent_tables for change in changes}
        if len(urgencies) > 1:
            raise ValueError("urgent and normal tables in one commit")
        size_bytes = sum(_checked_change_size_bytes(change) for change in changes)
        lane = self._urgent_lane if urgencies.pop() else self._normal_lane
        self._enqueue(lane, _QueuedCommit(changes, on_durable, size_bytes, len(changes)))

    def append(self, journal: str, record: object, on_durable: DurableCallback | None = None) -> None:
        """Appends a record to a journal; raises WriteQueueFullError, ValueError."""
        if not TABLE_NAME_PATTERN.fullmatch(journal):
            raise ValueError(f"invalid journal name: {journal!r:.60}")
        packed = msgspec.msgpack.encode(record)
        work = _QueuedAppend(journal, packed, on_durable, _checked_size_bytes(packed))
        self._enqueue(self._normal_lane, work)

    def items(self, table: str) -> dict[str, bytes]:
        """The durable rows of a table, values as MessagePack. Too slow for the event loop if it is long."""
        rows = self.engine.tables.get(table)
        return {} if rows is None else {key: row.value for key, row in rows.copy().items()}

    def get(self, table: str, key: str) -> bytes | None:
        """The durable value of a key as MessagePack; None if there is none."""
        row = self.engine.tables.get(table, {}).get(key)
        return None if row is None else row.value

    def read_journal(
        self, journal: str, position: int, count: int, on_read: Callable[[list[JournalRecord]], None]
    ) -> None:
        """Reads up to `count` durable records from `position` on; raises WriteQueueFullError."""

        def read(engine: Engine) -> Callable[[], None]:
            records = engine.read_journal(journal, position, count)
            return lambda: on_read(records)

        self._enqueue(self._normal_lane, _QueuedCall(read))

    def trim_journal(self, journal: str, before_ms: int = 0, max_bytes: int | None = None) -> None:
        """Removes old segments of a journal, see `Journal.trim`; raises WriteQueueFullError."""

        def trim(engine: Engine) -> None:
            engine.trim_journal(journal, before_ms, max_bytes)

        self._enqueue(self._normal_lane, _QueuedCall(trim))

    def begin_generation(self) -> None:
        """Writes all tables to a new file, which delays other writes; raises WriteQueueFullError."""
        self._enqueue(self._normal_lane, _QueuedCall(lambda engine: engine.begin_generation()))

    def status(self) -> StoreStatus:
        """The current state for reports and logs."""
        commit_started_s, last_error = self._commit_started_s, self._last_error
        commit_duration_s = time.monotonic() - commit_started_s if commit_started_s else 0.0
        is_slow = commit_duration_s > SLOW_COMMIT_THRESHOLD_S
        return StoreStatus(
            fault=last_error.kind if last_error else None,
            reason=str(last_error or ""),
            queued_changes=self._queued_changes(),
            queued_bytes=sum(lane.size_bytes for lane in self._lanes),
            rejected_changes=self._rejected_changes,
            commit_count=self._commit_count,
            failure_count=self._failure_count,
            slow_commit_ms=int(commit_duration_s * 1000) if is_slow else 0,
        )

    def _queued_changes(self) -> int:
        return sum(lane.change_count for lane in self._lanes)

    def _enqueue(self, lane: _Lane, work: _QueuedWork) -> None:
        with self._condition:
            if self._is_closing or not lane.has_capacity_for(work):
                self._rejected_changes += work.change_count
                raise WriteQueueFullError(lane.change_count, self._is_closing)
            lane.push(work)
            self._condition.notify()

    # --- the writer thread ---

    def _run_writer(self) -> None:
        backoff_s = MIN_RETRY_BACKOFF_S
        while group := self._next_group():
            try:
                self._commit_started_s = time.monotonic()
                callbacks = self._execute_group(group)
            except Exception as error:  # one unexpected error must not end the writer thread
                self._record_failure(error)
                with self._condition:
                    if self._is_closing:
                        return
                    if isinstance(error, ValueError):
                        self._isolate_invalid_change(group)
                        continue
                    self._condition.wait_for(lambda: self._is_closing, backoff_s)
                backoff_s = min(2 * backoff_s, MAX_RETRY_BACKOFF_S)
                continue
            self._commit_started_s, self._last_error, backoff_s = 0.0, None, MIN_RETRY_BACKOFF_S
            self._commits_singly = False
            self._commit_count += 1
            self._notify(callbacks)

    def _record_failure(self, error: Exception) -> None:
        if not isinstance(error, StoreFileError):
            error = StoreFileError(FaultKind.IO_ERROR, self.engine.directory, repr(error))
        self._last_error, self._commit_started_s = error, 0.0
        self._failure_count += 1

    def _isolate_invalid_change(self, group: list[_QueuedWork]) -> None:
        """Rejects an invalid request; a group is first retried one request at a time to find it."""
        if self._commits_singly:
            self._dequeue_group(group)
            self._rejected_changes += group[0].change_count
        self._commits_singly = not self._commits_singly

    def _next_group(self) -> list[_QueuedWork]:
        """Waits for the work of one commit, which stays queued until it is durable; empty when closing."""
        with self._condition:
            while not any(lane.queue for lane in self._lanes):
                if self._is_closing:
                    return []
                self._condition.wait()
            lane = self._urgent_lane if self._urgent_lane.queue else self._normal_lane
            group: list[_QueuedWork] = []
            change_count = 0
            for work in lane.queue:
                if group and (
                    self._commits_singly
                    or change_count >= GROUP_COMMIT_CHANGES
                    or not _may_share_commit(group[0], work)
                ):
                    break
                group.append(work)
                change_count += work.change_count
            return group

    def _execute_group(self, group: list[_QueuedWork]) -> list[Callable[[], None]]:
        """Executes and dequeues a group; returns the callbacks for the event loop."""
        match group[0]:
            case _QueuedCall(engine_call=engine_call):
                callback = engine_call(self.engine)
                callbacks = [] if callback is None else [callback]
            case _QueuedAppend(journal=journal):
                appends = [work for work in group if isinstance(work, _QueuedAppend)]
                position = self.engine.append(journal, [work.record for work in appends])
                callbacks = [
                    _bind_callback(work.on_durable, position + index)
                    for index, work in enumerate(appends)
                    if work.on_durable is not None
                ]
            case _QueuedCommit():
                commits = [work for work in group if isinstance(work, _QueuedCommit)]
                sequence_number = self.engine.commit([change for work in commits for change in work.changes])
                callbacks = [
                    _bind_callback(work.on_durable, sequence_number)
                    for work in commits
                    if work.on_durable is not None
                ]
        with self._condition:
            self._dequeue_group(group)
        return callbacks

    def _dequeue_group(self, group: list[_QueuedWork]) -> None:
        urgent = self._urgent_lane
        lane = urgent if urgent.queue and urgent.queue[0] is group[0] else self._normal_lane
        for _ in group:
            lane.pop()

    def _notify(self, callbacks: list[Callable[[], None]]) -> None:
        try:
            for start in range(0, len(callbacks), CALLBACKS_PER_LOOP_TURN):
                self._call_soon_threadsafe(_run_all(callbacks[start : start + CALLBACKS_PER_LOOP_TURN]))
        except RuntimeError:  # the event loop is closed: no one waits for the callbacks
            pass


def _may_share_commit(first: _QueuedWork, other: _QueuedWork) -> bool:
    match first, other:
        case _QueuedCommit(), _QueuedCommit():
            return True
        case _QueuedAppend(journal=journal), _QueuedAppend(journal=other_journal):
            return journal == other_journal
        case _:
            return False


def _bind_callback(on_durable: DurableCallback, value: int) -> Callable[[], None]:
    return lambda: on_durable(value)


def _run_all(callbacks: list[Callable[[], None]]) -> Callable[[], None]:
    def run() -> None:
        for callback in callbacks:
            callback()

    return run


def _checked_change_size_bytes(change: Change) -> int:
    """Size of a change in its lane; raises ValueError for an invalid key or a value that is too long."""
    is_valid_key = 0 < len(change.key) <= MAX_KEY_LENGTH and "\0" not in change.key
    if not is_valid_key or not TABLE_NAME_PATTERN.fullmatch(change.table):
        raise ValueError(f"invalid table or key: {change.table!r:.60}, {change.key!r:.120}")
    return len(change.key) + _checked_size_bytes(change.value) if isinstance(change, Put) else 0


def _checked_size_bytes(value: bytes) -> int:
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"a value of {len(value)} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes")
    return len(value)
