"""What knowing each other costs real nodes, and how soon they all know of a death. Processes on one machine.

    python -m benchmarks.failure_detection_processes --nodes 20 --kills 5 --seconds 20

Prints, for a fleet without and with `[peers]`, the CPU of a node without requests (by the kernel's count) and
its private memory, medians over all; datagrams that it sends; and how long after each SIGKILL the first and
the last of the others called that node failed, by the times of their own time lines.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from balancer.net import admin_socket as control
from balancer.testbed.cluster import Node, World
from balancer.testbed.service_profile import Site

TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def cpu_s(node: Node) -> float:
    """CPU that its process has had so far."""
    assert node.process is not None
    told = Path(f"/proc/{node.process.pid}/stat").read_bytes().rpartition(b")")[2].split()
    return (int(told[11]) + int(told[12])) * TICK_S


def kib(node: Node) -> int:
    """Memory of its process that is nobody else's."""
    assert node.process is not None
    lines = Path(f"/proc/{node.process.pid}/smaps_rollup").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.startswith("Private_"))


async def asked(node: Node, word: str, **more: Any) -> dict[str, Any]:
    """Its answer, once it has one."""
    while True:
        try:
            return await asyncio.to_thread(control.ask, Path(node.socket), word, **more)
        except control.AdminSocketError:
            await asyncio.sleep(0.1)


async def all_seen(nodes: list[Node]) -> float:
    """Wait until each holds all others to be alive; how long that took."""
    begun = time.monotonic()
    for node in nodes:
        while sum(one["state"] == "alive" for one in (await asked(node, "peers"))["peers"]) < len(nodes) - 1:
            await asyncio.sleep(0.2)
    return time.monotonic() - begun


async def known(nodes: list[Node], dead: Node, since_ms: float) -> list[float]:
    """After how many ms each of the others called it failed."""
    out = []
    for node in nodes:
        while True:
            told = (await asked(node, "events"))["events"]
            found = [
                e["at"]
                for e in told
                if (e["event"], e["subject"]) == ("peer_failed", dead.name) and e["at"] >= since_ms
            ]
            if found:
                out.append(found[0] - since_ms)
                break
            await asyncio.sleep(0.2)
    return sorted(out)


def bare(node: Node) -> None:
    """The settings that a node has beside `[peers]`."""
    file = node.path.with_suffix(".toml")
    file.write_text(f'[control]\nsocket = "{node.socket}"\n[timeline]\n')
    node.args = ["--settings", str(file)]


async def fleet(nodes: int, kills: int, seconds: float, peers: bool) -> None:
    """One fleet, measured."""
    with tempfile.TemporaryDirectory() as directory:
        world = World(
            Path(directory), site=Site(zones=("a",)), nodes=nodes, servers=2, prepare=None if peers else bare
        )
        world.gossip = peers
        async with world:
            if peers:
                took = await all_seen(world.nodes)
                print(f"{nodes} nodes, all known to all {took:.1f} s after the last start")
            await asyncio.sleep(5.0)
            before, began = [cpu_s(node) for node in world.nodes], time.monotonic()
            sent = [(await asked(n, "peers"))["datagrams"]["sent"] for n in world.nodes] if peers else []
            await asyncio.sleep(seconds)
            took = time.monotonic() - began
            used = [100 * (cpu_s(n) - b) / took for n, b in zip(world.nodes, before, strict=True)]
            rate = [
                ((await asked(n, "peers"))["datagrams"]["sent"] - s) / took
                for n, s in zip(world.nodes, sent, strict=False)
            ]
            memory = statistics.median(kib(node) for node in world.nodes) / 1024
            cost = f"CPU of a node {statistics.median(used):.2f}% of a core (most {max(used):.2f})"
            more = f", {statistics.median(rate):.1f} datagrams/s sent" if rate else ""
            print(f"{'with' if peers else 'without'} [peers]: {cost}, {memory:.1f} MiB{more}")
            for number in range(kills if peers else 0):
                dead = world.nodes[number % nodes]
                rest = [node for node in world.nodes if node is not dead]
                since_ms = time.time() * 1000
                dead.kill()
                times = await known(rest, dead, since_ms)
                print(f"killed {dead.name}: first {times[0]:.0f} ms, last of {len(times)} {times[-1]:.0f} ms")
                await dead.start()
                await all_seen(world.nodes)


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--nodes", type=int, default=20)
    words.add_argument("--kills", type=int, default=5)
    words.add_argument("--seconds", type=float, default=20.0)
    given = words.parse_args()
    for peers in (False, True):
        asyncio.run(fleet(given.nodes, given.kills, given.seconds, peers))


if __name__ == "__main__":
    main()
