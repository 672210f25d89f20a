"""Parsers of the fields of the gateway's JSON. They raise UnexpectedShapeError for an unexpected type."""

from __future__ import annotations

import base64
import binascii
import re
from typing import Any

from balancer.protocol.etcd_watch.responses import KeyValue, ResponseHeader

MAX_LOGGED_CHARACTERS = 300


class UnexpectedShapeError(Exception):
    """The response is JSON, but not what etcd answers."""


def printable(text: str) -> str:
    """A text from an endpoint for the log: on one line, bounded, without control characters."""
    text = text[:MAX_LOGGED_CHARACTERS]
    return text if text.isprintable() else ascii(text)


def parse_integer(value: object) -> int:
    """A 64-bit integer, which the gateway writes as a string; 0 if it is omitted."""
    if value is None:
        return 0
    if isinstance(value, str) and re.fullmatch(r"-?[0-9]{1,20}", value):
        value = int(value)
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) < 1 << 64:
        return value
    raise UnexpectedShapeError(f"{value!r:.60} is no number")


def require_object(value: object) -> dict[str, Any]:
    """An object, which may not be omitted."""
    if not isinstance(value, dict):
        raise UnexpectedShapeError(f"{value!r:.60} is no object")
    return value


def parse_list(value: object) -> list[Any]:
    """A list; empty if it is omitted."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise UnexpectedShapeError(f"{value!r:.60} is no list")
    return value


def parse_flag(value: object) -> bool:
    """A boolean; false if it is omitted."""
    if value is None or isinstance(value, bool):
        return bool(value)
    raise UnexpectedShapeError(f"{value!r:.60} is neither true nor false")


def decode_base64(value: object) -> bytes:
    """Bytes, which the gateway writes as base64; empty if they are omitted."""
    if value is None:
        return b""
    if not isinstance(value, str):
        raise UnexpectedShapeError(f"{value!r:.60} is not base64")
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        raise UnexpectedShapeError(f"{value!r:.60} is not base64") from None


def parse_header(value: object) -> ResponseHeader:
    """A header. The cluster id is required, as it distinguishes clusters."""
    raw = require_object(value)
    cluster_id = parse_integer(raw.get("cluster_id"))
    if not cluster_id:
        raise UnexpectedShapeError("the header has no cluster_id")
    return ResponseHeader(
        str(cluster_id),
        str(parse_integer(raw.get("member_id"))),
        parse_integer(raw.get("revision")),
        parse_integer(raw.get("raft_term")),
    )


def parse_key_value(value: object, is_deleted: bool = False) -> KeyValue:
    """A key with its value. The key is required; a value that is not base64 becomes None."""
    raw = require_object(value)
    key, revision = decode_base64(raw.get("key")), parse_integer(raw.get("mod_revision"))
    if not key:
        raise UnexpectedShapeError("a key is missing")
    content: bytes | None = None
    if not is_deleted:
        try:
            content = decode_base64(raw.get("value"))
        except UnexpectedShapeError:
            content = None
    return KeyValue(key, content, revision, is_deleted)


def parse_event(value: object) -> KeyValue:
    """An event of a watch, which has its own revision."""
    raw = require_object(value)
    event_type = raw.get("type")
    if event_type not in (None, "PUT", "DELETE", 0, 1):
        raise UnexpectedShapeError(f"{event_type!r:.60} is no type of event")
    key_value = parse_key_value(raw.get("kv"), event_type in ("DELETE", 1))
    if key_value.mod_revision <= 0:
        raise UnexpectedShapeError("an event has no revision")
    return key_value
