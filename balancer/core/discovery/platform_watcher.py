"""What to ask of the platform's discovery next: its whole list, a watch from a revision, nothing for a while.

Where the settings say that nodes ask by themselves, the decision module says when to ask again after a
failure, and patience is long: discovery is one service for all, and calls wait their turn.

Where lists are pushed, discovery is an agent on the node's own machine that answers at once, and what it has
counts as told at once. A call that says nothing was opened while discovery was down: it and the wait after it
have to be over well within the time in which a drain has to be obeyed, counted from discovery's return.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from balancer.core.backoff import Backoff

INITIAL_RETRY_WAIT_MS, MAX_RETRY_WAIT_MS = (
    100.0,
    2000.0,
)  # waits before a new try, doubled with each failure, jittered
# Of the time to obey a drain, where lists are pushed: a call's patience, from its beginning to its answer's,
# and the longest wait. That one is drawn up to 1.5 of it, so at most 0.45 + 1.5 * 0.4 / 3 = 0.65 of that time
# pass from discovery's return to the next call.
PROGRESS_TIMEOUT_PER_DRAIN_GRACE, RETRY_WAIT_PER_DRAIN_GRACE = 0.45, 0.4 / 3
MIN_PROGRESS_TIMEOUT_MS, MIN_RETRY_WAIT_LIMIT_MS = (
    100.0,
    40.0,
)  # however short that time is: tries cost processor time
MAX_PROGRESS_TIMEOUT_MS = 2000.0  # of a node that is starved, or whose discovery stutters
PROGRESS_TIMEOUT_GROWTH_FACTOR = (
    1.5  # as much patience, where it has to grow: still within the time to obey a drain, up to
)
LONG_OUTAGE_FAILURES = (
    256  # failures in a row; then it goes on growing: no list at all is worse than a late one
)
MAX_CONNECT_TIMEOUT_MS = 2000.0  # for a connection to come up
HEARTBEAT_INTERVAL_MS = 2000.0  # an empty line comes so often on a watch where nothing changes


@dataclass(slots=True, frozen=True)
class CallTimeouts:
    """How long calls are waited for, in milliseconds."""

    progress_timeout_ms: float  # for an answer to begin, and for the next piece of what has begun
    answer_timeout_ms: float  # for an answer to begin, from when the call is connected, if that is later
    watch_idle_timeout_ms: float  # between two whole lines of a watch
    message_timeout_ms: float  # for a line or a whole list, from its first piece to its last
    max_retry_wait_ms: float  # the longest between two tries, before it is drawn


def call_timeouts(must_poll: bool, drain_grace_ms: float) -> CallTimeouts:
    """What the settings allow.

    A watch that fell silent is given up 3.5 s after its last line. What it missed counts as told 6 s after
    it fell silent: that leaves 2.5 s, and the time to obey a drain, for more calls.
    """
    watch_idle_timeout_ms = 1.75 * HEARTBEAT_INTERVAL_MS
    if must_poll:
        return CallTimeouts(5000.0, 5000.0, watch_idle_timeout_ms, 5000.0, MAX_RETRY_WAIT_MS)
    progress_timeout_ms = max(
        MIN_PROGRESS_TIMEOUT_MS,
        min(PROGRESS_TIMEOUT_PER_DRAIN_GRACE * drain_grace_ms, MAX_PROGRESS_TIMEOUT_MS),
    )
    max_retry_wait_ms = max(
        MIN_RETRY_WAIT_LIMIT_MS, min(RETRY_WAIT_PER_DRAIN_GRACE * drain_grace_ms, MAX_RETRY_WAIT_MS)
    )
    return CallTimeouts(
        progress_timeout_ms, 0.0, watch_idle_timeout_ms, HEARTBEAT_INTERVAL_MS, max_retry_wait_ms
    )


class CallDeadline:
    """Until when one call may go on: it lives by whole lines, not by bytes.

    Guards against a watch that falls silent in the middle of a line, and one that dribbles and never ends it.
    """

    def __init__(self, now_ms: float, timeouts: CallTimeouts, progress_timeout_ms: float) -> None:
        self.timeouts, self.progress_timeout_ms = timeouts, progress_timeout_ms
        self.deadline_ms = now_ms + min(progress_timeout_ms, MAX_CONNECT_TIMEOUT_MS)
        self.last_message_ms = now_ms  # when the last whole line came, or the answer began
        self.has_only_head = (
            False  # a head has come, and nothing since: another call may be due beside this one
        )
        self.incomplete_since_ms: float | None = None  # when what is under way began

    def note_connected(self, now_ms: float) -> None:
        """The call is made."""
        self.deadline_ms = max(self.deadline_ms, now_ms + self.timeouts.answer_timeout_ms)

    def note_received(
        self, now_ms: float, has_message: bool, is_incomplete: bool, is_head_alone: bool = False
    ) -> None:
        """A piece of an answer came: with its head or a line in it (`whole`), with the rest `under_way`."""
        if has_message:
            self.last_message_ms, self.incomplete_since_ms = now_ms, None
        self.has_only_head = (
            is_head_alone
            and not is_incomplete
            and self.progress_timeout_ms < self.timeouts.watch_idle_timeout_ms
        )
        if is_incomplete:
            self.incomplete_since_ms = (
                now_ms if self.incomplete_since_ms is None else self.incomplete_since_ms
            )
            self.deadline_ms = min(
                now_ms + self.progress_timeout_ms, self.incomplete_since_ms + self.timeouts.message_timeout_ms
            )
        else:
            self.incomplete_since_ms = None
            self.deadline_ms = self.last_message_ms + (
                self.progress_timeout_ms if self.has_only_head else self.timeouts.watch_idle_timeout_ms
            )

    def may_need_longer_timeout(self, now_ms: float) -> bool:
        """Whether more patience may help a call that is over its time: it had begun, or this is late."""
        return (
            self.incomplete_since_ms is not None or now_ms - self.deadline_ms > self.progress_timeout_ms / 2
        )


@dataclass(slots=True, frozen=True)
class SubscriptionChanged:
    """The list is wanted from now on, or no longer."""

    is_enabled: bool


@dataclass(slots=True, frozen=True)
class AddressChanged:
    """Discovery is at another address."""


@dataclass(slots=True, frozen=True)
class DiscoveryAnswered:
    """Discovery said something that could be read, or that nothing has changed."""


@dataclass(slots=True, frozen=True)
class CallEnded:
    """A call is over; `whole` says that it brought the whole list, `extra` that nothing goes on from it.

    `slow` says that it was given up, and that more patience might have helped.
    """

    is_complete: bool
    is_additional: bool = False
    was_slow: bool = False


@dataclass(slots=True, frozen=True)
class RetryTimerFired:
    """The time that `Wait` named has come."""


Event = SubscriptionChanged | AddressChanged | DiscoveryAnswered | CallEnded | RetryTimerFired


@dataclass(slots=True, frozen=True)
class FetchSnapshot:
    """Ask for the whole list; a watch goes on from it."""


@dataclass(slots=True, frozen=True)
class StartWatch:
    """Watch what comes after this revision."""

    revision: int


@dataclass(slots=True, frozen=True)
class CancelCalls:
    """End all calls, and any wait."""


@dataclass(slots=True, frozen=True)
class SetRetryTimer:
    """Hand in `Due` at this clock time."""

    at_ms: float


@dataclass(slots=True, frozen=True)
class NotifyCallFailed:
    """Tell the decision module that a call failed: it says when to ask again."""


Action = FetchSnapshot | StartWatch | CancelCalls | SetRetryTimer | NotifyCallFailed


class PlatformWatcher:
    """At most one call that follows the list is out, or one wait."""

    def __init__(self, rng: random.Random, must_poll: bool, drain_grace_ms: float) -> None:
        self.must_poll = must_poll
        self.is_subscribed = self.has_active_call = self.is_waiting = False
        self.timeouts = call_timeouts(must_poll, drain_grace_ms)
        self.progress_timeout_ms = self.timeouts.progress_timeout_ms
        self.consecutive_failures = 0  # calls in a row
        self.last_failure_was_slow = False  # more patience might have helped the last one
        self.backoff = Backoff(
            min(INITIAL_RETRY_WAIT_MS, self.timeouts.max_retry_wait_ms), self.timeouts.max_retry_wait_ms, rng
        )

    def start_deadline(self, now_ms: float) -> CallDeadline:
        """Of a call that begins."""
        return CallDeadline(now_ms, self.timeouts, self.progress_timeout_ms)

    def handle(self, now_ms: float, event: Event, revision: int | None) -> list[Action]:
        """Decide; `revision` is that of the list held, None where only the whole list will do."""
        match event:
            case SubscriptionChanged(is_enabled=False):
                self.is_subscribed = self.has_active_call = self.is_waiting = False
                return [CancelCalls()]
            case SubscriptionChanged():
                self.is_subscribed = True
                return [] if self.has_active_call or self.is_waiting else self._start_call(revision)
            case AddressChanged():
                self.has_active_call = self.is_waiting = False
                self._reset_after_answer()
                return [CancelCalls(), *(self._start_call(None) if self.is_subscribed else [])]
            case DiscoveryAnswered():
                self._reset_after_answer()
                return []
            case CallEnded():
                return self._handle_call_ended(now_ms, event, revision)
            case RetryTimerFired():
                is_due, self.is_waiting = self.is_waiting and self.is_subscribed, False
                return self._start_call(revision) if is_due else []

    def _reset_after_answer(self) -> None:
        self.progress_timeout_ms, self.consecutive_failures, self.last_failure_was_slow = (
            self.timeouts.progress_timeout_ms,
            0,
            False,
        )
        self.backoff.reset()

    def _adjust_progress_timeout(self, was_slow: bool) -> None:
        """Guards a node that is starved against giving up each call too soon; a mute one gets no more."""
        self.consecutive_failures += 1
        min_timeout_ms = self.timeouts.progress_timeout_ms
        if (was_slow and self.last_failure_was_slow) or self.consecutive_failures % LONG_OUTAGE_FAILURES == 0:
            max_timeout_ms = (
                MAX_PROGRESS_TIMEOUT_MS
                if self.consecutive_failures >= LONG_OUTAGE_FAILURES
                else PROGRESS_TIMEOUT_GROWTH_FACTOR * min_timeout_ms
            )  # an outage may stall them, too
            self.progress_timeout_ms = max(
                min_timeout_ms,
                min(
                    PROGRESS_TIMEOUT_GROWTH_FACTOR * self.progress_timeout_ms,
                    max_timeout_ms,
                    MAX_PROGRESS_TIMEOUT_MS,
                ),
            )
        elif not was_slow and self.consecutive_failures < LONG_OUTAGE_FAILURES:
            self.progress_timeout_ms = max(
                min_timeout_ms, self.progress_timeout_ms / PROGRESS_TIMEOUT_GROWTH_FACTOR
            )
        self.last_failure_was_slow = was_slow

    def _start_call(self, revision: int | None) -> list[Action]:
        self.has_active_call = True
        return [FetchSnapshot() if revision is None else StartWatch(revision)]

    def _handle_call_ended(self, now_ms: float, event: CallEnded, revision: int | None) -> list[Action]:
        if not event.is_additional:
            self.has_active_call = False
        if not event.is_complete:
            self._adjust_progress_timeout(event.was_slow)
        if not self.is_subscribed:
            return []
        if event.is_complete and revision is not None and not event.is_additional:
            return self._start_call(revision)
        if self.must_poll:
            # A whole list that was not applied leaves nothing to watch from: it has to be asked for again.
            return [] if event.is_complete and event.is_additional else [NotifyCallFailed()]
        if event.is_additional:
            return []
        self.is_waiting = True
        return [SetRetryTimer(now_ms + self.backoff.next_delay_ms())]
