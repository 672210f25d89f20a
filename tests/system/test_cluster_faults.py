"""Faults of the world beside servers, each on real processes: paths to the sources of the list, starts,
clocks, directories, datagrams. `tests/lab` has the parts by themselves.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
from collections.abc import Callable
from pathlib import Path

from balancer.testbed import scenario as sc
from balancer.testbed.cluster import World
from balancer.testbed.event_log import (
    NodeSignalled,
    NodeStarted,
    Received,
    Told,
)
from tests.testbed.cluster_fixtures import of, until

HEAD = 'name = "x"\nrate = 60\nnotice_s = 0.2\nspeed = 2.0\n'


def played(
    text: str, directory: Path, watch: Callable[[World], object], seed: int = 1
) -> tuple[sc.Played, World]:
    """Play a script; `watch` sees its world before and after."""
    script, worlds = sc.parse((HEAD + text).encode()), list[World]()

    def both(world: World) -> None:
        worlds.append(world)
        watch(world)

    out = asyncio.run(asyncio.wait_for(sc.play(script, seed, directory, watch=both), 60))
    assert not out.wrong(0.5), out.wrong(0.5)
    return out, worlds[0]


def fault(at_s: float, kind: str, **more: object) -> str:
    rows = "".join(f"{key} = {value!r}\n".replace("True", "true") for key, value in more.items())
    return f"[[fault]]\nat_s = {at_s}\nkind = '{kind}'\n{rows}"


def test_what_discovery_says_over_a_path_that_fails_counts_once_it_is_well(tmp_path: Path) -> None:
    """Three nodes with the news at three times: at once, after a silence, after their answers were lost.

    The server goes on while the list calls it draining: a judge that took the news for told would find what
    is sent to it.
    """
    watched: list[World] = []

    def watch(world: World) -> None:
        if not watched:
            watched.append(world)
            world.later(1.0, lambda: world.enter("s1", phase="terminating"))

    text = 'seconds = 6.5\nnodes = 3\nservers = 2\nzones = ["a"]\n'
    text += fault(0.5, "silent", names=["discovery"], nodes=["n1"], for_s=3.6)
    text += fault(0.6, "silent", names=["discovery"], nodes=["n2"], for_s=3.4, way="back")
    text += fault(4.6, "cut", names=["discovery"], nodes=["n0"], for_s=0.5)
    text += fault(5.0, "discovery moves", names=["n1"])
    _, world = played(text, tmp_path, watch)
    at0 = world.started_at_ms
    told = {r.node: r.at_ms - at0 for r in reversed(of(world.journal, Told)) if r.phase == "draining"}
    assert 900 < told["n0"] < 1_500 and 4_000 < told["n1"] < 6_000 and 3_900 < told["n2"] < 6_000
    late = [r for r in of(world.journal, Received) if r.server == "s1" and r.first_byte_at_ms > at0 + 3_200]
    assert late  # sent by those two, more than the grace after discovery had said it


def test_paths_to_etcd_and_a_node_that_starts_while_they_fail(tmp_path: Path) -> None:
    text = "seconds = 5\nnodes = 2\nservers = 4\netcd = true\n"
    text += fault(0.3, "cut", names=["etcd"], nodes=["n0"], for_s=1.5)
    text += fault(0.4, "silent", names=["etcd"], nodes=["n1"], for_s=2.0)
    text += fault(0.8, "kill", names=["n1"])
    text += fault(1.0, "drain", names=["s1"])
    text += fault(2.6, "late", names=["etcd"], for_s=0.8, value=100.0, way="back")
    text += fault(3.6, "reset", names=["etcd"])
    _, world = played(text, tmp_path, lambda world: None)
    told = [r for r in of(world.journal, Told) if r.phase == "draining" and r.source == "etcd"]
    at = {node: min(r.at_ms for r in told if r.node == node) - world.started_at_ms for node in ("n0", "n1")}
    assert at["n0"] > 1_700 and at["n1"] > 2_300


def test_starts_clocks_and_directories(tmp_path: Path) -> None:
    seen: list[object] = []

    def watch(world: World) -> None:
        if seen:
            kept = {node.name: sorted(path.name for path in node.state.iterdir()) for node in world.nodes}
            seen.append(kept)
            seen.append([world.nodes[n].env.get("BALANCER_TEST_CLOCK_MS") for n in (0, 3)])
            return
        seen.append(None)
        for node in world.nodes:
            (node.state / f"of {node.name}").write_text("x")
        pid = world.nodes[4].process.pid  # type: ignore[union-attr]
        world.later(0.5, lambda: seen.append(resource.prlimit(pid, resource.RLIMIT_FSIZE)[0]))
        world.later(0.5, lambda: seen.append(world.nodes[4].state.is_file()))
        world.later(1.4, lambda: seen.append(resource.prlimit(pid, resource.RLIMIT_FSIZE)[0]))

    text = "seconds = 4\nnodes = 5\nservers = 3\n"
    text += fault(0.2, "slow start", names=["n0"], for_s=1.5)
    text += fault(0.2, "disk copied", names=["n1"])
    text += fault(0.2, "disk full", names=["n4"], for_s=0.8, value=77)
    text += fault(0.2, "disk away", names=["n4"], for_s=0.8)
    text += fault(0.5, "disk swapped", names=["n1", "n2"])
    text += fault(1.8, "disk restored", names=["n1"])
    text += fault(1.8, "clock off", names=["n3"], value=-30)
    text += fault(2.2, "terminate", names=["n0"], wipe=True)
    _, world = played(text, tmp_path, watch)
    before = resource.getrlimit(resource.RLIMIT_FSIZE)[0]
    assert seen[1:4] == [77, True, before]
    assert seen[4:] == [
        {"n0": [], "n1": ["of n1"], "n2": ["of n1"], "n3": ["of n3"], "n4": ["of n4"]},
        [None, "-30000"],
    ]
    slow = [r for r in of(world.journal, NodeSignalled) if r.node == "n0"][:3]
    assert [r.signal for r in slow] == ["SIGKILL", "SIGSTOP", "SIGCONT"]
    assert slow[2].at_ms - slow[1].at_ms >= 1_490 and len(of(world.journal, NodeStarted)) == 5 + 2 + 2 + 2


def test_datagrams_between_nodes(tmp_path: Path) -> None:
    """Plain sockets at the nodes' addresses, as the nodes do not speak UDP."""
    got: dict[str, list[str]] = {}

    async def talk(world: World) -> None:
        loop, socks = asyncio.get_running_loop(), dict[str, socket.socket]()

        def read(name: str) -> None:
            with contextlib.suppress(OSError):
                while True:
                    got.setdefault(name, []).append(socks[name].recv(100).decode())

        for node in world.nodes:
            sock = socks[node.name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((node.host, 7420))
            loop.add_reader(sock, read, node.name)
        try:
            for word in ("before", "during", "after"):
                for a, b in (("n0", "n1"), ("n1", "n0"), ("n2", "n1"), ("n1", "n2")):
                    socks[a].sendto(f"{word} {a}".encode(), world.peer(a, b))
                await asyncio.sleep(1.0)
            await until(lambda: all("after" in " ".join(words) for words in got.values()))
        finally:
            for sock in socks.values():
                loop.remove_reader(sock)
                sock.close()

    tasks: list[asyncio.Task[None]] = []

    def watch(world: World) -> None:
        if not tasks:
            tasks.append(asyncio.create_task(talk(world)))
        else:
            assert tasks[0].done() and tasks[0].exception() is None

    text = "seconds = 4\nnodes = 3\nservers = 2\n"
    text += fault(0.4, "peers silent", nodes=["n0"], names=["n1"], for_s=1.2, way="there")
    text += fault(0.4, "peers late", nodes=["n1"], names=["n2"], for_s=1.2, value=400.0, way="back")
    played(text, tmp_path, watch)
    assert got["n0"] == ["before n1", "during n1", "after n1"]  # the other direction is well
    assert sorted(got["n1"]) == ["after n0", "after n2", "before n0", "before n2", "during n2"]
    assert got["n2"] == ["before n1", "during n1", "after n1"]
