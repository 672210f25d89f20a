"""Discovery is asked, and is down for 11 s, in which a backend begins to drain. When do the nodes obey?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import (  # noqa: E402
    BROKEN,
    HELD,
    Backend,
    Call,
    CaseError,
    Client,
    Discovery,
    Node,
    Record,
    has_trouble,
    request_class,
    response,
    run_case,
    settings,
)

NODES, BACKENDS = 10, 3
OUTAGE_S = 11.0  # the list is out of reach for 6.8 to 22 s
TOLD_AFTER_MS = 6_000.0  # at the latest, after discovery had the change and could be reached
GRACE_MS, SOCKET_SLACK_MS = 2_000.0, 50.0
WATCHED_S = 17.0  # how long the case goes on after discovery is back
INTERVAL_S = 0.1  # between two requests to a node
CLASSES = [request_class("stock-search", "retryable", 1500.0, 4000.0)]
HEAD = "GET /stock-search?obj=1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Timeout: 4000m"


async def serve(backend: Backend, call: Call) -> None:
    """Answer after a short time."""
    await asyncio.sleep(0.01)
    call.writer.write(response(200, f"{backend.name} {call.id}".encode()))


async def send_requests(client: Client, number: int) -> None:
    """Send requests to one node at a steady rate; the first digits of an id are the node's number."""
    tasks, count = set[asyncio.Task[object]](), 0
    while True:
        tasks.add(asyncio.create_task(client.ask(f"{number:04x}{count:012x}", HEAD)))
        tasks = {task for task in tasks if not task.done()}
        count += 1
        await asyncio.sleep(INTERVAL_S)


async def play(record: Record, folder: Path, nodes: list[Node]) -> int:
    """Run the case."""
    backends = [Backend(record, f"s-{number}", "zrh", number, serve) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    nodes += [Node(record, folder, f"n{number}", number) for number in range(NODES)]
    discovery = Discovery(record, [backend.entry() for backend in backends], nodes)
    await discovery.start()
    for number, node in enumerate(nodes):
        site = settings(CLASSES, number, NODES, discovery="subscribe")
        await node.start(discovery.address(node), discovery.whole_list(), site)
    clients = [Client(record, node) for node in nodes]
    senders = [asyncio.create_task(send_requests(client, number)) for number, client in enumerate(clients)]
    for _ in range(200):  # a node subscribes within half of `ask-within`, 10 s
        if len(discovery.watches) == NODES:
            break
        await asyncio.sleep(0.1)
    else:
        raise CaseError(f"{len(discovery.watches)} of {NODES} nodes watch")
    await asyncio.sleep(1)
    drained = backends[2]
    if has_trouble():
        record.add("discovery goes down")
        discovery.stop()
    await asyncio.sleep(1)
    revision = discovery.publish(drained.entry("terminating"))
    record.add(f"{drained.name} drains")
    if has_trouble():
        await asyncio.sleep(OUTAGE_S - 1)
        await discovery.start()
    reachable_ms = record.add("discovery has the change and can be reached")
    await asyncio.sleep(WATCHED_S)
    for sender in senders:
        sender.cancel()
    late_count = 0
    for number, node in enumerate(nodes):
        written_ms = discovery.told_ms.get((node.name, revision), float("inf"))
        told_ms = min(written_ms, reachable_ms + TOLD_AFTER_MS)
        limit_ms = told_ms + GRACE_MS + SOCKET_SLACK_MS
        late = [call for call in drained.calls if int(call.id[:4], 16) == number and call.at_ms > limit_ms]
        late_count += len(late)
        text = f"{node.name} counts as told at {told_ms:.1f}; discovery wrote to it at {written_ms:.1f}; "
        text += f"after {limit_ms:.1f} it sent {len(late)} requests to {drained.name}"
        record.add(text + (f", the last at {late[-1].at_ms:.1f}" if late else ""))
    record.add(f"{late_count} requests were sent to a draining backend after the grace")
    return BROKEN if late_count else HELD


sys.exit(run_case(FOLDER, play))
