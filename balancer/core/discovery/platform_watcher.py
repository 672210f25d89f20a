"""Decides what to request from the platform's discovery next: a snapshot, a watch, or nothing yet.

If nodes poll (`must_poll`), the request policy decides when to poll again after a failure, and timeouts are
long: discovery is one service shared by all nodes, and calls queue there. `notification_deadlines` has both.

If lists are pushed, discovery is an agent on the node's own machine. It answers immediately, and the node
counts as notified of everything that the agent knows. A call without any answer was opened while discovery
was down. That call and the wait after it have to end well within the drain grace (the time within which
draining has to take effect), measured from the moment when discovery is back.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from balancer.core.backoff import Backoff

# The wait before a retry doubles with each failure and is jittered.
INITIAL_RETRY_WAIT_MS = 100.0
MAX_RETRY_WAIT_MS = 2000.0
# Fractions of the drain grace, for pushed lists. Jitter extends the longest wait to at most 1.5 times its
# limit, so at most 0.45 + 1.5 * 0.4 / 3 = 0.65 of the grace passes between discovery's recovery and the next
# call.
PROGRESS_TIMEOUT_PER_DRAIN_GRACE = 0.45
RETRY_WAIT_PER_DRAIN_GRACE = 0.4 / 3
# Lower bounds for a very short grace, because each attempt costs CPU time.
MIN_PROGRESS_TIMEOUT_MS = 100.0
MIN_RETRY_WAIT_LIMIT_MS = 40.0
MAX_PROGRESS_TIMEOUT_MS = 2000.0  # for a node short of CPU time, or with a discovery that stalls
# A growing timeout exceeds its initial value at most by this factor, which keeps it within the drain grace.
# After LONG_OUTAGE_FAILURES failures in a row it grows further, since no list is worse than a late one.
PROGRESS_TIMEOUT_GROWTH_FACTOR = 1.5
LONG_OUTAGE_FAILURES = 256
MAX_CONNECT_TIMEOUT_MS = 2000.0
DEFAULT_POLL_WITHIN_MS = 10_000.0
HEARTBEAT_INTERVAL_MS = 2000.0  # interval of discovery's empty lines on an idle watch
HEARTBEATS_PER_IDLE_TIMEOUT = 1.75


@dataclass(slots=True, frozen=True)
class CallTimeouts:
    """Timeouts of a call, in milliseconds."""

    progress_timeout_ms: float  # until an answer begins, and until the next part of an incomplete message
    answer_timeout_ms: float  # from connecting until an answer begins, if that is later
    watch_idle_timeout_ms: float  # between two messages of a watch
    message_timeout_ms: float  # from the first part of a line or snapshot to its last
    max_retry_wait_ms: float  # before jitter
    allows_second_watch: bool  # beside one that received only its response head after an outage


def push_timeouts(drain_grace_ms: float) -> CallTimeouts:
    """The timeouts of a node whose lists are pushed.

    A silent watch is canceled 3.5 s after its last line. The node counts as notified of missed changes 6 s
    after the watch fell silent, which leaves 2.5 s and the drain grace for further calls.
    """
    watch_idle_timeout_ms = HEARTBEATS_PER_IDLE_TIMEOUT * HEARTBEAT_INTERVAL_MS
    progress_timeout_ms = max(
        MIN_PROGRESS_TIMEOUT_MS,
        min(PROGRESS_TIMEOUT_PER_DRAIN_GRACE * drain_grace_ms, MAX_PROGRESS_TIMEOUT_MS),
    )
    max_retry_wait_ms = max(
        MIN_RETRY_WAIT_LIMIT_MS, min(RETRY_WAIT_PER_DRAIN_GRACE * drain_grace_ms, MAX_RETRY_WAIT_MS)
    )
    return CallTimeouts(
        progress_timeout_ms=progress_timeout_ms,
        answer_timeout_ms=0.0,
        watch_idle_timeout_ms=watch_idle_timeout_ms,
        message_timeout_ms=HEARTBEAT_INTERVAL_MS,
        max_retry_wait_ms=max_retry_wait_ms,
        allows_second_watch=True,
    )


def poll_timeouts(poll_within_ms: float, consecutive_failures: int) -> CallTimeouts:
    """The timeouts of a node that polls, for the call that follows so many failed ones."""
    from balancer import notification_deadlines as deadlines  # loaded on demand: most nodes never poll

    timeout_ms = deadlines.call_timeout_ms(poll_within_ms, consecutive_failures)
    return CallTimeouts(
        progress_timeout_ms=timeout_ms,
        answer_timeout_ms=timeout_ms,
        watch_idle_timeout_ms=deadlines.MAX_WATCH_SILENCE_MS,
        message_timeout_ms=deadlines.PATIENT_TIMEOUT_MS,
        max_retry_wait_ms=MAX_RETRY_WAIT_MS,
        allows_second_watch=False,
    )


class CallDeadline:
    """The deadline of one call. Complete messages extend it, partial ones do not.

    This ends a watch that falls silent in the middle of a line, and a watch that sends an endless line byte
    by byte.
    """

    def __init__(self, now_ms: float, timeouts: CallTimeouts, progress_timeout_ms: float) -> None:
        self.timeouts, self.progress_timeout_ms = timeouts, progress_timeout_ms
        self.deadline_ms = now_ms + min(progress_timeout_ms, MAX_CONNECT_TIMEOUT_MS)
        self.last_message_ms = now_ms  # when the last message was completed, or the answer began
        self.has_only_head = False  # only the answer's head arrived; an additional call may be due
        self.incomplete_since_ms: float | None = None  # when the incomplete message began

    def note_connected(self, now_ms: float) -> None:
        """Record that the call is connected and its request is sent."""
        self.deadline_ms = max(self.deadline_ms, now_ms + self.timeouts.answer_timeout_ms)

    def note_received(
        self, now_ms: float, has_message: bool, is_incomplete: bool, is_head_alone: bool = False
    ) -> None:
        """Record that a part of the answer was received.

        `has_message`: the part completed the head or a line. `is_incomplete`: it ended within a message.
        `is_head_alone`: it consisted of the head only, and the previous calls failed.
        """
        if has_message:
            self.last_message_ms, self.incomplete_since_ms = now_ms, None
        self.has_only_head = is_head_alone and not is_incomplete and self.timeouts.allows_second_watch
        if is_incomplete:
            if self.incomplete_since_ms is None:
                self.incomplete_since_ms = now_ms
            message_deadline_ms = self.incomplete_since_ms + self.timeouts.message_timeout_ms
            self.deadline_ms = min(now_ms + self.progress_timeout_ms, message_deadline_ms)
        else:
            self.incomplete_since_ms = None
            idle_timeout_ms = self.timeouts.watch_idle_timeout_ms
            self.deadline_ms = self.last_message_ms + (
                self.progress_timeout_ms if self.has_only_head else idle_timeout_ms
            )

    def may_need_longer_timeout(self, now_ms: float) -> bool:
        """Whether a longer timeout might help a call that is past its deadline.

        True if an answer had begun, or if this node itself runs late.
        """
        is_node_late = now_ms - self.deadline_ms > self.progress_timeout_ms / 2
        return self.incomplete_since_ms is not None or is_node_late


# --- events


@dataclass(slots=True, frozen=True)
class SubscriptionChanged:
    """The node subscribed to the list, or unsubscribed from it."""

    is_enabled: bool


@dataclass(slots=True, frozen=True)
class AddressChanged:
    """The address of discovery changed."""


@dataclass(slots=True, frozen=True)
class DiscoveryAnswered:
    """Discovery sent a valid message, or showed that nothing has changed."""


@dataclass(slots=True, frozen=True)
class CallEnded:
    """A call has ended.

    `is_complete`: it returned a complete snapshot. `is_additional`: it is not the call that follows the
    list. `was_slow`: it was canceled, and a longer timeout might have helped.
    """

    is_complete: bool
    is_additional: bool = False
    was_slow: bool = False


@dataclass(slots=True, frozen=True)
class RetryTimerFired:
    """The timer set by `SetRetryTimer` expired."""


Event = SubscriptionChanged | AddressChanged | DiscoveryAnswered | CallEnded | RetryTimerFired

# --- actions


@dataclass(slots=True, frozen=True)
class FetchSnapshot:
    """Request a snapshot; a watch from its revision follows."""


@dataclass(slots=True, frozen=True)
class StartWatch:
    """Watch for changes after this revision."""

    revision: int


@dataclass(slots=True, frozen=True)
class CancelCalls:
    """Cancel all calls and the retry timer."""


@dataclass(slots=True, frozen=True)
class SetRetryTimer:
    """Send `RetryTimerFired` at this clock time."""

    at_ms: float


@dataclass(slots=True, frozen=True)
class NotifyCallFailed:
    """Notify the request policy, which decides when to poll again, that a call failed."""


Action = FetchSnapshot | StartWatch | CancelCalls | SetRetryTimer | NotifyCallFailed


class PlatformWatcher:
    """Follows the platform's list, with at most one active following call or one retry timer."""

    def __init__(
        self,
        rng: random.Random,
        must_poll: bool,
        drain_grace_ms: float,
        poll_within_ms: float = DEFAULT_POLL_WITHIN_MS,
    ) -> None:
        self.must_poll, self.poll_within_ms = must_poll, poll_within_ms
        self.is_subscribed = self.has_active_call = self.is_waiting = False
        self.timeouts = poll_timeouts(poll_within_ms, 0) if must_poll else push_timeouts(drain_grace_ms)
        self.progress_timeout_ms = self.timeouts.progress_timeout_ms  # of the next call
        self.consecutive_failures = 0
        self.last_failure_was_slow = False  # a longer timeout might have helped
        max_retry_wait_ms = self.timeouts.max_retry_wait_ms
        self.backoff = Backoff(min(INITIAL_RETRY_WAIT_MS, max_retry_wait_ms), max_retry_wait_ms, rng)

    def start_deadline(self, now_ms: float) -> CallDeadline:
        """Create the deadline of a call that begins now."""
        if self.must_poll:
            self.timeouts = poll_timeouts(self.poll_within_ms, self.consecutive_failures)
            self.progress_timeout_ms = self.timeouts.progress_timeout_ms
        return CallDeadline(now_ms, self.timeouts, self.progress_timeout_ms)

    def handle(self, now_ms: float, event: Event, revision: int | None) -> list[Action]:
        """Handle one event. `revision` is that of the known list, None if a snapshot is needed."""
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
        self.progress_timeout_ms = self.timeouts.progress_timeout_ms
        self.consecutive_failures, self.last_failure_was_slow = 0, False
        self.backoff.reset()

    def _adjust_progress_timeout(self, was_slow: bool) -> None:
        """Count a failure, and lengthen or shorten the timeout of the next call.

        A node short of CPU time would otherwise cancel each call too early. A silent discovery does not get
        a longer timeout.
        """
        self.consecutive_failures += 1
        min_timeout_ms = self.timeouts.progress_timeout_ms
        is_long_outage = self.consecutive_failures >= LONG_OUTAGE_FAILURES
        is_step_of_outage = self.consecutive_failures % LONG_OUTAGE_FAILURES == 0
        if (was_slow and self.last_failure_was_slow) or is_step_of_outage:
            # An outage may also stall calls midway, so the limit for short outages is tight.
            limit_ms = PROGRESS_TIMEOUT_GROWTH_FACTOR * min_timeout_ms
            max_timeout_ms = MAX_PROGRESS_TIMEOUT_MS if is_long_outage else limit_ms
            grown_ms = PROGRESS_TIMEOUT_GROWTH_FACTOR * self.progress_timeout_ms
            self.progress_timeout_ms = max(
                min_timeout_ms, min(grown_ms, max_timeout_ms, MAX_PROGRESS_TIMEOUT_MS)
            )
        elif not was_slow and not is_long_outage:
            shrunk_ms = self.progress_timeout_ms / PROGRESS_TIMEOUT_GROWTH_FACTOR
            self.progress_timeout_ms = max(min_timeout_ms, shrunk_ms)
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
            # After a snapshot that was not applied there is no revision to watch from: fetch it again.
            return [] if event.is_complete and event.is_additional else [NotifyCallFailed()]
        if event.is_additional:
            return []
        self.is_waiting = True
        return [SetRetryTimer(now_ms + self.backoff.next_delay_ms())]
