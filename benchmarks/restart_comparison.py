"""Real processes that come back: an older text of the program beside the one of now, in one run.

`python -m benchmarks.restart_recovery --part processes` prints it. Each case is a script
(`balancer/testbed/scenario`)
played on both; the older text keeps no memory, so a directory that is lost is a plain restart to it. All
figures are the lab's own, from its records, but the phases, which `balancer recovery` tells.
"""

from __future__ import annotations

import asyncio
import compileall
import io
import subprocess
import sys
import tarfile
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean, median

import msgspec

from balancer.testbed import scenario as sc
from balancer.testbed.cluster import PACKAGE_NAMES, ROOT, World, package_name
from balancer.testbed.event_log import (
    Answered,
    Asked,
    HeldUp,
    NodeEnded,
    NodeStarted,
)
from balancer.testbed.load_generator import Habits

AT_S, AWAY_S, SECONDS = 4.0, 5.0, 14.0
USES = 4  # requests on a client's connection: who is back is found by new ones alone
LOOK_S = 0.25  # between two looks at how many connections servers took
FULL_MS, SERVES, ENOUGH = 2_000.0, 0.95, 8  # full service of one node, as `core/recovery` has it

CASES: dict[str, str] = {
    "16 of 20, discovery there": "kill part=0.8",
    "all, discovery there": "kill",
    "all, discovery away 5 s": "lists_silent kill",
    "all and half of the servers, discovery away 5 s": "lists_silent kill die",
    "all, a third of the directories wiped, discovery away 5 s": "lists_silent kill wipe=0.34",
    "all, all directories wiped, discovery away 5 s": "lists_silent wipe=1.0",
}


def script(name: str, nodes: int, servers: int, rate: float) -> sc.Script:
    """A case as a script."""
    words = {word.partition("=")[0]: word.partition("=")[2] for word in CASES[name].split()}
    rows = [sc.Row(0.5, "drain", names=["s1"]), sc.Row(0.6, "remove", names=["s2"])]
    if "lists_silent" in words:
        rows.append(sc.Row(AT_S - 0.1, "lists silent", for_s=AWAY_S))
    if "die" in words:
        half = [f"s{n}" for n in range(servers // 2 + 1, servers + 1)]
        rows.append(sc.Row(AT_S, "die", names=half, for_s=0.3))
    every = [f"n{n}" for n in range(nodes)]
    struck = every[: round(float(words.get("part") or 1) * nodes)]
    wiped = struck[: round(float(words.get("wipe") or 0) * nodes)]
    if wiped:
        rows.append(sc.Row(AT_S, "disk wiped", names=wiped))
    if left := struck[len(wiped) :]:
        rows.append(sc.Row(AT_S, "kill", names=left))
    return sc.Script(name, SECONDS, rate, nodes, servers, state=True, known="first", fault=tuple(rows))


def older(now: sc.Script) -> sc.Script:
    """The same for a program that keeps nothing."""
    kinds = {"disk wiped": "kill"}
    rows = tuple(msgspec.structs.replace(row, kind=kinds.get(row.kind, row.kind)) for row in now.fault)
    return msgspec.structs.replace(now, state=False, fault=rows)


@dataclass
class Watch:
    """Looks at a world while it is played."""

    world: World | None = None
    taken: list[dict[str, int]] = field(default_factory=list)
    task: asyncio.Task[None] | None = None

    def __call__(self, world: World) -> None:
        """Begin, and the second time end."""
        if self.task is None:
            self.world, self.task = world, asyncio.create_task(self._look(world))
        else:
            self.task.cancel()

    async def _look(self, world: World) -> None:
        before: dict[str, int] = {}
        while True:
            now = {name: server.connections_taken for name, server in world.fleet.servers.items()}
            self.taken.append({name: many - before.get(name, 0) for name, many in now.items()})
            before = now
            await asyncio.sleep(LOOK_S)

    def connects(self) -> tuple[float, float, float]:
        """A second, at a server: the mean of all; the most of all servers together, the most at one."""
        looks = self.taken[1:] or [{}]
        sums = [sum(look.values()) for look in looks]
        size, step = max(1, max(len(look) for look in looks)), round(1 / LOOK_S)
        seconds = [looks[at : at + step] for at in range(max(1, len(looks) - step + 1))]
        one = [sum((Counter(look) for look in second), Counter()) for second in seconds]
        return (
            mean(sums) * step / size,
            max(sum(found.values()) for found in one) / size,
            max(max(found.values(), default=0) for found in one),
        )

    def back(self) -> tuple[list[float | None], list[float | None]]:
        """Of each restarted node, ms from its start to its first answer, and to its full service."""
        assert self.world is not None
        started: dict[str, float] = {}
        first: dict[str, float] = {}
        ended = {r.node for r in self.world.journal if isinstance(r, NodeEnded)}
        for r in self.world.journal:
            if isinstance(r, NodeStarted) and r.at_ms > self.world.started_at_ms and r.node in ended:
                started[r.node] = r.at_ms
        good: dict[str, float] = {}
        for r in self.world.journal:
            if isinstance(r, Answered) and r.whole and r.status == 200:
                good.setdefault(r.request, r.at_ms)
        asked: dict[str, list[tuple[float, bool]]] = {}
        for r in self.world.journal:
            if isinstance(r, Asked) and r.at_ms >= started.get(r.node, float("inf")):
                asked.setdefault(r.node, []).append((r.at_ms, r.request in good))
                if r.request in good:
                    first[r.node] = min(first.get(r.node, float("inf")), good[r.request])
        answers = [first[node] - at if node in first else None for node, at in started.items()]
        return answers, [_full(sorted(asked.get(node, [])), at) for node, at in started.items()]

    def late_ms(self) -> float:
        """By how much the lab was behind."""
        assert self.world is not None
        return max((r.late_ms for r in self.world.journal if isinstance(r, HeldUp)), default=0.0)


def _full(asked: Sequence[tuple[float, bool]], since: float) -> float | None:
    if not asked:
        return None
    for at, _ in asked:
        window = [ok for when, ok in asked if at <= when < at + FULL_MS]
        if asked[-1][0] >= at + FULL_MS and len(window) >= ENOUGH and mean(window) >= SERVES:
            return at - since
    return None


def _times(found: list[float | None]) -> str:
    there = [one / 1000 for one in found if one is not None]
    never = f", {len(found) - len(there)} never" if len(there) < len(found) else ""
    return f"{median(there):.1f} ({max(there):.1f}{never})" if there else "never"


def text(revision: str, where: Path) -> Path:
    """The program as it was at a revision, under the package name that it had there."""
    listed = subprocess.run(
        ["git", "ls-tree", "--name-only", revision], cwd=ROOT, capture_output=True, check=True, text=True
    )
    package = next(name for name in PACKAGE_NAMES if name in listed.stdout.split())
    done = subprocess.run(["git", "archive", revision, package], cwd=ROOT, capture_output=True, check=True)
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as packed:
        packed.extractall(where, filter="data")
    return where


def processes(
    cases: Sequence[str], nodes: int, servers: int, rate: float, seed: int, revision: str | None
) -> Iterator[tuple[str, ...]]:
    """The rows; the older text first where a revision names one."""
    yield (
        "killed at once",
        "text",
        "first answer, s: median (worst)",
        "full, s: median (worst)",
        "worth in time",
        "connects a second at a server: mean, peak of all, peak of one",
        "breaches",
        "memory",
        "phases told, ms: median",
        "lab late, ms",
    )
    with tempfile.TemporaryDirectory(prefix="balancer-older-") as directory:
        texts = [("now", ROOT)]
        if revision is not None:
            texts.insert(0, (f"before ({revision})", text(revision, Path(directory))))
        for _, program in texts:  # as installed: nothing is compiled at a start
            compileall.compile_dir(program / package_name(program), quiet=2)
        for case in cases:
            for name, program in texts:
                now = script(case, nodes, servers, rate)
                yield _row(case, name, now if program is ROOT else older(now), seed, program)


def _row(case: str, name: str, played: sc.Script, seed: int, program: Path) -> tuple[str, ...]:
    watch = Watch()
    with tempfile.TemporaryDirectory(prefix="balancer-back-") as directory:
        play = sc.play(played, seed, Path(directory), program=program, watch=watch, habits=Habits(uses=USES))
        got = asyncio.run(play)
    for breach in got.verdict.breaches:
        print(f"{case}, {name}:", *breach.lines(), sep="\n    ", file=sys.stderr)
    first, full = watch.back()
    steady, all_of, one_of = watch.connects()
    kinds = Counter(told["memory"] for told in got.returns.values())
    phases: dict[str, list[float]] = {}
    for told in got.returns.values():
        for phase in told["phases"]:
            phases.setdefault(phase["name"], []).append(phase["ms"])
    rules = Counter(breach.rule for breach in got.verdict.breaches)
    return (
        case,
        name,
        _times(first),
        _times(full),
        f"{got.worth:.1%}",
        f"{steady:.1f}, {all_of:.1f}, {one_of:.0f}",
        ", ".join(f"{many} of rule {rule}" for rule, many in sorted(rules.items())) or "none",
        ", ".join(f"{many} {kind}" for kind, many in kinds.items()) or "-",
        ", ".join(f"{what} {median(ms):.0f}" for what, ms in phases.items()) or "-",
        f"{watch.late_ms():.0f}",
    )
