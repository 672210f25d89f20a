"""Coming back: real nodes with a memory are killed, their directories wiped, swapped and torn."""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from balancer.net import admin_socket as control
from balancer.store import inspect
from balancer.testbed.cluster import Node, World
from balancer.testbed.event_log import Received
from balancer.testbed.service_profile import Site
from tests.testbed.cluster_fixtures import of

SITE = Site(zones=("a",))
LIMIT_S, WAIT_S = 120.0, 30.0  # of a scenario, of one wait in it: for what hangs, not for what is slow


@pytest.fixture
def sockets() -> Iterator[Path]:
    """A folder with a short name: that of a Unix socket may not be long."""
    with tempfile.TemporaryDirectory(prefix="dp-") as path:
        yield Path(path)


class Site2:
    """A world whose nodes have a memory."""

    def __init__(self, path: Path, sockets: Path, nodes: int = 1) -> None:
        self.path, self.sockets = path, sockets
        self.world = World(path, site=SITE, seed=7, nodes=nodes, servers=6, prepare=self._prepare)

    def _prepare(self, node: Node) -> None:
        folder = self.folder(node)
        folder.mkdir()
        file = self.path / f"{node.name}.toml"
        lines = ["[control]", f"socket = {json.dumps(str(self.sockets / node.name))}"]
        lines += ["[state]", f"directory = {json.dumps(str(folder))}", "every = 1"]
        file.write_text("\n".join(lines) + "\n")
        node.args = ["--settings", str(file)]

    def folder(self, node: Node) -> Path:
        """Where it keeps what it knows."""
        return self.path / f"state-{node.name}"

    async def asked(self, node: Node, name: str = "recovery") -> dict[str, Any]:
        return await asyncio.to_thread(control.ask, self.sockets / node.name, name)

    async def until(self, node: Node, holds: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
        """What it says of its way back, once that holds."""
        told: dict[str, Any] = {}
        try:
            async with asyncio.timeout(WAIT_S):
                while True:
                    try:
                        told = await self.asked(node)
                        if holds(told):
                            return told
                    except control.AdminSocketError:
                        pass  # its socket is not there yet
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(f"it did not come: {told}; {list(node.log)[-5:]}") from None

    async def kept(self, node: Node, holds: Callable[[dict[str, Any]], object]) -> None:
        """Kill the node at a time when nothing waits to be written."""
        await self.until(node, lambda told: told["store"]["open"] and holds(told))
        while (await self.asked(node))["store"]["waiting"]:
            await asyncio.sleep(0.02)

    async def killed(self, node: Node) -> None:
        node.kill()
        await node.ended()

    def got(self, *names: str, since: int = 0) -> int:
        """Requests that came to these servers."""
        return sum(one.server in names for one in of(self.world.journal, Received)[since:])


def run(path: Path, sockets: Path, scenario: Callable[[Site2], Awaitable[None]], nodes: int = 1) -> None:
    async def test() -> None:
        site = Site2(path, sockets, nodes)
        async with asyncio.timeout(LIMIT_S), site.world:
            await scenario(site)
            for node in site.world.nodes:
                assert not [line for line in node.log if "Traceback" in line], list(node.log)[-20:]

    asyncio.run(test())


def opened(told: dict[str, Any]) -> object:
    return told["store"]["open"]


def durable(told: dict[str, Any]) -> object:
    """Its life is on the disk: that is written first, and a kill before it leaves no trace of it."""
    return opened(told) and told["store"]["commits"]


async def gone_at(site: Site2, node: Node, name: str) -> None:
    """The node is told that a server is gone, and has kept that."""
    site.world.enter(name, phase="terminated")
    async with asyncio.timeout(WAIT_S):
        while any(one["id"] == name for one in (await site.asked(node, "members"))["members"]):
            await asyncio.sleep(0.02)
    await site.kept(node, opened)
    await asyncio.sleep(0.3)  # the group of the view's changes
    await site.kept(node, opened)


def test_with_its_memory_it_serves_while_discovery_is_silent(tmp_path: Path, sockets: Path) -> None:
    """First with a configuration that knows nobody, then with one that is older than what was seen."""

    async def scenario(site: Site2) -> None:
        world, node = site.world, site.world.nodes[0]
        stale = node.agent.initial_list()
        await world.play(60, 2.0)
        first = await site.until(node, lambda told: told["state"] in ("confirmed", "full"))
        assert (first["memory"], first["incarnation"]) == ("none", 1)
        await gone_at(site, node, "s6")
        node.agent.silence(True)
        for life, known in enumerate(({"revision": 0, "complete": True, "members": []}, stale), 2):
            await site.killed(node)
            node.agent.initial_list = lambda known=known: known  # type: ignore[method-assign, misc]
            await node.start()
            told = await site.until(node, opened)
            assert (told["memory"], told["incarnation"], told["state"]) == ("kept", life, "provisional")
            here = len(of(world.journal, Received))
            await world.play(60, 1.5)
            assert site.got("s1", "s2", "s3", "s4", "s5", since=here) > 40, "it serves from what was kept"
            assert site.got("s6", since=here) == 0, "nothing is sent to whom it had seen the end of"
        told = await site.until(node, lambda told: told["state"] == "full" or told["state"] == "confirmed")
        names = [one["name"] for one in told["phases"]]
        assert {"interpreter", "imports", "files", "first connects", "first answer"} <= set(names), names
        assert "first list" not in names, "no source has spoken"

    run(tmp_path, sockets, scenario)


def test_a_memory_that_is_gone_or_spoiled_is_said_and_it_serves(tmp_path: Path, sockets: Path) -> None:
    async def scenario(site: Site2) -> None:
        world, node = site.world, site.world.nodes[0]
        await site.kept(node, lambda told: told["state"] != "blank")
        await site.killed(node)
        assert inspect.clear(str(site.folder(node)))
        await node.start()
        told = await site.until(node, opened)
        assert told["memory"] == "none"
        await site.kept(node, opened)
        await site.killed(node)
        for file in site.folder(node).glob("tables-*"):
            file.write_bytes(file.read_bytes()[:100])
        await node.start()
        told = await site.until(node, opened)
        assert told["memory"] == "lost" and told["incarnation"] > 1, told
        assert any("before roles" in line for line in told["waits_for"]), told
        await world.play(60, 1.0)
        assert site.got("s1", "s2", "s3", "s4", "s5", "s6") > 30

    run(tmp_path, sockets, scenario)


def test_a_directory_of_another_node_is_named_and_left_alone(tmp_path: Path, sockets: Path) -> None:
    """Swapped: both stand back. Copied: the one that it is not of stands back, the other goes on."""

    async def scenario(site: Site2) -> None:
        world, (one, other) = site.world, site.world.nodes
        for node in world.nodes:
            await site.kept(node, lambda told: told["state"] != "blank")
            await site.killed(node)
        here, there = site.folder(one), site.folder(other)
        shutil.copytree(there, site.path / "kept")
        shutil.rmtree(there)
        shutil.copytree(here, there)  # two of one identity
        for node in world.nodes:
            await node.start()
        told = await site.until(one, opened)
        assert told["memory"] == "kept" and told["incarnation"] == 2
        told = await site.until(other, lambda told: told["store"]["trouble"] != "being opened")
        assert told["memory"] == "lost" and not told["store"]["open"]
        assert "of node 'n0', not of 'n1'" in told["store"]["trouble"], told
        await site.killed(one)
        shutil.rmtree(here)
        shutil.copytree(site.path / "kept", here)  # and now both have the other's
        await one.start()
        told = await site.until(one, lambda told: told["store"]["trouble"] != "being opened")
        assert "of node 'n1', not of 'n0'" in told["store"]["trouble"], told
        begun = len(of(world.journal, Received))
        await world.play(60, 1.0)
        assert len(of(world.journal, Received)) > begun + 30

    run(tmp_path, sockets, scenario, nodes=2)


def test_killed_five_times_in_a_row_and_while_it_writes(tmp_path: Path, sockets: Path) -> None:
    """Always a whole generation, and never older than what was durable: a removal stays, lives only rise."""

    async def scenario(site: Site2) -> None:
        world, node, rng = site.world, site.world.nodes[0], random.Random(5)
        await site.until(node, opened)
        await gone_at(site, node, "s6")
        for life in range(2, 7):
            for n in range(rng.randrange(1, 60)):  # changes for it to write, one every few ms
                row = world.fleet["s5"].member("terminating" if n % 3 == 0 else "in_service")
                world.publish(row | {"weight": 1.0 + n})
                await asyncio.sleep(0.003)
            await site.killed(node)
            told = inspect.show(str(site.folder(node)))
            assert told["believed"] is not None and not told["faults"], told
            assert told["node"]["incarnation"] == life - 1 and told["tables"]["ends"] >= 1, told
            await node.start()
            told = await site.until(node, durable)
            assert (told["memory"], told["incarnation"]) == ("kept", life), told
        for _ in range(5):  # while it comes back
            await site.killed(node)
            await node.start()
            await asyncio.sleep(rng.random() * 0.2)
        told = await site.until(node, opened)
        assert told["memory"] == "kept" and told["incarnation"] >= 7, told
        names = {one["id"] for one in (await site.asked(node, "members"))["members"]}
        assert "s6" not in names, names

    run(tmp_path, sockets, scenario)
