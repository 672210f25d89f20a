"""Tests of the etcd emulator's store, partly against a simple reference model."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.testbed.etcd import store as mvcc
from balancer.testbed.etcd.store import (
    Compare,
    Delete,
    Found,
    KeyValue,
    Put,
    Range,
    Store,
    StoreError,
    Target,
)


class Clock:
    """A clock that advances only when set."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def fresh() -> tuple[Store, Clock]:
    clock = Clock()
    return Store(clock), clock


KEYS = st.sampled_from([b"a", b"a/1", b"a/2", b"b", b"\x00", b"\xff"])
ENDS = st.sampled_from([b"", b"\x00", b"a0", b"b", b"c"])
PUTS = st.builds(Put, KEYS, st.sampled_from([b"", b"x", b"y"]))
DELETES = st.builds(Delete, KEYS, ENDS)
STEPS = st.lists(
    st.one_of(
        st.lists(st.one_of(PUTS, DELETES), min_size=1, max_size=4),
        st.integers(1, 12),  # compact at this revision
    ),
    max_size=14,
)


class Model:
    """A reference model that keeps every state completely."""

    def __init__(self) -> None:
        self.states: list[dict[bytes, KeyValue]] = [{}, {}]  # by revision; revision 1 is empty
        self.compacted = 0

    def txn(self, ops: list[Put | Delete]) -> bool:
        """Apply operations and return whether they were accepted."""
        puts = [op.key for op in ops if isinstance(op, Put)]
        dels = [op for op in ops if isinstance(op, Delete)]
        if len(set(puts)) < len(puts) or any(mvcc.inside(key, op.key, op.end) for key in puts for op in dels):
            return False
        state, revision, changed = dict(self.states[-1]), len(self.states), False
        for op in ops:
            if isinstance(op, Put):
                old = state.get(op.key)
                since, version = (old.created, old.version + 1) if old else (revision, 1)
                state[op.key] = KeyValue(op.key, op.value, since, revision, version)
                changed = True
            else:
                for key in [key for key in state if mvcc.inside(key, op.key, op.end)]:
                    del state[key]
                    changed = True
        if changed:
            self.states.append(state)
        return True


@given(STEPS, KEYS, ENDS, st.integers(0, 4))
@settings(deadline=None, max_examples=200)
def test_is_as_the_model_at_every_revision(
    steps: list[list[Put | Delete] | int], key: bytes, end: bytes, limit: int
) -> None:
    store, model = fresh()[0], Model()
    for step in steps:
        if isinstance(step, int):
            good = model.compacted < step < len(model.states)
            if good:
                model.compacted = step
                store.compact(step)
            else:
                with pytest.raises(StoreError) as err:
                    store.compact(step)
                assert err.value.code == mvcc.OUT_OF_RANGE
        elif model.txn(step):
            store.txn((), step, ())
        else:
            with pytest.raises(StoreError, match="duplicate key"):
                store.txn((), step, ())
    assert store.revision == len(model.states) - 1
    for revision, state in enumerate(model.states):
        if not revision:
            continue
        if revision < model.compacted:
            with pytest.raises(StoreError, match="compacted"):
                store.range(Range(key, end, revision))
            continue
        want = [state[name] for name in sorted(state) if mvcc.inside(name, key, end)]
        got = store.range(Range(key, end, revision, limit))
        assert got == Found(tuple(want[: limit or None]), bool(limit) and limit < len(want), len(want))
        down = store.range(Range(key, end, revision, limit, descending=True))
        assert down.kvs == tuple(want[::-1][: limit or None])
        assert store.range(Range(key, end, revision, count_only=True)) == Found((), False, len(want))
    with pytest.raises(StoreError, match="future"):
        store.range(Range(key, end, store.revision + 1))


@given(STEPS, st.integers(1, 12))
@settings(deadline=None, max_examples=200)
def test_events_lead_from_a_range_to_any_later_state(
    steps: list[list[Put | Delete] | int], start: int
) -> None:
    store, model = fresh()[0], Model()
    for step in steps:
        if isinstance(step, list) and model.txn(step):
            store.txn((), step, ())
    start = min(start, store.revision)
    state = dict(model.states[start])
    for revision, events in store.events(start + 1, store.revision):
        assert events and len({event.now.key for event in events}) == len(events)
        for event in events:
            assert event.now.modified == revision
            assert event.before == state.get(event.now.key)
            if event.deleted:
                del state[event.now.key]
            else:
                state[event.now.key] = event.now
        assert state == model.states[revision]
    assert state == model.states[-1]


def test_events_after_compaction_omit_delete_at_compacted_revision() -> None:
    store, _ = fresh()
    store.put(b"a", b"1")  # 2
    store.put(b"b", b"1")  # 3
    store.delete(b"a")  # 4
    assert [revision for revision, _ in store.events(4, store.revision)] == [4]
    store.compact(4)
    assert list(store.events(4, store.revision)) == []
    store.put(b"c", b"1")
    assert [revision for revision, _ in store.events(4, store.revision)] == [5]


def test_range_at_lagging_view_ignores_later_compaction() -> None:
    store, _ = fresh()
    for _ in range(5):
        store.put(b"a", b"1")
    store.compact(5)  # at revision 6
    assert (store.compacted_at(5), store.compacted_at(6)) == (0, 5)
    assert store.range(Range(b"a", revision=3), view=5).kvs[0].version == 2
    with pytest.raises(StoreError, match="compacted"):
        store.range(Range(b"a", revision=3), view=6)
    assert [revision for revision, _ in store.events(2, 5)] == [2, 3, 4, 5]


def test_store_after_compaction_drops_old_history(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mvcc, "LAGGING_READ_REVISIONS", 3)
    store, _ = fresh()
    for index in range(20):
        store.put(b"a", b"%d" % index)
        store.put(b"gone", b"")
        store.delete(b"gone")
    store.compact(60)
    assert sum(map(len, store.backup().versions.values())) < 8
    assert len(store.backup().history) < 6
    assert store.range(Range(b"a")).kvs[0].value == b"19"
    with pytest.raises(StoreError, match="compacted"):
        store.range(Range(b"a"), view=40)


def test_txn_with_conditions_compares_and_reads_own_writes() -> None:
    store, _ = fresh()
    store.put(b"a", b"1")
    good, (put, seen) = store.txn(
        (Compare(b"a", Target.MOD, "=", 2), Compare(b"z", Target.VERSION, "=", 0)),
        (Put(b"a", b"2"), Range(b"a")),
        (Delete(b"a"),),
    )
    assert good and isinstance(put, mvcc.Changed) and put.before[0].value == b"1"
    assert isinstance(seen, Found) and seen.kvs == (KeyValue(b"a", b"2", 2, 3, 2),)
    signs = [("=", b"2", True), ("!", b"2", False), ("<", b"3", True), (">", b"3", False)]
    for sign, want, holds in signs:
        assert store.txn((Compare(b"a", Target.VALUE, sign, want),), (), ())[0] is holds
    assert store.txn((Compare(b"z", Target.VALUE, "!", b"x"),), (), ())[0] is False  # no value to compare
    assert store.revision == 3  # nothing was written


def test_txn_with_invalid_operation_changes_nothing() -> None:
    store, _ = fresh()
    store.put(b"a", b"1")
    before = store.backup()
    faulty: list[tuple[str, list[mvcc.Op]]] = [
        ("lease not found", [Put(b"b"), Put(b"c", lease=7)]),
        ("key is not provided", [Put(b"b"), Delete(b"")]),
        ("too many operations", [Put(b"%d" % index) for index in range(129)]),
        ("too large", [Put(b"b", b"x" * 800_000), Put(b"c", b"x" * 800_000)]),
        ("future", [Put(b"b"), Range(b"a", revision=9)]),
    ]
    for message, ops in faulty:
        with pytest.raises(StoreError, match=message):
            store.txn((), ops, ())
        assert store.backup() == before


def test_lease_expired_deletes_its_keys_in_one_revision() -> None:
    store, clock = fresh()
    lease = store.grant(5).id
    other = store.grant(1)
    assert other.ttl_s == 2  # raised to the minimum
    for key in (b"c", b"a", b"b", b"d"):
        store.put(key, b"", lease)
    store.put(b"d", b"")  # detached from the lease
    clock.now = 4999
    assert store.expire() == [other.id] and store.revision == 6
    assert store.keep_alive(lease) == 5
    clock.now = 9998
    assert store.expire() == [] and store.next_expiry_ms() == 9999
    clock.now = 9999
    assert store.expire() == [lease] and store.revision == 7
    ((_, events),) = store.events(7, 7)
    assert [event.now.key for event in events] == [b"a", b"b", b"c"]
    assert store.range(Range(b"\0", b"\0")).count == 1
    assert store.keep_alive(lease) == 0 and store.next_expiry_ms() is None
    with pytest.raises(StoreError, match="not found"):
        store.revoke(lease)
    store.grant(5, 77)
    with pytest.raises(StoreError, match="already exists"):
        store.grant(5, 77)


def test_backup_restored_discards_later_changes() -> None:
    store, clock = fresh()
    lease = store.grant(10).id
    store.put(b"a", b"1", lease)
    store.put(b"b", b"1")
    kept = store.backup()
    clock.now = 9000
    store.delete(b"a")
    store.put(b"c", b"1")
    store.compact(4)
    store.restore(kept)
    assert (store.revision, store.compacted) == (3, 0)
    assert [kv.key for kv in store.range(Range(b"\0", b"\0")).kvs] == [b"a", b"b"]
    assert store.backup() == kept
    clock.now = 18_999
    assert store.expire() == []
    clock.now = 19_000
    assert store.expire() == [lease]
