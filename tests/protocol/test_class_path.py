"""A request's path finds its class, with the name percent-encoded or not."""

from __future__ import annotations

import itertools
from urllib.parse import quote

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.interface import Idempotency, RequestClass
from balancer.protocol.class_path import ClassPaths


def class_paths(*names: str) -> ClassPaths[RequestClass]:
    """Paths of classes with these names."""
    return ClassPaths(
        [
            RequestClass(name, Idempotency.IDEMPOTENT, latency_objective_ms=1.0, deadline_ms=2.0)
            for name in names
        ]
    )


NAMES = ["read", "up", "høyvann/i dag", "a/b", "a", "a%2Fb", "claim.2", "100%", "日本", "x y", "?", "a+b"]


@pytest.mark.parametrize(("name", "rest"), itertools.product(NAMES, ["", "/", "/x", "/up", "/a/b"]))
def test_find_encoded_name_returns_the_class_of_that_name(name: str, rest: str) -> None:
    found = class_paths(*NAMES).find(f"/{quote(name, safe='')}{rest}".encode())
    assert found is not None
    assert found.name == name


@settings(max_examples=50, deadline=None, derandomize=True, database=None)
@given(st.lists(st.text(min_size=1, max_size=12), min_size=1, max_size=12, unique=True), st.data())
def test_find_with_any_other_names_returns_the_class_of_the_name(
    names: list[str], data: st.DataObject
) -> None:
    name, rest = data.draw(st.sampled_from(names)), data.draw(st.sampled_from(["", "/", "/x%2Fy", "//"]))
    found = class_paths(*names).find(f"/{quote(name, safe='')}{rest}".encode())
    assert found is not None
    assert found.name == name


def test_find_any_encoding_of_a_name_returns_its_class() -> None:
    assert class_paths("read", "Øst").find(b"/%72ead/x") is not None
    for text in (b"/%c3%98st", b"/%C3%98st", b"/%C3%98%73t/x"):
        found = class_paths("read", "Øst").find(text)
        assert found is not None and found.name == "Øst"


def test_find_unencoded_name_matches_if_no_other_class_does() -> None:
    found = class_paths("a", "a/b", "a/b/c").find(b"/a/b/x")
    assert found is not None and found.name == "a/b"
    found = class_paths("a%2Fb").find(b"/a%2Fb/x")
    assert found is not None and found.name == "a%2Fb"
    found = class_paths("a%2Fb", "a/b").find(b"/a%2Fb/x")
    assert found is not None and found.name == "a/b", "encoded, as a client that knows both classes sends it"


@pytest.mark.parametrize(
    "path", [b"/", b"/other", b"/reads", b"/rea", b"/%", b"/%zz", b"/%ff", b"/a/bc", b"//read"]
)
def test_find_path_of_no_class_returns_none(path: bytes) -> None:
    assert class_paths("read", "a/b").find(path) is None
