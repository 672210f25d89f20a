"""Tests that the etcd emulator responds on the wire as etcd's JSON gateway does.

The comment above each test names its source: "API reference", "gateway guide" and similar are pages of the
etcd 3.4 documentation; "observed" is the behavior of etcd 3.4.23 when these tests ran against it.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import Any

import pytest

from balancer.testbed.certificates import make
from balancer.testbed.etcd.client import (
    Call,
    EtcdError,
    b64,
    prefix_range,
    send_request,
)
from balancer.testbed.etcd.cluster import EtcdCluster
from balancer.testbed.etcd.standin import EtcdEmulator
from tests.testbed.conftest import run

QUIET_S = 0.15  # without data, after which a stream counts as silent


def masked(value: Any) -> Any:
    """Remove the ids that differ between clusters; a header must hold all of them."""
    if isinstance(value, list):
        return [masked(one) for one in value]
    if not isinstance(value, dict):
        return value
    out = {name: masked(one) for name, one in value.items()}
    if "cluster_id" in out:
        ids = [out.pop(name) for name in ("cluster_id", "member_id", "raft_term")]
        assert all(isinstance(one, str) and int(one) > 0 for one in ids)
    return out


def header(revision: int) -> dict[str, object]:
    return {"header": {"revision": str(revision)}}


def kv(key: str, created: int, modified: int, version: int, value: str = "", **more: str) -> dict[str, str]:
    out = {"key": b64(key), "create_revision": str(created), "mod_revision": str(modified)}
    out |= {"version": str(version)}
    return out | ({"value": b64(value)} if value else {}) | more


def delete_event(key: str, revision: int) -> dict[str, object]:
    return {"type": "DELETE", "kv": {"key": b64(key), "mod_revision": str(revision)}}


def error(message: str, code: int) -> dict[str, object]:
    return {"error": message, "message": message, "code": code}


async def call(cluster: EtcdCluster, path: str, body: object, **more: Any) -> tuple[int, Any]:
    """Call the first member, check the framing and return the status code and masked response."""
    got = await send_request(cluster.endpoints[0], path, body, context=cluster.context, **more)
    assert got.headers["content-type"] == "application/json"
    if got.code != 200:
        assert ("content-length" in got.headers) != ("trailer" in got.headers)
    elif len(got.body) > 2048 or path == "/v3/lease/keepalive":
        assert got.headers["transfer-encoding"] == "chunked"
    else:
        assert int(got.headers["content-length"]) == len(got.body)
    return got.code, masked(got.json)


async def watch(cluster: EtcdCluster, prefix: str = "", member: int = 0, **more: Any) -> Call:
    """Open a watch of a prefix and read its `created` message."""
    token, headers = more.pop("token", ""), more.pop("headers", None)
    body = {"create_request": {**prefix_range(prefix), **more}}
    endpoint = cluster.endpoints[member]
    out = await Call.open(endpoint, "/v3/watch", body, token, cluster.context, headers=headers)
    assert await out.head() == 200
    message = masked(await out.message())["result"]
    assert message.pop("created") is True
    out.first = message  # type: ignore[attr-defined]
    return out


async def next_message(stream: Call) -> dict[str, Any]:
    """Return the next message of a stream, masked."""
    out = masked(await stream.message())
    assert isinstance(out, dict)
    return out


async def is_silent(stream: Call) -> bool:
    """Whether nothing arrives for `QUIET_S`, not even the end of the stream."""
    return await _times_out(stream.line())


async def is_still_open(stream: Call) -> bool:
    """Whether the connection stays open for `QUIET_S`."""
    return await _times_out(stream.eof())


async def _times_out(awaited: Coroutine[Any, Any, object]) -> bool:
    try:
        await asyncio.wait_for(awaited, QUIET_S)
    except TimeoutError:
        return True
    return False


KEY_MISSING = (400, error("etcdserver: key is not provided", 3))
LEASE_NOT_FOUND = (404, error("etcdserver: requested lease not found", 5))
COMPACTED = (400, error("etcdserver: mvcc: required revision has been compacted", 11))
FUTURE_REVISION = (400, error("etcdserver: mvcc: required revision is a future revision", 11))
DUPLICATE = (400, error("etcdserver: duplicate key given in txn request", 3))
USER_MISSING = (400, error("etcdserver: user name is empty", 3))
BAD_TOKEN = (401, error("etcdserver: invalid auth token", 16))
DENIED = (403, error("etcdserver: permission denied", 7))
A, B, Z = b64("a"), b64("b"), b64("z")
ALL = {"key": A, "range_end": Z}


def put_op(key: str, value: str = "") -> dict[str, object]:
    return {"request_put": {"key": b64(key), "value": b64(value)}}


def delete_op(key: str, end: str = "") -> dict[str, object]:
    return {"request_delete_range": {"key": b64(key), "range_end": b64(end)}}


Step = tuple[str, object, tuple[int, object]]
KEYS: list[Step] = [
    ("kv/range", {"key": A}, (200, header(1))),
    ("kv/put", {"key": A, "value": b64("1")}, (200, header(2))),
    ("kv/put", {"key": B}, (200, header(3))),
    (
        "kv/put",
        {"key": A, "value": b64("2"), "prev_kv": True},
        (200, {**header(4), "prev_kv": kv("a", 2, 2, 1, "1")}),
    ),
    ("kv/put", {"key": A, "lease": 77}, LEASE_NOT_FOUND),
    ("kv/put", {"value": b64("1")}, KEY_MISSING),
    ("kv/put", {"key": b64("c"), "valu": b64("2")}, (200, header(5))),  # an unknown field is ignored
    (
        "kv/range",
        ALL,
        (
            200,
            {**header(5), "kvs": [kv("a", 2, 4, 2, "2"), kv("b", 3, 3, 1), kv("c", 5, 5, 1)], "count": "3"},
        ),
    ),
    (
        "kv/range",
        {**ALL, "limit": "1"},
        (200, {**header(5), "kvs": [kv("a", 2, 4, 2, "2")], "more": True, "count": "3"}),
    ),
    (
        "kv/range",
        {"key": B, "range_end": b64("\0"), "limit": 1, "sort_order": "DESCEND", "sort_target": "KEY"},
        (200, {**header(5), "kvs": [kv("c", 5, 5, 1)], "more": True, "count": "2"}),
    ),
    ("kv/range", {"key": A, "rangeEnd": Z, "countOnly": True}, (200, {**header(5), "count": "3"})),
    (
        "kv/range",
        {"key": A, "keys_only": True, "serializable": True},
        (200, {**header(5), "kvs": [kv("a", 2, 4, 2)], "count": "1"}),
    ),
    ("kv/range", {**ALL, "revision": 2}, (200, {**header(5), "kvs": [kv("a", 2, 2, 1, "1")], "count": "1"})),
    ("kv/range", {**ALL, "revision": 200}, FUTURE_REVISION),
    ("kv/range", {}, KEY_MISSING),
    ("kv/range", {"key": Z, "range_end": A}, (200, header(5))),
    ("kv/deleterange", {"key": Z}, (200, header(5))),
    (
        "kv/deleterange",
        {"key": A, "prev_kv": True},
        (200, {**header(6), "deleted": "1", "prev_kvs": [kv("a", 2, 4, 2, "2")]}),
    ),
    ("kv/deleterange", {}, KEY_MISSING),
    (
        "kv/txn",
        {
            "compare": [{"key": A, "result": "EQUAL", "target": "VERSION", "version": "0"}],
            "success": [
                put_op("t1", "1"),
                put_op("t2"),
                delete_op("b"),
                {"request_range": {"key": b64("t1")}},
            ],
        },
        (
            200,
            {
                **header(7),
                "succeeded": True,
                "responses": [
                    {"response_put": header(7)},
                    {"response_put": header(7)},
                    {"response_delete_range": {**header(7), "deleted": "1"}},
                    {"response_range": {**header(7), "kvs": [kv("t1", 7, 7, 1, "1")], "count": "1"}},
                ],
            },
        ),
    ),
    (
        "kv/txn",
        {
            "compare": [{"key": b64("t1"), "target": "VALUE", "value": b64("9")}],
            "failure": [delete_op("zz")],
        },
        (200, {**header(7), "responses": [{"response_delete_range": header(7)}]}),
    ),
    ("kv/txn", {}, (200, {**header(7), "succeeded": True})),
    ("kv/txn", {"success": [put_op("t1"), put_op("t1")]}, DUPLICATE),
    ("kv/txn", {"success": [delete_op("t", "u"), put_op("t1")]}, DUPLICATE),
    (
        "kv/txn",
        {"success": [put_op(f"q{index}") for index in range(129)]},
        (400, error("etcdserver: too many operations in txn request", 3)),
    ),
    (
        "kv/put",
        {"key": A, "value": b64("x" * 1_600_000)},
        (400, error("etcdserver: request is too large", 3)),
    ),
    ("kv/compaction", {"revision": "999"}, FUTURE_REVISION),
    ("kv/compaction", {"revision": "5", "physical": True}, (200, header(7))),
    ("kv/compaction", {"revision": "5"}, COMPACTED),
    ("kv/range", {**ALL, "revision": 4}, COMPACTED),
    (
        "kv/range",
        {**ALL, "revision": 5, "limit": 1},
        (200, {**header(7), "kvs": [kv("a", 2, 4, 2, "2")], "more": True, "count": "3"}),
    ),
    ("lease/grant", {"TTL": 5, "ID": "1234"}, (200, {**header(7), "ID": "1234", "TTL": "5"})),
    ("lease/grant", {"TTL": 5, "ID": "1234"}, (412, error("etcdserver: lease already exists", 9))),
    # Raised to 1.5 election timeouts.
    ("lease/grant", {"TTL": 0, "ID": "7"}, (200, {**header(7), "ID": "7", "TTL": "1"})),
    ("lease/grant", {"TTL": 9_000_000_001}, (400, error("etcdserver: too large lease TTL", 11))),
    ("kv/put", {"key": b64("l"), "lease": 1234}, (200, header(8))),
    (
        "kv/range",
        {"key": b64("l")},
        (200, {**header(8), "kvs": [kv("l", 8, 8, 1, lease="1234")], "count": "1"}),
    ),
    ("lease/keepalive", {"ID": "1234"}, (200, {"result": {**header(8), "ID": "1234", "TTL": "5"}})),
    # Without a TTL, because the lease does not exist.
    ("lease/keepalive", {"ID": "99"}, (200, {"result": {**header(8), "ID": "99"}})),
    ("lease/revoke", {"ID": "1234"}, (200, header(9))),
    ("kv/lease/revoke", {"ID": 1234}, LEASE_NOT_FOUND),
    (
        "auth/authenticate",
        {"name": "root", "password": "x"},
        (412, error("etcdserver: authentication is not enabled", 9)),
    ),
]


async def check_steps(cluster: EtcdCluster, steps: Sequence[Step], **more: Any) -> None:
    for path, body, want in steps:
        assert await call(cluster, f"/v3/{path}", body, **more) == want, (path, f"{body!r:.300}")


# Gateway guide 3.4: paths, base64, 64-bit numbers as strings; API reference 3.4: fields; order: observed.
def test_gateway_calls_return_etcd_responses() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await check_steps(cluster, KEYS)

    run(test)


# API reference 3.4, google.rpc codes; messages and HTTP codes: observed, 3.4.23.
@pytest.mark.parametrize("path", ["kv/range", "watch"])
def test_gateway_malformed_request_is_rejected(path: str) -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            want = (500, 2) if path == "watch" else (400, 3)
            bodies = (
                b'{"key":',
                b"[]",
                b'{"create_request":{"key":"!!"},"key":"!!"}',
                b'{"key":5,"create_request":5}',
            )
            for body in bodies:
                code, answer = await call(cluster, f"/v3/{path}", body)
                assert (code, answer["code"]) == want and answer["error"] == answer["message"]
            for method, request_path, status in (("GET", f"/v3/{path}", 405), ("POST", "/v3/none", 404)):
                got = await send_request(cluster.endpoints[0], request_path, method=method)
                assert got.code == status and got.headers["content-type"].startswith("text/plain")

    run(test)


# RFC 9112, 9.3: persistence; followed by the gateway: observed, 3.4.23.
def test_connection_with_consecutive_calls_serves_each() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            one = await Call.open(cluster.endpoints[0], "/v3/kv/range", {"key": A})
            async with one:
                for path, body, code in (
                    ("kv/put", {"key": A, "value": b64("x" * 3000)}, 200),
                    ("kv/range", {}, 400),
                    ("kv/range", b"[]", 400),
                    ("none", {}, 404),
                    ("lease/keepalive", {"ID": "1"}, 200),
                    ("kv/range", {"key": A}, 200),
                ):
                    await one.answer()
                    one.send_request(f"/v3/{path}", body)
                    assert await one.head() == code
                assert len((await one.answer()).json["kvs"]) == 1

    run(test)


# RFC 9112, 7.1; the response of the gateway: observed, 3.4.23.
def test_gateway_chunked_request_body_is_accepted() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.put("a", b"")
            reader, writer = await asyncio.open_connection(*_address(cluster))
            head = "POST /v3/kv/range HTTP/1.1\r\nHost: localhost\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head.encode() + b'6\r\n{"key"\r\n8\r\n:"YQ=="}\r\n0\r\n\r\n')
            async with Call(reader, writer) as one:
                assert len((await one.answer()).json["kvs"]) == 1

    run(test)


# API reference 3.4, StatusResponse.
def test_status_call_reports_version_and_leader() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            code, got = await call(cluster, "/v3/maintenance/status", {})
            assert code == 200 and got["version"].startswith("3.") and int(got["leader"]) > 0
            assert got["header"] == {"revision": "1"} and "errors" not in got

    run(test)


# API reference 3.4, RangeRequest.revision and limit, RangeResponse.more; guarantees 3.4.
def test_range_paged_at_one_revision_then_watch_misses_nothing() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            for start in range(0, 300, 100):
                await cluster.txn({f"m/{index:03}": b"x" * 100 for index in range(start, start + 100)}, ())
            first = await send_request(
                cluster.endpoints[0], "/v3/kv/range", {**prefix_range("m/"), "limit": 100}
            )
            assert first.headers["transfer-encoding"] == "chunked"  # as any response over 2048 bytes
            revision = first.json["header"]["revision"]
            await cluster.delete("m/150")
            await cluster.put("m/000", b"new")
            keys = [one["key"] for one in first.json["kvs"]]
            more = first.json["more"]
            while more:
                after = {"key": b64(_next(keys[-1])), "range_end": prefix_range("m/")["range_end"]}
                page = (await call(cluster, "/v3/kv/range", {**after, "limit": 100, "revision": revision}))[1]
                # The header has the latest revision, not that of the page.
                assert page["header"] == {"revision": str(int(revision) + 2)}
                keys += [one["key"] for one in page["kvs"]]
                more = page.get("more", False)
            assert keys == [b64(f"m/{index:03}") for index in range(300)]
            async with await watch(cluster, "m/", start_revision=str(int(revision) + 1)) as stream:
                events = (await next_message(stream))["result"]["events"]
                assert events == [delete_event("m/150", 5), {"kv": kv("m/000", 2, 6, 2, "new")}]

    run(test)


def _next(key: str) -> bytes:
    return base64.b64decode(key) + b"\0"


# --- watches


# API reference 3.4, WatchResponse; guarantees 3.4, atomic; one line per message: gateway guide 3.4.
def test_watch_sends_each_revision_in_its_own_line() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster, await watch(cluster, "a") as stream:
            assert stream.first == header(1)  # type: ignore[attr-defined]
            assert stream.headers["transfer-encoding"] == "chunked"
            await cluster.put("a1", b"1")
            await cluster.put("b", b"1")
            await cluster.txn({"a2": b"", "a0": b"3"}, ["a1", "b"])
            await cluster.delete("a", prefix=True)
            want = [
                (2, [{"kv": kv("a1", 2, 2, 1, "1")}]),
                (4, [{"kv": kv("a2", 4, 4, 1)}, {"kv": kv("a0", 4, 4, 1, "3")}, delete_event("a1", 4)]),
                (5, [delete_event("a0", 5), delete_event("a2", 5)]),
            ]
            for revision, events in want:
                assert await next_message(stream) == {"result": {**header(revision), "events": events}}
            assert all(chunk.endswith(b"}\n") for chunk in stream.chunks)
            assert await is_silent(stream)

    run(test)


# Observed, 3.4.23: the documentation does not say how lines are split into chunks.
@pytest.mark.parametrize(("size", "own"), [(1000, False), (1500, True)])
def test_watch_long_line_has_newline_in_separate_chunk(size: int, own: bool) -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster, await watch(cluster) as stream:
            await cluster.put("a", b"x" * size)
            assert (await next_message(stream))["result"]["events"]
            assert (stream.chunks[-1] == b"\n") is own

    run(test)


# Observed, 3.4.23: an unsynced watcher gets the missed events together.
def test_watch_from_past_revision_sends_missed_events_in_one_line() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.put("a", b"1")
            await cluster.put("a", b"2")
            await cluster.delete("a")
            async with await watch(cluster, start_revision="2", prev_kv=True) as stream:
                first, second = kv("a", 2, 2, 1, "1"), kv("a", 2, 3, 2, "2")
                events = [
                    {"kv": first},
                    {"kv": second, "prev_kv": first},
                    delete_event("a", 4) | {"prev_kv": second},
                ]
                assert await next_message(stream) == {"result": {**header(4), "events": events}}
                assert await is_silent(stream)
            async with await watch(cluster, start_revision=1, filters=["NOPUT"]) as stream:
                assert await next_message(stream) == {
                    "result": {**header(4), "events": [delete_event("a", 4)]}
                }

    run(test)


# Observed, 3.4.23 (mvcc's watchBatchMaxRevs).
def test_watch_catching_up_sends_at_most_1000_revisions_per_line() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            for _ in range(101):
                await asyncio.gather(*(cluster.put("a", b"") for _ in range(10)))
            async with await watch(cluster, start_revision=2) as stream:
                assert [len((await next_message(stream))["result"]["events"]) for _ in range(2)] == [1000, 10]

    run(test)


# API reference 3.4, WatchCreateRequest.start_revision; that it is accepted silently: observed, 3.4.23.
def test_watch_from_future_revision_waits_for_it() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster, await watch(cluster, start_revision=4) as stream:
            assert stream.first == header(1)  # type: ignore[attr-defined]
            for index in range(4):
                await cluster.put("a", b"%d" % index)
            for revision in (4, 5):
                assert (await next_message(stream))["result"]["header"] == {"revision": str(revision)}

    run(test)


# API reference 3.4, WatchResponse.compact_revision and canceled; that the stream stays open: observed.
def test_watch_below_compaction_is_canceled_and_stream_stays_open() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            for key in ("a", "b", "c", "d"):
                await cluster.put(key, b"")
            await cluster.compact(4)
            async with await watch(cluster, start_revision=3) as stream:
                assert stream.first == header(5)  # type: ignore[attr-defined]
                # No revision in the header.
                assert await next_message(stream) == {
                    "result": {"header": {}, "canceled": True, "compact_revision": "4"}
                }
                await cluster.put("e", b"")
                assert await is_silent(stream)
            async with await watch(cluster, start_revision=4) as stream:
                assert len((await next_message(stream))["result"]["events"]) == 3
                await cluster.compact(6)
                await cluster.put("f", b"")  # an open watch is not affected
                assert (await next_message(stream))["result"]["header"] == {"revision": "7"}

    run(test)


# Observed, 3.4.23; later releases fixed it (etcd's changelog).
def test_watch_from_compacted_revision_misses_delete_at_it() -> None:
    """Guards the rule that a watch resumes from the last seen revision, not from the next one."""

    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.put("a", b"")
            await cluster.put("b", b"")
            await cluster.delete("a")  # 4
            await cluster.put("c", b"")
            await cluster.compact(4)
            async with await watch(cluster, start_revision=4) as stream:
                events = (await next_message(stream))["result"]["events"]
                assert events == [{"kv": kv("c", 5, 5, 1)}]  # newer releases of etcd also send the delete
            async with await watch(cluster, start_revision=3) as stream:
                assert (await next_message(stream))["result"]["compact_revision"] == "4"

    run(test)


# API reference 3.4, WatchRequest and watch_id; on one HTTP call: observed, 3.4.23.
def test_stream_with_several_watches_rejects_empty_range() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            body = b"".join(
                json.dumps({"create_request": one}).encode()
                for one in ({"key": A}, {"key": B}, {"key": Z, "range_end": A}, {"key": A, "watch_id": 7})
            )
            async with await Call.open(cluster.endpoints[0], "/v3/watch", body) as stream:
                got = [(await next_message(stream))["result"] for _ in range(4)]
                assert [one.get("watch_id", "0") for one in got] == ["0", "1", "-1", "7"]
                assert got[2]["canceled"] and got[2]["cancel_reason"] == "mvcc: watcher range is empty"
                await cluster.put("b", b"")
                assert (await next_message(stream))["result"]["watch_id"] == "1"

    run(test)


# API reference 3.4, WatchCreateRequest.fragment and WatchResponse.fragment.
def test_watch_with_fragments_requested_splits_events() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            for index in range(6):
                await cluster.put(f"a{index}", b"x" * 900_000)
            async with await watch(cluster, start_revision=2) as stream:
                assert len((await next_message(stream))["result"]["events"]) == 6
            async with await watch(cluster, start_revision=2, fragment=True) as stream:
                got = [(await next_message(stream))["result"] for _ in range(3)]
                assert [len(one["events"]) for one in got] == [2, 2, 2]
                assert [one.get("fragment") for one in got] == [True, True, None]
                assert all(one["header"] == {"revision": "7"} for one in got)

    run(test)


# API reference 3.4, WatchCreateRequest.progress_notify.
def test_watch_with_progress_notify_receives_progress() -> None:
    async def test() -> None:
        async with EtcdEmulator(progress_ms=100) as cluster:
            stream, other = await watch(cluster, progress_notify=True), await watch(cluster)
            async with stream, other:
                assert await next_message(stream) == {"result": header(1)}
                assert await is_silent(other)
                await cluster.put("a", b"")
                message = await next_message(stream)
                while "events" not in message["result"]:
                    message = await next_message(stream)
                assert await next_message(stream) == {"result": header(2)}

    run(test)


# --- auth


async def token(cluster: EtcdCluster, user: str, password: str) -> str:
    code, got = await call(cluster, "/v3/auth/authenticate", {"name": user, "password": password})
    assert code == 200 and got["token"]
    return str(got["token"])


# Gateway guide 3.4, Authentication; calls allowed without a token: observed, 3.4.23.
def test_gateway_with_auth_rejects_calls_without_valid_token() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            before = await watch(cluster)
            await cluster.enable_auth("dill", "secret")
            wrong = (400, error("etcdserver: authentication failed, invalid user ID or password", 3))
            steps: list[Step] = [
                ("kv/range", {"key": A}, USER_MISSING),
                ("kv/put", {"key": A}, USER_MISSING),
                ("auth/authenticate", {"name": "dill", "password": "x"}, wrong),
                ("auth/authenticate", {"name": "none", "password": "secret"}, wrong),
                ("auth/authenticate", {"name": "dill"}, wrong),
                ("lease/grant", {"TTL": 5, "ID": 7}, (200, {**header(1), "ID": "7", "TTL": "5"})),
            ]
            await check_steps(cluster, steps)
            assert (await call(cluster, "/v3/maintenance/status", {}))[0] == 200
            good = await token(cluster, "dill", "secret")
            assert await call(cluster, "/v3/kv/put", {"key": A}, token=good) == (200, header(2))
            assert (await call(cluster, "/v3/kv/range", {"key": A}, headers={"Grpc-Metadata-Token": good}))[
                0
            ] == 200
            for bad in ("none", "none.1", "Bearer " + good):
                assert await call(cluster, "/v3/kv/range", {"key": A}, token=bad) == BAD_TOKEN
            assert await call(cluster, "/v3/kv/compaction", {"revision": 2}, token="no") == BAD_TOKEN
            reasons = {
                "": "rpc error: code = InvalidArgument desc = etcdserver: user name is empty",
                "none.1": "rpc error: code = Unauthenticated desc = etcdserver: invalid auth token",
            }
            for bad, reason in reasons.items():
                async with await watch(cluster, token=bad) as stream:
                    rejected = {**header(2), "watch_id": "-1", "canceled": True, "cancel_reason": reason}
                    assert stream.first == rejected  # type: ignore[attr-defined]
                    assert await is_silent(stream)
            await cluster.put("a", b"2")  # the cluster's own writes keep working
            async with before:  # an existing watch is not authenticated again
                assert [(await next_message(before))["result"]["header"] for _ in range(2)] == [
                    {"revision": "2"},
                    {"revision": "3"},
                ]

    run(test)


# Role-based access control guide 3.4; messages and codes: observed, 3.4.23.
def test_user_restricted_to_prefix_is_denied_other_access() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            await cluster.enable_auth("dill", "secret", readable="m/")
            user_token = await token(cluster, "dill", "secret")
            for requested_range, want in (
                (prefix_range("m/"), 200),
                (prefix_range("m/1"), 200),
                (prefix_range("m"), 403),
                ({"key": b64("m/"), "range_end": b64("\0")}, 403),
                ({"key": A}, 403),
            ):
                got = await call(cluster, "/v3/kv/range", requested_range, token=user_token)
                assert got[0] == want and (want == 200 or got == DENIED)
            assert await call(cluster, "/v3/kv/put", {"key": b64("m/1")}, token=user_token) == DENIED
            async with await watch(cluster, "m/", token=user_token) as stream:
                await cluster.put("m/1", b"")
                assert (await next_message(stream))["result"]["events"] == [{"kv": kv("m/1", 2, 2, 1)}]
            async with await watch(cluster, "", token=user_token) as stream:
                reason = "rpc error: code = PermissionDenied desc = etcdserver: permission denied"
                assert stream.first["cancel_reason"] == reason  # type: ignore[attr-defined]

    run(test)


# Security model 3.4, client-cert-auth; the message on a common name: observed, 3.4.23.
def test_gateway_with_tls_checks_client_certificates(tmp_path: Path) -> None:
    named = "CommonName of client sending a request against gateway will be ignored"

    async def test() -> None:
        (tmp_path / "named").mkdir()
        certificates, others = make(tmp_path), make(tmp_path / "named", "dill")
        async with EtcdEmulator(certificates=certificates, client_auth=True) as cluster:
            assert cluster.endpoints[0].startswith("https://")
            async with await watch(cluster) as stream:
                await cluster.put("a", b"x" * 200_000)
                assert (await next_message(stream))["result"]["events"]
            for context in (certificates.client(shown=False), others.client()):
                with pytest.raises((OSError, EOFError)):
                    await send_request(cluster.endpoints[0], "/v3/kv/range", {"key": A}, context=context)
            await cluster.enable_auth("root", "secret")
            user_token = await token(cluster, "root", "secret")
            assert (await call(cluster, "/v3/kv/range", {"key": A}, token=user_token))[0] == 200
        named_too = make(tmp_path, "dill")
        async with EtcdEmulator(certificates=named_too, client_auth=True) as cluster:
            assert (await call(cluster, "/v3/kv/range", {"key": A}))[0] == 200
            # Not through `enable_auth`, which logs in with this very certificate once auth is on.
            await cluster.enable_auth("root", "secret")
            got = await send_request(
                cluster.endpoints[0], "/v3/kv/range", {"key": A}, context=cluster.context
            )
            assert got.code == 400 and named.encode() in got.body

    run(test)


# --- member lifecycle


async def is_refused(endpoint: str) -> bool:
    """Whether connections are refused."""
    try:
        await send_request(endpoint, "/v3/kv/range", {"key": A}, wait_s=1)
    except ConnectionRefusedError:
        return True
    return False


# Guarantees 3.4, durability.
def test_member_killed_and_restarted_keeps_its_data() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            revision = await cluster.put("a", b"1")
            stream, idle = await watch(cluster), await asyncio.open_connection(*_address(cluster))
            before = (await send_request(cluster.endpoints[0], "/v3/kv/range", {"key": A})).json
            await cluster.kill(0)
            # The connection ends without a last chunk.
            assert await stream.line() is None and not stream.is_complete
            assert await idle[0].read() == b""
            assert await is_refused(cluster.endpoints[0])
            await cluster.restart(0)
            after = (await send_request(cluster.endpoints[0], "/v3/kv/range", {"key": A})).json
            assert masked(before) == masked(after)
            assert before["header"]["cluster_id"] == after["header"]["cluster_id"]
            async with await watch(cluster, start_revision=revision) as again:
                assert (await next_message(again))["result"]["events"] == [{"kv": kv("a", 2, 2, 1, "1")}]
            idle[1].close()
            stream.writer.close()

    run(test)


def _address(cluster: EtcdCluster) -> tuple[str, int]:
    host, _, port = cluster.endpoints[0].rpartition("/")[2].partition(":")
    return host, int(port)


# Observed, 3.4.23.
def test_member_terminated_ends_streams_with_error() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            async with await watch(cluster) as stream:
                ending = asyncio.create_task(cluster.terminate(0))
                last = (await next_message(stream))["error"]
                error_fields = (last["grpc_code"], last["http_code"], last["http_status"], last["message"])
                assert error_fields in (  # etcd 3.4.23 sends either, because two of its components race
                    (14, 503, "Service Unavailable", "transport is closing"),
                    (1, 408, "Request Timeout", "grpc: the client connection is closing"),
                )
                assert not stream.chunks[-2].endswith(b"\n")
                assert stream.chunks[-1] == b"" and stream.is_complete and await stream.eof()
                await ending
            assert await is_refused(cluster.endpoints[0])

    run(test)


# Observed, 3.4.23 under SIGSTOP: the kernel accepts connections for the process.
def test_member_frozen_accepts_connections_and_sends_nothing() -> None:
    async def test() -> None:
        async with EtcdEmulator(3) as cluster:
            status = [(await send_request(one, "/v3/maintenance/status")).json for one in cluster.endpoints]
            followers = [one["header"]["member_id"] != one["leader"] for one in status]
            member = followers.index(True)  # the cluster continues at once without a follower
            stream = await watch(cluster, member=member)
            cluster.freeze(member)
            body = {"key": A, "serializable": True}
            waiting = await Call.open(cluster.endpoints[member], "/v3/kv/range", body)
            await cluster.put("a", b"1")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(QUIET_S):
                    await waiting.head()
            assert await is_silent(stream)
            cluster.thaw(member)
            async with waiting, stream:
                assert (await waiting.answer()).code == 200
                assert (await next_message(stream))["result"]["events"] == [{"kv": kv("a", 2, 2, 1, "1")}]

    run(test)


HAS_LEADER = {"Grpc-Metadata-Hasleader": "true"}
NO_LEADER = (503, error("etcdserver: no leader", 14))


# RFC 9112; which headers the gateway sends: observed, 3.4.23.
def test_gateway_response_head_has_etcd_headers_in_order() -> None:
    async def test() -> None:
        async with EtcdEmulator() as cluster:
            good = await send_request(cluster.endpoints[0], "/v3/kv/range", {"key": A})
            bad = await send_request(cluster.endpoints[0], "/v3/kv/range", {})
            allow = [f"access-control-allow-{what}" for what in ("headers", "methods", "origin")]
            allow += ["content-type"]
            assert list(good.headers) == [*allow, "grpc-metadata-content-type", "date", "content-length"]
            assert list(bad.headers) == [*allow, "trailer", "date", "transfer-encoding"]

    run(test)


# --- slow cases, run concurrently


# API overview 3.4, Lease API; in one revision: observed, 3.4.23.
async def check_expired_lease_deletes_its_keys_in_one_revision() -> None:
    async with EtcdEmulator() as cluster:
        short, long = await cluster.grant(1), await cluster.grant(100)
        async with await watch(cluster) as stream:
            for key in ("c", "a", "b"):
                await cluster.put(key, b"", short)
            await cluster.put("d", b"", long)
            for _ in range(4):
                await next_message(stream)
            events = [delete_event("a", 6), delete_event("b", 6), delete_event("c", 6)]
            assert await next_message(stream) == {"result": {**header(6), "events": events}}
            await cluster.revoke(long)
            assert await next_message(stream) == {"result": {**header(7), "events": [delete_event("d", 7)]}}
            with pytest.raises(EtcdError, match="lease not found"):
                await cluster.revoke(short)


# Authentication guide 3.4; that an open watch outlives its token: observed, 3.4.23.
async def check_unused_token_expires() -> None:
    ttl_s = 0.5  # must suffice to open the watch
    async with EtcdEmulator(token_ttl_s=ttl_s) as cluster:
        await cluster.enable_auth("root", "secret")
        user_token = await token(cluster, "root", "secret")
        async with await watch(cluster, token=user_token) as stream:
            await asyncio.sleep(2.1 * ttl_s)
            assert await call(cluster, "/v3/kv/range", {"key": A}, token=user_token) == BAD_TOKEN
            await cluster.put("a", b"")  # an open watch outlives its token
            assert (await next_message(stream))["result"]["events"]


# API reference 3.4, RangeRequest.serializable; the messages, and 5 s plus two elections: observed, 3.4.23.
async def check_member_without_quorum_serves_only_known_state() -> None:
    async with EtcdEmulator(3, quorum_wait_ms=500) as cluster:
        await cluster.put("a", b"1")
        stream, strict = await watch(cluster), await watch(cluster, headers=HAS_LEADER)
        for member in (1, 2):
            await cluster.kill(member)
        read = await Call.open(cluster.endpoints[0], "/v3/kv/range", {"key": A})
        assert await _times_out(read.head())
        lost = {"grpc_code": 14, "http_code": 503, "message": "etcdserver: no leader"}
        assert (await next_message(strict)) == {"error": {**lost, "http_status": "Service Unavailable"}}
        assert strict.is_complete and not strict.chunks[-2].endswith(b"\n") and await is_still_open(strict)
        write = await Call.open(cluster.endpoints[0], "/v3/kv/put", {"key": A})
        assert await call(cluster, "/v3/kv/range", {"key": A}, headers=HAS_LEADER) == NO_LEADER
        old = {**header(2), "kvs": [kv("a", 2, 2, 1, "1")], "count": "1"}
        assert await call(cluster, "/v3/kv/range", {"key": A, "serializable": True}) == (200, old)
        async with await watch(cluster, start_revision=2) as late:
            assert (await next_message(late))["result"]["events"]  # events that it knows are sent
        status = (await call(cluster, "/v3/maintenance/status", {}))[1]
        assert status["errors"] == ["etcdserver: no leader"] and "leader" not in status
        late_watch = await Call.open(
            cluster.endpoints[0], "/v3/watch", {"create_request": ALL}, headers=HAS_LEADER
        )
        async with late_watch:
            assert await late_watch.head() == 503
            assert (await next_message(late_watch))["error"]["message"] == "etcdserver: no leader"
        assert await is_silent(stream)
        async with read, write:  # etcd fails these after 5 s plus two elections
            for waiting, want in (
                (read, (503, error("etcdserver: request timed out", 14))),
                (write, (500, error("context deadline exceeded", 2))),
            ):
                got = await waiting.answer()
                assert (got.code, got.json) == want
        await cluster.restart(1)
        await cluster.put("a", b"2")
        async with stream, strict:
            events = (await next_message(stream))["result"]["events"]
            assert events[-1]["kv"]["value"] == b64("2")


def test_cluster_over_time_expires_leases_and_tokens_and_survives_quorum_loss() -> None:
    async def test() -> None:
        await asyncio.gather(
            check_expired_lease_deletes_its_keys_in_one_revision(),
            check_unused_token_expires(),
            check_member_without_quorum_serves_only_known_state(),
        )

    run(test)
