"""Responses of etcd's JSON gateway, as etcd 3.4 sends them."""

from __future__ import annotations

import base64
import json
from typing import Any

from hypothesis import strategies as st

from balancer.protocol.etcd_watch import responses
from balancer.protocol.etcd_watch.responses import KeyValue, ResponseHeader

CLUSTER_ID, MEMBER_ID = "18178654929822060267", "17995607449936952425"
RAW_HEADER = {"cluster_id": CLUSTER_ID, "member_id": MEMBER_ID, "revision": "8", "raft_term": "2"}
HEADER = ResponseHeader(CLUSTER_ID, MEMBER_ID, 8, 2)


def base64_text(raw: bytes) -> str:
    """Bytes as base64 text, as the gateway writes them."""
    return base64.b64encode(raw).decode()


def chunk(data: bytes) -> bytes:
    """A chunk of a chunked response."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def chunked_response(*chunks: bytes, is_complete: bool = False) -> bytes:
    """The head of a chunked response and some chunks."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(map(chunk, chunks)) + (b"0\r\n\r\n" if is_complete else b"")


def sized_response(body: dict[str, Any] | bytes, status: str = "200 OK") -> bytes:
    """A response with a Content-Length."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


def watch_line(**result: Any) -> bytes:
    """A line of a watch, without its newline."""
    return json.dumps({"result": {"header": RAW_HEADER} | result}).encode()


def put_event(key: bytes, revision: int, value: bytes = b"v") -> dict[str, Any]:
    """An event that writes a key; the gateway omits its type."""
    key_value = {"key": base64_text(key), "mod_revision": str(revision), "value": base64_text(value)}
    return {"kv": key_value}


def delete_event(key: bytes, revision: int) -> dict[str, Any]:
    """An event that deletes a key."""
    return {"type": "DELETE", "kv": {"key": base64_text(key), "mod_revision": str(revision)}}


def call_error(code: int, text: str) -> dict[str, Any]:
    """The body of a call that etcd rejects."""
    return {"error": f"etcdserver: {text}", "message": f"etcdserver: {text}", "code": code}


WATCH_RESPONSE = chunked_response(
    watch_line(created=True) + b"\n",
    watch_line(events=[put_event(b"/m/a", 7), delete_event(b"/m/b", 8)]),
    b"\n",  # in a chunk of its own, as etcd's gateway may send it
    watch_line() + b"\n" + watch_line(events=[put_event(b"/m/c", 9, b"")], fragment=True) + b"\n",
    watch_line(canceled=True, compact_revision="9") + b"\n",
    b'{"error":{"grpc_code":14,"http_code":503,"message":"etcdserver: server stopped"}}',
    is_complete=True,
)
WATCH_MESSAGES: list[responses.Message] = [
    responses.WatchCreated(HEADER),
    responses.WatchEvents(HEADER, (KeyValue(b"/m/a", b"v", 7), KeyValue(b"/m/b", None, 8, True)), False),
    responses.WatchProgress(HEADER),
    responses.WatchEvents(HEADER, (KeyValue(b"/m/c", b"", 9),), True),
    responses.WatchCanceled(HEADER, 9, ""),
    responses.GatewayError(14, "etcdserver: server stopped"),
]
PAGE_RESPONSE = sized_response(
    {"header": RAW_HEADER, "kvs": [put_event(b"/m/a", 3)["kv"]], "more": True, "count": "7"}
)

# Drawn JSON with the gateway's field names.
FIELD_NAMES = [
    "result",
    "header",
    "kvs",
    "events",
    "kv",
    "key",
    "value",
    "mod_revision",
    "error",
    "cluster_id",
    "canceled",
    "created",
    "type",
    "code",
    "message",
    "token",
    "Op",
    "id",
]
LEAVES = st.none() | st.booleans() | st.integers() | st.sampled_from(["8", "YQ==", "DELETE", "é", ""])
JSON_VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(FIELD_NAMES), inner, max_size=4)
    ),
    max_leaves=12,
)
