"""Tests of the etcd emulator's fault injection and of its record of sent responses."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from balancer.testbed import certificates
from balancer.testbed.etcd import stream as streams
from balancer.testbed.etcd.client import (
    Call,
    EtcdError,
    b64,
    prefix_range,
    send_request,
)
from balancer.testbed.etcd.shared import Garbage, now_ms
from balancer.testbed.etcd.standin import EtcdEmulator
from balancer.testbed.port_reservation import reserve_port
from tests.testbed.conftest import run
from tests.testbed.test_etcd_gateway import (
    delete_event,
    is_refused,
    is_silent,
    is_still_open,
    kv,
    next_message,
    watch,
)


async def read(cluster: EtcdEmulator, member: int = 0, wait_s: float = 5, **more: Any) -> dict[str, Any]:
    """Return all keys as a member serves them."""
    body = {**prefix_range(""), **more}
    got = await send_request(
        cluster.endpoints[member], "/v3/kv/range", body, context=cluster.context, wait_s=wait_s
    )
    assert got.code == 200
    return got.json


async def put(cluster: EtcdEmulator, *keys: str) -> None:
    for key in keys:
        await cluster.put(key, b"")


async def keys(stream: Call) -> list[str]:
    """Return the keys of the next message's events, with a minus for deletes."""
    events = (await next_message(stream))["result"]["events"]
    return [("-" if "type" in event else "") + event["kv"]["key"] for event in events]


def test_endpoint_refused_or_dropped_serves_again_after_restart() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd) as stream:
            etcd.refuse(0)
            assert await is_refused(etcd.endpoints[0])
            await put(etcd, "a")
            assert await keys(stream) == [b64("a")]
            etcd.drop(0)
            assert await stream.line() is None and not stream.is_complete
            await etcd.restart(0)
            assert (await read(etcd))["count"] == "1"
            etcd.drop(0)
            assert (await read(etcd))["count"] == "1"  # new connections are accepted

    run(test)


@pytest.mark.parametrize("tls", [False, True])
def test_member_stalled_sends_nothing_and_stays_in_quorum(tls: bool, tmp_path: Path) -> None:
    async def test() -> None:
        tls_certificates = certificates.make(tmp_path) if tls else None
        async with EtcdEmulator(certificates=tls_certificates) as etcd, await watch(etcd) as stream:
            await put(etcd, "a")
            assert await keys(stream) == [b64("a")]
            etcd.stall(0)
            await put(etcd, "b")
            etcd.replay(0, 1)
            with pytest.raises(TimeoutError):
                await read(etcd, wait_s=0.2)
            try:  # the TCP connect succeeds, but there is no TLS handshake
                opening = Call.open(etcd.endpoints[0], "/v3/watch", context=etcd.context)
                (await asyncio.wait_for(opening, 0.2)).writer.close()
                assert not tls
            except TimeoutError:
                assert tls
            assert await is_silent(stream) and len(etcd.records) == 1
            etcd.stall(0, on=False)
            assert await keys(stream) == [b64("b")]
            assert (await read(etcd))["count"] == "2"

    run(test)


def test_member_lagging_serves_old_revisions() -> None:
    async def test() -> None:
        async with EtcdEmulator(2) as etcd:
            await put(etcd, *"abcde")
            etcd.lag(1, 2)
            fresh, old = await read(etcd), await read(etcd, 1)
            assert (fresh["header"]["revision"], old["header"]["revision"]) == ("6", "4")
            assert (fresh["count"], old["count"]) == ("5", "3")
            assert fresh["header"]["cluster_id"] == old["header"]["cluster_id"]
            async with await watch(etcd, member=1, start_revision=5) as stream:
                assert await is_silent(stream)
                await put(etcd, "f")
                assert await keys(stream) == [b64("d")]
                await etcd.compact(7)  # the lagging member has not applied the compaction either
                assert (await read(etcd, 1, revision=3))["count"] == "2"
                etcd.lag(1, 0)
                assert [await keys(stream) for _ in "ef"] == [[b64("e")], [b64("f")]]

    run(test)


def test_watch_on_lagging_member_reports_delete_before_its_compaction() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd:
            await put(etcd, "a", "b")
            async with await watch(etcd) as stream:
                etcd.lag(0, 1)
                await etcd.delete("a")
                await etcd.compact(4)
                assert await is_silent(stream)
                etcd.lag(0, 0)
                assert await keys(stream) == ["-" + b64("a")]
            async with await watch(etcd, start_revision=4) as stream:  # a later watch does not get the delete
                assert await is_silent(stream)

    run(test)


def test_member_partitioned_serves_no_changes_until_rejoined() -> None:
    async def test() -> None:
        async with EtcdEmulator(3) as etcd:
            await put(etcd, "a")
            async with await watch(etcd) as stream, await watch(etcd, member=1) as other:
                etcd.cut_off(0)
                await etcd.delete("a")
                assert await keys(other) == ["-" + b64("a")]
                assert await is_silent(stream)
                assert (await read(etcd, serializable=True))["count"] == "1"
                waiting = asyncio.create_task(read(etcd))
                assert "count" not in await read(etcd, 1)
                assert not waiting.done()
                etcd.cut_off(0, on=False)
                assert "count" not in await waiting
                assert await keys(stream) == ["-" + b64("a")]

    run(test)


def test_cluster_without_quorum_rejects_writes_and_keeps_leases() -> None:
    async def test() -> None:
        async with EtcdEmulator(3) as etcd:
            lease = etcd.store.leases[await etcd.grant(100)]
            await etcd.put("a", b"", lease.id)
            etcd.freeze(1)
            await etcd.kill(2)
            with pytest.raises(EtcdError, match="quorum"):
                await etcd.put("b", b"")
            lease.expires_ms = now_ms()
            await asyncio.sleep(0.1)
            assert (await read(etcd, serializable=True))["count"] == "1"
            etcd.thaw(1)  # a new leader resets the lease to its full TTL
            assert lease.expires_ms > now_ms() + 90_000 and (await read(etcd))["count"] == "1"
            async with await watch(etcd) as stream:
                lease.expires_ms = now_ms()
                await put(etcd, "b")
                assert [await keys(stream), await keys(stream)] == [[b64("b")], ["-" + b64("a")]]

    run(test)


def test_watch_replayed_or_duplicated_repeats_events() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd) as stream:
            await put(etcd, "a")
            await etcd.delete("a")
            await put(etcd, "b")
            for _ in range(3):
                await next_message(stream)
            etcd.replay(0, 2)
            for events in ([{"kv": kv("a", 2, 2, 1)}], [delete_event("a", 3)], [{"kv": kv("b", 4, 4, 1)}]):
                result = (await next_message(stream))["result"]
                # As for a watch that was behind.
                assert result == {"header": {"revision": "4"}, "events": events}
            etcd.replay(0, 1, 2)
            assert await keys(stream) == [b64("a")] and await is_silent(stream)
            etcd.duplicate_events(0)
            await put(etcd, "c")
            assert await keys(stream) == await keys(stream) == [b64("c")]
            etcd.duplicate_events(0, on=False)
            await put(etcd, "d")
            assert await keys(stream) == [b64("d")] and await is_silent(stream)
            assert [one.revision for one in etcd.records] == [2, 3, 4, 2, 3, 4, 2, 5, 5, 6]

    run(test)


def test_watch_canceled_keeps_stream_open() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd) as stream:
            etcd.cancel(0, "because")
            result = (await next_message(stream))["result"]
            assert result == {"header": {}, "canceled": True, "cancel_reason": "because"}
            await put(etcd, "a")
            assert await is_silent(stream)

    run(test)


def test_watch_with_fragment_size_splits_events() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd, fragment=True) as stream:
            etcd.fragment(0, 100)
            await etcd.txn({f"a{index}": b"x" * 50 for index in range(3)}, ())
            got = [(await next_message(stream))["result"] for _ in range(3)]
            assert [one.get("fragment") for one in got] == [True, True, None]
            assert {one["header"]["revision"] for one in got} == {"2"}

    run(test)


def test_watch_with_garbage_sends_invalid_messages() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd) as stream:
            etcd.send_garbage(0, Garbage.NOT_JSON)
            with pytest.raises(ValueError):
                await next_message(stream)
            etcd.send_garbage(0, Garbage.NOT_OBJECT)
            line = await stream.line()
            assert line is not None and isinstance(json.loads(line), list)
            etcd.send_garbage(0, Garbage.NOT_BASE64, "a")
            bad = (await next_message(stream))["result"]["events"][0]["kv"]
            assert bad["key"] == b64("a") and "!" in bad["value"]
            etcd.send_garbage(0, Garbage.HUGE_VALUE)
            bad = (await next_message(stream))["result"]["events"][0]["kv"]
            assert len(bad["value"]) > 2_000_000
            await put(etcd, "b")
            assert await keys(stream) == [b64("b")]

    run(test)


def test_value_corrupted_is_invalid_in_events_and_lists() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd) as stream:
            for kind, size in ((Garbage.NOT_BASE64, 14), (Garbage.HUGE_VALUE, 2_666_668), (None, 4)):
                etcd.corrupt_value("a", kind)
                revision = await etcd.put("a", b"1")
                (event,) = (await next_message(stream))["result"]["events"]
                (kv,) = (await read(etcd))["kvs"]
                assert event["kv"] == kv and kv["mod_revision"] == str(revision) and len(kv["value"]) == size
            await etcd.delete("a")
            assert await keys(stream) == ["-" + b64("a")]
            # Watch records omit keys with an invalid value; range records still list them.
            puts = [(one.kind, one.put) for one in etcd.records]
            assert puts == [("watch", ()), ("range", ("a",))] * 2 + [
                ("watch", ("a",)),
                ("range", ("a",)),
                ("watch", ()),
            ]

    run(test)


def test_watch_with_endless_line_sends_no_further_events(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "ENDLESS", 3_000_000)

    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd) as stream:
            etcd.send_garbage(0, Garbage.ENDLESS_LINE)
            size = 0
            while size < 3_000_000:
                data = await stream.chunk()
                assert data and b"\n" not in data
                size += len(data)
            await put(etcd, "a")
            etcd.cancel(0)
            assert await is_silent(stream)

    run(test)


def test_range_with_garbage_returns_invalid_responses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "ENDLESS", 3_000_000)

    async def test() -> None:
        async with EtcdEmulator() as etcd:
            await put(etcd, "a")
            for kind in (Garbage.NOT_JSON, Garbage.NOT_OBJECT):
                etcd.corrupt_ranges(0, kind)
                with pytest.raises(ValueError):
                    await read(etcd)
            etcd.corrupt_ranges(0, Garbage.NOT_BASE64, "b")
            assert [one["key"] for one in (await read(etcd))["kvs"]] == [b64("a"), b64("b")]
            etcd.corrupt_ranges(0, Garbage.HUGE_VALUE)
            assert len((await read(etcd))["kvs"][1]["value"]) > 2_000_000
            etcd.corrupt_ranges(0, Garbage.ENDLESS_LINE)
            async with await Call.open(etcd.endpoints[0], "/v3/kv/range", prefix_range("")) as call:
                while sum(map(len, call.chunks)) < 3_000_000:
                    assert b"\n" not in await call.chunk()
                assert await is_still_open(call)
            assert [one.put for one in etcd.records] == [("a",), ("a",)]  # all entries but one are valid
            etcd.corrupt_ranges(0, None)
            assert (await read(etcd))["count"] == "1"

    run(test)


def test_member_with_overridden_cluster_id_reports_it() -> None:
    async def test() -> None:
        async with EtcdEmulator(2) as etcd, await watch(etcd) as stream:
            etcd.report_cluster_id(0, 99)
            await put(etcd, "a")
            assert (await stream.message())["result"]["header"]["cluster_id"] == "99"
            assert (await read(etcd))["header"]["cluster_id"] == "99"
            assert (await read(etcd, 1))["header"]["cluster_id"] != "99"
            etcd.report_cluster_id(0, None)
            assert (await read(etcd))["header"]["cluster_id"] == str(etcd.shared.cluster_id)

    run(test)


def test_cluster_restored_keeps_cluster_id_and_loses_later_revisions() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd:
            await put(etcd, "a")
            backup = etcd.backup()
            await put(etcd, "b")
            await etcd.delete("a")
            async with await watch(etcd) as stream:
                before = await read(etcd)
                etcd.restore(backup)
                assert await stream.line() is None
            after = await read(etcd)
            assert [one["key"] for one in after["kvs"]] == [b64("a")]
            assert (before["header"]["revision"], after["header"]["revision"]) == ("4", "2")
            assert before["header"]["cluster_id"] == after["header"]["cluster_id"]
            async with await watch(etcd, start_revision=5) as stream:  # a revision that the restore discarded
                await put(etcd, "c")
                assert await is_silent(stream)

    run(test)


def test_cluster_losing_leases_and_tokens_deletes_keys_and_rejects_calls() -> None:
    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd) as stream:
            for key in "abc":
                await etcd.put(key, b"", await etcd.grant(100))
                await next_message(stream)
            assert etcd.revoke_all_leases() == 3
            assert [await keys(stream) for _ in "abc"] == [["-" + b64(key)] for key in "abc"]
            await etcd.enable_auth("dill", "secret")
            credentials = {"name": "dill", "password": "secret"}
            got = await send_request(etcd.endpoints[0], "/v3/auth/authenticate", credentials)
            user_token = got.json["token"]
            assert (
                await send_request(etcd.endpoints[0], "/v3/kv/range", prefix_range(""), user_token)
            ).code == 200
            etcd.forget_tokens()
            assert (
                await send_request(etcd.endpoints[0], "/v3/kv/range", prefix_range(""), user_token)
            ).code == 401
            assert "secret" not in repr(etcd.shared.auth.users)

    run(test)


def test_records_after_range_and_watch_hold_what_was_sent() -> None:
    async def test() -> None:
        async with EtcdEmulator(2) as etcd:
            await put(etcd, "m/a", "m/b", "n")
            before = now_ms()
            await read(etcd, 1, limit=2)
            async with await watch(etcd, "m/", member=1, start_revision=3) as stream:
                await etcd.txn({"m/c": b""}, ["m/a", "n"])
                assert len(await keys(stream)) == 3  # the past events, in one line
                peer = stream.writer.get_extra_info("sockname")
            ranged, old, new = etcd.records
            assert before <= ranged.at_ms <= old.at_ms <= new.at_ms <= now_ms()
            assert (ranged.kind, ranged.endpoint, ranged.revision) == ("range", 1, 4)
            assert (ranged.put, ranged.key, ranged.end, ranged.more) == (("m/a", "m/b"), "\0", "\0", True)
            assert (old.kind, old.revision, old.put, old.deleted) == ("watch", 3, ("m/b",), ())
            assert (new.revision, new.put, new.deleted) == (5, ("m/c",), ("m/a",))
            assert old.peer == new.peer == peer != ranged.peer
            await read(etcd, revision=3)
            await read(etcd, count_only=True)  # returns no keys
            shown = [(one.kind, one.revision, one.put) for one in etcd.records[3:]]
            assert shown == [("range", 3, ("m/a", "m/b")), ("count", 5, ())]

    run(test)


def test_records_for_client_not_reading_exclude_unsent_events() -> None:
    """Guards against recording events that are still in the emulator's buffer of unsent bytes."""

    async def test() -> None:
        async with EtcdEmulator() as etcd, await watch(etcd) as stream:
            stream.writer.transport.pause_reading()  # type: ignore[attr-defined]
            (connection,) = etcd.members[0].streams
            for index in range(1000):
                await etcd.put(f"a{index}", b"x" * 10_000)
            await asyncio.sleep(0.2)
            assert 0 < len(etcd.records) < 1000
            assert 0 < connection.writer.transport.get_write_buffer_size() < 14_000  # at most one line
            stream.writer.transport.resume_reading()  # type: ignore[attr-defined]
            for _ in range(1000):
                await next_message(stream)
            assert len(etcd.records) == 1000

    run(test)


def test_port_reservation_between_listeners_excludes_other_sockets() -> None:
    kept = reserve_port()
    port = kept.getsockname()[1]
    with kept, socket.socket() as first, socket.socket() as intruder:
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port))
        with pytest.raises(OSError):
            intruder.bind(("127.0.0.1", port))
        first.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        first.bind(("127.0.0.1", port))
        first.listen()
        socket.create_connection(("127.0.0.1", port)).close()
