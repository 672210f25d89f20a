"""`[peers]` on real sockets: membership, bad datagrams, keys, addresses, incarnations."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from typing import Any, cast

import pytest

from balancer import interface as api
from balancer.core import recovery as r
from balancer.core.anomaly_detection.events import TimelineEvent
from balancer.core.cluster.failure_detector import events, messages, parameters
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.discovery import endpoint_merger as ms
from balancer.core.discovery import source_state
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net import cluster as net
from balancer.net import gossip_transport
from balancer.net.admin_socket import AdminSocket
from balancer.net.cluster import ClusterComponent
from balancer.net.component import RunningNode
from balancer.net.endpoint_view import EndpointView
from balancer.operator_settings import OperatorSettings, PeersSettings, TimelineSettings
from balancer.operator_settings.peers import format_address
from balancer.protocol import gossip

KEY, OLD_KEY = "0123456789abcdef" * 2, "fedcba98" * 8
KEYS = gossip.parse_keys(KEY)
TIMEOUT_S = 40.0


@pytest.fixture(autouse=True)
def short_incarnation_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first node waits for an answer that nobody can give."""
    monkeypatch.setattr(parameters, "NO_ANSWER_WAIT_MS", 400.0)


class NodeStub:
    """What the cluster component sees of a node: also its discovery and its backends."""

    def __init__(self, me: int) -> None:
        self.settings = api.Settings((), me, 3)
        self.balancer, self.backends, self.discovery = self, dict[str, Any](), self
        self.fetch_count = 0

    def now(self) -> float:
        return time.time() * 1000

    def apply(self, change: ms.ApplyEndpoints) -> None:
        """As the module's."""

    def fetch(self) -> None:
        self.fetch_count += 1


class ClusterNode(ClusterComponent):
    """A cluster component on a node of its own that notes the events of the time line."""

    def __init__(self, name: str) -> None:
        self.events: list[tuple[str, str]] = []
        self.node_stub = NodeStub(int(name[1:] or 0))
        self.fleet = EndpointView(self.node_stub, [source_state.Source("platform")])
        running = RunningNode(cast(Any, self.node_stub), self.fleet, (), AdminSocket(), name=name)
        running.watch = cast(Any, self)
        super().__init__(running)
        self.list_endpoints(0)

    def add_event(self, told: TimelineEvent) -> None:
        """As the time line's."""
        self.events.append((told.event_type.value, told.subject))

    def switch_on(self, *seeds: ClusterNode | socket.socket, keys: str = KEY, **more: Any) -> None:
        at = tuple(one.address if isinstance(one, ClusterNode) else one.getsockname() for one in seeds)
        settings = PeersSettings(listen=("127.0.0.1", 0), seeds=at or None, keys=keys)
        self.apply(OperatorSettings(peers=replace(self._peers_settings or settings, keys=keys, **more)))

    @property
    def address(self) -> tuple[str, int]:
        assert self.transport.socket is not None
        return cast(tuple[str, int], self.transport.socket.getsockname())

    def list_endpoints(
        self, revision: int, *members: EndpointRecord, whole: bool = True, gone: tuple[str, ...] = ()
    ) -> None:
        """Its discovery lists these, an agent of its own that has backends at other addresses."""
        host = f"127.0.1.{self.node_stub.settings.node_index}"
        at = tuple(replace(one, address=(host, one.address[1])) for one in members)
        self.fleet.handle(
            ms.EndpointsListed("platform", self.running.name, EndpointList(revision, whole, at, gone))
        )

    def phases(self) -> dict[str, str]:
        return {name: one.endpoint.phase.value for name, one in self.fleet.merger.view.items()}

    def states_by_name(self) -> dict[str, str]:
        return {one["name"]: one["state"] for one in self.report()["peers"]}

    def incarnations(self) -> set[tuple[str, int]]:
        return {(one["name"], one["incarnation"]) for one in self.report()["peers"]}

    def sees_alive(self, *others: ClusterNode) -> bool:
        wanted = {one.running.name for one in others}
        return {name for name, state in self.states_by_name().items() if state == "alive"} >= wanted


@contextlib.asynccontextmanager
async def cluster_of(count: int) -> AsyncIterator[list[ClusterNode]]:
    """That many nodes, which know each other by the first one."""
    them = [ClusterNode(f"n{number}") for number in range(count)]
    try:
        for one in them:
            one.switch_on(*them[:1] if one is not them[0] else ())
        await wait_until(lambda: all(one.sees_alive(*(o for o in them if o is not one)) for one in them))
        await wait_until(lambda: all(one.report()["speaks"] for one in them))
        yield them
    finally:
        for one in them:
            await one.close()


@contextlib.contextmanager
def udp_socket() -> Any:
    """A bare socket."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        yield sock


async def wait_until(met: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not met():
            await asyncio.sleep(0.01)


def run(test: Callable[[], Any]) -> None:
    asyncio.run(asyncio.wait_for(test(), 2 * TIMEOUT_S))


def message(
    kind: messages.MessageKind, *words: tuple[str, int, int, str, int], seq: int = 0, target: str = ""
) -> messages.Message:
    return messages.Message(kind, seq, target, "", words)


def test_nodes_find_each_other_and_one_switched_off_has_left() -> None:
    async def test() -> None:
        async with cluster_of(3) as (one, other, third):
            assert one.report()["self"] == "n0" and one.report()["incarnation"] >= 1
            third.apply(OperatorSettings())
            await wait_until(lambda: one.states_by_name()["n2"] == other.states_by_name()["n2"] == "left")
            assert ("peer_failed", "n2") not in one.events + other.events
            assert third.running.control._answers == {} and third.transport.socket is None
            third.switch_on(one)  # again, in a greater incarnation
            await wait_until(lambda: one.sees_alive(other, third) and other.sees_alive(one, third))
            assert ("peer_returned", "n2") in one.events

    run(test)


def test_forged_truncated_replayed_or_random_datagrams_change_nothing() -> None:
    """Each of them claims, in the right form, that another node has failed."""

    async def test() -> None:
        async with cluster_of(3) as (one, other, _):
            address = format_address(other.address)
            lie = message(
                messages.MessageKind.GOSSIP,
                ("n1", PeerState.FAILED, 9, address, 1),
                ("n9", 0, 1, "127.0.0.1:9", 0),
            )
            good = gossip.Writer("liar", KEYS).write(1, lie)
            forged = gossip.Writer("liar", gossip.parse_keys(OLD_KEY)).write(1, lie)
            bent = bytes((*good[:-20], good[-20] ^ 1, *good[-19:]))
            bad = {"key": forged, "code": bent, "short": good[:20], "long": good + b"x" * 256}
            with udp_socket() as sock:
                for data in bad.values():
                    sock.sendto(data, one.address)
                for end in range(len(good)):
                    sock.sendto(good[:end], one.address)
                await wait_until(lambda: bad.keys() <= one.report()["refused"].keys())
                await wait_until(lambda: sum(one.report()["refused"].values()) == len(bad) + len(good))
                assert set(one.states_by_name()) == {"n1", "n2"} and one.states_by_name()["n1"] == "alive"
                # The right one counts, once.
                hello = gossip.Writer("n9", KEYS).write(5, message(messages.MessageKind.GOSSIP))
                for _ in range(3):
                    sock.sendto(hello, one.address)
                await wait_until(
                    lambda: one.report()["refused"].get("replay") == 2 and "n9" in one.states_by_name()
                )

    run(test)


def test_turn_of_the_loop_reads_a_bounded_number_of_datagrams() -> None:
    """Requests go on between two turns, however many datagrams come."""

    async def test() -> None:
        async with cluster_of(1) as (one,):
            with udp_socket() as sock:
                for _ in range(150):
                    sock.sendto(b"x" * 60, one.address)
            counts = [one.transport.counts["received"]]
            while counts[-1] < 150:
                await asyncio.sleep(0)
                counts.append(one.transport.counts["received"])
            assert max(b - a for a, b in pairwise(counts)) <= 40, counts

    run(test)


def test_answer_waiting_in_the_socket_is_read_before_a_timeout() -> None:
    """A loop that was delayed for less than a stall must not accuse a peer that answered meanwhile."""

    async def test() -> None:
        async with cluster_of(1) as (one,):
            with udp_socket() as sock:
                writer, reader, ping = gossip.Writer("slow", KEYS), gossip.Reader(KEYS), None
                sock.sendto(writer.write(1, message(messages.MessageKind.GOSSIP)), one.address)
                while ping is None:
                    await asyncio.sleep(0.001)
                    with contextlib.suppress(BlockingIOError):
                        found = reader.read(0.0, "", sock.recv(300))
                        if (
                            isinstance(found, gossip.AcceptedDatagram)
                            and found.message.kind == messages.MessageKind.PING
                        ):
                            ping = found.message
                sock.sendto(
                    writer.write(1, message(messages.MessageKind.ACK, seq=ping.sequence, target="slow")),
                    one.address,
                )
                time.sleep(parameters.PROBE_INTERVAL_MS / 1000 + 0.1)
                one._on_timer()  # as a loop may call it before it looks at its sockets
                assert one.states_by_name() == {"slow": "alive"}
                time.sleep(parameters.PROBE_INTERVAL_MS / 1000 + 0.1)
                one._on_timer()  # and now there was none
                assert one.states_by_name() == {"slow": "suspect"}

    run(test)


def test_stall_is_handled_before_overdue_timers() -> None:
    """Otherwise a stalled node would fail peers whose answers it did not read."""

    async def test() -> None:
        async with cluster_of(3) as (one, *_):
            one.events.clear()
            peers = one.detector
            assert peers is not None
            time.sleep(1.5)
            one._on_timer()
            assert peers.heard_since_stall is not None and set(one.states_by_name().values()) == {"alive"}
            await wait_until(lambda: peers.heard_since_stall is None)
            assert ("peer_failed", "n1") not in one.events and ("peer_failed", "n2") not in one.events

    run(test)


def test_datagram_that_cannot_be_sent_is_counted_and_peers_are_found(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with cluster_of(2) as (one, other):
            third = ClusterNode("n3")
            with udp_socket() as gone:
                closed = gone.getsockname()
            seeds = (closed, ("255.255.255.255", 9), ("0.0.0.1", 9), other.address)
            third.apply(OperatorSettings(peers=PeersSettings(listen=("127.0.0.1", 0), seeds=seeds, keys=KEY)))
            try:
                await wait_until(lambda: third.sees_alive(one, other) and one.sees_alive(third))
                assert third.report()["datagrams"]["unsent"] > 0
            finally:
                await third.close()

    run(test)
    assert "datagrams are lost, the node goes on" in caplog.text and "Traceback" not in caplog.text


@pytest.mark.parametrize(
    ("text", "family", "found"),
    [
        ("10.0.0.1:7", socket.AF_INET, ("10.0.0.1", 7)),
        ("[::1]:7", socket.AF_INET6, ("::1", 7)),
        ("localhost:7", socket.AF_INET, None),
        ("[::1]:7", socket.AF_INET, None),
        ("", socket.AF_INET, None),
        ("10.0.0.1:70000", socket.AF_INET, None),
        ("10.0.0.1:0", socket.AF_INET, None),
    ],
)
def test_socket_address_of_a_host_name_is_none(text: str, family: int, found: object) -> None:
    assert gossip_transport.socket_address(text, family) == found


def test_address_in_use_is_reported_and_bound_later(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(net, "LISTEN_RETRY_INTERVAL_S", 0.02)

    async def test() -> None:
        one = ClusterNode("n0")
        with udp_socket() as sock:
            at = sock.getsockname()
            one.apply(OperatorSettings(peers=PeersSettings(listen=at, keys=KEY)))
            await asyncio.sleep(0.1)
            assert one.report()["trouble"] == f"{format_address(at)}: Address already in use"
        await wait_until(lambda: one.report()["speaks"] or one.detector is not None)
        assert one.report()["trouble"] is None and one.address == at
        await one.close()

    run(test)
    assert caplog.text.count("Address already in use") == 1


def test_key_rotation_has_no_gap_and_logs_no_key(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.DEBUG)

    async def test() -> None:
        async with cluster_of(3) as them:
            for one in them:
                one.events.clear()
            for text in (f"{KEY}\n{OLD_KEY}", f"{OLD_KEY}\n{KEY}", OLD_KEY):
                for one in them:
                    one.switch_on(keys=text)
                    much = one.transport.counts["received"] + 10
                    while one.transport.counts["received"] < much:
                        await asyncio.sleep(0.01)
                    assert not any(o.events for o in them), [o.events for o in them]
                    assert not any(o.report()["refused"] for o in them)
            them[0].switch_on(keys=KEY)  # a step left out: it is not heard any more, which is counted
            await wait_until(lambda: them[1].report()["refused"].get("key"))

    run(test)
    assert KEY not in caplog.text and OLD_KEY not in caplog.text


def test_node_at_another_address_keeps_its_identity() -> None:
    async def test() -> None:
        async with cluster_of(3) as (one, other, third):
            before, life = one.address, one.report()["incarnation"]
            with udp_socket() as free:
                wanted = free.getsockname()
            one.switch_on(listen=wanted)  # which has no seeds
            await wait_until(lambda: all(peer.states_by_name()["n0"] == "alive" for peer in (other, third)))
            await wait_until(lambda: one.sees_alive(other, third) and one.address == wanted != before)
            assert one.report()["incarnation"] > life
            await wait_until(
                lambda: ("peer_moved", "n0") in other.events and ("peer_moved", "n0") in third.events
            )

    run(test)


def test_node_without_a_name_raises(tmp_path: Path) -> None:
    async def test() -> None:
        one = ClusterNode("")
        with pytest.raises(ValueError, match="no name"):
            one.switch_on()
        assert one.transport.socket is None

    run(test)


class RecoveryStub:
    """What the cluster component sees of `net/recovery`, around the real state machine."""

    def __init__(self) -> None:
        self.recovery, self.has_begun = r.Recovery(0.0), False
        self.on_begun: list[Callable[[], None]] = []
        self.persisted_incarnations: list[int] = []

    def handle(self, event: r.Event) -> None:
        for action in self.recovery.handle(1_000.0, event):
            if isinstance(action, r.PersistIncarnation):
                self.persisted_incarnations.append(action.incarnation)

    def begin(self, kept: r.PersistedIncarnation | None) -> None:
        self.has_begun = True
        self.handle(r.ProcessStarted(kept, 2_000.0))
        for told in self.on_begun:
            told()

    @property
    def memory_and_incarnation(self) -> tuple[str, int]:
        return self.recovery.persisted_state.value, self.recovery.incarnation


async def gossip_about(one: ClusterNode, state: int, incarnation: int) -> None:
    """A node with the right key claims that of this one."""
    with udp_socket() as sock:
        word = (one.running.name, state, incarnation, format_address(one.address), 1)
        sock.sendto(
            gossip.Writer("liar", KEYS).write(incarnation, message(messages.MessageKind.GOSSIP, word)),
            one.address,
        )


def test_node_with_intact_state_speaks_at_once_and_persists_its_incarnation() -> None:
    """One above its own incarnation is a refutation, a greater one a later life that it forgot."""

    async def test() -> None:
        async with cluster_of(1) as (other,):
            one, meter = ClusterNode("n1"), RecoveryStub()
            one.running.recovery = cast(Any, meter)
            try:
                one.switch_on(other)
                await asyncio.sleep(0.3)
                assert one.detector is None and not one.report()["speaks"], "what was kept is not read yet"
                meter.begin(r.PersistedIncarnation(7, 1_000.0))
                assert one.report()["speaks"] and meter.memory_and_incarnation == ("kept", 8)
                await wait_until(lambda: other.sees_alive(one))
                await gossip_about(one, PeerState.SUSPECT, 8)
                await wait_until(lambda: meter.memory_and_incarnation == ("kept", 9))
                await gossip_about(one, PeerState.FAILED, 20)
                await wait_until(lambda: meter.memory_and_incarnation == ("older", 21))
                await wait_until(lambda: ("n1", 21) in other.incarnations())
                assert meter.persisted_incarnations == [8, 9, 21]
            finally:
                await one.close()

    run(test)


@pytest.mark.parametrize("held", [5, 0])
def test_node_without_state_takes_the_incarnation_that_peers_hold(held: int) -> None:
    async def test() -> None:
        async with cluster_of(1) as (other,):
            one, meter = ClusterNode("n1"), RecoveryStub()
            one.running.recovery = cast(Any, meter)
            meter.begin(None)
            if held:
                assert other.detector is not None
                fell = message(messages.MessageKind.GOSSIP, ("n1", PeerState.FAILED, held, "127.0.0.1:9", 1))
                other._handle(events.DatagramReceived("n2", 1, "127.0.0.1:8", fell))
            try:
                one.switch_on(other)
                assert not one.report()["speaks"]
                await wait_until(lambda: other.sees_alive(one))
                assert meter.memory_and_incarnation == (("lost", 6) if held else ("none", 1))
                assert (meter.recovery.roles_barred_until_ms > 1_000.0) is bool(held), (
                    "they know of no later life"
                )
            finally:
                await one.close()

    run(test)


def endpoint_record(number: int, phase: api.Phase = api.Phase.UP) -> EndpointRecord:
    return EndpointRecord(api.Endpoint(f"s{number}", "z", 0, 1.0, phase, 0.0), ("127.0.0.1", 9_000 + number))


def test_node_states_are_gossiped_and_the_divergent_node_is_named() -> None:
    """By all nodes, the divergent one too, and its end; also who is partitioned from discovery."""

    async def test() -> None:
        async with cluster_of(3) as (*others, odd):
            them = [*others, odd]
            for one in them:
                one.list_endpoints(1, endpoint_record(1))
            odd.apply(OperatorSettings(peers=odd._peers_settings, timeline=TimelineSettings(memory_mb=9)))
            await wait_until(
                lambda: all(("disagreement_began", "settings operators") in o.events for o in them)
            )
            told = others[0].report()
            assert [d["names"] for d in told["disagreements"]] == [["n2"]]
            by = {one["name"]: one["goes_by"] for one in told["peers"]}
            assert by["n2"]["operators"] != by["n1"]["operators"] == told["goes_by"]["operators"]
            assert all(one["sources"]["platform"]["revision"] == 1 for one in by.values()) and not told["cut"]
            assert by["n1"]["list"] == by["n2"]["list"] == told["goes_by"]["list"] is not None
            odd.apply(OperatorSettings(peers=odd._peers_settings))
            await wait_until(
                lambda: all(("disagreement_ended", "settings operators") in o.events for o in them)
            )
            odd.fleet.handle(ms.SourceLost("platform", "no answer"))
            await wait_until(lambda: ("cut_began", "discovery") in odd.events)
            cut = odd.report()["cut"][0]
            assert "2 of 2 peers reach it" in cut["why"] and cut["of"] == "discovery"
            await wait_until(lambda: any(not o["goes_by"]["discovery"] for o in others[0].report()["peers"]))
            assert odd.metrics()["cuts"] == {"discovery": 1} and others[0].metrics()["cuts"] == {}
            odd.fleet.handle(ms.SourceConfirmedCurrent("platform"))
            await wait_until(lambda: ("cut_ended", "discovery") in odd.events)
            assert odd.metrics()["events"]["cut_began"] == 1 and not odd.node_stub.fetch_count

    run(test)


@pytest.mark.parametrize("ends", [False, True])
def test_drain_that_only_peers_have_heard_of_is_accepted_from_them(ends: bool) -> None:
    """The source is polled at once. Its own list ends the drain; so does switching `[peers]` off."""

    async def test() -> None:
        async with cluster_of(3) as (*others, last):
            for one in (*others, last):
                one.list_endpoints(1, endpoint_record(1), endpoint_record(2), endpoint_record(3))
            last.fleet.handle(ms.SourceLost("platform", "no answer"))
            for one in others:
                one.list_endpoints(2, endpoint_record(1, api.Phase.DRAINING), whole=False)
            await wait_until(lambda: last.phases() == {"s1": "draining", "s2": "up", "s3": "up"})
            await wait_until(lambda: last.node_stub.fetch_count)
            assert [*last.fleet.merger.sources] == ["platform", "peers"]
            taken = {"source": "platform", "server": "s1", "revision": 2, "gone": False}
            assert last.report()["taken"] == [taken] and last.metrics()["taken"] == {"drains": 1}
            with udp_socket() as free:
                wanted = free.getsockname()
            last.switch_on(listen=wanted)  # elsewhere: what was taken holds on
            assert (
                last.phases()["s1"] == "draining"
                and last.address == wanted
                and last.cluster_gossip is not None
            )
            assert last.cluster_gossip.coordinator.failure_detector is last.detector is not None
            last.list_endpoints(
                3, endpoint_record(1), endpoint_record(2), endpoint_record(3)
            )  # it is up again, or the others were wrong
            await wait_until(lambda: set(last.phases().values()) == {"up"})
            assert not last.report()["taken"]
            for one in others:
                one.list_endpoints(4, whole=False, gone=("s2",))
            await wait_until(lambda: last.phases() == {"s1": "up", "s3": "up"})
            if ends:  # what it keeps is not to bring back who went
                await last.close()
                assert set(last.phases()) == {"s1", "s3"}
                return
            last.apply(OperatorSettings())
            assert set(last.phases()) == {"s1", "s2", "s3"}
            assert [*last.fleet.merger.sources] == ["platform"]

    run(test)
