"""A long line in steps against `json.loads` and `members.listing`: the same list, or no list in both."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.endpoints import EndpointList, parse_endpoint_list
from balancer.protocol import large_list as long_list
from balancer.protocol.large_list import LongList


def read(line: bytes) -> tuple[EndpointList, int]:
    """The list, and in how many steps it came."""
    long, steps = LongList(line), 1
    while not long.read(1):
        steps += 1
    return long.result(), steps


def rows(count: int) -> list[dict[str, Any]]:
    row = {"host_port": "10.0.0.1:80", "phase": "in_service"}
    return [{"id": f"s{n}", **row} for n in range(count)]


FRAMES = st.fixed_dictionaries(
    {},
    optional={
        "revision": st.sampled_from([0, 7, 1.5, None, True]),
        "complete": st.sampled_from([True, False, "x"]),
        "members": st.sampled_from([[], {}, None, rows(1), rows(7), [1, "]", {"id": "}"}], [[], [[]]]]),
        'odd "name"': st.sampled_from([None, {"members": [1, 2]}, "[,]"]),
    },
)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(FRAMES, st.integers(0, 2**32), st.sampled_from([1, 2, 250]), st.booleans(), st.sampled_from([None, 2]))
def test_whatever_comes_is_read_as_in_one_go(
    frame: dict[str, Any], seed: int, step: int, spoil: bool, indent: int | None
) -> None:
    rng = random.Random(seed)
    keys = sorted(frame, key=lambda _: rng.random())
    text = json.dumps({key: frame[key] for key in keys}, indent=indent)
    line = text.encode(rng.choice(["utf-8", "utf-16"]))
    if spoil and line:
        at = rng.randrange(len(line))
        odd = line[:at] + rng.choice([b",", b"]", b"}", b'"']) + line[at + rng.randrange(2) :]
        line = rng.choice([line[:at], line + b" \n", line + b"x", odd])
    before, long_list.STEP = long_list.STEP, step
    try:
        want = parse_endpoint_list(json.loads(line))
    except ValueError:
        with pytest.raises(ValueError):
            read(line)
    else:
        assert read(line)[0] == want
    finally:
        long_list.STEP = before


def test_no_step_takes_more_than_its_part() -> None:
    count = 10 * long_list.STEP
    got, steps = read(json.dumps({"members": rows(count), "revision": 3, "complete": True}).encode())
    assert len(got.records) == count and steps == 22  # 10 to parse, 1 for the frame, 10 to check
