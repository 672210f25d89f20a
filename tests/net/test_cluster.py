"""Tests of `[peers]` on sockets: membership, invalid datagrams, keys, addresses, incarnations."""

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
from balancer.core import recovery as recovery_core
from balancer.core.anomaly_detection.events import TimelineEvent
from balancer.core.cluster.failure_detector import events, messages, parameters
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.discovery import endpoint_merger, source_state
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net import cluster, gossip_transport
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
    """Shorten the wait of the first node, to which no peer can report an incarnation."""
    monkeypatch.setattr(parameters, "NO_ANSWER_WAIT_MS", 400.0)


class NodeStub:
    """Stands in for the node, its discovery and its backends."""

    def __init__(self, me: int) -> None:
        self.settings = api.Settings((), me, 3)
        self.balancer, self.backends, self.discovery = self, dict[str, Any](), self
        self.fetch_count = 0

    def now(self) -> float:
        return time.time() * 1000

    def apply(self, change: endpoint_merger.ApplyEndpoints) -> None:
        """Ignore a change of the view."""

    def fetch(self) -> None:
        self.fetch_count += 1


class ClusterNode(ClusterComponent):
    """A cluster component on its own node that records the events for the time line."""

    def __init__(self, name: str) -> None:
        self.events: list[tuple[str, str]] = []
        self.node_stub = NodeStub(int(name[1:] or 0))
        self.fleet = EndpointView(self.node_stub, [source_state.Source("platform")])
        running = RunningNode(cast(Any, self.node_stub), self.fleet, (), AdminSocket(), name=name)
        running.timeline_monitor = cast(Any, self)
        super().__init__(running)
        self.list_endpoints(0)

    def add_event(self, event: TimelineEvent) -> None:
        """Record an event in place of the time line."""
        self.events.append((event.event_type.value, event.subject))

    def enable(self, *seeds: ClusterNode | socket.socket, keys: str = KEY, **changes: Any) -> None:
        at = tuple(one.address if isinstance(one, ClusterNode) else one.getsockname() for one in seeds)
        settings = PeersSettings(listen=("127.0.0.1", 0), seeds=at or None, keys=keys)
        self.apply(OperatorSettings(peers=replace(self._peers_settings or settings, keys=keys, **changes)))

    @property
    def address(self) -> tuple[str, int]:
        assert self.transport.socket is not None
        return cast(tuple[str, int], self.transport.socket.getsockname())

    def list_endpoints(
        self, revision: int, *members: EndpointRecord, whole: bool = True, gone: tuple[str, ...] = ()
    ) -> None:
        """Deliver a list from this node's own discovery agent, with addresses unknown to other nodes."""
        host = f"127.0.1.{self.node_stub.settings.node_index}"
        at = tuple(replace(one, address=(host, one.address[1])) for one in members)
        self.fleet.handle(
            endpoint_merger.EndpointsListed(
                "platform", self.running.name, EndpointList(revision, whole, at, gone)
            )
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
    """Run this many nodes that discover each other through the first."""
    nodes = [ClusterNode(f"n{number}") for number in range(count)]
    try:
        for one in nodes:
            one.enable(*nodes[:1] if one is not nodes[0] else ())
        await wait_until(lambda: all(one.sees_alive(*(o for o in nodes if o is not one)) for one in nodes))
        await wait_until(lambda: all(one.report()["speaks"] for one in nodes))
        yield nodes
    finally:
        for one in nodes:
            await one.close()


@contextlib.contextmanager
def udp_socket() -> Any:
    """Open a non-blocking UDP socket."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        yield sock


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def run(test: Callable[[], Any]) -> None:
    asyncio.run(asyncio.wait_for(test(), 2 * TIMEOUT_S))


def message(
    kind: messages.MessageKind, *claims: tuple[str, int, int, str, int], seq: int = 0, target: str = ""
) -> messages.Message:
    return messages.Message(kind, seq, target, "", claims)


def test_nodes_find_each_other_and_one_switched_off_has_left() -> None:
    async def test() -> None:
        async with cluster_of(3) as (one, other, third):
            assert one.report()["self"] == "n0" and one.report()["incarnation"] >= 1
            third.apply(OperatorSettings())
            await wait_until(lambda: one.states_by_name()["n2"] == other.states_by_name()["n2"] == "left")
            assert ("peer_failed", "n2") not in one.events + other.events
            assert third.running.admin_socket._handlers == {} and third.transport.socket is None
            third.enable(one)  # rejoins with a greater incarnation
            await wait_until(lambda: one.sees_alive(other, third) and other.sees_alive(one, third))
            assert ("peer_returned", "n2") in one.events

    run(test)


def test_forged_truncated_replayed_or_random_datagrams_change_nothing() -> None:
    """Each datagram claims, in a valid format, that another node has failed."""

    async def test() -> None:
        async with cluster_of(3) as (one, other, _):
            address = format_address(other.address)
            false_claim = message(
                messages.MessageKind.GOSSIP,
                ("n1", PeerState.FAILED, 9, address, 1),
                ("n9", 0, 1, "127.0.0.1:9", 0),
            )
            valid_datagram = gossip.Writer("liar", KEYS).write(1, false_claim)
            forged = gossip.Writer("liar", gossip.parse_keys(OLD_KEY)).write(1, false_claim)
            corrupted = bytes((*valid_datagram[:-20], valid_datagram[-20] ^ 1, *valid_datagram[-19:]))
            rejected_datagrams = {
                "key": forged,
                "code": corrupted,
                "short": valid_datagram[:20],
                "long": valid_datagram + b"x" * 256,
            }
            with udp_socket() as sock:
                for data in rejected_datagrams.values():
                    sock.sendto(data, one.address)
                for end in range(len(valid_datagram)):
                    sock.sendto(valid_datagram[:end], one.address)
                await wait_until(lambda: rejected_datagrams.keys() <= one.report()["refused"].keys())
                await wait_until(
                    lambda: (
                        sum(one.report()["refused"].values()) == len(rejected_datagrams) + len(valid_datagram)
                    )
                )
                assert set(one.states_by_name()) == {"n1", "n2"} and one.states_by_name()["n1"] == "alive"
                # A valid datagram is accepted once.
                hello = gossip.Writer("n9", KEYS).write(5, message(messages.MessageKind.GOSSIP))
                for _ in range(3):
                    sock.sendto(hello, one.address)
                await wait_until(
                    lambda: one.report()["refused"].get("replay") == 2 and "n9" in one.states_by_name()
                )

    run(test)


def test_turn_of_the_loop_reads_a_bounded_number_of_datagrams() -> None:
    """Guards against a flood of datagrams that starves requests."""

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
    """A delay shorter than a stall must not make a peer suspect that responded in the meantime."""

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
                one._on_detector_timer()  # as an event loop may do before it reads its sockets
                assert one.states_by_name() == {"slow": "alive"}
                time.sleep(parameters.PROBE_INTERVAL_MS / 1000 + 0.1)
                one._on_detector_timer()  # this time there was no response
                assert one.states_by_name() == {"slow": "suspect"}

    run(test)


def test_stall_is_handled_before_overdue_timers() -> None:
    """Guards against a stalled node that declares peers failed whose responses it has not read."""

    async def test() -> None:
        async with cluster_of(3) as (one, *_):
            one.events.clear()
            peers = one.detector
            assert peers is not None
            time.sleep(1.5)
            one._on_detector_timer()
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
    monkeypatch.setattr(cluster, "LISTEN_RETRY_INTERVAL_S", 0.02)

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
        async with cluster_of(3) as nodes:
            for one in nodes:
                one.events.clear()
            for text in (f"{KEY}\n{OLD_KEY}", f"{OLD_KEY}\n{KEY}", OLD_KEY):
                for one in nodes:
                    one.enable(keys=text)
                    wanted_count = one.transport.counts["received"] + 10
                    while one.transport.counts["received"] < wanted_count:
                        await asyncio.sleep(0.01)
                    assert not any(o.events for o in nodes), [o.events for o in nodes]
                    assert not any(o.report()["refused"] for o in nodes)
            nodes[0].enable(keys=KEY)  # skips a rotation step: its datagrams are rejected and counted
            await wait_until(lambda: nodes[1].report()["refused"].get("key"))

    run(test)
    assert KEY not in caplog.text and OLD_KEY not in caplog.text


def test_node_at_another_address_keeps_its_identity() -> None:
    async def test() -> None:
        async with cluster_of(3) as (one, other, third):
            before, old_incarnation = one.address, one.report()["incarnation"]
            with udp_socket() as free:
                wanted = free.getsockname()
            one.enable(listen=wanted)  # without seeds
            await wait_until(lambda: all(peer.states_by_name()["n0"] == "alive" for peer in (other, third)))
            await wait_until(lambda: one.sees_alive(other, third) and one.address == wanted != before)
            assert one.report()["incarnation"] > old_incarnation
            await wait_until(
                lambda: ("peer_moved", "n0") in other.events and ("peer_moved", "n0") in third.events
            )

    run(test)


def test_node_without_a_name_raises(tmp_path: Path) -> None:
    async def test() -> None:
        one = ClusterNode("")
        with pytest.raises(ValueError, match="no name"):
            one.enable()
        assert one.transport.socket is None

    run(test)


class RecoveryStub:
    """Stands in for `net/recovery`, with the real state machine."""

    def __init__(self) -> None:
        self.recovery, self.has_begun = recovery_core.Recovery(0.0), False
        self.on_begun: list[Callable[[], None]] = []
        self.persisted_incarnations: list[int] = []

    def handle(self, event: recovery_core.Event) -> None:
        for action in self.recovery.handle(1_000.0, event):
            if isinstance(action, recovery_core.PersistIncarnation):
                self.persisted_incarnations.append(action.incarnation)

    def begin(self, kept: recovery_core.PersistedIncarnation | None) -> None:
        self.has_begun = True
        self.handle(recovery_core.ProcessStarted(kept, 2_000.0))
        for callback in self.on_begun:
            callback()

    @property
    def memory_and_incarnation(self) -> tuple[str, int]:
        return self.recovery.persisted_state.value, self.recovery.incarnation


async def gossip_about(one: ClusterNode, state: int, incarnation: int) -> None:
    """Send this state of the node from a peer that holds the key."""
    with udp_socket() as sock:
        claim = (one.running.name, state, incarnation, format_address(one.address), 1)
        sock.sendto(
            gossip.Writer("liar", KEYS).write(incarnation, message(messages.MessageKind.GOSSIP, claim)),
            one.address,
        )


def test_node_with_intact_state_speaks_at_once_and_persists_its_incarnation() -> None:
    """An incarnation one above its own is a refutation; a greater one means that its state is outdated."""

    async def test() -> None:
        async with cluster_of(1) as (other,):
            one, recovery_stub = ClusterNode("n1"), RecoveryStub()
            one.running.recovery = cast(Any, recovery_stub)
            try:
                one.enable(other)
                await asyncio.sleep(0.3)
                assert one.detector is None and not one.report()["speaks"], (
                    "the persisted state is not read yet"
                )
                recovery_stub.begin(recovery_core.PersistedIncarnation(7, 1_000.0))
                assert one.report()["speaks"] and recovery_stub.memory_and_incarnation == ("kept", 8)
                await wait_until(lambda: other.sees_alive(one))
                await gossip_about(one, PeerState.SUSPECT, 8)
                await wait_until(lambda: recovery_stub.memory_and_incarnation == ("kept", 9))
                await gossip_about(one, PeerState.FAILED, 20)
                await wait_until(lambda: recovery_stub.memory_and_incarnation == ("older", 21))
                await wait_until(lambda: ("n1", 21) in other.incarnations())
                assert recovery_stub.persisted_incarnations == [8, 9, 21]
            finally:
                await one.close()

    run(test)


@pytest.mark.parametrize("known_incarnation", [5, 0])
def test_node_without_state_takes_the_incarnation_that_peers_hold(known_incarnation: int) -> None:
    async def test() -> None:
        async with cluster_of(1) as (other,):
            one, recovery_stub = ClusterNode("n1"), RecoveryStub()
            one.running.recovery = cast(Any, recovery_stub)
            recovery_stub.begin(None)
            if known_incarnation:
                assert other.detector is not None
                failure_claim = message(
                    messages.MessageKind.GOSSIP, ("n1", PeerState.FAILED, known_incarnation, "127.0.0.1:9", 1)
                )
                other._handle(events.DatagramReceived("n2", 1, "127.0.0.1:8", failure_claim))
            try:
                one.enable(other)
                assert not one.report()["speaks"]
                await wait_until(lambda: other.sees_alive(one))
                assert recovery_stub.memory_and_incarnation == (
                    ("lost", 6) if known_incarnation else ("none", 1)
                )
                assert (recovery_stub.recovery.roles_barred_until_ms > 1_000.0) is bool(known_incarnation), (
                    "peers know no later incarnation"
                )
            finally:
                await one.close()

    run(test)


def endpoint_record(number: int, phase: api.Phase = api.Phase.UP) -> EndpointRecord:
    return EndpointRecord(api.Endpoint(f"s{number}", "z", 0, 1.0, phase, 0.0), ("127.0.0.1", 9_000 + number))


def test_node_states_are_gossiped_and_the_divergent_node_is_named() -> None:
    """All nodes report the divergence and its end, and a node that is partitioned from discovery."""

    async def test() -> None:
        async with cluster_of(3) as (*others, divergent):
            nodes = [*others, divergent]
            for one in nodes:
                one.list_endpoints(1, endpoint_record(1))
            divergent.apply(
                OperatorSettings(peers=divergent._peers_settings, timeline=TimelineSettings(memory_mb=9))
            )
            await wait_until(
                lambda: all(("disagreement_began", "settings operators") in o.events for o in nodes)
            )
            report = others[0].report()
            assert [d["names"] for d in report["disagreements"]] == [["n2"]]
            by = {one["name"]: one["goes_by"] for one in report["peers"]}
            assert by["n2"]["operators"] != by["n1"]["operators"] == report["goes_by"]["operators"]
            assert (
                all(one["sources"]["platform"]["revision"] == 1 for one in by.values()) and not report["cut"]
            )
            assert by["n1"]["list"] == by["n2"]["list"] == report["goes_by"]["list"] is not None
            divergent.apply(OperatorSettings(peers=divergent._peers_settings))
            await wait_until(
                lambda: all(("disagreement_ended", "settings operators") in o.events for o in nodes)
            )
            divergent.fleet.handle(endpoint_merger.SourceLost("platform", "no answer"))
            await wait_until(lambda: ("cut_began", "discovery") in divergent.events)
            cut = divergent.report()["cut"][0]
            assert "2 of 2 peers reach it" in cut["why"] and cut["of"] == "discovery"
            await wait_until(lambda: any(not o["goes_by"]["discovery"] for o in others[0].report()["peers"]))
            assert divergent.metrics()["cuts"] == {"discovery": 1} and others[0].metrics()["cuts"] == {}
            divergent.fleet.handle(endpoint_merger.SourceConfirmedCurrent("platform"))
            await wait_until(lambda: ("cut_ended", "discovery") in divergent.events)
            assert divergent.metrics()["events"]["cut_began"] == 1 and not divergent.node_stub.fetch_count

    run(test)


@pytest.mark.parametrize("closes", [False, True])
def test_drain_that_only_peers_have_heard_of_is_accepted_from_them(closes: bool) -> None:
    """The node fetches its own list at once; that list, or disabling `[peers]`, ends the drain."""

    async def test() -> None:
        async with cluster_of(3) as (*others, last):
            for one in (*others, last):
                one.list_endpoints(1, endpoint_record(1), endpoint_record(2), endpoint_record(3))
            last.fleet.handle(endpoint_merger.SourceLost("platform", "no answer"))
            for one in others:
                one.list_endpoints(2, endpoint_record(1, api.Phase.DRAINING), whole=False)
            await wait_until(lambda: last.phases() == {"s1": "draining", "s2": "up", "s3": "up"})
            await wait_until(lambda: last.node_stub.fetch_count)
            assert [*last.fleet.merger.sources] == ["platform", "peers"]
            accepted_removal = {"source": "platform", "server": "s1", "revision": 2, "gone": False}
            assert last.report()["taken"] == [accepted_removal] and last.metrics()["taken"] == {"drains": 1}
            with udp_socket() as free:
                wanted = free.getsockname()
            last.enable(listen=wanted)  # at another address: accepted removals stay in force
            assert (
                last.phases()["s1"] == "draining"
                and last.address == wanted
                and last.cluster_gossip is not None
            )
            assert last.cluster_gossip.coordinator.failure_detector is last.detector is not None
            last.list_endpoints(
                3, endpoint_record(1), endpoint_record(2), endpoint_record(3)
            )  # the own list has the backend up
            await wait_until(lambda: set(last.phases().values()) == {"up"})
            assert not last.report()["taken"]
            for one in others:
                one.list_endpoints(4, whole=False, gone=("s2",))
            await wait_until(lambda: last.phases() == {"s1": "up", "s3": "up"})
            if closes:  # the persisted view must not bring back removed backends
                await last.close()
                assert set(last.phases()) == {"s1", "s3"}
                return
            last.apply(OperatorSettings())
            assert set(last.phases()) == {"s1", "s2", "s3"}
            assert [*last.fleet.merger.sources] == ["platform"]

    run(test)
