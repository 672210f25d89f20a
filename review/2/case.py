"""Some bad clients send bodies of 60 MB in small chunks. Do the usual clients still get their answers?"""

from __future__ import annotations

import asyncio
import subprocess
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

BACKENDS = 3
BAD_CLIENTS, BAD_AFTER_S, BAD_FOR_S = 40, 3.0, 6.0
SECONDS, INTERVAL_S = 16.0, 0.05
GIVE_UP_MS = 500.0  # of a slot-check
OVERDUE_MS = 500.0 + 50.0  # after its time a request without an answer is lost; on sockets 50 ms more
MAX_LAG_MS = 100.0  # of the stand-ins: so much is allowed on top, and a run with more does not count
CLASSES = [
    request_class("slot-check", "retryable", 250.0, GIVE_UP_MS, value=12.0),
    request_class("booking", "dedup", 1200.0, 4000.0, group="zone", **{"memory-span": 2500.0}),
]
HEAD = f"GET /slot-check?obj=1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Timeout: {GIVE_UP_MS:.0f}m"


async def serve(backend: Backend, call: Call) -> None:
    """Answer after a short time."""
    await asyncio.sleep(0.01)
    call.writer.write(response(200, f"{backend.name} {call.id}".encode()))


async def measure_lag(lags_ms: list[float]) -> None:
    """Measure how late the stand-ins run."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + 0.02
        await asyncio.sleep(0.02)
        lags_ms.append((loop.time() - due_s) * 1000)


async def play(record: Record, folder: Path, nodes: list[Node]) -> int:
    """Run the case."""
    backends = [Backend(record, f"s-{number}", "zrh", number, serve) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    node = Node(record, folder, "n0", 0)
    nodes.append(node)
    discovery = Discovery(record, [backend.entry() for backend in backends], nodes)
    await discovery.start()
    await node.start(discovery.address(node), discovery.whole_list(), settings(CLASSES, 0, 1))
    client, tasks, lags_ms = Client(record, node), set[asyncio.Task[object]](), list[float]()
    lag_task = asyncio.create_task(measure_lag(lags_ms))
    loop, bad = asyncio.get_running_loop(), None
    start_s, bad_log = loop.time(), folder / "bad.log"
    with bad_log.open("w", encoding="utf-8") as log:
        try:
            for count in range(int(SECONDS / INTERVAL_S)):
                if has_trouble() and bad is None and loop.time() - start_s >= BAD_AFTER_S:
                    record.add(f"{BAD_CLIENTS} bad clients begin")
                    arguments = (node.host, str(node.port), str(BAD_CLIENTS), str(BAD_FOR_S))
                    program = (sys.executable, "-B", str(FOLDER / "bad_clients.py"), *arguments)
                    bad = await asyncio.create_subprocess_exec(*program, stdout=log, stderr=subprocess.STDOUT)
                wait_s = (GIVE_UP_MS + OVERDUE_MS + MAX_LAG_MS) / 1000
                tasks.add(asyncio.create_task(client.ask(f"{count:016x}", HEAD, wait_s=wait_s)))
                await asyncio.sleep(INTERVAL_S)
            await asyncio.wait(tasks)
        finally:
            if bad is not None and bad.returncode is None:
                bad.kill()
                await bad.wait()
    lag_task.cancel()
    client.close()
    for line in bad_log.read_text(encoding="utf-8").splitlines()[:200]:
        record.add(line)
    if node.process is None or node.process.returncode is not None:
        record.add("the node has ended")
    # One whose connection was closed with no answer is not counted: the node may not have read it.
    lost = [answer for answer in client.answers if answer.timed_out]
    statuses = sorted(answer.status for answer in client.answers)
    record.add(f"answers by status (0: none): { {status: statuses.count(status) for status in statuses} }")
    record.add(f"the stand-ins ran at most {max(lags_ms):.0f} ms late")
    for answer in lost:
        record.add(
            f"request {answer.request}, written at {answer.written_ms:.1f}, had no answer 1150 ms later"
        )
    record.add(f"{len(lost)} of {len(client.answers)} requests of usual clients were lost")
    if lost and max(lags_ms) > MAX_LAG_MS:
        raise CaseError("the stand-ins were held up")
    return BROKEN if lost else HELD


sys.exit(run_case(FOLDER, play))
