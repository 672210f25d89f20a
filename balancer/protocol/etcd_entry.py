"""Parses a key and its value in etcd as an endpoint.

The part of the key after the prefix is the endpoint's id. Values have one of two formats:

- `member`: the entry as discovery lists it, in JSON; its `id` may be omitted, as the key has it.
- `grpc-naming`: what gRPC's naming writes into etcd (etcd's docs, "gRPC naming and discovery"):
  `{"Op":0,"Addr":"HOST:PORT","Metadata":...}`. `Op` 1 removes the endpoint. No other field is used: the
  weight is 1, and the endpoint cannot be draining.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from balancer.endpoints import (
    MAX_TEXT_CHARACTERS,
    EndpointListError,
    EndpointRecord,
    InvalidEntry,
    parse_record,
)
from balancer.protocol.etcd_watch.responses import KeyValue

ENTRY_FORMATS = ("member", "grpc-naming")
MAX_VALUE_BYTES = 64 * 1024  # an entry has some hundred bytes
MAX_QUOTED_BYTES = 60  # of an invalid value, in the fault text
GRPC_NAMING_ADD, GRPC_NAMING_DELETE = 0, 1


class _InvalidValueError(ValueError):
    """A value holds no JSON object."""


class KeyId(NamedTuple):
    """The endpoint id in a key. With a `fault`, the id contains a `/` and belongs to no endpoint."""

    endpoint_id: str
    fault: str | None = None


def endpoint_id_of_key(key: bytes, key_prefix: bytes) -> KeyId:
    """The endpoint id in a key, or a text that represents the key, and why it has no id."""
    if not key.startswith(key_prefix):
        return KeyId(f"/{key[:MAX_TEXT_CHARACTERS]!r}", "the key is not below the prefix")
    suffix = key[len(key_prefix) :]
    try:
        text = suffix.decode("utf-8")
    except UnicodeDecodeError:
        return KeyId(f"/{suffix[:MAX_TEXT_CHARACTERS]!r}", "the key is not UTF-8")
    if not text:
        return KeyId("/", "the key has no id behind the prefix")
    if len(text) > MAX_TEXT_CHARACTERS:
        reason = f"the id is longer than {MAX_TEXT_CHARACTERS} characters"
        return KeyId(f"/{text[:MAX_TEXT_CHARACTERS]}", reason)
    if "/" in text:
        return KeyId(text, "the id has a / in it")
    return KeyId(text)


def parse_entry(
    key_value: KeyValue, key_prefix: bytes, entry_format: str
) -> EndpointRecord | InvalidEntry | str:
    """The endpoint, an invalid entry, or the id of a removed endpoint. Never raises."""
    endpoint_id, key_fault = endpoint_id_of_key(key_value.key, key_prefix)
    if key_value.is_deleted:
        return endpoint_id
    if key_fault is not None:
        return InvalidEntry(endpoint_id, key_fault)
    try:
        raw = _decode_value(key_value.value)
    except _InvalidValueError as err:
        return InvalidEntry(endpoint_id, str(err))
    if entry_format == "grpc-naming":
        operation = raw.get("Op", GRPC_NAMING_ADD)
        if isinstance(operation, bool) or operation not in (GRPC_NAMING_ADD, GRPC_NAMING_DELETE):
            return InvalidEntry(endpoint_id, f"Op is {operation!r:.60}, not 0 or 1")
        if operation == GRPC_NAMING_DELETE:
            return endpoint_id
        raw = {"host_port": raw.get("Addr"), "phase": "in_service"}
    elif raw.get("phase") == "terminated":
        return endpoint_id
    try:
        return parse_record(raw, endpoint_id)
    except EndpointListError as err:
        return InvalidEntry(endpoint_id, str(err), raw.get("phase") == "terminating")


def _decode_value(value: bytes | None) -> dict[str, Any]:
    """The object that a value holds; raises _InvalidValueError."""
    if value is None:
        raise _InvalidValueError("the value is not base64")
    if len(value) > MAX_VALUE_BYTES:
        raise _InvalidValueError(f"the value has {len(value)} bytes; {MAX_VALUE_BYTES} are allowed")
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError):
        raise _InvalidValueError(f"the value is not JSON: {value[:MAX_QUOTED_BYTES]!r}") from None
    if not isinstance(raw, dict):
        raise _InvalidValueError(f"the value is no object: {value[:MAX_QUOTED_BYTES]!r}")
    return raw
