"""The JSON of etcd's gateway: what requests mean and how answers are written, pure.

The conventions are those of protobuf's JSON form as grpc-gateway 1.9 writes it (etcd 3.4): 64-bit values
are strings, bytes are base64, fields that are zero are left out, names are as in etcd's .proto files. In
requests numbers may come either way, names in snake or camel case, and unknown fields are passed over.
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
}  # by gRPC's code, as grpc-gateway 1.9 has it

Json = dict[str, object]


class MalformedError(ValueError):
    """A request's body makes no sense."""


def b64(data: bytes) -> str:
    """Bytes as JSON has them."""
    return base64.b64encode(data).decode("ascii")


def lean(**fields: object) -> Json:
    """An object without what is zero. Whole numbers become text."""
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
    """As the gateway writes it: no spaces."""
    return json.dumps(value, separators=(",", ":")).encode("ascii")


class Fields:
    """A request's object, read as etcd reads it. Raises MalformedError."""

    def __init__(self, raw: object) -> None:
        if not isinstance(raw, dict):
            raise MalformedError(f"json: cannot unmarshal {type(raw).__name__} into Go value of type map")
        self.raw = raw

    def get(self, name: str) -> object:
        """The value as it came; None where there is none."""
        value = self.raw.get(name)
        return self.raw.get(re.sub(r"_([a-z])", lambda m: m[1].upper(), name)) if value is None else value

    def number(self, name: str) -> int:
        """A 64-bit number, plain or as text."""
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
        """Bytes in base64."""
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
        """True or false."""
        value = self.get(name)
        if value is not None and not isinstance(value, bool):
            raise MalformedError(f"json: {name} is neither true nor false: {value!r:.60}")
        return bool(value)

    def text(self, name: str) -> str:
        """Text, an enumeration's value among it."""
        value = self.get(name)
        if value is not None and not isinstance(value, str):
            raise MalformedError(f"json: {name} is no text: {value!r:.60}")
        return value or ""

    def object(self, name: str) -> Fields | None:
        """An object within."""
        value = self.get(name)
        return None if value is None else Fields(value)

    def list(self, name: str) -> list[Fields]:
        """The objects of a list within."""
        value = self.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise MalformedError(f"json: {name} is no list: {value!r:.60}")
        return [Fields(one) for one in value]


def loads(body: bytes) -> Fields:
    """A request's body; none at all is an empty object."""
    if not body.strip():
        return Fields({})
    try:
        return Fields(json.loads(body))
    except (ValueError, RecursionError) as err:
        raise MalformedError(f"unexpected EOF or character: {err}") from None


def load_all(body: bytes) -> list[Fields]:
    """The objects of a body that holds several, one after the other."""
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
    """A PutRequest."""
    lease = fields.number("lease")
    return Put(fields.data("key"), fields.data("value"), lease, fields.flag("prev_kv"))


def delete(fields: Fields) -> Delete:
    """A DeleteRangeRequest."""
    return Delete(fields.data("key"), fields.data("range_end"), fields.flag("prev_kv"))


def range_(fields: Fields) -> Range:
    """A RangeRequest. Sorting is known by key only; below zero is zero, as in etcd."""
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
    """A RequestOp."""
    if (one := fields.object("request_put")) is not None:
        return put(one)
    if (one := fields.object("request_delete_range")) is not None:
        return delete(one)
    if (one := fields.object("request_range")) is not None:
        return range_(one)
    raise MalformedError("the stand-in knows no such operation in a txn")


SIGNS = {"": "=", "EQUAL": "=", "NOT_EQUAL": "!", "GREATER": ">", "LESS": "<"}
WANTS = {
    Target.VERSION: "version",
    Target.CREATE: "create_revision",
    Target.MOD: "mod_revision",
    Target.VALUE: "value",
    Target.LEASE: "lease",
}


def compare(fields: Fields) -> Compare:
    """A txn's Compare, of one key."""
    try:
        target, sign = Target(fields.text("target") or "VERSION"), SIGNS[fields.text("result")]
    except (ValueError, KeyError):
        raise MalformedError(f"unknown comparison: {fields.raw!r:.120}") from None
    name = WANTS[target]
    want: int | bytes = fields.data(name) if target is Target.VALUE else fields.number(name)
    return Compare(fields.data("key"), target, sign, want)


def txn(fields: Fields) -> tuple[list[Compare], list[Op], list[Op]]:
    """A TxnRequest: conditions, then, otherwise."""
    conditions = [compare(one) for one in fields.list("compare")]
    return conditions, [op(o) for o in fields.list("success")], [op(o) for o in fields.list("failure")]


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
    r"""A WatchCreateRequest; without a key it is the key b"\0", as in etcd."""
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
    """A KeyValue."""
    return lean(
        key=kv.key,
        create_revision=kv.created,
        mod_revision=kv.modified,
        version=kv.version,
        value=kv.value,
        lease=kv.lease,
    )


def event(one: Event, prev_kv: bool) -> Json:
    """An Event; a put has no type."""
    before = key_value(one.before) if prev_kv and one.before is not None else None
    return lean(type="DELETE" if one.deleted else "", kv=key_value(one.now), prev_kv=before)


def found(result: Found, header: Json) -> Json:
    """A RangeResponse."""
    kvs = [key_value(kv) for kv in result.kvs]
    return lean(header=header, kvs=kvs, more=result.more, count=result.count)


def changed(one: Put | Delete, result: Changed, header: Json) -> Json:
    """A PutResponse or a DeleteRangeResponse."""
    before = [key_value(kv) for kv in result.before] if one.prev_kv else []
    if isinstance(one, Put):
        return lean(header=header, prev_kv=before[0] if before else None)
    return lean(header=header, deleted=result.deleted, prev_kvs=before)


def answers(ops: Sequence[Op], results: Sequence[Changed | Found], revision: int) -> list[Json]:
    """The responses of a txn, each with a header that holds nothing but the revision."""
    header = lean(revision=revision)
    out: list[Json] = []
    for one, result in zip(ops, results, strict=True):
        if isinstance(result, Found):
            out.append({"response_range": found(result, header)})
        else:
            assert not isinstance(one, Range)
            name = "response_put" if isinstance(one, Put) else "response_delete_range"
            out.append({name: changed(one, result, header)})
    return out


def error(message: str, code: int) -> Json:
    """What a call that failed is answered."""
    return {"error": message, "message": message, "code": code}


def stream_error(message: str, code: int) -> Json:
    """How a stream ends that failed; its shape is another one."""
    number, _, words = HTTP_CODES[code].partition(" ")
    inner = {"grpc_code": code, "http_code": int(number), "message": message, "http_status": words}
    return {"error": inner}
