"""Case 10: a client that sends much at once and goes is still sent for."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
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
AT_ONCE_S = 0.3  # kernels with small buffers take longer, and the clients then go too late
GONE_S = 0.1 + 0.05  # STANDING; each time limit is 50 ms longer on sockets
STANDINS_S = 0.02  # for loopback; by how much the stand-ins were late is measured and taken off


async def body(case: Case) -> bool:
    """Let waves of clients send much and go; some answers are spoilt, so that the node tries again."""
    record = case.record

    async def answer(arrival: Arrival) -> Reply:
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
    at_once = 0
    numbers = (port, BAD_CLIENTS, REQUESTS if TROUBLE else 0, BODY_BYTES, WAVES, WAVE_S)
    arguments = [
        sys.executable,
        "-B",
        str(Path(__file__).resolve().parent / "bad_clients.py"),
        *map(str, numbers),
    ]
    process = await asyncio.create_subprocess_exec(*arguments, stdout=asyncio.subprocess.PIPE)
    try:
        assert process.stdout is not None
        async for line in process.stdout:
            request_id, took_s, closed_s = line.decode().split()
            gone_s[request_id] = float(closed_s) - record.start_s
            at_once += float(took_s) < AT_ONCE_S
            record.add(
                f"client of {request_id} wrote all in {took_s} s and closed at {gone_s[request_id]:.4f}"
            )
        case.require(await process.wait() == 0, "the bad clients ended by themselves")
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    sending = False
    await load
    await asyncio.gather(*tasks)
    case.check_run(clients.answers, 0.25)
    arrivals = [arrival for backend in backends for arrival in backend.arrivals if arrival.id in gone_s]
    limit_s = GONE_S + STANDINS_S
    # What a stand-in read late does not count against the node.
    delays_s = [
        arrival.at_s - case.delay_near(arrival.at_s) - gone_s[arrival.id]
        for arrival in arrivals
        if arrival.at_s - gone_s[arrival.id] > limit_s
    ]
    late = sorted(delay_s for delay_s in delays_s if delay_s > limit_s)
    record.say(f"{len(gone_s)} clients went, {len(arrivals)} attempts were made for them")
    record.say(f"{len(late)} attempts came later than {limit_s:.2f} s after their client had closed")
    record.say(f"{at_once} of them wrote all within {AT_ONCE_S} s")
    if TROUBLE and not late:
        case.require(2 * at_once > len(gone_s), "most clients could write all at once")
    if late:
        record.say(f"the latest {late[-1]:.3f} s after it")
    return bool(late)


run_case(body, __file__)
