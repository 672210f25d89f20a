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
    DAY_MS,
    MAX_EJECTED_MS,
    URGENT,
    Ejection,
    End,
    Kept,
    Limit,
    Recalled,
    Self,
    Server,
    Source,
    Usual,
    Weight,
    recall,
    successor,
)

ME = Self("id-1", "n0", 3, 0)
NOW = 1_000_000_000_000
Rows = dict[str, dict[str, bytes]]


def server(**more: Any) -> Server:
    return Server("127.0.0.1", 80, sources=("platform",), confirmed_ms=NOW, **more)


def packed(rows: dict[tuple[str, str], Kept]) -> Rows:
    out: Rows = {}
    for (table, key), row in rows.items():
        out.setdefault(table, {})[key] = msgspec.msgpack.encode(row)
    return out


def recalled(rows: dict[tuple[str, str], Kept], now: int = NOW, **more: Any) -> Recalled:
    told: dict[str, Any] = {"found": 2, "older": False, "wrote_ms": NOW, "name": "n0", "max_age_ms": DAY_MS}
    told |= more
    return recall(packed({("self", "node"): ME} | rows), now_ms=now, **told)


def writes(actions: list[k.Action]) -> list[k.Write]:
    return [action for action in actions if isinstance(action, k.Write)]


def started(**more: Any) -> k.Keeping:
    out = k.Keeping(10_000, DAY_MS)
    first = writes(out.handle(0, k.Started(ME, more.get("rows", {}), more.get("order", 0), NOW)))
    assert [w.changes for w in first] == [((("self", "node"), ME),)]
    out.handle(0, k.Written(first[0].number))
    return out


class Lanes(RuleBasedStateMachine):
    """The decider in front of a store with two lanes that is slow, full and cut off, beside a plain model."""

    def __init__(self) -> None:
        super().__init__()
        self.batch, k.BATCH = k.BATCH, 2  # so that what hangs together is in several commits
        self.now, self.revision = 0.0, 0
        self.told: list[tuple[int, str, str]] = []  # revision, server, up, draining or gone
        self.durable: dict[tuple[str, str], Kept] = {("self", "node"): ME}
        self.lanes: dict[bool, list[k.Write]] = {True: [], False: []}
        self.ended: dict[str, int] = {}  # last revision of a server's end that is durable
        self.keeping = started()

    def do(self, event: k.Event) -> None:
        for write in writes(self.keeping.handle(self.now, event)):
            kinds = {table in URGENT for (table, _), _ in write.changes}
            assert len(kinds) == 1 and 0 < len(write.changes) <= k.BATCH
            self.lanes[kinds.pop()].append(write)
        assert len(self.lanes[True]) <= k.URGENT_OUT and len(self.lanes[False]) <= 1

    @rule(
        names=st.sets(st.sampled_from("abcdef"), min_size=1), what=st.sampled_from(["up", "draining", "gone"])
    )
    def changed(self, names: set[str], what: str) -> None:
        self.revision += 1
        order = sorted(names)
        self.told += [(self.revision, name, what) for name in order]
        gone = tuple(order) if what == "gone" else ()
        one = server(draining=what == "draining", weight=float(self.revision))
        listed = () if gone else tuple((name, one) for name in order)
        self.do(k.Changed("platform", "x", self.revision, NOW, listed, gone))

    @rule()
    def confirmed(self) -> None:
        self.do(k.Confirmed("platform", "x", self.revision, NOW))

    @rule(ms=st.sampled_from([1.0, 60.0, 11_000.0, 4_000_000.0]))
    def time_goes_by(self, ms: float) -> None:
        self.now += ms
        self.do(k.Ticked(NOW))

    @rule(urgent=st.booleans())
    def written(self, urgent: bool) -> None:
        if self.lanes[urgent]:
            write = self.lanes[urgent].pop(0)
            for at, row in write.changes:
                self.durable.pop(at, None)
                if row is not None:
                    self.durable[at] = row
                if isinstance(row, End):
                    self.ended[at[1]] = row.revision
            self.do(k.Written(write.number))

    @rule(urgent=st.booleans(), which=st.integers(0, 3))
    def turned_away(self, urgent: bool, which: int) -> None:
        """Any of them: what was handed over after it may have found room."""
        if which < len(self.lanes[urgent]):
            self.do(k.TurnedAway(self.lanes[urgent].pop(which).number))

    @invariant()
    def a_start_from_here_believes_nothing_stale(self) -> None:
        found = recall(packed(self.durable), 1, False, NOW, "n0", NOW, DAY_MS)
        source = found.sources.get("platform")
        seen = source.revision if source is not None else 0
        latest = {name: what for revision, name, what in self.told if revision <= seen}
        last = {name: (revision, what) for revision, name, what in self.told}
        for name, what in latest.items():  # a revision that counts as seen is there in all it said, or later
            state = "gone"
            if name in found.view:
                state = "draining" if found.view[name].server.draining else "up"
            later = {w for r, n, w in self.told if n == name and r > seen}
            assert state in {what, *later}, (name, state, what)
        for name, at in self.ended.items():  # an end that is durable is never forgotten for an older word
            if last[name] == (at, "gone"):
                assert name not in found.view
            elif last[name] == (at, "draining"):
                assert name not in found.view or found.view[name].server.draining
            if name in found.view and not found.view[name].server.draining:
                assert found.view[name].server.weight > at, name  # the revision that listed it

    def teardown(self) -> None:
        """All is written in the end, and what is kept then is what was told."""
        for _ in range(200):
            self.now += 2_000
            self.do(k.Ticked(NOW))
            for urgent in (True, False):
                while self.lanes[urgent]:
                    self.written(urgent)
        found = recall(packed(self.durable), 1, False, NOW, "n0", NOW, DAY_MS)
        last = {name: what for _, name, what in self.told}
        assert {n: "draining" if r.server.draining else "up" for n, r in found.view.items()} == {
            name: what for name, what in last.items() if what != "gone"
        }
        assert not self.told or found.sources["platform"].revision == self.revision
        assert {n for n, w in last.items() if w != "up"} == found.ends.keys()
        k.BATCH = self.batch
        super().teardown()


TestLanes = Lanes.TestCase
TestLanes.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)


def test_a_removal_is_handed_over_in_the_same_call_and_alone() -> None:
    keeping = started()
    names = [(f"s{n}", server()) for n in range(100)]
    assert not writes(keeping.handle(1, k.Changed("platform", "x", 1, NOW, tuple(names))))
    (write,) = writes(keeping.handle(2, k.Changed("platform", "x", 2, NOW, (), ("s7",))))
    assert [at for at, _ in write.changes] == [("ends", "s7")]


def test_a_slow_disk_makes_fewer_writes_and_no_longer_queue() -> None:
    keeping, rng, handed = started(), random.Random(1), 0
    for n in range(10_000):  # 10 s of 1,000 changes a second over 2,000 servers; nothing becomes durable
        told = ((f"s{rng.randrange(2_000)}", server()),)
        handed += len(writes(keeping.handle(float(n), k.Changed("platform", "x", n, NOW, told))))
    assert handed == 1 and len(keeping.state.dirty) <= 2_001


def test_what_was_turned_away_stays_ahead_of_what_came_later(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a revision that is kept before what it brought, and an older word behind a newer one."""
    monkeypatch.setattr(k, "BATCH", 2)
    keeping = started()
    keeping.handle(0, k.Changed("platform", "x", 1, NOW, (("a", server()), ("b", server()))))
    (first,) = writes(keeping.handle(60, k.Ticked(NOW)))
    keeping.handle(61, k.Changed("platform", "x", 2, NOW, (("c", server()),)))
    assert not writes(keeping.handle(62, k.TurnedAway(first.number)))
    (again,) = writes(keeping.handle(2_000, k.Ticked(NOW)))
    assert [at for at, _ in again.changes] == [("view", "a"), ("view", "b")]
    (drain,) = writes(keeping.handle(2_001, k.Changed("p", "x", 3, NOW, (("a", server(draining=True)),))))
    (gone,) = writes(keeping.handle(2_002, k.Changed("p", "x", 4, NOW, (), ("a",))))
    keeping.handle(2_003, k.TurnedAway(drain.number))
    (once_more,) = [w for w in writes(keeping.handle(9_000, k.Ticked(NOW))) if w.changes[0][0][0] == "ends"]
    assert once_more.changes == gone.changes


def test_a_life_that_rose_is_written_at_once_and_never_taken_back() -> None:
    keeping = started()
    (rose,) = writes(keeping.handle(5, k.Rose(ME.incarnation + 1)))
    (again,) = writes(keeping.handle(6, k.Rose(ME.incarnation + 4)))
    assert not writes(keeping.handle(7, k.Rose(ME.incarnation)))
    keeping.handle(8, k.TurnedAway(rose.number))  # the older one is not handed over behind the newer
    (once_more,) = writes(keeping.handle(9_000, k.Ticked(NOW)))[:1]
    assert once_more.changes == again.changes
    ((_, me),) = once_more.changes
    assert isinstance(me, Self) and me.incarnation == ME.incarnation + 4 and me.id == ME.id


def test_what_was_learned_is_written_where_it_moved() -> None:
    keeping = started()
    assert any(isinstance(a, k.AskLearned) for a in keeping.handle(10_000, k.Ticked(NOW)))

    def told(now: float, limit: float) -> int:
        rows: dict[k.Key, Kept | None] = {("limit", "node"): Limit(limit, NOW)}
        rows["ejections", "a"] = Ejection(9, 1, 1)
        out = writes(keeping.handle(now, k.Learned(rows)))
        for write in out:
            keeping.handle(now, k.Written(write.number))
        return sum(len(write.changes) for write in out)

    assert [told(20_000, 100), told(21_000, 105), told(22_000, 120)] == [2, 0, 1]


def test_a_generation_begins_by_changes_and_by_time_and_old_ends_go() -> None:
    old = {"a": End(True, "platform", 1, NOW - 2 * DAY_MS, 1), "b": End(True, "platform", 2, NOW, 2)}
    keeping = started(rows={"ends": old}, order=2)
    actions = keeping.handle(k.GENERATION_MS, k.Ticked(NOW))
    assert k.BeginGeneration() in actions
    assert [w.changes for w in writes(actions)] == [((("ends", "a"), None),)]
    keeping = started()
    for n in range(2 + 2 * k.GENERATION_CHANGES // 100):
        names = tuple((f"s{i}", server()) for i in range(100))
        for write in writes(keeping.handle(100.0 * n, k.Changed("platform", "x", n, NOW, names))):
            keeping.handle(100.0 * n, k.Written(write.number))
    assert k.BeginGeneration() in keeping.handle(100.0 * n, k.Ticked(NOW))
    assert k.BeginGeneration() not in keeping.handle(100.0 * n, k.Ticked(NOW))


def test_more_than_may_be_kept_is_left_out_and_said(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(k, "MAX_KEPT", 3)
    keeping = started()
    names = tuple((f"s{n}", server()) for n in range(5))
    actions = keeping.handle(0, k.Changed("platform", "x", 1, NOW, names))
    actions += keeping.handle(0, k.Changed("platform", "x", 2, NOW, (), tuple("abcde")))
    assert len([a for a in actions if isinstance(a, k.Say)]) == 1
    assert len(keeping.state.servers) == 3 and set(keeping.state.ends) == {"c", "d", "e"}


# --- what a start believes


def test_the_kinds_of_memory() -> None:
    assert recall({}, 0, False, 0, "n0", NOW, 1).memory == "none"
    assert recall({}, 0, True, 0, "n0", NOW, 1).memory == "lost"
    assert recalled({}).memory == "kept" and recalled({}, older=True).memory == "older"
    assert recall(packed({("view", "a"): server()}), 1, False, NOW, "n0", NOW, DAY_MS).memory == "lost"
    other = recalled({("view", "a"): server()}, name="n1")
    assert other.foreign and other.memory == "lost" and not other.view and "'n0'" in other.said[0]


def test_an_end_is_the_later_word_by_its_order() -> None:
    rows: dict[tuple[str, str], Kept] = {("view", n): server(order=5) for n in "abcd"}
    rows |= {("ends", "a"): End(True, "p", 1, NOW, 6), ("ends", "b"): End(True, "p", 1, NOW, 4)}
    rows |= {("ends", "c"): End(False, "p", 1, NOW, 6)}
    found = recalled(rows)
    assert {n: r.server.draining for n, r in found.view.items()} == {"b": False, "c": True, "d": False}
    assert found.order == 6


def test_a_clock_a_day_back_or_ahead_is_clamped_and_said() -> None:
    rows: dict[tuple[str, str], Kept] = {
        ("view", "a"): server(),
        ("ejections", "a"): Ejection(NOW + 5_000, 1, NOW),
        ("limit", "node"): Limit(9, NOW),
    }
    back = recalled(rows, NOW - DAY_MS)
    assert back.view["a"].age_ms == 0 and back.clock_behind_ms == DAY_MS and "86400 s behind" in back.said[0]
    assert back.ejections == {"a": 5_000} and back.limit is not None
    ahead = recalled(rows, NOW + DAY_MS + 1)
    assert not ahead.view and not ahead.ejections and ahead.limit is None
    assert "1 servers were last confirmed over" in ahead.said[0]
    odd = recalled({("view", "a"): server()}, NOW, wrote_ms=NOW - 100)
    assert odd.view["a"].age_ms == 100 and "after the last write" in odd.said[0]
    long = recalled({("ejections", "a"): Ejection(NOW + DAY_MS, 1, NOW - 1)})
    assert long.ejections == {"a": MAX_EJECTED_MS}


def test_a_server_is_as_old_as_the_last_word_of_its_sources() -> None:
    old = msgspec.structs.replace(server(), confirmed_ms=NOW - 2 * DAY_MS)
    spoke: dict[tuple[str, str], Kept] = {("sources", "platform"): Source("x", 1, NOW - 7)}
    assert not recalled({("view", "a"): old}).view
    assert recalled({("view", "a"): old} | spoke).view["a"].age_ms == 7


def test_a_row_that_does_not_read_as_its_kind_costs_itself_alone() -> None:
    good = server(weight=2.0)
    rows = packed({("self", "node"): ME, ("view", "good"): good, ("usual", "c"): Usual(1, 1, NOW)})
    for n, bad in enumerate([b"", b"\xc1", b"\x90", msgspec.msgpack.encode(["h", 0]), b"\x93\xa1h\x01\x01"]):
        rows["view"][f"bad{n}"] = bad
    rows["weights"] = {"a": msgspec.msgpack.encode([float("nan"), NOW])}
    found = recall(rows, 1, False, NOW, "n0", NOW, DAY_MS)
    assert set(found.view) == {"good"} and found.view["good"].server == good and not found.weights
    assert len(found.said) == 6 and found.usual["c"].usual_ms == 1


def test_the_incarnation_only_rises() -> None:
    assert successor(recalled({}), "n0", "new", 3, NOW) == Self("id-1", "n0", 4, 0)
    assert successor(recalled({}), "n0", "new", 9, NOW).incarnation == 9
    assert successor(Recalled("lost"), "n0", "new", 7, NOW) == Self("new", "n0", 7, NOW)


def test_weights_are_plain_figures() -> None:
    assert recalled({("weights", "a"): Weight(1.5, NOW)}).weights["a"].slow == 1.5
