"""Responses of etcd's gateway: complete, in pieces and malformed."""

from __future__ import annotations

import json
import tracemalloc
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.protocol.etcd_watch import response_decoder, responses
from balancer.protocol.etcd_watch.response_decoder import CallKind, ResponseDecoder
from balancer.protocol.etcd_watch.responses import InvalidResponse, KeyValue, ResponseFault
from tests.protocol.etcd_watch.gateway_bytes import (
    HEADER,
    JSON_VALUES,
    PAGE_RESPONSE,
    RAW_HEADER,
    WATCH_MESSAGES,
    WATCH_RESPONSE,
    base64_text,
    call_error,
    chunk,
    chunked_response,
    put_event,
    sized_response,
    watch_line,
)


def decode(kind: CallKind, data: bytes, piece_bytes: int = 0) -> list[responses.Message]:
    """All messages of a response that arrives in pieces, 0 for one piece, before its connection ends."""
    decoder = ResponseDecoder(kind)
    messages = []
    size = piece_bytes or len(data) or 1
    for start in range(0, len(data), size):
        messages += decoder.receive(data[start : start + size])
    return messages + decoder.end()


# --- complete responses


@pytest.mark.parametrize("piece_bytes", [0, 1, 7, 100])
def test_decoder_watch_in_pieces_yields_all_messages(piece_bytes: int) -> None:
    assert decode(CallKind.WATCH, WATCH_RESPONSE, piece_bytes) == WATCH_MESSAGES
    # The error that ends a stream has no newline, and a killed server sends not even the last chunk.
    without_last_chunk = WATCH_RESPONSE[: -len(b"\r\n0\r\n\r\n")]
    assert decode(CallKind.WATCH, without_last_chunk, piece_bytes) == WATCH_MESSAGES


@pytest.mark.parametrize("piece_bytes", [0, 1])
def test_decoder_page_in_pieces_yields_the_page(piece_bytes: int) -> None:
    page = responses.RangePage(HEADER, (KeyValue(b"/m/a", b"v", 3),), True, 7)
    assert decode(CallKind.RANGE, PAGE_RESPONSE, piece_bytes) == [page]
    empty_response, empty_page = (
        sized_response({"header": RAW_HEADER}),
        responses.RangePage(HEADER, (), False, 0),
    )
    assert decode(CallKind.RANGE, empty_response, piece_bytes) == [empty_page]


def test_decoder_unreadable_entry_of_a_page_costs_only_itself() -> None:
    without_value = {"key": base64_text(b"/m/a"), "value": "=!", "mod_revision": "4"}
    entries = [{"key": "!!"}, {}, 7, without_value, put_event(b"/m/b", 5)["kv"]]
    (page,) = decode(CallKind.RANGE, sized_response({"header": RAW_HEADER, "kvs": entries}))
    assert isinstance(page, responses.RangePage)
    assert len(page.unreadable_entries) == 3
    assert page.key_values == (KeyValue(b"/m/a", None, 4), KeyValue(b"/m/b", b"v", 5))


def test_decoder_token_is_never_printed() -> None:
    response = sized_response({"header": RAW_HEADER, "token": "sqTUuRHeDKjcScot.23"})
    (message,) = decode(CallKind.AUTHENTICATE, response)
    assert isinstance(message, responses.Authenticated)
    assert message.token == "sqTUuRHeDKjcScot.23"
    assert "sqTU" not in repr(message)


@pytest.mark.parametrize("token", ["", None, 7, "a\r\nHost: b"])
def test_decoder_token_that_is_no_header_value_is_rejected(token: object) -> None:
    (message,) = decode(CallKind.AUTHENTICATE, sized_response({"header": RAW_HEADER, "token": token}))
    assert isinstance(message, InvalidResponse)
    assert message.fault is ResponseFault.UNEXPECTED_SHAPE


def test_decoder_complete_response_leaves_the_connection_reusable() -> None:
    decoder = ResponseDecoder(CallKind.RANGE)
    assert len(decoder.receive(PAGE_RESPONSE)) == 1
    assert decoder.has_ended
    assert decoder.is_reusable


def test_decoder_incomplete_response_does_not_leave_the_connection_reusable() -> None:
    decoder = ResponseDecoder(CallKind.RANGE)
    assert decoder.receive(PAGE_RESPONSE[:-1]) == []
    assert not decoder.is_reusable
    assert [type(message) for message in decoder.end()] == [InvalidResponse]


def test_decoder_bytes_after_a_response_do_not_leave_the_connection_reusable() -> None:
    decoder = ResponseDecoder(CallKind.RANGE)
    assert len(decoder.receive(PAGE_RESPONSE + b"HTTP/1.1 200 OK\r\n")) == 1
    assert not decoder.is_reusable


# --- rejected calls

FLAGS = ("is_compacted", "is_token_expired", "is_permission_denied", "is_auth_disabled", "is_overloaded")


@pytest.mark.parametrize(
    ("status", "body", "expected_flag"),
    [
        (
            "400 Bad Request",
            call_error(11, "mvcc: required revision has been compacted"),
            "is_compacted",
        ),
        ("401 Unauthorized", call_error(16, "invalid auth token"), "is_token_expired"),
        ("403 Forbidden", call_error(7, "permission denied"), "is_permission_denied"),
        ("400 Bad Request", call_error(3, "user name is empty"), "is_permission_denied"),
        (
            "400 Bad Request",
            call_error(3, "authentication failed, invalid user ID or password"),
            "is_permission_denied",
        ),
        ("412 Precondition Failed", call_error(9, "authentication is not enabled"), "is_auth_disabled"),
        ("404 Not Found", b"Not Found\n", ""),
        ("503 Service Unavailable", b"", "is_overloaded"),  # from a proxy
        ("503 Service Unavailable", call_error(14, "etcdserver: no leader"), ""),
        ("429 Too Many Requests", call_error(8, "too many requests"), "is_overloaded"),
    ],
)
def test_gateway_error_has_the_flag_of_its_cause(
    status: str, body: dict[str, Any] | bytes, expected_flag: str
) -> None:
    (error,) = decode(CallKind.RANGE, sized_response(body, status))
    assert isinstance(error, responses.GatewayError)
    assert error.http_status == int(status[:3])
    assert [flag for flag in FLAGS if getattr(error, flag)] == ([expected_flag] if expected_flag else [])
    assert error.retry_after_s == 0


@pytest.mark.parametrize("body", [sized_response(call_error(8, "too many")), sized_response(b"busy\n")])
@pytest.mark.parametrize(
    ("header_value", "retry_after_s"),
    [("7", 7), (" 30 ", 30), ("9" * 99, 99_999), ("Wed, 02 Dec 2026 07:28:00 GMT", 0), ("-3", 0), ("", 0)],
)
def test_gateway_error_retry_after_is_taken_in_seconds_only(
    header_value: str, retry_after_s: int, body: bytes
) -> None:
    head = f"HTTP/1.1 429 Too Many Requests\r\nRetry-After: {header_value}\r\n".encode()
    (error,) = decode(CallKind.RANGE, body.replace(b"HTTP/1.1 200 OK\r\n", head), 1)
    assert isinstance(error, responses.GatewayError)
    assert error.is_overloaded
    assert error.retry_after_s == retry_after_s


FORGED_TEXT = "gone\nERROR forged \x1b[31m"


@pytest.mark.parametrize(
    ("kind", "data"),
    [
        (CallKind.RANGE, sized_response(call_error(2, FORGED_TEXT), "500 Oh")),
        (CallKind.WATCH, chunked_response(watch_line(canceled=True, cancel_reason=FORGED_TEXT) + b"\n")),
    ],
)
def test_decoder_text_of_an_endpoint_is_printable_on_one_line(kind: CallKind, data: bytes) -> None:
    (message,) = decode(kind, data)
    if isinstance(message, responses.GatewayError):
        text = message.message
    else:
        assert isinstance(message, responses.WatchCanceled)
        text = message.reason
    assert "gone" in text
    assert "forged" in text
    assert text.isprintable()


# --- what cannot be decoded


def test_decoder_watch_cut_within_a_line_loses_only_that_line() -> None:
    response = chunked_response(
        watch_line(created=True) + b"\n", watch_line(events=[put_event(b"/m/a", 7)]) + b"\n"
    )
    messages = decode(CallKind.WATCH, response[:-9])
    assert messages[0] == responses.WatchCreated(HEADER)
    assert len(messages) == 2
    assert isinstance(messages[1], InvalidResponse)
    assert messages[1].fault is ResponseFault.TRUNCATED


def event_line(event: Any) -> bytes:
    """A response with a line of one event."""
    return chunked_response(watch_line(events=[event]) + b"\n")


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"SSH-2.0-OpenSSH_9.2\r\n", ResponseFault.NOT_HTTP),
        (
            b"HTTP/1.1 200 OK\r\nX: " + b"x" * response_decoder.MAX_HEAD_BYTES,
            ResponseFault.HEAD_TOO_LARGE,
        ),
        (
            chunked_response() + b"1;" + b"x" * 2 * response_decoder.MAX_HEAD_BYTES,
            ResponseFault.HEAD_TOO_LARGE,
        ),
        (chunked_response(b"{oh dear}\n"), ResponseFault.NOT_JSON),
        (chunked_response(b"[" * 100_000 + b"\n"), ResponseFault.NOT_JSON),
        (chunked_response(b"\xff\n"), ResponseFault.NOT_JSON),
        (chunked_response(b"[]\n"), ResponseFault.UNEXPECTED_SHAPE),
        (chunked_response(b"{}\n"), ResponseFault.UNEXPECTED_SHAPE),
        (chunked_response(b'{"result":{"header":{}}}\n'), ResponseFault.UNEXPECTED_SHAPE),
        (event_line({"kv": {"key": "!!", "mod_revision": "4"}}), ResponseFault.UNEXPECTED_SHAPE),
        (event_line({"kv": {"key": "YQ=="}}), ResponseFault.UNEXPECTED_SHAPE),
        (event_line({"kv": {"key": "YQ==", "mod_revision": "1e9"}}), ResponseFault.UNEXPECTED_SHAPE),
        (event_line({"type": "MOVE"} | put_event(b"a", 4)), ResponseFault.UNEXPECTED_SHAPE),
        (chunked_response(watch_line(events={"a": 1}) + b"\n"), ResponseFault.UNEXPECTED_SHAPE),
        (chunked_response(watch_line(canceled="yes") + b"\n"), ResponseFault.UNEXPECTED_SHAPE),
    ],
)
def test_decoder_fault_is_named_and_ends_the_response(data: bytes, fault: ResponseFault) -> None:
    messages = decode(CallKind.WATCH, data + b"x" * 100)
    assert isinstance(messages[-1], InvalidResponse)
    assert messages[-1].fault is fault
    assert not any(isinstance(message, InvalidResponse) for message in messages[:-1])


@pytest.mark.parametrize("kind", [CallKind.WATCH, CallKind.RANGE])
def test_decoder_line_over_its_bound_ends_the_response(kind: CallKind) -> None:
    block = b" " * 65536
    decoder = ResponseDecoder(kind)
    assert decoder.receive(chunked_response()) == []
    for _ in range(response_decoder.MAX_LINE_BYTES // len(block)):
        assert decoder.receive(chunk(block)) == []
    assert not decoder.has_ended
    (message,) = decoder.receive(chunk(b" "))
    assert isinstance(message, InvalidResponse)
    assert message.fault is ResponseFault.TOO_LARGE
    assert decoder.has_ended
    assert decoder.receive(chunk(block)) == []


# --- long lines


def test_decoder_many_events_of_a_line_come_as_several_messages() -> None:
    max_events = response_decoder.MAX_EVENTS_PER_MESSAGE
    events = [put_event(b"/m/%d" % i, 5) for i in range(2 * max_events + 1)]
    decoder = ResponseDecoder(CallKind.WATCH)
    decoder.feed(chunked_response(watch_line(events=events) + b"\n", watch_line() + b"\n"))
    sizes = []
    while isinstance(message := decoder.pull(), responses.WatchEvents):
        sizes.append((len(message.events), message.is_fragment))
    assert sizes == [(max_events, True), (max_events, True), (1, False)]
    assert message == responses.WatchProgress(HEADER)


EVENT_COUNT = 400
LONG_RESULT = {
    "header": RAW_HEADER,
    "fragment": True,
    "events": [put_event(b"/m/%d" % i, 5, b"x" * 300) for i in range(EVENT_COUNT)],
}


@pytest.mark.parametrize("piece_bytes", [0, 4000])
@pytest.mark.parametrize("indent", [None, 1])
def test_decoder_long_line_yields_all_events(piece_bytes: int, indent: int | None) -> None:
    line = json.dumps({"result": LONG_RESULT}, indent=indent).replace("\n", "").encode()
    assert len(line) > response_decoder.LARGE_LINE_BYTES
    first, second = decode(CallKind.WATCH, chunked_response(line + b"\n"), piece_bytes)
    assert isinstance(first, responses.WatchEvents)
    assert isinstance(second, responses.WatchEvents)
    keys = [key_value.key for key_value in first.events + second.events]
    assert keys == [b"/m/%d" % i for i in range(EVENT_COUNT)]
    assert first.is_fragment
    assert second.is_fragment


def test_decoder_long_line_is_decoded_no_further_than_needed() -> None:
    head, _, tail = json.dumps({"result": LONG_RESULT}).encode().rpartition(b"}}, {")
    decoder = ResponseDecoder(CallKind.WATCH)
    decoder.feed(chunked_response(head + b"}} {" + tail + b"\n"))
    assert isinstance(decoder.pull(), responses.WatchEvents)  # the fault is in a later event
    assert isinstance(decoder.pull(), InvalidResponse)


@pytest.mark.parametrize("piece_bytes", [0, 5000])
@pytest.mark.parametrize(
    "template",
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
def test_decoder_long_line_that_is_not_etcds_is_rejected(template: str, piece_bytes: int) -> None:
    event = json.dumps(put_event(b"/m/a", 5, b"x" * response_decoder.LARGE_LINE_BYTES))
    line = template.replace("E", event).replace("H", json.dumps(RAW_HEADER)).encode()
    messages = decode(CallKind.WATCH, chunked_response(line + b"\n"), piece_bytes)
    assert isinstance(messages[-1], InvalidResponse)
    assert messages[-1].fault in (ResponseFault.NOT_JSON, ResponseFault.UNEXPECTED_SHAPE)


def test_decoder_line_in_tiny_chunks_takes_no_more_memory_than_its_bytes() -> None:
    """The bound of a line counts bytes; a line kept as pieces of two bytes took twenty times the memory."""
    decoder, size = ResponseDecoder(CallKind.WATCH), 200_000
    decoder.feed(chunked_response())
    tracemalloc.start()
    try:
        decoder.feed(b"2\r\nab\r\n" * (size // 2))
        memory_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert memory_bytes < 3 * size


# --- drawn cases


@settings(max_examples=150, deadline=None)
@given(
    kind=st.sampled_from(CallKind),
    base=st.sampled_from([WATCH_RESPONSE, PAGE_RESPONSE, sized_response({"token": "t"}), b""]),
    edits=st.lists(st.tuples(st.integers(0, 2000), st.binary(max_size=6), st.integers(0, 3)), max_size=4),
    piece_sizes=st.lists(st.integers(1, 60), min_size=1, max_size=8),
)
def test_decoder_damaged_response_never_raises_and_pieces_do_not_matter(
    kind: CallKind, base: bytes, edits: list[tuple[int, bytes, int]], piece_sizes: list[int]
) -> None:
    data = base
    for position, inserted, dropped_bytes in edits:
        position %= len(data) + 1
        data = data[:position] + inserted + data[position + dropped_bytes :]
    decoder, messages, start, turn = ResponseDecoder(kind), [], 0, 0
    while start < len(data):
        size = piece_sizes[turn % len(piece_sizes)]
        messages += decoder.receive(data[start : start + size])
        start, turn = start + size, turn + 1
    messages += decoder.end()
    assert without_details(messages) == without_details(decode(kind, data))


def without_details(messages: list[responses.Message]) -> list[responses.Message | ResponseFault]:
    """Messages with the faults of invalid responses, whose details depend on the pieces."""
    return [message.fault if isinstance(message, InvalidResponse) else message for message in messages]


@settings(max_examples=100, deadline=None)
@given(JSON_VALUES, st.sampled_from(CallKind))
def test_decoder_any_json_becomes_messages(value: Any, kind: CallKind) -> None:
    for message in decode(kind, sized_response(json.dumps(value).encode() + b"\n")):
        assert isinstance(message, responses.Message)
