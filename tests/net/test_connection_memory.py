"""What clients make a node hold before their requests are complete: heads and bodies, within a budget."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from balancer.net.http_server import MAX_HEAD_BYTES
from tests.net.test_http_server import run, running_http_server, until
from tests.sockets import PATIENT, Client


def test_head_of_many_fields_takes_no_more_memory_than_its_bytes(tmp_path: Path) -> None:
    """Guards against a process that is killed: 300 such heads took 197 MB where 64 were allowed."""
    fields = b"".join(b"%x:\r\n" % number for number in range(2_500))
    assert len(fields) < MAX_HEAD_BYTES

    async def test() -> None:
        async with running_http_server(tmp_path, settings=PATIENT) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            client.writer.write(b"GET /read HTTP/1.1\r\nRequest-Id: r\r\nTenant: t\r\n" + fields)
            await until(lambda: http_server.connections)
            (connection,) = http_server.connections
            await until(lambda: connection.head_bytes > len(fields))
            assert connection.headers == {b"request-id": b"r", b"tenant": b"t"}
            assert sys.getsizeof(connection.headers) < 1_000
            client.writer.transport.abort()

    run(test)
