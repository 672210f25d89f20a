"""Makes all decisions of one load-balancer node. Settings, events and actions: balancer/interface.py.

`Balancer` owns the state and passes each event to the module that handles it:

    routing             a request: shed, queued, sent to a backend, retried
      selection         the choice of a backend: Join-Up-To(m) on the `backend_index`
      slow_start        the part of the load that a warming-up backend gets
      probing           the choice of a backend by load reports requested beforehand
      retries           the retry budget, and the backends that a retry may use
      load_shedding     requests rejected before they cost anything
      attempts          the one place where an attempt is made
      final_answers     the one place where a request is rejected or failed
    outcomes            statistics learned from the outcomes of attempts
      concurrency_limit the limit on attempts in flight
      outlier_ejection  backends excluded for their failures
    subsetting          the endpoint list, and the subset that this node sends to
    learned_state       statistics kept over a restart

These modules consist of functions on an explicit `NodeState`, whose records are defined in `records`.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any

from balancer import interface as api
from balancer.policy import (
    concurrency_limit,
    final_answers,
    retries,
    routing,
    subsetting,
)
from balancer.policy.backend_index import BackendIndex
from balancer.policy.records import (
    HIGH_REJECTION_RATE,
    MIN_EXPECTED_LATENCY_MS,
    Backend,
    ClassState,
    Request,
)
from balancer.policy.state import NodeState


def timer_fired(state: NodeState, event: api.TimerFired) -> None:
    """Call the callback of a timer; unknown timers are ignored."""
    if (timer := state.timers.pop(event.token, None)) is not None:
        callback, argument = timer
        callback(state, argument)


def probe_finished(state: NodeState, event: api.ProbeFinished) -> None:
    """Handle the outcome of a probe. Most nodes never probe, so the module is loaded with the first one."""
    from balancer.policy import probing

    probing.probe_finished(state, event)


def restore_learned_state(state: NodeState, event: api.LearnedStateRestored) -> None:
    """Take over statistics from before a restart. Only nodes that keep them load the module."""
    from balancer.policy import learned_state

    learned_state.restore(state, event)


def ignore_peer_message(state: NodeState, event: api.PeerMessageReceived) -> None:
    """Ignore messages from other nodes: they do not affect decisions."""


HANDLERS: dict[type, Callable[[NodeState, Any], None]] = {
    api.RequestArrived: routing.request_arrived,
    api.AttemptFinished: routing.attempt_finished,
    api.ProbeFinished: probe_finished,
    api.TimerFired: timer_fired,
    api.EndpointsUpdated: subsetting.update_endpoints,
    api.ClientLeft: final_answers.client_left,
    api.StreamStarted: routing.stream_started,
    api.PeerMessageReceived: ignore_peer_message,
    api.LearnedStateRestored: restore_learned_state,
}
"""The handler of each event type. A table is faster than `match` for the last cases."""


def initial_state(settings: api.Settings, seed: int, literal_cap: int) -> NodeState:
    """Return the state of a node that knows no backends yet."""
    classes = settings.classes
    index = BackendIndex(settings.slow_start_duration_ms, HIGH_REJECTION_RATE)
    scopes = {c.deduplication_scope: None for c in classes if c.idempotency is api.Idempotency.KEYED}
    index.deduplication_scopes = tuple(scope for scope in scopes if scope is not api.DeduplicationScope.ALL)
    density = sum(c.priority_weight / c.latency_objective_ms for c in classes) * 4 / len(classes)
    decay_ms = subsetting.FLEET_SIZE_DECAY_SLOW_STARTS * settings.slow_start_duration_ms
    return NodeState(
        settings=settings,
        rng=random.Random(seed),
        literal_cap=literal_cap,
        # Before the first answers, a quarter of the objective is assumed as the expected latency.
        classes={
            c.name: ClassState(c, max(MIN_EXPECTED_LATENCY_MS, c.latency_objective_ms / 4)) for c in classes
        },
        index=index,
        probing_enabled=subsetting.is_probing_worthwhile(settings),
        longest_objective_ms=max(c.latency_objective_ms for c in classes),
        fleet_size_decay_ms=max(decay_ms, 1.0),
        concurrency_limit=concurrency_limit.MIN_LIMIT_PER_BACKEND,
        min_concurrency_limit=concurrency_limit.MIN_LIMIT_PER_BACKEND,
        retry_tokens=retries.MAX_RETRY_TOKENS,
        probe_round_trip_ms=2.0 * settings.tick_ms,
        mean_priority_density=density,
    )


class Balancer:
    """The decisions of one node: `handle` takes the time and an event, and returns the actions.

    `literal_cap` is for measurements only and is not a setting of any platform: it applies the paper's rule
    literally with this m, without queueing or shedding. With 0 the node determines m.
    """

    def __init__(self, settings: api.Settings, seed: int, literal_cap: int = 0) -> None:
        self.state = initial_state(settings, seed, literal_cap)
        self.handlers = dict(HANDLERS)

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at the clock time `now_ms`, which must never go back.

        Raises CallError for an object that is not an event, or for an unknown class.
        """
        if (handler := self.handlers.get(type(event))) is None:
            raise api.CallError(f"not an event: {event!r}")
        state = self.state
        state.now_ms, state.actions = now_ms, []
        handler(state, event)
        if decisions := state.index.decisions:
            state.actions += [
                api.NoteBackendDecision(backend.endpoint.id, decision) for backend, decision in decisions
            ]
            decisions.clear()
        return state.actions

    def learned(self, now_ms: float) -> api.LearnedState:
        """Return the statistics to keep over a restart; `LearnedStateRestored` brings them back."""
        from balancer.policy import learned_state

        return learned_state.export(self.state, now_ms)

    # Views of the state for other packages.

    @property
    def backends(self) -> Mapping[str, Backend]:
        """All backends that are listed or still have attempts in flight."""
        return self.state.backends

    @property
    def classes(self) -> Mapping[str, ClassState]:
        """The request classes with what was learned about them."""
        return self.state.classes

    @property
    def requests(self) -> Mapping[str, Request]:
        """Requests that are open or have an attempt in flight."""
        return self.state.requests

    @property
    def queued(self) -> Mapping[str, Request]:
        """Requests that wait for capacity under the concurrency limit."""
        return self.state.queued

    @property
    def in_flight(self) -> int:
        """The number of this node's attempts in flight."""
        return self.state.in_flight

    @property
    def concurrency_limit(self) -> float:
        """The limit on attempts in flight."""
        return self.state.concurrency_limit

    @property
    def subset_size(self) -> int:
        """How many of the first backends in the order this node sends to."""
        return self.state.subset_size

    @property
    def probing_enabled(self) -> bool:
        """Whether requests wait for probes of backends."""
        return self.state.probing_enabled

    @property
    def index(self) -> BackendIndex:
        """The index of the backends."""
        return self.state.index

    @property
    def order(self) -> list[str]:
        """The names of the listed backends in this node's own order."""
        return [name for _, _, name, _ in self.state.index.order]
