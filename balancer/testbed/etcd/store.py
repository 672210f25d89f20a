"""The data of an etcd cluster: keys with their history, compaction and leases, without I/O.

The clock is injected. The rules follow the documentation of etcd 3.4 ("Data model" and "API") and the
observed behavior of 3.4.23; tests/testbed/test_etcd_gateway.py names the sources. Two are easy to miss:

- A compaction at R drops a delete at R itself, yet a watch from R on is still accepted and never receives
  that delete. Later releases of etcd fixed this; 3.4.23 behaves so.
- A txn is one revision, whatever it holds, and writes no key twice.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

INVALID_ARGUMENT, NOT_FOUND, FAILED_PRECONDITION, OUT_OF_RANGE = 3, 5, 9, 11  # gRPC status codes

MAX_TXN_OPERATIONS = 128  # in a txn; etcd's --max-txn-ops
MAX_REQUEST_BYTES = 1_572_864  # of keys and values in a request; etcd's --max-request-bytes
MAX_TTL_S = 9_000_000_000
LAGGING_READ_REVISIONS = 100_000  # revisions that stay readable for a member that lags behind a compaction


class StoreError(Exception):
    """An error response of etcd: its message and gRPC status code."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.message, self.code = message, code


def key_missing_error() -> StoreError:
    """Build the error for a request without a key."""
    return StoreError("etcdserver: key is not provided", INVALID_ARGUMENT)


def compacted_error() -> StoreError:
    """Build the error for a compacted revision."""
    return StoreError("etcdserver: mvcc: required revision has been compacted", OUT_OF_RANGE)


def future_revision_error() -> StoreError:
    """Build the error for a revision that does not exist yet."""
    return StoreError("etcdserver: mvcc: required revision is a future revision", OUT_OF_RANGE)


def lease_not_found_error() -> StoreError:
    """Build the error for a lease that does not exist."""
    return StoreError("etcdserver: requested lease not found", NOT_FOUND)


@dataclass(slots=True, frozen=True)
class KeyValue:
    """One version of a key. A delete has version 0 and only a key and its revision."""

    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Event:
    """A change of a key as a watch reports it."""

    now: KeyValue
    before: KeyValue | None

    @property
    def deleted(self) -> bool:
        """Whether the change deleted the key."""
        return not self.now.version


@dataclass(slots=True, frozen=True)
class Put:
    """Set a key."""

    key: bytes
    value: bytes = b""
    lease: int = 0
    prev_kv: bool = False


@dataclass(slots=True, frozen=True)
class Delete:
    r"""Delete a key, or all keys up to but excluding `end` (b"\0": no upper bound)."""

    key: bytes
    end: bytes = b""
    prev_kv: bool = False


@dataclass(slots=True, frozen=True)
class Range:
    """Read a key, or all up to but excluding `end`; 0 means the latest `revision` and no `limit`."""

    key: bytes
    end: bytes = b""
    revision: int = 0
    limit: int = 0
    count_only: bool = False
    keys_only: bool = False
    descending: bool = False


@dataclass(slots=True, frozen=True)
class Found:
    """The result of a range read: `more` is set if the limit cut it off, `count` ignores the limit."""

    kvs: tuple[KeyValue, ...]
    more: bool
    count: int


@dataclass(slots=True, frozen=True)
class Changed:
    """The versions that a put or delete replaced, and the number of keys deleted."""

    before: tuple[KeyValue, ...]
    deleted: int = 0


class Target(Enum):
    """The field that a txn condition compares."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


@dataclass(slots=True, frozen=True)
class Compare:
    """A txn condition with the operator `=`, `!`, `<` or `>`.

    For a missing key all numbers are zero and value comparisons fail. `operand` is bytes for a value and a
    number for all other targets.
    """

    key: bytes
    target: Target
    operator: str
    operand: int | bytes

    def holds(self, kv: KeyValue | None) -> bool:
        """Whether the condition holds for this version of the key."""
        if kv is None and self.target is Target.VALUE:
            return False
        kv = kv or KeyValue(self.key, b"", 0, 0, 0)
        if isinstance(self.operand, bytes):
            return _compare(self.operator, (kv.value > self.operand) - (kv.value < self.operand))
        numbers = {
            Target.VERSION: kv.version,
            Target.CREATE: kv.created,
            Target.MOD: kv.modified,
            Target.LEASE: kv.lease,
        }
        return _compare(self.operator, numbers[self.target] - self.operand)


def _compare(operator: str, order: int) -> bool:
    return {"=": order == 0, "!": order != 0, "<": order < 0, ">": order > 0}[operator]


Op = Put | Delete | Range
Result = Changed | Found


@dataclass(slots=True)
class Lease:
    """A lease that expires `ttl_s` after its last keep-alive, which deletes its keys."""

    id: int
    ttl_s: int
    expires_ms: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class Backup:
    """An immutable snapshot of a store."""

    revision: int
    compactions: tuple[tuple[int, int], ...]
    dropped: int
    versions: dict[bytes, tuple[KeyValue, ...]]
    history: dict[int, tuple[Event, ...]]
    leases: tuple[tuple[int, int, frozenset[bytes]], ...]


def inside(key: bytes, first: bytes, end: bytes) -> bool:
    """Whether `key` lies in the range of an etcd request."""
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


class Store:
    """The keys and every change since the last compaction.

    `now_ms` is used only for leases. A TTL below `min_ttl_s` is raised to it; etcd uses 1.5 times its
    election timeout in whole seconds. Memory grows with the changes since the last compaction, plus up to
    `LAGGING_READ_REVISIONS` earlier revisions that a lagging member may still read.
    """

    def __init__(self, now_ms: Callable[[], float], min_ttl_s: int = 2) -> None:
        self.now_ms, self.min_ttl_s = now_ms, min_ttl_s
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self._compactions: list[tuple[int, int]] = []  # (revision when done, compacted revision)
        self._dropped = 0  # history below this revision is gone, even for lagging members
        self._versions: dict[bytes, list[KeyValue]] = {}
        self._keys: list[bytes] = []  # the keys of `_versions`, sorted
        self._history: dict[int, tuple[Event, ...]] = {}
        self._next_lease = 7_587_000_000_000_000_000

    # --- reads

    def compacted_at(self, view: int) -> int:
        """Return the compacted revision as known at revision `view`; 0 if there is none."""
        return max((to for when, to in self._compactions if when <= view), default=0)

    @property
    def compacted(self) -> int:
        """The revision of the last compaction; 0 if there is none."""
        return self.compacted_at(self.revision)

    def get(self, key: bytes, view: int) -> KeyValue | None:
        """Return a key as of revision `view`, or None if it did not exist."""
        versions = self._versions.get(key, [])
        position = bisect_right(versions, view, key=lambda kv: kv.modified)
        return versions[position - 1] if position and versions[position - 1].version else None

    def range(self, request: Range, view: int | None = None) -> Found:
        """Read a range as a member that has applied revisions up to `view`. Raises StoreError."""
        if not request.key:
            raise key_missing_error()
        view = self.revision if view is None else view
        if request.revision > view:
            raise future_revision_error()
        if 0 < request.revision < self.compacted_at(view) or view < self._dropped:
            raise compacted_error()
        read_revision = request.revision if request.revision > 0 else view
        if request.end:
            first = bisect_left(self._keys, request.key)
            last = len(self._keys) if request.end == b"\0" else bisect_left(self._keys, request.end)
            found = [kv for key in self._keys[first:last] if (kv := self.get(key, read_revision)) is not None]
        else:
            found = [kv for kv in (self.get(request.key, read_revision),) if kv is not None]
        count = len(found)
        if request.count_only:
            return Found((), False, count)
        if request.descending:
            found.reverse()
        more = 0 < request.limit < count
        kvs = found[: request.limit] if more else found
        if request.keys_only:
            kvs = [KeyValue(kv.key, b"", kv.created, kv.modified, kv.version, kv.lease) for kv in kvs]
        return Found(tuple(kvs), more, count)

    def events(self, first: int, view: int, *, live: bool = False) -> Iterator[tuple[int, tuple[Event, ...]]]:
        """Yield the events from revision `first` up to `view`, grouped by revision.

        A delete at the compacted revision itself is left out (see the module docstring), except for `live`
        watches: a lagging member applies changes in order, and the compaction came later.
        """
        compacted_revision = 0 if live else self.compacted_at(view)
        for revision in range(max(first, 2), view + 1):
            events = self._history.get(revision, ())
            if revision <= compacted_revision:
                events = tuple(event for event in events if not event.deleted)
            if events:
                yield revision, events

    # --- writes

    def put(self, key: bytes, value: bytes, lease: int = 0) -> int:
        """Set one key and return the new revision."""
        self.txn((), (Put(key, value, lease),), ())
        return self.revision

    def delete(self, key: bytes, end: bytes = b"") -> int:
        """Delete a key or range and return the number of keys; with none the revision stays the same."""
        _, (result,) = self.txn((), (Delete(key, end),), ())
        assert isinstance(result, Changed)
        return result.deleted

    def txn(
        self, conditions: Sequence[Compare], success_ops: Sequence[Op], failure_ops: Sequence[Op]
    ) -> tuple[bool, tuple[Result, ...]]:
        """Apply `success_ops` if every condition holds, else `failure_ops`, as one revision.

        Raises StoreError before anything is changed.
        """
        for ops in (success_ops, failure_ops):
            self._validate(ops)
        succeeded = all(one.holds(self.get(one.key, self.revision)) for one in conditions)
        ops = success_ops if succeeded else failure_ops
        for op in ops:
            if isinstance(op, Range) and op.revision > self.revision:
                raise future_revision_error()
            if isinstance(op, Range) and 0 < op.revision < self.compacted:
                raise compacted_error()
            if isinstance(op, Put) and op.lease and op.lease not in self.leases:
                raise lease_not_found_error()
        events: list[Event] = []
        results = tuple(self._apply(op, events) for op in ops)
        self._commit(events)
        return succeeded, results

    def _validate(self, ops: Sequence[Op]) -> None:
        if len(ops) > MAX_TXN_OPERATIONS:
            raise StoreError("etcdserver: too many operations in txn request", INVALID_ARGUMENT)
        if any(not op.key for op in ops):
            raise key_missing_error()
        puts = [op for op in ops if isinstance(op, Put)]
        if sum(len(op.key) + len(op.value) for op in puts) > MAX_REQUEST_BYTES:
            raise StoreError("etcdserver: request is too large", INVALID_ARGUMENT)
        deletes = [op for op in ops if isinstance(op, Delete)]
        keys = {op.key for op in puts}
        if len(keys) < len(puts) or any(inside(key, op.key, op.end) for key in keys for op in deletes):
            raise StoreError("etcdserver: duplicate key given in txn request", INVALID_ARGUMENT)

    def _apply(self, op: Op, events: list[Event]) -> Result:
        """Apply an operation at the next revision, which ends with `_commit`."""
        new = self.revision + 1
        if isinstance(op, Range):
            return self.range(op, new if events else self.revision)
        if isinstance(op, Put):
            before = self.get(op.key, new)
            version = before.version + 1 if before else 1
            now = KeyValue(op.key, op.value, before.created if before else new, new, version, op.lease)
            self._set(now, before, events)
            return Changed((before,) if before else ())
        existing = self.range(Range(op.key, op.end), new if events else self.revision).kvs
        for kv in existing:
            self._set(KeyValue(kv.key, b"", 0, new, 0), kv, events)
        return Changed(existing, len(existing))

    def _set(self, now: KeyValue, before: KeyValue | None, events: list[Event]) -> None:
        if now.key not in self._versions:
            self._versions[now.key] = []
            insort(self._keys, now.key)
        self._versions[now.key].append(now)
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(now.key)
        if now.lease:
            self.leases[now.lease].keys.add(now.key)
        events.append(Event(now, before))

    def _commit(self, events: list[Event]) -> None:
        if events:
            self.revision += 1
            self._history[self.revision] = tuple(events)

    def compact(self, revision: int) -> None:
        """Compact the history before a revision, except versions live at it. Raises StoreError."""
        if revision > self.revision:
            raise future_revision_error()
        if revision <= self.compacted:
            raise compacted_error()
        self._compactions.append((self.revision, revision))
        del self._compactions[:-100]  # older ones matter only to members that lag far behind
        self._drop(min(revision, self.revision - LAGGING_READ_REVISIONS))

    def _drop(self, revision: int) -> None:
        """Drop compacted history that is too old for any lagging member, which bounds memory."""
        if revision <= self._dropped:
            return
        for old in range(self._dropped, revision):
            self._history.pop(old, None)
        self._dropped = revision
        for key in list(self._keys):
            versions = self._versions[key]
            position = bisect_right(versions, revision, key=lambda kv: kv.modified)
            keep = position - 1 if position and versions[position - 1].version else position
            del versions[:keep]
            if not versions:
                del self._versions[key]
        self._keys = sorted(self._versions)

    # --- leases

    def grant(self, ttl_s: int, lease: int = 0) -> Lease:
        """Grant a lease under the given id or the next free one. Raises StoreError."""
        if ttl_s > MAX_TTL_S:
            raise StoreError("etcdserver: too large lease TTL", OUT_OF_RANGE)
        if lease in self.leases:
            raise StoreError("etcdserver: lease already exists", FAILED_PRECONDITION)
        if not lease:
            self._next_lease += 2
            lease = self._next_lease
        ttl_s = max(ttl_s, self.min_ttl_s)
        self.leases[lease] = Lease(lease, ttl_s, self.now_ms() + 1000.0 * ttl_s)
        return self.leases[lease]

    def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its TTL in seconds, or 0 if it does not exist."""
        found = self.leases.get(lease)
        if found is None:
            return 0
        found.expires_ms = self.now_ms() + 1000.0 * found.ttl_s
        return found.ttl_s

    def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys in one revision, in key order. Raises StoreError."""
        found = self.leases.pop(lease, None)
        if found is None:
            raise lease_not_found_error()
        events: list[Event] = []
        for key in sorted(found.keys):
            self._apply(Delete(key), events)
        self._commit(events)

    def expire(self) -> list[int]:
        """Revoke all expired leases and return their ids."""
        now = self.now_ms()
        expired = [lease.id for lease in self.leases.values() if lease.expires_ms <= now]
        for lease in expired:
            self.revoke(lease)
        return expired

    def next_expiry_ms(self) -> float | None:
        """Return the time of the next lease expiry in ms, or None without leases."""
        return min((lease.expires_ms for lease in self.leases.values()), default=None)

    # --- backups

    def backup(self) -> Backup:
        """Return a snapshot for `restore`."""
        leases = tuple((one.id, one.ttl_s, frozenset(one.keys)) for one in self.leases.values())
        versions = {key: tuple(kvs) for key, kvs in self._versions.items()}
        compactions = tuple(self._compactions)
        return Backup(self.revision, compactions, self._dropped, versions, dict(self._history), leases)

    def restore(self, backup: Backup) -> None:
        """Return to a backup: later revisions are discarded and leases restart with their full TTL."""
        self.revision, self._dropped = backup.revision, backup.dropped
        self._compactions = list(backup.compactions)
        self._versions = {key: list(kvs) for key, kvs in backup.versions.items()}
        self._keys = sorted(self._versions)
        self._history = dict(backup.history)
        now = self.now_ms()
        self.leases = {id: Lease(id, ttl, now + 1000.0 * ttl, set(keys)) for id, ttl, keys in backup.leases}
