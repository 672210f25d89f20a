"""Who is there: what follows from words and silence, and small worlds in virtual time."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.cluster.failure_detector import events, parameters
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.events import (
    DatagramReceived,
    NotifyPeerChange,
    PersistIncarnation,
    ProcessStalled,
    SendDatagram,
    SetTimer,
    ShutdownStarted,
    Started,
    TimerFired,
)
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState, newer_record
from balancer.core.cluster.failure_detector.messages import Message, MessageKind
from balancer.protocol import gossip
from benchmarks.failure_detection import Net

A, B, C, D = (f"10.0.0.{number}:7946" for number in (1, 2, 3, 4))
RECORDS = st.builds(
    MemberRecord,
    st.just("b"),
    st.integers(0, 3),
    st.integers(1, 3),
    st.sampled_from([B, C]),
    st.integers(0, 2),
)
EMPTY_MESSAGE = Message(MessageKind.NACK, 0, "", "", ())


def detector_of(
    persisted_incarnation: int | None = 0, *seeds: str, name: str = "a", address: str = A
) -> FailureDetector:
    return FailureDetector(
        name,
        address,
        seeds,
        persisted_incarnation,
        Random(1),
        gossip.record_size_bytes,
        gossip.record_space_bytes,
    )


def receive(
    detector: FailureDetector,
    now_ms: float,
    sender: str,
    source: str,
    *records: MemberRecord,
    incarnation: int = 1,
) -> list[events.Action]:
    return detector.handle(
        now_ms, DatagramReceived(sender, incarnation, source, EMPTY_MESSAGE._replace(records=records))
    )


def run_timers(detector: FailureDetector, start_ms: float, end_ms: float) -> list[events.Action]:
    """Ticks whenever it asked for one; all that it did."""
    done, now_ms = [], start_ms
    while now_ms <= end_ms:
        actions = detector.handle(now_ms, TimerFired())
        done += actions
        now_ms = max(now_ms + 0.001, next(a.at_ms for a in reversed(actions) if isinstance(a, SetTimer)))
    return done


def changes(actions: list[events.Action]) -> list[tuple[str, str]]:
    return [(action.change, action.name) for action in actions if isinstance(action, NotifyPeerChange)]


# --- merging


@given(RECORDS, RECORDS, RECORDS)
def test_merging_is_associative_commutative_and_idempotent(
    one: MemberRecord, two: MemberRecord, three: MemberRecord
) -> None:
    assert newer_record(one, two) == newer_record(two, one)
    assert newer_record(one, one) == one
    assert newer_record(newer_record(one, two), three) == newer_record(one, newer_record(two, three))


@given(st.lists(RECORDS.map(lambda word: word._replace(accuser_id=0)), min_size=1, max_size=8), st.randoms())
def test_order_and_doubling_of_words_do_not_matter(words: list[MemberRecord], random: Random) -> None:
    one, other = detector_of(), detector_of()
    again = words * 2
    random.shuffle(again)
    for peers, told in ((one, words), (other, again)):
        for word in told:
            receive(peers, 0, "c", D, word)
    assert one.peers["b"].record[:4] == other.peers["b"].record[:4]


@given(st.lists(st.one_of(RECORDS, st.integers(1, 3), st.floats(1, 2_000)), max_size=20))
def test_a_failed_incarnation_never_comes_back(steps: list[MemberRecord | int | float]) -> None:
    """Words, datagrams of its own and time in any order."""
    peers, now, failed = detector_of(), 0.0, 0
    peers.handle(now, Started())
    for step in steps:
        if isinstance(step, MemberRecord):
            receive(peers, now, "c", D, step)
        elif isinstance(step, int):
            receive(peers, now, "b", B, incarnation=step)
        else:
            run_timers(peers, now, now + step)
            now += step
        held = peers.peers.get("b")
        if held and held.record.state >= PeerState.FAILED:
            failed = max(failed, held.record.incarnation)
        assert held is None or held.record.state >= PeerState.FAILED or held.record.incarnation > failed


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
    kind: int, seq: int, target: str, address: str, words: list[MemberRecord], its: int, fresh: bool
) -> None:
    peers, writer = detector_of(), gossip.Writer("a", [gossip.Key(bytes(32))])
    peers.handle(0, Started())
    for sender, source in (("b", B), ("c", B), ("a", D)):
        said = DatagramReceived(sender, its, source, Message(kind, seq, target, address, words), fresh)
        for action in peers.handle(1, said) + run_timers(peers, 1, 500):
            if isinstance(action, SendDatagram):
                assert len(writer.write(action.incarnation, action.message)) <= gossip.MAX_DATAGRAM_BYTES


def test_all_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("MAX_PEERS", "MAX_TOMBSTONES", "MAX_RELAYED_PROBES"):
        monkeypatch.setattr(parameters, name, 5)
    peers, seen = detector_of(), []
    for number in range(40):
        word = MemberRecord(f"x{number}", number % 2 * 2, 1, f"10.1.0.{number}:1")
        seen += receive(peers, 0, "b", B, word)
        peers.handle(0, DatagramReceived("b", 1, B, Message(MessageKind.PING_REQ, number, "c", C, ())))
    assert (
        len(peers.members.ring) == 5 and len(peers.members.tombstones) == 5 and len(peers.prober.relayed) == 5
    )
    assert len(peers.peers) == 10 and changes(seen).count(("full", "x8")) == 1
    peers.handle(0, Started())
    run_timers(peers, 0, parameters.TOMBSTONE_RETENTION_MS + 60_000)
    assert not peers.peers  # forgotten in the end


# --- this node


def test_a_lie_or_doubt_about_this_node_is_refuted_by_a_greater_incarnation() -> None:
    peers = detector_of(4)
    peers.handle(0, Started())
    assert peers.incarnation == 5
    for state in (PeerState.SUSPECT, PeerState.FAILED, PeerState.LEFT):
        its = peers.incarnation
        actions = receive(peers, 0, "b", B, MemberRecord("a", state, its, A))
        assert PersistIncarnation(its + 1) in actions and peers.incarnation == its + 1
    receive(
        peers,
        0,
        "b",
        B,
        MemberRecord("a", PeerState.SUSPECT, 2, A),
        MemberRecord("a", PeerState.FAILED, 2**32 - 1, A),
    )
    assert peers.incarnation == 8  # old, and beyond what could be refuted


def test_one_that_forgot_asks_before_it_speaks_for_itself() -> None:
    peers = detector_of(None, B)
    actions = peers.handle(0, Started())
    asked = DatagramReceived(
        "c", 3, B, Message(MessageKind.MEMBERS_PAGE, 0, "", "", (MemberRecord("a", PeerState.FAILED, 9, A),))
    )
    actions += run_timers(peers, 0, 200) + peers.handle(210, asked)
    actions += run_timers(peers, 211, 600)
    sent = [action for action in actions if isinstance(action, SendDatagram)]
    assert sent and all(action.incarnation == 0 and action.message.kind in (1, 2, 5, 6) for action in sent)
    assert not any(action.message.kind == MessageKind.PING for action in sent)
    assert PersistIncarnation(10) in run_timers(peers, 601, 1_300) and peers.incarnation == 10


@pytest.mark.parametrize(("held", "goes_by"), [(9, 10), (2, 5)])
def test_one_whose_memory_may_be_old_asks_and_goes_by_the_greater(held: int, goes_by: int) -> None:
    peers = FailureDetector(
        "a",
        A,
        [B],
        4,
        Random(1),
        gossip.record_size_bytes,
        gossip.record_space_bytes,
        ask_for_incarnation=True,
    )
    assert (
        not any(isinstance(one, PersistIncarnation) for one in peers.handle(0, Started()))
        and peers.reported_incarnation is None
    )
    peers.handle(
        210,
        DatagramReceived(
            "c",
            3,
            B,
            Message(MessageKind.MEMBERS_PAGE, 0, "", "", (MemberRecord("a", PeerState.ALIVE, held, A),)),
        ),
    )
    assert PersistIncarnation(goes_by) in run_timers(peers, 211, 1_300) and peers.reported_incarnation == held


def test_one_that_nobody_answers_begins_alone_and_mends_it_when_told() -> None:
    peers = detector_of(None, B)
    peers.handle(0, Started())
    run_timers(peers, 0, parameters.NO_ANSWER_WAIT_MS - 300)
    assert peers.is_asking_for_incarnation
    run_timers(peers, parameters.NO_ANSWER_WAIT_MS - 299, parameters.NO_ANSWER_WAIT_MS + 300)
    assert peers.incarnation == 1
    receive(peers, 4_000, "b", B, MemberRecord("a", PeerState.ALIVE, 9, A))  # an older self
    assert peers.incarnation == 10


def test_an_older_self_is_told_what_is_held_of_it_but_not_often() -> None:
    peers = detector_of()
    receive(peers, 0, "b", B, incarnation=7)
    old = DatagramReceived("b", 1, B, EMPTY_MESSAGE, is_current=False)
    (sent,) = (action for action in peers.handle(1, old) if isinstance(action, SendDatagram))
    assert sent.address == B and any(word[0] == "b" and word[2] == 7 for word in sent.message.records)
    assert not any(isinstance(action, SendDatagram) for _ in range(50) for action in peers.handle(2, old))


def test_two_with_one_name_are_named_and_the_greater_address_yields() -> None:
    net = Net(4, 5)
    net.run(2_000)
    net.add("n1", [net.address("n0")], 0, at="10.9.9.9:7946")
    net.do("10.9.9.9:7946", Started())
    net.run(10_000)
    named = {(by, tell.change) for _, by, tell in net.told if tell.name == "n1"}
    assert ("n1", "doubled") in named and ("n1", "yielded") in named
    first, second = net.nodes[net.address("n1")], net.nodes["10.9.9.9:7946"]
    assert (
        second.has_yielded_name and not first.has_yielded_name and first.incarnation < 20
    )  # no war of incarnations
    del net.nodes[net.address("n1")]
    net.run(20_000)
    assert (
        not second.has_yielded_name
        and net.nodes[net.address("n0")].peers["n1"].record.address == "10.9.9.9:7946"
    )


def test_an_address_used_by_another_is_no_answer_for_the_one_that_went() -> None:
    peers = detector_of()
    receive(peers, 0, "b", B)
    receive(peers, 0, "c", C)
    assert ("suspected", "b") in changes(receive(peers, 10, "d", B))
    other = detector_of(0, name="d", address=B)
    answers = other.handle(0, DatagramReceived("a", 1, A, Message(MessageKind.PING, 3, "b", "", ())))
    assert not any(
        isinstance(answer, SendDatagram) and answer.message.kind == MessageKind.ACK for answer in answers
    )


def test_one_that_stood_still_calls_nobody_failed_before_it_heard_others() -> None:
    peers = detector_of()
    peers.handle(0, Started())
    for name, at in (("b", B), ("c", C), ("d", D)):
        receive(peers, 0, name, at)
    receive(peers, 0, "d", D, MemberRecord("b", PeerState.SUSPECT, 1, B, 5))
    peers.handle(60_000, ProcessStalled(60_000))
    for name, at in (("b", B), ("c", C), ("d", D)):
        receive(peers, 60_001, name, at)  # lay in the socket
    assert not [tell for tell in changes(run_timers(peers, 60_002, 90_000)) if tell[0] == "failed"]
    for name, at in (("b", B), ("c", C), ("d", D)):
        receive(peers, 90_000, name, at, incarnation=2)
    assert peers.heard_since_stall is None
    assert ("failed", "c") in changes(run_timers(peers, 90_000, 100_000))


def test_a_failure_told_of_one_heard_just_now_is_a_suspicion() -> None:
    peers = detector_of()
    receive(peers, 0, "b", B)
    receive(peers, 100, "c", C, MemberRecord("b", PeerState.FAILED, 1, B))
    assert peers.state_of("b") is PeerState.SUSPECT
    receive(peers, parameters.RECENT_CONTACT_MS + 1, "c", C, MemberRecord("b", PeerState.FAILED, 1, B))
    assert peers.state_of("b") is PeerState.FAILED


def test_one_that_leaves_says_so() -> None:
    net = Net(6, 1)
    net.run(1_000)
    net.do(net.address("n2"), ShutdownStarted())
    del net.nodes[net.address("n2")]
    net.run(2_000)
    assert {n.state_of("n2") for n in net.nodes.values()} == {PeerState.LEFT}
    assert not [tell for _, _, tell in net.told if tell.change in ("suspected", "failed")]


def test_whoever_is_written_to_is_told_first_what_is_held_against_it() -> None:
    peers = detector_of()
    words = [MemberRecord(f"x{number}", PeerState.ALIVE, 1, f"10.1.0.{number}:1") for number in range(30)]
    receive(peers, 0, "b", B, *words, MemberRecord("c", PeerState.SUSPECT, 1, C, 4))
    for kind in (MessageKind.PING, MessageKind.MEMBERS_REQUEST):
        target = "a" if kind == MessageKind.PING else ""
        actions = peers.handle(1, DatagramReceived("c", 1, C, Message(kind, 0, target, "", ())))
        sent = [action for action in actions if isinstance(action, SendDatagram)]
        assert sent[0].message.records[0][:3] == ("c", PeerState.SUSPECT, 1)


def test_a_suspicion_is_told_at_once_to_the_suspect_and_few_others() -> None:
    peers = detector_of()
    for number in range(30):
        receive(peers, 0, f"x{number}", f"10.1.0.{number}:1")
    sent = []
    for number in range(20):
        word = MemberRecord(f"x{number}", PeerState.SUSPECT, 1, f"10.1.0.{number}:1", 5)
        actions = (a for a in receive(peers, 1, "b", B, word) if isinstance(a, SendDatagram))
        told = [action for action in actions if action.message.kind == MessageKind.GOSSIP]
        assert number or {"10.1.0.0:1"} < {action.address for action in told}
        sent += told
    assert len(sent) == parameters.MAX_IMMEDIATE_GOSSIP_PER_INTERVAL  # until the next period


def test_the_more_share_a_suspicion_the_sooner_it_ends() -> None:
    """Not by the same accuser again."""
    ends = []
    for accusers in ((5,), (5, 5, 5, 5), (5, 6), (5, 6, 7, 8)):
        peers = detector_of()
        peers.handle(0, Started())
        for number in range(9):
            receive(peers, 0, f"x{number}", f"10.1.0.{number}:1")
        for by in accusers:
            receive(peers, 0, "x1", "10.1.0.1:1", MemberRecord("x0", PeerState.SUSPECT, 1, "10.1.0.0:1", by))
        wake = 0.0
        while peers.state_of("x0") is PeerState.SUSPECT:
            actions = peers.handle(wake, TimerFired())
            wake = max(wake + 1, next(a.at_ms for a in reversed(actions) if isinstance(a, SetTimer)))
        ends.append(wake)
    assert ends[0] == pytest.approx(ends[1], abs=5) and ends[1] > ends[2] + 50 > ends[3] + 100


def test_one_that_hears_no_helper_waits_longer_and_a_nack_says_that_it_is_well() -> None:
    health = []
    for well in (False, True):
        peers = detector_of()
        peers.handle(0, Started())
        for number in range(9):
            receive(peers, 0, f"x{number}", f"10.1.0.{number}:1")
        for turn in range(1, 30):
            for action in peers.handle(turn * 40, TimerFired()):
                if isinstance(action, SendDatagram) and action.message.kind == MessageKind.PING_REQ and well:
                    helper = f"x{action.address.split('.')[3].split(':')[0]}"
                    nack = Message(MessageKind.NACK, action.message.sequence, "", "", ())
                    peers.handle(turn * 40 + 20, DatagramReceived(helper, 1, action.address, nack))
        health.append(peers.local_health)
    assert health == [parameters.MAX_LOCAL_HEALTH, 0]


# --- worlds


def is_complete(net: Net) -> bool:
    return all(len(node.members.ring) == len(net.nodes) - 1 for node in net.nodes.values())


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_death_is_known_to_all_and_nobody_else_is_failed(loss: float) -> None:
    net = Net(20, 2, loss)
    net.run(3_000)
    del net.nodes[net.address("n7")]
    net.run(12_000)
    assert {n.state_of("n7") for n in net.nodes.values()} == {PeerState.FAILED}
    assert {tell.name for _, _, tell in net.told if tell.change == "failed"} <= {"n7"}
    assert net.largest <= gossip.MAX_DATAGRAM_BYTES


def test_a_cut_heals_and_old_seeds_do_not_stop_a_join() -> None:
    net = Net(10, 3)
    for node in net.nodes.values():
        node.set_seeds([])  # a seed that is there on the other side would heal it too
    side = {address: number < 4 for number, address in enumerate(net.nodes)}
    net.cut = lambda one, other: side.get(one) != side.get(other)
    net.run(20_000)
    assert not is_complete(net)
    net.add("n10", ["10.0.7.7:1", "10.0.7.8:1", net.address("n2")], None)
    side[net.address("n10")] = True
    net.do(net.address("n10"), Started())
    net.run(25_000)
    net.cut = lambda one, other: False
    net.run(30_000)
    assert is_complete(net)


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
    left_out.members.bury(0, peer)
    left_out.members.forget("n9")
    left_out.broadcasts.clear()
    for other in net.nodes.values():
        other.broadcasts.clear()
    del net.nodes[net.address("n9")].peers["n5"]  # it shall not be told by n9 itself
    net.nodes[net.address("n9")].members.ring.remove("n5")
    net.nodes[net.address("n9")].members.probed_count = 0
    for at, name in enumerate(net.nodes[net.address("n9")].members.ring):
        net.nodes[net.address("n9")].peers[name].ring_index = at
    net.cut = lambda one, other: {one, other} == {net.address("n5"), net.address("n9")}
    net.run(5_000)
    assert left_out.state_of("n9") is not None


# --- three nodes, one cut, one restart: all orders


class ConstantRandom(Random):
    """Draws the same after each copy, so that copies are small and equal states are equal."""

    def __reduce__(self) -> tuple[type[ConstantRandom], tuple[int]]:
        return ConstantRandom, (1,)


NAMES = {"a": A, "b": B, "c": C}
DEPTH, MAX_IN_FLIGHT = 4, 3


class ThreeNodes:
    """Three nodes and the last few datagrams of each path."""

    def __init__(self) -> None:
        self.nodes = {name: self._node(name, 0) for name in NAMES}
        self.now_ms = dict.fromkeys(NAMES, 0.0)
        self.in_flight: list[tuple[str, DatagramReceived]] = []
        self.partitioned, self.partitions_left, self.restarts_left = "", 1, 1
        self.claimed_incarnations = dict.fromkeys(NAMES, 1)
        self.failed: set[tuple[str, str, int]] = set()
        for name in NAMES:
            self._handle(name, Started())

    @staticmethod
    def _node(name: str, kept: int | None) -> FailureDetector:
        return FailureDetector(
            name,
            NAMES[name],
            list(NAMES.values()),
            kept,
            ConstantRandom(1),
            gossip.record_size_bytes,
            gossip.record_space_bytes,
        )

    def _handle(self, name: str, event: events.Event) -> float:
        wake = 0.0
        for action in self.nodes[name].handle(self.now_ms[name], event):
            if isinstance(action, SendDatagram):
                to = next(n for n, at in NAMES.items() if at == action.address)
                if self.partitioned not in (name, to):
                    self.in_flight.append(
                        (to, DatagramReceived(name, action.incarnation, NAMES[name], action.message))
                    )
            elif isinstance(action, SetTimer):
                wake = action.at_ms
            elif isinstance(action, PersistIncarnation):
                self.claimed_incarnations[name] = max(self.claimed_incarnations[name], action.incarnation)
        return wake

    def steps(self) -> list[tuple[str, str]]:
        found = [("pass", name) for name in NAMES] + [("deliver", str(i)) for i in range(len(self.in_flight))]
        if self.partitioned:
            found.append(("heal", ""))
        elif self.partitions_left:
            found += [("cut", "b")]
        if self.restarts_left:
            found += [("restart", "c"), ("forget", "c")]
        return found

    def step(self, kind: str, of: str) -> None:
        if kind == "pass":
            wake, end = self.now_ms[of], self.now_ms[of] + 1_300
            while wake <= end:
                self.now_ms[of] = wake
                wake = max(wake + 0.001, self._handle(of, TimerFired()))
            self.now_ms[of] = end
        elif kind == "deliver":
            to, heard = self.in_flight.pop(int(of))
            self._handle(to, heard)
        elif kind in ("cut", "heal"):
            self.partitioned, self.partitions_left = of, 0
            self.in_flight = [] if of else self.in_flight
        else:
            self.restarts_left = 0
            self.nodes[of] = self._node(of, self.claimed_incarnations[of] if kind == "restart" else None)
            self._handle(of, Started())
        self.in_flight = self.in_flight[-MAX_IN_FLIGHT:]

    def check(self) -> None:
        for name, node in self.nodes.items():
            for of, peer in node.peers.items():
                assert peer.record.incarnation <= self.claimed_incarnations[of], (
                    "nobody invents an incarnation"
                )
                key = (name, of, peer.record.incarnation)
                if peer.record.state >= PeerState.FAILED:
                    self.failed.add(key)
                else:
                    assert key not in self.failed, "failed, and back in the same incarnation"

    def settle(self) -> None:
        """All in order, no cut: everybody holds everybody, alive and at the incarnation it claims."""
        self.partitioned = ""
        for _ in range(400):
            for name in NAMES:
                self.now_ms[name] += 25
                self._handle(name, TimerFired())
            flying, self.in_flight = self.in_flight, []
            for to, heard in flying:
                self._handle(to, heard)
        self.check()
        for name, node in self.nodes.items():
            assert set(node.members.ring) == NAMES.keys() - {name}, node
            assert all(
                node.peers[of].record.incarnation == self.nodes[of].incarnation for of in node.members.ring
            )

    def key(self) -> object:
        held = [
            (n.incarnation, n.is_asking_for_incarnation, sorted(p.record for p in n.peers.values()))
            for n in self.nodes.values()
        ]
        return repr(
            (held, self.now_ms, self.in_flight, self.partitioned, self.partitions_left, self.restarts_left)
        )


def reachable_states() -> Iterator[ThreeNodes]:
    level, seen = [pickle.dumps(ThreeNodes())], set()
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
    for world in reachable_states():
        count += 1
        if count % 60 == 0:
            world.settle()
    assert count > 1_000
