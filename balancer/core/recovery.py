"""The state machine of a node that recovers after a start, a crash or a stall.

    blank        no backend is known
    provisional  most of the known backends come only from persisted state or the configuration's `known`
    confirmed    most of them are confirmed: listed by a source, or they have answered in this process
    full         confirmed, and the node has reached full service (`service_meter`)

`PERMISSIONS` defines what a node may do in each state, `TRANSITIONS` the next state for each trigger.

The condition of the *persisted state* is tracked separately. A node that lost it must not take roles that
rely on it (a lease, a ledger, a promise to peers):

- `none`: nothing was persisted, after a first start or on a wiped disk; a node alone cannot tell which.
- `kept`: it is complete and recent.
- `lost`: it cannot be read, or peers know this node although nothing is persisted.
- `older`: peers have seen a later incarnation, or it exceeds the maximum age, or this process was stalled.

All conditions but `kept` bar such roles until peers have reported what they know of this node
(`PeersReportedIncarnation`, `PeersReturnedState`), or until `role_hold_off_ms` has passed, after which
everything that an earlier process held has expired. The *incarnation*, which numbers the processes of a node,
never decreases.

`Recovery.handle` takes a clock time in ms and an event and returns actions. A time before that of the
previous event is replaced by the latter.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from balancer.core.service_meter import (
    FULL_SERVICE_RATIO,
    FULL_SERVICE_WINDOW_MS,
    MAX_WINDOW_MS,
    RequestOutcome,
    ServiceMeter,
)

ROLE_HOLD_OFF_MS = 30_000.0  # longer than any lease
MAX_PERSISTED_AGE_MS = 86_400_000.0  # the default of the setting
CLOCK_SKEW_TOLERANCE_MS = 2_000.0  # a wall clock may be set back by this much
INCARNATION_LIMIT = 1 << 53  # a float represents all integers below it exactly; none above it is ever written
CONFIRMED_BACKENDS_RATIO = 0.5


class RecoveryState(Enum):
    """How far the recovery of a node has come."""

    BLANK = "blank"
    PROVISIONAL = "provisional"
    CONFIRMED = "confirmed"
    FULL = "full"


class PersistedState(Enum):
    """The condition of the state that an earlier process persisted."""

    NONE = "none"
    INTACT = "kept"
    LOST = "lost"
    OUTDATED = "older"


class EligibleBackends(Enum):
    """The backends that requests of one kind may be sent to."""

    NONE = "nobody"
    ONE_REQUEST_PER_UNCONFIRMED = "anybody; one at a time to each that nobody vouches for"
    CONFIRMED_FIRST = "those that are vouched for; others where there are none"
    ALL = "anybody"


class GossipContent(Enum):
    """What a node may gossip to its peers."""

    PRESENCE = "that it is there, and its incarnation"
    AGED_KNOWLEDGE = "what it knows, with its age: never as its own word"
    OWN_OBSERVATIONS = "what it sees"


@dataclass(slots=True, frozen=True)
class Permissions:
    """What a node may do in a state."""

    idempotent_requests: EligibleBackends
    non_idempotent_requests: EligibleBackends
    gossip: GossipContent
    may_hold_roles: bool  # roles that rely on persisted state, unless they are barred


PERMISSIONS = {
    RecoveryState.BLANK: Permissions(
        EligibleBackends.NONE, EligibleBackends.NONE, GossipContent.PRESENCE, False
    ),
    RecoveryState.PROVISIONAL: Permissions(
        EligibleBackends.ONE_REQUEST_PER_UNCONFIRMED,
        EligibleBackends.CONFIRMED_FIRST,
        GossipContent.AGED_KNOWLEDGE,
        False,
    ),
    RecoveryState.CONFIRMED: Permissions(
        EligibleBackends.ALL, EligibleBackends.ALL, GossipContent.OWN_OBSERVATIONS, True
    ),
    RecoveryState.FULL: Permissions(
        EligibleBackends.ALL, EligibleBackends.ALL, GossipContent.OWN_OBSERVATIONS, True
    ),
}
"""Permissions of the node as a whole; `balancer.policy` applies the request rules to each backend."""


class Trigger(Enum):
    """Inputs of the state machine. The values are exported as the reason for a state."""

    NO_BACKEND = "no server is left"
    MOSTLY_RESTORED = "memory alone vouches for most servers"
    MOSTLY_CONFIRMED = "most servers are vouched for"
    FULL_SERVICE_REACHED = "it serves as usual"
    PROCESS_STALLED = "it stood still: what it knows is old"
    LATER_INCARNATION_SEEN = "others have seen a later life of this node"


_BLANK, _PROVISIONAL, _CONFIRMED, _FULL = RecoveryState
TRANSITIONS: dict[RecoveryState, dict[Trigger, RecoveryState]] = {
    state: dict(zip(Trigger, row, strict=True))
    for state, row in {
        # columns: no backend, restored, confirmed, full service, stalled, later incarnation
        _BLANK: (_BLANK, _PROVISIONAL, _CONFIRMED, _BLANK, _BLANK, _BLANK),
        _PROVISIONAL: (_BLANK, _PROVISIONAL, _CONFIRMED, _PROVISIONAL, _PROVISIONAL, _PROVISIONAL),
        _CONFIRMED: (_BLANK, _PROVISIONAL, _CONFIRMED, _FULL, _PROVISIONAL, _PROVISIONAL),
        _FULL: (_BLANK, _PROVISIONAL, _FULL, _FULL, _PROVISIONAL, _PROVISIONAL),
    }.items()
}


# --- events


@dataclass(slots=True, frozen=True)
class PersistedIncarnation:
    """The incarnation of the process that wrote the persisted state, and when (wall clock, ms).

    `is_outdated`: a newer generation of the state exists but cannot be read.
    """

    incarnation: int
    saved_wall_ms: float
    is_outdated: bool = False


@dataclass(slots=True, frozen=True)
class ProcessStarted:
    """The process started and has read its persisted state; `fault` is the reason why it cannot be used.

    `startup_phases_ms` holds durations by name (interpreter, imports, first list, ...). `min_incarnation` is
    greater than that of any earlier process, where the store knows it even without readable state.
    """

    persisted: PersistedIncarnation | None
    wall_ms: float
    fault: str = ""
    startup_phases_ms: Mapping[str, float] = field(default_factory=dict)
    min_incarnation: int = 1


@dataclass(slots=True, frozen=True)
class EndpointViewChanged:
    """`up_count` backends are up; `confirmed_count` of them are listed by a source or have answered here."""

    up_count: int
    confirmed_count: int


@dataclass(slots=True, frozen=True)
class SourceResponded:
    """A source responded with current information."""


@dataclass(slots=True, frozen=True)
class PeersReportedIncarnation:
    """Peers reported the last incarnation of this node that they have seen; 0: none."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class PeersReturnedState:
    """Peers have returned all the state that this node had lost."""


@dataclass(slots=True, frozen=True)
class IncarnationRaised:
    """This process raised its incarnation to refute what peers believed of the previous one."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class ProcessStalled:
    """The process did not run for `stall_ms` (`balancer.core.stall_detector`)."""

    stall_ms: float


@dataclass(slots=True, frozen=True)
class RequestFinished:
    """A request ended for its client."""

    class_name: str
    outcome: RequestOutcome


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a `SetTimer` was reached."""


Event = (
    ProcessStarted
    | EndpointViewChanged
    | SourceResponded
    | PeersReportedIncarnation
    | PeersReturnedState
    | IncarnationRaised
    | ProcessStalled
    | RequestFinished
    | TimerFired
)

# --- actions


@dataclass(slots=True, frozen=True)
class ReportState:
    """Report that the state has changed, and the reason."""

    state: RecoveryState
    reason: str


@dataclass(slots=True, frozen=True)
class PersistIncarnation:
    """Persist this incarnation durably before anything is sent under it."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send `TimerFired` to `Recovery.handle` at this clock time."""

    until_ms: float


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a line to the log."""

    text: str
    is_warning: bool = False


Action = ReportState | PersistIncarnation | SetTimer | WriteLog


def persisted_state_age(
    saved_wall_ms: float, wall_ms: float, max_age_ms: float = MAX_PERSISTED_AGE_MS
) -> tuple[float, str]:
    """Return the age of persisted state in ms, clamped to `max_age_ms`, and its fault ("": none).

    The age is unknown after the clock was set back, and the maximum is assumed.
    """
    age_ms = wall_ms - saved_wall_ms
    if not math.isfinite(age_ms) or age_ms < -CLOCK_SKEW_TOLERANCE_MS:
        return (
            max_age_ms,
            f"the clock is {-age_ms / 1000:.0f} s behind the persisted state: its age is unknown",
        )
    if age_ms > max_age_ms:
        return (
            max_age_ms,
            f"persisted state is {age_ms / 1000:.0f} s old, over the limit of {max_age_ms / 1000:.0f} s",
        )
    return max(0.0, age_ms), ""


class Recovery:
    """The recovery of one node. Both durations come from the settings and are positive."""

    def __init__(
        self,
        now_ms: float,
        role_hold_off_ms: float = ROLE_HOLD_OFF_MS,
        max_persisted_age_ms: float = MAX_PERSISTED_AGE_MS,
    ) -> None:
        self.role_hold_off_ms, self.max_persisted_age_ms = role_hold_off_ms, max_persisted_age_ms
        self.state, self.since_ms, self.reason = RecoveryState.BLANK, now_ms, "it starts"
        self.persisted_state, self.incarnation = PersistedState.NONE, 1
        self.persisted_age_ms = 0.0  # at the start, clamped; set for intact and outdated state
        self.roles_barred_until_ms = now_ms + role_hold_off_ms
        self.up_count = self.confirmed_count = 0
        self.is_awaiting_source = False  # the process was stalled, and no source has responded since
        self.startup_phases_ms: dict[str, float] = {}
        self.meter = ServiceMeter(now_ms)
        self._now_ms = now_ms
        self._has_stalled = False
        self._is_incarnation_announced = False  # to peers
        self._actions: list[Action] = []

    def __repr__(self) -> str:
        roles = "" if self.may_take_roles(self._now_ms) else ", no roles"
        persisted = self.persisted_state.value
        return f"<Recovery {self.state.value}, incarnation {self.incarnation}, state {persisted}{roles}>"

    @property
    def permissions(self) -> Permissions:
        """What the node may do in its present state."""
        return PERMISSIONS[self.state]

    def may_take_roles(self, now_ms: float) -> bool:
        """Whether a role that relies on persisted state may be taken or kept; must be checked at each use."""
        return self.permissions.may_hold_roles and now_ms >= self.roles_barred_until_ms

    def mark_incarnation_announced(self) -> None:
        """Record that the incarnation is durable and known to peers, so that peers may report it back."""
        self._is_incarnation_announced = True

    # --- events

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Process one event and return the resulting actions."""
        self._now_ms, self._actions = max(now_ms, self._now_ms), []
        match event:
            case RequestFinished():
                if not self.meter.is_full:
                    self.meter.record_outcome(self._now_ms, event.class_name, event.outcome)
            case TimerFired():
                self.meter.evaluate(self._now_ms)
            case ProcessStarted():
                self._on_process_started(event)
            case EndpointViewChanged():
                self.up_count = max(0, event.up_count)
                self.confirmed_count = min(self.up_count, max(0, event.confirmed_count))
                self._evaluate_view()
            case SourceResponded():
                self.is_awaiting_source = False
                self._evaluate_view()
            case ProcessStalled():
                self._on_process_stalled(event.stall_ms)
            case PeersReportedIncarnation():
                self._on_peers_reported_incarnation(event.incarnation)
            case PeersReturnedState():
                self._lift_role_bar("peers have returned the lost state")
            case IncarnationRaised():
                self._on_incarnation_raised(event.incarnation)
        if self.meter.is_full and self.state is RecoveryState.CONFIRMED:
            self._transition(Trigger.FULL_SERVICE_REACHED)
        return self._actions

    def _on_process_started(self, event: ProcessStarted) -> None:
        self.startup_phases_ms = {
            str(name): ms for name, ms in event.startup_phases_ms.items() if 0 <= ms < math.inf
        }
        if event.fault or event.persisted is None:
            self._start_without_state(event)
        else:
            self._start_with_state(event, event.persisted)
        if self._has_stalled:  # while the persisted state was being read
            self._mark_outdated()
        self._bar_roles(0.0 if self.persisted_state is PersistedState.INTACT else self.role_hold_off_ms)

    def _start_without_state(self, event: ProcessStarted) -> None:
        self.persisted_state = PersistedState.LOST if event.fault else PersistedState.NONE
        if event.fault:
            self._log(f"persisted state is lost: {event.fault:.300}", is_warning=True)
        self._raise_incarnation(max(0, event.min_incarnation - 1))

    def _start_with_state(self, event: ProcessStarted, persisted: PersistedIncarnation) -> None:
        self.persisted_age_ms, fault = persisted_state_age(
            persisted.saved_wall_ms, event.wall_ms, self.max_persisted_age_ms
        )
        if not fault and persisted.is_outdated:
            fault = "a newer generation of the persisted state is unreadable"
        self.persisted_state = PersistedState.OUTDATED if fault else PersistedState.INTACT
        if fault:
            self._log(fault, is_warning=True)
        last_incarnation = persisted.incarnation
        if 0 <= last_incarnation < INCARNATION_LIMIT:
            last_incarnation = max(last_incarnation, event.min_incarnation - 1)
        self._raise_incarnation(last_incarnation)

    def _on_process_stalled(self, stall_ms: float) -> None:
        """The node's knowledge is as old as the stall, and peers may have taken over its roles."""
        self.is_awaiting_source = self._has_stalled = True
        self._mark_outdated()
        self.persisted_age_ms = min(self.max_persisted_age_ms, max(0.0, stall_ms))
        self._restart_meter()
        self._bar_roles(self.role_hold_off_ms)
        self._transition(Trigger.PROCESS_STALLED)

    def _on_peers_reported_incarnation(self, incarnation: int) -> None:
        """Compare with the incarnation that peers saw: only they can tell a first start from lost state."""
        if not 0 <= incarnation < INCARNATION_LIMIT:
            self._log(f"peers reported the invalid incarnation {incarnation!r:.40} of this node: ignored")
            return
        if incarnation < self.incarnation:
            self._lift_role_bar("peers have seen no later incarnation")
            return
        if incarnation == self.incarnation and self._is_incarnation_announced:
            return  # peers report what this process announced
        had_state = self.persisted_state in (PersistedState.INTACT, PersistedState.OUTDATED)
        self.persisted_state = PersistedState.OUTDATED if had_state else PersistedState.LOST
        self._raise_incarnation(incarnation)
        self._bar_roles(self.role_hold_off_ms)
        self._restart_meter()
        self._transition(Trigger.LATER_INCARNATION_SEEN)

    def _on_incarnation_raised(self, incarnation: int) -> None:
        if self.incarnation < incarnation < INCARNATION_LIMIT:
            self.incarnation = incarnation
            self._actions.append(PersistIncarnation(incarnation))

    # --- state

    def _evaluate_view(self) -> None:
        if not self.up_count:
            self._transition(Trigger.NO_BACKEND)
        elif self.is_awaiting_source or self.confirmed_count < CONFIRMED_BACKENDS_RATIO * self.up_count:
            self._transition(Trigger.MOSTLY_RESTORED)
        else:
            self._transition(Trigger.MOSTLY_CONFIRMED)

    def _transition(self, trigger: Trigger) -> None:
        next_state = TRANSITIONS[self.state][trigger]
        if next_state is self.state:
            return
        self.state, self.since_ms, self.reason = next_state, self._now_ms, trigger.value
        self._actions.append(ReportState(next_state, trigger.value))
        if next_state is RecoveryState.FULL:
            self._log_full_service()

    def _log_full_service(self) -> None:
        full_ms, requests = self.meter.phases_ms["full"], self.meter.full_service_requests
        text = f"full service {full_ms / 1000:.1f} s after the start, measured over {requests} requests"
        text += f"; persisted state {self.persisted_state.value}, incarnation {self.incarnation}"
        phases = ", ".join(f"{name} {ms:.0f} ms" for name, ms in self.startup_phases_ms.items())
        self._log(f"{text}; {phases}" if phases else text)

    def _mark_outdated(self) -> None:
        if self.persisted_state is not PersistedState.LOST:
            self.persisted_state = PersistedState.OUTDATED

    def _raise_incarnation(self, last_incarnation: int) -> None:
        if not 0 <= last_incarnation < INCARNATION_LIMIT:
            self._log(
                f"persisted incarnation {last_incarnation!r:.40} is invalid: restarting at 1", is_warning=True
            )
            self.persisted_state, last_incarnation = PersistedState.LOST, 0
        self.incarnation, self._is_incarnation_announced = max(self.incarnation, last_incarnation + 1), False
        self._actions.append(PersistIncarnation(self.incarnation))

    def _bar_roles(self, duration_ms: float) -> None:
        self.roles_barred_until_ms = self._now_ms + duration_ms
        self._actions.append(SetTimer(self._now_ms + min(duration_ms or MAX_WINDOW_MS, MAX_WINDOW_MS)))

    def _lift_role_bar(self, reason: str) -> None:
        if self._now_ms < self.roles_barred_until_ms:
            self.roles_barred_until_ms = self._now_ms
            self._log(f"roles that rely on persisted state may be taken: {reason}")

    def _restart_meter(self) -> None:
        self.meter, self.startup_phases_ms = ServiceMeter(self._now_ms), {}

    def _log(self, text: str, is_warning: bool = False) -> None:
        self._actions.append(WriteLog(text, is_warning))

    # --- status

    def pending_conditions(self, now_ms: float) -> list[str]:
        """Return what the node waits for, as text; empty if it waits for nothing."""
        pending = []
        if self.state is RecoveryState.BLANK:
            pending.append("a list of servers")
        elif self.state is RecoveryState.PROVISIONAL:
            answers = "" if self.is_awaiting_source else f", or answers of half of {self.up_count} servers"
            pending.append(f"a source{answers}")
        if self.state is not RecoveryState.FULL and not self.meter.is_full:
            window_s = FULL_SERVICE_WINDOW_MS / 1000
            pending.append(f"{FULL_SERVICE_RATIO:.0%} of the requests served for {window_s:.0f} s")
        if (remaining_ms := self.roles_barred_until_ms - now_ms) > 0:
            pending.append(
                f"peers' reports, or {remaining_ms / 1000:.0f} s, before roles that rely on persisted state"
            )
        return pending

    def status(self, now_ms: float) -> dict[str, Any]:
        """Return the JSON of the `recovery` command; `since` is a clock time in ms.

        Startup phases come before the phases of the meter.
        """
        reached = sorted(self.meter.phases_ms.items(), key=lambda phase: phase[1])
        phases = [*self.startup_phases_ms.items(), *reached]
        return {
            "state": self.state.value,
            "since": self.since_ms,
            "incarnation": self.incarnation,
            "memory": self.persisted_state.value,
            "waits_for": self.pending_conditions(now_ms),
            "phases": [{"name": name, "ms": round(ms, 1)} for name, ms in phases],
        }
