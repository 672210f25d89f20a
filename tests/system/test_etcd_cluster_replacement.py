"""Nodes with a memory are killed while etcd is away, which is then back as another cluster, or from a backup.

Without the defences named here it fails: removals on the disk (rule 3 in both: the server that had gone
before the kill goes on serving); a new cluster id begins a new order (`another`: what etcd has is never
held); kept revisions count as seen (`older`: the server that the backup has is used again, rule 3).
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from balancer.net import admin_socket as control
from balancer.testbed.cluster import Node, Step
from balancer.testbed.dual_source_cluster import FleetWorld
from balancer.testbed.etcd.store import Backup
from balancer.testbed.event_log import Received
from balancer.testbed.service_profile import Site
from tests.testbed.cluster_fixtures import of, until


@pytest.mark.parametrize("back", ["another", "older"])
def test_what_etcd_says_once_it_is_back(back: str, tmp_path: Path) -> None:
    def remembers(node: Node) -> None:
        with world.settings_of(node).open("a") as out:
            out.write(f"[state]\ndirectory = {json.dumps(str(node.state))}\nevery = 1\n")

    world = FleetWorld(
        tmp_path,
        site=Site(zones=("a",)),
        seed=3,
        nodes=2,
        servers=6,
        platform=lambda name: False,
        prepare=remembers,
    )
    world.memory = True  # by its settings file above; the judge holds what was told before the kill

    async def life(node: Node) -> None:
        node.kill()
        await node.ended()
        await node.start()

    async def cut(_: object) -> None:
        world.cut_watches(world.members())
        await asyncio.gather(*map(life, world.nodes))
        count = len(of(world.journal, Received))
        await until(lambda: len(of(world.journal, Received)) > count + 20)  # from memory, without etcd

    async def mend(_: object) -> None:
        if back == "another":
            world.enter("s5", phase="terminated")
            await world.writer.written()
            world.every(lambda member: world.etcd.report_cluster_id(member, 77))
        else:
            world.etcd.restore(begun[0])
        await world.mend(world.members())

    async def test() -> None:
        async with asyncio.timeout(40), world:
            begun.append(world.etcd.backup())
            steps = [
                Step(0.2, "s6 leaves the list, and serves on", lambda w: w.enter("s6", phase="terminated")),
                Step(1.6, "etcd is away, all nodes are killed", cut),
                Step(3.6, f"etcd is back: {back}", mend),
            ]
            await world.play(60, 8.0, steps)
            assert not (breaches := world.verdict().breaches), breaches[0].lines()
            for node in world.nodes:
                told = await asyncio.to_thread(control.ask, world.sockets / node.name, "recovery")
                assert (told["memory"], told["incarnation"]) == ("kept", 2), told
            if back == "another":
                assert not await world.current(), "the new cluster's list holds"
            else:
                await asyncio.gather(*(world.state(node, "refused") for node in world.nodes))
                names = {row["id"] for row in (await world.report(world.nodes[0]))["members"]}
                assert names == {f"s{n}" for n in range(1, 6)}

    begun: list[Backup] = []
    asyncio.run(test())
