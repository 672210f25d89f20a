"""What a node may do while it comes back, and how far it has come.

    blank        knows no server
    provisional  knows some; most of them by memory alone (kept on disk, or the configuration's `known`)
    confirmed    most are vouched for: by a source, or by an answer in this process
    full         and it serves as usual

`ALLOWED` says what each state may do, `NEXT` which state follows on what. Beside it stands the *memory*, as
roles that rest on it (a lease, a ledger, a word given to others) must not be taken by one that forgot:

- `none`: nothing was kept. That may be a first start or a wiped disk: alone a node cannot tell.
- `kept`: it is whole and young.
- `lost`: what was there cannot be read, or the others know this node although it remembers nothing.
- `older`: others have seen a later life of this node, or the memory is over its age, or this process stood
  still.

All but `kept` bar such roles until the others have said what they know of this node (`OthersKnew`,
`Reminded`), or for the time `bar_ms` in which whatever an earlier life held has surely ended. The number of a
life, the *incarnation*, only rises.

`Recovery.handle` takes an event and a clock time (milliseconds) and returns actions; a clock that goes back
is taken to stand still. `Meter` measures the way to full service.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

ROLE_HOLD_OFF_MS = 30_000.0  # over any lease's time
MAX_PERSISTED_AGE_MS = 86_400_000.0  # of a memory, where the settings say nothing else
CLOCK_SKEW_TOLERANCE_MS = 2_000.0  # by which a clock may have gone back without being called wrong
INCARNATION_LIMIT = 1 << 53  # of an incarnation: more is no number that this program wrote
CONFIRMED_BACKENDS_RATIO = 0.5  # part of the servers that has to be vouched for
FULL_SERVICE_RATIO, FULL_SERVICE_WINDOW_MS = (
    0.95,
    2_000.0,
)  # full service: this part of what was asked, for so long
MIN_WINDOW_REQUESTS = 20  # ends that a stretch has to hold, so that one that fails is 5% of it
MAX_WINDOW_MS = 30_000.0  # a stretch of fewer: a small node is judged by what it saw in this time
BUCKET_MS = 100.0


class RecoveryState(Enum):
    """How far a node is back."""

    BLANK = "blank"
    PROVISIONAL = "provisional"
    CONFIRMED = "confirmed"
    FULL = "full"


class PersistedState(Enum):
    """What is left of an earlier life."""

    NONE = "none"
    INTACT = "kept"
    LOST = "lost"
    OUTDATED = "older"


class EligibleBackends(Enum):
    """Which servers a kind of request may go to."""

    NONE = "nobody"
    ONE_REQUEST_PER_UNCONFIRMED = "anybody; one at a time to each that nobody vouches for"
    CONFIRMED_FIRST = "those that are vouched for; others where there are none"
    ALL = "anybody"


class GossipContent(Enum):
    """What is told to other nodes."""

    PRESENCE = "that it is there, and its incarnation"
    AGED_KNOWLEDGE = "what it knows, with its age: never as its own word"
    OWN_OBSERVATIONS = "what it sees"


@dataclass(slots=True, frozen=True)
class Permissions:
    """What a state may do."""

    idempotent_requests: EligibleBackends
    non_idempotent_requests: EligibleBackends
    gossip: GossipContent
    may_hold_roles: bool  # those that rest on memory, unless they are barred beside


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
"""The policy keeps the rules on servers one by one (`Entry.age_ms`); these are the node's as a whole."""


class Trigger(Enum):
    """What an event comes to."""

    NO_BACKEND = "no server is left"
    MOSTLY_RESTORED = "memory alone vouches for most servers"
    MOSTLY_CONFIRMED = "most servers are vouched for"
    FULL_SERVICE_REACHED = "it serves as usual"
    PROCESS_STALLED = "it stood still: what it knows is old"
    LATER_INCARNATION_SEEN = "others have seen a later life of this node"


_B, _P, _C, _F = RecoveryState.BLANK, RecoveryState.PROVISIONAL, RecoveryState.CONFIRMED, RecoveryState.FULL
TRANSITIONS: dict[RecoveryState, dict[Trigger, RecoveryState]] = {
    state: dict(zip(Trigger, row, strict=True))
    for state, row in {
        #    nobody, remembered, vouched, served, stood, forgot
        _B: (_B, _P, _C, _B, _B, _B),
        _P: (_B, _P, _C, _P, _P, _P),
        _C: (_B, _P, _C, _F, _P, _P),
        _F: (_B, _P, _F, _F, _P, _P),
    }.items()
}


# --- events


@dataclass(slots=True, frozen=True)
class PersistedIncarnation:
    """What a store kept: the incarnation of the life that wrote it, and when (wall clock, ms).

    `older`: something newer was there and cannot be believed.
    """

    incarnation: int
    saved_wall_ms: float
    is_outdated: bool = False


@dataclass(slots=True, frozen=True)
class ProcessStarted:
    """The process began. `fault` says why what was kept cannot be used; `parts` are times of the start, ms.

    Names of parts: interpreter, imports, files, first list, first connects; whatever was measured. `least` is
    a number that no life before this one had, where the store knows one: it rises even with nothing to read.
    """

    persisted: PersistedIncarnation | None
    wall_ms: float
    fault: str = ""
    startup_phases_ms: Mapping[str, float] = field(default_factory=dict)
    min_incarnation: int = 1


@dataclass(slots=True, frozen=True)
class EndpointViewChanged:
    """So many servers are up in the view; so many of them a source lists, or have answered here."""

    up_count: int
    confirmed_count: int


@dataclass(slots=True, frozen=True)
class SourceResponded:
    """A source said something that is current now."""


@dataclass(slots=True, frozen=True)
class PeersReportedIncarnation:
    """Others said which incarnation of this node they have seen last; 0: none, ever."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class PeersReturnedState:
    """Others have told all that this node forgot."""


@dataclass(slots=True, frozen=True)
class IncarnationRaised:
    """This life goes by a greater number from now on: what others held of the old one had to be refuted."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class ProcessStalled:
    """The process did not run for so long (`core/stall_detector`)."""

    stall_ms: float


class RequestOutcome(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    FAILED = "failed"  # or refused by this node, or answered late
    REJECTED_BY_BACKENDS = "turned away"  # by servers without room: more than the fleet could give


@dataclass(slots=True, frozen=True)
class RequestFinished:
    """A request ended."""

    class_name: str
    outcome: RequestOutcome


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that `Wait` named has come."""


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
    """Another state, and why."""

    state: RecoveryState
    reason: str


@dataclass(slots=True, frozen=True)
class PersistIncarnation:
    """Keep this incarnation, durably, before anything is told under it."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Hand in `Due` at this clock time."""

    until_ms: float


@dataclass(slots=True, frozen=True)
class WriteLog:
    """A line for the people on call."""

    text: str
    is_warning: bool = False


Action = ReportState | PersistIncarnation | SetTimer | WriteLog


def persisted_state_age(
    saved_wall_ms: float, wall_ms: float, max_age_ms: float = MAX_PERSISTED_AGE_MS
) -> tuple[float, str]:
    """How old a memory is, from 0 to `max_age_ms`, and what is odd about that, or nothing.

    A clock that has gone back says nothing of the age: it is then the most, as for one that is over it.
    """
    age = wall_ms - saved_wall_ms
    if not math.isfinite(age) or age < -CLOCK_SKEW_TOLERANCE_MS:
        return max_age_ms, f"the clock is {-age / 1000:.0f} s behind what was kept: its age is not known"
    if age > max_age_ms:
        return max_age_ms, f"what was kept is {age / 1000:.0f} s old, over {max_age_ms / 1000:.0f}"
    return max(0.0, age), ""


class ServiceMeter:
    """The way to full service, out of requests' ends.

    *Full* is 95% of what was asked and the fleet could give (requests that servers turned away for want of
    room are left out), in a stretch of at least 2 s that holds at least 20 ends: one failure in 20 is 5%. A
    node that sees fewer is judged over a longer stretch, up to 30 s, by what it saw there, one answer at
    least; one that sees none is not said to be full. The time of a phase is that of the stretch's beginning.
    """

    def __init__(self, began_ms: float) -> None:
        self.began_ms = began_ms
        self.phases_ms: dict[str, float] = {}  # by name: ms since `began_ms`
        self._buckets: deque[tuple[float, list[int]]] = deque()  # (start, [asked, served]); at most 300
        self._evaluated_ms = -math.inf
        self.full_service_requests = 0  # ends in the stretch that was found full

    @property
    def is_full(self) -> bool:
        """Whether a stretch of full service was seen."""
        return "full" in self.phases_ms

    def record_phase(self, name: str, at_ms: float) -> None:
        """A phase is reached; the first time counts."""
        self.phases_ms.setdefault(name, max(0.0, at_ms - self.began_ms))

    def record_outcome(self, now_ms: float, class_name: str, outcome: RequestOutcome) -> None:
        """A request ended."""
        if outcome is RequestOutcome.SERVED:
            self.record_phase("first answer", now_ms)
            self.record_phase(f"first answer: {class_name}", now_ms)
        if outcome is not RequestOutcome.REJECTED_BY_BACKENDS:
            start = now_ms // BUCKET_MS * BUCKET_MS
            if not self._buckets or self._buckets[-1][0] < start:
                self._buckets.append((start, [0, 0]))
            counts = self._buckets[-1][1]
            counts[0] += 1
            counts[1] += outcome is RequestOutcome.SERVED
        self.evaluate(now_ms)

    def evaluate(self, now_ms: float) -> None:
        """Look at the stretch up to now, once a bucket."""
        if self.is_full or now_ms < self._evaluated_ms + BUCKET_MS:
            return
        self._evaluated_ms = now_ms
        while self._buckets and self._buckets[0][0] < now_ms - MAX_WINDOW_MS:
            self._buckets.popleft()
        asked, served, start = 0, 0, now_ms
        for start, (some, good) in reversed(self._buckets):
            asked, served = asked + some, served + good
            if now_ms - start >= FULL_SERVICE_WINDOW_MS and asked >= MIN_WINDOW_REQUESTS:
                break
        else:  # few: only the longest stretch will do
            if not asked or now_ms - self.began_ms < MAX_WINDOW_MS:
                return
        if served >= CONFIRMED_BACKENDS_RATIO * asked:
            self.record_phase("half", start)
        if served >= FULL_SERVICE_RATIO * asked:
            self.full_service_requests = asked
            # A bucket begins up to 0.1 s before the first answer in it.
            self.record_phase("full", max(start, self.began_ms + self.phases_ms.get("first answer", 0.0)))


class Recovery:
    """One node's way back. `bar_ms` and `max_age_ms` come from the settings; both are over 0."""

    def __init__(
        self,
        now_ms: float,
        role_hold_off_ms: float = ROLE_HOLD_OFF_MS,
        max_persisted_age_ms: float = MAX_PERSISTED_AGE_MS,
    ) -> None:
        self.role_hold_off_ms, self.max_persisted_age_ms = role_hold_off_ms, max_persisted_age_ms
        self.state, self.since_ms, self.reason = RecoveryState.BLANK, now_ms, "it starts"
        self.persisted_state, self.incarnation = PersistedState.NONE, 1
        self.persisted_age_ms = 0.0  # at the start, clamped; of `kept` and `older`
        self.roles_barred_until_ms = now_ms + role_hold_off_ms  # roles that rest on memory
        self.up_count = self.confirmed_count = 0
        self.is_in_doubt = False  # it stood still, and no source has spoken since
        self.startup_phases_ms: dict[str, float] = {}
        self.meter = ServiceMeter(now_ms)
        self._now_ms = now_ms
        self._has_stalled = False  # it stood still in this life
        self._is_incarnation_announced = False  # whether this life's number was told to others
        self._actions: list[Action] = []

    def __repr__(self) -> str:
        barred = "" if self.may_take_roles(self._now_ms) else ", no roles"
        return f"<Recovery {self.state.value}, life {self.incarnation}, memory {self.persisted_state.value}{barred}>"

    @property
    def permissions(self) -> Permissions:
        """What the present state may do."""
        return PERMISSIONS[self.state]

    def may_take_roles(self, now_ms: float) -> bool:
        """Whether a role that rests on memory may be taken, or gone on with. To be asked before each act."""
        return self.permissions.may_hold_roles and now_ms >= self.roles_barred_until_ms

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event."""
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
                self.is_in_doubt = False
                self._evaluate_view()
            case ProcessStalled():
                self._on_process_stalled(event.stall_ms)
            case PeersReportedIncarnation():
                self._on_peers_reported_incarnation(event.incarnation)
            case PeersReturnedState():
                self._lift_role_bar("the others have told what it forgot")
            case IncarnationRaised():
                if self.incarnation < event.incarnation < INCARNATION_LIMIT:
                    self.incarnation = event.incarnation
                    self._actions.append(PersistIncarnation(event.incarnation))
        if self.meter.is_full and self.state is RecoveryState.CONFIRMED:
            self._transition(Trigger.FULL_SERVICE_REACHED)
        return self._actions

    def _on_process_started(self, event: ProcessStarted) -> None:
        self.startup_phases_ms = {
            str(name): ms for name, ms in event.startup_phases_ms.items() if 0 <= ms < math.inf
        }
        kept, least = event.persisted, max(0, event.min_incarnation - 1)
        if event.fault or kept is None:
            self.persisted_state = PersistedState.LOST if event.fault else PersistedState.NONE
            if event.fault:
                self._actions.append(WriteLog(f"what was kept is lost: {event.fault:.300}", is_warning=True))
            self._raise_incarnation(least)
        else:
            self.persisted_age_ms, odd = persisted_state_age(
                kept.saved_wall_ms, event.wall_ms, self.max_persisted_age_ms
            )
            self.persisted_state = (
                PersistedState.OUTDATED if odd or kept.is_outdated else PersistedState.INTACT
            )
            odd = odd or ("something newer was kept and cannot be believed" if kept.is_outdated else "")
            if odd:
                self._actions.append(WriteLog(odd, is_warning=True))
            self._raise_incarnation(
                max(kept.incarnation, least)
                if 0 <= kept.incarnation < INCARNATION_LIMIT
                else kept.incarnation
            )
        if self._has_stalled:  # while what was kept was being read
            self._mark_outdated()
        self._bar_roles(0.0 if self.persisted_state is PersistedState.INTACT else self.role_hold_off_ms)

    def _evaluate_view(self) -> None:
        if not self.up_count:
            self._transition(Trigger.NO_BACKEND)
        else:
            sure = self.confirmed_count >= CONFIRMED_BACKENDS_RATIO * self.up_count and not self.is_in_doubt
            self._transition(Trigger.MOSTLY_CONFIRMED if sure else Trigger.MOSTLY_RESTORED)

    def _on_process_stalled(self, stall_ms: float) -> None:
        """What it knows is as old as the pause, and others may have taken its roles over meanwhile."""
        self.is_in_doubt = self._has_stalled = True
        self._mark_outdated()
        self.persisted_age_ms = min(self.max_persisted_age_ms, max(0.0, stall_ms))
        self._restart_meter()
        self._bar_roles(self.role_hold_off_ms)
        self._transition(Trigger.PROCESS_STALLED)

    def _mark_outdated(self) -> None:
        self.persisted_state = (
            PersistedState.LOST if self.persisted_state is PersistedState.LOST else PersistedState.OUTDATED
        )

    def _on_peers_reported_incarnation(self, incarnation: int) -> None:
        """The others' word is the one thing that tells a first start from a lost memory."""
        if not 0 <= incarnation < INCARNATION_LIMIT:
            self._actions.append(
                WriteLog(f"others call this node's incarnation {incarnation!r:.40}: not believed")
            )
            return
        if incarnation < self.incarnation:
            self._lift_role_bar("the others have seen no later life of it")
            return
        if incarnation == self.incarnation and self._is_incarnation_announced:
            return  # this life: it was told to them
        self.persisted_state = (
            PersistedState.OUTDATED
            if self.persisted_state in (PersistedState.INTACT, PersistedState.OUTDATED)
            else PersistedState.LOST
        )
        self._raise_incarnation(incarnation)
        self._bar_roles(self.role_hold_off_ms)
        self._restart_meter()
        self._transition(Trigger.LATER_INCARNATION_SEEN)

    def mark_incarnation_announced(self) -> None:
        """This life's incarnation is kept durably and is now told to the others."""
        self._is_incarnation_announced = True

    def _raise_incarnation(self, last_seen: int) -> None:
        if not 0 <= last_seen < INCARNATION_LIMIT:
            self._actions.append(
                WriteLog(f"incarnation {last_seen!r:.40} is none: it begins at 1", is_warning=True)
            )
            self.persisted_state, last_seen = PersistedState.LOST, 0
        self.incarnation, self._is_incarnation_announced = max(self.incarnation, last_seen + 1), False
        self._actions.append(PersistIncarnation(self.incarnation))

    def _bar_roles(self, duration_ms: float) -> None:
        self.roles_barred_until_ms = self._now_ms + duration_ms
        self._actions.append(SetTimer(self._now_ms + min(duration_ms or MAX_WINDOW_MS, MAX_WINDOW_MS)))

    def _lift_role_bar(self, reason: str) -> None:
        if self._now_ms < self.roles_barred_until_ms:
            self.roles_barred_until_ms = self._now_ms
            self._actions.append(WriteLog(f"roles that rest on memory may be taken: {reason}"))

    def _restart_meter(self) -> None:
        self.meter, self.startup_phases_ms = ServiceMeter(self._now_ms), {}

    def _transition(self, trigger: Trigger) -> None:
        next_state = TRANSITIONS[self.state][trigger]
        if next_state is self.state:
            return
        self.state, self.since_ms, self.reason = next_state, self._now_ms, trigger.value
        self._actions.append(ReportState(next_state, trigger.value))
        if next_state is RecoveryState.FULL:
            full, count = self.meter.phases_ms["full"], self.meter.full_service_requests
            text = f"full service {full / 1000:.1f} s after the start, by {count} requests"
            text += f"; memory {self.persisted_state.value}, life {self.incarnation}"
            parts = ", ".join(f"{name} {ms:.0f} ms" for name, ms in self.startup_phases_ms.items())
            self._actions.append(WriteLog(f"{text}; {parts}" if parts else text))

    def pending_conditions(self, now_ms: float) -> list[str]:
        """In plain words; empty where there is nothing left to wait for."""
        out = []
        if self.state is RecoveryState.BLANK:
            out.append("a list of servers")
        elif self.state is RecoveryState.PROVISIONAL:
            out.append(
                "a source" if self.is_in_doubt else f"a source, or answers of half of {self.up_count} servers"
            )
        if self.state is not RecoveryState.FULL and not self.meter.is_full:
            out.append(
                f"{FULL_SERVICE_RATIO:.0%} of the requests served for {FULL_SERVICE_WINDOW_MS / 1000:.0f} s"
            )
        if (left := self.roles_barred_until_ms - now_ms) > 0:
            out.append(f"the others' word, or {left / 1000:.0f} s, before roles that rest on memory")
        return out

    def status(self, now_ms: float) -> dict[str, Any]:
        """For operators. `since` is a clock time in ms; parts of the start come before the phases."""
        phases = [
            *self.startup_phases_ms.items(),
            *sorted(self.meter.phases_ms.items(), key=lambda item: item[1]),
        ]
        return {
            "state": self.state.value,
            "since": self.since_ms,
            "incarnation": self.incarnation,
            "memory": self.persisted_state.value,
            "waits_for": self.pending_conditions(now_ms),
            "phases": [{"name": name, "ms": round(ms, 1)} for name, ms in phases],
        }
