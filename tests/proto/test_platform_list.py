"""Discovery's answers, however they are cut."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dillport.proto import platform_list as p

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


def test_what_is_a_beat() -> None:
    """Guards against bytes without a line that pass for one."""
    call = p.ListCall(watch=True)
    assert call.receive(HEAD[:20]) == [] and not call.began
    assert call.receive(HEAD[20:]) == [p.Began(True)] and not call.under_way
    assert call.receive(chunk(b" ")) == [] and call.under_way
    assert call.receive(chunk(b"\r")) == []
    assert call.receive(chunk(b"\n\n")) == [p.Beat(), p.Beat()] and not call.under_way
    assert call.receive(chunk(b'{"a":')) == [] and call.under_way
