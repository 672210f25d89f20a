"""The judge: a verdict on each of the four rules, and what the service was worth, from the records alone.

Rule 1: whatever a node has taken gets exactly one final answer in time, and nothing is sent for it after.
Rule 2: no effect is doubled. Rule 3: nothing new goes to a server that a source took off, past the grace.
Rule 4: no cold server is sent more than its budget. Beside them, what waited when its client
left is not sent on long after, but for a quarter of all such requests. Each breach names its request or
server and brings the records that prove it. Times are given the rules' slack, what the world's own loop was
late by, and what the machine kept the node's process waiting for a core in the last `STARVED_MS`.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from balancer.interface import DeduplicationScope, Idempotency
from balancer.testbed.event_log import (
    Answered,
    Asked,
    ClientLeft,
    Crossed,
    HeldUp,
    Journal,
    JournalError,
    LetGo,
    NodeEnded,
    NodeHeldUp,
    NodeSignalled,
    NodeStarted,
    Ran,
    Received,
    Record,
    Replied,
    ServerEnded,
    ServerStarted,
    Told,
    TurnedAway,
    Wanted,
    words,
)
from balancer.testbed.service_profile import RequestClass, Site
from balancer.testbed.slow_start_model import ColdStartBudget

TITLES = {
    1: "every request is answered",
    2: "no effect is doubled",
    3: "drains are kept",
    4: "no cold server is pushed over",
}
EVIDENCE = 40  # records that a breach brings at most, the last ones
DEADLY = ("SIGTERM", "SIGKILL")
STARVED_MS = 1_000.0
LEFT_MS = 300.0  # after its client left: whatever waited then and is sent on no sooner is late
LEFT_PART = 1 / 4  # of all that waited when their clients left that may be late
INFORMED = 2 / 3  # part of a fall's work that has to come from nodes that were told of the start


@dataclass(slots=True, frozen=True)
class Breach:
    """One broken rule: which, by which request or server, how, and the records that prove it."""

    rule: int
    subject: str
    text: str
    evidence: tuple[Record, ...]

    def lines(self) -> list[str]:
        """For people."""
        return [f"rule {self.rule}, {self.subject}: {self.text}", *(f"    {words(r)}" for r in self.evidence)]


@dataclass(slots=True)
class Tally:
    """What became of the requests of a class; a client's retry belongs to its first try."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    worth_asked: float = 0.0
    worth_in_time: float = 0.0
    took_ms: list[float] = field(default_factory=list)  # of those that were served, in order

    def percentile(self, part: float) -> float:
        """The time that this part of the served ones took at most; 0 where none was."""
        last = len(self.took_ms) - 1
        return self.took_ms[min(last, int(part * len(self.took_ms)))] if self.took_ms else 0.0

    @property
    def worth(self) -> float:
        """Worth answered in time over worth asked for."""
        return self.worth_in_time / self.worth_asked if self.worth_asked else 0.0


@dataclass(slots=True)
class Served:
    """What a server got and did."""

    received: int = 0
    turned_away: int = 0
    ran: int = 0
    repeats: int = 0
    to_removed: int = 0  # sent later than the grace after it drained or had gone


@dataclass(slots=True)
class Verdict:
    """All breaches, the classes with `all` for the sum, the servers, and how many attempts requests took.

    `pushed` is the most that a cold server was sent, of what it may be sent. `waited` requests had no
    attempt at a server when their clients left; `sent_late` of them were sent on `LEFT_MS` later or more.
    """

    breaches: list[Breach] = field(default_factory=list)
    classes: dict[str, Tally] = field(default_factory=dict)
    servers: dict[str, Served] = field(default_factory=dict)
    attempts: Counter[int] = field(default_factory=Counter)
    pushed: float = 0.0
    waited: int = 0
    sent_late: int = 0

    @property
    def ok(self) -> bool:
        """Whether no rule was broken."""
        return not self.breaches

    @property
    def lets_go(self) -> bool:
        """Whether what waited when its client left was let go, but for a part at most."""
        return self.sent_late <= LEFT_PART * self.waited

    @property
    def sent_to_removed(self) -> int:
        """Requests that went to removed servers after the grace."""
        return sum(s.to_removed for s in self.servers.values())

    def broken(self, rule: int) -> list[Breach]:
        """The breaches of one rule."""
        return [b for b in self.breaches if b.rule == rule]

    def lines(self) -> list[str]:
        """One line a rule and one on clients that left, for people."""
        out = []
        for rule, title in TITLES.items():
            found = self.broken(rule)
            first = f", first {found[0].subject}: {found[0].text}" if found else ""
            out.append(f"rule {rule}, {title}: {f'{len(found)} BROKEN{first}' if found else 'kept'}")
        late = f"{self.sent_late} sent on {LEFT_MS:.0f} ms later or more"
        kept = "kept" if self.lets_go else f"BROKEN, over {LEFT_PART:.0%}"
        return [*out, f"clients that left while their requests waited: {self.waited}, {late}: {kept}"]


@dataclass(slots=True)
class _Attempt:
    got: Received
    turned: TurnedAway | None = None
    reply: Replied | None = None
    let_go: LetGo | None = None
    ran: Ran | None = None

    @property
    def end_ms(self) -> float:
        """When it was no longer out on an open connection."""
        ends = [r.at_ms for r in (self.turned, self.reply, self.let_go) if r is not None]
        return min(ends, default=float("inf"))

    @property
    def may_have_run(self) -> bool:
        """Whether the node has no proof that it did not: no `Not-Started` on a connection that was open."""
        return self.got.last_byte_at_ms is not None and self.turned is None

    def records(self) -> list[Record]:
        return [r for r in (self.got, self.turned, self.reply, self.let_go, self.ran) if r is not None]


@dataclass(slots=True)
class _Request:
    asked: list[Asked] = field(default_factory=list)
    crossed: list[Crossed] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    left: ClientLeft | None = None
    attempts: list[_Attempt] = field(default_factory=list)

    def records(self) -> list[Record]:
        """All there is of it, in order."""
        out: list[Record] = [*self.asked, *self.crossed, *self.answered, *([self.left] if self.left else [])]
        return out + [r for a in self.attempts for r in a.records()]


class _Barred:
    """Since when a node has been told, by any source, that a server drains or is gone.

    What is older than what the same source has told under the same identity says nothing new.
    """

    def __init__(self) -> None:
        self.order: dict[tuple[str, str], tuple[str, int]] = {}
        self.told: dict[tuple[str, str], dict[str, list[Told]]] = {}
        self.heard: dict[str, list[Told]] = {}

    def forget(self, node: str, kept_ms: float | None) -> None:
        """The node starts anew, with nothing or with what it was told until then."""
        self.order = {k: v for k, v in self.order.items() if k[0] != node}
        self.told = {k: v for k, v in self.told.items() if k[0] != node}
        for told in self.heard.pop(node, []):
            if kept_ms is not None and told.at_ms <= kept_ms:
                self.add(told)

    def add(self, told: Told) -> None:
        """A source told a node."""
        self.heard.setdefault(told.node, []).append(told)
        at = (told.node, told.source)
        identity, revision = self.order.get(at, (told.identity, told.revision))
        if identity == told.identity and told.revision < revision:
            return
        self.order[at] = (told.identity, told.revision)
        stretch = self.told.setdefault((told.node, told.server), {}).setdefault(told.source, [])
        if told.phase == "up":
            stretch.clear()
        else:
            stretch.append(told)

    def since(self, node: str, server: str) -> Told | None:
        """The earliest word that still bars the server for the node."""
        stretches = self.told.get((node, server), {}).values()
        return min((s[0] for s in stretches if s), key=lambda told: told.at_ms, default=None)


class _Judge:
    def __init__(self, journal: Iterable[Record], site: Site) -> None:
        self.site, self.rules = site, site.rules
        self.records = list(journal)
        self.out = Verdict()
        self.requests: dict[str, _Request] = {}
        self.attempts: dict[str, _Attempt] = {}
        self.starts: dict[tuple[str, int], ServerStarted] = {}
        self.falls: dict[tuple[str, int], ServerEnded] = {}
        self.signals: dict[str, list[NodeSignalled]] = {}
        self.ended: dict[str, list[float]] = {}
        self.held_up: list[HeldUp] = []
        self.starved: dict[str, list[NodeHeldUp]] = {}
        self.end_ms = 0.0
        self._sort()
        self.ticks = [h.at_ms for h in self.held_up]

    def _sort(self) -> None:
        """Lay the records out by request and attempt."""
        for r in self.records:
            match r:
                case Asked():
                    self.requests.setdefault(r.request, _Request()).asked.append(r)
                case Crossed():
                    self.requests.setdefault(r.request, _Request()).crossed.append(r)
                case Answered():
                    self.requests.setdefault(r.request, _Request()).answered.append(r)
                case ClientLeft():
                    self.requests.setdefault(r.request, _Request()).left = r
                case Received():
                    attempt = self.attempts[r.attempt] = _Attempt(r)
                    self.requests.setdefault(r.request, _Request()).attempts.append(attempt)
                    self.end_ms = max(self.end_ms, r.first_byte_at_ms)
                    continue
                case TurnedAway():
                    self.attempts[r.attempt].turned = r
                case Replied():
                    self.attempts[r.attempt].reply = r
                case LetGo():
                    self.attempts[r.attempt].let_go = r
                case Ran():
                    self.attempts[r.attempt].ran = r
                    continue
                case ServerStarted():
                    self.starts[r.server, r.incarnation] = r
                case ServerEnded() if r.how == "fell":
                    self.falls[r.server, r.incarnation] = r
                case NodeSignalled():
                    self.signals.setdefault(r.node, []).append(r)
                case NodeEnded():
                    self.ended.setdefault(r.node, []).append(r.at_ms)
                case HeldUp():
                    self.held_up.append(r)
                case NodeHeldUp():
                    self.starved.setdefault(r.node, []).append(r)
            self.end_ms = max(self.end_ms, r.at_ms)

    def judge(self) -> Verdict:
        for name, request in self.requests.items():
            self._strays(name, request)
            if request.asked:
                self._answers(name, request)
                self._after_end(name, request)
                self._effects(name, request)
                self._refusals(name, request)
        self._left()
        self._crashes()
        self._drains()
        self._cold()
        self._worth()
        self._servers()
        self.out.breaches.sort(key=lambda b: b.rule)
        return self.out

    def _breach(self, rule: int, subject: str, text: str, evidence: Iterable[Record]) -> None:
        self.out.breaches.append(Breach(rule, subject, text, tuple(evidence)[-EVIDENCE:]))

    def _slack(self, *moments: float) -> float:
        """The rules' slack, and what the world was late by at these moments."""
        return self.rules.slack_ms + self._late(*moments)

    def _late(self, *moments: float) -> float:
        late = 0.0
        for at in moments:
            place = bisect_left(self.ticks, at)
            for held in self.held_up[place : place + 2]:
                if held.at_ms - held.late_ms <= at:
                    late = max(late, held.late_ms)
        return late

    def _starved(self, node: str, at: float) -> float:
        """How long the node had no core before a moment, though it was ready to run."""
        ticks = self.starved.get(node, [])
        first = bisect_left(ticks, at - STARVED_MS, key=lambda r: r.at_ms)
        last = bisect_left(ticks, at, key=lambda r: r.at_ms)
        return sum(r.late_ms for r in ticks[first : last + 1])

    # --- rule 1

    def _stood(self, node: str, begin: float, end: float) -> float:
        """How long the node's process was stopped in this time: it could not answer then.

        No other rule is any wider for it: what it sends once it goes on is its own doing. A signal that
        cannot end the stop, such as SIGTERM, waits until it is over.
        """
        out, since = 0.0, None
        for signal in self.signals.get(node, []):
            if signal.signal == "SIGSTOP":
                since = signal.at_ms if since is None else since
            elif since is not None and signal.signal in ("SIGCONT", "SIGKILL"):
                out, since = out + max(0.0, min(end, signal.at_ms) - max(begin, since)), None
        return out + (max(0.0, end - max(begin, since)) if since is not None else 0.0)

    def _killed(self, node: str, begin: float, end: float) -> bool:
        """Whether the node was killed outright in this time, which excuses it.

        On a busy machine a killed process holds its sockets a while longer: it is killed until it has ended.
        A SIGTERM to the process before it, which has ended, says nothing of this one.
        """
        signals, ended = self.signals.get(node, []), self.ended.get(node, [])
        for signal in signals:
            gone = min((at for at in ended if at >= signal.at_ms), default=signal.at_ms)
            before = max((at for at in ended if at < signal.at_ms), default=0.0)
            if signal.signal != "SIGKILL" or signal.at_ms > end or gone < begin:
                continue
            told = [s.at_ms for s in signals if s.signal == "SIGTERM" and before < s.at_ms <= signal.at_ms]
            if not told or signal.at_ms - max(told) <= self.rules.kill_ms:
                return True
        return False

    def _answers(self, name: str, request: _Request) -> None:
        asked, answers = request.asked[-1], request.answered
        until = answers[0].at_ms if answers else asked.deadline_ms
        slack = self._slack(until) + self._starved(asked.node, until)
        slack += self._stood(asked.node, asked.at_ms, until)
        if self._killed(asked.node, asked.at_ms - slack, until + slack) or asked.at_ms > asked.deadline_ms:
            return  # or the world was held up until there was no time left to answer in
        for crossed in request.crossed:
            ahead = [a for a in request.attempts if a.got.first_byte_at_ms < crossed.at_ms]
            if ahead:
                text = "its connection ended after the node had taken it: an attempt was out already"
                self._breach(1, name, text, request.records())
        if len(request.crossed) == len(request.asked):
            return
        if not answers:
            over = self.end_ms > asked.deadline_ms + slack
            if over and request.left is None and not self._stood(asked.node, until, until + slack):
                self._breach(1, name, "no answer", request.records())
            return
        if len(answers) > 1:
            self._breach(1, name, f"{len(answers)} answers", request.records())
        first = answers[0]
        if not first.whole:
            text = "the answer is not whole" if first.status else "its connection ended without an answer"
            self._breach(1, name, text, request.records())
        elif first.at_ms > asked.deadline_ms + slack:
            late = first.at_ms - asked.deadline_ms
            self._breach(1, name, f"answered {late:.0f} ms after its deadline", request.records())
        elif first.status == 200:
            made = {a.reply.body for a in request.attempts if a.reply and a.reply.status == 200}
            if first.body not in made:
                self._breach(1, name, "served with what no server made for it", request.records())

    def _after_end(self, name: str, request: _Request) -> None:
        ends: list[Answered | ClientLeft] = [*request.answered[:1], *([request.left] if request.left else [])]
        for end in ends:
            for attempt in request.attempts:
                at = attempt.got.first_byte_at_ms
                if at > end.at_ms + self._slack(at):
                    late = at - end.at_ms
                    text = f"sent on {late:.0f} ms after its end"
                    self._breach(1, name, text, [end, *attempt.records()])

    def _left(self) -> None:
        """Count what waited when its client left, whether or not it was sent on, and when."""
        late: list[tuple[str, ClientLeft, _Attempt]] = []
        for name, request in self.requests.items():
            left = request.left
            attempts = sorted(request.attempts, key=lambda a: a.got.first_byte_at_ms)
            if left is None or (attempts and attempts[0].got.first_byte_at_ms <= left.at_ms):
                continue
            self.out.waited += 1
            for attempt in attempts:
                at = attempt.got.first_byte_at_ms
                if at - self._late(at) >= left.at_ms + LEFT_MS:
                    late.append((name, left, attempt))
                    break
        self.out.sent_late = len(late)
        if not self.out.lets_go:
            text = f"{len(late)} of {self.out.waited} whose clients left while they waited were sent on late"
            self._breach(1, late[0][0], text, [r for _, left, a in late for r in (left, *a.records())])

    def _crashes(self) -> None:
        """A node may end only after it was told to."""
        started: dict[str, NodeStarted] = {}
        for record in self.records:
            if isinstance(record, NodeStarted):
                started[record.node] = record
            elif isinstance(record, NodeEnded):
                start = started.get(record.node)
                since = start.at_ms if start else 0.0
                signals = self.signals.get(record.node, [])
                told = any(s.signal in DEADLY and since <= s.at_ms <= record.at_ms for s in signals)
                if not told:
                    text = f"the node ended by itself with {record.code}"
                    self._breach(1, record.node, text, [*([start] if start else []), record])

    # --- rule 2

    def _strays(self, name: str, request: _Request) -> None:
        """What no client asked for, or not like this."""
        asked = {a.form for a in request.asked}
        for attempt in request.attempts:
            got = attempt.got
            if not request.asked and got.last_byte_at_ms is not None:
                self._breach(2, name or "(no id)", f"{got.server} got what no client asked for", [got])
            elif got.last_byte_at_ms is not None and got.form not in asked:
                self._breach(2, name, f"{got.server} got it changed", [*request.asked, got])
            elif got.last_byte_at_ms is not None and got.key != request.asked[0].key:
                self._breach(2, name, f"{got.server} got it with another key", [*request.asked, got])

    def _effects(self, name: str, request: _Request) -> None:
        cls = self.site.find(request.asked[0].class_name)
        whole = [a for a in request.attempts if a.got.last_byte_at_ms is not None]
        whole.sort(key=lambda a: a.got.last_byte_at_ms or 0.0)
        if len(whole) > self.rules.max_attempts:
            text = f"{len(whole)} attempts, {self.rules.max_attempts} are allowed"
            self._breach(2, name, text, request.records())
        for number, later in enumerate(whole):
            for earlier in whole[:number]:
                if text := self._doubles(cls, earlier, later):
                    evidence = [*request.asked, *earlier.records(), *later.records()]
                    self._breach(2, name, text, evidence)

    def _doubles(self, cls: RequestClass | None, earlier: _Attempt, later: _Attempt) -> str:
        """What is wrong with sending the later attempt, if anything is."""
        sent, again = earlier.got.last_byte_at_ms or 0.0, later.got.last_byte_at_ms or 0.0
        there, here = earlier.got.server, later.got.server
        overlap = earlier.end_ms - again
        if overlap > self._slack(again, min(earlier.end_ms, self.end_ms)):
            return f"a second copy went to {here} while {there} held the first on an open connection"
        if not earlier.may_have_run or cls is None or cls.effect is Idempotency.IDEMPOTENT:
            return ""
        if cls.effect is Idempotency.NON_IDEMPOTENT:
            return f"unsafe, it may have run on {there} and was sent again to {here}"
        a = self.starts.get((there, earlier.got.incarnation))
        b = self.starts.get((here, later.got.incarnation))
        apart = (
            a is None
            or b is None
            or (a.zone != b.zone if cls.group is DeduplicationScope.ZONE else a.cell != b.cell)
        )
        if cls.group is not DeduplicationScope.ALL and apart:
            return f"it may have run on {there} and was sent again to {here}, outside the {cls.group.value}"
        if again - sent > cls.memory_ms + self._slack(again):
            return f"it may have run on {there} and was sent again {again - sent:.0f} ms later"
        return ""

    def _refusals(self, name: str, request: _Request) -> None:
        cls = self.site.find(request.asked[0].class_name)
        refused = [a for a in request.answered if a.whole and a.status in (429, 503)]
        risky = [a for a in request.attempts if a.may_have_run]
        if not refused or not risky or cls is None or cls.effect is Idempotency.IDEMPOTENT:
            return
        if not (cls.effect is Idempotency.KEYED and cls.group is DeduplicationScope.ALL):
            text = f"refused, though it may have run on {risky[0].got.server}"
            self._breach(2, name, text, request.records())

    # --- rules 3 and 4

    def _node(self, got: Received) -> str:
        """The node that sent it: the one that was asked last before."""
        asked = self.requests[got.request].asked
        before = [a.node for a in asked if a.at_ms <= got.first_byte_at_ms]
        return before[-1] if before else ""

    def _drains(self) -> None:
        barred, grace = _Barred(), self.rules.grace_ms
        moments = [
            (r.first_byte_at_ms if isinstance(r, Received) else r.at_ms, r)
            for r in self.records
            if isinstance(r, (Received, Told, NodeStarted))
        ]
        for at, r in sorted(moments, key=lambda pair: pair[0]):
            if isinstance(r, NodeStarted):
                barred.forget(r.node, r.kept_ms)
            elif isinstance(r, Told):
                barred.add(r)
            else:
                node = self._node(r)
                told = barred.since(node, r.server)
                if told is None or at - told.at_ms <= grace + self._slack(at) + self._starved(node, at):
                    continue
                self.out.servers.setdefault(r.server, Served()).to_removed += 1
                text = f"{node} sent to {r.server} {at - told.at_ms:.0f} ms after it was told: {told.phase}"
                self._breach(3, r.request, text, [told, r])

    def _cold(self) -> None:
        informed = {
            (r.node, r.server, r.up_since_ms): r
            for r in reversed(self.records)
            if isinstance(r, Told) and r.phase == "up"
        }
        got: dict[tuple[str, int], list[Received]] = {}
        for r in self.records:
            if isinstance(r, Received) and r.last_byte_at_ms is not None:
                got.setdefault((r.server, r.incarnation), []).append(r)
        for place, start in self.starts.items():
            pressure = ColdStartBudget(self.rules, start.capacity, start.cold_share, start.warm_ms)
            for number, r in enumerate(got.get(place, [])):
                at = r.last_byte_at_ms or 0.0
                used = pressure.add(at - start.at_ms, r.work_ms)
                if start.cold_share < 1.0:
                    self.out.pushed = max(self.out.pushed, used)
                if used <= 1.0:
                    continue
                window = got[place][number + 1 - len(pressure.window) : number + 1]
                knew = 0.0
                for one in window:
                    told = informed.get((self._node(one), start.server, start.up_since_ms))
                    knew += one.work_ms if told and told.at_ms <= one.first_byte_at_ms else 0.0
                if knew >= INFORMED * pressure.work_sum_ms:
                    age, fall = at - start.at_ms, self.falls.get(place)
                    text = f"sent {used:.2f} of what it may be sent {age:.0f} ms after its start"
                    evidence: list[Record] = [start, *window[2 - EVIDENCE :], *([fall] if fall else [])]
                    self._breach(4, start.server, text, evidence)
                    break

    # --- what it was worth

    def _worth(self) -> None:
        total = Tally()
        self.out.classes = {c.name: Tally() for c in self.site.classes} | {"all": total}
        tries: dict[str, list[str]] = {}
        for name, request in self.requests.items():
            for asked in request.asked[:1]:
                tries.setdefault(asked.first, []).append(name)
        for r in self.records:
            if not isinstance(r, Wanted):
                continue
            mine = [self.requests[name] for name in tries.get(r.request, [])]
            for tally in (self.out.classes[r.class_name], total):
                self._count(tally, r, mine)
        for tally in self.out.classes.values():
            tally.took_ms.sort()

    @staticmethod
    def _count(tally: Tally, wanted: Wanted, tries: list[_Request]) -> None:
        tally.asked += 1
        tally.worth_asked += wanted.worth
        served = [a.at_ms for t in tries for a in t.answered if a.whole and a.status == 200]
        if served:
            tally.took_ms.append(min(served) - wanted.at_ms)
            in_time = min(served) <= wanted.aim_ms
            tally.in_time += in_time
            tally.late += not in_time
            tally.worth_in_time += wanted.worth if in_time else 0.0
        elif any(t.left for t in tries):
            tally.left += 1
        elif tries and any(a.whole and a.status in (429, 503) for a in tries[-1].answered):
            tally.refused += 1
        else:
            tally.failed += 1

    def _servers(self) -> None:
        for name, _ in self.starts:
            self.out.servers.setdefault(name, Served())
        for attempt in self.attempts.values():
            server = self.out.servers.setdefault(attempt.got.server, Served())
            server.received += 1
            server.turned_away += attempt.turned is not None
            server.ran += attempt.ran is not None and not attempt.ran.repeat
            server.repeats += attempt.ran is not None and attempt.ran.repeat
        for request in self.requests.values():
            if request.asked:
                self.out.attempts[sum(a.got.last_byte_at_ms is not None for a in request.attempts)] += 1


def judge(records: Journal | Iterable[Record], site: Site) -> Verdict:
    """The verdict on what was recorded; raises JournalError where some of it was lost.

    A request whose time was not over at the last record is judged by what is there.
    """
    if isinstance(records, Journal) and records.lost:
        raise JournalError(f"{records.lost} records were lost: what they prove cannot be judged")
    return _Judge(records, site).judge()
