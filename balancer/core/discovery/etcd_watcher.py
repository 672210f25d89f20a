"""Following the members in etcd: which endpoint is asked for what, and when it is left for another.

`EtcdFollow.handle` takes an event and a clock time and returns actions; whoever drives it has the sockets. An
endpoint is first asked for a small linearizable read (a *check*), which shows its cluster, its revision and
that it reaches its quorum; then for the whole list, in pages of one revision; then for a watch from that
revision on. A watch that breaks is taken up again where it was, at any endpoint of the same cluster.

What is delivered never goes back:

- Nothing is used of an endpoint that is behind what was seen (a member that lags): it is left. Events that
  were delivered before are dropped.
- Where all endpoints answer and all stay behind, for BACK_ROUNDS rounds and BACK_MS, etcd was restored from a
  backup: the source is refused, and the operators' `epoch` begins a new order. Should etcd get past the
  revision seen by itself, its whole list is taken, as events may be missing between. So it is if the raft
  term of a linearizable read went back, which shows a backup that got past that revision already.
- A cluster id that is new begins a new order, by a whole list. Its endpoint is taken only in a round in which
  no endpoint of the present cluster answers. A cluster that was left so is never gone back to (the last
  FORMER ids are remembered) until the program or the `epoch` starts anew: endpoints of two clusters in one
  list cannot make the view flip.

The silence of a watch says nothing (etcd notifies of progress every ten minutes), so the endpoint in use is
checked every CHECK_MS on another connection. It is left when a check has no answer in CHECK_WAIT_MS, or two
fail: a frozen endpoint, and one cut off from its quorum, within 2.5 s. A watch that says nothing for
some REOPEN_MS while etcd's revision moves on is asked for anew, in case its connection alone is dead.

A watch is not believed to have told of every deletion. In etcd 3.4 a compaction at the very revision of a
deletion drops it, and a watch that has fallen behind to just there goes on without a word. So every AUDIT_MS
the check counts the keys below the prefix: where that is not what the list and the watch made of that
revision, or the watch is a whole check behind, the list is read anew. Where that shows nothing new the next
count is twice as far off: a gateway that cannot count must not have all nodes read all of it for good.

Where the operators say how many whole lists their cluster bears, each is asked for at the node's *turn*
(`core/staggering`). Before its first list a node does not even connect until then. Later, after a
compaction or
a count that does not fit, it goes on by a watch: from the present on where the old one is of no use, so that
only what fell into the *gap* waits for the list. What was asked for in vain is asked for at a later turn, and
what was refused at no other endpoint before.

Bounds: MAX_ENTRIES of a whole list; RESTARTS of one listing at one endpoint; FORMER cluster ids.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from urllib.parse import urlsplit

from balancer import interface as api
from balancer.core.backoff import Backoff
from balancer.core.discovery.endpoint_merger import (
    Heard,
    Listed,
    Refused,
    Silenced,
)
from balancer.core.staggering import Turns
from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry

CHECK_MS = 1000.0  # between two checks of the endpoint in use
CHECK_WAIT_MS = 1500.0  # for a check's answer
CHECKS_FAILED = 2  # in a row: the endpoint is left
PAGE_MS = 3000.0  # for a page, and for a watch to be on
SPREAD_MS = 200.0  # a watch that broke is taken up within this: many nodes may have lost the same endpoint
FIRST_MS, MOST_MS = 200.0, 5000.0  # back-off where no endpoint will do
REOPEN_MS = 60_000.0
AUDIT_MOST_MS = 600_000.0  # where counts are wrong by themselves
AUDIT_MS = 10_000.0  # between two counts of the keys: etcd walks over its index for each, some ms for 10,000
BACK_ROUNDS, BACK_MS = 3, 10_000.0
PAGE = 500  # keys
MAX_ENTRIES = 100_000
RESTARTS = 5
FORMER = 8
MOST_ADVICE_MS = 60_000.0  # of a refusal, that is believed
SOON_MS = 1.0  # before its turn a list is asked for all the same: a clock's timers are no finer
LOUD_LEAST = 4  # members ended at once, over half of all, that are worth a line


@dataclass(slots=True, frozen=True)
class EtcdConfig:
    """What the operators say of their etcd. Paths are of files; `epoch` begins a new order, see above.

    `bears`: whole lists a second of all nodes together, None where nobody says.
    """

    endpoints: tuple[str, ...]
    prefix: str
    format: str = "member"
    ca: str | None = None
    cert: str | None = None
    key: str | None = None
    user: str | None = None
    password: str | None = field(default=None, repr=False)
    epoch: int = 0
    bears: int | None = None


def endpoint(url: str) -> tuple[str, int, bool]:
    """Host, port and whether it is TLS, of `http://HOST:PORT` or `https://HOST:PORT`; raises ValueError.

    The host is an address or a name. A password in an URL would end up in logs, so none is taken.
    """
    form = "not http://HOST:PORT or https://HOST:PORT"
    try:
        parts = urlsplit(url)
        host, port = parts.hostname, parts.port
    except ValueError:
        raise ValueError(f"{url!r:.120} is {form}") from None
    if "@" in parts.netloc:
        raise ValueError("an endpoint has a user or password in it; they have settings of their own")
    rest = parts.path.rstrip("/") + parts.query + parts.fragment
    if parts.scheme not in ("http", "https") or not host or not port or rest:
        raise ValueError(f"{url!r:.120} is {form}")
    return host, port, parts.scheme == "https"


Row = (
    EndpointRecord | InvalidEntry | str
)  # a member, an entry that cannot be read, or the id of one that is gone


class Trouble(Enum):
    """Why a call gave nothing."""

    FAILED = "failed"  # no connection, no answer, an error of any other kind
    COMPACTED = "compacted"
    STALE_TOKEN = "stale token"  # to be asked again: a log-in goes before it
    DENIED = "denied"
    SPOILED = "spoiled"  # an answer that cannot be read
    TOO_LONG = "too long"
    BUSY = "busy"  # it refused, as it has more to do than it can


# --- events


@dataclass(slots=True, frozen=True)
class Position:
    """The header of an answer: which cluster, how far, in which raft term."""

    cluster_id: str
    revision: int
    raft_term: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """An event of a watch, at the revision at which it came to be.

    `kept`: the member is gone and its key is there still, as what it holds withdraws the member.
    """

    revision: int
    row: Row
    kept: bool = False


@dataclass(slots=True, frozen=True)
class Started:
    """Begin."""


@dataclass(slots=True, frozen=True)
class Stopped:
    """End: all calls are dropped."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a `SetTimer` has come."""

    token: int


@dataclass(slots=True, frozen=True)
class CheckAnswered:
    """A linearizable read was answered; `keys` are below the prefix, if they were to be counted."""

    call: int
    position: Position
    keys: int | None = None


@dataclass(slots=True, frozen=True)
class PageAnswered:
    """A page of a range came; `last_key` is where the next one goes on, if there is `more`.

    `keys` are in the range in all, on this page and behind it, at the list's revision.
    """

    call: int
    position: Position
    rows: tuple[Row, ...]
    last_key: bytes
    more: bool
    keys: int = 0


@dataclass(slots=True, frozen=True)
class WatchCreated:
    """The watch is on."""

    call: int
    position: Position


@dataclass(slots=True, frozen=True)
class WatchSaid:
    """Changes, oldest first. A `fragment` may end within a revision, and others follow at once."""

    call: int
    position: Position
    changes: tuple[Change, ...]
    fragment: bool = False


@dataclass(slots=True, frozen=True)
class WatchProgressed:
    """All changes up to the position were said."""

    call: int
    position: Position


@dataclass(slots=True, frozen=True)
class WatchCanceled:
    """The watch is off and its stream still open; compacted up to a revision, if that is not 0."""

    call: int
    compact_revision: int
    trouble: Trouble
    reason: str


@dataclass(slots=True, frozen=True)
class CallFailed:
    """A check, a page or a watch has ended with nothing more to come.

    `advice_ms` is how long one that is busy wants to be left alone, 0 if it did not say.
    """

    call: int
    trouble: Trouble
    reason: str
    advice_ms: float = 0.0


Event = (
    Started
    | Stopped
    | TimerFired
    | CheckAnswered
    | PageAnswered
    | WatchCreated
    | WatchSaid
    | WatchProgressed
    | WatchCanceled
    | CallFailed
)

# --- actions; `call` names what is asked in the events that answer it


@dataclass(slots=True, frozen=True)
class Check:
    """Read one key, linearizable; or count all that are below the prefix."""

    call: int
    endpoint: int
    count: bool = False


@dataclass(slots=True, frozen=True)
class Range:
    """Read up to `limit` keys behind `after_key`, as of `revision` (0: the present one), linearizable."""

    call: int
    endpoint: int
    after_key: bytes
    revision: int
    limit: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Watch from a revision on."""

    call: int
    endpoint: int
    start_revision: int


@dataclass(slots=True, frozen=True)
class CloseWatch:
    """Close the watch's stream; nothing of it is wanted any more."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Drop:
    """Close whatever there is to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Hand in `TimerFired` at a clock time."""

    at_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class Deliver:
    """Hand this to the membership."""

    event: Listed | Heard | Silenced | Refused


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the people on call; `level` is info or warning."""

    level: str
    text: str


Action = Check | Range | Watch | CloseWatch | Drop | SetTimer | Deliver | Say

# --- state


class Phase(Enum):
    """What the endpoint in use is being asked."""

    IDLE = "idle"
    ASKING = "asking"  # the first check
    LISTING = "listing"
    OPENING = "opening"  # a watch that is not on yet
    WATCHING = "watching"
    RESTING = "resting"  # no endpoint is in use


class Verdict(Enum):
    """What came of an endpoint in this round."""

    DEAD = "no answer"
    DENIED = "denied"
    BEHIND = "behind"
    FORMER = "of a former cluster"
    STRANGER = "of another cluster"


BACK = {Verdict.BEHIND, Verdict.FORMER, Verdict.STRANGER}


@dataclass(slots=True, frozen=True)
class Outcome:
    """An endpoint's verdict, and the cluster it is of as far as it said."""

    verdict: Verdict
    reason: str
    cluster: str = ""


class Told(Enum):
    """What the membership was told last of the source."""

    WELL = "well"
    SILENCED = "silenced"
    REFUSED = "refused"


class EtcdFollow:
    """Follows one etcd cluster for `source`; `seen` is an identity and a revision not to go behind.

    `turns` says when this node may ask for whole lists; without it that is whenever one is needed.
    """

    def __init__(
        self,
        source: str,
        endpoints: int,
        rng: random.Random,
        *,
        epoch: int = 0,
        seen: tuple[str, int] | None = None,
        names: Sequence[str] = (),
        turns: Turns | None = None,
    ) -> None:
        if endpoints < 1:
            raise ValueError("no endpoint to ask")
        self.source, self.rng, self.epoch = source, rng, epoch
        self.names = tuple(names) or tuple(f"endpoint {i + 1}" for i in range(endpoints))
        self.order = rng.sample(range(endpoints), endpoints)  # so that nodes spread over the endpoints
        self.backoff = Backoff(FIRST_MS, MOST_MS, rng)
        self.turns = turns
        self.list_ms: float | None = None  # this node's turn for the list that is needed
        self.gap = False  # the watch is on behind something that may be lost
        self.phase = Phase.IDLE
        # what was delivered
        self.cluster: str | None = None  # whose order is in force
        self.seen = 0  # the newest revision delivered, in part at least
        self.whole = 0  # up to here all of it was: a watch goes on behind it
        self.term = 0  # the raft term of a linearizable read
        self.need_list = True
        self.listed = False  # a whole list was delivered
        self.members: set[str] = set()
        self.keys: set[str] = set()  # what is there below the prefix, readable or not
        self.unnamed = 0  # keys of the list beyond those, whose names could not be told apart
        self.former: deque[str] = deque(maxlen=FORMER)
        self.told = Told.WELL
        if seen is not None:
            cluster, _, of = seen[0].rpartition("/")
            if of == str(epoch) and cluster:
                self.cluster, self.seen, self.whole = cluster, seen[1], seen[1]
                # In place of a source that was followed: until the list is here no news of it counts.
                self.list_ms = 0.0
        # the endpoint in use
        self.turn = 0  # its place in the order
        self.talking = ""  # its cluster
        self.adopting = ""  # a new cluster that may be taken
        self.check_call = self.page_call = self.watch_call = 0  # what is out
        self.check_floor = 0  # what the answer to the check must reach
        self.checked = 0  # the newest revision that a check showed
        self.checks_failed = 0
        self.check_ms = 0.0
        self.settled = False  # it has been of use: a check was answered while the watch was on
        self.token_renewed = False
        self.restarts = 0
        self.said_ms = 0.0  # when the watch last said something
        self.reopen_ms = REOPEN_MS
        self.chain: tuple[int, int] | None = None  # members before, and ended by, fragments that go on
        self.audit_ms = 0.0  # when the keys are counted next
        self.audit_every_ms = AUDIT_MS
        self.counted: tuple[int, int] | None = None  # a revision and its keys, to be held against the watch
        self.again_whole = False  # the list is read anew at a revision that may have been told of
        # the list that is being read
        self.rows: list[Row] = []
        self.page_revision = 0
        self.page_keys = 0
        self.after_key = b""
        self.limit = PAGE
        # the round over all endpoints
        self.outcomes: dict[int, Outcome] = {}
        self.back_rounds = 0
        self.back_since_ms = 0.0
        self.now_ms = 0.0
        self._check_token = self._phase_token = self._turn_token = self._count = 0
        self._out: list[Action] = []

    def __repr__(self) -> str:
        where = "" if self.phase in (Phase.IDLE, Phase.RESTING) else f" {self.names[self.endpoint]}"
        return f"<EtcdFollow {self.source} {self.phase.value}{where} {self.identity} at {self.seen}>"

    @property
    def endpoint(self) -> int:
        """The endpoint in use, or the one that is next."""
        return self.order[self.turn]

    @property
    def identity(self) -> str:
        """The order in force."""
        return f"{self.cluster}/{self.epoch}"

    @property
    def floor(self) -> int:
        """No endpoint of this cluster is used that is behind this."""
        return max(self.seen, self.whole)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event at the clock time `now_ms`."""
        self.now_ms, self._out = now_ms, []
        match event:
            case Started() if self.phase is Phase.IDLE:
                if self.listed or not (wait_ms := self._turn_wait()):
                    self._ask()
                else:
                    self._say("info", f"the whole list has its turn in {wait_ms / 1000:.1f} s")
                    self._rest(wait_ms)
            case Stopped() if self.phase is not Phase.IDLE:
                self._clear()
                self.phase = Phase.IDLE
            case TimerFired() if event.token:
                self._fired(event.token)
            case CheckAnswered() if event.call == self.check_call:
                self._checked(event.position, event.keys)
            case PageAnswered() if event.call == self.page_call:
                self._page(event)
            case WatchCreated() if event.call == self.watch_call and self.phase is Phase.OPENING:
                self._created(event.position)
            case WatchSaid() if event.call == self.watch_call and self.phase is Phase.WATCHING:
                self._said(event)
            case WatchProgressed() if event.call == self.watch_call and self.phase is Phase.WATCHING:
                self._progressed(event.position)
            case WatchSaid() | WatchProgressed() if event.call == self.watch_call:
                self._leave(Verdict.DEAD, "a watch that was not created says something")
            case WatchCanceled() if event.call == self.watch_call:
                compacted = event.compact_revision > 0 or event.trouble is Trouble.COMPACTED
                self._unwatched(Trouble.COMPACTED if compacted else event.trouble, event.reason)
            case CallFailed():
                self._failed(event)
        return self._out

    # --- one endpoint

    def _ask(self) -> None:
        self.phase = Phase.ASKING
        self._check()

    def _check(self) -> None:
        self.check_call, self.check_ms = self._next(), self.now_ms
        # What is seen while the answer is on its way may be newer than the answer.
        self.check_floor = self.floor
        count = self.phase is Phase.WATCHING and self.now_ms >= self.audit_ms and not self.gap
        self._out.append(Check(self.check_call, self.endpoint, count))
        self._check_token = self._timer(CHECK_WAIT_MS)

    def _checked(self, position: Position, keys: int | None) -> None:
        self.check_call = 0
        if self.phase is Phase.ASKING:
            self._met(position)
        elif self._same(position, self.check_floor):
            self.term, self.checked = max(self.term, position.raft_term), max(self.checked, position.revision)
            self.checks_failed, self.restarts, self.token_renewed = 0, 0, False
            self.settled, self.back_rounds = True, 0
            self.outcomes.clear()
            self.backoff.reset()
            self._heard()
            idle_ms = self.now_ms - self.said_ms
            if position.revision > self.whole and idle_ms >= self.reopen_ms:
                self._out.append(CloseWatch(self.endpoint))
                self._open()
            elif self.counted is not None and self._lost(self.counted[1], len(self.keys)):
                # A whole check later the watch has still not said what makes the difference.
                if self.phase is Phase.WATCHING:
                    self._tick()
            else:
                self.counted = None
                self._tick()
                if keys is not None:
                    self._audit(position.revision, keys - self.unnamed)

    def _tick(self) -> None:
        """The next check."""
        self._check_token = self._timer(max(0.0, self.check_ms + CHECK_MS - self.now_ms))

    def _met(self, position: Position) -> None:
        """The first word of an endpoint: whose it is, and whether it is as far as what was seen."""
        cluster = position.cluster_id
        self.talking, self.checked = cluster, position.revision
        self._check_token = 0
        if self.cluster is None or cluster == self.adopting:
            self._list()
        elif cluster != self.cluster:
            known = cluster in self.former
            text = f"it is of cluster {cluster}, {'left behind for' if known else 'not'} {self.cluster}"
            self._leave(Verdict.FORMER if known else Verdict.STRANGER, text, cluster)
        elif self._same(position, self.check_floor):
            if position.raft_term < self.term:
                text = f"raft term {position.raft_term} after {self.term}: restored from a backup?"
                self._say("warning", f"{self.names[self.endpoint]}: {text} Taking the whole list")
                self.need_list = True
            self.term = position.raft_term
            if self.need_list:
                self._list()
            else:
                self._open()

    # --- whether the watch lost a deletion

    def _audit(self, revision: int, keys: int) -> None:
        """Hold a count of the keys against what was made of the same revision, once the watch is there."""
        if self.whole > revision:
            return  # what there was at that revision is not known any more: the next check counts
        self._audit_later()
        if self.seen == self.whole == revision:
            self._lost(keys, len(self.keys))
        elif keys != len(self.keys):
            self.counted = revision, keys

    def _audit_later(self) -> None:
        self.audit_ms = self.now_ms + self.audit_every_ms * self.rng.uniform(0.5, 1.5)

    def _lost(self, keys: int, held: int) -> bool:
        """Whether the count does not fit: then the list is read anew."""
        self.counted = None
        if keys == held:
            return False
        self._say("warning", f"{keys} keys are there and {held} were told of: the list is read anew")
        self.again_whole = self.need_list = True
        self._list()
        return True

    def _same(self, position: Position, floor: int) -> bool:
        """Whether this is the cluster talked to, and no further back than `floor`; else it is left."""
        if position.cluster_id != self.talking:
            text = f"cluster {position.cluster_id} answers in place of {self.talking}"
            self._leave(Verdict.DEAD, text)
            return False
        if self.talking == self.cluster and position.revision < floor:
            self._leave(Verdict.BEHIND, f"its revision {position.revision} is behind {floor}")
            return False
        return True

    # --- the whole list

    def _turn_wait(self) -> float:
        """The time until the list that is needed may be asked for."""
        if self.turns is None:
            return 0.0
        if self.list_ms is None:
            self.list_ms = self.now_ms + self.turns.first_ms()
        return 0.0 if self.list_ms <= self.now_ms + SOON_MS else self.list_ms - self.now_ms

    def _next_turn(self, refused: bool, advice_ms: float = 0.0) -> None:
        """The list was asked for in vain. Counted from the turn that it had, so that all stay evenly laid."""
        if self.turns is not None:
            had_ms = self.now_ms if self.list_ms is None else min(self.list_ms, self.now_ms)
            advice_ms = min(advice_ms, MOST_ADVICE_MS) + self.now_ms - had_ms
            self.list_ms = had_ms + self.turns.again_ms(refused, advice_ms)

    def _put_off(self, wait_ms: float) -> None:
        """It is not this node's turn yet: news is followed until then, as far as a watch makes sense."""
        if not self.listed or self.talking != self.cluster:
            # A cluster that is new is looked for once more then: the present one may be back.
            self._clear()
            self.adopting = ""
            if self.listed and self.told is Told.WELL:
                self.told = Told.SILENCED
                reason = f"the whole list of cluster {self.talking} has its turn in {wait_ms / 1000:.1f} s"
                self._out.append(Deliver(Silenced(self.source, reason)))
            self._rest(wait_ms)
            return
        self.need_list = True
        if not self.watch_call and self.phase is not Phase.ASKING:
            self._ask()  # from which revision on the watch is to be
            return
        if not self.gap:
            self._say("info", f"the whole list has its turn in {wait_ms / 1000:.1f} s, news goes on")
        if not self.watch_call:
            self.whole = self.whole if self.gap else max(self.whole, self.checked)
            self._open()
        self.gap = True
        self._turn_token = self._timer(wait_ms)

    def _busy(self, event: CallFailed) -> None:
        """The list was refused. Another endpoint of the same cluster may do better, at a later turn."""
        self._next_turn(True, event.advice_ms)
        wait_ms, name = self._turn_wait(), self.names[self.endpoint]
        text = f"{name} refused the whole list ({event.reason}), its next turn is in {wait_ms / 1000:.1f} s"
        self._say("warning", text)
        self._clear()
        self.turn = (self.turn + 1) % len(self.order)
        if self.listed:
            self._ask()
        else:
            self._rest(wait_ms)

    def _list(self) -> None:
        if wait_ms := self._turn_wait():
            self._put_off(wait_ms)
            return
        self.phase = Phase.LISTING
        self._close_watch()
        self.check_call = self._check_token = 0
        self.rows, self.page_revision, self.after_key = [], 0, b""
        self.counted = None
        self._ask_page()

    def _ask_page(self) -> None:
        self.page_call = self._next()
        page = Range(self.page_call, self.endpoint, self.after_key, self.page_revision, self.limit)
        self._out.append(page)
        self._phase_token = self._timer(PAGE_MS)

    def _page(self, event: PageAnswered) -> None:
        self.page_call = 0
        if not self._same(event.position, self.floor):
            return
        if not self.page_revision:
            self.page_revision, self.page_keys = event.position.revision, event.keys
        self.rows += event.rows
        self.limit = min(2 * self.limit, PAGE)
        if len(self.rows) > MAX_ENTRIES:
            self._leave(Verdict.DEAD, f"its list has more than {MAX_ENTRIES} entries")
        elif not event.more:
            self._listed()
        elif event.last_key <= self.after_key:
            self._leave(Verdict.DEAD, "its pages do not go on")
        else:
            self.after_key = event.last_key
            self._ask_page()

    def _listed(self) -> None:
        rows, self.rows = self.rows, []
        revision = self.page_revision
        listing = _listing(revision, True, rows)
        told_of = self.talking == self.cluster and revision == self.seen
        if told_of and (self.seen > self.whole or self.again_whole or self.gap):
            # The rest of a revision that was cut between fragments, or what a watch lost on the way to it: a
            # whole list of a revision that was seen says nothing new to the membership, changes of it do.
            gone = self.members - {m.id for m in listing.records} - {f.key for f in listing.invalid_entries}
            listing = EndpointList(revision, False, listing.records, tuple(gone), listing.invalid_entries)
        if self.talking != self.cluster:
            if self.cluster is not None:
                self.former.append(self.cluster)
            self.cluster, self.term, self.members = self.talking, 0, set()
        before = self.members
        self.members = {m.id for m in listing.records} | {
            f.key for f in listing.invalid_entries if f.key in before
        }
        self._loud(len(before), 0, len(before - self.members), revision)
        keys = {_name(row) for row in rows}
        vain = self.again_whole and keys == self.keys
        self.audit_every_ms = min(2 * self.audit_every_ms, AUDIT_MOST_MS) if vain else AUDIT_MS
        self.keys, self.unnamed = keys, max(0, self.page_keys - len(keys))
        self._audit_later()
        self.seen = self.whole = revision
        self.need_list, self.again_whole, self.adopting = False, False, ""
        self.listed, self.gap, self.list_ms, self._turn_token = True, False, None, 0
        if self.turns is not None:
            self.turns.done()
        self._deliver(Listed(self.source, self.identity, listing))
        self._open()

    # --- the watch

    def _open(self) -> None:
        self.phase = Phase.OPENING
        self.check_call = self._check_token = 0
        self.chain = self.counted = None
        self.watch_call = self._next()
        # Guards against a delete that is lost: a compaction at its very revision drops it, and etcd 3.4 lets
        # a watch from there in all the same. From one revision before it, which was seen and is passed over,
        # such a watch is canceled. 0 would mean from now on; etcd begins with 1.
        self._out.append(Watch(self.watch_call, self.endpoint, max(self.whole, 1)))
        self._phase_token = self._timer(PAGE_MS)

    def _created(self, position: Position) -> None:
        """Guards against a start in the endpoint's future, which it would accept: it lags."""
        if not self._same(position, self.whole):
            return
        self.phase, self._phase_token = Phase.WATCHING, 0
        self.said_ms, self.checks_failed = self.now_ms, 0
        self.reopen_ms = REOPEN_MS * self.rng.uniform(0.5, 1.5)
        self._tick()

    def _said(self, event: WatchSaid) -> None:
        if not self._same(event.position, self.whole):
            return
        self.said_ms = self.now_ms
        newest = max((c.revision for c in event.changes), default=0)
        if newest > event.position.revision:
            self.need_list = True
            text = f"an event of revision {newest} where etcd is at {event.position.revision}"
            self._leave(Verdict.DEAD, text)
            return
        # Guards against events that are replayed, out of order too: what is old is dropped. The newest
        # revision of a fragment may be incomplete, so it counts as seen and not as whole: the rest of it is
        # taken, and after a break the watch begins with it once more.
        fresh = sorted((c for c in event.changes if c.revision > self.whole), key=lambda c: c.revision)
        counted = self.counted
        self._hold([c for c in fresh if counted is None or c.revision <= counted[0]])
        held = len(self.keys)
        self._hold([c for c in fresh if counted is not None and c.revision > counted[0]])
        if fresh:
            rows = [c.row for c in fresh]
            self.seen = max(self.seen, newest)
            listing = _listing(self.seen, False, rows)
            before, ended = self.chain or (len(self.members), 0)
            gone = self.members.intersection(listing.removed_ids)
            self.members -= gone
            self.members.update(m.id for m in listing.records)
            self._loud(before, ended, len(gone), newest)
            self.chain = before, ended + len(gone)
            self._deliver(Listed(self.source, self.identity, listing))
        if event.fragment:
            self.whole = max(self.whole, newest - 1)
        else:
            self.whole, self.chain = max(self.whole, newest), None
        if counted is not None and (newest > counted[0] or (newest == counted[0] and not event.fragment)):
            self._lost(counted[1], held)

    def _hold(self, changes: Sequence[Change]) -> None:
        for change in changes:
            if change.kept or not isinstance(change.row, str):
                self.keys.add(_name(change.row))
            else:
                self.keys.discard(change.row)

    def _progressed(self, position: Position) -> None:
        """All up to here was said (etcd's docs), which spares the next watch that way.

        No further than a check showed, and not between fragments: guards the order against one wrong number.
        """
        if not self._same(position, self.whole):
            return
        self.said_ms = self.now_ms
        if self.chain is None:
            self.whole = max(self.whole, min(position.revision, self.checked))
        self._heard()
        if self.counted is not None and self.chain is None and position.revision >= self.counted[0]:
            self._lost(self.counted[1], len(self.keys))

    def _unwatched(self, trouble: Trouble, reason: str) -> None:
        """The watch has ended. Only a new whole list will do where something may be lost."""
        self._close_watch()
        if trouble is Trouble.COMPACTED:
            self.need_list, self.gap = True, False
            self._again(reason or "the watch's revision was compacted")
        elif trouble is Trouble.STALE_TOKEN and not self.token_renewed:
            self.token_renewed = True
            self._open()
        else:
            self.need_list = self.need_list or trouble in (Trouble.SPOILED, Trouble.TOO_LONG)
            self._leave(_verdict(trouble), f"the watch ended: {reason}")

    def _again(self, reason: str) -> None:
        """A whole list from its beginning, at the same endpoint, as long as that is worth it."""
        self.restarts += 1
        if self.restarts > RESTARTS:
            self._leave(Verdict.DEAD, f"{RESTARTS} lists begun in vain: {reason}")
        else:
            self._list()

    def _close_watch(self) -> None:
        if self.watch_call:
            self.watch_call = 0
            self._out.append(CloseWatch(self.endpoint))

    # --- what goes wrong

    def _failed(self, event: CallFailed) -> None:
        if event.call == self.watch_call:
            self._unwatched(event.trouble, event.reason)
        elif event.call == self.page_call:
            self._page_failed(event)
        elif event.call == self.check_call:
            self._check_failed(event)

    def _page_failed(self, event: CallFailed) -> None:
        self.page_call = 0
        if event.trouble is Trouble.COMPACTED:
            self._again(event.reason)
        elif event.trouble is Trouble.TOO_LONG and self.limit > 1:
            self.limit = max(1, self.limit // 4)
            self._ask_page()
        elif event.trouble is Trouble.BUSY and self.turns is not None:
            self._busy(event)
        elif event.trouble is Trouble.STALE_TOKEN and not self.token_renewed:
            self.token_renewed = True
            self._ask_page()
        else:
            self._leave(_verdict(event.trouble), f"no list: {event.reason}")

    def _check_failed(self, event: CallFailed) -> None:
        self.check_call = 0
        if event.trouble is Trouble.STALE_TOKEN and not self.token_renewed:
            self.token_renewed = True
            self._check()
            return
        if event.trouble is Trouble.BUSY and not self.listed:
            self._next_turn(True, event.advice_ms)
        self.checks_failed += 1
        if self.phase is Phase.ASKING or self.checks_failed >= CHECKS_FAILED:
            self._leave(_verdict(event.trouble), event.reason)
        else:
            self._tick()

    def _fired(self, token: int) -> None:
        if token == self._check_token:
            if self.check_call:
                self._leave(Verdict.DEAD, f"no answer to a read in {CHECK_WAIT_MS:.0f} ms")
            else:
                self._check()
        elif token == self._turn_token:
            self._turn_token = 0
            if self.phase in (Phase.OPENING, Phase.WATCHING):
                self._list()
        elif token == self._phase_token:
            if self.phase is Phase.RESTING:
                self._ask()
            else:
                self._leave(Verdict.DEAD, f"no answer in {PAGE_MS:.0f} ms while {self.phase.value}")

    def _clear(self) -> None:
        """Nothing is out any more."""
        if self.phase not in (Phase.IDLE, Phase.RESTING):
            self._out.append(Drop(self.endpoint))
        self.check_call = self.page_call = self.watch_call = 0
        self._check_token = self._phase_token = self._turn_token = 0
        self.rows, self.chain, self.counted = [], None, None
        self.checks_failed, self.restarts, self.token_renewed = 0, 0, False
        self.limit = PAGE

    def _leave(self, verdict: Verdict, reason: str, cluster: str = "") -> None:
        """For the next endpoint; where all were asked, the round is over."""
        left, watched = self.endpoint, self.phase is Phase.WATCHING
        met = "" if self.phase is Phase.ASKING else self.talking
        if self.told is Told.WELL and self.phase is not Phase.ASKING:
            self._say("warning", f"{self.names[left]} is left: {reason}")
        if self.phase is Phase.LISTING:
            self._next_turn(False)
        self._clear()
        self.adopting = ""
        self.turn = (self.turn + 1) % len(self.order)
        if self.settled and watched:
            # A round begins; this endpoint is its last one.
            self.settled = False
            self.outcomes.clear()
            self._rest(self.rng.uniform(0, SPREAD_MS))
            return
        self.settled = False
        self.outcomes[left] = Outcome(verdict, reason, cluster or met)
        if len(self.outcomes) == len(self.order):
            self._round()
        else:
            self._ask()

    def _rest(self, wait_ms: float) -> None:
        self.phase = Phase.RESTING
        self._phase_token = self._timer(wait_ms)

    # --- no endpoint will do

    def _round(self) -> None:
        outcomes, self.outcomes = self.outcomes, {}
        verdicts = {o.verdict for o in outcomes.values()}
        strange = [i for i in self.order if outcomes[i].verdict is Verdict.STRANGER]
        # One that answered a check and failed later is there: its cluster has not gone.
        present = any(o.cluster == self.cluster for o in outcomes.values())
        if strange and not present and Verdict.BEHIND not in verdicts:
            self.adopting = outcomes[strange[0]].cluster
            text = f"no endpoint of cluster {self.cluster} answers; going over to cluster {self.adopting}"
            self._say("warning", text)
            self.turn = self.order.index(strange[0])
            self._ask()
            return
        reason = "; ".join(f"{self.names[i]}: {outcomes[i].reason}" for i in self.order)[:600]
        if verdicts <= BACK:
            self.back_since_ms = self.back_since_ms if self.back_rounds else self.now_ms
            self.back_rounds += 1
            self.need_list = True
            if self.back_rounds >= BACK_ROUNDS and self.now_ms - self.back_since_ms >= BACK_MS:
                what = "etcd has gone back for good, as one restored from a backup does"
                way = "To take what etcd holds now, raise `epoch` in [membership.etcd]"
                self._refuse(f"{what}: {reason}. {way}")
        else:
            self.back_rounds = 0
        if verdicts == {Verdict.DENIED}:
            self._refuse(f"no endpoint lets this node in: {reason}")
        elif self.told is Told.WELL:
            self.told = Told.SILENCED
            self._out.append(Deliver(Silenced(self.source, reason)))
        wait_ms = self.backoff.wait_ms()
        if self.need_list and not self._turn_wait():
            self._next_turn(False, wait_ms)
        self._rest(wait_ms if self.listed else max(wait_ms, self._turn_wait()))

    def _refuse(self, reason: str) -> None:
        if self.told is not Told.REFUSED:
            self.told = Told.REFUSED
            self._say("warning", reason)
            self._out.append(Deliver(Refused(self.source, reason)))

    # --- helpers

    def _heard(self) -> None:
        if not self.gap:  # else what was said last need not be current
            self._deliver(Heard(self.source))

    def _deliver(self, event: Listed | Heard) -> None:
        self.told = Told.WELL
        self._out.append(Deliver(event))

    def _loud(self, before: int, already: int, more: int, revision: int) -> None:
        """An empty fleet may be what an outage of etcd made of its leases; the rule on drains says obey."""
        ended, most = already + more, max(LOUD_LEAST, before // 2 + 1)
        if already < most <= ended:
            text = f"{ended} of {before} members ended at once, by revision {revision}; obeyed"
            self._say("warning", text)

    def _say(self, level: str, text: str) -> None:
        self._out.append(Say(level, f"{self.source}: {text}"))

    def _next(self) -> int:
        self._count += 1
        return self._count

    def _timer(self, wait_ms: float) -> int:
        token = self._next()
        self._out.append(SetTimer(self.now_ms + wait_ms, token))
        return token


def _name(row: Row) -> str:
    """What stands for the row's key."""
    return row if isinstance(row, str) else row.key if isinstance(row, InvalidEntry) else row.id


def _verdict(trouble: Trouble) -> Verdict:
    denied = trouble in (Trouble.DENIED, Trouble.STALE_TOKEN)
    return Verdict.DENIED if denied else Verdict.DEAD


def _listing(revision: int, complete: bool, rows: Sequence[Row]) -> EndpointList:
    """The rows as a list; of several on one id the last one holds, with a fault beside what it spoils."""
    members: dict[str, EndpointRecord] = {}
    removed: dict[str, None] = {}
    faults: dict[str, InvalidEntry] = {}
    for row in rows:
        match row:
            case EndpointRecord():
                removed.pop(row.id, None)
                faults.pop(row.id, None)
                members[row.id] = row
            case InvalidEntry():
                faults[row.key] = row
                if row.is_draining and (last := members.get(row.key)) is not None:
                    members[row.key] = replace(
                        last, endpoint=replace(last.endpoint, phase=api.Phase.DRAINING)
                    )
            case _:
                members.pop(row, None)
                faults.pop(row, None)
                removed[row] = None
    gone = () if complete else tuple(removed)
    return EndpointList(revision, complete, tuple(members.values()), gone, tuple(faults.values()))
