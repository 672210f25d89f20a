"""Who is there: what follows from words and silence, and small worlds in virtual time."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.cluster import failure_detector as pr
from balancer.core.cluster.failure_detector import (
    Heard,
    Keep,
    Kind,
    Leaving,
    Message,
    Peers,
    Send,
    Started,
    State,
    Stood,
    Tell,
    Ticked,
    Wake,
    Word,
    greater,
)
from balancer.protocol import gossip
from benchmarks.failure_detection import Net

A, B, C, D = (f"10.0.0.{number}:7946" for number in (1, 2, 3, 4))
WORDS = st.builds(
    Word, st.just("b"), st.integers(0, 3), st.integers(1, 3), st.sampled_from([B, C]), st.integers(0, 2)
)
QUIET = Message(Kind.NACK, 0, "", "", ())


def node(kept: int | None = 0, *seeds: str, name: str = "a", at: str = A) -> Peers:
    return Peers(name, at, seeds, kept, Random(1), gossip.cost, gossip.room)


def hear(peers: Peers, now: float, sender: str, source: str, *words: Word, its: int = 1) -> list[pr.Action]:
    return peers.handle(now, Heard(sender, its, source, QUIET._replace(words=words)))


def until(peers: Peers, start: float, end: float) -> list[pr.Action]:
    """Ticks whenever it asked for one; all that it did."""
    done, wake = [], start
    while wake <= end:
        actions = peers.handle(wake, Ticked())
        done += actions
        wake = max(wake + 0.001, next(a.at_ms for a in reversed(actions) if isinstance(a, Wake)))
    return done


def tells(actions: list[pr.Action]) -> list[tuple[str, str]]:
    return [(action.what, action.name) for action in actions if isinstance(action, Tell)]


# --- merging


@given(WORDS, WORDS, WORDS)
def test_merging_is_associative_commutative_and_idempotent(one: Word, two: Word, three: Word) -> None:
    assert greater(one, two) == greater(two, one)
    assert greater(one, one) == one
    assert greater(greater(one, two), three) == greater(one, greater(two, three))


@given(st.lists(WORDS.map(lambda word: word._replace(by=0)), min_size=1, max_size=8), st.randoms())
def test_order_and_doubling_of_words_do_not_matter(words: list[Word], random: Random) -> None:
    one, other = node(), node()
    again = words * 2
    random.shuffle(again)
    for peers, told in ((one, words), (other, again)):
        for word in told:
            hear(peers, 0, "c", D, word)
    assert one.peers["b"].word[:4] == other.peers["b"].word[:4]


@given(st.lists(st.one_of(WORDS, st.integers(1, 3), st.floats(1, 2_000)), max_size=20))
def test_a_failed_incarnation_never_comes_back(steps: list[Word | int | float]) -> None:
    """Words, datagrams of its own and time in any order."""
    peers, now, failed = node(), 0.0, 0
    peers.handle(now, Started())
    for step in steps:
        if isinstance(step, Word):
            hear(peers, now, "c", D, step)
        elif isinstance(step, int):
            hear(peers, now, "b", B, its=step)
        else:
            until(peers, now, now + step)
            now += step
        held = peers.peers.get("b")
        if held and held.word.state >= State.FAILED:
            failed = max(failed, held.word.incarnation)
        assert held is None or held.word.state >= State.FAILED or held.word.incarnation > failed


@given(
    st.integers(0, 9),
    st.integers(0, 2**32 - 1),
    st.sampled_from(["a", "b", ""]),
    st.sampled_from([A, C, "", "x:y"]),
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c", "", "ä" * 32]),
            st.integers(0, 255),
            st.integers(0, 2**32 - 1),
            st.sampled_from([A, B, "", "x" * 64]),
            st.integers(0, 65_535),
        ),
        max_size=5,
    ),
    st.integers(0, 2**32 - 1),
    st.booleans(),
)
def test_no_message_raises_and_every_answer_fits(
    kind: int, seq: int, target: str, address: str, words: list[Word], its: int, fresh: bool
) -> None:
    peers, writer = node(), gossip.Writer("a", [gossip.Key(bytes(32))])
    peers.handle(0, Started())
    for sender, source in (("b", B), ("c", B), ("a", D)):
        said = Heard(sender, its, source, Message(kind, seq, target, address, words), fresh)
        for action in peers.handle(1, said) + until(peers, 1, 500):
            if isinstance(action, Send):
                assert len(writer.write(action.incarnation, action.message)) <= gossip.SIZE


def test_all_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("PEERS_MAX", "FALLEN_MAX", "RELAYS_MAX"):
        monkeypatch.setattr(pr, name, 5)
    peers, seen = node(), []
    for number in range(40):
        word = Word(f"x{number}", number % 2 * 2, 1, f"10.1.0.{number}:1")
        seen += hear(peers, 0, "b", B, word)
        peers.handle(0, Heard("b", 1, B, Message(Kind.RELAY, number, "c", C, ())))
    assert len(peers._ring) == 5 and len(peers._fallen) == 5 and len(peers._relays) == 5
    assert len(peers.peers) == 10 and tells(seen).count(("full", "x8")) == 1
    peers.handle(0, Started())
    until(peers, 0, pr.FALLEN_MS + 60_000)
    assert not peers.peers  # forgotten in the end


# --- this node


def test_a_lie_or_doubt_about_this_node_is_refuted_by_a_greater_incarnation() -> None:
    peers = node(4)
    peers.handle(0, Started())
    assert peers.incarnation == 5
    for state in (State.SUSPECT, State.FAILED, State.LEFT):
        its = peers.incarnation
        actions = hear(peers, 0, "b", B, Word("a", state, its, A))
        assert Keep(its + 1) in actions and peers.incarnation == its + 1
    hear(peers, 0, "b", B, Word("a", State.SUSPECT, 2, A), Word("a", State.FAILED, 2**32 - 1, A))
    assert peers.incarnation == 8  # old, and beyond what could be refuted


def test_one_that_forgot_asks_before_it_speaks_for_itself() -> None:
    peers = node(None, B)
    actions = peers.handle(0, Started())
    asked = Heard("c", 3, B, Message(Kind.TOLD, 0, "", "", (Word("a", State.FAILED, 9, A),)))
    actions += until(peers, 0, 200) + peers.handle(210, asked)
    actions += until(peers, 211, 600)
    sent = [action for action in actions if isinstance(action, Send)]
    assert sent and all(action.incarnation == 0 and action.message.kind in (1, 2, 5, 6) for action in sent)
    assert not any(action.message.kind == Kind.PING for action in sent)
    assert Keep(10) in until(peers, 601, 1_300) and peers.incarnation == 10


@pytest.mark.parametrize(("held", "goes_by"), [(9, 10), (2, 5)])
def test_one_whose_memory_may_be_old_asks_and_goes_by_the_greater(held: int, goes_by: int) -> None:
    peers = Peers("a", A, [B], 4, Random(1), gossip.cost, gossip.room, ask=True)
    assert not any(isinstance(one, Keep) for one in peers.handle(0, Started())) and peers.others_held is None
    peers.handle(210, Heard("c", 3, B, Message(Kind.TOLD, 0, "", "", (Word("a", State.ALIVE, held, A),))))
    assert Keep(goes_by) in until(peers, 211, 1_300) and peers.others_held == held


def test_one_that_nobody_answers_begins_alone_and_mends_it_when_told() -> None:
    peers = node(None, B)
    peers.handle(0, Started())
    until(peers, 0, pr.ALONE_MS - 300)
    assert peers.asking
    until(peers, pr.ALONE_MS - 299, pr.ALONE_MS + 300)
    assert peers.incarnation == 1
    hear(peers, 4_000, "b", B, Word("a", State.ALIVE, 9, A))  # an older self
    assert peers.incarnation == 10


def test_an_older_self_is_told_what_is_held_of_it_but_not_often() -> None:
    peers = node()
    hear(peers, 0, "b", B, its=7)
    old = Heard("b", 1, B, QUIET, fresh=False)
    (sent,) = (action for action in peers.handle(1, old) if isinstance(action, Send))
    assert sent.to == B and any(word[0] == "b" and word[2] == 7 for word in sent.message.words)
    assert not any(isinstance(action, Send) for _ in range(50) for action in peers.handle(2, old))


def test_two_with_one_name_are_named_and_the_greater_address_yields() -> None:
    net = Net(4, 5)
    net.run(2_000)
    net.add("n1", [net.address("n0")], 0, at="10.9.9.9:7946")
    net.do("10.9.9.9:7946", Started())
    net.run(10_000)
    named = {(by, tell.what) for _, by, tell in net.told if tell.name == "n1"}
    assert ("n1", "doubled") in named and ("n1", "yielded") in named
    first, second = net.nodes[net.address("n1")], net.nodes["10.9.9.9:7946"]
    assert second.yielded and not first.yielded and first.incarnation < 20  # no war of incarnations
    del net.nodes[net.address("n1")]
    net.run(20_000)
    assert not second.yielded and net.nodes[net.address("n0")].peers["n1"].word.address == "10.9.9.9:7946"


def test_an_address_used_by_another_is_no_answer_for_the_one_that_went() -> None:
    peers = node()
    hear(peers, 0, "b", B)
    hear(peers, 0, "c", C)
    assert ("suspected", "b") in tells(hear(peers, 10, "d", B))
    other = node(0, name="d", at=B)
    answers = other.handle(0, Heard("a", 1, A, Message(Kind.PING, 3, "b", "", ())))
    assert not any(isinstance(answer, Send) and answer.message.kind == Kind.ACK for answer in answers)


def test_one_that_stood_still_calls_nobody_failed_before_it_heard_others() -> None:
    peers = node()
    peers.handle(0, Started())
    for name, at in (("b", B), ("c", C), ("d", D)):
        hear(peers, 0, name, at)
    hear(peers, 0, "d", D, Word("b", State.SUSPECT, 1, B, 5))
    peers.handle(60_000, Stood(60_000))
    for name, at in (("b", B), ("c", C), ("d", D)):
        hear(peers, 60_001, name, at)  # lay in the socket
    assert not [tell for tell in tells(until(peers, 60_002, 90_000)) if tell[0] == "failed"]
    for name, at in (("b", B), ("c", C), ("d", D)):
        hear(peers, 90_000, name, at, its=2)
    assert peers.doubt is None
    assert ("failed", "c") in tells(until(peers, 90_000, 100_000))


def test_a_failure_told_of_one_heard_just_now_is_a_suspicion() -> None:
    peers = node()
    hear(peers, 0, "b", B)
    hear(peers, 100, "c", C, Word("b", State.FAILED, 1, B))
    assert peers.state("b") is State.SUSPECT
    hear(peers, pr.NEAR_MS + 1, "c", C, Word("b", State.FAILED, 1, B))
    assert peers.state("b") is State.FAILED


def test_one_that_leaves_says_so() -> None:
    net = Net(6, 1)
    net.run(1_000)
    net.do(net.address("n2"), Leaving())
    del net.nodes[net.address("n2")]
    net.run(2_000)
    assert {n.state("n2") for n in net.nodes.values()} == {State.LEFT}
    assert not [tell for _, _, tell in net.told if tell.what in ("suspected", "failed")]


def test_whoever_is_written_to_is_told_first_what_is_held_against_it() -> None:
    peers = node()
    words = [Word(f"x{number}", State.ALIVE, 1, f"10.1.0.{number}:1") for number in range(30)]
    hear(peers, 0, "b", B, *words, Word("c", State.SUSPECT, 1, C, 4))
    for kind in (Kind.PING, Kind.ASK):
        target = "a" if kind == Kind.PING else ""
        actions = peers.handle(1, Heard("c", 1, C, Message(kind, 0, target, "", ())))
        sent = [action for action in actions if isinstance(action, Send)]
        assert sent[0].message.words[0][:3] == ("c", State.SUSPECT, 1)


def test_a_suspicion_is_told_at_once_to_the_suspect_and_few_others() -> None:
    peers = node()
    for number in range(30):
        hear(peers, 0, f"x{number}", f"10.1.0.{number}:1")
    sent = []
    for number in range(20):
        word = Word(f"x{number}", State.SUSPECT, 1, f"10.1.0.{number}:1", 5)
        actions = (a for a in hear(peers, 1, "b", B, word) if isinstance(a, Send))
        told = [action for action in actions if action.message.kind == Kind.NEWS]
        assert number or {"10.1.0.0:1"} < {action.to for action in told}
        sent += told
    assert len(sent) == pr.NEWS_MAX  # until the next period


def test_the_more_share_a_suspicion_the_sooner_it_ends() -> None:
    """Not by the same accuser again."""
    ends = []
    for accusers in ((5,), (5, 5, 5, 5), (5, 6), (5, 6, 7, 8)):
        peers = node()
        peers.handle(0, Started())
        for number in range(9):
            hear(peers, 0, f"x{number}", f"10.1.0.{number}:1")
        for by in accusers:
            hear(peers, 0, "x1", "10.1.0.1:1", Word("x0", State.SUSPECT, 1, "10.1.0.0:1", by))
        wake = 0.0
        while peers.state("x0") is State.SUSPECT:
            actions = peers.handle(wake, Ticked())
            wake = max(wake + 1, next(a.at_ms for a in reversed(actions) if isinstance(a, Wake)))
        ends.append(wake)
    assert ends[0] == pytest.approx(ends[1], abs=5) and ends[1] > ends[2] + 50 > ends[3] + 100


def test_one_that_hears_no_helper_waits_longer_and_a_nack_says_that_it_is_well() -> None:
    health = []
    for well in (False, True):
        peers = node()
        peers.handle(0, Started())
        for number in range(9):
            hear(peers, 0, f"x{number}", f"10.1.0.{number}:1")
        for turn in range(1, 30):
            for action in peers.handle(turn * 40, Ticked()):
                if isinstance(action, Send) and action.message.kind == Kind.RELAY and well:
                    helper = f"x{action.to.split('.')[3].split(':')[0]}"
                    nack = Message(Kind.NACK, action.message.seq, "", "", ())
                    peers.handle(turn * 40 + 20, Heard(helper, 1, action.to, nack))
        health.append(peers.health)
    assert health == [pr.HEALTH_MAX, 0]


# --- worlds


def whole(net: Net) -> bool:
    return all(len(node._ring) == len(net.nodes) - 1 for node in net.nodes.values())


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_death_is_known_to_all_and_nobody_else_is_failed(loss: float) -> None:
    net = Net(20, 2, loss)
    net.run(3_000)
    del net.nodes[net.address("n7")]
    net.run(12_000)
    assert {n.state("n7") for n in net.nodes.values()} == {State.FAILED}
    assert {tell.name for _, _, tell in net.told if tell.what == "failed"} <= {"n7"}
    assert net.largest <= gossip.SIZE


def test_a_cut_heals_and_old_seeds_do_not_stop_a_join() -> None:
    net = Net(10, 3)
    for node in net.nodes.values():
        node.seeds = []  # a seed that is there on the other side would heal it too
    side = {address: number < 4 for number, address in enumerate(net.nodes)}
    net.cut = lambda one, other: side.get(one) != side.get(other)
    net.run(20_000)
    assert not whole(net)
    net.add("n10", ["10.0.7.7:1", "10.0.7.8:1", net.address("n2")], None)
    side[net.address("n10")] = True
    net.do(net.address("n10"), Started())
    net.run(25_000)
    net.cut = lambda one, other: False
    net.run(30_000)
    assert whole(net)


def test_the_cost_of_a_period_does_not_grow_with_the_nodes() -> None:
    rates = []
    for size in (20, 80):
        net = Net(size, 1)
        net.run(1_000)
        net.sent = 0
        net.run(3_000)
        rates.append(net.sent / size)
    assert rates[1] < 1.15 * rates[0]


def test_a_word_lost_everywhere_is_told_again() -> None:
    """A rumour has run out at all that told it, and one node never heard of it."""
    net = Net(12, 4)
    net.run(1_000)
    left_out = net.nodes[net.address("n5")]
    peer = left_out.peers["n9"]
    left_out._fall(0, "n9", peer)
    left_out._forget("n9")
    left_out._rumours = pr._Rumours()
    for other in net.nodes.values():
        other._rumours = pr._Rumours()
    del net.nodes[net.address("n9")].peers["n5"]  # it shall not be told by n9 itself
    net.nodes[net.address("n9")]._ring.remove("n5")
    net.nodes[net.address("n9")]._at = 0
    for at, name in enumerate(net.nodes[net.address("n9")]._ring):
        net.nodes[net.address("n9")].peers[name].ring = at
    net.cut = lambda one, other: {one, other} == {net.address("n5"), net.address("n9")}
    net.run(5_000)
    assert left_out.state("n9") is not None


# --- three nodes, one cut, one restart: all orders


class Same(Random):
    """Draws the same after each copy, so that copies are small and equal states are equal."""

    def __reduce__(self) -> tuple[type[Same], tuple[int]]:
        return Same, (1,)


NAMES = {"a": A, "b": B, "c": C}
DEPTH, FLYING = 4, 3


class Three:
    """Three nodes and the last few datagrams of each path."""

    def __init__(self) -> None:
        self.nodes = {name: self._node(name, 0) for name in NAMES}
        self.clock = dict.fromkeys(NAMES, 0.0)
        self.flying: list[tuple[str, Heard]] = []
        self.cut, self.cuts, self.restarts = "", 1, 1
        self.claimed = dict.fromkeys(NAMES, 1)
        self.failed: set[tuple[str, str, int]] = set()
        for name in NAMES:
            self._do(name, Started())

    @staticmethod
    def _node(name: str, kept: int | None) -> Peers:
        return Peers(name, NAMES[name], list(NAMES.values()), kept, Same(1), gossip.cost, gossip.room)

    def _do(self, name: str, event: pr.Event) -> float:
        wake = 0.0
        for action in self.nodes[name].handle(self.clock[name], event):
            if isinstance(action, Send):
                to = next(n for n, at in NAMES.items() if at == action.to)
                if self.cut not in (name, to):
                    self.flying.append((to, Heard(name, action.incarnation, NAMES[name], action.message)))
            elif isinstance(action, Wake):
                wake = action.at_ms
            elif isinstance(action, Keep):
                self.claimed[name] = max(self.claimed[name], action.incarnation)
        return wake

    def steps(self) -> list[tuple[str, str]]:
        found = [("pass", name) for name in NAMES] + [("deliver", str(i)) for i in range(len(self.flying))]
        if self.cut:
            found.append(("heal", ""))
        elif self.cuts:
            found += [("cut", "b")]
        if self.restarts:
            found += [("restart", "c"), ("forget", "c")]
        return found

    def step(self, kind: str, of: str) -> None:
        if kind == "pass":
            wake, end = self.clock[of], self.clock[of] + 1_300
            while wake <= end:
                self.clock[of] = wake
                wake = max(wake + 0.001, self._do(of, Ticked()))
            self.clock[of] = end
        elif kind == "deliver":
            to, heard = self.flying.pop(int(of))
            self._do(to, heard)
        elif kind in ("cut", "heal"):
            self.cut, self.cuts = of, 0
            self.flying = [] if of else self.flying
        else:
            self.restarts = 0
            self.nodes[of] = self._node(of, self.claimed[of] if kind == "restart" else None)
            self._do(of, Started())
        self.flying = self.flying[-FLYING:]

    def check(self) -> None:
        for name, node in self.nodes.items():
            for of, peer in node.peers.items():
                assert peer.word.incarnation <= self.claimed[of], "nobody invents an incarnation"
                key = (name, of, peer.word.incarnation)
                if peer.word.state >= State.FAILED:
                    self.failed.add(key)
                else:
                    assert key not in self.failed, "failed, and back in the same incarnation"

    def settle(self) -> None:
        """All in order, no cut: everybody holds everybody, alive and at the incarnation it claims."""
        self.cut = ""
        for _ in range(400):
            for name in NAMES:
                self.clock[name] += 25
                self._do(name, Ticked())
            flying, self.flying = self.flying, []
            for to, heard in flying:
                self._do(to, heard)
        self.check()
        for name, node in self.nodes.items():
            assert set(node._ring) == NAMES.keys() - {name}, node
            assert all(node.peers[of].word.incarnation == self.nodes[of].incarnation for of in node._ring)

    def key(self) -> object:
        held = [
            (n.incarnation, n.asking, sorted(p.word for p in n.peers.values())) for n in self.nodes.values()
        ]
        return repr((held, self.clock, self.flying, self.cut, self.cuts, self.restarts))


def explored() -> Iterator[Three]:
    level, seen = [pickle.dumps(Three())], set()
    for _ in range(DEPTH):
        following = []
        for state in level:
            for kind, of in pickle.loads(state).steps():
                world = pickle.loads(state)
                world.step(kind, of)
                world.check()
                if (key := hash(world.key())) not in seen:
                    seen.add(key)
                    following.append(pickle.dumps(world))
        level = following
    yield from map(pickle.loads, level)


def test_three_nodes_one_cut_one_restart_in_all_orders() -> None:
    count = 0
    for world in explored():
        count += 1
        if count % 60 == 0:
            world.settle()
    assert count > 1_000
