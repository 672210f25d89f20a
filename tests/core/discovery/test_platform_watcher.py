"""What the platform watcher requests next: a table of states and events, deadlines, many nodes at once."""

from __future__ import annotations

import random

import pytest

from balancer.core.discovery import platform_watcher
from balancer.core.discovery.platform_watcher import PlatformWatcher

LONG_DRAIN_GRACE_MS = (
    platform_watcher.MAX_RETRY_WAIT_MS / platform_watcher.RETRY_WAIT_PER_DRAIN_GRACE
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
    ("unwanted", platform_watcher.SubscriptionChanged(True), None, [FETCH_SNAPSHOT], "following"),
    ("unwanted", platform_watcher.SubscriptionChanged(True), 7, [START_WATCH], "following"),
    ("unwanted", platform_watcher.SubscriptionChanged(False), 7, ["CancelCalls"], "unwanted"),
    ("unwanted", platform_watcher.AddressChanged(), 7, ["CancelCalls"], "unwanted"),
    ("unwanted", platform_watcher.DiscoveryAnswered(), 7, [], "unwanted"),
    ("unwanted", platform_watcher.CallEnded(True), 7, [], "unwanted"),
    ("unwanted", platform_watcher.CallEnded(False), 7, [], "unwanted"),
    ("unwanted", platform_watcher.RetryTimerFired(), 7, [], "unwanted"),
    ("following", platform_watcher.SubscriptionChanged(True), 7, [], "following"),
    ("following", platform_watcher.SubscriptionChanged(False), 7, ["CancelCalls"], "unwanted"),
    ("following", platform_watcher.AddressChanged(), 7, ["CancelCalls", FETCH_SNAPSHOT], "following"),
    ("following", platform_watcher.DiscoveryAnswered(), 7, [], "following"),
    ("following", platform_watcher.CallEnded(True), 7, [START_WATCH], "following"),
    ("following", platform_watcher.CallEnded(True), None, [SET_RETRY_TIMER], "waiting"),
    ("following", platform_watcher.CallEnded(False), 7, [SET_RETRY_TIMER], "waiting"),
    ("following", platform_watcher.CallEnded(True, is_additional=True), 7, [], "following"),
    ("following", platform_watcher.CallEnded(False, is_additional=True), 7, [], "following"),
    ("following", platform_watcher.RetryTimerFired(), 7, [], "following"),
    ("waiting", platform_watcher.SubscriptionChanged(True), 7, [], "waiting"),
    ("waiting", platform_watcher.SubscriptionChanged(False), 7, ["CancelCalls"], "unwanted"),
    ("waiting", platform_watcher.AddressChanged(), 7, ["CancelCalls", FETCH_SNAPSHOT], "following"),
    ("waiting", platform_watcher.DiscoveryAnswered(), 7, [], "waiting"),
    ("waiting", platform_watcher.CallEnded(True, is_additional=True), 7, [], "waiting"),
    ("waiting", platform_watcher.RetryTimerFired(), None, [FETCH_SNAPSHOT], "following"),
    ("waiting", platform_watcher.RetryTimerFired(), 7, [START_WATCH], "following"),
]


@pytest.mark.parametrize(("state", "event", "revision", "does", "after"), TABLE)
def test_watcher_event_in_each_state_gives_the_actions_of_the_table(
    state: str, event: platform_watcher.Event, revision: int | None, does: list[str], after: str
) -> None:
    one = make_watcher(state=state)
    got = one.handle(1000.0, event, revision)
    assert [type(action).__name__ for action in got] == does
    now = "unwanted" if not one.is_subscribed else "following" if one.has_active_call else "waiting"
    assert now == after


@pytest.mark.parametrize(
    ("event", "does"),
    [
        (platform_watcher.CallEnded(False), [platform_watcher.NotifyCallFailed()]),
        (
            platform_watcher.CallEnded(True),
            [platform_watcher.NotifyCallFailed()],
        ),  # it brought nothing that a watch could go on from
        (platform_watcher.CallEnded(False, is_additional=True), [platform_watcher.NotifyCallFailed()]),
        (platform_watcher.CallEnded(True, is_additional=True), []),
    ],
)
def test_watcher_that_must_poll_notifies_the_policy_of_failed_calls(
    event: platform_watcher.Event, does: list[platform_watcher.Action]
) -> None:
    assert make_watcher(must_ask=True, state="following").handle(1000.0, event, None) == does


def test_retry_waits_grow_to_a_limit_and_are_reset_by_an_answer() -> None:
    one = make_watcher(state="following")
    waits = []
    for _ in range(8):
        (wait,) = one.handle(0.0, platform_watcher.CallEnded(False), 7)
        assert isinstance(wait, platform_watcher.SetRetryTimer)
        waits.append(wait.at_ms)
        one.handle(0.0, platform_watcher.RetryTimerFired(), 7)
    assert (
        waits[0] <= 1.5 * platform_watcher.INITIAL_RETRY_WAIT_MS
        and 0.5 * platform_watcher.MAX_RETRY_WAIT_MS <= waits[-1] <= 1.5 * platform_watcher.MAX_RETRY_WAIT_MS
    )
    one.handle(0.0, platform_watcher.DiscoveryAnswered(), 7)
    (wait,) = one.handle(0.0, platform_watcher.CallEnded(False), 7)
    assert (
        isinstance(wait, platform_watcher.SetRetryTimer)
        and wait.at_ms <= 1.5 * platform_watcher.INITIAL_RETRY_WAIT_MS
    )


def test_retries_of_a_thousand_nodes_are_spread_over_the_longest_wait() -> None:
    """After a minute without discovery."""
    tries = []
    for seed in range(1000):
        one = PlatformWatcher(random.Random(seed), False, LONG_DRAIN_GRACE_MS)
        now = 0.0
        one.handle(now, platform_watcher.SubscriptionChanged(True), 7)
        while now < 60_000.0:
            (wait,) = one.handle(now, platform_watcher.CallEnded(False), 7)
            assert isinstance(wait, platform_watcher.SetRetryTimer)
            now = wait.at_ms
            one.handle(now, platform_watcher.RetryTimerFired(), 7)
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
        self.dispatch(platform_watcher.SubscriptionChanged(True))

    def dispatch(self, event: platform_watcher.Event) -> None:
        """Up to the next call."""
        for action in self.watcher.handle(self.now_ms, event, 7):
            if isinstance(action, platform_watcher.SetRetryTimer):
                self.now_ms = action.at_ms
                self.dispatch(platform_watcher.RetryTimerFired())

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
        self.dispatch(platform_watcher.CallEnded(False, was_slow=life.may_need_longer_timeout(self.now_ms)))
        return False


@pytest.mark.parametrize("grace_ms", GRACES)
@pytest.mark.parametrize("shape", ["refuses", "mute", "late and mute"])
def test_return_of_discovery_is_noticed_within_two_thirds_of_the_drain_grace(
    grace_ms: float, shape: str
) -> None:
    """Guards against new requests for a backend whose draining counts as notified at discovery's return."""
    worst = 0.0
    for seed in range(300):
        back_ms = 3000.0 + 17.0 * seed
        agent = DiscoveryAgent(seed, grace_ms)
        while not agent.call(back_ms, shape == "refuses", shape == "late and mute"):
            pass
        worst = max(worst, agent.now_ms - back_ms)
    assert worst <= grace_ms * 2 / 3


@pytest.mark.parametrize("grace_ms", [0.0, 100.0])
def test_retry_interval_has_a_minimum_for_any_drain_grace(grace_ms: float) -> None:
    agent, tries = DiscoveryAgent(1, grace_ms), 0
    while not agent.call(60_000.0):
        tries += 1
    assert tries < 60_000.0 / (
        platform_watcher.MIN_PROGRESS_TIMEOUT_MS + platform_watcher.MIN_RETRY_WAIT_LIMIT_MS / 2
    )


@pytest.mark.parametrize("grace_ms", GRACES)
@pytest.mark.parametrize("phase", [0.0, 1.0, 500.0, 1000.0, 1999.0])
@pytest.mark.parametrize("middle", [False, True])
def test_silent_watch_is_replaced_before_missed_draining_has_to_be_obeyed(
    grace_ms: float, phase: float, middle: bool
) -> None:
    """At every phase of the heartbeat; the next call connects late and stays silent, then one answers."""
    for seed in range(50):
        agent = DiscoveryAgent(seed, grace_ms)
        life = agent.watcher.start_deadline(0.0)
        life.note_connected(0.0)
        life.note_received(0.0, True, False)
        agent.dispatch(platform_watcher.DiscoveryAnswered())
        silent_ms = phase  # after the last line
        if middle:
            life.note_received(silent_ms, False, True)
        agent.now_ms = life.deadline_ms
        assert agent.now_ms > platform_watcher.HEARTBEAT_INTERVAL_MS or middle
        agent.dispatch(platform_watcher.CallEnded(False, was_slow=life.may_need_longer_timeout(agent.now_ms)))
        agent.call(float("inf"), late=True)
        assert agent.now_ms - silent_ms < 6000.0 + grace_ms / 3
        if grace_ms <= 2000.0:
            assert agent.now_ms - silent_ms < 6000.0


@pytest.mark.parametrize("must_ask", [False, True])
def test_watch_that_never_completes_a_line_reaches_its_deadline(must_ask: bool) -> None:
    """Guards against a byte a second and no line: each byte used to extend the deadline."""
    follow = PlatformWatcher(random.Random(1), must_ask, 10_000.0)
    life, now = follow.start_deadline(0.0), 0.0
    life.note_connected(now)
    life.note_received(now, True, False)
    while now < life.deadline_ms:
        now += 100.0
        life.note_received(now, False, True)
    assert now <= 100.0 + follow.timeouts.message_timeout_ms
    assert life.may_need_longer_timeout(now)


def test_incomplete_snapshot_reaches_its_deadline() -> None:
    follow = PlatformWatcher(random.Random(1), False, 1000.0)
    life, now = follow.start_deadline(0.0), 0.0
    life.note_connected(now)
    life.note_received(now, True, True)  # its head
    while now < life.deadline_ms:
        now += 50.0
        life.note_received(now, False, True)
    assert now <= 50.0 + follow.timeouts.message_timeout_ms


def test_complete_lines_extend_the_deadline_wherever_they_are_cut() -> None:
    follow = PlatformWatcher(random.Random(1), False, 500.0)
    life, now = follow.start_deadline(0.0), 0.0
    life.note_connected(now)
    life.note_received(now, True, False)
    for _ in range(20):
        now += platform_watcher.HEARTBEAT_INTERVAL_MS
        assert now < life.deadline_ms
        life.note_received(now, False, True)
        now += 50.0
        assert now < life.deadline_ms
        life.note_received(now, True, False)


def test_progress_timeout_of_a_starved_node_grows_to_a_limit_and_shrinks_again() -> None:
    """Guards a node whose every turn comes late against giving up each call just before its answer."""
    follow = PlatformWatcher(random.Random(1), False, 500.0)
    follow.handle(0.0, platform_watcher.SubscriptionChanged(True), 7)
    seen = []
    for _ in range(12):
        life = follow.start_deadline(0.0)
        life.note_connected(0.0)
        late = life.deadline_ms + 300.0
        follow.handle(late, platform_watcher.CallEnded(False, was_slow=life.may_need_longer_timeout(late)), 7)
        follow.handle(late, platform_watcher.RetryTimerFired(), 7)
        seen.append(follow.progress_timeout_ms)
    assert (
        seen[0] == follow.timeouts.progress_timeout_ms < seen[1]
        and max(seen) <= platform_watcher.MAX_PROGRESS_TIMEOUT_MS
    )
    assert max(seen) > 300.0  # no longer given up because of its own lateness
    for _ in range(12):  # in time and mute: more patience would only miss the return
        follow.handle(0.0, platform_watcher.CallEnded(False), 7)
        follow.handle(0.0, platform_watcher.RetryTimerFired(), 7)
    assert follow.progress_timeout_ms == follow.timeouts.progress_timeout_ms
    for _ in range(2):
        follow.handle(0.0, platform_watcher.CallEnded(False, was_slow=True), 7)
    assert follow.progress_timeout_ms > follow.timeouts.progress_timeout_ms
    follow.handle(0.0, platform_watcher.DiscoveryAnswered(), 7)
    assert follow.progress_timeout_ms == follow.timeouts.progress_timeout_ms


@pytest.mark.parametrize("grace_ms", [500.0, 2000.0])
def test_agent_that_is_always_slow_is_answered_in_the_end(grace_ms: float) -> None:
    """Guards against no list for good. The end of an outage of a minute is still noticed in time."""
    agent = DiscoveryAgent(1, grace_ms)
    while agent.watcher.progress_timeout_ms == agent.watcher.timeouts.progress_timeout_ms:
        agent.call(float("inf"))
    assert agent.now_ms > 60_000.0
    assert (
        agent.watcher.progress_timeout_ms + 1.5 * agent.watcher.timeouts.max_retry_wait_ms < grace_ms
    )  # and after it for a while
    while agent.watcher.progress_timeout_ms < platform_watcher.MAX_PROGRESS_TIMEOUT_MS:
        agent.call(float("inf"))
    for _ in range(1000):
        agent.call(float("inf"))
    assert agent.watcher.progress_timeout_ms == platform_watcher.MAX_PROGRESS_TIMEOUT_MS


@pytest.mark.parametrize("grace_ms", GRACES)
def test_progress_timeout_of_stalled_calls_stays_within_the_drain_grace(grace_ms: float) -> None:
    """Each brings half an answer, then silence: longer timeouts would notice the return too late."""
    follow = PlatformWatcher(random.Random(1), False, grace_ms)
    follow.handle(0.0, platform_watcher.SubscriptionChanged(True), 7)
    for _ in range(platform_watcher.LONG_OUTAGE_FAILURES - 1):
        life = follow.start_deadline(0.0)
        life.note_received(0.0, True, True)
        assert life.deadline_ms + 1.5 * follow.timeouts.max_retry_wait_ms <= 0.9 * grace_ms
        follow.handle(
            life.deadline_ms,
            platform_watcher.CallEnded(False, was_slow=life.may_need_longer_timeout(life.deadline_ms)),
            7,
        )
        follow.handle(life.deadline_ms, platform_watcher.RetryTimerFired(), 7)


def test_progress_timeout_of_polling_nodes_is_the_poll_timeout() -> None:
    follow = PlatformWatcher(random.Random(1), True, 500.0)
    life = follow.start_deadline(0.0)
    assert life.deadline_ms == 2000.0
    life.note_connected(100.0)
    assert life.deadline_ms == 5100.0
    follow.handle(0.0, platform_watcher.CallEnded(False, was_slow=True), 7)
    assert follow.start_deadline(0.0).progress_timeout_ms == 5000.0


def test_silent_watch_of_a_polling_node_leaves_time_for_a_poll() -> None:
    """The policy's first wait follows, which may last 3/32 of the poll interval."""
    life = PlatformWatcher(random.Random(1), True, 500.0).start_deadline(0.0)
    life.note_connected(0.0)
    life.note_received(0.0, True, False)
    assert (
        life.deadline_ms > platform_watcher.HEARTBEAT_INTERVAL_MS
        and life.deadline_ms + 20_000.0 * 3 / 32 < 6000.0
    )
