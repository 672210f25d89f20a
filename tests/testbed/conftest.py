"""What tests of the stand-in for etcd share."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

WAIT = 30.0  # s; the end of a test that hangs


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(WAIT):
            await test()

    asyncio.run(bounded())
