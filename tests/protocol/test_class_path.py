"""Classes named in any way are found by a request's path, encoded or not."""

from __future__ import annotations

import itertools
from urllib.parse import quote

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.interface import Idempotency, RequestClass
from balancer.protocol.class_path import ClassPaths


def paths(*names: str) -> ClassPaths[RequestClass]:
    """Classes of these names."""
    return ClassPaths(
        [
            RequestClass(name, Idempotency.IDEMPOTENT, latency_objective_ms=1.0, deadline_ms=2.0)
            for name in names
        ]
    )


NAMES = ["read", "up", "høyvann/i dag", "a/b", "a", "a%2Fb", "claim.2", "100%", "日本", "x y", "?", "a+b"]


@pytest.mark.parametrize(("name", "rest"), itertools.product(NAMES, ["", "/", "/x", "/up", "/a/b"]))
def test_an_encoded_name_is_the_class_of_that_name_and_no_other(name: str, rest: str) -> None:
    found = paths(*NAMES).find(f"/{quote(name, safe='')}{rest}".encode())
    assert found is not None
    assert found.name == name


@settings(max_examples=50, deadline=None, derandomize=True, database=None)
@given(st.lists(st.text(min_size=1, max_size=12), min_size=1, max_size=12, unique=True), st.data())
def test_any_names_beside_each_other(names: list[str], data: st.DataObject) -> None:
    name, rest = data.draw(st.sampled_from(names)), data.draw(st.sampled_from(["", "/", "/x%2Fy", "//"]))
    found = paths(*names).find(f"/{quote(name, safe='')}{rest}".encode())
    assert found is not None
    assert found.name == name


def test_whatever_is_encoded_in_a_name_it_is_the_same_name() -> None:
    assert paths("read", "Øst").find(b"/%72ead/x") is not None
    for text in (b"/%c3%98st", b"/%C3%98st", b"/%C3%98%73t/x"):
        found = paths("read", "Øst").find(text)
        assert found is not None and found.name == "Øst"


def test_names_sent_as_they_stand_are_found_where_nothing_else_fits() -> None:
    found = paths("a", "a/b", "a/b/c").find(b"/a/b/x")
    assert found is not None and found.name == "a/b"
    found = paths("a%2Fb").find(b"/a%2Fb/x")
    assert found is not None and found.name == "a%2Fb"
    found = paths("a%2Fb", "a/b").find(b"/a%2Fb/x")
    assert found is not None and found.name == "a/b", "encoded, as a client that knows both would"


@pytest.mark.parametrize(
    "path", [b"/", b"/other", b"/reads", b"/rea", b"/%", b"/%zz", b"/%ff", b"/a/bc", b"//read"]
)
def test_what_names_no_class_is_none(path: bytes) -> None:
    assert paths("read", "a/b").find(path) is None
