"""Tests of when write-behind writes what, also against a model with a store that fails."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balancer.core.persistence import write_behind
from balancer.core.persistence.persisted_state import (
    URGENT_TABLES,
    BackendEjection,
    ConcurrencyLimit,
    NodeIdentity,
    PersistedRow,
    RowKey,
    Withdrawal,
)
from balancer.core.persistence.restoration import (
    restore,
)
from tests.core.persistence.stored_rows import DAY_MS, IDENTITY, NOW_MS, encoded_tables, endpoint_row


def writes(actions: list[write_behind.Action]) -> list[write_behind.WriteRows]:
    return [action for action in actions if isinstance(action, write_behind.WriteRows)]


def started(**options: Any) -> write_behind.WriteBehind:
    writer = write_behind.WriteBehind(10_000, DAY_MS)
    first_writes = writes(
        writer.handle(
            0, write_behind.StoreOpened(IDENTITY, options.get("rows", {}), options.get("order", 0), NOW_MS)
        )
    )
    assert [write.changes for write in first_writes] == [((("self", "node"), IDENTITY),)]
    writer.handle(0, write_behind.WriteCommitted(first_writes[0].write_number))
    return writer


class StoreLanes(RuleBasedStateMachine):
    """Write-behind with a store of two lanes that is slow, full or killed, beside a plain model."""

    def __init__(self) -> None:
        super().__init__()
        self.batch = write_behind.MAX_CHANGES_PER_WRITE
        write_behind.MAX_CHANGES_PER_WRITE = 2  # so that changes that belong together need several commits
        self.now, self.revision = 0.0, 0
        self.sent: list[tuple[int, str, str]] = []  # revision, endpoint, up, draining or gone
        self.durable: dict[tuple[str, str], PersistedRow] = {("self", "node"): IDENTITY}
        self.lanes: dict[bool, list[write_behind.WriteRows]] = {True: [], False: []}
        self.withdrawn: dict[str, int] = {}  # last revision of a durable withdrawal
        self.writer = started()

    def do(self, event: write_behind.Event) -> None:
        for write in writes(self.writer.handle(self.now, event)):
            kinds = {table in URGENT_TABLES for (table, _), _ in write.changes}
            assert len(kinds) == 1 and 0 < len(write.changes) <= write_behind.MAX_CHANGES_PER_WRITE
            self.lanes[kinds.pop()].append(write)
        assert (
            len(self.lanes[True]) <= write_behind.MAX_URGENT_WRITES_IN_FLIGHT and len(self.lanes[False]) <= 1
        )

    @rule(
        names=st.sets(st.sampled_from("abcdef"), min_size=1), what=st.sampled_from(["up", "draining", "gone"])
    )
    def changed(self, names: set[str], what: str) -> None:
        self.revision += 1
        order = sorted(names)
        self.sent += [(self.revision, name, what) for name in order]
        gone = tuple(order) if what == "gone" else ()
        one = endpoint_row(is_draining=what == "draining", weight=float(self.revision))
        listed = () if gone else tuple((name, one) for name in order)
        self.do(write_behind.EndpointsChanged("platform", "x", self.revision, NOW_MS, listed, gone))

    @rule()
    def confirmed(self) -> None:
        self.do(write_behind.SourceConfirmed("platform", "x", self.revision, NOW_MS))

    @rule(ms=st.sampled_from([1.0, 60.0, 11_000.0, 4_000_000.0]))
    def time_advances(self, ms: float) -> None:
        self.now += ms
        self.do(write_behind.TimeAdvanced(NOW_MS))

    @rule(urgent=st.booleans())
    def committed(self, urgent: bool) -> None:
        if self.lanes[urgent]:
            write = self.lanes[urgent].pop(0)
            for at, row in write.changes:
                self.durable.pop(at, None)
                if row is not None:
                    self.durable[at] = row
                if isinstance(row, Withdrawal):
                    self.withdrawn[at[1]] = row.revision
            self.do(write_behind.WriteCommitted(write.write_number))

    @rule(urgent=st.booleans(), which=st.integers(0, 3))
    def rejected(self, urgent: bool, which: int) -> None:
        """Reject any write in flight: later ones may have been accepted."""
        if which < len(self.lanes[urgent]):
            self.do(write_behind.WriteRejected(self.lanes[urgent].pop(which).write_number))

    @invariant()
    def a_start_from_here_restores_nothing_stale(self) -> None:
        found = restore(encoded_tables(self.durable), 1, False, NOW_MS, "n0", NOW_MS, DAY_MS)
        source = found.sources.get("platform")
        seen = source.revision if source is not None else 0
        latest = {name: what for revision, name, what in self.sent if revision <= seen}
        last = {name: (revision, what) for revision, name, what in self.sent}
        for name, what in latest.items():  # all changes of a persisted revision, or later ones, are there
            state = "gone"
            if name in found.endpoints:
                state = "draining" if found.endpoints[name].endpoint.is_draining else "up"
            later = {w for r, n, w in self.sent if n == name and r > seen}
            assert state in {what, *later}, (name, state, what)
        for name, at in self.withdrawn.items():  # a durable withdrawal outlives older lists
            if last[name] == (at, "gone"):
                assert name not in found.endpoints
            elif last[name] == (at, "draining"):
                assert name not in found.endpoints or found.endpoints[name].endpoint.is_draining
            if name in found.endpoints and not found.endpoints[name].endpoint.is_draining:
                assert found.endpoints[name].endpoint.weight > at, name  # the revision that listed it

    def teardown(self) -> None:
        """In the end all is written, and the store holds the state of the model."""
        for _ in range(200):
            self.now += 2_000
            self.do(write_behind.TimeAdvanced(NOW_MS))
            for urgent in (True, False):
                while self.lanes[urgent]:
                    self.committed(urgent)
        found = restore(encoded_tables(self.durable), 1, False, NOW_MS, "n0", NOW_MS, DAY_MS)
        last = {name: what for _, name, what in self.sent}
        assert {n: "draining" if r.endpoint.is_draining else "up" for n, r in found.endpoints.items()} == {
            name: what for name, what in last.items() if what != "gone"
        }
        assert not self.sent or found.sources["platform"].revision == self.revision
        assert {n for n, w in last.items() if w != "up"} == found.withdrawals.keys()
        write_behind.MAX_CHANGES_PER_WRITE = self.batch
        super().teardown()


TestStoreLanes = StoreLanes.TestCase
TestStoreLanes.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)


def test_write_behind_on_removal_writes_the_withdrawal_at_once_and_alone() -> None:
    writer = started()
    endpoints = [(f"s{n}", endpoint_row()) for n in range(100)]
    assert not writes(
        writer.handle(1, write_behind.EndpointsChanged("platform", "x", 1, NOW_MS, tuple(endpoints)))
    )
    (write,) = writes(
        writer.handle(2, write_behind.EndpointsChanged("platform", "x", 2, NOW_MS, (), ("s7",)))
    )
    assert [row_key for row_key, _ in write.changes] == [("ends", "s7")]


def test_write_behind_with_slow_disk_makes_fewer_writes_and_no_longer_queue() -> None:
    writer, rng, write_count = started(), random.Random(1), 0
    for number in range(10_000):  # 10 s of 1,000 changes a second over 2,000 servers; nothing becomes durable
        changed = ((f"s{rng.randrange(2_000)}", endpoint_row()),)
        write_count += len(
            writes(
                writer.handle(
                    float(number), write_behind.EndpointsChanged("platform", "x", number, NOW_MS, changed)
                )
            )
        )
    assert write_count == 1 and len(writer.state.dirty) <= 2_001


def test_write_behind_after_rejected_write_keeps_its_rows_ahead_of_later_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a position written before its changes, and an old withdrawal after a newer one."""
    monkeypatch.setattr(write_behind, "MAX_CHANGES_PER_WRITE", 2)
    writer = started()
    writer.handle(
        0,
        write_behind.EndpointsChanged(
            "platform", "x", 1, NOW_MS, (("a", endpoint_row()), ("b", endpoint_row()))
        ),
    )
    (first,) = writes(writer.handle(60, write_behind.TimeAdvanced(NOW_MS)))
    writer.handle(61, write_behind.EndpointsChanged("platform", "x", 2, NOW_MS, (("c", endpoint_row()),)))
    assert not writes(writer.handle(62, write_behind.WriteRejected(first.write_number)))
    (retried,) = writes(writer.handle(2_000, write_behind.TimeAdvanced(NOW_MS)))
    assert [row_key for row_key, _ in retried.changes] == [("view", "a"), ("view", "b")]
    (drain,) = writes(
        writer.handle(
            2_001,
            write_behind.EndpointsChanged("p", "x", 3, NOW_MS, (("a", endpoint_row(is_draining=True)),)),
        )
    )
    (removal,) = writes(writer.handle(2_002, write_behind.EndpointsChanged("p", "x", 4, NOW_MS, (), ("a",))))
    writer.handle(2_003, write_behind.WriteRejected(drain.write_number))
    (retried_removal,) = [
        write
        for write in writes(writer.handle(9_000, write_behind.TimeAdvanced(NOW_MS)))
        if write.changes[0][0][0] == "ends"
    ]
    assert retried_removal.changes == removal.changes


def test_write_behind_on_raised_incarnation_writes_it_at_once_and_never_lowers_it() -> None:
    writer = started()
    (first_raise,) = writes(writer.handle(5, write_behind.IncarnationRaised(IDENTITY.incarnation + 1)))
    (second_raise,) = writes(writer.handle(6, write_behind.IncarnationRaised(IDENTITY.incarnation + 4)))
    assert not writes(writer.handle(7, write_behind.IncarnationRaised(IDENTITY.incarnation)))
    writer.handle(
        8, write_behind.WriteRejected(first_raise.write_number)
    )  # the older row must not be written after the newer one
    (retried,) = writes(writer.handle(9_000, write_behind.TimeAdvanced(NOW_MS)))[:1]
    assert retried.changes == second_raise.changes
    ((_, identity),) = retried.changes
    assert (
        isinstance(identity, NodeIdentity)
        and identity.incarnation == IDENTITY.incarnation + 4
        and identity.id == IDENTITY.id
    )


def test_write_behind_with_learned_state_writes_only_changed_values() -> None:
    writer = started()
    assert any(
        isinstance(action, write_behind.CollectLearnedState)
        for action in writer.handle(10_000, write_behind.TimeAdvanced(NOW_MS))
    )

    def written_row_count(now_ms: float, limit: float) -> int:
        rows: dict[RowKey, PersistedRow | None] = {("limit", "node"): ConcurrencyLimit(limit, NOW_MS)}
        rows["ejections", "a"] = BackendEjection(9, 1, 1)
        new_writes = writes(writer.handle(now_ms, write_behind.LearnedStateCollected(rows)))
        for write in new_writes:
            writer.handle(now_ms, write_behind.WriteCommitted(write.write_number))
        return sum(len(write.changes) for write in new_writes)

    assert [
        written_row_count(20_000, 100),
        written_row_count(21_000, 105),
        written_row_count(22_000, 120),
    ] == [2, 0, 1]


def test_write_behind_begins_generation_by_changes_and_time_and_deletes_old_withdrawals() -> None:
    withdrawals = {
        "a": Withdrawal(True, "platform", 1, NOW_MS - 2 * DAY_MS, 1),
        "b": Withdrawal(True, "platform", 2, NOW_MS, 2),
    }
    writer = started(rows={"ends": withdrawals}, order=2)
    actions = writer.handle(write_behind.GENERATION_INTERVAL_MS, write_behind.TimeAdvanced(NOW_MS))
    assert write_behind.BeginGeneration() in actions
    assert [started_write.changes for started_write in writes(actions)] == [((("ends", "a"), None),)]
    writer = started()
    for number in range(2 + 2 * write_behind.MIN_GENERATION_CHANGES // 100):
        endpoints = tuple((f"s{index}", endpoint_row()) for index in range(100))
        for write in writes(
            writer.handle(
                100.0 * number, write_behind.EndpointsChanged("platform", "x", number, NOW_MS, endpoints)
            )
        ):
            writer.handle(100.0 * number, write_behind.WriteCommitted(write.write_number))
    assert write_behind.BeginGeneration() in writer.handle(100.0 * number, write_behind.TimeAdvanced(NOW_MS))
    assert write_behind.BeginGeneration() not in writer.handle(
        100.0 * number, write_behind.TimeAdvanced(NOW_MS)
    )


def test_write_behind_over_endpoint_limit_omits_the_rest_and_logs_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(write_behind, "MAX_PERSISTED_ENDPOINTS", 3)
    writer = started()
    endpoints = tuple((f"s{number}", endpoint_row()) for number in range(5))
    actions = writer.handle(0, write_behind.EndpointsChanged("platform", "x", 1, NOW_MS, endpoints))
    actions += writer.handle(0, write_behind.EndpointsChanged("platform", "x", 2, NOW_MS, (), tuple("abcde")))
    assert len([action for action in actions if isinstance(action, write_behind.WriteLog)]) == 1
    assert len(writer.state.endpoint_sequence_numbers) == 3 and set(writer.state.withdrawals) == {
        "c",
        "d",
        "e",
    }
