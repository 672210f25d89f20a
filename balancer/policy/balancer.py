"""Every decision of one load-balancer node. Its types (settings, events, actions): balancer/interface.py.

`Balancer` owns the state and hands each event to the module that decides on it:

    routing             a request: shed, queued, sent to a backend, tried again
      selection         which backend: Join-Up-To(m), off the `backend_index`
      slow_start        how much of the load a backend that is warming up gets
      probing           the same choice with load reports asked for first
      retries           the retry budget, and where a retry may go
      load_shedding     what is rejected before it costs anything
      attempts          the one place where an attempt is made
      final_answers     the one place where a request is rejected or failed
    outcomes            what is learned from the outcome of an attempt
      concurrency_limit the limit on attempts in flight
      outlier_ejection  backends left alone for their failures
    subsetting          the endpoint list, and the subset that this node sends to
    learned_state       what is kept over a restart

They are functions on one explicit `NodeState`; its parts are in `records`.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any

from balancer import interface as api
from balancer.policy import (
    concurrency_limit,
    final_answers,
    learned_state,
    probing,
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
    """Call what the timer was set for; an unknown one is ignored."""
    if (timer := state.timers.pop(event.token, None)) is not None:
        callback, argument = timer
        callback(state, argument)


def ignore(state: NodeState, event: api.PeerMessageReceived) -> None:
    """Messages of other nodes decide nothing."""


HANDLERS: dict[type, Callable[[NodeState, Any], None]] = {
    api.RequestArrived: routing.request_arrived,
    api.AttemptFinished: routing.attempt_finished,
    api.ProbeFinished: probing.probe_finished,
    api.TimerFired: timer_fired,
    api.EndpointsUpdated: subsetting.update_endpoints,
    api.ClientLeft: final_answers.client_left,
    api.StreamStarted: routing.stream_started,
    api.PeerMessageReceived: ignore,
    api.LearnedStateRestored: learned_state.restore,
}
"""What decides on an event, by its type: a table, as that is faster than `match` for the last cases."""


def initial_state(settings: api.Settings, seed: int, literal_cap: int) -> NodeState:
    """The state of a node that knows no backends yet."""
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
        # Until answers tell, a quarter of the objective is taken for the expected latency.
        classes={
            c.name: ClassState(c, max(MIN_EXPECTED_LATENCY_MS, c.latency_objective_ms / 4)) for c in classes
        },
        index=index,
        probing_enabled=probing.is_worthwhile(settings),
        longest_objective_ms=max(c.latency_objective_ms for c in classes),
        fleet_size_decay_ms=max(decay_ms, 1.0),
        concurrency_limit=concurrency_limit.MIN_LIMIT_PER_BACKEND,
        min_concurrency_limit=concurrency_limit.MIN_LIMIT_PER_BACKEND,
        retry_tokens=retries.MAX_RETRY_TOKENS,
        probe_round_trip_ms=2.0 * settings.tick_ms,
        mean_priority_density=density,
    )


class Balancer:
    """One node. `handle` takes an event and the clock and returns the actions.

    `literal_cap` is for measuring, and no setting of a platform: the paper's rule to the letter with this
    m, and nothing queued or shed. 0 leaves it to the node.
    """

    def __init__(self, settings: api.Settings, seed: int, literal_cap: int = 0) -> None:
        self.state = initial_state(settings, seed, literal_cap)
        self.handlers = dict(HANDLERS)

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at the clock time `now_ms`, which never goes back.

        Raises CallError for what is no event, or names an unknown class.
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
        """What is worth keeping over a restart; `LearnedStateRestored` brings it back."""
        return learned_state.export(self.state, now_ms)

    # What other packages read of the state.

    @property
    def backends(self) -> Mapping[str, Backend]:
        """All backends that are listed, or still have attempts in flight."""
        return self.state.backends

    @property
    def classes(self) -> Mapping[str, ClassState]:
        """The request classes with what was learned of them."""
        return self.state.classes

    @property
    def requests(self) -> Mapping[str, Request]:
        """Requests that are open, or have an attempt in flight."""
        return self.state.requests

    @property
    def queued(self) -> Mapping[str, Request]:
        """Requests that wait for capacity under the concurrency limit."""
        return self.state.queued

    @property
    def in_flight(self) -> int:
        """Attempts of this node in flight."""
        return self.state.in_flight

    @property
    def concurrency_limit(self) -> float:
        """The limit on attempts in flight."""
        return self.state.concurrency_limit

    @property
    def subset_size(self) -> int:
        """How many of the first in the order this node sends to."""
        return self.state.subset_size

    @property
    def probing_enabled(self) -> bool:
        """Whether requests wait for probes of backends."""
        return self.state.probing_enabled

    @property
    def index(self) -> BackendIndex:
        """The backends in order."""
        return self.state.index

    @property
    def order(self) -> list[str]:
        """This node's own order of the list."""
        return [name for _, _, name, _ in self.state.index.order]
