"""A key and its value in etcd, read as a member.

The rest of the key behind the prefix is the member's id. Values come in one of two forms:

- `member`: the entry as discovery lists it, JSON; its `id` may be left out, as the key has it.
- `grpc-naming`: what gRPC's naming writes into etcd (etcd's docs, "gRPC naming and discovery"):
  `{"Op":0,"Addr":"HOST:PORT","Metadata":...}`. `Op` 1 withdraws the member. Nothing else is known of it: its
  weight is 1, and it cannot drain.
"""

from __future__ import annotations

import json

from balancer.endpoints import (
    MAX_TEXT_CHARACTERS,
    EndpointListError,
    EndpointRecord,
    InvalidEntry,
    parse_record,
)
from balancer.protocol.etcd_watch import KeyValue

ENTRY_FORMATS = ("member", "grpc-naming")
MAX_VALUE_BYTES = 64 * 1024  # bytes of a value; an entry has some hundred


def endpoint_id_of_key(key: bytes, key_prefix: bytes) -> tuple[str, str | None]:
    """The id that a key names, and why it names none.

    What is shown of a key that names none has a `/` in it, which no id has: it is taken for nobody's.
    """
    if not key.startswith(key_prefix):
        return f"/{key[:MAX_TEXT_CHARACTERS]!r}", "the key is not below the prefix"
    suffix = key[len(key_prefix) :]
    try:
        text = suffix.decode("utf-8")
    except UnicodeDecodeError:
        return f"/{suffix[:MAX_TEXT_CHARACTERS]!r}", "the key is not UTF-8"
    if not text:
        return "/", "the key has no id behind the prefix"
    if len(text) > MAX_TEXT_CHARACTERS:
        return f"/{text[:MAX_TEXT_CHARACTERS]}", f"the id is longer than {MAX_TEXT_CHARACTERS} characters"
    if "/" in text:
        return text, "the id has a / in it"
    return text, None


def parse_entry(
    key_value: KeyValue, key_prefix: bytes, entry_format: str
) -> EndpointRecord | InvalidEntry | str:
    """A member, a fault, or the id of one that is gone."""
    endpoint_id, key_fault = endpoint_id_of_key(key_value.key, key_prefix)
    if key_value.is_deleted:
        return endpoint_id
    if key_fault is not None:
        return InvalidEntry(endpoint_id, key_fault)
    if key_value.value is None:
        return InvalidEntry(endpoint_id, "the value is not base64")
    if len(key_value.value) > MAX_VALUE_BYTES:
        return InvalidEntry(
            endpoint_id, f"the value has {len(key_value.value)} bytes; {MAX_VALUE_BYTES} are allowed"
        )
    try:
        raw = json.loads(key_value.value)
    except (ValueError, RecursionError):
        return InvalidEntry(endpoint_id, f"the value is not JSON: {key_value.value[:60]!r}")
    if not isinstance(raw, dict):
        return InvalidEntry(endpoint_id, f"the value is no object: {key_value.value[:60]!r}")
    if entry_format == "grpc-naming":
        operation = raw.get("Op", 0)
        if isinstance(operation, bool) or operation not in (0, 1):
            return InvalidEntry(endpoint_id, f"Op is {operation!r:.60}, not 0 or 1")
        if operation == 1:
            return endpoint_id
        raw = {"host_port": raw.get("Addr"), "phase": "in_service"}
    elif raw.get("phase") == "terminated":
        return endpoint_id
    try:
        return parse_record(raw, endpoint_id)
    except EndpointListError as err:
        return InvalidEntry(endpoint_id, str(err), raw.get("phase") == "terminating")
