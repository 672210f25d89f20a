"""etcd's gateway: answers as etcd 3.4 gives them, whole, trickled and damaged; entries of members."""

from __future__ import annotations

import base64
import json
import tracemalloc
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.endpoints import EndpointRecord, InvalidEntry
from balancer.interface import Phase
from balancer.protocol import etcd_watch as ew
from balancer.protocol.etcd_entry import MAX_VALUE_BYTES, parse_entry
from balancer.protocol.etcd_watch import (
    CallKind,
    KeyValue,
    RequestBuilder,
    ResponseDecoder,
    ResponseFault,
    ResponseHeader,
)

CLUSTER = "18178654929822060267"
HEAD = {"cluster_id": CLUSTER, "member_id": "17995607449936952425", "revision": "8", "raft_term": "2"}
HEADER = ResponseHeader(CLUSTER, "17995607449936952425", 8, 2)


def b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def chunked(*chunks: bytes, status: str = "200 OK", end: bool = False) -> bytes:
    head = f"HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    return head + b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks) + (b"0\r\n\r\n" if end else b"")


def sized(body: dict[str, Any] | bytes, status: str = "200 OK") -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


def line(**result: Any) -> bytes:
    return json.dumps({"result": {"header": HEAD} | result}).encode()


def put(key: bytes, revision: int, value: bytes = b"v") -> dict[str, Any]:
    return {"kv": {"key": b64(key), "mod_revision": str(revision), "value": b64(value)}}


def error(code: int, text: str) -> dict[str, Any]:
    return {"error": f"etcdserver: {text}", "message": f"etcdserver: {text}", "code": code}


def delete(key: bytes, revision: int) -> dict[str, Any]:
    return {"type": "DELETE", "kv": {"key": b64(key), "mod_revision": str(revision)}}


WATCH = chunked(
    line(created=True) + b"\n",
    line(events=[put(b"/m/a", 7), delete(b"/m/b", 8)]),
    b"\n",  # in a chunk of its own, as etcd's gateway may send it
    line() + b"\n" + line(events=[put(b"/m/c", 9, b"")], fragment=True) + b"\n",
    line(canceled=True, compact_revision="9") + b"\n",
    b'{"error":{"grpc_code":14,"http_code":503,"message":"etcdserver: server stopped"}}',
    end=True,
)
SAID: list[ew.Message] = [
    ew.WatchCreated(HEADER),
    ew.WatchEvents(HEADER, (KeyValue(b"/m/a", b"v", 7), KeyValue(b"/m/b", None, 8, True)), False),
    ew.WatchProgress(HEADER),
    ew.WatchEvents(HEADER, (KeyValue(b"/m/c", b"", 9),), True),
    ew.WatchCanceled(HEADER, 9, ""),
    ew.GatewayError(14, "etcdserver: server stopped"),
]
PAGE = sized({"header": HEAD, "kvs": [put(b"/m/a", 3)["kv"]], "more": True, "count": "7"})


def said(kind: CallKind, data: bytes, cut: int = 0) -> list[ew.Message]:
    """All messages of an answer that comes in pieces of `cut` bytes."""
    answer = ResponseDecoder(kind)
    out = []
    for start in range(0, len(data), cut or len(data) or 1):
        out += answer.receive(data[start : start + (cut or len(data))])
    return out + answer.end()


@pytest.mark.parametrize("cut", [0, 1, 7, 100])
def test_a_watch(cut: int) -> None:
    assert said(CallKind.WATCH, WATCH, cut) == SAID
    # The error that ends a stream has no newline, and a killed server not even the last chunk.
    assert said(CallKind.WATCH, WATCH[: -len(b"\r\n0\r\n\r\n")], cut) == SAID


def test_a_line_that_its_end_cut_short_is_lost_and_nothing_else() -> None:
    whole = chunked(line(created=True) + b"\n", line(events=[put(b"/m/a", 7)]) + b"\n")
    messages = said(CallKind.WATCH, whole[:-9])
    assert messages[0] == ew.WatchCreated(HEADER) and len(messages) == 2
    assert isinstance(messages[1], ew.InvalidResponse) and messages[1].fault is ResponseFault.TRUNCATED


@pytest.mark.parametrize("cut", [0, 1])
def test_a_page(cut: int) -> None:
    assert said(CallKind.RANGE, PAGE, cut) == [ew.RangePage(HEADER, (KeyValue(b"/m/a", b"v", 3),), True, 7)]
    assert said(CallKind.RANGE, sized({"header": HEAD}), cut) == [ew.RangePage(HEADER, (), False, 0)]


def test_a_connection_carries_one_call_after_another() -> None:
    first, short, more = (
        ResponseDecoder(CallKind.RANGE),
        ResponseDecoder(CallKind.RANGE),
        ResponseDecoder(CallKind.RANGE),
    )
    assert len(first.receive(PAGE)) == 1 and first.has_ended and first.is_reusable
    assert short.receive(PAGE[:-1]) == [] and not short.is_reusable
    assert [type(m) for m in short.end()] == [ew.InvalidResponse]
    assert len(more.receive(PAGE + b"HTTP/1.1 200 OK\r\n")) == 1 and not more.is_reusable


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        ("400 Bad Request", error(11, "mvcc: required revision has been compacted"), "is_compacted"),
        ("401 Unauthorized", error(16, "invalid auth token"), "is_token_expired"),
        ("403 Forbidden", error(7, "permission denied"), "is_permission_denied"),
        ("400 Bad Request", error(3, "user name is empty"), "is_permission_denied"),
        (
            "400 Bad Request",
            error(3, "authentication failed, invalid user ID or password"),
            "is_permission_denied",
        ),
        ("412 Precondition Failed", error(9, "authentication is not enabled"), "is_auth_disabled"),
        ("404 Not Found", b"Not Found\n", ""),
        ("503 Service Unavailable", b"", "is_overloaded"),  # a proxy's
        ("503 Service Unavailable", error(14, "etcdserver: no leader"), ""),
        ("429 Too Many Requests", error(8, "too many requests"), "is_overloaded"),
    ],
)
def test_refusals(status: str, body: dict[str, Any] | bytes, expected: str) -> None:
    messages = said(CallKind.RANGE, sized(body, status))
    (error,) = messages
    assert isinstance(error, ew.GatewayError) and error.http_status == int(status[:3])
    flags = [
        f
        for f in (
            "is_compacted",
            "is_token_expired",
            "is_permission_denied",
            "is_auth_disabled",
            "is_overloaded",
        )
        if getattr(error, f)
    ]
    assert flags == ([expected] if expected else []) and error.retry_after_s == 0


@pytest.mark.parametrize(
    ("told", "after_s"),
    [("7", 7), (" 30 ", 30), ("9" * 99, 99_999), ("Wed, 02 Dec 2026 07:28:00 GMT", 0), ("-3", 0), ("", 0)],
)
def test_how_long_a_busy_one_wants_to_be_left_alone(told: str, after_s: int) -> None:
    head = f"HTTP/1.1 429 Too Many Requests\r\nRetry-After: {told}\r\n".encode()
    for body in (sized(error(8, "too many")), sized(b"busy\n")):
        (got,) = said(CallKind.RANGE, body.replace(b"HTTP/1.1 200 OK\r\n", head), 1)
        assert isinstance(got, ew.GatewayError) and (got.is_overloaded, got.retry_after_s) == (True, after_s)


@pytest.mark.parametrize(
    ("kind", "data"),
    [
        (CallKind.RANGE, sized(error(2, "gone\nERROR forged \x1b[31m"), "500 Oh")),
        (CallKind.WATCH, chunked(line(canceled=True, cancel_reason="gone\nERROR forged \x1b[31m") + b"\n")),
    ],
)
def test_what_an_endpoint_says_stays_on_one_line_of_the_log(kind: CallKind, data: bytes) -> None:
    (message,) = said(kind, data)
    text = message.message if isinstance(message, ew.GatewayError) else getattr(message, "reason", "")
    assert "gone" in text and "forged" in text and text.isprintable()


def test_a_log_in_hides_its_token() -> None:
    (message,) = said(CallKind.AUTHENTICATE, sized({"header": HEAD, "token": "sqTUuRHeDKjcScot.23"}))
    assert isinstance(message, ew.Authenticated) and message.token == "sqTUuRHeDKjcScot.23"
    assert "sqTU" not in repr(message)
    for token in ("", None, 7, "a\r\nHost: b"):
        (message,) = said(CallKind.AUTHENTICATE, sized({"header": HEAD, "token": token}))
        assert isinstance(message, ew.InvalidResponse) and message.fault is ResponseFault.UNEXPECTED_SHAPE


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"SSH-2.0-OpenSSH_9.2\r\n", ResponseFault.NOT_HTTP),
        (b"HTTP/1.1 200 OK\r\nX: " + b"x" * ew.MAX_HEAD_BYTES, ResponseFault.HEAD_TOO_LARGE),
        (chunked() + b"1;" + b"x" * 2 * ew.MAX_HEAD_BYTES, ResponseFault.HEAD_TOO_LARGE),
        (chunked(b"{oh dear}\n"), ResponseFault.NOT_JSON),
        (chunked(b"[" * 100_000 + b"\n"), ResponseFault.NOT_JSON),
        (chunked(b"\xff\n"), ResponseFault.NOT_JSON),
        (chunked(b"[]\n"), ResponseFault.UNEXPECTED_SHAPE),
        (chunked(b"{}\n"), ResponseFault.UNEXPECTED_SHAPE),
        (chunked(b'{"result":{"header":{}}}\n'), ResponseFault.UNEXPECTED_SHAPE),
        (
            chunked(line(events=[{"kv": {"key": "!!", "mod_revision": "4"}}]) + b"\n"),
            ResponseFault.UNEXPECTED_SHAPE,
        ),
        (chunked(line(events=[{"kv": {"key": "YQ=="}}]) + b"\n"), ResponseFault.UNEXPECTED_SHAPE),
        (
            chunked(line(events=[{"kv": {"key": "YQ==", "mod_revision": "1e9"}}]) + b"\n"),
            ResponseFault.UNEXPECTED_SHAPE,
        ),
        (chunked(line(events=[{"type": "MOVE"} | put(b"a", 4)]) + b"\n"), ResponseFault.UNEXPECTED_SHAPE),
        (chunked(line(events={"a": 1}) + b"\n"), ResponseFault.UNEXPECTED_SHAPE),
        (chunked(line(canceled="yes") + b"\n"), ResponseFault.UNEXPECTED_SHAPE),
    ],
)
def test_what_cannot_be_read_is_named_and_ends_the_answer(data: bytes, why: ResponseFault) -> None:
    messages = said(CallKind.WATCH, data + b"x" * 100)
    assert isinstance(messages[-1], ew.InvalidResponse) and messages[-1].fault is why
    assert not any(isinstance(m, ew.InvalidResponse) for m in messages[:-1])


def test_the_bound_of_a_line_and_of_a_page() -> None:
    block = b" " * 65536
    for kind in (CallKind.WATCH, CallKind.RANGE):
        answer = ResponseDecoder(kind)
        assert answer.receive(chunked()) == []
        for _ in range(ew.MAX_LINE_BYTES // len(block)):
            assert answer.receive(chunk(block)) == []
        assert not answer.has_ended
        (broken,) = answer.receive(chunk(b" "))
        assert (
            isinstance(broken, ew.InvalidResponse)
            and broken.fault is ResponseFault.TOO_LARGE
            and answer.has_ended
        )
        assert answer.receive(chunk(block)) == []


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def test_many_events_come_in_slices() -> None:
    events = [put(b"/m/%d" % i, 5) for i in range(2 * ew.MAX_EVENTS_PER_MESSAGE + 1)]
    answer = ResponseDecoder(CallKind.WATCH)
    answer.feed(chunked(line(events=events) + b"\n", line() + b"\n"))
    sizes = []
    while isinstance(message := answer.pull(), ew.WatchEvents):
        sizes.append((len(message.events), message.is_fragment))
    assert sizes == [(ew.MAX_EVENTS_PER_MESSAGE, True), (ew.MAX_EVENTS_PER_MESSAGE, True), (1, False)]
    assert message == ew.WatchProgress(HEADER)


@pytest.mark.parametrize("cut", [0, 4000])
def test_a_long_line_is_read_event_by_event(cut: int) -> None:
    events = [put(b"/m/%d" % i, 5, b"x" * 300) for i in range(400)]
    whole = {"header": HEAD, "fragment": True, "events": events}
    plain, spaced = (json.dumps({"result": whole}, indent=i).replace("\n", "").encode() for i in (None, 1))
    assert len(plain) > ew.LARGE_LINE_BYTES
    for text in (plain, spaced):
        first, second = said(CallKind.WATCH, chunked(text + b"\n"), cut)
        assert isinstance(first, ew.WatchEvents) and isinstance(second, ew.WatchEvents)
        keys = [kv.key for kv in first.events + second.events]
        assert keys == [b"/m/%d" % i for i in range(400)] and first.is_fragment and second.is_fragment
    answer = ResponseDecoder(CallKind.WATCH)
    head, _, tail = plain.rpartition(b"}}, {")
    answer.feed(chunked(head + b"}} {" + tail + b"\n"))
    assert isinstance(answer.pull(), ew.WatchEvents)  # what is wrong further on was not read yet
    assert isinstance(answer.pull(), ew.InvalidResponse)


@pytest.mark.parametrize(
    "text",
    [
        '{"result":{"header":H,"events":[E,]}}',
        '{"result":{"header":H,"events":[E E]}}',
        '{"result":{"header":H,"events":[E],"more":[1]}}',
        '{"result":{"header":H},"events":[E]}',
        '{"result":{"header":H,"events":[E}}',
        '{"result":{"header":H,"events":[E]}}]',
        '{"result":{"header":H,"events":{"events":[E]}}}',
    ],
)
def test_a_long_line_that_is_none_of_etcds(text: str) -> None:
    event = json.dumps(put(b"/m/a", 5, b"x" * ew.LARGE_LINE_BYTES))
    for cut in (0, 5000):
        data = text.replace("E", event).replace("H", json.dumps(HEAD)).encode()
        messages = said(CallKind.WATCH, chunked(data + b"\n"), cut)
        assert isinstance(messages[-1], ew.InvalidResponse) and messages[-1].fault in (
            ResponseFault.NOT_JSON,
            ResponseFault.UNEXPECTED_SHAPE,
        )


def test_an_unreadable_entry_of_a_page_costs_itself() -> None:
    spoiled = {"key": b64(b"/m/a"), "value": "=!", "mod_revision": "4"}
    rows = [{"key": "!!"}, {}, 7, spoiled, put(b"/m/b", 5)["kv"]]
    (page,) = said(CallKind.RANGE, sized({"header": HEAD, "kvs": rows}))
    assert isinstance(page, ew.RangePage) and len(page.unreadable_entries) == 3
    assert page.key_values == (KeyValue(b"/m/a", None, 4), KeyValue(b"/m/b", b"v", 5))


@settings(max_examples=150, deadline=None)
@given(
    kind=st.sampled_from(CallKind),
    base=st.sampled_from([WATCH, PAGE, sized({"token": "t"}), b""]),
    edits=st.lists(st.tuples(st.integers(0, 2000), st.binary(max_size=6), st.integers(0, 3)), max_size=4),
    cuts=st.lists(st.integers(1, 60), min_size=1, max_size=8),
)
def test_damage_never_raises_and_cuts_do_not_matter(
    kind: CallKind, base: bytes, edits: list[tuple[int, bytes, int]], cuts: list[int]
) -> None:
    data = base
    for at, new, drop in edits:
        at %= len(data) + 1
        data = data[:at] + new + data[at + drop :]
    whole = said(kind, data)
    answer, pieces, at, turn = ResponseDecoder(kind), [], 0, 0
    while at < len(data):
        pieces += answer.receive(data[at : at + cuts[turn % len(cuts)]])
        at, turn = at + cuts[turn % len(cuts)], turn + 1
    pieces += answer.end()
    assert [m if not isinstance(m, ew.InvalidResponse) else m.fault for m in pieces] == [
        m if not isinstance(m, ew.InvalidResponse) else m.fault for m in whole
    ]


KEYS = [
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


@settings(max_examples=100, deadline=None)
@given(
    st.recursive(
        LEAVES,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(KEYS), inner, max_size=4),
        max_leaves=12,
    ),
    st.sampled_from(CallKind),
)
def test_any_json_is_a_message_or_a_named_fault(value: Any, kind: CallKind) -> None:
    for message in said(kind, sized(json.dumps(value).encode() + b"\n")):
        assert isinstance(message, ew.Message)
    for form in ("member", "grpc-naming"):
        found = parse_entry(KeyValue(b"/m/a", json.dumps(value).encode(), 1), b"/m/", form)
        assert isinstance(found, EndpointRecord | InvalidEntry | str)


def test_requests() -> None:
    asks = RequestBuilder("etcd:2379", b"/m/")

    def body(data: bytes) -> tuple[str, dict[str, Any]]:
        head, _, rest = data.partition(b"\r\n\r\n")
        assert f"Content-Length: {len(rest)}".encode() in head and b"Host: etcd:2379" in head
        return head.split(b" ")[1].decode(), json.loads(rest)

    key, end = b64(b"/m/"), b64(b"/m0")
    assert body(asks.range_request()) == (
        "/v3/kv/range",
        {"key": key, "range_end": end, "limit": ew.DEFAULT_PAGE_KEYS},
    )
    behind = {"key": b64(b"/m/b\0"), "range_end": end, "limit": 9, "revision": "41"}
    assert body(asks.range_request(b"/m/b", 41, 9)) == ("/v3/kv/range", behind)
    one = {"key": key, "count_only": True, "serializable": False}
    assert body(asks.check_request())[1] == one
    assert body(asks.check_request(count=True))[1] == one | {"range_end": end}
    created = body(asks.watch_request(42))[1]["create_request"]
    assert created["start_revision"] == "42" and created["progress_notify"] and created["fragment"]
    assert body(asks.authenticate_request("u", "p")) == (
        "/v3/auth/authenticate",
        {"name": "u", "password": "p"},
    )
    assert b"\r\nAuthorization: t.1\r\n" in asks.watch_request(
        1, "t.1"
    ) and b"Authorization" not in asks.watch_request(1)
    assert [ew.prefix_range_end(p) for p in (b"", b"a\xff", b"\xff")] == [b"\0", b"b", b"\0"]


GOOD = {"host_port": "10.1.0.18:8080", "phase": "in_service", "size": 2.0}
NAMING = {"Op": 0, "Addr": "10.1.0.18:8080", "Metadata": None}


def read(value: object, key: bytes = b"/m/s-1", form: str = "member") -> EndpointRecord | InvalidEntry | str:
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return parse_entry(KeyValue(key, raw, 1), b"/m/", form)


def test_entries_that_can_be_read() -> None:
    one, same, drains = read(GOOD), read(GOOD | {"id": "s-1"}), read(GOOD | {"phase": "terminating"})
    assert isinstance(one, EndpointRecord) and one == same and one.id == "s-1" and one.endpoint.weight == 2.0
    assert isinstance(drains, EndpointRecord) and drains.endpoint.phase is Phase.DRAINING
    assert read({"phase": "terminated"}) == "s-1"
    assert parse_entry(KeyValue(b"/m/s-1", None, 1, True), b"/m/", "member") == "s-1"
    named = read(NAMING, form="grpc-naming")
    assert (
        isinstance(named, EndpointRecord)
        and named.address == ("10.1.0.18", 8080)
        and named.endpoint.weight == 1
    )
    assert read({"Op": 1, "Addr": ""}, form="grpc-naming") == "s-1"


@pytest.mark.parametrize(
    ("value", "key", "form", "part"),
    [
        (b"not json", b"/m/s-1", "member", "not JSON"),
        (b"[" * 60_000, b"/m/s-1", "member", "not JSON"),
        (b"[]", b"/m/s-1", "member", "no object"),
        (b" " * (MAX_VALUE_BYTES + 1), b"/m/s-1", "member", str(MAX_VALUE_BYTES)),
        (GOOD | {"id": "s-2"}, b"/m/s-1", "member", "not that of its key"),
        (GOOD | {"host_port": "10.1.0.18"}, b"/m/s-1", "member", "address"),
        (GOOD | {"host_port": "app.internal:80"}, b"/m/s-1", "member", "app.internal"),
        (GOOD | {"phase": "resting"}, b"/m/s-1", "member", "resting"),
        (GOOD, b"/m/", "member", "no id"),
        (GOOD, b"/m/a/b", "member", "/"),
        (GOOD, b"/m/" + b"a" * 257, "member", "256"),
        (GOOD, b"/m/\xff", "member", "UTF-8"),
        (GOOD, b"/n/a", "member", "below"),
        (NAMING | {"Addr": None}, b"/m/s-1", "grpc-naming", "None"),
        (NAMING | {"Op": 2}, b"/m/s-1", "grpc-naming", "Op"),
        (NAMING | {"Op": True}, b"/m/s-1", "grpc-naming", "Op"),
        (NAMING | {"Op": [1]}, b"/m/s-1", "grpc-naming", "Op"),
        (GOOD, b"/m/s-1", "grpc-naming", "None"),
    ],
)
def test_entries_that_cannot_be_read(value: object, key: bytes, form: str, part: str) -> None:
    fault = read(value, key, form)
    assert isinstance(fault, InvalidEntry) and part in fault.reason and not fault.is_draining
    assert fault.key == "s-1" if key == b"/m/s-1" else "/" in fault.key  # else it is nobody's id
    assert (
        parse_entry(KeyValue(key, None, 1, True), b"/m/", form) == fault.key
    )  # its end takes the fault away


def test_an_unreadable_entry_that_drains_is_obeyed() -> None:
    fault = read({"phase": "terminating", "host_port": "nowhere"})
    assert isinstance(fault, InvalidEntry) and fault.is_draining and fault.key == "s-1"


def test_a_line_in_tiny_chunks_takes_no_more_memory_than_its_bytes() -> None:
    """Guards the bound of a line, which counts bytes: as pieces of two they took twenty times that."""
    answer, size = ew.ResponseDecoder(CallKind.WATCH), 200_000
    answer.feed(chunked())
    tracemalloc.start()
    try:
        answer.feed(b"2\r\nab\r\n" * (size // 2))
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 3 * size
