"""A probe, no case: some answers come a second time, some milliseconds late, on links of about a millisecond.

Arguments: by how many milliseconds a copy is late at the server, and those of the link one way. Eight clients
ask one after another for 25 s. Exit code 1 if a client got the answer to another request, 0 if none did.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Backend, Case, Clients, Discovery, read_head, request_class, run_case, settings

COPY_S, LINK_S = (float(text) / 1000 for text in sys.argv[1:3])
SERVERS = CLIENTS = 8
SENDING_S, QUIET_S = 25.0, 5.0
COPIED_SHARE, TURNED_AWAY_SHARE, OBJECTS = 0.1, 0.1, 6


class Link:
    """One way of a link: it delivers in order, after a delay with the site's jitter."""

    def __init__(self, deliver: Callable[[Any], object]) -> None:
        self.queue: asyncio.Queue = asyncio.Queue()
        self.deliver = deliver
        self.task = asyncio.create_task(self.run())

    def put(self, item: object) -> None:
        """Send."""
        due_s = asyncio.get_running_loop().time() + LINK_S * random.uniform(0.69, 1.31)
        self.queue.put_nowait((due_s, item))

    async def run(self) -> None:
        """Deliver."""
        while True:
            due_s, item = await self.queue.get()
            await asyncio.sleep(max(0.0, due_s - asyncio.get_running_loop().time()))
            self.deliver(item)


class LinkedBackend(Backend):
    """A server behind a link. It repeats an answer only if nothing else has come by then."""

    copies = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrived: asyncio.Queue = asyncio.Queue()
        back = Link(lambda data: None if writer.is_closing() else writer.write(data))
        forth = Link(arrived.put_nowait)

        async def read() -> None:
            while True:
                forth.put(await read_head(reader))

        reading = asyncio.create_task(read())
        try:
            while not reading.done():
                first, headers = await arrived.get()
                data = b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 4\r\n\r\nbusy"
                if random.random() >= TURNED_AWAY_SHARE:
                    await asyncio.sleep(random.uniform(0.02, 0.06))
                    body = first.split("obj=")[1].split()[0].encode()
                    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
                self.record.add(f"{self.name} answers {headers['request-id']} {data[9:12]!r}")
                back.put(data)
                if LinkedBackend.copies and random.random() < COPIED_SHARE:
                    await asyncio.sleep(COPY_S)
                    if arrived.empty():
                        back.put(data)
        finally:
            for task in (reading, back.task, forth.task):
                task.cancel()
            writer.close()


async def body(case: Case) -> bool:
    """Ask for objects, and compare each answer with its object."""

    async def unused(arrival: object) -> None:
        """The servers answer by themselves."""

    backends = [LinkedBackend(f"s-{number}", case.record, unused) for number in range(SERVERS)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(case.record, list(backends))
    await discovery.start()
    await case.start_nodes(1, discovery, settings([request_class("stock-search", "retryable")], 1))
    clients, foreign = Clients(case.record, case.nodes[0].port), 0
    end_s = case.record.now() + SENDING_S

    async def ask() -> None:
        nonlocal foreign
        while case.record.now() < end_s:
            LinkedBackend.copies = case.record.now() > QUIET_S
            wanted = str(random.randrange(OBJECTS))
            answer = await clients.ask("GET", f"/stock-search?obj={wanted}", 3000)
            foreign += answer.status == 200 and answer.body != wanted.encode()

    await asyncio.gather(*(ask() for _ in range(CLIENTS)))
    case.record.say(f"{foreign} of {len(clients.answers)} requests got the answer to another one")
    return foreign > 0


run_case(body, __file__)
