"""What an etcd cluster holds, pure: keys with their history, compaction, leases; the clock is given to it.

The rules are those of etcd 3.4 (its documentation, "Data model" and "API"), and what 3.4.23 was seen to
do; tests/testbed/test_etcd_gateway.py names which. Two of them are easy to miss:

- A compaction at R drops a delete that happened at R itself, and a watch from R on is still let in: it
  never hears of that delete. Later releases of etcd mended it; 3.4.23 does this.
- A txn is one revision, whatever it holds, and names no key twice in what it writes.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

INVALID, NOT_FOUND, PRECONDITION, OUT_OF_RANGE = 3, 5, 9, 11  # gRPC's codes, as etcd uses them

MAX_OPS = 128  # in a txn; etcd's --max-txn-ops
MAX_BYTES = 1_572_864  # of keys and values in a request; etcd's --max-request-bytes
MAX_TTL_S = 9_000_000_000
KEPT = 100_000  # revisions that stay readable for a member that lags behind a compaction


class StoreError(Exception):
    """What etcd answers instead: its words and gRPC's code."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.message, self.code = message, code


def no_key() -> StoreError:
    """A request without a key."""
    return StoreError("etcdserver: key is not provided", INVALID)


def compacted() -> StoreError:
    """The revision is gone."""
    return StoreError("etcdserver: mvcc: required revision has been compacted", OUT_OF_RANGE)


def future() -> StoreError:
    """The revision is yet to come."""
    return StoreError("etcdserver: mvcc: required revision is a future revision", OUT_OF_RANGE)


def no_lease() -> StoreError:
    """There is no such lease, or no more."""
    return StoreError("etcdserver: requested lease not found", NOT_FOUND)


@dataclass(slots=True, frozen=True)
class KeyValue:
    """One version of a key. A delete is version 0, with nothing but the key and its revision."""

    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Event:
    """A change, as a watch tells it."""

    now: KeyValue
    before: KeyValue | None

    @property
    def deleted(self) -> bool:
        """Whether the key is gone by it."""
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
    r"""Delete a key, or all from it to before `end` (b"\0": all from it on)."""

    key: bytes
    end: bytes = b""
    prev_kv: bool = False


@dataclass(slots=True, frozen=True)
class Range:
    """Read a key, or all from it to before `end`; `revision` and `limit` of 0 mean now and all."""

    key: bytes
    end: bytes = b""
    revision: int = 0
    limit: int = 0
    count_only: bool = False
    keys_only: bool = False
    descending: bool = False


@dataclass(slots=True, frozen=True)
class Found:
    """What a range found: in key order, `more` when cut off by its limit, `count` without the limit."""

    kvs: tuple[KeyValue, ...]
    more: bool
    count: int


@dataclass(slots=True, frozen=True)
class Changed:
    """What a put or a delete replaced, and how many keys a delete deleted."""

    before: tuple[KeyValue, ...]
    deleted: int = 0


class Target(Enum):
    """What a txn compares."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


@dataclass(slots=True, frozen=True)
class Compare:
    """A txn's condition: `=`, `!`, `<` or `>`. A key that is not there has zeros, and no value at all.

    `want` is bytes for a value, a number for all else.
    """

    key: bytes
    target: Target
    sign: str
    want: int | bytes

    def holds(self, kv: KeyValue | None) -> bool:
        """Whether it does for this version of the key."""
        if kv is None and self.target is Target.VALUE:
            return False
        kv = kv or KeyValue(self.key, b"", 0, 0, 0)
        if isinstance(self.want, bytes):
            return _sign(self.sign, (kv.value > self.want) - (kv.value < self.want))
        numbers = {
            Target.VERSION: kv.version,
            Target.CREATE: kv.created,
            Target.MOD: kv.modified,
            Target.LEASE: kv.lease,
        }
        return _sign(self.sign, numbers[self.target] - self.want)


def _sign(sign: str, order: int) -> bool:
    return {"=": order == 0, "!": order != 0, "<": order < 0, ">": order > 0}[sign]


Op = Put | Delete | Range
Result = Changed | Found


@dataclass(slots=True)
class Lease:
    """A promise that ends `ttl_s` after it was last kept alive, and takes its keys with it."""

    id: int
    ttl_s: int
    ends_ms: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class Backup:
    """All that a store held at one moment. It does not change any more."""

    revision: int
    compactions: tuple[tuple[int, int], ...]
    dropped: int
    versions: dict[bytes, tuple[KeyValue, ...]]
    history: dict[int, tuple[Event, ...]]
    leases: tuple[tuple[int, int, frozenset[bytes]], ...]


def inside(key: bytes, first: bytes, end: bytes) -> bool:
    """Whether `key` lies in a range as etcd writes it."""
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


class Store:
    """The keys, and every change since the last compaction.

    `now_ms` is asked for the time of leases only. `least_ttl_s` is what a shorter TTL is raised to: etcd
    takes 1.5 times its election timeout, in whole seconds. What is held grows with the changes since the
    last compaction, and for up to `KEPT` revisions beyond, which a lagging member may still be reading.
    """

    def __init__(self, now_ms: Callable[[], float], least_ttl_s: int = 2) -> None:
        self.now_ms, self.least_ttl_s = now_ms, least_ttl_s
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self._compactions: list[tuple[int, int]] = []  # (revision when done, revision up to which)
        self._dropped = 0  # below this nothing is left, not even for who lags
        self._versions: dict[bytes, list[KeyValue]] = {}
        self._keys: list[bytes] = []  # all of `_versions`, in order
        self._history: dict[int, tuple[Event, ...]] = {}
        self._next_lease = 7_587_000_000_000_000_000

    # --- reading

    def compacted_at(self, view: int) -> int:
        """Up to which revision someone who knows what happened up to `view` has compacted; 0 for none."""
        return max((to for when, to in self._compactions if when <= view), default=0)

    @property
    def compacted(self) -> int:
        """The revision of the last compaction; 0 for none."""
        return self.compacted_at(self.revision)

    def get(self, key: bytes, view: int) -> KeyValue | None:
        """The key as it was at a revision."""
        versions = self._versions.get(key, [])
        at = bisect_right(versions, view, key=lambda kv: kv.modified)
        return versions[at - 1] if at and versions[at - 1].version else None

    def range(self, ask: Range, view: int | None = None) -> Found:
        """Read, as someone who knows only what happened up to `view` does. Raises StoreError."""
        if not ask.key:
            raise no_key()
        view = self.revision if view is None else view
        if ask.revision > view:
            raise future()
        if 0 < ask.revision < self.compacted_at(view) or view < self._dropped:
            raise compacted()
        at = ask.revision if ask.revision > 0 else view
        if ask.end:
            first = bisect_left(self._keys, ask.key)
            last = len(self._keys) if ask.end == b"\0" else bisect_left(self._keys, ask.end)
            found = [kv for key in self._keys[first:last] if (kv := self.get(key, at)) is not None]
        else:
            found = [kv for kv in (self.get(ask.key, at),) if kv is not None]
        count = len(found)
        if ask.count_only:
            return Found((), False, count)
        if ask.descending:
            found.reverse()
        more = 0 < ask.limit < count
        kvs = found[: ask.limit] if more else found
        if ask.keys_only:
            kvs = [KeyValue(kv.key, b"", kv.created, kv.modified, kv.version, kv.lease) for kv in kvs]
        return Found(tuple(kvs), more, count)

    def events(self, first: int, view: int, *, live: bool = False) -> Iterator[tuple[int, tuple[Event, ...]]]:
        """What happened from revision `first` up to `view`, one revision at a time.

        A delete at the very revision of a compaction is not among it (see above), but for who is told `live`:
        a member that was behind does one thing after the other, and the compaction came later.
        """
        gone = 0 if live else self.compacted_at(view)
        for revision in range(max(first, 2), view + 1):
            events = self._history.get(revision, ())
            if revision <= gone:
                events = tuple(event for event in events if not event.deleted)
            if events:
                yield revision, events

    # --- writing

    def put(self, key: bytes, value: bytes, lease: int = 0) -> int:
        """Set one key; the new revision."""
        self.txn((), (Put(key, value, lease),), ())
        return self.revision

    def delete(self, key: bytes, end: bytes = b"") -> int:
        """Delete a key or a range; how many there were. Where there was none, the revision stays."""
        _, (result,) = self.txn((), (Delete(key, end),), ())
        assert isinstance(result, Changed)
        return result.deleted

    def txn(
        self, conditions: Sequence[Compare], then: Sequence[Op], otherwise: Sequence[Op]
    ) -> tuple[bool, tuple[Result, ...]]:
        """All of `then` where every condition holds, else all of `otherwise`, as one revision.

        Raises StoreError before anything is changed.
        """
        for ops in (then, otherwise):
            self._check(ops)
        good = all(one.holds(self.get(one.key, self.revision)) for one in conditions)
        ops = then if good else otherwise
        for op in ops:
            if isinstance(op, Range) and op.revision > self.revision:
                raise future()
            if isinstance(op, Range) and 0 < op.revision < self.compacted:
                raise compacted()
            if isinstance(op, Put) and op.lease and op.lease not in self.leases:
                raise no_lease()
        events: list[Event] = []
        results = tuple(self._apply(op, events) for op in ops)
        self._commit(events)
        return good, results

    def _check(self, ops: Sequence[Op]) -> None:
        if len(ops) > MAX_OPS:
            raise StoreError("etcdserver: too many operations in txn request", INVALID)
        if any(not op.key for op in ops):
            raise no_key()
        puts = [op for op in ops if isinstance(op, Put)]
        if sum(len(op.key) + len(op.value) for op in puts) > MAX_BYTES:
            raise StoreError("etcdserver: request is too large", INVALID)
        deletes = [op for op in ops if isinstance(op, Delete)]
        keys = {op.key for op in puts}
        if len(keys) < len(puts) or any(inside(key, op.key, op.end) for key in keys for op in deletes):
            raise StoreError("etcdserver: duplicate key given in txn request", INVALID)

    def _apply(self, op: Op, events: list[Event]) -> Result:
        """Do it at the next revision, which is not over until `_commit`."""
        new = self.revision + 1
        if isinstance(op, Range):
            return self.range(op, new if events else self.revision)
        if isinstance(op, Put):
            before = self.get(op.key, new)
            version = before.version + 1 if before else 1
            now = KeyValue(op.key, op.value, before.created if before else new, new, version, op.lease)
            self._set(now, before, events)
            return Changed((before,) if before else ())
        gone = self.range(Range(op.key, op.end), new if events else self.revision).kvs
        for kv in gone:
            self._set(KeyValue(kv.key, b"", 0, new, 0), kv, events)
        return Changed(gone, len(gone))

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
        """Forget what was before a revision, but for what still held at it. Raises StoreError."""
        if revision > self.revision:
            raise future()
        if revision <= self.compacted:
            raise compacted()
        self._compactions.append((self.revision, revision))
        del self._compactions[:-100]  # of those that are below it, only who lags far behind still knows
        self._drop(min(revision, self.revision - KEPT))

    def _drop(self, revision: int) -> None:
        """Guards against a store that grows for ever: compacted and old enough, it is not kept for anyone."""
        if revision <= self._dropped:
            return
        for old in range(self._dropped, revision):
            self._history.pop(old, None)
        self._dropped = revision
        for key in list(self._keys):
            versions = self._versions[key]
            at = bisect_right(versions, revision, key=lambda kv: kv.modified)
            keep = at - 1 if at and versions[at - 1].version else at
            del versions[:keep]
            if not versions:
                del self._versions[key]
        self._keys = sorted(self._versions)

    # --- leases

    def grant(self, ttl_s: int, lease: int = 0) -> Lease:
        """A new lease, under an id of one's own or the next. Raises StoreError."""
        if ttl_s > MAX_TTL_S:
            raise StoreError("etcdserver: too large lease TTL", OUT_OF_RANGE)
        if lease in self.leases:
            raise StoreError("etcdserver: lease already exists", PRECONDITION)
        if not lease:
            self._next_lease += 2
            lease = self._next_lease
        ttl_s = max(ttl_s, self.least_ttl_s)
        self.leases[lease] = Lease(lease, ttl_s, self.now_ms() + 1000.0 * ttl_s)
        return self.leases[lease]

    def keep_alive(self, lease: int) -> int:
        """Begin its time anew; its TTL in seconds, or 0 where there is no such lease."""
        found = self.leases.get(lease)
        if found is None:
            return 0
        found.ends_ms = self.now_ms() + 1000.0 * found.ttl_s
        return found.ttl_s

    def revoke(self, lease: int) -> None:
        """End a lease: its keys go in one revision, in key order. Raises StoreError."""
        found = self.leases.pop(lease, None)
        if found is None:
            raise no_lease()
        events: list[Event] = []
        for key in sorted(found.keys):
            self._apply(Delete(key), events)
        self._commit(events)

    def expire(self) -> list[int]:
        """Revoke all leases whose time is over; their ids."""
        now = self.now_ms()
        over = [lease.id for lease in self.leases.values() if lease.ends_ms <= now]
        for lease in over:
            self.revoke(lease)
        return over

    def next_end_ms(self) -> float | None:
        """When the next lease ends, if no one keeps it alive."""
        return min((lease.ends_ms for lease in self.leases.values()), default=None)

    # --- backups

    def backup(self) -> Backup:
        """All of it, to be restored later."""
        leases = tuple((one.id, one.ttl_s, frozenset(one.keys)) for one in self.leases.values())
        versions = {key: tuple(kvs) for key, kvs in self._versions.items()}
        compactions = tuple(self._compactions)
        return Backup(self.revision, compactions, self._dropped, versions, dict(self._history), leases)

    def restore(self, backup: Backup) -> None:
        """Be as at the backup: the revision goes back, what came after it never was; leases begin anew."""
        self.revision, self._dropped = backup.revision, backup.dropped
        self._compactions = list(backup.compactions)
        self._versions = {key: list(kvs) for key, kvs in backup.versions.items()}
        self._keys = sorted(self._versions)
        self._history = dict(backup.history)
        now = self.now_ms()
        self.leases = {id: Lease(id, ttl, now + 1000.0 * ttl, set(keys)) for id, ttl, keys in backup.leases}
