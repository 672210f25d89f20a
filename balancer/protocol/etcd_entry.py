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

FORMATS = ("member", "grpc-naming")
MAX_VALUE = 64 * 1024  # bytes of a value; an entry has some hundred


def name_of(key: bytes, prefix: bytes) -> tuple[str, str | None]:
    """The id that a key names, and why it names none.

    What is shown of a key that names none has a `/` in it, which no id has: it is taken for nobody's.
    """
    if not key.startswith(prefix):
        return f"/{key[:MAX_TEXT_CHARACTERS]!r}", "the key is not below the prefix"
    rest = key[len(prefix) :]
    try:
        text = rest.decode("utf-8")
    except UnicodeDecodeError:
        return f"/{rest[:MAX_TEXT_CHARACTERS]!r}", "the key is not UTF-8"
    if not text:
        return "/", "the key has no id behind the prefix"
    if len(text) > MAX_TEXT_CHARACTERS:
        return f"/{text[:MAX_TEXT_CHARACTERS]}", f"the id is longer than {MAX_TEXT_CHARACTERS} characters"
    if "/" in text:
        return text, "the id has a / in it"
    return text, None


def entry(kv: KeyValue, prefix: bytes, form: str) -> EndpointRecord | InvalidEntry | str:
    """A member, a fault, or the id of one that is gone."""
    name, wrong = name_of(kv.key, prefix)
    if kv.deleted:
        return name
    if wrong is not None:
        return InvalidEntry(name, wrong)
    if kv.value is None:
        return InvalidEntry(name, "the value is not base64")
    if len(kv.value) > MAX_VALUE:
        return InvalidEntry(name, f"the value has {len(kv.value)} bytes; {MAX_VALUE} are allowed")
    try:
        raw = json.loads(kv.value)
    except (ValueError, RecursionError):
        return InvalidEntry(name, f"the value is not JSON: {kv.value[:60]!r}")
    if not isinstance(raw, dict):
        return InvalidEntry(name, f"the value is no object: {kv.value[:60]!r}")
    if form == "grpc-naming":
        operation = raw.get("Op", 0)
        if isinstance(operation, bool) or operation not in (0, 1):
            return InvalidEntry(name, f"Op is {operation!r:.60}, not 0 or 1")
        if operation == 1:
            return name
        raw = {"host_port": raw.get("Addr"), "phase": "in_service"}
    elif raw.get("phase") == "terminated":
        return name
    try:
        return parse_record(raw, name)
    except EndpointListError as err:
        return InvalidEntry(name, str(err), raw.get("phase") == "terminating")
