"""The JSON of etcd's gateway: decodes requests and encodes responses, without I/O.

The encoding is the JSON mapping of protobuf as grpc-gateway 1.9 (etcd 3.4) writes it: 64-bit integers are
strings, bytes are base64, zero fields are omitted, and names follow etcd's .proto files. Requests may hold
integers as numbers or strings and names in snake or camel case; unknown fields are ignored.
"""

from __future__ import annotations

import base64
import binascii
import json
import re
from collections.abc import Sequence
from dataclasses import dataclass

from balancer.testbed.etcd.store import (
    Changed,
    Compare,
    Delete,
    Event,
    Found,
    KeyValue,
    Op,
    Put,
    Range,
    Target,
)

HTTP_CODES = {
    2: "500 Internal Server Error",
    3: "400 Bad Request",
    5: "404 Not Found",
    7: "403 Forbidden",
    8: "429 Too Many Requests",
    9: "412 Precondition Failed",
    11: "400 Bad Request",
    14: "503 Service Unavailable",
    16: "401 Unauthorized",
}  # by gRPC status code, as in grpc-gateway 1.9

Json = dict[str, object]


class MalformedError(ValueError):
    """A request body cannot be decoded."""


def b64(data: bytes) -> str:
    """Encode bytes in base64."""
    return base64.b64encode(data).decode("ascii")


def omit_zero_fields(**fields: object) -> Json:
    """Build a JSON object that omits zero values and encodes integers as strings."""
    out: Json = {}
    for name, value in fields.items():
        if not value:
            continue
        if isinstance(value, bytes):
            out[name] = b64(value)
        elif isinstance(value, int) and not isinstance(value, bool):
            out[name] = str(value)
        else:
            out[name] = value
    return out


def dumps(value: object) -> bytes:
    """Encode JSON without spaces, as the gateway does."""
    return json.dumps(value, separators=(",", ":")).encode("ascii")


class Fields:
    """A JSON object of a request with typed access to its fields. Raises MalformedError."""

    def __init__(self, raw: object) -> None:
        if not isinstance(raw, dict):
            raise MalformedError(f"json: cannot unmarshal {type(raw).__name__} into Go value of type map")
        self.raw = raw

    def get(self, name: str) -> object:
        """Return a raw value under its snake-case or camel-case name, or None."""
        value = self.raw.get(name)
        return self.raw.get(re.sub(r"_([a-z])", lambda m: m[1].upper(), name)) if value is None else value

    def number(self, name: str) -> int:
        """Return a 64-bit integer that was sent as a number or a string; 0 if absent."""
        value = self.get(name)
        if value is None:
            return 0
        if isinstance(value, bool) or not isinstance(value, (int, str)):
            raise MalformedError(f"json: {name} is no number: {value!r:.60}")
        try:
            return int(value)
        except ValueError:
            raise MalformedError(f"json: {name} is no number: {value!r:.60}") from None

    def data(self, name: str) -> bytes:
        """Return base64-decoded bytes; empty if absent."""
        value = self.get(name)
        if value is None:
            return b""
        if not isinstance(value, str):
            raise MalformedError(f"json: {name} is no text: {value!r:.60}")
        try:
            return base64.b64decode(value, validate=True)
        except binascii.Error:
            raise MalformedError(f"illegal base64 data in {name}") from None

    def flag(self, name: str) -> bool:
        """Return a boolean; False if absent."""
        value = self.get(name)
        if value is not None and not isinstance(value, bool):
            raise MalformedError(f"json: {name} is neither true nor false: {value!r:.60}")
        return bool(value)

    def text(self, name: str) -> str:
        """Return a string or the name of an enum value; empty if absent."""
        value = self.get(name)
        if value is not None and not isinstance(value, str):
            raise MalformedError(f"json: {name} is no text: {value!r:.60}")
        return value or ""

    def object(self, name: str) -> Fields | None:
        """Return a nested object, or None if absent."""
        value = self.get(name)
        return None if value is None else Fields(value)

    def list(self, name: str) -> list[Fields]:
        """Return the objects of a nested list; empty if absent."""
        value = self.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise MalformedError(f"json: {name} is no list: {value!r:.60}")
        return [Fields(one) for one in value]


def loads(body: bytes) -> Fields:
    """Decode a request body; an empty body is an empty object."""
    if not body.strip():
        return Fields({})
    try:
        return Fields(json.loads(body))
    except (ValueError, RecursionError) as err:
        raise MalformedError(f"unexpected EOF or character: {err}") from None


def load_all(body: bytes) -> list[Fields]:
    """Decode a body of concatenated JSON objects."""
    out: list[Fields] = []
    decoder = json.JSONDecoder()
    try:
        text = body.decode("utf-8").strip()
        while text:
            value, end = decoder.raw_decode(text)
            out.append(Fields(value))
            text = text[end:].lstrip()
    except (ValueError, RecursionError) as err:
        raise MalformedError(f"unexpected EOF or character: {err}") from None
    return out


def put(fields: Fields) -> Put:
    """Decode a PutRequest."""
    lease = fields.number("lease")
    return Put(fields.data("key"), fields.data("value"), lease, fields.flag("prev_kv"))


def delete(fields: Fields) -> Delete:
    """Decode a DeleteRangeRequest."""
    return Delete(fields.data("key"), fields.data("range_end"), fields.flag("prev_kv"))


def range_(fields: Fields) -> Range:
    """Decode a RangeRequest; only sorting by key is supported, and negative numbers mean 0 as in etcd."""
    if fields.text("sort_target") not in ("", "KEY"):
        raise MalformedError("the stand-in sorts by KEY only")
    return Range(
        fields.data("key"),
        fields.data("range_end"),
        max(fields.number("revision"), 0),
        max(fields.number("limit"), 0),
        fields.flag("count_only"),
        fields.flag("keys_only"),
        fields.text("sort_order") == "DESCEND",
    )


def op(fields: Fields) -> Op:
    """Decode a RequestOp."""
    if (operation := fields.object("request_put")) is not None:
        return put(operation)
    if (operation := fields.object("request_delete_range")) is not None:
        return delete(operation)
    if (operation := fields.object("request_range")) is not None:
        return range_(operation)
    raise MalformedError("the stand-in knows no such operation in a txn")


COMPARE_OPERATORS = {"": "=", "EQUAL": "=", "NOT_EQUAL": "!", "GREATER": ">", "LESS": "<"}
OPERAND_FIELDS = {
    Target.VERSION: "version",
    Target.CREATE: "create_revision",
    Target.MOD: "mod_revision",
    Target.VALUE: "value",
    Target.LEASE: "lease",
}


def compare(fields: Fields) -> Compare:
    """Decode a Compare of a single key."""
    try:
        target, operator = (
            Target(fields.text("target") or "VERSION"),
            COMPARE_OPERATORS[fields.text("result")],
        )
    except (ValueError, KeyError):
        raise MalformedError(f"unknown comparison: {fields.raw!r:.120}") from None
    name = OPERAND_FIELDS[target]
    operand: int | bytes = fields.data(name) if target is Target.VALUE else fields.number(name)
    return Compare(fields.data("key"), target, operator, operand)


def txn(fields: Fields) -> tuple[list[Compare], list[Op], list[Op]]:
    """Decode a TxnRequest into its conditions, success operations and failure operations."""
    conditions = [compare(one) for one in fields.list("compare")]
    return (
        conditions,
        [op(operation) for operation in fields.list("success")],
        [op(operation) for operation in fields.list("failure")],
    )


@dataclass(slots=True, frozen=True)
class WatchRequest:
    """A WatchCreateRequest."""

    key: bytes
    end: bytes
    start: int
    progress: bool
    prev_kv: bool
    fragment: bool
    id: int
    filters: tuple[str, ...]


def watch(fields: Fields) -> WatchRequest:
    r"""Decode a WatchCreateRequest; a missing key means b"\0", as in etcd."""
    filters = fields.get("filters")
    return WatchRequest(
        fields.data("key") or b"\0",
        fields.data("range_end"),
        fields.number("start_revision"),
        fields.flag("progress_notify"),
        fields.flag("prev_kv"),
        fields.flag("fragment"),
        fields.number("watch_id"),
        tuple(str(one) for one in filters) if isinstance(filters, list) else (),
    )


def key_value(kv: KeyValue) -> Json:
    """Encode a KeyValue."""
    return omit_zero_fields(
        key=kv.key,
        create_revision=kv.created,
        mod_revision=kv.modified,
        version=kv.version,
        value=kv.value,
        lease=kv.lease,
    )


def event(one: Event, prev_kv: bool) -> Json:
    """Encode an Event; a put has no type because PUT is the zero value."""
    before = key_value(one.before) if prev_kv and one.before is not None else None
    return omit_zero_fields(type="DELETE" if one.deleted else "", kv=key_value(one.now), prev_kv=before)


def range_response(result: Found, header: Json) -> Json:
    """Encode a RangeResponse."""
    kvs = [key_value(kv) for kv in result.kvs]
    return omit_zero_fields(header=header, kvs=kvs, more=result.more, count=result.count)


def write_response(operation: Put | Delete, result: Changed, header: Json) -> Json:
    """Encode a PutResponse or a DeleteRangeResponse."""
    before = [key_value(kv) for kv in result.before] if operation.prev_kv else []
    if isinstance(operation, Put):
        return omit_zero_fields(header=header, prev_kv=before[0] if before else None)
    return omit_zero_fields(header=header, deleted=result.deleted, prev_kvs=before)


def txn_responses(ops: Sequence[Op], results: Sequence[Changed | Found], revision: int) -> list[Json]:
    """Encode the responses of a txn, each with a header that holds only the revision."""
    header = omit_zero_fields(revision=revision)
    out: list[Json] = []
    for operation, result in zip(ops, results, strict=True):
        if isinstance(result, Found):
            out.append({"response_range": range_response(result, header)})
        else:
            assert not isinstance(operation, Range)
            name = "response_put" if isinstance(operation, Put) else "response_delete_range"
            out.append({name: write_response(operation, result, header)})
    return out


def error(message: str, code: int) -> Json:
    """Encode the error body of a failed unary call."""
    return {"error": message, "message": message, "code": code}


def stream_error(message: str, code: int) -> Json:
    """Encode the final error of a stream, whose format differs from that of a unary call."""
    status, _, reason = HTTP_CODES[code].partition(" ")
    inner = {"grpc_code": code, "http_code": int(status), "message": message, "http_status": reason}
    return {"error": inner}
