"""Clients that send much at once and go, in a process of their own; writes a line for each that went.

Arguments: port, clients, requests behind the first one, bytes of a body, waves, seconds between them. A line
has the id of the first request, the seconds that the writing took, and the monotonic time after the close.
"""

from __future__ import annotations

import concurrent.futures
import contextlib
import random
import socket
import sys
import time

HOST = "127.0.0.1"


def pile(request_id: str, requests: int, body: bytes) -> bytes:
    """One request that is safe to repeat, and others right behind it."""
    head = f"GET /stock-search HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {request_id}\r\n"
    data = [f"{head}Request-Timeout: 4000m\r\n\r\n".encode()]
    for number in range(requests):
        key = f"{request_id}{number:016x}"
        head = f"POST /booking HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {key[12:28]}\r\n"
        head += f"Idempotency-Key: {key}\r\nRequest-Timeout: 4000m\r\nContent-Length: {len(body)}\r\n\r\n"
        data += [head.encode(), body]
    return b"".join(data)


def send_and_go(port: int, request_id: str, data: bytes) -> str:
    """Connect, write everything, close."""
    with socket.create_connection((HOST, port)) as sock:
        sock.settimeout(3.0)
        begun_s = time.monotonic()
        with contextlib.suppress(OSError):  # the node closed first
            sock.sendall(data)
        took_s = time.monotonic() - begun_s
    return f"{request_id} {took_s:.4f} {time.monotonic():.6f}"


def main() -> None:
    """Send wave after wave."""
    port, clients, requests, body_bytes, waves = map(int, sys.argv[1:6])
    with concurrent.futures.ThreadPoolExecutor(clients) as pool:
        for _ in range(waves):
            ids = [f"{random.getrandbits(64):016x}" for _ in range(clients)]
            piles = [pile(request_id, requests, bytes(body_bytes)) for request_id in ids]
            lines = pool.map(send_and_go, [port] * clients, ids, piles)
            print("\n".join(lines), flush=True)
            time.sleep(float(sys.argv[6]))


main()
