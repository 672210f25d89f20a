"""Real nodes in the stand-in world, for a few seconds, and the demo's words."""

from __future__ import annotations

import asyncio
import io
import json
import tempfile
from pathlib import Path

import pytest

from balancer.cli import main
from balancer.testbed import demo
from balancer.testbed.backend_emulator import Machine
from balancer.testbed.cluster import Node, Step, World
from balancer.testbed.event_log import (
    Answered,
    Asked,
    Journal,
    NodeEnded,
    NodeSignalled,
    NodeStarted,
    Record,
    ServerStarted,
    Told,
)
from balancer.testbed.invariant_checker import judge
from balancer.testbed.load_generator import Habits
from tests.testbed.cluster_fixtures import of, run, until


def gone(node: Node) -> bool:
    """Whether nothing is left of its process."""
    assert node.process is not None
    return node.process.returncode is not None and not Path(f"/proc/{node.process.pid}").exists()


def test_a_drain_a_death_and_a_cold_start_break_no_rule(tmp_path: Path) -> None:
    async def test() -> None:
        async with World(tmp_path, seed=3, nodes=2, servers=5) as world:
            script = [
                Step(0.3, "drains", lambda w: w.drain("s2")),
                Step(0.6, "dies", lambda w: w.die("s5", notice_s=0.3)),
                Step(0.9, "comes", lambda w: w.come("s6")),
                Step(1.2, "is removed", lambda w: w.remove("s2")),
            ]
            told: list[str] = []
            await world.play(80, 2.5, script, lambda at, text: told.append(text))
            assert told == [s.text for s in script]
            got, journal = world.verdict(), world.journal
            assert got.ok, [b.lines() for b in got.breaches]
            total = got.classes["all"]
            assert total.asked > 200 and total.worth > 0.9 and total.in_time > 0.9 * total.asked
            assert {a.node for a in of(journal, Asked)} == {"n0", "n1"}
            assert {(t.server, t.phase) for t in of(journal, Told)} >= {
                ("s2", "draining"),
                ("s2", "gone"),
                ("s5", "gone"),
                ("s6", "up"),
            }
            assert got.servers["s6"].received > 0 and of(journal, ServerStarted)[-1].cold_share < 1
            assert not any("Traceback" in line for node in world.nodes for line in node.log)
            # The same verdict from what was written down.
            journal.write(tmp_path / "journal")
            again = Journal.read((tmp_path / "journal").read_text().splitlines())
            assert judge(again, world.site) == got
        assert all(gone(node) for node in world.nodes)

    run(test)


def test_the_judge_sees_what_really_happened(tmp_path: Path) -> None:
    """The same records without what a source told last, or without an answer, are a breach."""

    async def test() -> None:
        async with World(tmp_path, seed=4, nodes=1, servers=2) as world:
            await world.play(60, 1.0)
            assert world.verdict().ok
            victim = of(world.journal, Asked)[20].request
            late = [r for r in world.journal if not (isinstance(r, Answered) and r.request == victim)]
            assert [(b.rule, b.subject) for b in judge(late, world.site).breaches] == [(1, victim)]
            early = Told("n0", "etcd", "x", 99, "s1", "gone", of(world.journal, Asked)[0].at_ms - 2_500)
            rest = (r for r in world.journal if not isinstance(r, NodeStarted))  # it would know of nothing
            broken = judge([early, *rest], world.site)
            assert {b.rule for b in broken.breaches} == {3}
            assert broken.sent_to_removed == broken.servers["s1"].received > 0

    run(test)


def test_a_killed_node_comes_back_and_a_planned_end_loses_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with World(tmp_path, seed=5, nodes=2, servers=4, notice_s=0.2) as world:

            async def back(w: World) -> None:
                await w.nodes[0].ended()
                await w.nodes[0].start()

            script = [
                Step(0.3, "n0 is killed", lambda w: w.nodes[0].kill()),
                Step(0.6, "n0 comes back", back),
                Step(1.5, "n1 ends as planned", lambda w: w.nodes[1].terminate()),
            ]
            await world.play(80, 2.2, script)
            assert await world.nodes[1].ended() == 0
            await until(lambda: world.front.nodes.keys() == {"n0"})
            got = world.verdict()
            assert got.ok, [b.lines() for b in got.breaches]
            assert [s.signal for s in of(world.journal, NodeSignalled)] == ["SIGKILL", "SIGTERM"]
            assert [(e.node, e.code) for e in of(world.journal, NodeEnded)] == [("n0", -9), ("n1", 0)]

    run(test)


def test_discovery_moves_and_nodes_follow(tmp_path: Path) -> None:
    async def test() -> None:
        async with World(tmp_path, seed=6, nodes=1, servers=3) as world:
            node = world.nodes[0]

            async def move(w: World) -> None:
                await node.agent.move()
                node.reload()

            script = [Step(0.2, "moves", move), Step(0.6, "drains", lambda w: w.drain("s1"))]
            await world.play(40, 1.0, script)
            assert any(f"discovery is at {node.agent.identity}" in line for line in node.log)
            last = of(world.journal, Told)[-1]
            assert (last.server, last.phase, last.written) == ("s1", "draining", True)
            assert last.identity == node.agent.identity
            assert world.verdict().ok

    run(test)


def test_a_node_that_cannot_start_is_named_and_nothing_is_left(tmp_path: Path) -> None:
    async def test() -> None:
        world = World(tmp_path, prepare=lambda node: node.env.update(PROXY_LISTEN="nowhere"))
        with pytest.raises(ExceptionGroup) as error:
            async with world:
                raise AssertionError("it started")
        assert error.group_contains(RuntimeError, match="n0 ended at its start: .*nowhere")
        assert all(gone(node) for node in world.nodes)

    run(test)


def test_clients_that_leave_and_do_not_retry(tmp_path: Path) -> None:
    async def test() -> None:
        habits = Habits(retries=0, leaves=0.2, bursts=((0.3, 0.6, 3.0),))
        slow = Machine(speed=0.3)
        async with World(tmp_path, seed=7, habits=habits, machine=slow) as world:
            await world.play(60, 1.0)
            got = world.verdict()
            assert got.ok, [b.lines() for b in got.breaches]
            assert got.classes["all"].left > 0
            assert all(a.request == a.first for a in of(world.journal, Asked))

    run(test)


def test_demo(tmp_path: Path) -> None:
    out = io.StringIO()
    path = tmp_path / "records"
    assert asyncio.run(demo.demo(out, seconds=2.0, seed=2, records=path)) == 0
    lines = out.getvalue().splitlines()
    assert max(map(len, lines)) <= 100
    text = "\n".join(lines)
    for word in ("s2 drains", "s5 dies", "s7 comes, cold", "worth in time", "in service, came cold", "died"):
        assert word in text
    assert sum(line.endswith(": kept") for line in lines) == 5
    assert json.loads(path.read_text().splitlines()[0])["kind"] == "ServerStarted"


def test_demo_names_a_breach_and_bad_words(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))  # another demo may run on the machine
    records: list[Record] = [Asked("r9", "r9", "n0", "lookup", "", "t", "f", 1.0, 2.0)]
    records.append(Answered("r9", 500, 200, True, "x"))
    got = judge(records, demo.SITE)
    text = "\n".join(demo.report(got, {}))
    assert "rule 1, every request is answered: 1 BROKEN, first r9: answered 498 ms" in text
    assert "    Answered(request=r9" in text
    assert main(["demo", "--seconds", "1"]) == 2
    assert "--seconds is 1, it has to be 5 or more" in capsys.readouterr().err
    assert not any(tmp_path.iterdir())
