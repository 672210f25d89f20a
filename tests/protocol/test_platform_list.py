"""Discovery's answers, however they are cut."""

from __future__ import annotations

import itertools
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.protocol import platform_list as p

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """One chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def said(call: p.ListCall, *pieces: bytes) -> list[p.Message]:
    """All that is said of these bytes, but for their beginning and the beats."""
    return [m for piece in pieces for m in call.receive(piece) if not isinstance(m, p.Beat | p.Began)]


WATCH = HEAD + chunk(b"\n") + chunk(b'{"revision"') + chunk(b": 1}\n\n{}") + chunk(b"\n") + b"0\r\n\r\n"
LINES = [p.Line(b'{"revision": 1}'), p.Line(b"{}"), p.Finished(False)]


def test_the_lines_of_a_watch() -> None:
    assert said(p.ListCall(watch=True), WATCH) == LINES


def test_trickle() -> None:
    assert said(p.ListCall(watch=True), *(WATCH[i : i + 1] for i in range(len(WATCH)))) == LINES


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, len(WATCH)), max_size=8))
def test_cut_anywhere(cuts: list[int]) -> None:
    at = [0, *sorted(cuts), len(WATCH)]
    assert said(p.ListCall(watch=True), *(WATCH[a:b] for a, b in itertools.pairwise(at))) == LINES


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=40), max_size=6), st.booleans())
def test_garbage_is_broken_or_ends_and_never_raises(pieces: list[bytes], watch: bool) -> None:
    call = p.ListCall(watch)
    for piece in [HEAD, *pieces]:
        call.receive(piece)
    call.eof()


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        HEAD + chunk(b"{") + chunk(b"}") + b"0\r\n\r\n",
    ],
)
def test_a_whole_list(text: bytes) -> None:
    call = p.ListCall(watch=False)
    assert said(call, text) == [p.Line(b"{}"), p.Finished(True)]
    assert call.receive(b"more") == []


def test_a_whole_list_may_end_with_its_connection() -> None:
    call = p.ListCall(watch=False)
    assert said(call, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}") == []
    assert call.eof() == [p.Line(b"{}"), p.Finished(True)]
    assert call.eof() == []


def test_another_status_brings_no_list() -> None:
    text = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"
    assert said(p.ListCall(watch=False), text) == [p.Finished(False)]


def test_a_line_has_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(p, "MAX_LINE", 100)
    call = p.ListCall(watch=True)
    assert said(call, HEAD + chunk(b"x" * 100)) == []
    got = said(call, chunk(b"x"))
    assert got == [p.Broken("line too long: over 100 bytes")]


def test_what_is_not_http_is_broken() -> None:
    (got,) = said(p.ListCall(watch=True), b"nonsense\r\n\r\n")
    assert isinstance(got, p.Broken)


def test_the_request() -> None:
    got = p.request("[::1]:80", "/discovery/hosts", watch=True)
    assert got == b"GET /discovery/hosts HTTP/1.1\r\nHost: [::1]:80\r\nConnection: keep-alive\r\n\r\n"


# --- objects that span lines

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


def objects(messages: list[p.Message]) -> list[Any]:
    """What lines say; a line that cannot be read is None."""
    out = []
    for message in messages:
        if isinstance(message, p.Line):
            try:
                out.append(json.loads(message.text))
            except ValueError:
                out.append(None)
    return out


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.sampled_from(LISTS), st.sampled_from(FORMS), st.sampled_from(["\n", "\r\n"]))),
    st.lists(st.integers(0, 5000), max_size=12),
    st.booleans(),
)
def test_indented_objects_on_a_watch_say_what_compact_ones_say(
    said_: list[tuple[dict[str, Any], dict[str, Any], str]], cuts: list[int], chunks: bool
) -> None:
    body = b"\n" + b"".join((json.dumps(one, **form) + end).encode() for one, form, end in said_)
    at = [0, *sorted(cut % (len(body) + 1) for cut in cuts), len(body)]
    pieces = [body[a:b] for a, b in itertools.pairwise(at) if a < b]
    data = [HEAD, *map(chunk, pieces)] if chunks else [HEAD + b"".join(map(chunk, pieces))]
    call = p.ListCall(watch=True)
    assert objects(said(call, *data)) == [one for one, _, _ in said_]
    assert not call.under_way


@pytest.mark.parametrize("form", FORMS)
def test_a_whole_list_may_be_indented(form: dict[str, Any]) -> None:
    text = json.dumps(LISTS[0], **form).encode()
    call = p.ListCall(watch=False)
    got = said(call, HEAD, *(chunk(text[i : i + 1]) for i in range(len(text))), b"0\r\n\r\n")
    assert objects(got) == [LISTS[0]] and got[-1] == p.Finished(True)


def test_an_object_is_read_when_it_is_whole_and_not_when_its_line_ends() -> None:
    """Guards against a drain that is known only with the next beat, two seconds later."""
    drain = {"revision": 7, "complete": False, "members": [{"id": "s-1", "phase": "terminating"}]}
    for form in FORMS:
        call = p.ListCall(watch=True)
        assert objects(said(call, HEAD, chunk(json.dumps(drain, **form).encode()))) == [drain]
        assert not call.under_way


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
@pytest.mark.parametrize("behind", [b"", b"\n", b"\r\n"])
def test_garbage_swallows_nothing_behind_it(garbage: bytes, behind: bytes) -> None:
    """It is handed on as it is, so that the whole list is asked for, and the line behind it is read."""
    good = json.dumps(LISTS[1]).encode() + b"\n"
    body = garbage + b"\n" + behind + good
    for data in ([chunk(body)], [chunk(body[i : i + 1]) for i in range(len(body))]):
        *bad, last = objects(said(p.ListCall(watch=True), HEAD, *data))
        assert None in bad and last == LISTS[1]


def test_an_object_over_many_lines_has_the_same_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(p, "MAX_LINE", 100)
    call = p.ListCall(watch=True)
    assert said(call, HEAD + chunk(b"{\n" + b"[\n" * 49)) == []
    assert said(call, chunk(b"x")) == [p.Broken("line too long: over 100 bytes")]


@pytest.mark.parametrize("junk", [b'"', b'\\"', b'"\\', b"{", b"}", b'{"'])
def test_a_long_line_of_junk_is_looked_at_once(junk: bytes) -> None:
    """Guards the loop against a search that begins anew at each quote: this would take minutes."""
    call = p.ListCall(watch=True)
    call.receive(HEAD)
    call.receive(chunk(b"{" + junk * 500_000))
    call.receive(chunk(b"\n\n"))


def test_what_is_a_beat() -> None:
    """Guards against bytes without a line that pass for one."""
    call = p.ListCall(watch=True)
    assert call.receive(HEAD[:20]) == [] and not call.began
    assert call.receive(HEAD[20:]) == [p.Began(True)] and not call.under_way
    assert call.receive(chunk(b" ")) == [] and call.under_way
    assert call.receive(chunk(b"\r")) == []
    assert call.receive(chunk(b"\n\n")) == [p.Beat(), p.Beat()] and not call.under_way
    assert call.receive(chunk(b'{"a":')) == [] and call.under_way
