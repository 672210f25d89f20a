"""Responses of discovery: lists and watches, split at any position, indented and malformed."""

from __future__ import annotations

import itertools
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.protocol import platform_list

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """A chunk of a chunked response."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def receive_messages(parser: platform_list.ResponseParser, *pieces: bytes) -> list[platform_list.Message]:
    """The messages for these bytes, without `ResponseStarted` and heartbeats."""
    return [
        message
        for piece in pieces
        for message in parser.receive(piece)
        if not isinstance(message, platform_list.Heartbeat | platform_list.ResponseStarted)
    ]


WATCH = HEAD + chunk(b"\n") + chunk(b'{"revision"') + chunk(b": 1}\n\n{}") + chunk(b"\n") + b"0\r\n\r\n"
LINES = [
    platform_list.Line(b'{"revision": 1}'),
    platform_list.Line(b"{}"),
    platform_list.ResponseEnded(False),
]


def test_parser_watch_yields_its_lines() -> None:
    assert receive_messages(platform_list.ResponseParser(is_watch=True), WATCH) == LINES


def test_parser_watch_in_single_bytes_yields_its_lines() -> None:
    assert (
        receive_messages(
            platform_list.ResponseParser(is_watch=True), *(WATCH[i : i + 1] for i in range(len(WATCH)))
        )
        == LINES
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, len(WATCH)), max_size=8))
def test_parser_watch_split_at_any_position_yields_its_lines(cuts: list[int]) -> None:
    bounds = [0, *sorted(cuts), len(WATCH)]
    assert (
        receive_messages(
            platform_list.ResponseParser(is_watch=True), *(WATCH[a:b] for a, b in itertools.pairwise(bounds))
        )
        == LINES
    )


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=40), max_size=6), st.booleans())
def test_parser_arbitrary_bytes_never_raises(pieces: list[bytes], is_watch: bool) -> None:
    parser = platform_list.ResponseParser(is_watch)
    for piece in [HEAD, *pieces]:
        parser.receive(piece)
    parser.eof()


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        HEAD + chunk(b"{") + chunk(b"}") + b"0\r\n\r\n",
    ],
)
def test_parser_list_yields_one_line(text: bytes) -> None:
    parser = platform_list.ResponseParser(is_watch=False)
    assert receive_messages(parser, text) == [platform_list.Line(b"{}"), platform_list.ResponseEnded(True)]
    assert parser.receive(b"more") == []


def test_parser_list_without_length_ends_with_its_connection() -> None:
    parser = platform_list.ResponseParser(is_watch=False)
    assert receive_messages(parser, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}") == []
    assert parser.eof() == [platform_list.Line(b"{}"), platform_list.ResponseEnded(True)]
    assert parser.eof() == []


def test_parser_status_other_than_200_yields_no_line() -> None:
    text = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"
    assert receive_messages(platform_list.ResponseParser(is_watch=False), text) == [
        platform_list.ResponseEnded(False)
    ]


def test_parser_line_over_its_bound_is_invalid(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(platform_list, "MAX_LINE_BYTES", 100)
    parser = platform_list.ResponseParser(is_watch=True)
    assert receive_messages(parser, HEAD + chunk(b"x" * 100)) == []
    messages = receive_messages(parser, chunk(b"x"))
    assert messages == [platform_list.InvalidResponse("line too long: over 100 bytes")]


def test_parser_bytes_that_are_not_http_are_invalid() -> None:
    (message,) = receive_messages(platform_list.ResponseParser(is_watch=True), b"nonsense\r\n\r\n")
    assert isinstance(message, platform_list.InvalidResponse)


def test_build_request_watch_keeps_the_connection_alive() -> None:
    request = platform_list.build_request("[::1]:80", "/discovery/hosts", is_watch=True)
    assert request == b"GET /discovery/hosts HTTP/1.1\r\nHost: [::1]:80\r\nConnection: keep-alive\r\n\r\n"


# --- objects that span several lines

ROWS = [
    {"id": "s-{1", "host_port": "10.1.0.18:80", "phase": "in_service", "size": 1.0},
    {"id": 's\\"]}2', "host_port": "10.1.0.19:80", "phase": "terminating", "odd": {"a": [[], {}]}},
    {"id": "\\\\", "host_port": "é:1", "phase": "terminated"},
]
LISTS: list[dict[str, Any]] = [
    {"revision": n, "complete": n == 1, "members": rows}
    for n, rows in enumerate([ROWS, [], ROWS[1:2], ROWS[2:], [ROWS[0]] * 3], 1)
]
FORMS: list[dict[str, Any]] = [
    {},
    {"separators": (",", ":")},
    {"indent": 0},
    {"indent": 1},
    {"indent": 4},
    {"indent": "\t"},
    {"indent": 2, "ensure_ascii": False},
    {"indent": 2, "separators": (",", ":")},
    {"indent": "\r"},
]


def objects(messages: list[platform_list.Message]) -> list[Any]:
    """The JSON values of the lines; None for a line that is not JSON."""
    values = []
    for message in messages:
        if isinstance(message, platform_list.Line):
            try:
                values.append(json.loads(message.text))
            except ValueError:
                values.append(None)
    return values


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.sampled_from(LISTS), st.sampled_from(FORMS), st.sampled_from(["\n", "\r\n"]))),
    st.lists(st.integers(0, 5000), max_size=12),
    st.booleans(),
)
def test_parser_watch_with_indented_objects_yields_the_same_objects(
    sent_objects: list[tuple[dict[str, Any], dict[str, Any], str]], cuts: list[int], chunks: bool
) -> None:
    body = b"\n" + b"".join((json.dumps(value, **form) + end).encode() for value, form, end in sent_objects)
    bounds = [0, *sorted(cut % (len(body) + 1) for cut in cuts), len(body)]
    pieces = [body[a:b] for a, b in itertools.pairwise(bounds) if a < b]
    data = [HEAD, *map(chunk, pieces)] if chunks else [HEAD + b"".join(map(chunk, pieces))]
    parser = platform_list.ResponseParser(is_watch=True)
    assert objects(receive_messages(parser, *data)) == [value for value, _, _ in sent_objects]
    assert not parser.is_incomplete


@pytest.mark.parametrize("form", FORMS)
def test_parser_indented_list_yields_the_list(form: dict[str, Any]) -> None:
    text = json.dumps(LISTS[0], **form).encode()
    parser = platform_list.ResponseParser(is_watch=False)
    messages = receive_messages(
        parser, HEAD, *(chunk(text[i : i + 1]) for i in range(len(text))), b"0\r\n\r\n"
    )
    assert objects(messages) == [LISTS[0]] and messages[-1] == platform_list.ResponseEnded(True)


def test_parser_complete_object_without_newline_is_yielded() -> None:
    """A drain without a trailing newline was seen only with the next heartbeat, two seconds later."""
    drain = {"revision": 7, "complete": False, "members": [{"id": "s-1", "phase": "terminating"}]}
    for form in FORMS:
        parser = platform_list.ResponseParser(is_watch=True)
        assert objects(receive_messages(parser, HEAD, chunk(json.dumps(drain, **form).encode()))) == [drain]
        assert not parser.is_incomplete


@pytest.mark.parametrize(
    "garbage",
    [
        b"{",
        b'{"revision": 2,',
        b'{\n "revision": 2,\n "members": [',
        b'{"a": "}',
        b"}",
        b"]]]",
        b'{"a": "\\',
        b"nonsense {",
        b'{"a": 1}}',
        b"{\n]\n]",
    ],
)
@pytest.mark.parametrize("trailing_bytes", [b"", b"\n", b"\r\n"])
def test_parser_malformed_object_does_not_hide_the_next_line(garbage: bytes, trailing_bytes: bytes) -> None:
    """It is passed on as it is, so that a complete list is requested, and the next line is parsed."""
    valid_line = json.dumps(LISTS[1]).encode() + b"\n"
    body = garbage + b"\n" + trailing_bytes + valid_line
    for data in ([chunk(body)], [chunk(body[i : i + 1]) for i in range(len(body))]):
        *malformed, last = objects(receive_messages(platform_list.ResponseParser(is_watch=True), HEAD, *data))
        assert None in malformed and last == LISTS[1]


def test_parser_object_over_many_lines_has_the_bound_of_a_line(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(platform_list, "MAX_LINE_BYTES", 100)
    parser = platform_list.ResponseParser(is_watch=True)
    assert receive_messages(parser, HEAD + chunk(b"{\n" + b"[\n" * 49)) == []
    assert receive_messages(parser, chunk(b"x")) == [
        platform_list.InvalidResponse("line too long: over 100 bytes")
    ]


@pytest.mark.parametrize("junk", [b'"', b'\\"', b'"\\', b"{", b"}", b'{"'])
def test_parser_long_malformed_line_takes_linear_time(junk: bytes) -> None:
    """A search that started again at each quote would block the event loop for minutes."""
    parser = platform_list.ResponseParser(is_watch=True)
    parser.receive(HEAD)
    parser.receive(chunk(b"{" + junk * 500_000))
    parser.receive(chunk(b"\n\n"))


def test_parser_heartbeat_is_an_empty_line_only() -> None:
    """Bytes that do not complete a line must not count as a heartbeat."""
    parser = platform_list.ResponseParser(is_watch=True)
    assert parser.receive(HEAD[:20]) == [] and not parser.has_started
    assert parser.receive(HEAD[20:]) == [platform_list.ResponseStarted(True)] and not parser.is_incomplete
    assert parser.receive(chunk(b" ")) == [] and parser.is_incomplete
    assert parser.receive(chunk(b"\r")) == []
    assert (
        parser.receive(chunk(b"\n\n")) == [platform_list.Heartbeat(), platform_list.Heartbeat()]
        and not parser.is_incomplete
    )
    assert parser.receive(chunk(b'{"a":')) == [] and parser.is_incomplete


def test_parser_list_in_pieces_counts_each_byte_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a list entry by entry whose cost grows with the square of its length."""
    count_brackets, counted = platform_list._bracket_depth, 0

    def bracket_depth(text: bytes) -> int:
        nonlocal counted
        counted += len(text)
        return count_brackets(text)

    monkeypatch.setattr(platform_list, "_bracket_depth", bracket_depth)
    entries = [b'{"id":"s-%d"}' % number for number in range(500)]
    pieces = [b'{"revision":1,"members":[' + entries[0], *(b"," + entry for entry in entries[1:])]
    parser = platform_list.ResponseParser(is_watch=True)
    assert receive_messages(parser, HEAD, *map(chunk, pieces)) == []
    line = b"".join(pieces) + b"]}"
    assert receive_messages(parser, chunk(b"]}")) == [platform_list.Line(line)]
    assert counted <= 3 * len(line)  # once in pieces, once as a line
