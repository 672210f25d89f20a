"""Our etcd source against the stand-in, which does what etcd 3.4 documents and 3.4.23 was seen to do.

The comment over each test names where its expectation comes from. "API reference" is etcd's
api_reference_v3, "gateway guide" its api_grpc_gateway, "API overview" its learning/api, "guarantees" its
learning/api_guarantees, all of release 3.4; "seen" is what etcd 3.4.23 did when this very suite ran on it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self

import pytest

from balancer.core.discovery.endpoint_merger import (
    EndpointsListed,
    SourceConfirmedCurrent,
    SourceLost,
    SourceRejected,
)
from balancer.core.discovery.etcd_watcher import limits
from balancer.core.discovery.etcd_watcher.config import EtcdConfig
from balancer.core.discovery.etcd_watcher.state import WatcherPhase
from balancer.endpoints import EndpointRecord
from balancer.interface import Phase as MemberPhase
from balancer.net.discovery.etcd import EtcdDiscovery
from balancer.testbed.certificates import make
from balancer.testbed.etcd.shared import Garbage
from balancer.testbed.etcd.standin import EtcdEmulator
from tests.testbed.conftest import run

CHECK_MS = limits.CHECK_INTERVAL_MS
PREFIX = "/dillport/members/"
WAIT = 25.0  # s until a test that waits for something that does not come fails
LEFT = 5.0  # s within which an endpoint is left that cannot show it is current


@pytest.fixture(autouse=True)
def _quick(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check often, so that tests need not wait; those of who is left in time set it back."""
    monkeypatch.setattr(limits, "CHECK_INTERVAL_MS", 100.0)


def value(port: int = 80, **more: Any) -> bytes:
    return json.dumps({"host_port": f"127.0.0.1:{port}", "phase": "in_service"} | more).encode()


def key(name: str) -> str:
    return PREFIX + name


class Follower:
    """A source, what it told, and the view that this makes; `async with` it."""

    def __init__(self, endpoints: list[str], **more: Any) -> None:
        self.told: list[Any] = []
        self.view: dict[str, EndpointRecord] = {}
        self.changed = asyncio.Event()
        config = EtcdConfig(tuple(endpoints), more.pop("prefix", PREFIX), **more)
        self.source = EtcdDiscovery(config, self._take, rng=random.Random(1))

    async def __aenter__(self) -> Self:
        self.source.start()
        return self

    async def __aexit__(self, *args: object) -> None:
        self.source.stop()

    def _take(self, event: Any) -> None:
        self.told.append(event)
        if isinstance(event, EndpointsListed):
            before = [e.endpoint_list.revision for e in self.listed[:-1] if e.identity == event.identity]
            assert event.endpoint_list.revision >= max(before, default=0), "an order went back"
            if event.endpoint_list.is_complete:
                self.view.clear()
            for name in event.endpoint_list.removed_ids:
                self.view.pop(name, None)
            self.view |= {m.id: m for m in event.endpoint_list.records}
        self.changed.set()

    @property
    def listed(self) -> list[EndpointsListed]:
        return [event for event in self.told if isinstance(event, EndpointsListed)]

    @property
    def wholes(self) -> int:
        """How many whole lists came."""
        return sum(event.endpoint_list.is_complete for event in self.listed)

    def last(self, *kinds: type) -> bool:
        """Whether the last of what was told is one of these."""
        return bool(self.told) and isinstance(self.told[-1], kinds)

    async def until(self, true: Callable[[], bool], wait: float = WAIT) -> float:
        """Wait until something holds; how many seconds that took."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        async with asyncio.timeout(wait):
            while not true():
                self.changed.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), 0.05)
        return loop.time() - begun

    async def names(self, *names: str) -> None:
        """Wait until the view has these members and no others."""
        await self.until(lambda: self.view.keys() == set(names))

    async def settled(self) -> None:
        """Wait until the watch is on and was checked."""
        await self.until(lambda: self.source.watcher.state.session.is_proven)


class Relay:
    """A link to an endpoint that can be cut, and be there again."""

    def __init__(self, endpoint: str) -> None:
        self.host, self.port = endpoint.removeprefix("http://").split(":")
        self.writers: set[asyncio.StreamWriter] = set()
        self.up = True
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        self.up = False
        for writer in self.writers:
            writer.transport.abort()

    def stop(self) -> None:
        assert self.server is not None
        self.server.close()
        self.cut()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.up:
            writer.transport.abort()
            return
        far_reader, far_writer = await asyncio.open_connection(self.host, int(self.port))
        self.writers |= {writer, far_writer}
        await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
        self.writers -= {writer, far_writer}

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


# API reference 3.4, WatchCreateRequest.start_revision ("inclusive"); guarantees 3.4: reliable.
def test_no_event_is_missed_between_range_and_watch() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            for i in range(700):  # more than one page
                await cluster.put(key(f"old-{i:03d}"), value())
            put: dict[str, int] = {}
            deleted: dict[str, int] = {}
            left: set[str] = set()
            stop = asyncio.Event()

            async def writer(number: int) -> None:
                count = 0
                while not stop.is_set():
                    name = f"new-{number}-{count}"
                    put[name] = await cluster.put(key(name), value())
                    left.add(name)
                    if count % 2:
                        deleted[name] = await cluster.delete(key(name))
                        left.discard(name)
                    count += 1
                    await asyncio.sleep(0)

            tasks = [asyncio.ensure_future(writer(number)) for number in range(8)]
            await asyncio.sleep(0.1)
            async with Follower(cluster.endpoints) as follower:
                await follower.until(lambda: len(follower.listed) > 30)
                stop.set()
                await asyncio.gather(*tasks)
                await follower.until(lambda: follower.view.keys() >= left)
                end = await cluster.put(key("end"), value())
                await follower.until(lambda: follower.listed[-1].endpoint_list.revision == end)
                first, *rest = [event.endpoint_list for event in follower.listed]
                told = {m.id for listing in rest for m in listing.records}
                gone = {name for listing in rest for name in listing.removed_ids}
                assert first.is_complete and not any(listing.is_complete for listing in rest)
                behind = first.revision
                assert {name for name, at in deleted.items() if at > behind} <= gone
                assert {name for name, at in put.items() if at > behind} <= told | gone
                assert {m.id for m in first.records if m.id.startswith("new")} == {
                    name for name, at in put.items() if at <= behind < deleted.get(name, behind + 1)
                }
                assert follower.view.keys() == left | {"end"} | {f"old-{i:03d}" for i in range(700)}

    run(test)


# API reference 3.4, WatchResponse.compact_revision; the delete at its own compaction: seen, 3.4.23.
@pytest.mark.parametrize("later", [True, False])
def test_compacted_away_while_the_watch_is_broken(later: bool) -> None:
    """A compaction at the very revision of a delete drops it, in etcd 3.4: no watch tells of it any more."""

    async def test() -> None:
        async with EtcdEmulator() as cluster:
            for i in range(6):
                await cluster.put(key(f"s-{i}"), value())
            relay = Relay(cluster.endpoints[0])
            async with Follower([await relay.start()]) as follower:
                await follower.settled()
                relay.cut()
                await cluster.txn({}, [key(f"s-{i}") for i in range(3)])
                if later:
                    await cluster.put("/elsewhere", b"")
                await cluster.compact(await cluster.revision())
                await asyncio.sleep(0.3)
                assert len(follower.view) == 6  # the view stays
                relay.up = True
                await follower.names("s-3", "s-4", "s-5")
                assert follower.wholes == 2 and follower.listed[-1].endpoint_list.is_complete
                await cluster.put(key("s-6"), value())
                await follower.names("s-3", "s-4", "s-5", "s-6")
            relay.stop()

    run(test)


# Guarantees 3.4, reliable: any available event is told; one line for all that gathered: seen, 3.4.23.
def test_megabytes_of_events_after_a_break() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            relay = Relay(cluster.endpoints[0])
            async with Follower([await relay.start()]) as follower:
                await follower.settled()
                relay.cut()
                for i in range(150):
                    await cluster.put(key(f"s-{i}"), value(i + 1, note="x" * 50_000))
                await cluster.delete(key("s-7"))
                relay.up = True
                await follower.names(*(f"s-{i}" for i in range(150) if i != 7))
                assert follower.wholes == 1 and len(follower.listed) > 2  # by the watch, in fragments
            relay.stop()

    run(test)


# API reference 3.4, mvccpb.KeyValue: a value is bytes of any kind; what is read into them is ours.
def test_entries_that_cannot_be_read_cost_themselves_alone() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.put(key("good"), value())
            for i in range(9):  # more than a page may hold together
                await cluster.put(key(f"huge-{i}"), b"x" * 1_200_000)
            await cluster.put(key("text"), b"hello")
            await cluster.put(key("port"), b'{"host_port":"127.0.0.1","phase":"in_service"}')
            await cluster.put(key("a/b"), value())
            await cluster.put(key(""), value())
            async with Follower(cluster.endpoints) as follower:
                await follower.names("good")
                faults = {fault.key for fault in follower.listed[0].endpoint_list.invalid_entries}
                assert faults == {"text", "port", "a/b", "/", *(f"huge-{i}" for i in range(9))}
                await cluster.put(key("good"), b'{"phase":"terminating"}')
                await cluster.put(key("port"), value())
                await follower.names("good", "port")
                faulty = [
                    fault for event in follower.listed[1:] for fault in event.endpoint_list.invalid_entries
                ]
                assert [fault.key for fault in faulty if fault.is_draining] == ["good"]

    run(test)


# API overview 3.4, Watch streams: a client resumes from its last revision; the end's words: seen, 3.4.23.
def test_it_comes_back_after_an_end_and_a_restart() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.put(key("a"), value())
            async with Follower(cluster.endpoints) as follower:
                await follower.settled()
                for end in (cluster.terminate, cluster.kill):
                    await end(0)
                    await follower.until(lambda: follower.last(SourceLost))
                    assert follower.view.keys() == {"a"}
                    await cluster.restart(0)
                    await follower.until(lambda: follower.last(SourceConfirmedCurrent))
                    await cluster.put(key("b"), value())
                    await follower.names("a", "b")
                    await cluster.delete(key("b"))
                    await follower.names("a")
                assert follower.wholes == 1

    run(test)


# Guarantees 3.4, linearizability: a read that is not answered shows nothing; SIGSTOP: seen, 3.4.23.
async def frozen() -> None:
    """A member that falls silent is left for another, without a new list."""
    async with EtcdEmulator(3) as cluster:
        await cluster.put(key("a"), value())
        async with Follower(cluster.endpoints) as follower:
            await follower.settled()
            used = follower.source.watcher.endpoint_index
            cluster.freeze(used)
            await asyncio.sleep(0.2)  # a signal takes effect some time after it was sent
            await cluster.put(key("b"), value())
            assert await follower.until(lambda: "b" in follower.view) < LEFT
            assert follower.source.watcher.endpoint_index != used and follower.wholes == 1
            assert not any(isinstance(event, SourceLost) for event in follower.told)
            cluster.thaw(used)


# API reference 3.4, RangeRequest.serializable: without it a read needs a quorum.
async def alone() -> None:
    """The only member falls silent and comes back."""
    async with EtcdEmulator() as cluster:
        await cluster.put(key("a"), value())
        async with Follower(cluster.endpoints) as follower:
            await follower.settled()
            cluster.freeze(0)
            assert await follower.until(lambda: follower.last(SourceLost)) < LEFT
            assert follower.view.keys() == {"a"}
            cluster.thaw(0)
            await follower.until(lambda: follower.last(SourceConfirmedCurrent))
            assert sum(isinstance(event, SourceLost) for event in follower.told) == 1


# As `frozen`; a member cut off from the others lets watches in and says nothing: seen, 3.4.23.
async def cut_off() -> None:
    """A member without its quorum lives, its watch is open, and it answers reads that ask for no quorum."""
    async with EtcdEmulator(3) as cluster:
        await cluster.put(key("a"), value())
        async with Follower(cluster.endpoints) as follower:
            await follower.settled()
            others = [index for index in range(3) if index != follower.source.watcher.endpoint_index]
            for index in others:
                await cluster.kill(index)
            took = await follower.until(lambda: follower.source.watcher.phase is not WatcherPhase.WATCHING)
            assert took < LEFT
            await follower.until(lambda: follower.last(SourceLost))
            assert follower.view.keys() == {"a"}
            await asyncio.gather(*(cluster.restart(index) for index in others))
            await cluster.put(key("b"), value())
            await follower.names("a", "b")
            assert follower.wholes == 1


def test_who_cannot_show_that_it_is_current_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "CHECK_INTERVAL_MS", CHECK_MS)

    async def test() -> None:
        async with asyncio.TaskGroup() as together:
            for scenario in (frozen, alone, cut_off):
                together.create_task(scenario())

    run(test)


# API overview 3.4, Lease API: keys are deleted when their lease ends; in one revision: seen, 3.4.23.
def test_leases_that_end_are_removals_all_at_once_too(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            short, long = await cluster.grant(1), await cluster.grant(600)
            await cluster.put(key("short"), value(), short)
            for i in range(5):
                await cluster.put(key(f"long-{i}"), value(), long)
            async with Follower(cluster.endpoints) as follower:
                await follower.names("short", *(f"long-{i}" for i in range(5)))
                await follower.names(*(f"long-{i}" for i in range(5)))
                await cluster.revoke(long)
                await follower.names()
        assert "5 of 5 endpoints removed at once" in caplog.text

    run(test)


# Authentication guide 3.4, simple tokens end after auth-token-ttl and with the member that gave them.
def test_auth_tokens_run_out_and_are_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "CHECK_INTERVAL_MS", 2500.0)  # longer than a token lives

    async def test() -> None:
        async with EtcdEmulator(token_ttl_s=1) as cluster:
            await cluster.put(key("a"), value())
            await cluster.enable_auth("reader", "pass-1", PREFIX)
            async with Follower(cluster.endpoints, user="reader", password="pass-1") as follower:
                await follower.names("a")
                token = follower.source._token
                await follower.settled()
                assert token and follower.source._token not in (token, None)
                await cluster.kill(0)  # tokens are gone with it
                await cluster.restart(0)
                await cluster.put(key("b"), value())
                await follower.names("a", "b")
                assert follower.wholes == 1

    run(test)


# Gateway guide 3.4, Authentication; words and codes of the refusal: seen, 3.4.23.
@pytest.mark.parametrize(
    ("settings", "reason"),
    [
        ({}, "user name is empty"),
        ({"user": "reader", "password": "pass-2"}, "authentication failed"),
        ({"user": "reader", "password": "pass-1", "prefix": "/other/"}, "permission denied"),
    ],
)
def test_who_is_not_let_in_is_refused(settings: dict[str, str], reason: str) -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.enable_auth("reader", "pass-1", PREFIX)
            async with Follower(cluster.endpoints, **settings) as follower:
                await follower.until(lambda: follower.last(SourceRejected))
                assert reason in follower.told[-1].reason and "pass-" not in follower.told[-1].reason

    run(test)


# Security model 3.4, client-cert-auth.
def test_tls_on_both_sides(tmp_path: Path) -> None:
    made = make(tmp_path)
    shown = {"cert": str(made.client_cert), "key": str(made.client_key)}

    async def test() -> None:
        async with EtcdEmulator(certificates=made, client_auth=True) as cluster:
            await cluster.put(key("a"), value())
            async with Follower(cluster.endpoints, ca=str(made.ca), **shown) as follower:
                await follower.names("a")
                await cluster.delete(key("a"))
                await follower.names()
                await follower.until(lambda: follower.last(SourceConfirmedCurrent))
            for less in (shown, {"ca": str(made.ca)}):  # trusts nobody, shows nothing
                async with Follower(cluster.endpoints, **less) as follower:
                    await follower.until(lambda: follower.last(SourceLost))
                    assert "certificate" in follower.told[-1].reason.lower() or less != shown

    run(test)


# gRPC naming guide 3.4 (dev-guide/grpc_naming): the JSON of a value, and its key.
def test_grpc_naming() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.put("/svc/1", b'{"Op":0,"Addr":"10.0.0.1:80","Metadata":null}')
            async with Follower(cluster.endpoints, prefix="/svc/", format="grpc-naming") as follower:
                await follower.names("1")
                await cluster.put("/svc/2", b'{"Op":0,"Addr":"10.0.0.2:80","Metadata":{"a":1}}')
                await cluster.put("/svc/1", b'{"Op":1,"Addr":"10.0.0.1:80"}')
                await follower.names("2")

    run(test)


# --- what only the stand-in does when told


def test_old_events_replayed_and_sent_twice() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            for i in range(60):
                await cluster.put(key(f"s-{i % 10}"), value(i + 1))
            async with Follower(cluster.endpoints) as follower:
                await follower.names(*(f"s-{i}" for i in range(10)))
                cluster.duplicate_events(0)
                await cluster.delete(key("s-3"))
                await follower.until(lambda: "s-3" not in follower.view)
                cluster.replay(0, 1)
                await cluster.put(key("end"), value())
                await follower.until(lambda: "end" in follower.view)
                assert "s-3" not in follower.view and follower.view["s-9"].address[1] == 60
                assert [event.endpoint_list.revision for event in follower.listed] == [61, 62, 63]

    run(test)


def test_an_endpoint_that_lags_by_fifty_revisions() -> None:
    async def test() -> None:
        async with EtcdEmulator(2) as cluster:
            for i in range(60):
                await cluster.put(key(f"s-{i % 10}"), value())
            async with Follower(cluster.endpoints) as follower:
                await follower.settled()
                used = follower.source.watcher.endpoint_index
                await cluster.txn({}, [key(f"s-{i}") for i in range(5)])
                await follower.names(*(f"s-{i}" for i in range(5, 10)))
                cluster.lag(1 - used, 50)
                cluster.drop(used)
                await follower.settled()
                assert follower.source.watcher.endpoint_index == used and follower.wholes == 1
                cluster.lag(used, 50)
                cluster.drop(used)
                await follower.until(lambda: follower.last(SourceLost))
                assert "is behind" in follower.told[-1].reason
                cluster.lag(used, 0)
                await follower.until(lambda: follower.last(SourceConfirmedCurrent))
                assert len(follower.view) == 5

    run(test)


def test_a_restored_backup_and_a_new_cluster(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "MIN_REGRESSION_MS", 300.0)

    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.put(key("a"), value())
            backup = cluster.backup()
            await cluster.put(key("b"), value())
            async with Follower(cluster.endpoints) as follower:
                await follower.settled()
                cluster.restore(backup)
                await follower.until(lambda: follower.last(SourceRejected))
                assert "epoch" in follower.told[-1].reason and follower.view.keys() == {"a", "b"}
                async with Follower(cluster.endpoints, epoch=1) as raised:
                    await raised.names("a")
                    assert raised.listed[0].identity.endswith("/1")
                cluster.report_cluster_id(0, 77)
                await follower.names("a")
                assert (
                    follower.listed[-1].identity == "77/0" and follower.listed[-1].endpoint_list.is_complete
                )

    run(test)


@pytest.mark.parametrize("garbage", Garbage)
def test_garbage_in_the_watch_and_in_ranges(garbage: Garbage) -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.put(key("a"), value())
            async with Follower(cluster.endpoints) as follower:
                await follower.settled()
                cluster.send_garbage(0, garbage, key("bad"))
                await cluster.delete(key("a"))
                await cluster.put(key("b"), value())
                await follower.names("b")
                cluster.corrupt_ranges(0, garbage, key("bad"))
                cluster.drop(0)
                await asyncio.sleep(0.2)
                cluster.corrupt_ranges(0, None)
                await cluster.delete(key("b"))
                await follower.names()

    run(test)


def test_a_cancel_for_no_reason_and_fragments() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            cluster.fragment(0, 300)
            async with Follower(cluster.endpoints) as follower:
                await follower.settled()
                for reason, compacted in (("why not", 0), ("", 5)):
                    await cluster.txn({key(f"s-{i}"): value() for i in range(100)}, [])
                    await follower.until(lambda: len(follower.view) == 100)
                    assert follower.view["s-1"].endpoint.phase is MemberPhase.UP
                    await cluster.txn({}, [key(f"s-{i}") for i in range(100)])
                    cluster.cancel(0, reason, compacted)
                    await follower.until(lambda: not follower.view)
                    await follower.settled()

    run(test)
