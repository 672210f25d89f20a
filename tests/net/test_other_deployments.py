"""Tests on sockets of settings from other deployments: class names, allowed probes, minimal features."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any
from urllib.parse import quote

import pytest

from balancer.core.connection_admission import MAX_HEAD_BYTES
from tests.net.test_client_gone import fronting, run, until
from tests.sockets import LIMITS, Backend, Client

NAMES = ["up", "discovery", "høyvann/i dag", "a/b", "a%2Fb", "Øst & vest", "%", "GET", "claim.2", "日本"]
EFFECTS = ["retryable", "dedup", "fragile"]


def classes(*names: str) -> list[dict[str, Any]]:
    """Return classes with these names, cycling through all effects."""
    return [
        {
            "name": name,
            "effect": EFFECTS[index % 3],
            "group": "all",
            "memory-span": 3000,
            "give-up": 4000,
            "objective": 3000,
        }
        for index, name in enumerate(names)
    ]


def test_request_of_a_class_with_any_name_is_served(tmp_path: Path) -> None:
    """Requests reach a backend under any class name; only `/up` without a request id is a health check."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        overrides = {"request-classes": classes(*NAMES)}
        async with fronting(tmp_path, backend.member(), **overrides) as server:
            client = Client(*await asyncio.open_connection(*server.address))
            for row in overrides["request-classes"]:
                target = f"/{quote(row['name'], safe='')}"
                for rest in ("", "?obj=7", "/x/y"):
                    method = "GET" if row["effect"] == "retryable" else "POST"
                    key = ["Idempotency-Key: k"] if row["effect"] == "dedup" else []
                    name = client.send(target + rest, *key, method=method)
                    response = await client.answer()
                    assert (response.code, response.body) == (200, f"b0 {name}".encode()), row["name"]
                    assert (await backend.got.get()).start == f"{method} {target}{rest} HTTP/1.1"
            client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            assert (await client.answer()).body == b"up\n" and backend.got.empty()
            client.send("/none")
            assert (await client.answer()).code == 404
            up_line = "/up HTTP/1.1\r\n"
            for start_line in ("/up?obj=7 HTTP/1.1", f"{up_line}Tenant: t", f"{up_line}Request-Timeout: 9m"):
                other = Client(*await asyncio.open_connection(*server.address))
                other.writer.write(f"GET {start_line}\r\n\r\n".encode())
                assert (await other.answer()).code == 400
                other.writer.transport.abort()
            client.writer.transport.abort()
        backend.stop()

    run(test)


@pytest.mark.parametrize("rest", ["", "/x", "?obj=ø", "/%C3%B8?obj=%"])
@pytest.mark.parametrize("name", ["日本", "høyvann/idag", "a/b"])
def test_unescaped_target_is_forwarded_unchanged(tmp_path: Path, name: str, rest: str) -> None:
    """Also when the request is split at any byte, is followed by another one, or has a non-ASCII body."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        target = f"/{name}{rest}".encode()
        overrides = {"request-classes": classes("x", name)}
        async with fronting(tmp_path, backend.member(), **overrides) as server:
            client = Client(*await asyncio.open_connection(*server.address))
            body = "ø\nø HTTP/1.1\n".encode()
            text = b"POST %b HTTP/1.1\r\nRequest-Id: 99\r\nIdempotency-Key: \xc3\xb8\r\n" % target
            text += b"Content-Length: %d\r\n\r\n" % len(body)
            cuts = (0, 1, 5, 1, 2, 3, 6, 7, 8, len(target) + 4, len(target) + 6, len(text))
            for number, cut in enumerate(cuts, 10):
                empty = (
                    b"\r\n" if number in (10, 12, 13, 14, 15) else b""
                )  # some clients send an empty line first
                whole = empty + text.replace(b": 99", b": %d" % number) + body
                client.writer.write(whole[:cut])
                await asyncio.sleep(0.002)
                client.writer.write(whole[cut:])
                response = await client.answer()
                assert (response.code, response.body) == (200, b"b0 %d" % number)
                sent = await backend.got.get()
                assert sent.start.encode("latin-1") == b"POST %b HTTP/1.1" % target and sent.body == body
            client.writer.transport.abort()
        backend.stop()

    run(test)


def test_empty_lines_before_a_request_are_not_buffered(tmp_path: Path) -> None:
    """Guards against unbounded buffering: the parser skips empty lines, so no header limit applies."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", port=9).member()) as server:
            client = Client(*await asyncio.open_connection(*server.address))
            for _ in range(20):
                client.writer.write(b"\r" * 65536)
                await client.writer.drain()
            client.writer.write(b"\nGET /up HTTP/1.1\r\n\r\n")
            assert (await client.answer()).body == b"up\n"
            (connection,) = server.connections
            assert len(connection.request_line) == 0
            client.writer.write(b"\r" * 12_000 + b"\nGET /up")
            await until(lambda: connection.is_receiving_request)
            assert connection.request_line == b"GET /up"  # the empty lines are not kept
            client.writer.write(b" HTTP/1.1\r\n\r\n")
            assert (await client.answer()).body == b"up\n"
            client.writer.write(b"GET /" + b"x" * 65536)  # an endless line is bounded as well
            assert (await client.answer()).code == 431
            assert len(connection.request_line) <= MAX_HEAD_BYTES + 256 * 1024  # the head limit plus one read
            client.writer.transport.abort()

    run(test)


def test_request_line_is_not_taken_from_another_request(tmp_path: Path) -> None:
    """Guards against forwarding a request with the target of another request or of a header."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        async with fronting(tmp_path, backend.member()) as server:
            client = Client(*await asyncio.open_connection(*server.address))
            client.writer.write("GET /up?ø HTTP/1.1\r\n\r\n".encode())
            assert (await client.answer()).body == b"up\n"
            assert (await client.ask("/read/x")).code == 200
            assert (await backend.got.get()).start == "GET /read/x HTTP/1.1"
            # A pipelined request whose headers arrive separately and resemble a non-ASCII request line.
            client.writer.write(b"GET /up HTTP/1.1\r\n\r\nGET /read/y HTTP/1.1\r\n")
            assert (await client.answer()).body == b"up\n"
            client.writer.write("Tenant: fjell sjø\r\nRequest-Id: 7\r\n\r\n".encode())
            assert (await client.answer()).code == 200
            assert (await backend.got.get()).start == "GET /read/y HTTP/1.1"
            client.writer.transport.abort()
        backend.stop()

    run(test)


MALFORMED_REQUEST_LINES = ["GET /read?ø\r\n", "GET  /read?ø HTTP/1.1\r\n", "GET /read?ø  HTTP/1.1\r\n"]


@pytest.mark.parametrize("line", MALFORMED_REQUEST_LINES)
def test_malformed_request_line_is_forwarded_with_its_target_only(tmp_path: Path, line: str) -> None:
    """Guards against forwarding a line end inside the request line, or a target that no client sent."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        async with fronting(tmp_path, backend.member()) as server:
            client = Client(*await asyncio.open_connection(*server.address))
            client.writer.write(line.encode() + b"Request-Id: 8\r\n\r\n")
            assert (await client.answer()).code == 200
            sent = await backend.got.get()
            assert sent.start.encode("latin-1") == "GET /read?ø HTTP/1.1".encode()
            client.writer.transport.abort()
        backend.stop()

    run(test)


@pytest.mark.parametrize("how", ["inline", "on_probe", "off"])
def test_request_with_probes_allowed_waits_for_none(tmp_path: Path, how: str) -> None:
    """The node sends no probes: a request waiting for one would be answered only after its deadline."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        overrides: dict[str, Any] = {
            "limits": LIMITS | {"probing": True},
            "charges": {"probe": 0.001},
            "load-info": {"how": how, "names": ["active"]},
        }
        async with fronting(tmp_path, backend.member(), **overrides) as server:
            assert not server.node.balancer.probing_enabled
            client = Client(*await asyncio.open_connection(*server.address))
            assert (await client.ask("/read")).code == 200
            assert backend.got.qsize() == 1
            client.writer.transport.abort()
        backend.stop()

    run(test)


@pytest.mark.parametrize(("target", "code"), [("/once", 502), ("/read", 503)])
def test_request_with_all_features_disabled_gets_one_attempt(tmp_path: Path, target: str, code: int) -> None:
    """One attempt, no cancellation, no Retry-After, no zones and no load reports."""

    async def test() -> None:
        async def reset_connection(backend: Backend, message: Any, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        backend = Backend("b0", reset_connection)
        await backend.start()
        limits = {"cancel": False, "most-tries": 1, "retry-after": False, "conn-idle": 300}
        overrides = {"limits": limits, "load-info": {"how": "off"}, "zone": "", "weight-source": "off"}
        async with fronting(tmp_path, backend.member(locality=""), **overrides) as server:
            client = Client(*await asyncio.open_connection(*server.address))
            response = await client.ask(target, method="POST" if target == "/once" else "GET")
            assert response.code == code and "retry-after" not in response.headers
            assert backend.got.qsize() == 1
            client.writer.transport.abort()
        backend.stop()

    run(test)
