"""The judge over many seeds of the scripts of hard days, on real processes.

`python -m benchmarks.restart_recovery --part judge [--seeds N] [--script NAME] [--at-once N] [--long S]`
prints
whatever is wrong as it comes, each with its seed and the command that plays it again, then a row a script.
Plays run side by side, each in a process with a lab of its own. `--long`: how long outages and pauses last.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import msgspec

from balancer.testbed import scenario as sc
from balancer.testbed.cluster import World
from balancer.testbed.event_log import HeldUp, NodeHeldUp
from balancer.testbed.scenario_runner import SCRIPTS

LASTING = ("lists silent", "stand")
JUST_S = 0.01
SHOWN = 60  # lines of one play
ALL = sorted(path.stem for path in SCRIPTS.glob("*.toml"))


def longer(script: sc.Script, seconds: float) -> sc.Script:
    """The same where the outage or pause that ends first lasts so long; what goes on over its end does, too.

    What comes later comes later by as much; what is over by then stays as it is.
    """
    lasting = [row for row in script.fault if row.kind in LASTING]
    if not lasting:
        return script
    first = min(lasting, key=lambda row: row.at_s + row.for_s)
    just, more = first.at_s + first.for_s - JUST_S, seconds - first.for_s

    def row(was: sc.Row) -> sc.Row:
        if was.at_s > just:
            return msgspec.structs.replace(was, at_s=was.at_s + more)
        if was.at_s + was.for_s > just:
            return msgspec.structs.replace(was, for_s=was.for_s + more)
        return was

    fault = tuple(map(row, script.fault))
    return msgspec.structs.replace(script, seconds=script.seconds + more, fault=fault)


@dataclass(slots=True, frozen=True)
class Judged:
    """What came of one play."""

    script: str
    seed: int
    wrong: tuple[str, ...]
    rules: Counter[int]
    worth: float
    busiest: int  # connections that any server took within a second
    full_ms: tuple[float, ...]  # what nodes with a memory say of their way
    late_ms: float  # at the worst: of the lab, and of a node that had no core


def judged(name: str, seed: int, long_s: float) -> Judged:
    """Play one script on one seed; whatever fails in the play itself counts as wrong, too."""
    script = sc.parse((SCRIPTS / f"{name}.toml").read_bytes())
    script = longer(script, long_s) if long_s else script
    worlds: list[World] = []
    try:
        with tempfile.TemporaryDirectory(prefix="balancer-judged-") as directory:
            got = asyncio.run(sc.play(script, seed, Path(directory), watch=worlds.append))
    except Exception as err:
        return Judged(name, seed, (f"the play failed: {err!r:.300}",), Counter(), 0.0, 0, (), 0.0)
    late = [r.late_ms for r in worlds[0].journal if isinstance(r, HeldUp | NodeHeldUp)]
    full = [one["ms"] for told in got.returns.values() for one in told["phases"] if one["name"] == "full"]
    return Judged(
        name,
        seed,
        tuple(got.wrong(script.least)),
        Counter(one.rule for one in got.verdict.breaches),
        got.worth,
        max(server.busiest for server in worlds[0].fleet.servers.values()),
        tuple(full),
        max(late, default=0.0),
    )


def again(one: Judged, long_s: float) -> str:
    """The command that plays it again."""
    words = f"--part judge --script {one.script} --first {one.seed} --seeds 1"
    return f"python -m benchmarks.restart_recovery {words}" + (f" --long {long_s:g}" if long_s else "")


def plays(names: Sequence[str], seeds: Iterable[int], at_once: int, long_s: float) -> Iterator[Judged]:
    """All of them, as they end. Seeds go before scripts: a run that is cut short has seen each script."""
    work = [(name, seed) for seed in seeds for name in names]
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(at_once, spawn, max_tasks_per_child=1) as pool:
        for done in as_completed([pool.submit(judged, name, seed, long_s) for name, seed in work]):
            yield done.result()


def table(
    names: Sequence[str], seeds: Sequence[int], at_once: int, long_s: float
) -> Iterator[tuple[str, ...]]:
    """The rows, once all is played; each play is told as it ends."""
    got: dict[str, list[Judged]] = {name: [] for name in names}
    for one in plays(names, seeds, at_once, long_s):
        got[one.script].append(one)
        if one.wrong:
            print(f"{one.script}, seed {one.seed}: wrong; {again(one, long_s)}")
            print(*(f"    {line}" for line in one.wrong[:SHOWN]), sep="\n", flush=True)
        else:
            print(f"{one.script}, seed {one.seed}: worth in time {one.worth:.1%}", flush=True)
    yield (
        "script",
        "seeds",
        "wrong in",
        "breaches",
        "worth in time: median (least)",
        "full, as nodes say, s: median (worst)",
        "most connections a second at a server",
        "lab or node late at worst, ms: median (worst)",
    )
    for name, ones in got.items():
        rules = sum((one.rules for one in ones), Counter[int]())
        full = [ms / 1000 for one in ones for ms in one.full_ms]
        worth, late = [one.worth for one in ones], [one.late_ms for one in ones]
        yield (
            name,
            str(len(ones)),
            str(sum(bool(one.wrong) for one in ones)),
            ", ".join(f"{many} of rule {rule}" for rule, many in sorted(rules.items())) or "none",
            f"{median(worth):.1%} ({min(worth):.1%})",
            f"{median(full):.1f} ({max(full):.1f})" if full else "-",
            str(max(one.busiest for one in ones)),
            f"{median(late):.0f} ({max(late):.0f})",
        )
