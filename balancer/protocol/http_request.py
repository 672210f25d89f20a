"""Requests of clients: the headers that count, their values, and the request that goes on to a backend."""

from __future__ import annotations

import re

REQUEST_HEADERS = frozenset(
    {  # headers of a request to a class; a health check of `/up` has none of them
        b"request-id",
        b"request-timeout",
        b"tenant",
        b"idempotency-key",
        b"client-retry",
        b"work-hint",
        b"request-info",
    }
)
KEPT_HEADERS = REQUEST_HEADERS | {b"host", b"content-type"}
SINGLE_VALUE_HEADERS = frozenset({b"request-id", b"idempotency-key", b"request-timeout", b"host"})
# A request as it is written; a long body stays in its own memory, behind the head.
RenderedRequest = bytes | tuple[bytes, memoryview]
TIMEOUT_PATTERN = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")


class BadRequestError(ValueError):
    """The request of a client cannot be served; `code` is the status of the response."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


def parse_timeout(value: bytes) -> float:
    """Parse a `Request-Timeout` header into milliseconds; raises BadRequestError."""
    match = TIMEOUT_PATTERN.fullmatch(value.strip())
    if match is None or not (number := float(match[1])):
        raise BadRequestError(400, "bad Request-Timeout")
    return number if match[2] == b"m" else number / 1000


def render(
    method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes | memoryview, wait_ms: float
) -> RenderedRequest:
    """Render the request that is sent to a backend; the node waits `wait_ms` for its response."""
    lines = [
        b"%b %b HTTP/1.1" % (method, target),
        b"Host: " + headers.get(b"host", b"backend"),
        b"Request-Id: " + headers[b"request-id"],
        b"Request-Timeout: %du" % max(1, int(wait_ms * 1000)),
    ]
    if b"idempotency-key" in headers:
        lines.append(b"Idempotency-Key: " + headers[b"idempotency-key"])
    if b"content-type" in headers:
        lines.append(b"Content-Type: " + headers[b"content-type"])
    if body or method != b"GET":
        lines.append(b"Content-Length: %d" % len(body))
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head + body if isinstance(body, bytes) else (head, body)


def parse_work_hint(value: bytes) -> float | None:
    """Parse a `Work-Hint` header, in microseconds, into milliseconds; None if it is no such number."""
    return int(value) / 1000 if value.isdigit() and len(value) < 13 else None
