"""Bad clients: each sends a body of 60 MB at full speed, and the same again as soon as it is turned away.

They are a process of their own, so that they hold up nobody but the node. Arguments: host, port, number of
clients, seconds. The body comes in chunks of 16 bytes. Each client reads what it is sent.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time

CHUNK_BYTES, BODY_BYTES = 16, 60_000_000
GIVE_UP_S = 6.0  # with 60 MB to send a client is owed an error or a close within that
PIECE = (b"%x\r\n" % CHUNK_BYTES + b"q" * CHUNK_BYTES + b"\r\n") * 4000
PIECE_BODY_BYTES = 4000 * CHUNK_BYTES


def send_once(address: tuple[str, int], request_id: str) -> str:
    """Send one request until the node answers or closes; return what came."""
    head = "POST /booking HTTP/1.1\r\nHost: api.internal\r\nRequest-Timeout: 4000m\r\n"
    head += f"Request-Id: {request_id}\r\nIdempotency-Key: {request_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    start_s = time.monotonic()
    with socket.create_connection(address, timeout=GIVE_UP_S) as sock:
        sock.sendall(head.encode())
        sock.setblocking(False)
        sent_bytes, rest, got = 0, PIECE, b""
        while not got and time.monotonic() - start_s < GIVE_UP_S:
            try:
                if sent_bytes < BODY_BYTES:
                    rest = rest[sock.send(rest) :]
                    if not rest:
                        sent_bytes, rest = sent_bytes + PIECE_BODY_BYTES, PIECE
                else:
                    time.sleep(0.002)
            except BlockingIOError:
                time.sleep(0.002)
            with contextlib.suppress(BlockingIOError):
                got = sock.recv(4096) or b"close"
    return f"{sent_bytes} bytes of body, then {got[:24]!r} after {time.monotonic() - start_s:.2f} s"


def run(address: tuple[str, int], number: int, end_s: float) -> None:
    """Run one client."""
    count = 0
    while time.monotonic() < end_s:
        request_id = f"bad{number:05x}{count:08x}"
        try:
            text = send_once(address, request_id)
        except OSError as err:
            text = repr(err)
        print(f"bad client {request_id}: {text}", flush=True)
        count += 1


def main() -> None:
    """Run all clients."""
    host, port, number, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    end_s = time.monotonic() + seconds
    threads = [threading.Thread(target=run, args=((host, port), index, end_s)) for index in range(number)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


main()
