"""What discovery is asked for next: a table, and a thousand nodes at once."""

from __future__ import annotations

import random

import pytest

from balancer.core.discovery import platform_watcher as p
from balancer.core.discovery.platform_watcher import PlatformWatcher

LONG_DRAIN_GRACE_MS = (
    p.MAX_RETRY_WAIT_MS / p.RETRY_WAIT_PER_DRAIN_GRACE
)  # ms to obey a drain that leave room for the longest wait


def make_watcher(must_ask: bool = False, state: str = "idle") -> PlatformWatcher:
    """One in a state: unwanted, idle (wanted, nothing out yet), following or waiting."""
    out = PlatformWatcher(random.Random(1), must_ask, LONG_DRAIN_GRACE_MS)
    out.is_subscribed = state != "unwanted"
    out.has_active_call, out.is_waiting = state == "following", state == "waiting"
    return out


FETCH_SNAPSHOT, START_WATCH, SET_RETRY_TIMER = "FetchSnapshot", "StartWatch", "SetRetryTimer"
# state, event, revision held -> what is done, and the state after it (not: the module does not ask by itself)
TABLE = [
    ("unwanted", p.SubscriptionChanged(True), None, [FETCH_SNAPSHOT], "following"),
    ("unwanted", p.SubscriptionChanged(True), 7, [START_WATCH], "following"),
    ("unwanted", p.SubscriptionChanged(False), 7, ["CancelCalls"], "unwanted"),
    ("unwanted", p.AddressChanged(), 7, ["CancelCalls"], "unwanted"),
    ("unwanted", p.DiscoveryAnswered(), 7, [], "unwanted"),
    ("unwanted", p.CallEnded(True), 7, [], "unwanted"),
    ("unwanted", p.CallEnded(False), 7, [], "unwanted"),
    ("unwanted", p.RetryTimerFired(), 7, [], "unwanted"),
    ("following", p.SubscriptionChanged(True), 7, [], "following"),
    ("following", p.SubscriptionChanged(False), 7, ["CancelCalls"], "unwanted"),
    ("following", p.AddressChanged(), 7, ["CancelCalls", FETCH_SNAPSHOT], "following"),
    ("following", p.DiscoveryAnswered(), 7, [], "following"),
    ("following", p.CallEnded(True), 7, [START_WATCH], "following"),
    ("following", p.CallEnded(True), None, [SET_RETRY_TIMER], "waiting"),
    ("following", p.CallEnded(False), 7, [SET_RETRY_TIMER], "waiting"),
    ("following", p.CallEnded(True, is_additional=True), 7, [], "following"),
    ("following", p.CallEnded(False, is_additional=True), 7, [], "following"),
    ("following", p.RetryTimerFired(), 7, [], "following"),
    ("waiting", p.SubscriptionChanged(True), 7, [], "waiting"),
    ("waiting", p.SubscriptionChanged(False), 7, ["CancelCalls"], "unwanted"),
    ("waiting", p.AddressChanged(), 7, ["CancelCalls", FETCH_SNAPSHOT], "following"),
    ("waiting", p.DiscoveryAnswered(), 7, [], "waiting"),
    ("waiting", p.CallEnded(True, is_additional=True), 7, [], "waiting"),
    ("waiting", p.RetryTimerFired(), None, [FETCH_SNAPSHOT], "following"),
    ("waiting", p.RetryTimerFired(), 7, [START_WATCH], "following"),
]


@pytest.mark.parametrize(("state", "event", "revision", "does", "after"), TABLE)
def test_every_event_in_every_state(
    state: str, event: p.Event, revision: int | None, does: list[str], after: str
) -> None:
    one = make_watcher(state=state)
    got = one.handle(1000.0, event, revision)
    assert [type(action).__name__ for action in got] == does
    now = "unwanted" if not one.is_subscribed else "following" if one.has_active_call else "waiting"
    assert now == after


@pytest.mark.parametrize(
    ("event", "does"),
    [
        (p.CallEnded(False), [p.NotifyCallFailed()]),
        (p.CallEnded(True), [p.NotifyCallFailed()]),  # it brought nothing that a watch could go on from
        (p.CallEnded(False, is_additional=True), [p.NotifyCallFailed()]),
        (p.CallEnded(True, is_additional=True), []),
    ],
)
def test_where_nodes_ask_by_themselves_the_module_says_when(event: p.Event, does: list[p.Action]) -> None:
    assert make_watcher(must_ask=True, state="following").handle(1000.0, event, None) == does


def test_waits_grow_to_a_bound_and_begin_again_after_an_answer() -> None:
    one = make_watcher(state="following")
    waits = []
    for _ in range(8):
        (wait,) = one.handle(0.0, p.CallEnded(False), 7)
        assert isinstance(wait, p.SetRetryTimer)
        waits.append(wait.at_ms)
        one.handle(0.0, p.RetryTimerFired(), 7)
    assert (
        waits[0] <= 1.5 * p.INITIAL_RETRY_WAIT_MS
        and 0.5 * p.MAX_RETRY_WAIT_MS <= waits[-1] <= 1.5 * p.MAX_RETRY_WAIT_MS
    )
    one.handle(0.0, p.DiscoveryAnswered(), 7)
    (wait,) = one.handle(0.0, p.CallEnded(False), 7)
    assert isinstance(wait, p.SetRetryTimer) and wait.at_ms <= 1.5 * p.INITIAL_RETRY_WAIT_MS


def test_a_thousand_nodes_do_not_come_back_together() -> None:
    """After a minute without discovery their next tries are spread over the longest wait."""
    tries = []
    for seed in range(1000):
        one = PlatformWatcher(random.Random(seed), False, LONG_DRAIN_GRACE_MS)
        now = 0.0
        one.handle(now, p.SubscriptionChanged(True), 7)
        while now < 60_000.0:
            (wait,) = one.handle(now, p.CallEnded(False), 7)
            assert isinstance(wait, p.SetRetryTimer)
            now = wait.at_ms
            one.handle(now, p.RetryTimerFired(), 7)
        tries.append(now)
    most = max(sum(t <= other < t + 1000.0 for other in tries) for t in tries)
    assert max(tries) - min(tries) > 1500.0 and most < 700


# --- where lists are pushed: an agent that answers at once, and is mute or refuses while discovery is down

GRACES = [500.0, 1000.0, 2000.0, 10_000.0]


class DiscoveryAgent:
    """What a node learns of an agent that answers at once, in virtual time, call by call."""

    def __init__(self, seed: int, grace_ms: float) -> None:
        self.now_ms = 0.0
        self.watcher = PlatformWatcher(random.Random(seed), False, grace_ms)
        self.dispatch(p.SubscriptionChanged(True))

    def dispatch(self, event: p.Event) -> None:
        """Up to the next call."""
        for action in self.watcher.handle(self.now_ms, event, 7):
            if isinstance(action, p.SetRetryTimer):
                self.now_ms = action.at_ms
                self.dispatch(p.RetryTimerFired())

    def call(self, back_ms: float, refuses: bool = False, late: bool = False) -> bool:
        """One call; whether it was answered. One that is opened before the return stays mute for good.

        `late` makes it come up at the last moment of the time for that.
        """
        if self.now_ms >= back_ms:
            return True
        life = self.watcher.start_deadline(self.now_ms)
        if late:
            self.now_ms = life.deadline_ms
        life.note_connected(self.now_ms)  # no further patience
        if not refuses:
            self.now_ms = life.deadline_ms
        self.dispatch(p.CallEnded(False, was_slow=life.may_need_longer_timeout(self.now_ms)))
        return False


@pytest.mark.parametrize("grace_ms", GRACES)
@pytest.mark.parametrize("shape", ["refuses", "mute", "late and mute"])
def test_the_return_of_discovery_is_learned_with_a_third_of_the_time_to_spare(
    grace_ms: float, shape: str
) -> None:
    """Guards against new requests for a server whose drain counted as told when discovery came back."""
    worst = 0.0
    for seed in range(300):
        back_ms = 3000.0 + 17.0 * seed
        agent = DiscoveryAgent(seed, grace_ms)
        while not agent.call(back_ms, shape == "refuses", shape == "late and mute"):
            pass
        worst = max(worst, agent.now_ms - back_ms)
    assert worst <= grace_ms * 2 / 3


@pytest.mark.parametrize("grace_ms", [0.0, 100.0])
def test_tries_have_a_floor_however_short_the_time_to_obey_is(grace_ms: float) -> None:
    agent, tries = DiscoveryAgent(1, grace_ms), 0
    while not agent.call(60_000.0):
        tries += 1
    assert tries < 60_000.0 / (p.MIN_PROGRESS_TIMEOUT_MS + p.MIN_RETRY_WAIT_LIMIT_MS / 2)


@pytest.mark.parametrize("grace_ms", GRACES)
@pytest.mark.parametrize("phase", [0.0, 1.0, 500.0, 1000.0, 1999.0])
@pytest.mark.parametrize("middle", [False, True])
def test_a_watch_that_falls_silent_is_replaced_before_what_it_misses_has_to_be_obeyed(
    grace_ms: float, phase: float, middle: bool
) -> None:
    """At every phase of the beat, with a call that comes up late and is mute behind it, then a good one."""
    for seed in range(50):
        agent = DiscoveryAgent(seed, grace_ms)
        life = agent.watcher.start_deadline(0.0)
        life.note_connected(0.0)
        life.note_received(0.0, True, False)
        agent.dispatch(p.DiscoveryAnswered())
        silent_ms = phase  # after the last line
        if middle:
            life.note_received(silent_ms, False, True)
        agent.now_ms = life.deadline_ms
        assert agent.now_ms > p.HEARTBEAT_INTERVAL_MS or middle
        agent.dispatch(p.CallEnded(False, was_slow=life.may_need_longer_timeout(agent.now_ms)))
        agent.call(float("inf"), late=True)
        assert agent.now_ms - silent_ms < 6000.0 + grace_ms / 3
        if grace_ms <= 2000.0:
            assert agent.now_ms - silent_ms < 6000.0


@pytest.mark.parametrize("must_ask", [False, True])
def test_a_watch_that_dribbles_is_dead(must_ask: bool) -> None:
    """Guards against a byte a second and no line: each byte was a sign of life."""
    follow = PlatformWatcher(random.Random(1), must_ask, 10_000.0)
    life, now = follow.start_deadline(0.0), 0.0
    life.note_connected(now)
    life.note_received(now, True, False)
    while now < life.deadline_ms:
        now += 100.0
        life.note_received(now, False, True)
    assert now <= 100.0 + follow.timeouts.message_timeout_ms
    assert life.may_need_longer_timeout(now)


def test_a_whole_list_under_way_has_a_bound_in_all() -> None:
    follow = PlatformWatcher(random.Random(1), False, 1000.0)
    life, now = follow.start_deadline(0.0), 0.0
    life.note_connected(now)
    life.note_received(now, True, True)  # its head
    while now < life.deadline_ms:
        now += 50.0
        life.note_received(now, False, True)
    assert now <= 50.0 + follow.timeouts.message_timeout_ms


def test_lines_keep_a_watch_alive_whatever_is_cut_between_them() -> None:
    follow = PlatformWatcher(random.Random(1), False, 500.0)
    life, now = follow.start_deadline(0.0), 0.0
    life.note_connected(now)
    life.note_received(now, True, False)
    for _ in range(20):
        now += p.HEARTBEAT_INTERVAL_MS
        assert now < life.deadline_ms
        life.note_received(now, False, True)
        now += 50.0
        assert now < life.deadline_ms
        life.note_received(now, True, False)


def test_the_patience_of_a_starved_node_grows_to_a_bound_and_shrinks_again() -> None:
    """Guards a node whose every turn comes late against giving up each call just before its answer."""
    follow = PlatformWatcher(random.Random(1), False, 500.0)
    follow.handle(0.0, p.SubscriptionChanged(True), 7)
    seen = []
    for _ in range(12):
        life = follow.start_deadline(0.0)
        life.note_connected(0.0)
        late = life.deadline_ms + 300.0
        follow.handle(late, p.CallEnded(False, was_slow=life.may_need_longer_timeout(late)), 7)
        follow.handle(late, p.RetryTimerFired(), 7)
        seen.append(follow.progress_timeout_ms)
    assert seen[0] == follow.timeouts.progress_timeout_ms < seen[1] and max(seen) <= p.MAX_PROGRESS_TIMEOUT_MS
    assert max(seen) > 300.0  # no longer given up because of its own lateness
    for _ in range(12):  # in time and mute: more patience would only miss the return
        follow.handle(0.0, p.CallEnded(False), 7)
        follow.handle(0.0, p.RetryTimerFired(), 7)
    assert follow.progress_timeout_ms == follow.timeouts.progress_timeout_ms
    for _ in range(2):
        follow.handle(0.0, p.CallEnded(False, was_slow=True), 7)
    assert follow.progress_timeout_ms > follow.timeouts.progress_timeout_ms
    follow.handle(0.0, p.DiscoveryAnswered(), 7)
    assert follow.progress_timeout_ms == follow.timeouts.progress_timeout_ms


@pytest.mark.parametrize("grace_ms", [500.0, 2000.0])
def test_an_agent_that_is_always_slow_is_heard_in_the_end(grace_ms: float) -> None:
    """Guards against no list at all for good; an outage of a minute is still followed by it in time."""
    agent = DiscoveryAgent(1, grace_ms)
    while agent.watcher.progress_timeout_ms == agent.watcher.timeouts.progress_timeout_ms:
        agent.call(float("inf"))
    assert agent.now_ms > 60_000.0
    assert (
        agent.watcher.progress_timeout_ms + 1.5 * agent.watcher.timeouts.max_retry_wait_ms < grace_ms
    )  # and after it for a while
    while agent.watcher.progress_timeout_ms < p.MAX_PROGRESS_TIMEOUT_MS:
        agent.call(float("inf"))
    for _ in range(1000):
        agent.call(float("inf"))
    assert agent.watcher.progress_timeout_ms == p.MAX_PROGRESS_TIMEOUT_MS


@pytest.mark.parametrize("grace_ms", GRACES)
def test_calls_that_stall_in_an_outage_get_no_more_patience_than_its_end_allows(grace_ms: float) -> None:
    """Each brings half an answer and says no more: none would be heard of the return."""
    follow = PlatformWatcher(random.Random(1), False, grace_ms)
    follow.handle(0.0, p.SubscriptionChanged(True), 7)
    for _ in range(p.LONG_OUTAGE_FAILURES - 1):
        life = follow.start_deadline(0.0)
        life.note_received(0.0, True, True)
        assert life.deadline_ms + 1.5 * follow.timeouts.max_retry_wait_ms <= 0.9 * grace_ms
        follow.handle(
            life.deadline_ms, p.CallEnded(False, was_slow=life.may_need_longer_timeout(life.deadline_ms)), 7
        )
        follow.handle(life.deadline_ms, p.RetryTimerFired(), 7)


def test_where_nodes_ask_by_themselves_patience_is_as_long_as_a_watch_may_be_silent() -> None:
    follow = PlatformWatcher(random.Random(1), True, 500.0)
    life = follow.start_deadline(0.0)
    assert life.deadline_ms == 2000.0
    life.note_connected(100.0)
    assert life.deadline_ms == 5100.0
    follow.handle(0.0, p.CallEnded(False, was_slow=True), 7)
    assert follow.start_deadline(0.0).progress_timeout_ms == 5000.0


def test_where_nodes_ask_by_themselves_a_watch_that_falls_silent_leaves_time_to_ask_anew() -> None:
    """The module's first wait comes behind it, which may last for 3/32 of the time between two asks."""
    life = PlatformWatcher(random.Random(1), True, 500.0).start_deadline(0.0)
    life.note_connected(0.0)
    life.note_received(0.0, True, False)
    assert life.deadline_ms > p.HEARTBEAT_INTERVAL_MS and life.deadline_ms + 20_000.0 * 3 / 32 < 6000.0
