"""Settings of other customers, on real sockets: any names, probes allowed, all else forbidden."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any
from urllib.parse import quote

import pytest

from balancer.net.http_server import MAX_HEAD_BYTES
from tests.net.test_client_gone import fronting, run, until
from tests.sockets import LIMITS, Backend, Client

NAMES = ["up", "discovery", "høyvann/i dag", "a/b", "a%2Fb", "Øst & vest", "%", "GET", "claim.2", "日本"]
EFFECTS = ["retryable", "dedup", "fragile"]


def classes(*names: str) -> list[dict[str, Any]]:
    """Classes of these names, of all effects in turn."""
    return [
        {
            "name": name,
            "effect": EFFECTS[at % 3],
            "group": "all",
            "memory-span": 3000,
            "give-up": 4000,
            "objective": 3000,
        }
        for at, name in enumerate(names)
    ]


def test_classes_of_any_name_are_served(tmp_path: Path) -> None:
    """Whatever the class is called a backend's answer comes; `/up` without an id is the front's question."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        over = {"request-classes": classes(*NAMES)}
        async with fronting(tmp_path, backend.member(), **over) as front:
            client = Client(*await asyncio.open_connection(*front.address))
            for row in over["request-classes"]:
                target = f"/{quote(row['name'], safe='')}"
                for rest in ("", "?obj=7", "/x/y"):
                    method = "GET" if row["effect"] == "retryable" else "POST"
                    key = ["Idempotency-Key: k"] if row["effect"] == "dedup" else []
                    name = client.send(target + rest, *key, method=method)
                    got = await client.answer()
                    assert (got.code, got.body) == (200, f"b0 {name}".encode()), row["name"]
                    assert (await backend.got.get()).start == f"{method} {target}{rest} HTTP/1.1"
            client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            assert (await client.answer()).body == b"up\n" and backend.got.empty()
            client.send("/none")
            assert (await client.answer()).code == 404
            up = "/up HTTP/1.1\r\n"
            for lacks_its_id in ("/up?obj=7 HTTP/1.1", f"{up}Tenant: t", f"{up}Request-Timeout: 9m"):
                other = Client(*await asyncio.open_connection(*front.address))
                other.writer.write(f"GET {lacks_its_id}\r\n\r\n".encode())
                assert (await other.answer()).code == 400
                other.writer.transport.abort()
            client.writer.transport.abort()
        backend.stop()

    run(test)


@pytest.mark.parametrize("rest", ["", "/x", "?obj=ø", "/%C3%B8?obj=%"])
@pytest.mark.parametrize("name", ["日本", "høyvann/idag", "a/b"])
def test_names_sent_as_they_stand_go_on_unchanged(tmp_path: Path, name: str, rest: str) -> None:
    """Cut anywhere, with another request behind it on the connection, and letters of a body left alone."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        target = f"/{name}{rest}".encode()
        over = {"request-classes": classes("x", name)}
        async with fronting(tmp_path, backend.member(), **over) as front:
            client = Client(*await asyncio.open_connection(*front.address))
            body = "ø\nø HTTP/1.1\n".encode()
            text = b"POST %b HTTP/1.1\r\nRequest-Id: 99\r\nIdempotency-Key: \xc3\xb8\r\n" % target
            text += b"Content-Length: %d\r\n\r\n" % len(body)
            cuts = (0, 1, 5, 1, 2, 3, 6, 7, 8, len(target) + 4, len(target) + 6, len(text))
            for number, cut in enumerate(cuts, 10):
                empty = b"\r\n" if number in (10, 12, 13, 14, 15) else b""  # some clients begin so
                whole = empty + text.replace(b": 99", b": %d" % number) + body
                client.writer.write(whole[:cut])
                await asyncio.sleep(0.002)
                client.writer.write(whole[cut:])
                got = await client.answer()
                assert (got.code, got.body) == (200, b"b0 %d" % number)
                sent = await backend.got.get()
                assert sent.start.encode("latin-1") == b"POST %b HTTP/1.1" % target and sent.body == body
            client.writer.transport.abort()
        backend.stop()

    run(test)


def test_line_ends_without_a_request_hold_no_memory(tmp_path: Path) -> None:
    """The parser passes over them, and so no header is too long."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", port=9).member()) as front:
            client = Client(*await asyncio.open_connection(*front.address))
            for _ in range(20):
                client.writer.write(b"\r" * 65536)
                await client.writer.drain()
            client.writer.write(b"\nGET /up HTTP/1.1\r\n\r\n")
            assert (await client.answer()).body == b"up\n"
            (connection,) = front.connections
            assert len(connection.request_line) == 0
            client.writer.write(b"\r" * 12_000 + b"\nGET /up")
            await until(lambda: connection.is_receiving_request)
            assert connection.request_line == b"GET /up"  # nothing of what came before it
            client.writer.write(b" HTTP/1.1\r\n\r\n")
            assert (await client.answer()).body == b"up\n"
            client.writer.write(b"GET /" + b"x" * 65536)  # a line without an end is bounded, too
            assert (await client.answer()).code == 431
            assert (
                len(connection.request_line) <= MAX_HEAD_BYTES + 256 * 1024
            )  # one read more than what a head may be
            client.writer.transport.abort()

    run(test)


def test_what_a_request_line_is_taken_for_is_its_own(tmp_path: Path) -> None:
    """Guards against sending one request on with a target that another one, or a header, had."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        async with fronting(tmp_path, backend.member()) as front:
            client = Client(*await asyncio.open_connection(*front.address))
            client.writer.write("GET /up?ø HTTP/1.1\r\n\r\n".encode())
            assert (await client.answer()).body == b"up\n"
            assert (await client.ask("/read/x")).code == 200
            assert (await backend.got.get()).start == "GET /read/x HTTP/1.1"
            # Behind another in one packet; its headers come alone, and look like a line with letters.
            client.writer.write(b"GET /up HTTP/1.1\r\n\r\nGET /read/y HTTP/1.1\r\n")
            assert (await client.answer()).body == b"up\n"
            client.writer.write("Tenant: fjell sjø\r\nRequest-Id: 7\r\n\r\n".encode())
            assert (await client.answer()).code == 200
            assert (await backend.got.get()).start == "GET /read/y HTTP/1.1"
            client.writer.transport.abort()
        backend.stop()

    run(test)


LOOSE = ["GET /read?ø\r\n", "GET  /read?ø HTTP/1.1\r\n", "GET /read?ø  HTTP/1.1\r\n"]


@pytest.mark.parametrize("line", LOOSE)
def test_a_loose_request_line_goes_on_with_its_target_alone(tmp_path: Path, line: str) -> None:
    """Guards against a line end within the line to a backend, and a target that no client sent."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        async with fronting(tmp_path, backend.member()) as front:
            client = Client(*await asyncio.open_connection(*front.address))
            client.writer.write(line.encode() + b"Request-Id: 8\r\n\r\n")
            assert (await client.answer()).code == 200
            sent = await backend.got.get()
            assert sent.start.encode("latin-1") == "GET /read?ø HTTP/1.1".encode()
            client.writer.transport.abort()
        backend.stop()

    run(test)


@pytest.mark.parametrize("how", ["inline", "on_probe", "off"])
def test_where_probes_are_allowed_nothing_waits_for_one(tmp_path: Path, how: str) -> None:
    """The node carries out none: a request that waited for one would be answered only when it is overdue."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        over: dict[str, Any] = {
            "limits": LIMITS | {"probing": True},
            "charges": {"probe": 0.001},
            "load-info": {"how": how, "names": ["active"]},
        }
        async with fronting(tmp_path, backend.member(), **over) as front:
            assert not front.node.balancer.probing_enabled
            client = Client(*await asyncio.open_connection(*front.address))
            assert (await client.ask("/read")).code == 200
            assert backend.got.qsize() == 1
            client.writer.transport.abort()
        backend.stop()

    run(test)


@pytest.mark.parametrize(("target", "code"), [("/once", 502), ("/read", 503)])
def test_a_request_where_all_is_forbidden(tmp_path: Path, target: str, code: int) -> None:
    """One attempt, nothing called off, no advice when to return, no zones, no reports."""

    async def test() -> None:
        async def breaks(backend: Backend, message: Any, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        backend = Backend("b0", breaks)
        await backend.start()
        limits = {"cancel": False, "most-tries": 1, "retry-after": False, "conn-idle": 300}
        over = {"limits": limits, "load-info": {"how": "off"}, "zone": "", "weight-source": "off"}
        async with fronting(tmp_path, backend.member(locality=""), **over) as front:
            client = Client(*await asyncio.open_connection(*front.address))
            got = await client.ask(target, method="POST" if target == "/once" else "GET")
            assert got.code == code and "retry-after" not in got.headers
            assert backend.got.qsize() == 1
            client.writer.transport.abort()
        backend.stop()

    run(test)
