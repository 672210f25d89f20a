"""Requests to etcd's JSON gateway, as bytes."""

from __future__ import annotations

import base64
import json
from typing import Any

DEFAULT_PAGE_KEYS = 500


def prefix_range_end(prefix: bytes) -> bytes:
    r"""The end of the range of all keys that begin with `prefix` (etcd's docs); b"\0" stands for all keys."""
    incrementable = prefix.rstrip(b"\xff")
    return incrementable[:-1] + bytes([incrementable[-1] + 1]) if incrementable else b"\0"


def _base64_text(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


class RequestBuilder:
    """Builds requests for the keys below `key_prefix`; `host` is the value of the Host header."""

    def __init__(self, host: str, key_prefix: bytes) -> None:
        self.host, self.key_prefix = host, key_prefix
        # An empty prefix means all keys: from the smallest possible key on.
        self._first_key = _base64_text(key_prefix or b"\0")
        self._range_end = _base64_text(prefix_range_end(key_prefix))

    def range_request(
        self, after_key: bytes = b"", revision: int = 0, max_keys: int = DEFAULT_PAGE_KEYS, token: str = ""
    ) -> bytes:
        """Request a linearizable page of the keys after `after_key` at `revision` (0: the current one)."""
        first_key = _base64_text(after_key + b"\0") if after_key else self._first_key
        body: dict[str, Any] = {"key": first_key, "range_end": self._range_end, "limit": max_keys}
        if revision:
            body["revision"] = str(revision)
        return self._post_request("/v3/kv/range", body, token)

    def check_request(self, token: str = "", count: bool = False) -> bytes:
        """Request a linearizable read of one key, which only a member that reaches a quorum can answer.

        The key is the prefix itself: a user who may read the endpoints may read it, and etcd need not scan
        its index. With `count` etcd scans it, and returns the number of keys below the prefix.
        """
        body: dict[str, Any] = {"key": self._first_key, "count_only": True, "serializable": False}
        if count:
            body["range_end"] = self._range_end
        return self._post_request("/v3/kv/range", body, token)

    def watch_request(self, start_revision: int, token: str = "") -> bytes:
        """Request a watch of all keys below the prefix, starting at `start_revision`."""
        create_request = {
            "key": self._first_key,
            "range_end": self._range_end,
            "start_revision": str(start_revision),
            "progress_notify": True,
            "fragment": True,
        }
        return self._post_request("/v3/watch", {"create_request": create_request}, token)

    def authenticate_request(self, user: str, password: str) -> bytes:
        """Request a token for a user and password."""
        return self._post_request("/v3/auth/authenticate", {"name": user, "password": password}, "")

    def _post_request(self, path: str, body: dict[str, Any], token: str) -> bytes:
        data = json.dumps(body).encode()
        lines = [f"POST {path} HTTP/1.1", f"Host: {self.host}", "Content-Type: application/json"]
        if token:
            lines.append(f"Authorization: {token}")
        return "\r\n".join([*lines, f"Content-Length: {len(data)}", "", ""]).encode() + data
