"""Discovery is asked, and is down for 11 s, in which backends begin to drain. When do the nodes obey?"""

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

NODES, BACKENDS, DRAINED = 8, 6, 2
OUTAGE_S = 11.0  # the site: discovery is down for 6 to 14 s
TOLD_AFTER_MS = 6_000.0  # at the latest, after discovery had the change and could be reached
GRACE_MS, SOCKET_SLACK_MS = 1_500.0, 50.0
LAG_MS = 100.0  # by which the stand-ins may note a request late
WATCHED_S = 17.0  # how long the case goes on after discovery is back
INTERVAL_S = 0.1  # between two requests to a node
CLASSES = [request_class("hand-over", "fragile", 700.0, 3000.0, value=3.0)]
HEAD = "POST /hand-over?obj=1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Timeout: 3000m"
# What the site has otherwise than `settings`: the list is asked for, one attempt, nothing may be called off.
CHANGES = {
    "discovery": "subscribe",
    "failure-domains": [],
    "zone": "",
    "granularity": 2.0,
    "limits": {
        "cancel": False,
        "conn-idle": 800.0,
        "connect-timeout": 200.0,
        "max-open": 20000,
        "most-tries": 1,
        "peers": False,
        "probing": False,
        "retry-after": False,
        "second-copies": False,
        "streams-per-conn": 1,
    },
    "rules": {
        "answer-slack": 20.0,
        "ask-within": 10000.0,
        "cold-share": 0.25,
        "drain-grace": GRACE_MS,
        "fall": 1200.0,
        "fall-multiple": 3.0,
        "ramp-time": 12000.0,
    },
}


async def serve(backend: Backend, call: Call) -> None:
    """Answer after a short time."""
    await asyncio.sleep(0.01)
    call.writer.write(response(200, f"{backend.name} {call.id}".encode()))


async def send_requests(client: Client, number: int) -> None:
    """Send requests to one node at a steady rate; the first digits of an id are the node's number."""
    tasks, count = set[asyncio.Task[object]](), 0
    while True:
        tasks.add(asyncio.create_task(client.ask(f"{number:04x}{count:012x}", HEAD, b"parcel=1")))
        tasks = {task for task in tasks if not task.done()}
        count += 1
        await asyncio.sleep(INTERVAL_S)


async def play(record: Record, folder: Path, nodes: list[Node]) -> int:
    """Run the case."""
    backends = [Backend(record, f"s-{number}", "", number, serve) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    nodes += [Node(record, folder, f"n{number}", number) for number in range(NODES)]
    discovery = Discovery(record, [backend.entry() for backend in backends], nodes)
    await discovery.start()
    for number, node in enumerate(nodes):
        site = settings(CLASSES, number, NODES, **CHANGES)
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
    drained = backends[:DRAINED]
    if has_trouble():
        record.add("discovery goes down")
        discovery.stop()
    await asyncio.sleep(1)
    revision = discovery.publish(*(backend.entry("terminating") for backend in drained))
    record.add(f"{' and '.join(backend.name for backend in drained)} drain")
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
        limit_ms = told_ms + GRACE_MS + SOCKET_SLACK_MS + LAG_MS
        calls = [call for backend in drained for call in backend.calls if int(call.id[:4], 16) == number]
        late = sorted(call.at_ms - reachable_ms for call in calls if call.at_ms > limit_ms)
        late_count += len(late)
        text = f"{node.name} counts as told at {told_ms:.1f}; discovery wrote to it at {written_ms:.1f}; "
        text += f"after {limit_ms:.1f} it sent {len(late)} requests to them"
        record.add(text + (f", the last {late[-1]:.0f} ms after the return of discovery" if late else ""))
    record.add(f"{late_count} requests were sent to draining backends after the grace")
    return BROKEN if late_count else HELD


sys.exit(run_case(FOLDER, play))
