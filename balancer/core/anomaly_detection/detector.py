"""Who departs from the usual: rows of what each server did go in, events that name the departing come out.

`Departures` is fed in rounds, a second or so each: `begin`, a `row` for each server that did something,
`end`, which returns the events. It holds no clock and makes no I/O.

Two kinds of test, both CUSUM (Page, Biometrika 1954; its delay against Lorden's bound, Annals 1971, is
measured in benchmarks/anomaly_detection.py):

- *Levels* (answer time by class, reported load) are logarithms. A row's mean is held against its peers now
  (the `RANK` part of their own running means, by kind, so that half of the fleet may depart and the rest
  still be the reference), less the server's own past distance from them. The score is in standard
  deviations, those of the row's own size and of the spread that servers without an event show. A fast test
  takes rows, a slow one minutes.
- *Shares* (errors, turned away, silence) are Bernoulli trials; the score is the log of the likelihood of a
  share that matters against that of the peers' and the own past's.

What all servers share (load, a wave, costlier requests) moves the reference and no score; the reference is
held against its own past, and a step of it is told as one of the class, or of all. Servers that depart
together and share a zone, a kind or a cell are told as one. A row in which the node itself stood still
counts for nobody.

Bounds: `MOST_EVENTS` open at a time, `MOST_TOLD` told a round (the first of its kind always; the rest
counted), a row's classes, and a record of some 1 KiB a server that goes `FORGET_MS` after its last row.
"""

from __future__ import annotations

import math
from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

K = 1.0  # deviations that a level may stand off without a score: half of the step that is looked for
H = 12.0  # score at which a level is told; with K, some 1e10 rows without a cause between two false ones
K_SLOW, H_SLOW = 1.25, 10.0  # the same for minutes, of which there are 60 times fewer and which hang together
H_SHARE = 14.0  # log-likelihood at which a share is told
MOST = 1.5  # thresholds that a score rises to at most
CLIP = 4.5  # deviations that one row counts for at most: one odd row tells nothing
SUSPECT = 0.4  # part of a threshold from which a server counts as departing with others
FAST, SLOW = math.log(1.4), math.log(1.12)  # least step that is told by rows, by minutes
FAST_LOAD, LOAD_LEAST = math.log(2.0), 2.0  # of the reported load, and requests beyond the usual
ALL_STEP = math.log(1.6)  # least step of a reference against its own past
RANK = 0.4  # of the peers' running means: the reference
RANKED = 500  # servers that a reference is made of, about
PEERS = 3  # least peers of a kind, else all kinds are peers; fewer than this in all: the own past alone
WINDOW = 40.0  # answers that a running mean is made of
TRUST_ROWS = 20.0  # rows that a server's own distance is held to be none for, to begin with
PAST_ROWS = 1_800.0  # rows of which the own distance is made, fast; and minutes, slow
PAST_MINUTES, MINUTES = 360.0, 10
FAR = math.log(1.5)  # most of a distance that is taken for usual
FLOOR = 0.04  # least spread between servers, fast; and slow
FLOOR_SLOW = 0.02
WARM_UP_ROWS = 3  # of a class at all servers together times PEERS, before anybody is told
RECOVER = 8  # good rows, net of bad ones, that end an event
QUIET_MS, FORGET_MS = 120_000.0, 900_000.0  # without a row an event ends; a server is forgotten
UPDATE_MS, UPDATE_STEP = 10_000.0, 0.25
HOLD_MS = 1_100.0  # a suspicion shared by others waits so long for them
GROUP_PART, GROUP_SHARE, GROUP_LEAST = 0.6, 0.8, 3  # of a group that departs, of the departing, at least
ALL_PART = 0.4  # of all servers
MOST_EVENTS, MOST_TOLD, FORGOTTEN = 256, 20, 20_000
STALE_ROWS, STALE_MS, STALE_SPREAD = 40, 10_000.0, 3
FLAPS, FLAP_MS = 5, 120_000.0
STALL_MS, STALLED_MS, STALL_WINDOW_MS = 250.0, 1_000.0, 10_000.0
MINUTE_MS = 60_000.0


class Signal(Enum):
    """What departs."""

    ANSWER_TIME = "answer_time"
    ERRORS = "errors"
    TURNED_AWAY = "turned_away"
    LOAD = "load"
    SILENCE = "silence"
    STALE_REPORT = "stale_report"
    FLAPPING = "flapping"
    RECOVERY = "recovery"  # of the node itself, with `Step.BECAME`
    PEERS = "peers"  # of another node, with the steps of a peer


class Scope(Enum):
    """Who does."""

    SERVER = "server"
    ZONE = "zone"
    KIND = "kind"
    CELL = "cell"
    CLASS = "class"
    ALL = "all"
    NODE = "node"
    PEER = "peer"  # another node


class Step(Enum):
    """What has become of an event."""

    BEGAN = "departure_began"
    CHANGED = "departure_changed"
    ENDED = "departure_ended"
    BECAME = "recovery"  # no departure: the node itself is another state back (`core/recovery`)
    # Nor are these: what became of another node, or of this one among them (`Tell` in
    # `core/cluster/failure_detector`).
    PEER_JOINED = "peer_joined"
    PEER_SUSPECTED = "peer_suspected"
    PEER_FAILED = "peer_failed"
    PEER_LEFT = "peer_left"
    PEER_RETURNED = "peer_returned"
    PEER_MOVED = "peer_moved"
    PEER_DOUBLED = "peer_doubled"
    PEER_YIELDED = "peer_yielded"
    PEER_RESUMED = "peer_resumed"
    PEER_FULL = "peer_full"
    # What this node is cut off from, and what nodes disagree on (`Happened` in
    # `core/cluster/gossip_coordinator`).
    CUT_BEGAN = "cut_began"
    CUT_ENDED = "cut_ended"
    DISAGREEMENT_BEGAN = "disagreement_began"
    DISAGREEMENT_ENDED = "disagreement_ended"


@dataclass(slots=True)
class Row:
    """What one server did since its last row, as this node saw it.

    `times`: for each class the number of answers, the sum of the logarithms of their times in ms, and of the
    squares of those. `silent`: attempts whose time ran out. `changes`: starts and phases told by the list.
    `same`, `same_ms`, `spread`: reports in a row that say the same, for how long, and by how much the
    node's own count moved meanwhile. `cold`: it started a short while ago, and slow answers are no news.
    """

    server: str
    zone: str = ""
    kind: str = ""
    cell: int = -1
    times: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    answers: int = 0
    errors: int = 0
    turned_away: int = 0
    silent: int = 0
    load: float | None = None
    changes: int = 0
    same: int = 0
    same_ms: float = 0.0
    spread: int = 0
    cold: bool = False


@dataclass(slots=True)
class Event:
    """One departure. `at_ms` is when it was told last, `since_ms` when it seems to have begun."""

    id: int
    scope: Scope
    subject: str
    signal: Signal
    at_ms: float
    since_ms: float
    evidence: dict[str, object]
    servers: set[str] = field(default_factory=set)
    class_name: str = ""
    step: Step = Step.BEGAN
    told_ms: float = 0.0
    told_value: float = 0.0
    good: int = 0
    heard_ms: float = 0.0


@dataclass(slots=True)
class Told:
    """An event as it was at one moment, for those who listen."""

    step: Step
    id: int
    at_ms: float
    since_ms: float
    scope: Scope
    subject: str
    signal: Signal
    evidence: dict[str, object]

    def json(self) -> dict[str, object]:
        """One object of `balancer events --json`."""
        return {
            "event": self.step.value,
            "id": self.id,
            "at": round(self.at_ms),
            "since": round(self.since_ms),
            "scope": self.scope.value,
            "subject": self.subject,
            "signal": self.signal.value,
            "evidence": self.evidence,
        }


class Cusum:
    """A score that rises with evidence up to `most` and falls without it to 0, and its values since then.

    Guards against an event that outlives its cause by as long as that lasted.
    """

    __slots__ = ("most", "score", "since_ms", "total", "weight")

    def __init__(self, most: float) -> None:
        self.most = most
        self.score = self.since_ms = self.total = self.weight = 0.0

    def add(self, step: float, now_ms: float, value: float, weight: float) -> None:
        """Evidence, and the value that it was made of."""
        if self.score <= 0.0:
            self.since_ms, self.total, self.weight = now_ms, 0.0, 0.0
        self.score = min(self.most, max(0.0, self.score + step))
        self.total += value * weight
        self.weight += weight

    @property
    def mean(self) -> float:
        """Of the values since the score last stood at 0."""
        return self.total / self.weight if self.weight else 0.0

    def clear(self) -> None:
        """Begin anew."""
        self.score = self.total = self.weight = 0.0


class Cell:
    """One level of one server: a class's answer time, or its reported load."""

    __slots__ = ("fast", "mean", "minute", "n", "off", "off_slow", "rows", "seen_ms", "slow", "slow_rows")

    def __init__(self) -> None:
        self.mean = self.n = 0.0  # running mean of the logarithm, of so many answers
        self.off = self.off_slow = self.rows = self.slow_rows = 0.0  # own usual distance from the reference
        self.fast, self.slow = Cusum(MOST * H), Cusum(MOST * H_SLOW)
        self.minute = [0.0, 0.0]  # answers, and their distances, of the minute
        self.seen_ms = 0.0


class Server:
    """What is known of one server."""

    __slots__ = (
        "cell",
        "cells",
        "changes",
        "kind",
        "minute_ms",
        "name",
        "past",
        "seen_ms",
        "shares",
        "stale",
        "zone",
    )

    def __init__(self, name: str) -> None:
        self.name, self.zone, self.kind, self.cell = name, "", "", -1
        self.cells: dict[str, Cell] = {}
        self.shares = {signal: Cusum(MOST * H_SHARE) for signal in SHARES}
        self.past = dict.fromkeys(SHARES, 0.0)
        self.changes: list[float] = []
        self.seen_ms = self.minute_ms = 0.0
        self.stale = False


class Reference:
    """What is usual for one level of one kind of servers."""

    __slots__ = ("base", "between", "between_slow", "cusum", "rows", "value", "within")

    def __init__(self) -> None:
        self.value = math.nan  # the reference now
        self.base = math.nan  # and in its own past
        self.within = 0.25  # variance of single answers about their server's mean
        self.between = 0.01  # further variance of a row's mean, fast and by minutes
        self.between_slow = 0.0025
        self.rows = 0.0
        self.cusum = Cusum(MOST * H)


# Least share that is usual, times the peers' own, least share that matters.
SHARES: dict[Signal, tuple[float, float, float]] = {
    Signal.ERRORS: (0.004, 1.5, 0.05),
    Signal.TURNED_AWAY: (0.02, 1.5, 0.25),
    Signal.SILENCE: (0.005, 1.5, 0.10),
}
LOAD = "\0load"  # the cell of the reported load; no class has such a name


class Departures:
    """All servers of one node."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        self.references: dict[tuple[str, str], Reference] = {}  # by kind and level
        self.shares = dict.fromkeys(SHARES, 0.0)  # of all servers, lately
        self.sums = {signal: [0.0, 0.0] for signal in SHARES}  # of the round: bad ones and all
        self.events: dict[int, Event] = {}
        self.waiting: dict[Signal, float] = {}  # suspicions that wait for others, since
        self.stalls: list[tuple[float, float]] = []
        self.stalled: Event | None = None
        self.left_out = 0  # events that were not told one by one
        self.now_ms = self.ranked_ms = 0.0
        self.tainted = False
        self._count = 0
        self._crossed: dict[Signal, dict[str, tuple[str, float, float, float]]] = {}
        self._out: list[Told] = []
        self._skipped: set[tuple[Signal, str]] = set()  # there was no place for

    # --- a round

    def begin(self, now_ms: float, stall_ms: float = 0.0) -> bool:
        """A round begins; `stall_ms` is how long the node itself stood still since the last. False: no
        time passed.
        """
        if now_ms <= self.now_ms:
            return False
        self.now_ms = now_ms
        self.tainted = stall_ms >= STALL_MS
        if self.tainted:
            self.stalls.append((now_ms, stall_ms))
        self.stalls = [item for item in self.stalls if now_ms - item[0] <= STALL_WINDOW_MS]
        self.sums = {signal: [0.0, 0.0] for signal in SHARES}
        if now_ms - self.ranked_ms >= 1_000.0:
            self.ranked_ms = now_ms
            self._rank()
        return True

    def row(self, row: Row) -> None:
        """What a server did."""
        server = self.servers.get(row.server)
        if server is None:
            server = self.servers[row.server] = Server(row.server)
        server.zone, server.kind, server.cell, server.seen_ms = row.zone, row.kind, row.cell, self.now_ms
        if not self.tainted:
            if not row.cold:
                self._levels(server, row)
            self._shares(server, row)
        self._flags(server, row)
        self._heard(server)

    def end(self) -> list[Told]:
        """The round is over: what has begun, changed and ended, in bounded number."""
        for signal, (bad, total) in self.sums.items():
            if total:
                gain = min(1.0, total / 400.0)
                self.shares[signal] += gain * 0.2 * (bad / total - self.shares[signal])
        self._gather()
        self._references()
        self._stall()
        self._age()
        out, self._out = self._out, []
        return self._bounded(out)

    # --- levels

    def _rank(self) -> None:
        """The references: the `RANK` part of the servers' running means, by kind; of all kinds where few."""
        values: dict[tuple[str, str], list[float]] = {}
        # Of thousands some hundreds, always the same: guards against a long turn each second.
        some_servers = list(self.servers.values())
        for server in some_servers[:: 1 + len(some_servers) // RANKED]:
            for name, cell in server.cells.items():
                if cell.n >= 5 and self.now_ms - cell.seen_ms < QUIET_MS:
                    values.setdefault((server.kind, name), []).append(cell.mean - cell.off)
                    values.setdefault(("", name), []).append(cell.mean - cell.off)
        for key, some in values.items():
            if len(some) < PEERS:
                continue
            some.sort()
            reference = self.references.get(key)
            if reference is None:
                reference = self.references[key] = Reference()
            reference.value = some[int(RANK * (len(some) - 1))]

    def _reference(self, server: Server, name: str) -> Reference | None:
        found = self.references.get((server.kind, name)) or self.references.get(("", name))
        return None if found is None or math.isnan(found.value) else found

    def _levels(self, server: Server, row: Row) -> None:
        worst: tuple[Cell, str] | None = None
        for name, (n, total, squares) in row.times.items():
            cell = server.cells.get(name)
            if cell is None:
                if len(server.cells) >= 32:
                    continue
                cell = server.cells[name] = Cell()
            self._level(server, cell, name, n, total / n, max(0.0, squares / n - (total / n) ** 2))
            worst = (cell, name)
        if row.load is not None:
            cell = server.cells.setdefault(LOAD, Cell())
            self._level(server, cell, LOAD, 1, math.log1p(max(0.0, row.load)), 0.0)
        if worst is not None:
            self._check(server)

    def _level(self, server: Server, cell: Cell, name: str, n: int, mean: float, variance: float) -> None:
        gain = n / (min(cell.n, WINDOW) + n)
        before, cell.n, cell.seen_ms = cell.mean, cell.n + n, self.now_ms
        cell.mean += gain * (mean - cell.mean)
        reference = self._reference(server, name)
        if reference is None:
            return
        distance = mean - reference.value
        away = distance - cell.off
        quiet = cell.fast.score < H * SUSPECT and cell.slow.score < H_SLOW * SUSPECT
        spread = reference.within / n + reference.between + FLOOR * FLOOR
        z = away / math.sqrt(spread)
        if reference.rows >= WARM_UP_ROWS * PEERS * 5:
            cell.fast.add(min(CLIP, z) - K, self.now_ms, away, n)
        if quiet:
            if n > 1 and before:
                reference.within += 0.01 * (variance * n / (n - 1) - reference.within)
            elif n == 1 and before:
                reference.within += 0.002 * (min(9 * spread, (mean - before) ** 2) - reference.within)
            beyond = min(away * away, 9 * spread) - reference.within / n
            reference.between = max(0.0, reference.between + 0.005 * (beyond - reference.between))
            reference.rows += 1
            cell.rows = min(cell.rows + 1, PAST_ROWS)
            cell.off += (distance - cell.off) / (cell.rows + TRUST_ROWS) if abs(z) < 3 else 0.0
            cell.off = max(-FAR, min(FAR, cell.off))
        cell.minute[0] += n
        cell.minute[1] += n * distance

    def _check(self, server: Server) -> None:
        """The fast score of each level; and of the minute where it is over."""
        if self.now_ms - server.minute_ms >= MINUTE_MS:
            if server.minute_ms:
                for name, cell in server.cells.items():
                    self._minute(server, cell, name)
            server.minute_ms = self.now_ms
        for name, cell in server.cells.items():
            load = name == LOAD
            least = FAST_LOAD if load else FAST
            if cell.fast.score >= H and cell.fast.mean >= least:
                if load and math.expm1(cell.mean) < math.expm1(cell.mean - cell.fast.mean) + LOAD_LEAST:
                    continue
                self._cross(
                    Signal.LOAD if load else Signal.ANSWER_TIME, server, "" if load else name, cell.fast
                )
            elif cell.slow.score >= H_SLOW and cell.slow.mean >= SLOW and not load:
                self._cross(Signal.ANSWER_TIME, server, name, cell.slow)

    def _minute(self, server: Server, cell: Cell, name: str) -> None:
        n, total = cell.minute
        cell.minute = [0.0, 0.0]
        reference = self._reference(server, name)
        if reference is None or n < 3 or name == LOAD:
            return
        distance = total / n
        cell.slow_rows += 1
        if cell.slow_rows <= MINUTES:  # the first are what is usual
            cell.off_slow += (distance - cell.off_slow) / cell.slow_rows
            return
        away = distance - cell.off_slow
        spread = reference.within / n + reference.between_slow + FLOOR_SLOW * FLOOR_SLOW
        cell.slow.add(min(CLIP, away / math.sqrt(spread)) - K_SLOW, self.now_ms, away, n)
        if cell.slow.score < H_SLOW * SUSPECT:
            beyond = min(away * away, 9 * spread) - reference.within / n
            reference.between_slow = max(
                0.0, reference.between_slow + 0.02 * (beyond - reference.between_slow)
            )
            cell.off_slow += (distance - cell.off_slow) / min(cell.slow_rows, PAST_MINUTES)

    # --- shares

    def _shares(self, server: Server, row: Row) -> None:
        bad = {Signal.ERRORS: row.errors, Signal.TURNED_AWAY: row.turned_away, Signal.SILENCE: row.silent}
        for signal, count in bad.items():
            good = row.answers + (row.errors + row.turned_away + row.silent - count)
            if signal is Signal.SILENCE and not row.answers:
                good = row.errors + row.turned_away
            total = good + count
            if not total:
                continue
            sums = self.sums[signal]
            sums[0] += count
            sums[1] += total
            floor, times, matters = SHARES[signal]
            usual = min(0.5, max(floor, times * self.shares[signal], times * server.past[signal]))
            other = min(0.95, max(matters, 4 * usual))
            cusum = server.shares[signal]
            step = count * math.log(other / usual) + good * math.log((1 - other) / (1 - usual))
            cusum.add(step, self.now_ms, count / total, total)
            if cusum.score < H_SHARE * SUSPECT:
                server.past[signal] += min(1.0, total / 2_000.0) * (count / total - server.past[signal])
            if cusum.score >= H_SHARE:
                self._cross(signal, server, "", cusum)

    # --- flags

    def _flags(self, server: Server, row: Row) -> None:
        stale = row.same >= STALE_ROWS and row.same_ms >= STALE_MS and row.spread >= STALE_SPREAD
        if stale:
            self._crossed.setdefault(Signal.STALE_REPORT, {})[server.name] = (
                "",
                self.now_ms - row.same_ms,
                float(row.same),
                float(row.spread),
            )
        server.stale = stale
        if row.changes:
            server.changes += [self.now_ms] * min(row.changes, FLAPS)
        server.changes = [at for at in server.changes if self.now_ms - at <= FLAP_MS][-FLAPS:]
        if len(server.changes) >= FLAPS:
            self._crossed.setdefault(Signal.FLAPPING, {})[server.name] = (
                "",
                server.changes[0],
                float(len(server.changes)),
                0.0,
            )

    # --- from scores to events

    def _cross(self, signal: Signal, server: Server, class_name: str, cusum: Cusum) -> None:
        self._crossed.setdefault(signal, {})[server.name] = (
            class_name,
            cusum.since_ms,
            cusum.mean,
            cusum.score,
        )

    def _suspects(self, signal: Signal) -> dict[str, tuple[str, float, float, float]]:
        """All servers with part of a score, those over the threshold among them."""
        out = dict(self._crossed.get(signal, {}))
        for server in self.servers.values():
            if server.name in out or self.now_ms - server.seen_ms > QUIET_MS:
                continue
            if signal in SHARES:
                cusum, most = server.shares[signal], H_SHARE
                if cusum.score >= most * SUSPECT:
                    out[server.name] = ("", cusum.since_ms, cusum.mean, cusum.score)
            elif signal in (Signal.ANSWER_TIME, Signal.LOAD):
                for name, cell in server.cells.items():
                    if (name == LOAD) is (signal is Signal.LOAD) and cell.fast.score >= H * SUSPECT:
                        out[server.name] = (name, cell.fast.since_ms, cell.fast.mean, cell.fast.score)
        return out

    def _gather(self) -> None:
        """What has crossed becomes events: of those who share something, or one by one."""
        crossed, self._crossed = self._crossed, {}
        for signal, found in crossed.items():
            new = {name: what for name, what in found.items() if not self._covered(signal, name, what)}
            if not new:
                continue
            self._crossed = {signal: new}
            suspects = {
                name: what
                for name, what in self._suspects(signal).items()
                if name in new or not self._covered(signal, name, what) or self._alone(signal, name)
            }
            self._crossed = {}
            alone = len(suspects) <= 1
            if not alone and self.now_ms - self.waiting.setdefault(signal, self.now_ms) < HOLD_MS:
                continue  # they cross again with their next row
            self.waiting.pop(signal, None)
            self._begin_all(signal, new, suspects)
        for signal in [s for s, since in self.waiting.items() if self.now_ms - since > 3 * HOLD_MS]:
            del self.waiting[signal]

    def _begin_all(
        self,
        signal: Signal,
        new: dict[str, tuple[str, float, float, float]],
        suspects: dict[str, tuple[str, float, float, float]],
    ) -> None:
        active = [s for s in self.servers.values() if self.now_ms - s.seen_ms <= QUIET_MS]
        group = self._shared(active, suspects) if len(suspects) >= GROUP_LEAST else None
        if group is None and len(suspects) >= max(GROUP_LEAST, ALL_PART * len(active)):
            group = Scope.ALL, "all"
        if group is not None:
            self._open(signal, *group, suspects)
            return
        for name, what in new.items():
            self._open(signal, Scope.SERVER, name, {name: what})

    def _shared(
        self, active: Iterable[Server], suspects: dict[str, tuple[str, float, float, float]]
    ) -> tuple[Scope, str] | None:
        """The zone, kind or cell that most of the departing share and that departs for the most part."""
        active = list(active)
        best: tuple[float, Scope, str] | None = None
        for scope, read in (
            (Scope.CELL, lambda s: "" if s.cell < 0 else str(s.cell)),
            (Scope.ZONE, lambda s: s.zone),
            (Scope.KIND, lambda s: s.kind),
        ):
            groups: dict[str, list[int]] = {}
            for server in active:
                count = groups.setdefault(read(server), [0, 0])
                count[0] += 1
                count[1] += server.name in suspects
            for name, (size, there) in groups.items():
                whole = size >= 0.9 * len(active)
                if not name or whole or there < GROUP_LEAST:
                    continue
                if there >= GROUP_PART * size and there >= GROUP_SHARE * len(suspects):
                    score = there / size
                    if best is None or score > best[0]:
                        best = (score, scope, name)
        return None if best is None else best[1:]

    def _covered(self, signal: Signal, name: str, what: tuple[str, float, float, float]) -> bool:
        """Whether an open event speaks of it; it then takes note."""
        for event in self.events.values():
            if event.signal not in _kin(signal):
                continue
            server = self.servers.get(name)
            inside = name in event.servers or event.scope is Scope.ALL
            if server is not None and event.scope in (Scope.ZONE, Scope.KIND, Scope.CELL):
                mine = {Scope.ZONE: server.zone, Scope.KIND: server.kind, Scope.CELL: str(server.cell)}
                inside = inside or mine[event.scope] == event.subject
            if not inside:
                continue
            event.servers.add(name)
            self._update(event, what)
            return True
        return False

    def _alone(self, signal: Signal, name: str) -> bool:
        """Whether it was told by itself."""
        mine = (e for e in self.events.values() if e.scope is Scope.SERVER and e.subject == name)
        return any(event.signal in _kin(signal) for event in mine)

    def _update(self, event: Event, what: tuple[str, float, float, float]) -> None:
        evidence = self._evidence(event.signal, event.servers, what)
        value = float(evidence.get("value") or 0.0)  # type: ignore[arg-type]
        grown = len(event.servers) > 1.2 * float(event.evidence.get("servers", 1))  # type: ignore[arg-type]
        moved = abs(value - event.told_value) > UPDATE_STEP * abs(event.told_value)
        if (grown or moved) and self.now_ms - event.told_ms >= UPDATE_MS:
            event.evidence = evidence
            self._tell(event, Step.CHANGED)

    def _evidence(
        self, signal: Signal, servers: set[str], what: tuple[str, float, float, float]
    ) -> dict[str, object]:
        class_name, _, value, score = what
        out: dict[str, object] = {"servers": len(servers)}
        if signal in (Signal.ANSWER_TIME, Signal.LOAD):
            server = self.servers.get(next(iter(servers), ""))
            level = LOAD if signal is Signal.LOAD else class_name
            reference = self._reference(server, level) if server is not None else None
            usual = reference.value if reference is not None else 0.0
            cell = server.cells.get(level) if server is not None else None
            usual += cell.off if cell is not None else 0.0
            read = math.expm1 if signal is Signal.LOAD else math.exp
            out |= {
                "value": round(read(min(700.0, usual + value)), 3),
                "reference": round(read(min(700.0, usual)), 3),
                "ratio": round(math.exp(value), 3),
                "score": round(score, 1),
                "threshold": H,
                "false_alarm_odds": float(f"{math.exp(-2 * K * min(score, 300.0)):.1e}"),
            }
            if class_name:
                out["class"] = class_name
        elif signal in SHARES:
            usual = max(SHARES[signal][0], self.shares[signal])
            out |= {
                "value": round(value, 4),
                "reference": round(usual, 4),
                "score": round(score, 1),
                "threshold": H_SHARE,
                "false_alarm_odds": float(f"{math.exp(-min(score, 300.0)):.1e}"),
            }
        elif signal is Signal.STALE_REPORT:
            out |= {"value": value, "own_count_moved_by": score}
        else:
            out |= {"value": value, "window_ms": FLAP_MS}
        return out

    def _open(
        self, signal: Signal, scope: Scope, subject: str, found: dict[str, tuple[str, float, float, float]]
    ) -> None:
        what = max(found.values(), key=lambda item: item[3])
        if scope is Scope.SERVER:
            what = found[subject]
        servers = set(found)
        classes = {item[0] for item in found.values()}
        evidence = self._evidence(signal, servers, what)
        if scope is not Scope.SERVER and len(classes) > 1:
            evidence.pop("class", None)
        since = min(item[1] for item in found.values())
        if scope is not Scope.SERVER:
            self._absorb(signal, servers)
        self._new(signal, scope, subject, since, evidence, servers, what[0])

    def _absorb(self, signal: Signal, servers: set[str]) -> None:
        """Those that were told one by one before the others showed the same are part of what begins now."""
        for event in list(self.events.values()):
            if event.scope is Scope.SERVER and event.subject in servers and event.signal in _kin(signal):
                event.evidence = {**event.evidence, "ended_as": f"part of event {self._count + 1}"}
                self._end(event)

    def _new(
        self,
        signal: Signal,
        scope: Scope,
        subject: str,
        since_ms: float,
        evidence: dict[str, object],
        servers: set[str],
        class_name: str = "",
    ) -> Event | None:
        if len(self.events) >= MOST_EVENTS:
            if len(self._skipped) < FORGOTTEN and (signal, subject) not in self._skipped:
                self._skipped.add((signal, subject))
                self.left_out += 1
            return None
        self._count += 1
        event = Event(
            self._count,
            scope,
            subject,
            signal,
            self.now_ms,
            since_ms,
            evidence,
            servers,
            class_name,
            heard_ms=self.now_ms,
        )
        self.events[event.id] = event
        self._tell(event, Step.BEGAN)
        return event

    def _tell(self, event: Event, step: Step) -> None:
        event.step, event.at_ms, event.told_ms = step, self.now_ms, self.now_ms
        event.told_value = float(event.evidence.get("value") or 0.0)  # type: ignore[arg-type]
        self._out.append(
            Told(
                step,
                event.id,
                self.now_ms,
                event.since_ms,
                event.scope,
                event.subject,
                event.signal,
                dict(event.evidence),
            )
        )

    # --- the end of an event

    def _bad(self, event: Event, server: Server) -> bool:
        """Whether a server still shows what the event is about."""
        if event.signal in SHARES:
            return server.shares[event.signal].score >= H_SHARE * SUSPECT
        if event.signal is Signal.STALE_REPORT:
            return server.stale
        if event.signal is Signal.FLAPPING:
            return len(server.changes) >= 2
        level = LOAD if event.signal is Signal.LOAD else event.class_name
        cell = server.cells.get(level)
        return cell is not None and max(cell.fast.score / H, cell.slow.score / H_SLOW) >= SUSPECT

    def _heard(self, server: Server) -> None:
        """A row of a server that an event speaks of: towards its end, or away from it."""
        for event in self.events.values():
            if server.name in event.servers and event.scope not in (Scope.CLASS, Scope.NODE):
                event.heard_ms = self.now_ms
                bad = self._bad(event, server)
                event.good = max(0, event.good - 2) if bad else event.good + 1

    def _age(self) -> None:
        for event in list(self.events.values()):
            if event.scope in (Scope.CLASS, Scope.NODE) or (event.scope is Scope.ALL and not event.servers):
                continue
            over = event.good >= RECOVER * max(1, len(event.servers))
            if over or self.now_ms - event.heard_ms > QUIET_MS:
                event.evidence = {**event.evidence, "lasted_ms": round(self.now_ms - event.since_ms)}
                if not over:
                    event.evidence["ended_as"] = "nothing was heard of it any more"
                self._end(event)
        for name in [n for n, s in self.servers.items() if self.now_ms - s.seen_ms > FORGET_MS][:200]:
            del self.servers[name]

    def _end(self, event: Event) -> None:
        del self.events[event.id]
        self._skipped.clear()
        for name in event.servers:
            if (server := self.servers.get(name)) is not None:
                for cell in server.cells.values():
                    if event.signal in (Signal.ANSWER_TIME, Signal.LOAD):
                        cell.fast.clear()
                        cell.slow.clear()
                if event.signal in SHARES:
                    server.shares[event.signal].clear()
        self._tell(event, Step.ENDED)

    # --- the reference against its own past

    def _references(self) -> None:
        """A class that turns slow everywhere is told as one of the class, all classes as one of all."""
        if self.tainted:
            return
        up: list[tuple[str, Reference]] = []
        known = 0
        for (kind, name), reference in self.references.items():
            if kind or name == LOAD or math.isnan(reference.value):
                continue
            if sum(r.rows for (_, n), r in self.references.items() if n == name) < 100:
                continue
            known += 1
            if math.isnan(reference.base):
                reference.base = reference.value
            away = reference.value - reference.base
            spread = reference.between / 4 + FLOOR * FLOOR
            reference.cusum.add(min(CLIP, away / math.sqrt(spread)) - 2 * K, self.now_ms, away, 1.0)
            if reference.cusum.score >= H and reference.cusum.mean >= ALL_STEP:
                up.append((name, reference))
            elif reference.cusum.score < H * SUSPECT:
                reference.base += away / 900.0
        names = {name for name, _ in up}
        open_all = [e for e in self.events.values() if not e.servers and e.scope in (Scope.ALL, Scope.CLASS)]
        for event in open_all:
            still = bool(names) if event.scope is Scope.ALL else event.subject in names
            event.good = 0 if still else event.good + 1
            event.heard_ms = self.now_ms
            if event.good >= RECOVER:
                event.evidence = {**event.evidence, "lasted_ms": round(self.now_ms - event.since_ms)}
                self._end(event)
        if any(e.scope is Scope.ALL and e.signal is Signal.ANSWER_TIME for e in self.events.values()):
            return
        told = {e.subject for e in open_all}
        fresh = [(name, reference) for name, reference in up if name not in told]
        if not fresh:
            return
        if len(up) >= max(2, math.ceil(0.6 * known)):
            if not all(self.now_ms - reference.cusum.since_ms >= 2_000.0 for _, reference in up):
                return
            name, reference = max(up, key=lambda item: item[1].cusum.mean)
            self._new(
                Signal.ANSWER_TIME,
                Scope.ALL,
                "all",
                min(r.cusum.since_ms for _, r in up),
                self._of(reference) | {"classes": len(up)},
                set(),
            )
            return
        for name, reference in fresh:
            if self.now_ms - reference.cusum.since_ms >= 3_000.0:  # the others may follow
                self._new(
                    Signal.ANSWER_TIME,
                    Scope.CLASS,
                    name,
                    reference.cusum.since_ms,
                    self._of(reference),
                    set(),
                    name,
                )

    def _of(self, reference: Reference) -> dict[str, object]:
        step = reference.cusum.mean
        return {
            "value": round(math.exp(reference.base + step), 3),
            "reference": round(math.exp(reference.base), 3),
            "ratio": round(math.exp(step), 3),
            "score": round(reference.cusum.score, 1),
            "threshold": H,
        }

    # --- the node itself

    def _stall(self) -> None:
        """All answers late at once are no server's fault where the node's own loop stood still."""
        total = sum(length for _, length in self.stalls)
        if total >= STALLED_MS:
            if self.stalled is None:
                since = self.stalls[0][0] - self.stalls[0][1]
                evidence: dict[str, object] = {
                    "value": round(total),
                    "window_ms": STALL_WINDOW_MS,
                    "cause": "the node's own loop stood still",
                }
                self.stalled = self._new(Signal.ANSWER_TIME, Scope.NODE, "node", since, evidence, set())
        elif not self.stalls and self.stalled is not None:
            event, self.stalled = self.stalled, None
            event.evidence = {**event.evidence, "lasted_ms": round(self.now_ms - event.since_ms)}
            if event.id in self.events:
                self._end(event)

    # --- what is told

    def _bounded(self, out: list[Told]) -> list[Told]:
        """At most `MOST_TOLD`, the first of each kind and scope before the rest."""
        if len(out) <= MOST_TOLD:
            return out
        seen: set[tuple[Step, Signal, Scope]] = set()
        first: list[tuple[int, Told]] = []
        rest: list[tuple[int, Told]] = []
        for number, told in enumerate(out):
            kind = told.step, told.signal, told.scope
            (rest if kind in seen else first).append((number, told))
            seen.add(kind)
        kept: list[tuple[int, Told]] = []
        for item in (first + rest)[:MOST_TOLD]:
            insort(kept, item, key=lambda pair: pair[0])
        self.left_out += len(out) - len(kept)
        return [told for _, told in kept]


def _kin(signal: Signal) -> frozenset[Signal]:
    """The signals that one cause may show in: a server that is cut off is silent, and errs."""
    return _SHARED if signal in _SHARED else frozenset({signal})


_SHARED = frozenset(SHARES)
