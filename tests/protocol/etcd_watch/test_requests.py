"""Requests to etcd's JSON gateway."""

from __future__ import annotations

import json
from typing import Any

import pytest

from balancer.protocol.etcd_watch import requests
from balancer.protocol.etcd_watch.requests import RequestBuilder
from tests.protocol.etcd_watch.gateway_bytes import base64_text

FIRST_KEY, RANGE_END = base64_text(b"/m/"), base64_text(b"/m0")


@pytest.fixture
def builder() -> RequestBuilder:
    return RequestBuilder("etcd:2379", b"/m/")


def path_and_body(request: bytes) -> tuple[str, dict[str, Any]]:
    """The path and the body of a request, whose head is checked."""
    head, _, body = request.partition(b"\r\n\r\n")
    assert f"Content-Length: {len(body)}".encode() in head
    assert b"Host: etcd:2379" in head
    return head.split(b" ")[1].decode(), json.loads(body)


def test_range_request_first_page_has_the_whole_prefix(builder: RequestBuilder) -> None:
    expected = {"key": FIRST_KEY, "range_end": RANGE_END, "limit": requests.DEFAULT_PAGE_KEYS}
    assert path_and_body(builder.range_request()) == ("/v3/kv/range", expected)


def test_range_request_later_page_begins_after_the_last_key(builder: RequestBuilder) -> None:
    expected = {"key": base64_text(b"/m/b\0"), "range_end": RANGE_END, "limit": 9, "revision": "41"}
    assert path_and_body(builder.range_request(b"/m/b", 41, 9)) == ("/v3/kv/range", expected)


def test_check_request_reads_one_key_linearizable(builder: RequestBuilder) -> None:
    one_key = {"key": FIRST_KEY, "count_only": True, "serializable": False}
    assert path_and_body(builder.check_request())[1] == one_key
    assert path_and_body(builder.check_request(count=True))[1] == one_key | {"range_end": RANGE_END}


def test_watch_request_asks_for_progress_and_fragments(builder: RequestBuilder) -> None:
    create_request = path_and_body(builder.watch_request(42))[1]["create_request"]
    assert create_request["start_revision"] == "42"
    assert create_request["progress_notify"]
    assert create_request["fragment"]


def test_authenticate_request_has_the_credentials(builder: RequestBuilder) -> None:
    expected = ("/v3/auth/authenticate", {"name": "u", "password": "p"})
    assert path_and_body(builder.authenticate_request("u", "p")) == expected


def test_request_token_becomes_a_header(builder: RequestBuilder) -> None:
    assert b"\r\nAuthorization: t.1\r\n" in builder.watch_request(1, "t.1")
    assert b"Authorization" not in builder.watch_request(1)


@pytest.mark.parametrize(("prefix", "range_end"), [(b"", b"\0"), (b"a\xff", b"b"), (b"\xff", b"\0")])
def test_prefix_range_end_is_the_next_prefix(prefix: bytes, range_end: bytes) -> None:
    assert requests.prefix_range_end(prefix) == range_end
