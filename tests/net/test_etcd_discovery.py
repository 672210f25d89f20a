"""The source on sockets, against a small gateway that each test scripts: connections, log-ins, its end."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import logging
import random
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import uvloop

from balancer.core.discovery.endpoint_merger import (
    EndpointsListed,
    SourceConfirmedCurrent,
    SourceLost,
    SourceRejected,
)
from balancer.core.discovery.etcd_watcher import limits
from balancer.core.discovery.etcd_watcher.config import EtcdConfig, parse_endpoint_url
from balancer.core.discovery.etcd_watcher.state import WatcherPhase
from balancer.net.discovery import etcd
from balancer.net.discovery.etcd import EtcdDiscovery
from balancer.protocol.etcd_entry import parse_entry

WAIT = 20.0  # s until a test that waits for something that does not come fails
Loop = Callable[[], asyncio.AbstractEventLoop]
LOOPS: list[Loop] = [asyncio.new_event_loop, uvloop.new_event_loop]
Script = Callable[[str, dict[str, str], dict[str, Any]], bytes | None]


def run(test: Callable[[], Awaitable[None]], loop: Loop = LOOPS[1]) -> None:
    """Run a test's coroutine on the daemon's loop, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(2 * WAIT):
            await test()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(bounded())


def b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def value(port: int = 8080) -> bytes:
    return json.dumps({"host_port": f"10.0.0.1:{port}", "phase": "in_service"}).encode()


HANG_UP = b""


class Stream:
    """A watch that is open."""

    def __init__(self, gateway: Gateway, writer: asyncio.StreamWriter, start: int) -> None:
        self.gateway, self.writer, self.start = gateway, writer, start

    def raw(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def line(self, **result: Any) -> None:
        self.raw(json.dumps({"result": {"header": self.gateway.header} | result}).encode() + b"\n")

    def events(self, *events: tuple[bytes, bytes | None]) -> None:
        """One revision's changes; None deletes."""
        self.gateway.revision += 1
        at = str(self.gateway.revision)
        rows: list[dict[str, Any]] = []
        for key, new in events:
            kv = {"key": b64(key), "mod_revision": at}
            rows.append({"type": "DELETE", "kv": kv} if new is None else {"kv": kv | {"value": b64(new)}})
        self.line(events=rows)


class Gateway:
    """Answers as etcd does with auth off; `script` may answer a call first, or hang up.

    `asked` holds paths, headers (`nth`: of the calls on its connection) and bodies.
    """

    def __init__(self) -> None:
        self.keys: dict[bytes, bytes] = {}
        self.revision, self.cluster = 10, "1"
        self.asked: list[tuple[str, dict[str, str], dict[str, Any]]] = []
        self.streams: asyncio.Queue[Stream] = asyncio.Queue()
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.script: Script = lambda path, head, body: None
        self.server: asyncio.Server | None = None
        self.url = ""

    @property
    def header(self) -> dict[str, str]:
        return {"cluster_id": self.cluster, "revision": str(self.revision), "raft_term": "2"}

    async def start(self) -> Gateway:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def stop(self) -> None:
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def count(self, path: str) -> int:
        return sum(1 for asked in self.asked if asked[0] == path)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for number in itertools.count():
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = json.loads(await reader.readexactly(int(fields["content-length"])))
                path, fields["nth"] = head[0].split(" ")[1], str(number)
                self.asked.append((path, fields, body))
                if (out := self.script(path, fields, body)) == HANG_UP:
                    break
                if out is not None:
                    writer.write(out)
                elif path == "/v3/watch":
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    stream = Stream(self, writer, int(body["create_request"]["start_revision"]))
                    stream.line(created=True)
                    self.streams.put_nowait(stream)
                else:
                    writer.write(self.page(body))
        self.writers.discard(writer)
        writer.close()

    def page(self, body: dict[str, Any]) -> bytes:
        if "range_end" not in body:
            return sized({"header": self.header})
        first = base64.b64decode(body["key"])
        found = sorted(key for key in self.keys if key >= first)
        if body.get("count_only"):
            return sized({"header": self.header, "count": str(len(found))})
        limit = body["limit"]
        rows = [{"key": b64(k), "value": b64(self.keys[k]), "mod_revision": "9"} for k in found[:limit]]
        told = {"kvs": rows, "more": len(found) > limit, "count": str(len(found))}
        return sized({"header": self.header} | told)


def sized(body: dict[str, Any], status: str = "200 OK") -> bytes:
    data = json.dumps(body).encode()
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


def refused(code: int, text: str, status: str = "400 Bad Request") -> bytes:
    return sized({"error": f"etcdserver: {text}", "message": f"etcdserver: {text}", "code": code}, status)


class Rig:
    """A source, and what it told."""

    def __init__(self, *gateways: Gateway | str, **more: Any) -> None:
        urls = tuple(g if isinstance(g, str) else g.url for g in gateways)
        mine = {
            name: more.pop(name) for name in ("resume_position", "node_index", "node_count") if name in more
        }
        self.told: asyncio.Queue[object] = asyncio.Queue()
        self.all: list[object] = []
        config = EtcdConfig(urls, more.pop("prefix", "/m/"), **more)
        self.source = EtcdDiscovery(config, self._emit, rng=random.Random(0), **mine)
        self.source.start()

    def _emit(self, event: object) -> None:
        self.all.append(event)
        self.told.put_nowait(event)

    async def next(self, kind: type) -> Any:
        async with asyncio.timeout(WAIT):
            while not isinstance(event := await self.told.get(), kind):
                pass
            return event

    def first(self, number: int) -> None:
        """Ask this endpoint first."""
        self.source.watcher.state.selection.endpoint_order = sorted(
            self.source.watcher.state.selection.endpoint_order, key=lambda i: i != number
        )


async def until(true: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT):
        while not true():
            await asyncio.sleep(0.005)


@pytest.fixture(autouse=True)
def _quick(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Check often, so that tests need not wait."""
    monkeypatch.setattr(limits, "CHECK_INTERVAL_MS", 30.0)
    yield


@pytest.mark.parametrize("loop", LOOPS)
def test_pages_then_a_watch_over_two_connections(loop: Loop) -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.keys = {b"/m/s-%04d" % i: value(i + 1) for i in range(1200)} | {b"/m/a/b": value()}
        rig = Rig(gateway)
        listing = (await rig.next(EndpointsListed)).endpoint_list
        assert listing.is_complete and listing.revision == 10 and len(listing.records) == 1200
        assert [f.key for f in listing.invalid_entries] == ["a/b"]
        stream = await gateway.streams.get()
        assert stream.start == 10
        stream.events((b"/m/s-0007", None), (b"/m/s-0008", value(99)))
        changes = (await rig.next(EndpointsListed)).endpoint_list
        assert changes.removed_ids == ("s-0007",) and changes.records[0].address == ("10.0.0.1", 99)
        for _ in range(5):
            await rig.next(SourceConfirmedCurrent)
        assert gateway.connections == 2 and gateway.count("/v3/kv/range") >= 9
        rig.source.stop()
        gateway.stop()

    run(test, loop)


def test_a_deletion_that_the_watch_never_tells_is_found_by_a_count(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(limits, "AUDIT_INTERVAL_MS", 50.0)

    async def test() -> None:
        gateway = await Gateway().start()
        gateway.keys = {b"/m/a": value(1), b"/m/b": value(2)}
        rig = Rig(gateway)
        await rig.next(EndpointsListed)
        stream = await gateway.streams.get()
        del gateway.keys[b"/m/a"]  # compacted away at its own revision: the watch says nothing of it
        gateway.revision += 1
        stream.events((b"/m/b", value(3)))
        assert (await rig.next(EndpointsListed)).endpoint_list.removed_ids == ()
        listing = (await rig.next(EndpointsListed)).endpoint_list
        assert listing.removed_ids == ("a",) and not listing.is_complete and listing.revision == 12
        assert "key count mismatch: 1 keys in etcd, 2 known" in caplog.text
        rig.source.stop()
        gateway.stop()

    run(test)


def test_stop_closes_all_and_start_goes_on_from_what_was_seen() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        rig = Rig(gateway)
        await rig.next(SourceConfirmedCurrent)
        rig.source.stop()
        rig.source.stop()
        told = len(rig.all)
        await until(lambda: not gateway.writers)
        gateway.revision = 9
        rig.source.start()
        rig.source.start()
        assert "behind 10" in (await rig.next(SourceLost)).reason
        gateway.revision = 11
        assert (await rig.next(EndpointsListed)).endpoint_list.revision == 11
        rig.source.stop()
        assert [type(e) for e in rig.all[told:]][:2] == [SourceLost, EndpointsListed]
        gateway.stop()

    run(test)


def test_a_kept_connection_that_was_closed_meanwhile_costs_nothing() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.keys = {b"/m/s-%04d" % i: value(i + 1) for i in range(1200)}
        # Each call crosses the close of what was an idle connection.
        gateway.script = lambda path, head, body: HANG_UP if head["nth"] != "0" else None
        rig = Rig(gateway)
        await rig.next(SourceConfirmedCurrent)
        await rig.next(SourceConfirmedCurrent)
        assert [type(event) for event in rig.all] == [
            EndpointsListed,
            SourceConfirmedCurrent,
            SourceConfirmedCurrent,
        ] and gateway.connections >= 6
        rig.source.stop()
        gateway.stop()

    run(test)


def test_a_watch_that_just_ends_is_taken_up_where_it_was() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        rig = Rig(gateway)
        await rig.next(EndpointsListed)
        stopped = b'{"error":{"message":"etcdserver: server stopped"}}'
        for cut in (b"", b'{"result":{"header":{"clus', stopped):
            stream = await gateway.streams.get()
            stream.events((b"/m/a", value()))
            await rig.next(EndpointsListed)
            await rig.next(SourceConfirmedCurrent)
            if cut:
                stream.raw(cut)
            stream.writer.close()
        assert (await gateway.streams.get()).start == 13
        assert sum(1 for path, _, body in gateway.asked if "range_end" in body) == 1
        rig.source.stop()
        gateway.stop()

    run(test)


def test_an_answer_that_trickles_and_one_that_never_ends(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        slow, good = await Gateway().start(), await Gateway().start()
        good.keys = {b"/m/a": value()}
        slow.script = lambda path, head, body: slow.page(body)[:-1] if "range_end" in body else None
        rig = Rig(slow, good)
        rig.first(0)
        begun = asyncio.get_running_loop().time()
        assert (await rig.next(EndpointsListed)).endpoint_list.records[0].id == "a"
        assert asyncio.get_running_loop().time() - begun < 5
        assert "abandoned: no answer in 3000 ms while listing" in caplog.text and slow.url in caplog.text
        await until(lambda: not slow.writers)
        rig.source.stop()
        for gateway in (slow, good):
            gateway.stop()

    run(test)


def test_an_endpoint_that_is_not_there_and_one_that_shakes_no_hands() -> None:
    async def test() -> None:
        good, gone = await Gateway().start(), await Gateway().start()
        gone.stop()
        mute = await asyncio.start_server(lambda reader, writer: asyncio.sleep(WAIT), "127.0.0.1", 0)
        silent = f"https://127.0.0.1:{mute.sockets[0].getsockname()[1]}"
        rig = Rig(gone.url, silent, good)
        rig.first(1)
        begun = asyncio.get_running_loop().time()
        await rig.next(EndpointsListed)
        assert asyncio.get_running_loop().time() - begun < 5
        rig.source.stop()
        rig = Rig(silent)
        assert "no connection: timed out" in (await rig.next(SourceLost)).reason
        rig.source.stop()
        mute.close()
        good.stop()

    run(test)


def test_an_endpoint_may_be_a_name_and_say_that_it_ends_each_connection() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        ends = b"Connection: close\r\nContent-Length"
        gateway.script = lambda path, head, body: (
            gateway.page(body).replace(b"Content-Length", ends) if path == "/v3/kv/range" else None
        )
        rig = Rig(gateway.url.replace("127.0.0.1", "localhost"))
        for _ in range(3):
            await rig.next(SourceConfirmedCurrent)
        assert gateway.asked[0][1]["host"].startswith("localhost:") and gateway.connections >= 5
        rig.source.stop()
        gateway.stop()

    run(test)


def test_a_refused_list_is_asked_for_again_at_a_turn_of_its_own() -> None:
    """Not before the advice, nor right then, as others were refused, too: 100 nodes take 125 ms, then 250."""

    async def test() -> None:
        gateway, asked = await Gateway().start(), list[float]()

        def script(path: str, head: dict[str, str], body: dict[str, Any]) -> bytes | None:
            if "range_end" not in body:
                return None
            asked.append(asyncio.get_running_loop().time())
            busy = refused(8, "too many requests", "429 Too Many Requests").partition(b"\r\n")
            return b"%b\r\nRetry-After: 1\r\n%b" % (busy[0], busy[2]) if len(asked) == 1 else None

        gateway.script = script
        begun = asyncio.get_running_loop().time()
        rig = Rig(gateway, bears=1_000, node_index=1, node_count=100)
        await rig.next(EndpointsListed)
        assert len(asked) == 2 and asked[0] - begun >= 0.07 and asked[1] - asked[0] >= 1.14
        rig.source.stop()
        # The first of the nodes, and one that is alone, ask at once.
        assert (
            Rig(gateway, bears=1, node_index=0, node_count=100).source.watcher.phase is WatcherPhase.CHECKING
        )
        assert Rig(gateway, bears=1, node_index=7, node_count=1).source.watcher.phase is WatcherPhase.CHECKING
        gateway.stop()

    run(test)


def test_garbage_in_the_watch_is_followed_by_a_whole_list() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        rig = Rig(gateway)
        await rig.next(EndpointsListed)
        for spoil in (b"{what?}\n", b'{"result":{}}\n', b" " * (9 << 20)):
            (await gateway.streams.get()).raw(spoil)
            gateway.revision += 1
            listing = (await rig.next(EndpointsListed)).endpoint_list
            assert listing.is_complete and listing.revision == gateway.revision
        rig.source.stop()
        gateway.stop()

    run(test)


def test_a_canceled_watch_is_closed_by_this_side() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        rig = Rig(gateway)
        await rig.next(EndpointsListed)
        stream = await gateway.streams.get()
        stream.line(canceled=True, compact_revision="11")
        gateway.revision = 15
        assert (await rig.next(EndpointsListed)).endpoint_list.revision == 15
        assert (await gateway.streams.get()).start == 15
        await until(lambda: stream.writer not in gateway.writers)
        rig.source.stop()
        gateway.stop()

    run(test)


class Locked:
    """A gateway's script: auth is on, tokens are counted, `valid` is the one let in."""

    def __init__(self, password: str = "secret-1") -> None:
        self.password, self.logins, self.valid = password, 0, ""

    def __call__(self, path: str, head: dict[str, str], body: dict[str, Any]) -> bytes | None:
        if path == "/v3/auth/authenticate":
            if body != {"name": "reader", "password": self.password}:
                return refused(3, "authentication failed, invalid user ID or password")
            self.logins += 1
            self.valid = f"token.{self.logins}"
            return sized({"header": {}, "token": self.valid})
        if "authorization" not in head:
            return refused(3, "user name is empty")
        ok = head["authorization"] == self.valid
        return None if ok else refused(16, "invalid auth token", "401 Unauthorized")


def test_a_token_is_renewed_and_the_watch_left_alone(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.script = locked = Locked()
        rig = Rig(gateway, user="reader", password="secret-1")
        await rig.next(SourceConfirmedCurrent)
        assert locked.logins == 1
        locked.valid = "another"
        await until(lambda: locked.logins == 2)
        rig.all.clear()
        await rig.next(SourceConfirmedCurrent)
        await rig.next(SourceConfirmedCurrent)
        assert locked.logins == 2 and gateway.count("/v3/watch") == 1
        assert SourceLost not in map(type, rig.all)
        rig.source.stop()
        gateway.stop()

    with caplog.at_level(logging.DEBUG):
        run(test)
    assert "secret-1" not in caplog.text and "token." not in caplog.text


def test_auth_that_is_turned_on_later() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.script = lambda path, head, body: (
            refused(9, "authentication is not enabled") if path == "/v3/auth/authenticate" else None
        )
        rig = Rig(gateway, user="reader", password="secret-1")
        await rig.next(SourceConfirmedCurrent)
        assert gateway.count("/v3/auth/authenticate") == 1
        gateway.script = locked = Locked()
        await until(lambda: locked.logins == 1)
        await rig.next(SourceConfirmedCurrent)
        rig.source.stop()
        gateway.stop()

    run(test)


def test_a_wrong_password_is_said_and_never_shown(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.script = Locked("another")
        rig = Rig(gateway, user="reader", password="secret-1")
        told = await rig.next(SourceRejected)
        assert "authentication failed" in told.reason
        assert "secret-1" not in repr(rig.source.config) + repr(rig.source.watcher) + repr(rig.all)
        await asyncio.sleep(1)
        assert gateway.count("/v3/auth/authenticate") < 8  # with back-off, from 0.2 s on
        assert len([e for e in rig.all if isinstance(e, SourceRejected)]) == 1
        rig.source.stop()
        gateway.stop()

    with caplog.at_level(logging.DEBUG):
        run(test)
    assert "secret-1" not in caplog.text and "authentication failed" in caplog.text


def test_nobody_to_log_in_as() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.script = Locked()
        rig = Rig(gateway)
        assert "user name is empty" in (await rig.next(SourceRejected)).reason
        rig.source.stop()
        gateway.stop()

    run(test)


def test_ten_thousand_members_are_read_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    read, most = 0, [0]

    def counted(*args: Any) -> Any:
        nonlocal read
        read += 1
        return parse_entry(*args)

    async def turns() -> None:
        nonlocal read
        while True:
            most[0], read = max(most[0], read), 0
            await asyncio.sleep(0)

    async def test() -> None:
        gateway = await Gateway().start()
        gateway.keys = {b"/m/s-%05d" % i: value(i % 60_000 + 1) for i in range(10_000)}
        ticker = asyncio.ensure_future(turns())
        rig = Rig(gateway)
        assert len((await rig.next(EndpointsListed)).endpoint_list.records) == 10_000
        assert most[0] <= etcd.PARSE_SLICE_ENTRIES
        (await gateway.streams.get()).events(*((key, None) for key in gateway.keys))
        gone: set[str] = set()
        while len(gone) < 10_000:
            gone |= set((await rig.next(EndpointsListed)).endpoint_list.removed_ids)
        assert most[0] < 10_000
        ticker.cancel()
        rig.source.stop()
        gateway.stop()

    monkeypatch.setattr("balancer.net.discovery.etcd.parse_entry", counted)
    monkeypatch.setattr(limits, "CHECK_INTERVAL_MS", 1000.0)
    run(test)


def test_settings_that_make_no_sense(tmp_path: Path) -> None:
    rubbish = tmp_path / "rubbish.pem"
    rubbish.write_text("rubbish")
    told: list[object] = []

    def make(url: str = "https://h:1", **more: Any) -> EtcdDiscovery:
        return EtcdDiscovery(EtcdConfig((url,), "/m/", **more), told.append)

    make()
    for ca in (str(rubbish), str(tmp_path / "none.pem")):
        with pytest.raises(ValueError, match=r"ca .*pem"):
            make(ca=ca)
    with pytest.raises(ValueError, match=r"cert .*rubbish"):
        make(cert=str(rubbish), key=str(rubbish))
    bad = ("", "h:1", "http://h", "ftp://h:1", "http://h:99999", "http://h:1/v3", "http://:1", "http://[::1")
    for url in bad:
        with pytest.raises(ValueError, match="HOST:PORT"):
            make(url)
    with pytest.raises(ValueError) as caught:
        make("http://reader:secret-1@h:1")
    assert "secret-1" not in str(caught.value)
    assert parse_endpoint_url("https://[::1]:2379/") == ("::1", 2379, True)
    with pytest.raises(ValueError, match="no endpoint"):
        EtcdDiscovery(EtcdConfig((), "/m/"), told.append)


def test_a_name_that_no_look_up_takes_is_said(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a traceback, and an endpoint that is left for a reason that is not its own."""

    async def test() -> None:
        rig = Rig("http://a..b:1", "http://" + "x" * 64 + ":1")
        reason = (await rig.next(SourceLost)).reason
        assert reason.count("no connection") == 2
        rig.source.stop()

    with caplog.at_level(logging.ERROR):
        run(test)
    assert not caplog.records


def test_a_log_in_beside_a_read_that_hangs_leaves_no_connection_behind() -> None:
    async def test() -> None:
        gateway, held = await Gateway().start(), False

        def script(path: str, head: dict[str, str], body: dict[str, Any]) -> bytes | None:
            if path == "/v3/auth/authenticate":
                return sized({"header": gateway.header, "token": "t"})
            return b"HTTP/1.1 100 Continue\r\n\r\n" if held else None

        gateway.script = script
        rig = Rig(gateway, user="u", password="p")
        async with asyncio.timeout(WAIT):
            stream = await gateway.streams.get()
        await rig.next(SourceConfirmedCurrent)
        held, count = True, gateway.count("/v3/kv/range")
        await until(lambda: gateway.count("/v3/kv/range") > count)
        stream.line(canceled=True, cancel_reason="etcdserver: invalid auth token")
        await until(lambda: gateway.count("/v3/watch") == 2)
        rig.source.stop()
        await until(lambda: not gateway.writers)
        gateway.stop()

    run(test)
