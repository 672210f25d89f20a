"""Tests of the platform watcher: transitions by state and event, deadlines, and many nodes at once."""

from __future__ import annotations

import random

import pytest

from balancer.core.discovery import platform_watcher
from balancer.core.discovery.platform_watcher import PlatformWatcher
from balancer.notification_deadlines import MAX_CALL_INTERVAL_MS, late_retry_wait_limit_ms

# Long enough that the longest retry wait is not shortened.
LONG_DRAIN_GRACE_MS = platform_watcher.MAX_RETRY_WAIT_MS / platform_watcher.RETRY_WAIT_PER_DRAIN_GRACE


def make_watcher(must_poll: bool = False, state: str = "idle") -> PlatformWatcher:
    """A watcher in a state: unsubscribed, idle (subscribed, but without a call), following or waiting."""
    watcher = PlatformWatcher(random.Random(1), must_poll, LONG_DRAIN_GRACE_MS)
    watcher.is_subscribed = state != "unsubscribed"
    watcher.has_active_call, watcher.is_waiting = state == "following", state == "waiting"
    return watcher


FETCH_SNAPSHOT, START_WATCH, SET_RETRY_TIMER = "FetchSnapshot", "StartWatch", "SetRetryTimer"
# State, event and known revision; then the expected actions and the expected state.
TABLE = [
    ("unsubscribed", platform_watcher.SubscriptionChanged(True), None, [FETCH_SNAPSHOT], "following"),
    ("unsubscribed", platform_watcher.SubscriptionChanged(True), 7, [START_WATCH], "following"),
    ("unsubscribed", platform_watcher.SubscriptionChanged(False), 7, ["CancelCalls"], "unsubscribed"),
    ("unsubscribed", platform_watcher.AddressChanged(), 7, ["CancelCalls"], "unsubscribed"),
    ("unsubscribed", platform_watcher.DiscoveryAnswered(), 7, [], "unsubscribed"),
    ("unsubscribed", platform_watcher.CallEnded(True), 7, [], "unsubscribed"),
    ("unsubscribed", platform_watcher.CallEnded(False), 7, [], "unsubscribed"),
    ("unsubscribed", platform_watcher.RetryTimerFired(), 7, [], "unsubscribed"),
    ("following", platform_watcher.SubscriptionChanged(True), 7, [], "following"),
    ("following", platform_watcher.SubscriptionChanged(False), 7, ["CancelCalls"], "unsubscribed"),
    ("following", platform_watcher.AddressChanged(), 7, ["CancelCalls", FETCH_SNAPSHOT], "following"),
    ("following", platform_watcher.DiscoveryAnswered(), 7, [], "following"),
    ("following", platform_watcher.CallEnded(True), 7, [START_WATCH], "following"),
    ("following", platform_watcher.CallEnded(True), None, [SET_RETRY_TIMER], "waiting"),
    ("following", platform_watcher.CallEnded(False), 7, [SET_RETRY_TIMER], "waiting"),
    ("following", platform_watcher.CallEnded(True, is_additional=True), 7, [], "following"),
    ("following", platform_watcher.CallEnded(False, is_additional=True), 7, [], "following"),
    ("following", platform_watcher.RetryTimerFired(), 7, [], "following"),
    ("waiting", platform_watcher.SubscriptionChanged(True), 7, [], "waiting"),
    ("waiting", platform_watcher.SubscriptionChanged(False), 7, ["CancelCalls"], "unsubscribed"),
    ("waiting", platform_watcher.AddressChanged(), 7, ["CancelCalls", FETCH_SNAPSHOT], "following"),
    ("waiting", platform_watcher.DiscoveryAnswered(), 7, [], "waiting"),
    ("waiting", platform_watcher.CallEnded(True, is_additional=True), 7, [], "waiting"),
    ("waiting", platform_watcher.RetryTimerFired(), None, [FETCH_SNAPSHOT], "following"),
    ("waiting", platform_watcher.RetryTimerFired(), 7, [START_WATCH], "following"),
]


@pytest.mark.parametrize(("state", "event", "revision", "expected_actions", "expected_state"), TABLE)
def test_watcher_event_in_each_state_returns_the_actions_of_the_table(
    state: str,
    event: platform_watcher.Event,
    revision: int | None,
    expected_actions: list[str],
    expected_state: str,
) -> None:
    watcher = make_watcher(state=state)
    actions = watcher.handle(1000.0, event, revision)
    assert [type(action).__name__ for action in actions] == expected_actions
    actual_state = (
        "unsubscribed" if not watcher.is_subscribed else "following" if watcher.has_active_call else "waiting"
    )
    assert actual_state == expected_state


@pytest.mark.parametrize(
    ("event", "expected_actions"),
    [
        (platform_watcher.CallEnded(False), [platform_watcher.NotifyCallFailed()]),
        # A complete snapshot that was not applied: no watch can follow.
        (platform_watcher.CallEnded(True), [platform_watcher.NotifyCallFailed()]),
        (platform_watcher.CallEnded(False, is_additional=True), [platform_watcher.NotifyCallFailed()]),
        (platform_watcher.CallEnded(True, is_additional=True), []),
    ],
)
def test_watcher_that_must_poll_notifies_the_policy_of_failed_calls(
    event: platform_watcher.Event, expected_actions: list[platform_watcher.Action]
) -> None:
    assert make_watcher(must_poll=True, state="following").handle(1000.0, event, None) == expected_actions


def test_retry_waits_grow_to_a_limit_and_are_reset_by_an_answer() -> None:
    watcher = make_watcher(state="following")
    wait_times_ms = []
    for _ in range(8):
        (retry_timer,) = watcher.handle(0.0, platform_watcher.CallEnded(False), 7)
        assert isinstance(retry_timer, platform_watcher.SetRetryTimer)
        wait_times_ms.append(retry_timer.at_ms)
        watcher.handle(0.0, platform_watcher.RetryTimerFired(), 7)
    assert (
        wait_times_ms[0] <= 1.5 * platform_watcher.INITIAL_RETRY_WAIT_MS
        and 0.5 * platform_watcher.MAX_RETRY_WAIT_MS
        <= wait_times_ms[-1]
        <= 1.5 * platform_watcher.MAX_RETRY_WAIT_MS
    )
    watcher.handle(0.0, platform_watcher.DiscoveryAnswered(), 7)
    (retry_timer,) = watcher.handle(0.0, platform_watcher.CallEnded(False), 7)
    assert (
        isinstance(retry_timer, platform_watcher.SetRetryTimer)
        and retry_timer.at_ms <= 1.5 * platform_watcher.INITIAL_RETRY_WAIT_MS
    )


def test_retries_of_a_thousand_nodes_are_spread_over_the_longest_wait() -> None:
    """Guards against a burst of calls when discovery is back after an outage of a minute."""
    attempt_times_ms = []
    for seed in range(1000):
        watcher = PlatformWatcher(random.Random(seed), False, LONG_DRAIN_GRACE_MS)
        now_ms = 0.0
        watcher.handle(now_ms, platform_watcher.SubscriptionChanged(True), 7)
        while now_ms < 60_000.0:
            (retry_timer,) = watcher.handle(now_ms, platform_watcher.CallEnded(False), 7)
            assert isinstance(retry_timer, platform_watcher.SetRetryTimer)
            now_ms = retry_timer.at_ms
            watcher.handle(now_ms, platform_watcher.RetryTimerFired(), 7)
        attempt_times_ms.append(now_ms)
    max_attempts_per_s = max(
        sum(start_ms <= time_ms < start_ms + 1000.0 for time_ms in attempt_times_ms)
        for start_ms in attempt_times_ms
    )
    assert max(attempt_times_ms) - min(attempt_times_ms) > 1500.0 and max_attempts_per_s < 700


# --- pushed lists: an agent that answers immediately, and is silent or refuses calls while discovery is down

DRAIN_GRACES_MS = [500.0, 1000.0, 2000.0, 10_000.0]


class DiscoveryAgent:
    """Simulates, in virtual time, a node's calls to an agent that answers immediately."""

    def __init__(self, seed: int, grace_ms: float) -> None:
        self.now_ms = 0.0
        self.watcher = PlatformWatcher(random.Random(seed), False, grace_ms)
        self.dispatch(platform_watcher.SubscriptionChanged(True))

    def dispatch(self, event: platform_watcher.Event) -> None:
        """Handle an event, and advance the clock to the next call."""
        for action in self.watcher.handle(self.now_ms, event, 7):
            if isinstance(action, platform_watcher.SetRetryTimer):
                self.now_ms = action.at_ms
                self.dispatch(platform_watcher.RetryTimerFired())

    def call(self, recovered_at_ms: float, refuses: bool = False, connects_late: bool = False) -> bool:
        """Make one call; returns whether it was answered.

        A call that begins before `recovered_at_ms` never gets an answer. `connects_late`: it connects at the
        last possible moment.
        """
        if self.now_ms >= recovered_at_ms:
            return True
        deadline = self.watcher.start_deadline(self.now_ms)
        if connects_late:
            self.now_ms = deadline.deadline_ms
        deadline.note_connected(self.now_ms)  # this does not extend the deadline
        if not refuses:
            self.now_ms = deadline.deadline_ms
        self.dispatch(
            platform_watcher.CallEnded(False, was_slow=deadline.may_need_longer_timeout(self.now_ms))
        )
        return False


@pytest.mark.parametrize("grace_ms", DRAIN_GRACES_MS)
@pytest.mark.parametrize("failure_mode", ["refuses", "silent", "late and silent"])
def test_recovery_of_discovery_is_detected_within_two_thirds_of_the_drain_grace(
    grace_ms: float, failure_mode: str
) -> None:
    """Guards against new requests to a draining backend: its draining counts as notified on recovery."""
    max_delay_ms = 0.0
    for seed in range(300):
        recovered_at_ms = 3000.0 + 17.0 * seed
        agent = DiscoveryAgent(seed, grace_ms)
        while not agent.call(recovered_at_ms, failure_mode == "refuses", failure_mode == "late and silent"):
            pass
        max_delay_ms = max(max_delay_ms, agent.now_ms - recovered_at_ms)
    assert max_delay_ms <= grace_ms * 2 / 3


@pytest.mark.parametrize("grace_ms", [0.0, 100.0])
def test_retry_interval_has_a_minimum_for_any_drain_grace(grace_ms: float) -> None:
    agent, attempt_count = DiscoveryAgent(1, grace_ms), 0
    while not agent.call(60_000.0):
        attempt_count += 1
    assert attempt_count < 60_000.0 / (
        platform_watcher.MIN_PROGRESS_TIMEOUT_MS + platform_watcher.MIN_RETRY_WAIT_LIMIT_MS / 2
    )


@pytest.mark.parametrize("grace_ms", DRAIN_GRACES_MS)
@pytest.mark.parametrize("heartbeat_phase_ms", [0.0, 1.0, 500.0, 1000.0, 1999.0])
@pytest.mark.parametrize("is_within_line", [False, True])
def test_silent_watch_is_replaced_before_missed_draining_has_to_take_effect(
    grace_ms: float, heartbeat_phase_ms: float, is_within_line: bool
) -> None:
    """Covers all heartbeat phases. The next call is slow to connect and stays silent; then one answers."""
    for seed in range(50):
        agent = DiscoveryAgent(seed, grace_ms)
        deadline = agent.watcher.start_deadline(0.0)
        deadline.note_connected(0.0)
        deadline.note_received(0.0, True, False)
        agent.dispatch(platform_watcher.DiscoveryAnswered())
        silent_since_ms = heartbeat_phase_ms  # since the last line
        if is_within_line:
            deadline.note_received(silent_since_ms, False, True)
        agent.now_ms = deadline.deadline_ms
        assert agent.now_ms > platform_watcher.HEARTBEAT_INTERVAL_MS or is_within_line
        agent.dispatch(
            platform_watcher.CallEnded(False, was_slow=deadline.may_need_longer_timeout(agent.now_ms))
        )
        agent.call(float("inf"), connects_late=True)
        assert agent.now_ms - silent_since_ms < 6000.0 + grace_ms / 3
        if grace_ms <= 2000.0:
            assert agent.now_ms - silent_since_ms < 6000.0


@pytest.mark.parametrize("must_poll", [False, True])
def test_watch_that_never_completes_a_line_reaches_its_deadline(must_poll: bool) -> None:
    """Guards against a watch that sends single bytes but no line: each byte used to extend the deadline."""
    watcher = PlatformWatcher(random.Random(1), must_poll, 10_000.0)
    deadline, now_ms = watcher.start_deadline(0.0), 0.0
    deadline.note_connected(now_ms)
    deadline.note_received(now_ms, True, False)
    while now_ms < deadline.deadline_ms:
        now_ms += 100.0
        deadline.note_received(now_ms, False, True)
    assert now_ms <= 100.0 + watcher.timeouts.message_timeout_ms
    assert deadline.may_need_longer_timeout(now_ms)


def test_incomplete_snapshot_reaches_its_deadline() -> None:
    watcher = PlatformWatcher(random.Random(1), False, 1000.0)
    deadline, now_ms = watcher.start_deadline(0.0), 0.0
    deadline.note_connected(now_ms)
    deadline.note_received(now_ms, True, True)  # the head
    while now_ms < deadline.deadline_ms:
        now_ms += 50.0
        deadline.note_received(now_ms, False, True)
    assert now_ms <= 50.0 + watcher.timeouts.message_timeout_ms


def test_complete_lines_in_several_parts_extend_the_deadline() -> None:
    watcher = PlatformWatcher(random.Random(1), False, 500.0)
    deadline, now_ms = watcher.start_deadline(0.0), 0.0
    deadline.note_connected(now_ms)
    deadline.note_received(now_ms, True, False)
    for _ in range(20):
        now_ms += platform_watcher.HEARTBEAT_INTERVAL_MS
        assert now_ms < deadline.deadline_ms
        deadline.note_received(now_ms, False, True)
        now_ms += 50.0
        assert now_ms < deadline.deadline_ms
        deadline.note_received(now_ms, True, False)


def test_progress_timeout_of_a_starved_node_grows_to_a_limit_and_shrinks_again() -> None:
    """Guards against a node that is always delayed and therefore cancels each call just before its answer."""
    watcher = PlatformWatcher(random.Random(1), False, 500.0)
    watcher.handle(0.0, platform_watcher.SubscriptionChanged(True), 7)
    timeouts_ms = []
    for _ in range(12):
        deadline = watcher.start_deadline(0.0)
        deadline.note_connected(0.0)
        late_ms = deadline.deadline_ms + 300.0
        watcher.handle(
            late_ms, platform_watcher.CallEnded(False, was_slow=deadline.may_need_longer_timeout(late_ms)), 7
        )
        watcher.handle(late_ms, platform_watcher.RetryTimerFired(), 7)
        timeouts_ms.append(watcher.progress_timeout_ms)
    assert (
        timeouts_ms[0] == watcher.timeouts.progress_timeout_ms < timeouts_ms[1]
        and max(timeouts_ms) <= platform_watcher.MAX_PROGRESS_TIMEOUT_MS
    )
    assert max(timeouts_ms) > 300.0  # the node's own delay no longer cancels a call
    for _ in range(12):  # on time and silent: a longer timeout would only delay detection of the recovery
        watcher.handle(0.0, platform_watcher.CallEnded(False), 7)
        watcher.handle(0.0, platform_watcher.RetryTimerFired(), 7)
    assert watcher.progress_timeout_ms == watcher.timeouts.progress_timeout_ms
    for _ in range(2):
        watcher.handle(0.0, platform_watcher.CallEnded(False, was_slow=True), 7)
    assert watcher.progress_timeout_ms > watcher.timeouts.progress_timeout_ms
    watcher.handle(0.0, platform_watcher.DiscoveryAnswered(), 7)
    assert watcher.progress_timeout_ms == watcher.timeouts.progress_timeout_ms


@pytest.mark.parametrize("grace_ms", [500.0, 2000.0])
def test_agent_always_slow_is_eventually_given_a_sufficient_timeout(grace_ms: float) -> None:
    """Guards against never receiving a list; the end of a one-minute outage is still detected in time."""
    agent = DiscoveryAgent(1, grace_ms)
    while agent.watcher.progress_timeout_ms == agent.watcher.timeouts.progress_timeout_ms:
        agent.call(float("inf"))
    assert agent.now_ms > 60_000.0
    # The delay stays below the grace for a while after the minute as well.
    assert agent.watcher.progress_timeout_ms + 1.5 * agent.watcher.timeouts.max_retry_wait_ms < grace_ms
    while agent.watcher.progress_timeout_ms < platform_watcher.MAX_PROGRESS_TIMEOUT_MS:
        agent.call(float("inf"))
    for _ in range(1000):
        agent.call(float("inf"))
    assert agent.watcher.progress_timeout_ms == platform_watcher.MAX_PROGRESS_TIMEOUT_MS


@pytest.mark.parametrize("grace_ms", DRAIN_GRACES_MS)
def test_progress_timeout_of_stalled_calls_stays_within_the_drain_grace(grace_ms: float) -> None:
    """Each call stalls after half an answer; with longer timeouts the recovery would be detected too late."""
    watcher = PlatformWatcher(random.Random(1), False, grace_ms)
    watcher.handle(0.0, platform_watcher.SubscriptionChanged(True), 7)
    for _ in range(platform_watcher.LONG_OUTAGE_FAILURES - 1):
        deadline = watcher.start_deadline(0.0)
        deadline.note_received(0.0, True, True)
        assert deadline.deadline_ms + 1.5 * watcher.timeouts.max_retry_wait_ms <= 0.9 * grace_ms
        watcher.handle(
            deadline.deadline_ms,
            platform_watcher.CallEnded(
                False, was_slow=deadline.may_need_longer_timeout(deadline.deadline_ms)
            ),
            7,
        )
        watcher.handle(deadline.deadline_ms, platform_watcher.RetryTimerFired(), 7)


@pytest.mark.parametrize("grace_ms", [500.0, 2000.0])
def test_silent_call_after_an_outage_of_minutes_ends_within_the_drain_grace(grace_ms: float) -> None:
    """The agent that returns has a drain at once; the call that it never answers has to end in time."""
    watcher, now_ms = PlatformWatcher(random.Random(1), False, grace_ms), 0.0
    watcher.handle(now_ms, platform_watcher.SubscriptionChanged(True), 7)
    while now_ms < 720_000.0:
        deadline = watcher.start_deadline(now_ms)
        assert deadline.deadline_ms - now_ms + 1.5 * watcher.timeouts.max_retry_wait_ms <= grace_ms
        now_ms = deadline.deadline_ms
        timer = watcher.handle(now_ms, platform_watcher.CallEnded(False), 7)[-1]
        assert isinstance(timer, platform_watcher.SetRetryTimer)
        now_ms = timer.at_ms
        watcher.handle(now_ms, platform_watcher.RetryTimerFired(), 7)


def test_timeout_of_a_poll_leaves_time_for_the_next_one() -> None:
    """Guards against a call that hangs for so long that a drain is known late; some calls are patient."""
    watcher = PlatformWatcher(random.Random(1), True, 500.0)
    for timeout_ms in (3000.0, 3000.0, 3000.0, 4000.0, 3000.0):
        deadline = watcher.start_deadline(0.0)
        assert deadline.progress_timeout_ms == timeout_ms
        assert deadline.deadline_ms == 2000.0
        deadline.note_connected(100.0)
        assert deadline.deadline_ms == 100.0 + timeout_ms
        watcher.handle(0.0, platform_watcher.CallEnded(False, was_slow=True), 7)


def test_watch_of_a_polling_node_with_its_head_alone_is_idle() -> None:
    """A second watch beside it would not be known to the request policy, which schedules the next call."""
    watcher = PlatformWatcher(random.Random(1), True, 500.0)
    watcher.handle(0.0, platform_watcher.CallEnded(False), 7)
    deadline = watcher.start_deadline(0.0)
    deadline.note_connected(0.0)
    deadline.note_received(100.0, True, False, is_head_alone=True)
    assert deadline.deadline_ms == 3600.0 and not deadline.has_only_head


def test_timeout_of_a_poll_is_short_if_nodes_have_to_poll_often() -> None:
    for poll_within_ms, timeout_ms in ((1000.0, 2000.0), (100.0, 500.0)):
        watcher = PlatformWatcher(random.Random(1), True, 500.0, poll_within_ms)
        assert watcher.start_deadline(0.0).progress_timeout_ms == timeout_ms


def test_silent_watch_of_a_polling_node_leaves_time_for_a_poll() -> None:
    """The policy's first wait follows."""
    deadline = PlatformWatcher(random.Random(1), True, 500.0).start_deadline(0.0)
    deadline.note_connected(0.0)
    deadline.note_received(0.0, True, False)
    assert deadline.deadline_ms > platform_watcher.HEARTBEAT_INTERVAL_MS
    first_wait_ms = late_retry_wait_limit_ms(deadline.deadline_ms)
    assert deadline.deadline_ms + first_wait_ms <= MAX_CALL_INTERVAL_MS < 6000.0 - 1000.0
