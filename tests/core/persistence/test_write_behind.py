"""What is kept, when it is written, and what a start may believe of it."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balancer.core.persistence import write_behind as k
from balancer.core.persistence.persisted_state import (
    URGENT_TABLES,
    BackendEjection,
    BackendSlowness,
    ConcurrencyLimit,
    ExpectedLatency,
    NodeIdentity,
    PersistedEndpoint,
    PersistedRow,
    RowKey,
    SourcePosition,
    Withdrawal,
)
from balancer.core.persistence.restoration import (
    DAY_MS,
    MAX_RESTORED_EJECTION_MS,
    RestoredState,
    RestoreOutcome,
    next_identity,
    restore,
)

ME = NodeIdentity("id-1", "n0", 3, 0)
NOW = 1_000_000_000_000
Rows = dict[str, dict[str, bytes]]


def server(**more: Any) -> PersistedEndpoint:
    return PersistedEndpoint("127.0.0.1", 80, sources=("platform",), confirmed_at_ms=NOW, **more)


def packed(rows: dict[tuple[str, str], PersistedRow]) -> Rows:
    out: Rows = {}
    for (table, key), row in rows.items():
        out.setdefault(table, {})[key] = msgspec.msgpack.encode(row)
    return out


def recalled(rows: dict[tuple[str, str], PersistedRow], now: int = NOW, **more: Any) -> RestoredState:
    told: dict[str, Any] = {
        "generation": 2,
        "is_outdated": False,
        "committed_at_ms": NOW,
        "node_name": "n0",
        "max_age_ms": DAY_MS,
    }
    told |= more
    return restore(packed({("self", "node"): ME} | rows), now_ms=now, **told)


def writes(actions: list[k.Action]) -> list[k.WriteRows]:
    return [action for action in actions if isinstance(action, k.WriteRows)]


def started(**more: Any) -> k.WriteBehind:
    out = k.WriteBehind(10_000, DAY_MS)
    first = writes(out.handle(0, k.StoreOpened(ME, more.get("rows", {}), more.get("order", 0), NOW)))
    assert [w.changes for w in first] == [((("self", "node"), ME),)]
    out.handle(0, k.WriteCommitted(first[0].write_number))
    return out


class Lanes(RuleBasedStateMachine):
    """The decider in front of a store with two lanes that is slow, full and cut off, beside a plain model."""

    def __init__(self) -> None:
        super().__init__()
        self.batch, k.MAX_CHANGES_PER_WRITE = (
            k.MAX_CHANGES_PER_WRITE,
            2,
        )  # so that what hangs together is in several commits
        self.now, self.revision = 0.0, 0
        self.told: list[tuple[int, str, str]] = []  # revision, server, up, draining or gone
        self.durable: dict[tuple[str, str], PersistedRow] = {("self", "node"): ME}
        self.lanes: dict[bool, list[k.WriteRows]] = {True: [], False: []}
        self.ended: dict[str, int] = {}  # last revision of a server's end that is durable
        self.keeping = started()

    def do(self, event: k.Event) -> None:
        for write in writes(self.keeping.handle(self.now, event)):
            kinds = {table in URGENT_TABLES for (table, _), _ in write.changes}
            assert len(kinds) == 1 and 0 < len(write.changes) <= k.MAX_CHANGES_PER_WRITE
            self.lanes[kinds.pop()].append(write)
        assert len(self.lanes[True]) <= k.MAX_URGENT_WRITES_IN_FLIGHT and len(self.lanes[False]) <= 1

    @rule(
        names=st.sets(st.sampled_from("abcdef"), min_size=1), what=st.sampled_from(["up", "draining", "gone"])
    )
    def changed(self, names: set[str], what: str) -> None:
        self.revision += 1
        order = sorted(names)
        self.told += [(self.revision, name, what) for name in order]
        gone = tuple(order) if what == "gone" else ()
        one = server(is_draining=what == "draining", weight=float(self.revision))
        listed = () if gone else tuple((name, one) for name in order)
        self.do(k.EndpointsChanged("platform", "x", self.revision, NOW, listed, gone))

    @rule()
    def confirmed(self) -> None:
        self.do(k.SourceConfirmed("platform", "x", self.revision, NOW))

    @rule(ms=st.sampled_from([1.0, 60.0, 11_000.0, 4_000_000.0]))
    def time_goes_by(self, ms: float) -> None:
        self.now += ms
        self.do(k.TimeAdvanced(NOW))

    @rule(urgent=st.booleans())
    def written(self, urgent: bool) -> None:
        if self.lanes[urgent]:
            write = self.lanes[urgent].pop(0)
            for at, row in write.changes:
                self.durable.pop(at, None)
                if row is not None:
                    self.durable[at] = row
                if isinstance(row, Withdrawal):
                    self.ended[at[1]] = row.revision
            self.do(k.WriteCommitted(write.write_number))

    @rule(urgent=st.booleans(), which=st.integers(0, 3))
    def turned_away(self, urgent: bool, which: int) -> None:
        """Any of them: what was handed over after it may have found room."""
        if which < len(self.lanes[urgent]):
            self.do(k.WriteRejected(self.lanes[urgent].pop(which).write_number))

    @invariant()
    def a_start_from_here_believes_nothing_stale(self) -> None:
        found = restore(packed(self.durable), 1, False, NOW, "n0", NOW, DAY_MS)
        source = found.sources.get("platform")
        seen = source.revision if source is not None else 0
        latest = {name: what for revision, name, what in self.told if revision <= seen}
        last = {name: (revision, what) for revision, name, what in self.told}
        for name, what in latest.items():  # a revision that counts as seen is there in all it said, or later
            state = "gone"
            if name in found.endpoints:
                state = "draining" if found.endpoints[name].endpoint.is_draining else "up"
            later = {w for r, n, w in self.told if n == name and r > seen}
            assert state in {what, *later}, (name, state, what)
        for name, at in self.ended.items():  # an end that is durable is never forgotten for an older word
            if last[name] == (at, "gone"):
                assert name not in found.endpoints
            elif last[name] == (at, "draining"):
                assert name not in found.endpoints or found.endpoints[name].endpoint.is_draining
            if name in found.endpoints and not found.endpoints[name].endpoint.is_draining:
                assert found.endpoints[name].endpoint.weight > at, name  # the revision that listed it

    def teardown(self) -> None:
        """All is written in the end, and what is kept then is what was told."""
        for _ in range(200):
            self.now += 2_000
            self.do(k.TimeAdvanced(NOW))
            for urgent in (True, False):
                while self.lanes[urgent]:
                    self.written(urgent)
        found = restore(packed(self.durable), 1, False, NOW, "n0", NOW, DAY_MS)
        last = {name: what for _, name, what in self.told}
        assert {n: "draining" if r.endpoint.is_draining else "up" for n, r in found.endpoints.items()} == {
            name: what for name, what in last.items() if what != "gone"
        }
        assert not self.told or found.sources["platform"].revision == self.revision
        assert {n for n, w in last.items() if w != "up"} == found.withdrawals.keys()
        k.MAX_CHANGES_PER_WRITE = self.batch
        super().teardown()


TestLanes = Lanes.TestCase
TestLanes.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)


def test_a_removal_is_handed_over_in_the_same_call_and_alone() -> None:
    keeping = started()
    names = [(f"s{n}", server()) for n in range(100)]
    assert not writes(keeping.handle(1, k.EndpointsChanged("platform", "x", 1, NOW, tuple(names))))
    (write,) = writes(keeping.handle(2, k.EndpointsChanged("platform", "x", 2, NOW, (), ("s7",))))
    assert [at for at, _ in write.changes] == [("ends", "s7")]


def test_a_slow_disk_makes_fewer_writes_and_no_longer_queue() -> None:
    keeping, rng, handed = started(), random.Random(1), 0
    for n in range(10_000):  # 10 s of 1,000 changes a second over 2,000 servers; nothing becomes durable
        told = ((f"s{rng.randrange(2_000)}", server()),)
        handed += len(writes(keeping.handle(float(n), k.EndpointsChanged("platform", "x", n, NOW, told))))
    assert handed == 1 and len(keeping.state.dirty) <= 2_001


def test_what_was_turned_away_stays_ahead_of_what_came_later(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a revision that is kept before what it brought, and an older word behind a newer one."""
    monkeypatch.setattr(k, "MAX_CHANGES_PER_WRITE", 2)
    keeping = started()
    keeping.handle(0, k.EndpointsChanged("platform", "x", 1, NOW, (("a", server()), ("b", server()))))
    (first,) = writes(keeping.handle(60, k.TimeAdvanced(NOW)))
    keeping.handle(61, k.EndpointsChanged("platform", "x", 2, NOW, (("c", server()),)))
    assert not writes(keeping.handle(62, k.WriteRejected(first.write_number)))
    (again,) = writes(keeping.handle(2_000, k.TimeAdvanced(NOW)))
    assert [at for at, _ in again.changes] == [("view", "a"), ("view", "b")]
    (drain,) = writes(
        keeping.handle(2_001, k.EndpointsChanged("p", "x", 3, NOW, (("a", server(is_draining=True)),)))
    )
    (gone,) = writes(keeping.handle(2_002, k.EndpointsChanged("p", "x", 4, NOW, (), ("a",))))
    keeping.handle(2_003, k.WriteRejected(drain.write_number))
    (once_more,) = [
        w for w in writes(keeping.handle(9_000, k.TimeAdvanced(NOW))) if w.changes[0][0][0] == "ends"
    ]
    assert once_more.changes == gone.changes


def test_a_life_that_rose_is_written_at_once_and_never_taken_back() -> None:
    keeping = started()
    (rose,) = writes(keeping.handle(5, k.IncarnationRaised(ME.incarnation + 1)))
    (again,) = writes(keeping.handle(6, k.IncarnationRaised(ME.incarnation + 4)))
    assert not writes(keeping.handle(7, k.IncarnationRaised(ME.incarnation)))
    keeping.handle(8, k.WriteRejected(rose.write_number))  # the older one is not handed over behind the newer
    (once_more,) = writes(keeping.handle(9_000, k.TimeAdvanced(NOW)))[:1]
    assert once_more.changes == again.changes
    ((_, me),) = once_more.changes
    assert isinstance(me, NodeIdentity) and me.incarnation == ME.incarnation + 4 and me.id == ME.id


def test_what_was_learned_is_written_where_it_moved() -> None:
    keeping = started()
    assert any(isinstance(a, k.CollectLearnedState) for a in keeping.handle(10_000, k.TimeAdvanced(NOW)))

    def told(now: float, limit: float) -> int:
        rows: dict[RowKey, PersistedRow | None] = {("limit", "node"): ConcurrencyLimit(limit, NOW)}
        rows["ejections", "a"] = BackendEjection(9, 1, 1)
        out = writes(keeping.handle(now, k.LearnedStateCollected(rows)))
        for write in out:
            keeping.handle(now, k.WriteCommitted(write.write_number))
        return sum(len(write.changes) for write in out)

    assert [told(20_000, 100), told(21_000, 105), told(22_000, 120)] == [2, 0, 1]


def test_a_generation_begins_by_changes_and_by_time_and_old_ends_go() -> None:
    old = {
        "a": Withdrawal(True, "platform", 1, NOW - 2 * DAY_MS, 1),
        "b": Withdrawal(True, "platform", 2, NOW, 2),
    }
    keeping = started(rows={"ends": old}, order=2)
    actions = keeping.handle(k.GENERATION_INTERVAL_MS, k.TimeAdvanced(NOW))
    assert k.BeginGeneration() in actions
    assert [w.changes for w in writes(actions)] == [((("ends", "a"), None),)]
    keeping = started()
    for n in range(2 + 2 * k.MIN_GENERATION_CHANGES // 100):
        names = tuple((f"s{i}", server()) for i in range(100))
        for write in writes(keeping.handle(100.0 * n, k.EndpointsChanged("platform", "x", n, NOW, names))):
            keeping.handle(100.0 * n, k.WriteCommitted(write.write_number))
    assert k.BeginGeneration() in keeping.handle(100.0 * n, k.TimeAdvanced(NOW))
    assert k.BeginGeneration() not in keeping.handle(100.0 * n, k.TimeAdvanced(NOW))


def test_more_than_may_be_kept_is_left_out_and_said(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(k, "MAX_PERSISTED_ENDPOINTS", 3)
    keeping = started()
    names = tuple((f"s{n}", server()) for n in range(5))
    actions = keeping.handle(0, k.EndpointsChanged("platform", "x", 1, NOW, names))
    actions += keeping.handle(0, k.EndpointsChanged("platform", "x", 2, NOW, (), tuple("abcde")))
    assert len([a for a in actions if isinstance(a, k.WriteLog)]) == 1
    assert len(keeping.state.endpoint_sequence_numbers) == 3 and set(keeping.state.withdrawals) == {
        "c",
        "d",
        "e",
    }


# --- what a start believes


def test_the_kinds_of_memory() -> None:
    assert restore({}, 0, False, 0, "n0", NOW, 1).outcome == "none"
    assert restore({}, 0, True, 0, "n0", NOW, 1).outcome == "lost"
    assert recalled({}).outcome == "kept" and recalled({}, is_outdated=True).outcome == "older"
    assert restore(packed({("view", "a"): server()}), 1, False, NOW, "n0", NOW, DAY_MS).outcome == "lost"
    other = recalled({("view", "a"): server()}, node_name="n1")
    assert (
        other.is_foreign and other.outcome == "lost" and not other.endpoints and "'n0'" in other.messages[0]
    )


def test_an_end_is_the_later_word_by_its_order() -> None:
    rows: dict[tuple[str, str], PersistedRow] = {("view", n): server(sequence_number=5) for n in "abcd"}
    rows |= {("ends", "a"): Withdrawal(True, "p", 1, NOW, 6), ("ends", "b"): Withdrawal(True, "p", 1, NOW, 4)}
    rows |= {("ends", "c"): Withdrawal(False, "p", 1, NOW, 6)}
    found = recalled(rows)
    assert {n: r.endpoint.is_draining for n, r in found.endpoints.items()} == {
        "b": False,
        "c": True,
        "d": False,
    }
    assert found.last_sequence_number == 6


def test_a_clock_a_day_back_or_ahead_is_clamped_and_said() -> None:
    rows: dict[tuple[str, str], PersistedRow] = {
        ("view", "a"): server(),
        ("ejections", "a"): BackendEjection(NOW + 5_000, 1, NOW),
        ("limit", "node"): ConcurrencyLimit(9, NOW),
    }
    back = recalled(rows, NOW - DAY_MS)
    assert (
        back.endpoints["a"].age_ms == 0
        and back.clock_behind_ms == DAY_MS
        and "86400 s behind" in back.messages[0]
    )
    assert back.ejection_left_ms == {"a": 5_000} and back.concurrency_limit is not None
    ahead = recalled(rows, NOW + DAY_MS + 1)
    assert not ahead.endpoints and not ahead.ejection_left_ms and ahead.concurrency_limit is None
    assert "1 servers were last confirmed over" in ahead.messages[0]
    odd = recalled({("view", "a"): server()}, NOW, committed_at_ms=NOW - 100)
    assert odd.endpoints["a"].age_ms == 100 and "after the last write" in odd.messages[0]
    long = recalled({("ejections", "a"): BackendEjection(NOW + DAY_MS, 1, NOW - 1)})
    assert long.ejection_left_ms == {"a": MAX_RESTORED_EJECTION_MS}


def test_a_server_is_as_old_as_the_last_word_of_its_sources() -> None:
    old = msgspec.structs.replace(server(), confirmed_at_ms=NOW - 2 * DAY_MS)
    spoke: dict[tuple[str, str], PersistedRow] = {("sources", "platform"): SourcePosition("x", 1, NOW - 7)}
    assert not recalled({("view", "a"): old}).endpoints
    assert recalled({("view", "a"): old} | spoke).endpoints["a"].age_ms == 7


def test_a_row_that_does_not_read_as_its_kind_costs_itself_alone() -> None:
    good = server(weight=2.0)
    rows = packed({("self", "node"): ME, ("view", "good"): good, ("usual", "c"): ExpectedLatency(1, 1, NOW)})
    for n, bad in enumerate([b"", b"\xc1", b"\x90", msgspec.msgpack.encode(["h", 0]), b"\x93\xa1h\x01\x01"]):
        rows["view"][f"bad{n}"] = bad
    rows["weights"] = {"a": msgspec.msgpack.encode([float("nan"), NOW])}
    found = restore(rows, 1, False, NOW, "n0", NOW, DAY_MS)
    assert (
        set(found.endpoints) == {"good"} and found.endpoints["good"].endpoint == good and not found.slowness
    )
    assert len(found.messages) == 6 and found.expected_latencies["c"].expected_latency_ms == 1


def test_the_incarnation_only_rises() -> None:
    assert next_identity(recalled({}), "n0", "new", 3, NOW) == NodeIdentity("id-1", "n0", 4, 0)
    assert next_identity(recalled({}), "n0", "new", 9, NOW).incarnation == 9
    assert next_identity(RestoredState(RestoreOutcome.LOST), "n0", "new", 7, NOW) == NodeIdentity(
        "new", "n0", 7, NOW
    )


def test_weights_are_plain_figures() -> None:
    assert recalled({("weights", "a"): BackendSlowness(1.5, NOW)}).slowness["a"].slowness == 1.5
