"""By how many to divide: the sum over all nodes is never above the whole, whatever is cut, lost or late."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from fractions import Fraction

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.cluster import quota_allocation as shares
from balancer.core.cluster.quota_allocation import (
    DIVISOR_DECREASE_DELAY_MS,
    LoopStalled,
    NodeLeft,
    PersistedQuota,
    PersistQuota,
    QuotaAllocator,
    QuotaReport,
    SetQuota,
    ShutdownStarted,
    TimeAdvanced,
)
from balancer.core.recovery import ROLE_HOLD_OFF_MS
from balancer.protocol import gossip_sections as goes_by
from benchmarks.node_state_gossip import room

SETTLED = PersistedQuota(True, ())


class Fleet:
    """Nodes 0, 1, ... of whom `group` are the settings'; each one's state is kept as it says."""

    def __init__(self, size: int, group: int, kept: PersistedQuota | None = SETTLED) -> None:
        self.group, self.now = group, 0.0
        self.kept: list[PersistedQuota | None] = [kept if n < group else None for n in range(size)]
        self.lives = [1] * size
        self.nodes = [QuotaAllocator(n, 1, group, self.kept[n], 0.0) for n in range(size)]
        self.gone: set[int] = set()  # said that they leave, and ended
        self.late: list[tuple[int, QuotaReport, float]] = []

    def do(self, number: int, event: shares.Event) -> None:
        for action in self.nodes[number].handle(self.now, event):
            if isinstance(action, PersistQuota):
                self.kept[number] = action.state

    def tell(self, one: int, other: int, late: bool = False) -> None:
        if one in self.gone or other in self.gone or one == other:
            return
        told = self.nodes[one].report_for(other)
        if late:
            self.late = [*self.late[-1:], (other, told, self.now)]
        else:
            self.do(other, told)

    def arrive(self, at: int) -> None:
        """A late one, doubled maybe, within ACK_MS."""
        for to, told, sent in self.late[at : at + 1]:
            if self.now - sent <= shares.ACKNOWLEDGEMENT_TTL_MS and to not in self.gone:
                self.do(to, told)

    def meet(self, numbers: list[int], rounds: int = 3) -> None:
        for _ in range(rounds):
            for one in numbers:
                for other in numbers:
                    self.tell(one, other)

    def wait(self, ms: float) -> None:
        self.now += ms
        for number in set(range(len(self.nodes))) - self.gone:
            self.do(number, TimeAdvanced())

    def restart(self, number: int, forget: bool = False) -> None:
        self.lives[number] += 1
        kept = None if forget else self.kept[number]
        self.nodes[number] = QuotaAllocator(number, self.lives[number], self.group, kept, self.now)
        self.gone.discard(number)

    def leave(self, number: int, hear: list[int]) -> None:
        if number not in self.gone:
            self.do(number, ShutdownStarted())
            self.gone.add(number)
            for other in set(hear) - self.gone:
                self.do(other, NodeLeft(number, self.lives[number]))

    @property
    def sum(self) -> Fraction:
        """Of all that run, those that left too while they do."""
        return sum((Fraction(1, n.divisor) for n in self.nodes if n.has_quota), Fraction())


def test_it_rises_at_once_and_falls_slowly() -> None:
    fleet = Fleet(6, 5)
    (nodes,) = (a for a in fleet.nodes[0].handle(0, TimeAdvanced()) if isinstance(a, SetQuota))
    assert nodes == SetQuota(5, True) and not fleet.nodes[5].has_quota
    fleet.tell(5, 0)
    assert fleet.nodes[0].divisor == 6 and fleet.nodes[1].divisor == 5
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.meet([0, 1, 2, 3, 5])
    assert not fleet.nodes[5].has_quota  # 4 may not know of it
    fleet.meet([4, 5])
    assert fleet.nodes[5].has_quota and fleet.sum == 1
    fleet.wait(10 * DIVISOR_DECREASE_DELAY_MS)
    assert {node.divisor for node in fleet.nodes} == {6}  # whoever is silent is counted
    fleet.leave(5, [0, 1, 2, 3, 4])
    fleet.wait(DIVISOR_DECREASE_DELAY_MS - 1)
    assert {node.divisor for node in fleet.nodes[:5]} == {6}
    fleet.wait(1)
    assert {node.divisor for node in fleet.nodes[:5]} == {5} and fleet.sum == 1


def test_all_that_start_anew_are_sure_once_they_heard_each_other_late_enough() -> None:
    fleet = Fleet(3, 3, None)
    fleet.meet([0, 1, 2])
    assert fleet.sum == Fraction(3, 3 + shares.MAX_NEWCOMERS)
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.meet([0, 1])
    assert fleet.sum < 1
    fleet.meet([0, 1, 2])
    assert fleet.sum == 1
    alone = Fleet(1, 1, None)
    alone.wait(ROLE_HOLD_OFF_MS)
    assert alone.sum == 1


def test_one_that_forgot_is_told_by_one_that_is_sure() -> None:
    fleet = Fleet(3, 2)
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.meet([0, 1, 2])
    assert fleet.sum == 1
    fleet.restart(0, forget=True)
    fleet.meet([0, 1])
    assert fleet.nodes[0].divisor == 2 + shares.MAX_NEWCOMERS
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.tell(2, 0)  # one beyond may not know of all
    assert not fleet.nodes[0].is_certain
    fleet.tell(1, 0)
    assert fleet.nodes[0].divisor == 3 and fleet.sum == 1


@pytest.mark.parametrize(("number", "kept"), [(150, None), (5, None), (150, SETTLED)])
def test_all_that_matter_are_asked_in_time_and_nobody_once_settled(
    number: int, kept: PersistedQuota | None
) -> None:
    its, asked, rounds = (
        QuotaAllocator(number, 1, 100, kept, 0.0),
        set[int](),
        int(shares.ACKNOWLEDGEMENT_TTL_MS / 200 / 2),
    )
    for _ in range(rounds):
        asked |= set(its.next_queried(range(200), 200.0))
    assert asked == set(range(max(100, number)))
    assert not QuotaAllocator(5, 1, 100, SETTLED, 0.0).next_queried(range(200), 200.0)


def test_one_that_stood_still_goes_by_nothing_that_lay_in_its_socket() -> None:
    fleet = Fleet(2, 1)
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.tell(1, 0)
    fleet.do(1, LoopStalled())
    fleet.tell(0, 1)
    assert not fleet.nodes[1].has_quota
    fleet.wait(200)
    fleet.tell(0, 1)
    assert fleet.nodes[1].has_quota


def test_a_newcomer_goes_by_no_word_from_before_one_forgot() -> None:
    """Node 1 counted it, forgot, and is sure again by node 0, which had not heard of the newcomer yet."""
    fleet = Fleet(3, 2)
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.tell(2, 1)
    fleet.tell(1, 2)
    fleet.restart(1, forget=True)
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.tell(0, 1)
    assert fleet.nodes[1].is_certain and fleet.nodes[1].divisor == 2
    fleet.tell(2, 0)
    fleet.tell(0, 2)
    assert not fleet.nodes[2].has_quota and fleet.sum <= 1
    fleet.meet([1, 2])
    assert fleet.nodes[2].has_quota and fleet.sum == 1


def test_a_newcomer_that_left_and_came_back_is_counted_anew() -> None:
    """That it left comes late, once before it is heard again and once after."""
    fleet = Fleet(2, 1)
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.meet([0, 1])
    fleet.leave(1, [])
    fleet.restart(1)
    fleet.wait(ROLE_HOLD_OFF_MS)
    fleet.tell(0, 1)
    assert not fleet.nodes[1].has_quota
    fleet.do(0, NodeLeft(1, 1))
    fleet.wait(DIVISOR_DECREASE_DELAY_MS)
    assert fleet.nodes[0].divisor == 1 == fleet.sum
    fleet.meet([0, 1])
    fleet.do(0, NodeLeft(1, 1))
    fleet.wait(DIVISOR_DECREASE_DELAY_MS)
    assert fleet.nodes[1].has_quota and fleet.sum == 1


def test_a_word_fits_a_datagram_however_many_there_are() -> None:
    its = QuotaAllocator(0, 1, 5, SETTLED, 0.0)
    for number in range(200):
        its.handle(0, QuotaReport(number, 2**32 - 1, 0, False, False, ()))
    word = its.report_for(7)
    assert its.divisor == 5 + shares.MAX_NEWCOMERS
    told = (
        word.node_index,
        word.incarnation,
        word.acknowledged_incarnation,
        word.is_certain,
        word.wants_reply,
        word.newcomers,
    )
    data = goes_by.encode_quota_report(*told)
    assert 2 + len(data) <= room("node-123") and len(word.newcomers) == shares.MAX_NEWCOMERS
    assert goes_by.decode_quota_report(data) == told


NODE = st.integers(0, 4)
STEP = st.one_of(
    st.tuples(st.just("tell"), NODE, NODE),
    st.tuples(st.just("late"), NODE, NODE),
    st.tuples(st.just("arrive"), NODE, NODE),
    st.tuples(st.just("meet"), st.integers(0, 31), NODE),
    st.tuples(st.just("wait"), st.integers(0, 5), NODE),
    st.tuples(st.just("restart"), NODE, NODE),
    st.tuples(st.just("forget"), NODE, NODE),
    st.tuples(st.just("leave"), NODE, st.integers(0, 31)),
    st.tuples(st.just("stood"), NODE, NODE),
)
WAITS = (1_000.0, 5_000.0, 9_000.0, 11_000.0, ROLE_HOLD_OFF_MS, DIVISOR_DECREASE_DELAY_MS)


def bits(mask: int) -> list[int]:
    return [number for number in range(5) if mask >> number & 1]


@settings(max_examples=1_500, deadline=None)
@given(st.integers(2, 4), st.booleans(), st.lists(STEP, max_size=40))
def test_the_sum_is_never_above_the_whole(group: int, kept: bool, steps: list[tuple[str, int, int]]) -> None:
    """Five nodes; any words pass or do not, late or doubled; any leave, restart, forget, but for node 0."""
    fleet = Fleet(5, group, SETTLED if kept else None)
    for kind, one, other in steps:
        if kind in ("tell", "late"):
            fleet.tell(one, other, kind == "late")
        elif kind == "arrive":
            fleet.arrive(one)
        elif kind == "meet":
            fleet.meet(bits(one), 2)
        elif kind == "wait":
            fleet.wait(WAITS[one])
        elif kind == "restart" or (kind == "forget" and (kept and one)):
            fleet.restart(one, forget=kind == "forget")
        elif kind == "leave":
            fleet.leave(one, bits(other))
        elif kind == "stood" and one not in fleet.gone:
            fleet.do(one, LoopStalled())
        assert fleet.sum <= 1


# --- three nodes, one cut, one restart: all orders

DEPTH = 5


def steps(fleet: Fleet, cuts: int, restarts: int, cut: int | None) -> Iterator[tuple[str, int, int]]:
    for one in range(3):
        for other in range(3):
            if one != other and cut not in (one, other):
                yield "tell", one, other
    yield from (("wait", ms, 0) for ms in (int(ROLE_HOLD_OFF_MS), int(DIVISOR_DECREASE_DELAY_MS)))
    if cut is None and cuts:
        yield from (("cut", one, 0) for one in range(3))
    elif cut is not None:
        yield "heal", 0, 0
    if restarts:
        yield from (("restart", one, 0) for one in range(3))
        yield from (("forget", one, 0) for one in range(3) if one)
        yield "leave", 2, 0


@pytest.mark.parametrize("group", [1, 2])
def test_three_nodes_one_cut_one_restart_in_all_orders(group: int) -> None:
    """One of them, or two, are beyond the settings' number; waits are BAR_MS and FALL_MS."""
    begin = Fleet(3, group)
    begin.wait(ROLE_HOLD_OFF_MS)
    level: list[tuple[bytes, int, int, int | None]] = [(pickle.dumps(begin), 1, 1, None)]
    seen: set[object] = set()
    greatest = Fraction()
    for _ in range(DEPTH):
        following = []
        for data, cuts, restarts, cut in level:
            for kind, one, other in steps(pickle.loads(data), cuts, restarts, cut):
                fleet: Fleet = pickle.loads(data)
                after = cuts, restarts, cut
                if kind == "tell":
                    fleet.tell(one, other)
                elif kind == "wait":
                    fleet.wait(one)
                elif kind in ("cut", "heal"):
                    after = 0, restarts, one if kind == "cut" else None
                else:
                    after = cuts, 0, cut
                    if kind == "leave":
                        fleet.leave(one, [n for n in range(3) if cut not in (n, one)])
                        fleet.restart(one)
                    else:
                        fleet.restart(one, forget=kind == "forget")
                assert fleet.sum <= 1, (fleet.nodes, fleet.sum)
                greatest = max(greatest, fleet.sum)
                state = pickle.dumps(fleet)
                if (key := hash((state, after))) not in seen:
                    seen.add(key)
                    following.append((state, *after))
        level = following
    assert len(seen) > 1_000 and greatest == 1
