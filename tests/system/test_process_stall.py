"""A node that is stopped and let go on: what came first in its sockets must not be acted on first."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.sockets import (
    PATIENT,
    WAIT,
    Backend,
    Rig,
    running,
)
from tests.testbed.cluster_fixtures import run

STOOD = 1.4  # s, more than decide.pause.STOOD_MS


async def stop(rig: Rig) -> None:
    """Stop the process, and wait until it is."""
    rig.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{rig.process.pid}/stat")
    async with asyncio.timeout(WAIT):
        while stat.read_text().rpartition(")")[2].split()[0] != "T":
            await asyncio.sleep(0.005)


def test_the_list_that_lay_unread_is_read_before_any_request_is_sent(tmp_path: Path) -> None:
    """The requests were there first, so that a loop that takes what is ready in order would send them."""

    async def test() -> None:
        gone, left = Backend("b0"), Backend("b1")
        async with running(tmp_path, gone, left, **PATIENT) as rig:
            await rig.discovery.asked.get()
            clients = [await rig.client() for _ in range(12)]
            for client in clients:
                assert (await client.ask("/read")).code == 200
            before = gone.got.qsize()
            await stop(rig)
            for client in clients:
                client.send("/read")
            await asyncio.sleep(STOOD / 2)
            rig.discovery.news(42, gone.member(phase="terminating"))
            await asyncio.sleep(STOOD / 2)
            rig.process.send_signal(signal.SIGCONT)
            codes = [(await client.answer()).code for client in clients]
            assert set(codes) <= {200, 503} and 200 in codes
            assert gone.got.qsize() == before
            await rig.logged("stood still for")

    run(test)


def test_a_request_that_lay_unread_is_as_old_as_the_pause(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            wait = "Request-Timeout: 1000m"
            for _ in range(6):  # all have this long: it is no client's retry that the node sees
                await client.ask("/read", wait)
            before = backend.got.qsize()
            await stop(rig)
            client.send("/read", wait)
            await asyncio.sleep(STOOD)
            rig.process.send_signal(signal.SIGCONT)
            assert (await client.answer()).code == 503  # it never left: trying again is harmless
            assert backend.got.qsize() == before
            async with asyncio.timeout(WAIT):  # the doubt has an end
                while (await client.ask("/read", wait)).code != 200:
                    pass

    run(test)
