"""Entries of endpoints in etcd: both formats, valid and invalid."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings

from balancer.endpoints import EndpointRecord, InvalidEntry
from balancer.interface import Phase
from balancer.protocol import etcd_entry
from balancer.protocol.etcd_watch.responses import KeyValue
from tests.protocol.etcd_watch.gateway_bytes import JSON_VALUES

MEMBER = {"host_port": "10.1.0.18:8080", "phase": "in_service", "size": 2.0}
GRPC_NAMING = {"Op": 0, "Addr": "10.1.0.18:8080", "Metadata": None}


def parse(
    value: object, key: bytes = b"/m/s-1", entry_format: str = "member"
) -> EndpointRecord | InvalidEntry | str:
    """Parse the entry of a key below /m/."""
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return etcd_entry.parse_entry(KeyValue(key, raw, 1), b"/m/", entry_format)


def parse_deletion(key: bytes, entry_format: str = "member") -> EndpointRecord | InvalidEntry | str:
    """Parse the deletion of a key below /m/."""
    return etcd_entry.parse_entry(KeyValue(key, None, 1, True), b"/m/", entry_format)


@pytest.mark.parametrize("value", [MEMBER, MEMBER | {"id": "s-1"}])
def test_entry_member_format_is_an_endpoint(value: object) -> None:
    record = parse(value)
    assert isinstance(record, EndpointRecord)
    assert record == parse(MEMBER)
    assert record.id == "s-1"
    assert record.endpoint.weight == 2.0


def test_entry_member_format_terminating_is_draining() -> None:
    record = parse(MEMBER | {"phase": "terminating"})
    assert isinstance(record, EndpointRecord)
    assert record.endpoint.phase is Phase.DRAINING


def test_entry_grpc_naming_format_is_an_endpoint() -> None:
    record = parse(GRPC_NAMING, entry_format="grpc-naming")
    assert isinstance(record, EndpointRecord)
    assert record.address == ("10.1.0.18", 8080)
    assert record.endpoint.weight == 1


def test_entry_removed_is_its_id() -> None:
    assert parse({"phase": "terminated"}) == "s-1"
    assert parse({"Op": 1, "Addr": ""}, entry_format="grpc-naming") == "s-1"
    assert parse_deletion(b"/m/s-1") == "s-1"


@pytest.mark.parametrize(
    ("value", "key", "entry_format", "expected_reason"),
    [
        (b"not json", b"/m/s-1", "member", "not JSON"),
        (b"[" * 60_000, b"/m/s-1", "member", "not JSON"),
        (b"[]", b"/m/s-1", "member", "no object"),
        (
            b" " * (etcd_entry.MAX_VALUE_BYTES + 1),
            b"/m/s-1",
            "member",
            str(etcd_entry.MAX_VALUE_BYTES),
        ),
        (MEMBER | {"id": "s-2"}, b"/m/s-1", "member", "not that of its key"),
        (MEMBER | {"host_port": "10.1.0.18"}, b"/m/s-1", "member", "address"),
        (MEMBER | {"host_port": "app.internal:80"}, b"/m/s-1", "member", "app.internal"),
        (MEMBER | {"phase": "resting"}, b"/m/s-1", "member", "resting"),
        (MEMBER, b"/m/", "member", "no id"),
        (MEMBER, b"/m/a/b", "member", "/"),
        (MEMBER, b"/m/" + b"a" * 257, "member", "256"),
        (MEMBER, b"/m/\xff", "member", "UTF-8"),
        (MEMBER, b"/n/a", "member", "below"),
        (GRPC_NAMING | {"Addr": None}, b"/m/s-1", "grpc-naming", "None"),
        (GRPC_NAMING | {"Op": 2}, b"/m/s-1", "grpc-naming", "Op"),
        (GRPC_NAMING | {"Op": True}, b"/m/s-1", "grpc-naming", "Op"),
        (GRPC_NAMING | {"Op": [1]}, b"/m/s-1", "grpc-naming", "Op"),
        (MEMBER, b"/m/s-1", "grpc-naming", "None"),
    ],
)
def test_entry_invalid_has_its_reason(
    value: object, key: bytes, entry_format: str, expected_reason: str
) -> None:
    entry = parse(value, key, entry_format)
    assert isinstance(entry, InvalidEntry)
    assert expected_reason in entry.reason
    assert not entry.is_draining
    assert entry.key == "s-1" if key == b"/m/s-1" else "/" in entry.key  # else it is no endpoint's id
    assert parse_deletion(key, entry_format) == entry.key  # a deletion removes the invalid entry


def test_entry_invalid_but_terminating_is_draining() -> None:
    entry = parse({"phase": "terminating", "host_port": "nowhere"})
    assert isinstance(entry, InvalidEntry)
    assert entry.is_draining
    assert entry.key == "s-1"


@pytest.mark.parametrize("entry_format", etcd_entry.ENTRY_FORMATS)
@settings(max_examples=100, deadline=None)
@given(value=JSON_VALUES)
def test_entry_any_json_is_parsed_or_invalid(entry_format: str, value: Any) -> None:
    entry = parse(value, b"/m/a", entry_format)
    assert isinstance(entry, EndpointRecord | InvalidEntry | str)
