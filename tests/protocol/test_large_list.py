"""A list parsed in steps equals one parsed by `json.loads` and `parse_endpoint_list`, or both fail."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.endpoints import EndpointList, parse_endpoint_list
from balancer.protocol import large_list
from balancer.protocol.large_list import LargeListParser


def parse_in_steps(line: bytes) -> tuple[EndpointList, int]:
    """The list, and the number of steps it took."""
    parser, steps = LargeListParser(line), 1
    while not parser.read(1):
        steps += 1
    return parser.result(), steps


def make_rows(count: int) -> list[dict[str, Any]]:
    row = {"host_port": "10.0.0.1:80", "phase": "in_service"}
    return [{"id": f"s{n}", **row} for n in range(count)]


RAW_LISTS = st.fixed_dictionaries(
    {},
    optional={
        "revision": st.sampled_from([0, 7, 1.5, None, True]),
        "complete": st.sampled_from([True, False, "x"]),
        "members": st.sampled_from(
            [[], {}, None, make_rows(1), make_rows(7), [1, "]", {"id": "}"}], [[], [[]]]]
        ),
        'odd "name"': st.sampled_from([None, {"members": [1, 2]}, "[,]"]),
    },
)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(
    RAW_LISTS, st.integers(0, 2**32), st.sampled_from([1, 2, 250]), st.booleans(), st.sampled_from([None, 2])
)
def test_parser_any_line_equals_parsing_in_one_call(
    raw_list: dict[str, Any], seed: int, step: int, is_damaged: bool, indent: int | None
) -> None:
    rng = random.Random(seed)
    keys = sorted(raw_list, key=lambda _: rng.random())
    text = json.dumps({key: raw_list[key] for key in keys}, indent=indent)
    line = text.encode(rng.choice(["utf-8", "utf-16"]))
    if is_damaged and line:
        position = rng.randrange(len(line))
        damaged = line[:position] + rng.choice([b",", b"]", b"}", b'"']) + line[position + rng.randrange(2) :]
        line = rng.choice([line[:position], line + b" \n", line + b"x", damaged])
    entries_per_step, large_list.ENTRIES_PER_STEP = large_list.ENTRIES_PER_STEP, step
    try:
        expected = parse_endpoint_list(json.loads(line))
    except ValueError:
        with pytest.raises(ValueError):
            parse_in_steps(line)
    else:
        assert parse_in_steps(line)[0] == expected
    finally:
        large_list.ENTRIES_PER_STEP = entries_per_step


def test_parser_step_count_is_proportional_to_entries() -> None:
    count = 10 * large_list.ENTRIES_PER_STEP
    endpoint_list, steps = parse_in_steps(
        json.dumps({"members": make_rows(count), "revision": 3, "complete": True}).encode()
    )
    # 10 steps to decode, 1 for the fields of the list, 10 to parse the entries, and the last one
    assert len(endpoint_list.records) == count and steps == 22
