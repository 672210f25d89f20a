"""Case 8: a server drains, and gets new work under the id of the one that it replaced at its address."""

from __future__ import annotations

import asyncio
import random
import sys
import time
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

NODES = 4
BACKENDS = 12
RATE_PER_NODE_S = 35.0
WARM_UP_S = 4.0
RESTART_S = 0.5  # until another machine has the address
ADDED_S = 1.5  # the list has a new server so much later
IN_SERVICE_S = 3.0  # until the replacement is told to drain
REMOVED_S = 12.0  # the list notices so late that a server has vanished without a word
GRACE_S = 2.0 + 0.05  # the settings' drain-grace; each time limit is 50 ms longer on sockets


async def body(case: Case) -> bool:
    """Replace a server at its address, and let the replacement drain while the list still has the old one."""
    record = case.record

    async def answer(arrival: Arrival) -> Reply:  # also from a server that drains, up to its end
        await asyncio.sleep(random.uniform(0.05, 0.1))
        return Reply(200, arrival.id.encode())

    backends = [Backend(f"s-{number}", record, answer) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    classes = [request_class("stock-search", "retryable")]
    await case.start_nodes(NODES, discovery, settings(classes, NODES))
    sending = True

    async def one(clients: Clients) -> None:
        await clients.ask("GET", "/stock-search", 4000 * random.uniform(0.7, 1.0))

    async def load(clients: Clients) -> None:
        tasks = []
        while sending:
            tasks.append(asyncio.create_task(one(clients)))
            await asyncio.sleep(random.expovariate(RATE_PER_NODE_S))
        await asyncio.gather(*tasks)

    clients = [Clients(record, node.port) for node in case.nodes]
    loads = [asyncio.create_task(load(one_node)) for one_node in clients]
    await asyncio.sleep(WARM_UP_S)

    old, new = backends[0], Backend("s-new", record, answer)
    vanished_s = record.now()
    await old.vanish()
    await asyncio.sleep(RESTART_S)
    old.make_way()
    await new.start(old.port if TROUBLE else 0)
    new.up_since_ms = int(time.time() * 1000)
    record.say(
        f"{old.name}, at port {old.port}, vanished at {vanished_s:.2f} s; {new.name} runs at port {new.port}"
    )
    await asyncio.sleep(ADDED_S)
    discovery.backends.append(new)
    discovery.change(new)
    await asyncio.sleep(IN_SERVICE_S)
    new.phase = "terminating"
    discovery.change(new)
    told_s = record.now()
    case.require(told_s - vanished_s < REMOVED_S - GRACE_S - 1.0, "the new server drained in time")
    record.say(f"{new.name} drains since {told_s:.2f} s")
    await asyncio.sleep(vanished_s + REMOVED_S - told_s)
    old.phase = "terminated"
    discovery.backends.remove(old)
    discovery.change(old)
    record.say(f"the list has no {old.name} since {record.now():.2f} s")
    case.require(record.now() - vanished_s < 14.0, "the old server left the list within 14 s")
    await asyncio.sleep(3.0)
    sending = False
    await asyncio.gather(*loads)
    case.check_run([status for one_node in clients for status in one_node.answers], 0.25)
    late = [
        arrival
        for arrival in new.arrivals
        if arrival.first_byte_s - case.delay_near(arrival.first_byte_s) > told_s + GRACE_S
    ]
    before = sum(arrival.at_s <= told_s for arrival in new.arrivals)
    case.require(before > 0, "the new server got requests before it drained")
    record.say(f"{new.name} got {before} requests before it drained")
    record.say(f"{new.name} got {len(late)} requests later than {GRACE_S:.2f} s after the nodes were told")
    for arrival in late[:5]:
        record.say(f"request {arrival.id} came {arrival.at_s - told_s:.2f} s after it")
    return bool(late)


run_case(body, __file__)
