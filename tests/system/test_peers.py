"""Nodes that know each other: several processes, killed, ended, stopped, cut from one another, under load."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any, cast

import pytest

from balancer.net import admin_socket as control
from balancer.protocol.gossip import MAX_FORGED_PER_S, parse_keys
from balancer.testbed import scenario as sc
from balancer.testbed.cluster import (
    KEY,
    ROOT,
    Node,
    Step,
    World,
)
from balancer.testbed.event_log import Answered, Asked, Told
from balancer.testbed.invariant_checker import judge
from balancer.testbed.service_profile import Site
from tests.testbed.cluster_fixtures import of

LIMIT_S = 60.0  # for what takes a second or two on a machine that is idle
NEXT = "ffeeddccbbaa99887766554433221100"
FLOOD = """
import os, socket, sys, time
sock, host, port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM), sys.argv[1], int(sys.argv[2])
right, end = bytes.fromhex(sys.argv[3]), time.monotonic() + 60
while time.monotonic() < end:
    for _ in range(250):
        sock.sendto(right + os.urandom(180), (host, port))
    time.sleep(0.005)
"""


class Fleet:
    """A world whose nodes know each other, and what they say of that."""

    def __init__(self, world: World) -> None:
        self.world = world

    async def asked(self, node: Node, word: str = "peers", **more: Any) -> dict[str, Any]:
        return await asyncio.to_thread(control.ask, Path(node.socket), word, **more)

    async def held(self, node: Node) -> dict[str, dict[str, Any]]:
        """What a node holds of each other."""
        return {one["name"]: one for one in (await self.asked(node))["peers"]}

    async def events(self, node: Node, after: int = 0) -> list[tuple[str, str]]:
        """What a node's time line says of others: what became of whom."""
        told = (await self.asked(node, "events", after=after))["events"]
        assert all(one["evidence"]["why"] for one in told if one["signal"] == "peers")
        return [(one["event"], one["subject"]) for one in told if one["signal"] == "peers"]

    async def until(self, what: str, met: Callable[[], Awaitable[object]]) -> None:
        try:
            async with asyncio.timeout(LIMIT_S):
                while True:
                    with contextlib.suppress(control.AdminSocketError):
                        if await met():
                            return
                    await asyncio.sleep(0.05)
        except TimeoutError:
            seen = {n.name: list(n.log)[-8:] for n in self.world.nodes}
            raise AssertionError(f"not seen: {what}; {seen}") from None

    async def see(self, at: list[Node], whom: list[Node], state: str = "alive") -> None:
        """Wait until all of these hold all of those to be so."""

        async def met() -> bool:
            for node in at:
                view = await self.held(node)
                if {view.get(o.name, {}).get("state") for o in whom if o is not node} - {state}:
                    return False
            return True

        await self.until(f"{[n.name for n in whom]} {state} at {[n.name for n in at]}", met)

    async def life(self, at: list[Node], whom: Node) -> int:
        """By which incarnation all of these know it, at the least."""
        return min([int((await self.held(node))[whom.name]["incarnation"]) for node in at])

    async def advertised(self, at: list[Node], whom: Node) -> bool:
        """Whether all of these have the node's advertised state."""
        return all([(await self.held(node))[whom.name].get("goes_by") for node in at])

    async def said(self, at: list[Node], event: str, whom: list[Node] | str) -> None:
        """Wait until the time line of all of these tells it of all of those."""
        subjects = {whom} if isinstance(whom, str) else {other.name for other in whom}

        async def met() -> bool:
            wanted = {(event, subject) for subject in subjects}
            return all([wanted <= set(await self.events(node)) for node in at])

        await self.until(f"{event} of {subjects} at {[n.name for n in at]}", met)


async def shown(node: Node, row: str, count: str) -> None:
    """`balancer peers` shows this row, each second anew with `--watch`, and its JSON has all keys."""
    words = [sys.executable, "-m", "balancer", "peers", "--control", node.socket]
    for more in ([], ["--watch"], ["--json"]):
        process = await asyncio.create_subprocess_exec(
            *words, *more, cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )
        assert process.stdout is not None
        if more == ["--watch"]:
            text = ""
            async with asyncio.timeout(LIMIT_S):
                while len(re.findall(row, text)) < 2:
                    line = (await process.stdout.readline()).decode()
                    assert line, text
                    text += f" {line}"
            process.send_signal(signal.SIGINT)
        out = (await process.communicate())[0].decode()
        assert process.returncode == 0, out
        if not more:
            assert re.search(row, out.replace("\n", "\n ")) and count in out.splitlines()[-1], out
        if more == ["--json"]:
            told = json.loads(out)
            assert told["self"] == node.name and told["disagreements"] == [] and told["speaks"]
            assert {one["of"] for one in told["cut"]} <= {"some peers"}
            keys = {"name", "address", "state", "since", "incarnation", "goes_by"}
            assert all(one.keys() == keys for one in told["peers"])


def run(path: Path, nodes: int, scenario: Callable[[Fleet], Awaitable[None]], memory: bool = False) -> None:
    async def test() -> None:
        world = World(path, site=Site(zones=("a",)), seed=3, nodes=nodes, servers=4)
        world.gossip, world.memory = True, memory
        async with asyncio.timeout(5 * LIMIT_S), world:
            fleet = Fleet(world)
            await fleet.see(world.nodes, world.nodes)
            await scenario(fleet)
            for node in world.nodes:
                assert not [line for line in node.log if "Traceback" in line], list(node.log)[-20:]
                assert not [line for line in node.log if KEY in line or NEXT in line]

    asyncio.run(test())


@pytest.mark.parametrize("memory", [True, False], ids=["memory", "none"])
def test_one_that_is_killed_has_failed_one_that_ends_has_left_and_both_come_back(
    tmp_path: Path, memory: bool
) -> None:
    """The life is a greater one each time: by its memory, or else by what the others hold."""

    async def scenario(fleet: Fleet) -> None:
        nodes, (*others, last) = fleet.world.nodes, fleet.world.nodes
        life = 0
        for end, state in ((last.kill, "failed"), (last.terminate, "left")):
            # Its advertised state comes by gossip after its membership, and the table below shows it.
            await fleet.until("its advertised state at all others", partial(fleet.advertised, others, last))
            before, life = life, await fleet.life(others, last)
            assert life > before
            end()
            await last.ended()
            await fleet.see(others, [last], state)
            await fleet.said(others, f"peer_{state}", [last])
            by = r"[a-z]+ +[0-9.]+ +platform \d+ [a-z ]+"
            row = f" {last.name} +[0-9.:]+ +{state} +[0-9-]+ [0-9:]+ +[0-9]+ +{by}\n"
            await shown(others[0], row, f"1 {state}")
            await last.start()
            await fleet.see(nodes, nodes)
            await fleet.said(others, "peer_returned", [last])
            told = await fleet.asked(last, "recovery")
            assert told["incarnation"] > life, (told, life)
            if not memory:
                assert told["memory"] == "lost", told
        assert await fleet.life(others, last) > life

    run(tmp_path, 4, scenario, memory)


def test_one_that_stood_still_calls_nobody_failed(tmp_path: Path) -> None:
    """Not even one that it held to be suspect as it stopped, and whose time ran out meanwhile.

    What lies in the socket is read first, and the decider is told of the stand; either is enough here.
    """

    async def scenario(fleet: Fleet) -> None:
        nodes, (one, other, *rest) = fleet.world.nodes, fleet.world.nodes
        life = await fleet.life(rest, one)
        for _ in range(20):
            begun = (await fleet.asked(one, "events"))["next"]
            other.stand()

            async def suspects(begun: int = begun) -> bool:
                return ("peer_suspected", other.name) in await fleet.events(one, begun)

            await fleet.until("it suspects the other", suspects)
            one.stand()
            stopped_ms = time.time() * 1000
            other.go_on()
            await asyncio.sleep(3.0)
            await fleet.see(rest, [one], "failed")
            went_ms = time.time() * 1000
            one.go_on()
            await fleet.see(nodes, nodes)
            told = [e for e in (await fleet.asked(one, "events", after=begun))["events"]]
            # Hearing others again and a suspicion from its beginning take longer than this.
            own = [
                e
                for e in told
                if e["event"] == "peer_failed"
                and stopped_ms < e["at"] < went_ms + 500
                and not e["evidence"]["why"].startswith("told by")
            ]
            assert not own, told
            last = [e["event"] for e in told if e["subject"] == other.name and e["at"] <= stopped_ms]
            if last[-1] == "peer_suspected":
                break
        else:
            raise AssertionError("it was never stopped while it held the other to be suspect")
        assert any("stood still" in line and "peers" in line for line in one.log)
        assert await fleet.life(rest, one) > life

    run(tmp_path, 5, scenario)


def test_both_sides_of_a_cut_name_the_other_and_serve_on(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        world, three, two = fleet.world, fleet.world.nodes[:3], fleet.world.nodes[3:]
        sides = ((three, two), (two, three))
        a, b = (tuple(node.name for node in side) for side in (three, two))
        strike = sc.Strike(0.0, "peers silent", a, b, for_s=10 * LIMIT_S)
        act = cast(Coroutine[Any, Any, None], sc.KINDS["peers silent"].act(world, strike))
        cut = asyncio.create_task(act)
        served: list[Answered] = []

        def heal(world: World) -> None:
            served.extend(of(world.journal, Answered))
            for x in a:
                for y in b:
                    world.peers[x, y].heal()

        for here, there in sides:
            await fleet.said(here, "peer_failed", there)
            await fleet.said(here, "cut_began", "some peers")
            await fleet.see(here, there, "failed")
            await fleet.see(here, here)
        await world.play(60, 5.0, [Step(3.0, "healed", heal)])
        cut.cancel()
        good = {one.request for one in served if one.status == 200}
        by = {one.node for one in of(world.journal, Asked) if one.request in good}
        assert len(good) > 100 and by == {*a, *b}
        for here, there in sides:
            await fleet.said(here, "peer_returned", there)
            await fleet.said(here, "cut_ended", "some peers")
        await fleet.see(world.nodes, world.nodes)
        verdict = world.verdict()
        assert not verdict.breaches, verdict.lines()

    run(tmp_path, 5, scenario)


def test_nodes_with_other_settings_are_named_by_all(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        nodes, (*_, one, other) = fleet.world.nodes, fleet.world.nodes
        for node in (one, other):
            file = node.path.with_suffix(".toml")
            file.write_text(file.read_text().replace("[timeline]", "[timeline]\nmemory_mb = 9"))
            node.reload()
        await fleet.said(nodes, "disagreement_began", "settings operators")

        async def named() -> bool:
            told = [(await fleet.asked(node))["disagreements"] for node in nodes]
            return all([one["names"] for one in by] == [[one.name, other.name]] for by in told)

        await fleet.until("both are named", named)

    run(tmp_path, 5, scenario)


@pytest.mark.parametrize("on", [True, False], ids=["peers", "alone"])
def test_a_node_cut_off_from_discovery_obeys_what_the_others_were_told(tmp_path: Path, on: bool) -> None:
    """By the judge, as though it had been told with the first of them; without `[peers]` it breaks rule 3."""

    async def scenario(fleet: Fleet) -> None:
        world, last = fleet.world, fleet.world.nodes[-1]
        if not on:
            file = last.path.with_suffix(".toml")
            file.write_text(file.read_text().partition("[timeline]")[0])
            last.reload()
            await fleet.see(world.nodes[:-1], [last], "left")
        last.agent.silence(True)

        async def silent() -> bool:
            return bool((await fleet.asked(last, "members"))["sources"][0]["state"] == "silent")

        await fleet.until("its source is silent", silent)
        if on:
            await fleet.said([last], "cut_began", "discovery")

            async def known() -> bool:
                by = [(await fleet.held(node))[last.name]["goes_by"] for node in world.nodes[:-1]]
                return not any(one["discovery"] for one in by)

            await fleet.until("the others know it", known)
        script = [Step(1.0, "drains", lambda w: w.drain("s1")), Step(4.0, "goes", lambda w: w.remove("s2"))]
        await world.play(100, 9.0, script)
        told = [r for r in of(world.journal, Told) if r.server in ("s1", "s2") and r.phase != "up"]
        first = [min((r for r in told if r.server == name), key=lambda r: r.at_ms) for name in ("s1", "s2")]
        assert not [r for r in told if r.node == last.name] and not world.verdict().breaches
        as_told = judge([*world.journal, *(replace(r, node=last.name) for r in first)], world.site)
        late = [r for r in as_told.breaches if r.rule == 3]
        assert bool(late) is not on, as_told.lines()
        if on:
            view = {one["id"]: one["phase"] for one in (await fleet.asked(last, "members"))["members"]}
            assert view["s1"] == "draining" and view["s2"] == "gone", view
        last.agent.silence(False)
        if on:
            await fleet.said([last], "cut_ended", "discovery")

            async def lifted() -> bool:
                return not (await fleet.asked(last))["taken"]

            await fleet.until("its own source says it", lifted)

    run(tmp_path, 5, scenario)


def test_a_key_is_rotated_node_by_node_with_no_gap_and_forged_ones_harm_no_answer(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        world = fleet.world

        async def refused(node: Node) -> dict[str, int]:
            return dict((await fleet.asked(node))["refused"])

        for step, keys in enumerate([(KEY, NEXT), (NEXT, KEY), (NEXT,)], 1):
            for node in world.nodes:
                node.key(*keys)
                node.reload()

                async def read(node: Node = node, step: int = step) -> bool:
                    return sum("peers.keys changed" in line for line in node.log) == step

                await fleet.until(f"{node.name} took step {step}", read)
                much = (await fleet.asked(node))["datagrams"]["received"] + 10

                async def heard(node: Node = node, much: int = much) -> bool:
                    return bool((await fleet.asked(node))["datagrams"]["received"] >= much)

                await fleet.until(f"{node.name} hears on", heard)
        assert [await refused(node) for node in world.nodes] == [{}] * 3, "somebody was unheard"
        await fleet.see(world.nodes, world.nodes)

        # Whoever knows an id of a key, as it is on the wire, costs a code each.
        node = world.nodes[0]
        head = b"\x01\x01" + parse_keys(NEXT)[0].id + bytes(12)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", FLOOD, node.host, "7420", head.hex()
        )
        try:
            await world.play(60, 3.0)

            async def flooded() -> bool:
                told = await refused(node)
                return told.get("code", 0) >= MAX_FORGED_PER_S and told.get("stranger", 0) > MAX_FORGED_PER_S

            await fleet.until("forged ones beyond the bound", flooded)
            await fleet.see(world.nodes, world.nodes)
        finally:
            process.kill()
            await process.wait()
        verdict = world.verdict()
        assert not verdict.breaches and len(of(world.journal, Answered)) > 100, verdict.lines()

    run(tmp_path, 3, scenario)
