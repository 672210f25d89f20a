"""What a node does with its peers' words beside `core/cluster/failure_detector`: views, cuts, hearsay,
shares, halves as one.

Whoever has the sockets hands in each right datagram's sections (`Came`), the state of the node each ROUND_MS
(`Round`), and what the merge applied (`on_source_applied`); sections go out as bytes by the codec that it
was given
(`protocol/gossip_sections`). A datagram counts only where its sender is there, at that address. Answers
are bounded
by ANSWERS a round.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from types import ModuleType

from balancer.core.cluster import (
    gossiped_removals as hearsay,
)
from balancer.core.cluster import (
    node_state as views,
)
from balancer.core.cluster import (
    partition_detector as cuts,
)
from balancer.core.cluster import (
    quota_allocation as shares,
)
from balancer.core.cluster.anti_entropy import (
    Differ,
    Digests,
    Halves,
    Leaf,
)
from balancer.core.cluster.failure_detector import Peers, State
from balancer.core.discovery.endpoint_merger import Apply, Listed, Source
from balancer.core.discovery.endpoint_merger import State as Known
from balancer.core.staggering import Turns
from balancer.endpoints import EndpointRecord
from balancer.interface import Phase

Sections = Sequence[tuple[int, bytes]]

ANSWERS = 64  # datagrams a round
SEARCH_MS = 2_000.0  # between two searches for entries that differ
SHOWN = 8


@dataclass(slots=True, frozen=True)
class Came:
    """The sections of a right, fresh datagram, kind and bytes."""

    sender: str
    source: str
    sections: Sections


@dataclass(slots=True, frozen=True)
class Round:
    """How the node stands: `state` of its recovery as a number, digests of both settings files, the merge.

    `servers`: by zone, how many are up, and how many of these are silent to this node.
    """

    state: int
    files: tuple[int, int]
    version: str
    zone: str
    sources: Sequence[Source]
    view: Mapping[str, EndpointRecord]
    servers: Mapping[str, tuple[int, int]] = field(default_factory=dict)


Event = Came | Round | shares.Stood | shares.Leaving


@dataclass(slots=True, frozen=True)
class Send:
    """One datagram of kind `goes_by.KIND`, under the incarnation that `peers` has."""

    to: str
    sections: tuple[tuple[int, bytes], ...]


@dataclass(slots=True, frozen=True)
class Happened:
    """For the time line: cut_began, cut_ended, disagreement_began or disagreement_ended."""

    what: str
    of: str
    names: tuple[str, ...]
    why: str


@dataclass(slots=True, frozen=True)
class Say:
    text: str


Action = Send | Happened | Say | Listed | hearsay.Ask | hearsay.Renew | shares.Keep | shares.Nodes


class Together:
    """`number`, `group`: the settings' `me` and `group_size`; `room`: bytes for sections in a datagram;
    `alike`: see `views.order_in`.

    What it returns is to be done in its order.
    """

    def __init__(
        self,
        peers: Peers,
        number: int,
        group: int,
        kept: shares.Kept | None,
        turns: Turns,
        random: Random,
        codec: ModuleType,
        room: int,
        alike: Collection[str] = (),
    ) -> None:
        self.peers, self.number, self.group, self.alike = peers, number, group, alike
        self.views = views.Views(peers.name, random, lambda word: 2 + len(codec.goes_by(word)), room)
        self.cuts, self.halves = cuts.Cuts(), Halves()
        self.hearsay = hearsay.Hearsay(turns, random, self._fits)
        self.shares: shares.Shares | None = None  # until this life has its incarnation
        self._kept, self._random, self._codec, self._room = kept, random, codec, room
        self._searched_ms = self._differ_ms = float("-inf")
        self._answers = 0
        self._out: list[Action] = []

    def on_source_applied(self, now_ms: float, source: Source, applied: Apply) -> None:
        """What the merge applied by a source's word. That of peers is not told on, nor is what they had said
        before of a server that this source says something else of: an echo would pass for one more witness.
        """
        self.halves.apply(applied.members, applied.removed)
        if source.name == views.PEERS or source.revision is None:
            return
        own = source.members
        out = [hearsay.Out(one.id, source.revision, True) for one in applied.removed if one.id not in own]
        out += [
            hearsay.Out(one.id, source.revision, False)
            for one in applied.members
            if one.id in own and own[one.id].endpoint.phase is Phase.DRAINING
        ]
        self.hearsay.handle(now_ms, self._own(source, tuple(out)))

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        self._out = []
        match event:
            case Came():
                peer = self.peers.peers.get(event.sender)
                if peer and peer.word.state <= State.SUSPECT and peer.word.address == event.source:
                    for kind, data in event.sections:
                        self._section(now_ms, event, kind, data)
            case Round():
                self._answers = 0
                self._round(now_ms, event)
            case _:
                self._share(now_ms, event)
        return self._out

    # --- what comes

    def _section(self, now_ms: float, event: Came, kind: int, data: bytes) -> None:
        codec, to = self._codec, event.source
        if kind == codec.GOES_BY and (word := codec.read_goes_by(data)):
            self.views.handle(now_ms, views.Heard([views.Goes(*word)]))
        elif kind == codec.COUNTED and (counted := codec.read_counted(data)):
            told = shares.Told(*counted)
            self._share(now_ms, told)
            if told.asks and self.shares:
                self._answer(to, codec.COUNTED, self._counted(self.shares, told.number, answer=True))
        elif kind == codec.HALVES:
            self._compare(now_ms, event, Digests(tuple(codec.read_halves(data))))
        elif kind == codec.LEAF and (leaf := codec.read_leaf(data)):
            self._compare(now_ms, event, Leaf(leaf[0], tuple(leaf[1])))
        elif kind == codec.OUT and (out := codec.read_out(data)):
            said = [hearsay.Out(server, revision, bool(gone)) for server, revision, gone in out[2]]
            self.hearsay.handle(now_ms, hearsay.Told(event.sender, out[0], out[1], said))
        elif kind == codec.SINCE and (since := codec.read_since(data)):
            self._hearsay(self.hearsay.handle(now_ms, hearsay.Asked(to, *since)))

    def _answer(self, to: str, kind: int, data: bytes) -> None:
        self._answers += 1
        if self._answers <= ANSWERS:
            self._out.append(Send(to, ((kind, data),)))

    def _compare(self, now_ms: float, event: Came, told: Digests | Leaf) -> None:
        answers, found = self.halves.heard(told)
        for answer in answers:
            if isinstance(answer, Leaf):
                self._answer(event.source, self._codec.LEAF, self._codec.leaf(answer.place, answer.entries))
            else:
                self._answer(event.source, self._codec.HALVES, self._codec.halves(answer.of))
        if isinstance(found, Differ) and now_ms - self._differ_ms >= SEARCH_MS:
            self._differ_ms = now_ms
            names = ", ".join(f"{name:.60}" for name in found.names[:SHOWN]) or "none"
            self._out.append(Say(f"not as {event.sender} has them: {names}; {found.missing} not here"))

    def _share(self, now_ms: float, event: shares.Event) -> None:
        if self.shares:
            self._out += self.shares.handle(now_ms, event)

    def _hearsay(self, actions: Sequence[hearsay.Action]) -> None:
        codec = self._codec
        for action in actions:
            match action:
                case hearsay.Question():
                    since = codec.since(action.source, action.order, action.since)
                    self._out.append(Send(action.to, ((codec.SINCE, since),)))
                case hearsay.Answer():
                    self._answer(action.to, codec.OUT, self._packed(action.source, action.order, action.out))
                case hearsay.Say():
                    self._out.append(Say(action.text))
                case _:
                    self._out.append(action)

    def _packed(self, source: str, order: int, out: Sequence[hearsay.Out]) -> bytes:
        data = self._codec.out(source, order, [(one.server, one.revision, one.gone) for one in out])
        assert isinstance(data, bytes)
        return data

    def _fits(self, source: str, out: Sequence[hearsay.Out]) -> int:
        count = 0
        while count < len(out) and 2 + len(self._packed(source, 0, out[: count + 1])) <= self._room:
            count += 1
        return count

    def _counted(self, its: shares.Shares, to: int, answer: bool) -> bytes:
        """An answer asks nothing: two that ask would answer each other for ever."""
        word = its.word(to)
        told = word.number, word.life, word.counts, word.sure, word.asks and not answer, word.known
        data = self._codec.counted(*told)
        assert isinstance(data, bytes)
        return data

    # --- each round

    def _round(self, now_ms: float, event: Round) -> None:
        peers = self.peers
        if self.shares is None and not peers.asking:
            self.shares = shares.Shares(self.number, peers.incarnation, self.group, self._kept, now_ms)
        here = {name: p.word.address for name, p in peers.peers.items() if p.word.state <= State.SUSPECT}
        words = [self.views.words[name] for name in here if name in self.views.words]
        own = [source for source in event.sources if source.name != views.PEERS]
        heard, lost = cuts.heard_and_lost(peers, now_ms)
        discovery = any(source.state is Known.IN_SYNC for source in own)
        saw = cuts.Saw(heard, lost, discovery, event.servers, words, peers.doubt is not None)
        for cut in self.cuts.handle(now_ms, saw):
            of = f"{cut.of.value} {cut.zone}".strip()
            if isinstance(cut, cuts.Began):
                self._out.append(Happened("cut_began", of, (), f"{cut.verdict.value}; {cut.why}"))
            else:
                self._out.append(Happened("cut_ended", of, (), f"after {cut.lasted_ms / 1000:.1f} s"))
        self._tell(now_ms, event, here, discovery)
        for source in own:
            self.hearsay.handle(now_ms, self._own(source))
        self._hearsay(self.hearsay.handle(now_ms, hearsay.Round(words, here, event.view)))
        self._search(now_ms, here, words)
        for name, peer in peers.peers.items():
            if peer.word.state == State.LEFT and (gone := self.views.words.get(name)):
                self._share(now_ms, shares.Left(gone.number, peer.word.incarnation))
        self._share(now_ms, shares.Ticked())
        if self.shares:
            at = {word.number: here[word.name] for word in words}
            for number in self.shares.next_asked(list(at), views.ROUND_MS):
                counted = self._counted(self.shares, number, answer=False)
                self._out.append(Send(at[number], ((self._codec.COUNTED, counted),)))

    def _own(self, source: Source, out: tuple[hearsay.Out, ...] = ()) -> hearsay.Own:
        order, revision = views.order_in(source, self.alike), source.revision
        in_sync = source.state is Known.IN_SYNC
        return hearsay.Own(source.name, order, -1 if revision is None else revision, in_sync, out)

    def _tell(self, now_ms: float, event: Round, here: Mapping[str, str], discovery: bool) -> None:
        if self.shares is None or self.peers.yielded:
            return
        zone = next((zone for of, zone in self.cuts.cut if of is cuts.From.ZONE), "")
        digest = self.halves.digest if views.comparable(event.sources) else 0
        flags, zone_cut = 0 if discovery else views.NO_DISCOVERY, cuts.zone_id(zone) if zone else 0
        sources = views.told_of(event.sources, self.alike)
        mine = views.Goes(
            self.peers.name,
            self.peers.incarnation,
            0,
            self.number,
            event.state,
            flags,
            zone_cut,
            self.shares.count,
            digest,
            event.files,
            event.version,
            event.zone,
            sources,
        )
        self.views.handle(now_ms, views.Mine(mine))
        for action in self.views.handle(now_ms, views.Round(here)):
            match action:
                case views.Send():
                    sections = ((self._codec.GOES_BY, self._codec.goes_by(word)) for word in action.words)
                    self._out.append(Send(action.to, tuple(sections)))
                case views.Began():
                    of, why = f"{action.what} {action.of}".strip(), f"{action.why}; {action.count} of them"
                    self._out.append(Happened("disagreement_began", of, action.names, why))
                case views.Ended():
                    of, why = f"{action.what} {action.of}".strip(), f"after {action.lasted_ms / 1000:.1f} s"
                    self._out.append(Happened("disagreement_ended", of, (), why))

    def _search(self, now_ms: float, here: Mapping[str, str], words: Sequence[views.Goes]) -> None:
        """While lists differ at the same revisions: one of another digest is asked where."""
        mine = self.views.words.get(self.peers.name)
        if ("list", "") not in self.views.steady.on or now_ms - self._searched_ms < SEARCH_MS or not mine:
            return
        others = [word.name for word in words if word.digest and word.digest != mine.digest]
        if others:
            self._searched_ms = now_ms
            data = self._codec.halves(self.halves.ask().of)
            self._out.append(Send(here[self._random.choice(others)], ((self._codec.HALVES, data),)))
