"""Both kinds of cluster, for tests that have to hold with either."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import pytest

from dillport.lab.etcd.cluster import EtcdCluster
from dillport.lab.etcd.standin import StandIn
from dillport.lab.real_etcd import RealEtcd, require

WAIT = 30.0  # s; the end of a test that hangs


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(WAIT):
            await test()

    asyncio.run(bounded())


@dataclass(frozen=True)
class Kind:
    """A kind of cluster."""

    real: bool

    def __call__(self, members: int = 1, **settings: Any) -> EtcdCluster:
        """A cluster of it."""
        return RealEtcd(members, **settings) if self.real else StandIn(members, **settings)


@pytest.fixture(params=["stand-in", "etcd"])
def kind(request: pytest.FixtureRequest) -> Kind:
    """The stand-in, and the real one where there is one."""
    if request.param == "etcd":
        require()
    return Kind(request.param == "etcd")
