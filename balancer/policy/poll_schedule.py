"""Decides when a node that polls discovery calls it: first after a start, and again after a failed call.

Only nodes that poll load this module.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer import interface as api
from balancer import notification_deadlines as deadlines
from balancer.policy.state import NodeState

BACKOFF_DIVISOR = 32
"""The base wait after a failed call is the polling interval over this; each failure in a row doubles it."""
MAX_BACKOFF_DOUBLINGS = 5
"""Most doublings of that wait: it reaches the polling interval at most, apart from jitter."""


@dataclass(slots=True, frozen=True)
class Jitter:
    """A range of factors of a wait. It keeps nodes that lost discovery together from calling together."""

    lowest: float
    highest: float

    def factor(self, draw: float) -> float:
        """Return the factor for a random number between 0 and 1."""
        return self.lowest + (self.highest - self.lowest) * draw


BACKOFF_JITTER = Jitter(0.5, 1.5)
INTERVAL_JITTER = Jitter(0.6, 1.0)
"""Of the interval between the starts of two calls."""
LATE_RETRY_JITTER = Jitter(0.25, 1.0)
"""Of the wait after a call that failed late."""


def schedule_first(state: NodeState) -> None:
    """Schedule the first call of a node that starts with a stored list; many nodes may start together."""
    longest_wait_ms = min(state.settings.poll_within_ms / 2, deadlines.RETRY_INTERVAL_MS)
    _schedule(state, state.rng.uniform(0.0, longest_wait_ms))


def schedule_retry(state: NodeState) -> None:
    """Schedule the next call after a failed one, unless one is scheduled. The last list stays in force.

    A new address of discovery is called at once, whatever is scheduled, and that call may fail as well.
    """
    if state.is_poll_scheduled:
        return
    state.failed_polls = min(state.failed_polls + 1, MAX_BACKOFF_DOUBLINGS)
    wait_ms = _retry_wait_ms(state)
    _schedule(state, wait_ms)
    state.log(f"list: call failed {state.failed_polls} times, asking again in {wait_ms / 1000:.1f} s")


def _retry_wait_ms(state: NodeState) -> float:
    """Return the wait after a failed call: an exponential backoff, limited and jittered.

    The limit counts from the start of the failed call, as discovery may have returned just after it. The
    first failure may be that of a watch, which may have been silent for as long as a call.
    """
    draw: float = state.rng.random()
    is_first = state.failed_polls == 1
    elapsed_ms = deadlines.MAX_WATCH_SILENCE_MS if is_first else state.now_ms - state.poll_started_at_ms
    left_ms = deadlines.RETRY_INTERVAL_MS * INTERVAL_JITTER.factor(draw) - elapsed_ms
    late_wait_ms = deadlines.late_retry_wait_limit_ms(elapsed_ms) * LATE_RETRY_JITTER.factor(draw)
    backoff_ms = state.settings.poll_within_ms / BACKOFF_DIVISOR * float(2**state.failed_polls)
    return min(backoff_ms * BACKOFF_JITTER.factor(draw), max(left_ms, late_wait_ms))


def _schedule(state: NodeState, wait_ms: float) -> None:
    state.is_poll_scheduled = True
    state.set_timer(state.now_ms + wait_ms, _poll, None)


def _poll(state: NodeState, _: None) -> None:
    state.is_poll_scheduled, state.poll_started_at_ms = False, state.now_ms
    state.actions.append(api.SubscribeToEndpoints())
