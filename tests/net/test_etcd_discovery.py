"""Tests of the etcd source on sockets against a scripted gateway: connections, authentication, shutdown."""

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

WAIT_TIMEOUT_S = 20.0  # for any condition that a test waits for
Loop = Callable[[], asyncio.AbstractEventLoop]
LOOPS: list[Loop] = [asyncio.new_event_loop, uvloop.new_event_loop]
Script = Callable[[str, dict[str, str], dict[str, Any]], bytes | None]


def run(test: Callable[[], Awaitable[None]], loop: Loop = LOOPS[1]) -> None:
    """Run the coroutine of a test on an event loop, uvloop by default, with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(2 * WAIT_TIMEOUT_S):
            await test()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(bounded())


def b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def value(port: int = 8080) -> bytes:
    return json.dumps({"host_port": f"10.0.0.1:{port}", "phase": "in_service"}).encode()


CLOSE_CONNECTION = b""


class Stream:
    """An open watch of the gateway."""

    def __init__(self, gateway: Gateway, writer: asyncio.StreamWriter, start: int) -> None:
        self.gateway, self.writer, self.start = gateway, writer, start

    def raw(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def line(self, **result: Any) -> None:
        self.raw(json.dumps({"result": {"header": self.gateway.header} | result}).encode() + b"\n")

    def events(self, *events: tuple[bytes, bytes | None]) -> None:
        """Send the changes of one revision; the value None deletes a key."""
        self.gateway.revision += 1
        at = str(self.gateway.revision)
        rows: list[dict[str, Any]] = []
        for key, new in events:
            kv = {"key": b64(key), "mod_revision": at}
            rows.append({"type": "DELETE", "kv": kv} if new is None else {"kv": kv | {"value": b64(new)}})
        self.line(events=rows)


class Gateway:
    """Responds as etcd does without authentication; `script` may respond first or close the connection.

    `requests` holds the path, headers and body of each request; the header `nth` is added and counts the
    requests on the same connection.
    """

    def __init__(self) -> None:
        self.keys: dict[bytes, bytes] = {}
        self.revision, self.cluster = 10, "1"
        self.requests: list[tuple[str, dict[str, str], dict[str, Any]]] = []
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
        return sum(1 for request in self.requests if request[0] == path)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for number in itertools.count():
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = json.loads(await reader.readexactly(int(fields["content-length"])))
                path, fields["nth"] = head[0].split(" ")[1], str(number)
                self.requests.append((path, fields, body))
                if (out := self.script(path, fields, body)) == CLOSE_CONNECTION:
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
        page = {"kvs": rows, "more": len(found) > limit, "count": str(len(found))}
        return sized({"header": self.header} | page)


def sized(body: dict[str, Any], status: str = "200 OK") -> bytes:
    data = json.dumps(body).encode()
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


def error_response(code: int, text: str, status: str = "400 Bad Request") -> bytes:
    return sized({"error": f"etcdserver: {text}", "message": f"etcdserver: {text}", "code": code}, status)


class Rig:
    """A source and the events that it emitted."""

    def __init__(self, *gateways: Gateway | str, **more: Any) -> None:
        urls = tuple(g if isinstance(g, str) else g.url for g in gateways)
        source_options = {
            name: more.pop(name) for name in ("resume_position", "node_index", "node_count") if name in more
        }
        self.events: asyncio.Queue[object] = asyncio.Queue()
        self.all: list[object] = []
        config = EtcdConfig(urls, more.pop("prefix", "/m/"), **more)
        self.source = EtcdDiscovery(config, self._emit, rng=random.Random(0), **source_options)
        self.source.start()

    def _emit(self, event: object) -> None:
        self.all.append(event)
        self.events.put_nowait(event)

    async def next(self, kind: type) -> Any:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not isinstance(event := await self.events.get(), kind):
                pass
            return event

    def use_first(self, number: int) -> None:
        """Make this endpoint the first one to be used."""
        self.source.watcher.state.selection.endpoint_order = sorted(
            self.source.watcher.state.selection.endpoint_order, key=lambda i: i != number
        )


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture(autouse=True)
def _quick(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Check endpoints often, so that tests do not wait."""
    monkeypatch.setattr(limits, "CHECK_INTERVAL_MS", 30.0)
    yield


@pytest.mark.parametrize("loop", LOOPS)
def test_source_reads_pages_then_watches_over_two_connections(loop: Loop) -> None:
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


def test_deletion_missing_from_the_watch_is_found_by_the_key_count(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(limits, "AUDIT_INTERVAL_MS", 50.0)

    async def test() -> None:
        gateway = await Gateway().start()
        gateway.keys = {b"/m/a": value(1), b"/m/b": value(2)}
        rig = Rig(gateway)
        await rig.next(EndpointsListed)
        stream = await gateway.streams.get()
        del gateway.keys[b"/m/a"]  # compacted at its own revision, so the watch does not report it
        gateway.revision += 1
        stream.events((b"/m/b", value(3)))
        assert (await rig.next(EndpointsListed)).endpoint_list.removed_ids == ()
        listing = (await rig.next(EndpointsListed)).endpoint_list
        assert listing.removed_ids == ("a",) and not listing.is_complete and listing.revision == 12
        assert "key count mismatch: 1 keys in etcd, 2 known" in caplog.text
        rig.source.stop()
        gateway.stop()

    run(test)


def test_stop_closes_connections_and_start_resumes_from_the_last_revision() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        rig = Rig(gateway)
        await rig.next(SourceConfirmedCurrent)
        rig.source.stop()
        rig.source.stop()
        event_count = len(rig.all)
        await until(lambda: not gateway.writers)
        gateway.revision = 9
        rig.source.start()
        rig.source.start()
        assert "behind 10" in (await rig.next(SourceLost)).reason
        gateway.revision = 11
        assert (await rig.next(EndpointsListed)).endpoint_list.revision == 11
        rig.source.stop()
        assert [type(e) for e in rig.all[event_count:]][:2] == [SourceLost, EndpointsListed]
        gateway.stop()

    run(test)


def test_call_on_a_closed_idle_connection_is_repeated() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.keys = {b"/m/s-%04d" % i: value(i + 1) for i in range(1200)}
        # The gateway closes an idle connection at the moment the next call is sent.
        gateway.script = lambda path, head, body: CLOSE_CONNECTION if head["nth"] != "0" else None
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


def test_watch_that_ends_is_resumed_at_its_revision() -> None:
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
        assert sum(1 for path, _, body in gateway.requests if "range_end" in body) == 1
        rig.source.stop()
        gateway.stop()

    run(test)


def test_endpoint_with_an_incomplete_response_is_abandoned(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        slow, healthy = await Gateway().start(), await Gateway().start()
        healthy.keys = {b"/m/a": value()}
        slow.script = lambda path, head, body: slow.page(body)[:-1] if "range_end" in body else None
        rig = Rig(slow, healthy)
        rig.use_first(0)
        start_s = asyncio.get_running_loop().time()
        assert (await rig.next(EndpointsListed)).endpoint_list.records[0].id == "a"
        assert asyncio.get_running_loop().time() - start_s < 5
        assert "abandoned: no answer in 3000 ms while listing" in caplog.text and slow.url in caplog.text
        await until(lambda: not slow.writers)
        rig.source.stop()
        for gateway in (slow, healthy):
            gateway.stop()

    run(test)


def test_unreachable_endpoint_or_missing_tls_handshake_selects_another_endpoint() -> None:
    async def test() -> None:
        healthy, unreachable = await Gateway().start(), await Gateway().start()
        unreachable.stop()
        silent_server = await asyncio.start_server(
            lambda reader, writer: asyncio.sleep(WAIT_TIMEOUT_S), "127.0.0.1", 0
        )
        silent_url = f"https://127.0.0.1:{silent_server.sockets[0].getsockname()[1]}"
        rig = Rig(unreachable.url, silent_url, healthy)
        rig.use_first(1)
        start_s = asyncio.get_running_loop().time()
        await rig.next(EndpointsListed)
        assert asyncio.get_running_loop().time() - start_s < 5
        rig.source.stop()
        rig = Rig(silent_url)
        assert "no connection: timed out" in (await rig.next(SourceLost)).reason
        rig.source.stop()
        silent_server.close()
        healthy.stop()

    run(test)


def test_endpoint_with_host_name_and_connection_close_is_used() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        ends = b"Connection: close\r\nContent-Length"
        gateway.script = lambda path, head, body: (
            gateway.page(body).replace(b"Content-Length", ends) if path == "/v3/kv/range" else None
        )
        rig = Rig(gateway.url.replace("127.0.0.1", "localhost"))
        for _ in range(3):
            await rig.next(SourceConfirmedCurrent)
        assert gateway.requests[0][1]["host"].startswith("localhost:") and gateway.connections >= 5
        rig.source.stop()
        gateway.stop()

    run(test)


def test_rejected_snapshot_is_retried_in_the_time_slot_of_the_node() -> None:
    """Retries wait for Retry-After plus a time slot, since other nodes were rejected as well.

    The slots of 100 nodes span 125 ms at first and then 250 ms.
    """

    async def test() -> None:
        gateway, request_times_s = await Gateway().start(), list[float]()

        def script(path: str, head: dict[str, str], body: dict[str, Any]) -> bytes | None:
            if "range_end" not in body:
                return None
            request_times_s.append(asyncio.get_running_loop().time())
            response_parts = error_response(8, "too many requests", "429 Too Many Requests").partition(
                b"\r\n"
            )
            return (
                b"%b\r\nRetry-After: 1\r\n%b" % (response_parts[0], response_parts[2])
                if len(request_times_s) == 1
                else None
            )

        gateway.script = script
        start_s = asyncio.get_running_loop().time()
        rig = Rig(gateway, bears=1_000, node_index=1, node_count=100)
        await rig.next(EndpointsListed)
        assert (
            len(request_times_s) == 2
            and request_times_s[0] - start_s >= 0.07
            and request_times_s[1] - request_times_s[0] >= 1.14
        )
        rig.source.stop()
        # The first node and a single node start at once.
        assert (
            Rig(gateway, bears=1, node_index=0, node_count=100).source.watcher.phase is WatcherPhase.CHECKING
        )
        assert Rig(gateway, bears=1, node_index=7, node_count=1).source.watcher.phase is WatcherPhase.CHECKING
        gateway.stop()

    run(test)


def test_invalid_watch_data_is_followed_by_a_snapshot() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        rig = Rig(gateway)
        await rig.next(EndpointsListed)
        for invalid_data in (b"{what?}\n", b'{"result":{}}\n', b" " * (9 << 20)):
            (await gateway.streams.get()).raw(invalid_data)
            gateway.revision += 1
            listing = (await rig.next(EndpointsListed)).endpoint_list
            assert listing.is_complete and listing.revision == gateway.revision
        rig.source.stop()
        gateway.stop()

    run(test)


def test_canceled_watch_is_closed_by_the_source() -> None:
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


class AuthenticationScript:
    """A gateway script with authentication on: counts logins and accepts only the token `valid`."""

    def __init__(self, password: str = "secret-1") -> None:
        self.password, self.logins, self.valid = password, 0, ""

    def __call__(self, path: str, head: dict[str, str], body: dict[str, Any]) -> bytes | None:
        if path == "/v3/auth/authenticate":
            if body != {"name": "reader", "password": self.password}:
                return error_response(3, "authentication failed, invalid user ID or password")
            self.logins += 1
            self.valid = f"token.{self.logins}"
            return sized({"header": {}, "token": self.valid})
        if "authorization" not in head:
            return error_response(3, "user name is empty")
        is_valid = head["authorization"] == self.valid
        return None if is_valid else error_response(16, "invalid auth token", "401 Unauthorized")


def test_expired_token_is_renewed_without_restarting_the_watch(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.script = authentication = AuthenticationScript()
        rig = Rig(gateway, user="reader", password="secret-1")
        await rig.next(SourceConfirmedCurrent)
        assert authentication.logins == 1
        authentication.valid = "another"
        await until(lambda: authentication.logins == 2)
        rig.all.clear()
        await rig.next(SourceConfirmedCurrent)
        await rig.next(SourceConfirmedCurrent)
        assert authentication.logins == 2 and gateway.count("/v3/watch") == 1
        assert SourceLost not in map(type, rig.all)
        rig.source.stop()
        gateway.stop()

    with caplog.at_level(logging.DEBUG):
        run(test)
    assert "secret-1" not in caplog.text and "token." not in caplog.text


def test_authentication_enabled_later_is_followed_by_a_login() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.script = lambda path, head, body: (
            error_response(9, "authentication is not enabled") if path == "/v3/auth/authenticate" else None
        )
        rig = Rig(gateway, user="reader", password="secret-1")
        await rig.next(SourceConfirmedCurrent)
        assert gateway.count("/v3/auth/authenticate") == 1
        gateway.script = authentication = AuthenticationScript()
        await until(lambda: authentication.logins == 1)
        await rig.next(SourceConfirmedCurrent)
        rig.source.stop()
        gateway.stop()

    run(test)


def test_wrong_password_is_reported_but_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.script = AuthenticationScript("another")
        rig = Rig(gateway, user="reader", password="secret-1")
        rejection = await rig.next(SourceRejected)
        assert "authentication failed" in rejection.reason
        assert "secret-1" not in repr(rig.source.config) + repr(rig.source.watcher) + repr(rig.all)
        await asyncio.sleep(1)
        assert gateway.count("/v3/auth/authenticate") < 8  # with backoff, starting at 0.2 s
        assert len([e for e in rig.all if isinstance(e, SourceRejected)]) == 1
        rig.source.stop()
        gateway.stop()

    with caplog.at_level(logging.DEBUG):
        run(test)
    assert "secret-1" not in caplog.text and "authentication failed" in caplog.text


def test_missing_user_rejects_the_source() -> None:
    async def test() -> None:
        gateway = await Gateway().start()
        gateway.script = AuthenticationScript()
        rig = Rig(gateway)
        assert "user name is empty" in (await rig.next(SourceRejected)).reason
        rig.source.stop()
        gateway.stop()

    run(test)


def test_ten_thousand_members_are_parsed_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    read, max_parsed_per_turn = 0, [0]

    def counting_parse(*args: Any) -> Any:
        nonlocal read
        read += 1
        return parse_entry(*args)

    async def turns() -> None:
        nonlocal read
        while True:
            max_parsed_per_turn[0], read = max(max_parsed_per_turn[0], read), 0
            await asyncio.sleep(0)

    async def test() -> None:
        gateway = await Gateway().start()
        gateway.keys = {b"/m/s-%05d" % i: value(i % 60_000 + 1) for i in range(10_000)}
        ticker = asyncio.ensure_future(turns())
        rig = Rig(gateway)
        assert len((await rig.next(EndpointsListed)).endpoint_list.records) == 10_000
        assert max_parsed_per_turn[0] <= etcd.PARSE_SLICE_ENTRIES
        (await gateway.streams.get()).events(*((key, None) for key in gateway.keys))
        removed_ids: set[str] = set()
        while len(removed_ids) < 10_000:
            removed_ids |= set((await rig.next(EndpointsListed)).endpoint_list.removed_ids)
        assert max_parsed_per_turn[0] < 10_000
        ticker.cancel()
        rig.source.stop()
        gateway.stop()

    monkeypatch.setattr("balancer.net.discovery.etcd.parse_entry", counting_parse)
    monkeypatch.setattr(limits, "CHECK_INTERVAL_MS", 1000.0)
    run(test)


def test_invalid_settings_raise(tmp_path: Path) -> None:
    invalid_file = tmp_path / "rubbish.pem"
    invalid_file.write_text("rubbish")
    events: list[object] = []

    def make(url: str = "https://h:1", **more: Any) -> EtcdDiscovery:
        return EtcdDiscovery(EtcdConfig((url,), "/m/", **more), events.append)

    make()
    for ca in (str(invalid_file), str(tmp_path / "none.pem")):
        with pytest.raises(ValueError, match=r"ca .*pem"):
            make(ca=ca)
    with pytest.raises(ValueError, match=r"cert .*rubbish"):
        make(cert=str(invalid_file), key=str(invalid_file))
    bad = ("", "h:1", "http://h", "ftp://h:1", "http://h:99999", "http://h:1/v3", "http://:1", "http://[::1")
    for url in bad:
        with pytest.raises(ValueError, match="HOST:PORT"):
            make(url)
    with pytest.raises(ValueError) as caught:
        make("http://reader:secret-1@h:1")
    assert "secret-1" not in str(caught.value)
    assert parse_endpoint_url("https://[::1]:2379/") == ("::1", 2379, True)
    with pytest.raises(ValueError, match="the etcd watcher needs at least one endpoint"):
        EtcdDiscovery(EtcdConfig((), "/m/"), events.append)


def test_invalid_host_name_is_reported_as_no_connection(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a traceback, and against reporting the wrong reason for an unusable endpoint."""

    async def test() -> None:
        rig = Rig("http://a..b:1", "http://" + "x" * 64 + ":1")
        reason = (await rig.next(SourceLost)).reason
        assert reason.count("no connection") == 2
        rig.source.stop()

    with caplog.at_level(logging.ERROR):
        run(test)
    assert not caplog.records


def test_login_during_a_hanging_read_leaves_no_connection_open() -> None:
    async def test() -> None:
        gateway, is_hanging = await Gateway().start(), False

        def script(path: str, head: dict[str, str], body: dict[str, Any]) -> bytes | None:
            if path == "/v3/auth/authenticate":
                return sized({"header": gateway.header, "token": "t"})
            return b"HTTP/1.1 100 Continue\r\n\r\n" if is_hanging else None

        gateway.script = script
        rig = Rig(gateway, user="u", password="p")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            stream = await gateway.streams.get()
        await rig.next(SourceConfirmedCurrent)
        is_hanging, count = True, gateway.count("/v3/kv/range")
        await until(lambda: gateway.count("/v3/kv/range") > count)
        stream.line(canceled=True, cancel_reason="etcdserver: invalid auth token")
        await until(lambda: gateway.count("/v3/watch") == 2)
        rig.source.stop()
        await until(lambda: not gateway.writers)
        gateway.stop()

    run(test)
