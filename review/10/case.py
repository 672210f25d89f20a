"""Case 10: a client that sends much at once and goes is still sent for."""

from __future__ import annotations

import asyncio
import concurrent.futures
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
    TROUBLE,
    Arrival,
    Backend,
    Case,
    Clients,
    Discovery,
    Reply,
    request_class,
    run_case,
    settings,
)

BACKENDS = 8
USUAL_PER_S = 100.0
WAVES = 10
WAVE_S = 2.5
BAD_CLIENTS = 100  # a wave: "many bad clients"
REQUESTS = 75  # that each sends at once, with bodies within 64 KiB: 3 MB in all
BODY_BYTES = 40_000
SPOILT_SHARE = 0.3  # "many spoilt answers"
GONE_S = 0.1 + 0.05  # STANDING; each time limit is 50 ms longer on sockets
STANDINS_S = 0.05  # allowed for the stand-ins beside it


def pile(request_id: str) -> bytes:
    """One request that is safe to repeat and, with TROUBLE, many others right behind it."""
    head = f"GET /stock-search HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {request_id}\r\n"
    data = [f"{head}Request-Timeout: 4000m\r\n\r\n".encode()]
    for number in range(REQUESTS if TROUBLE else 0):
        key = f"{request_id}{number:016x}"
        head = f"POST /booking HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {key[12:28]}\r\n"
        head += f"Idempotency-Key: {key}\r\nRequest-Timeout: 4000m\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        data.append(head.encode() + bytes(BODY_BYTES))
    return b"".join(data)


def send_and_go(port: int, data: bytes) -> tuple[float, float]:
    """Connect, write everything, close; returns when the last byte was written and the connection closed."""
    with socket.create_connection((HOST, port)) as sock:
        try:
            sock.settimeout(3.0)
            sock.sendall(data)
        except OSError:
            pass  # the node closed first
        written_s = time.monotonic()
    return written_s, time.monotonic()


async def body(case: Case) -> bool:
    """Let waves of clients send much and go; some answers are spoilt, so that the node tries again."""
    record, loop = case.record, asyncio.get_running_loop()
    lateness_s = 0.0

    async def watch_loop() -> None:
        nonlocal lateness_s
        while True:
            begun_s = record.now()
            await asyncio.sleep(0.01)
            lateness_s = record.now() - begun_s - 0.01

    async def answer(arrival: Arrival) -> Reply:
        late_s = lateness_s
        arrival.at_s -= max(0.0, late_s - 0.01)  # a stand-in that runs late does not count against the node
        await asyncio.sleep(random.uniform(0.1, 0.17) / random.uniform(0.77, 1.0))
        if random.random() < SPOILT_SHARE:
            return Reply(200, b"", "Content-Length: -1")  # two lengths that don't fit
        return Reply(200, arrival.id.encode())

    backends = [Backend(f"s-{number}", record, answer) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    classes = [
        request_class("stock-search", "retryable"),
        request_class("booking", "dedup", group="zone", objective=1200.0),
    ]
    await case.start_nodes(1, discovery, settings(classes, 1))
    watching = asyncio.create_task(watch_loop())
    port, sending, tasks = case.nodes[0].port, True, list[asyncio.Task[object]]()
    clients = Clients(record, port)

    async def usual() -> None:
        while sending:
            timeout_ms = 4000 * random.uniform(0.7, 1.0)
            tasks.append(asyncio.create_task(clients.ask("GET", "/stock-search", timeout_ms)))
            await asyncio.sleep(random.expovariate(USUAL_PER_S))

    load = asyncio.create_task(usual())
    await asyncio.sleep(2.0)
    gone_s: dict[str, float] = {}
    with concurrent.futures.ThreadPoolExecutor(BAD_CLIENTS) as pool:
        for _ in range(WAVES):
            ids = [f"{random.getrandbits(64):016x}" for _ in range(BAD_CLIENTS)]
            piles = [pile(request_id) for request_id in ids]
            going = [loop.run_in_executor(pool, send_and_go, port, data) for data in piles]
            for request_id, done in zip(ids, going, strict=True):
                _, closed_s = await done
                gone_s[request_id] = closed_s - record.start_s
                record.add(f"client of {request_id} closed its connection at {gone_s[request_id]:.4f}")
            await asyncio.sleep(WAVE_S)
    sending = False
    await load
    await asyncio.gather(*tasks)
    watching.cancel()
    case.check_alive()
    arrivals = [arrival for backend in backends for arrival in backend.arrivals if arrival.id in gone_s]
    limit_s = GONE_S + STANDINS_S
    late = sorted(
        arrival.at_s - gone_s[arrival.id]
        for arrival in arrivals
        if arrival.at_s - gone_s[arrival.id] > limit_s
    )
    record.say(f"{len(gone_s)} clients went, {len(arrivals)} attempts were made for them")
    record.say(f"{len(late)} attempts came later than {limit_s:.2f} s after their client had closed")
    if late:
        record.say(f"the latest {late[-1]:.3f} s after it")
    return bool(late)


run_case(body, __file__)
