"""Backends of another data centre send some answers twice, the second copy 6 ms late. Who gets that copy?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import (  # noqa: E402
    BROKEN,
    HELD,
    Backend,
    Call,
    Client,
    Discovery,
    Node,
    Record,
    has_trouble,
    read_message,
    request_class,
    response,
    run_case,
    settings,
)

BACKENDS = 3
# One way between two data centres: 5.6 to 10 ms, with a jitter of up to 0.31.
WAY_MS, JITTER = 10.0, 0.31
SECOND_COPY_SHARE, SECOND_COPY_MS = 0.1, 6.0  # of the answers; after the first copy left the backend
TURNED_AWAY_SHARE = 0.1  # a backend whose queue is full turns a request away, as on any day
WORK_MS = 5.0
# What the ways of both copies allow between them; a copy that the machine makes later is left out.
MAX_GAP_MS = SECOND_COPY_MS + 2 * JITTER * WAY_MS
RATE, SECONDS = 150.0, 45.0
BOOKING = request_class("booking", "fragile", 1200.0, 4000.0)
HEAD = "POST /booking?obj=1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Timeout: 4000m"


def way_s() -> float:
    """Return how long the network takes one way."""
    return WAY_MS * random.uniform(1 - JITTER, 1 + JITTER) / 1000


class FarBackend(Backend):
    """A backend at the other end of a link with a delay; the link keeps the order of what it carries."""

    second_copies = 0
    runs: list[str]  # the ids of the requests that ran here

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        connection, loop = self.connection_count, asyncio.get_running_loop()
        arrived: asyncio.Queue[Call | None] = asyncio.Queue()
        outbound: asyncio.Queue[tuple[float, bytes, str]] = asyncio.Queue()

        async def carry_requests() -> None:
            while (message := await read_message(reader)) is not None:
                await asyncio.sleep(way_s())
                arrived.put_nowait(Call(message, reader, writer, self.record.now_ms(), connection))
            arrived.put_nowait(None)

        async def carry_answers() -> None:
            previous_s = 0.0
            while True:
                at_s, data, text = await outbound.get()
                await asyncio.sleep(max(0.0, at_s - loop.time()))
                gap_ms, previous_s = (loop.time() - previous_s) * 1000, loop.time()
                if text.startswith("second copy"):
                    if gap_ms > MAX_GAP_MS:
                        continue
                    self.second_copies += 1
                    text += f" {gap_ms:.1f} ms after the first"
                self.record.add(f"{self.name} connection {connection}: {text} reaches the node")
                writer.write(data)

        tasks = [asyncio.create_task(carry_requests()), asyncio.create_task(carry_answers())]
        while (call := await arrived.get()) is not None:
            self.calls.append(call)
            if random.random() < TURNED_AWAY_SHARE:
                self.record.add(f"{self.name} connection {connection}: turns {call.id} away")
                answer = response(503, b"full", "Not-Started: 1")
                outbound.put_nowait((loop.time() + way_s(), answer, f"503 Not-Started for {call.id}"))
                continue
            self.record.add(f"{self.name} connection {connection}: runs {call.id}")
            self.runs.append(call.id)
            await asyncio.sleep(WORK_MS / 1000)
            answer = response(200, f"booked: {call.id}".encode())
            outbound.put_nowait((loop.time() + way_s(), answer, f"answer to {call.id}"))
            if has_trouble() and random.random() < SECOND_COPY_SHARE:
                await asyncio.sleep(SECOND_COPY_MS / 1000)
                if arrived.empty():  # nothing else waits on the connection
                    outbound.put_nowait((loop.time() + way_s(), answer, f"second copy for {call.id}"))
        for task in tasks:
            task.cancel()
        writer.close()


async def unused(backend: Backend, call: Call) -> None:
    """Do nothing: `FarBackend` answers by itself."""


async def play(record: Record, folder: Path, nodes: list[Node]) -> int:
    """Run the case."""
    backends = [FarBackend(record, f"s-{number}", "lugano", number, unused) for number in range(BACKENDS)]
    for backend in backends:
        backend.runs = []
        await backend.start()
    node = Node(record, folder, "n0", 0)
    nodes.append(node)
    discovery = Discovery(record, [backend.entry() for backend in backends], nodes)
    await discovery.start()
    zones = {"failure-domains": ["zrh", "lugano"]}
    await node.start(discovery.address(node), discovery.whole_list(), settings([BOOKING], 0, 1, **zones))
    client, tasks = Client(record, node), set[asyncio.Task[object]]()
    for count in range(int(RATE * SECONDS)):
        tasks.add(asyncio.create_task(client.ask(f"{count:016x}", HEAD, b"slot=1")))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.wait(tasks)
    client.close()
    served = [answer for answer in client.answers if answer.status == 200]
    foreign = [answer for answer in served if answer.body != f"booked: {answer.request}".encode()]
    runs = [request for backend in backends for request in backend.runs]
    resent = {answer.request for answer in client.answers if answer.sends > 1}  # by the client, as it may
    twice = sorted({request for request in runs if runs.count(request) > 1} - resent)
    copies = sum(backend.second_copies for backend in backends)
    record.add(f"{len(client.answers)} asked, {len(served)} served, {copies} second copies")
    for answer in foreign:
        record.add(f"request {answer.request} was served with {answer.body.decode()!r}")
    for request in twice:
        record.add(f"request {request}, unsafe to repeat, ran {runs.count(request)} times")
    record.add(f"{len(foreign)} requests were served with the answer of another, {len(twice)} ran twice")
    return BROKEN if foreign or twice else HELD


sys.exit(run_case(FOLDER, play))
