"""A small fleet on loopback for some twenty seconds: one server drains, one dies, one comes cold.

At the end: what became of the requests, by class and by server, and the judge's verdict on the four rules.
"""

from __future__ import annotations

import tempfile
from dataclasses import replace
from pathlib import Path
from typing import TextIO

from balancer.testbed.cluster import Step, World
from balancer.testbed.invariant_checker import Verdict
from balancer.testbed.service_profile import CLASSES, Site

RATE = 100.0
NODES, SERVERS = 2, 6
SITE = Site(classes=tuple(replace(c, work_ms=2 * c.work_ms) for c in CLASSES))  # half of what all can do
SHOWN = 5  # breaches that are shown with their records


def script(seconds: float) -> list[Step]:
    """What happens when, over a run of this length."""
    return [
        Step(0.15 * seconds, "s2 drains: the list says so", lambda w: w.drain("s2")),
        Step(0.30 * seconds, "s2 is taken off the list and ends", lambda w: w.remove("s2")),
        Step(0.45 * seconds, "s5 dies; the list says so 1.5 s later", lambda w: w.die("s5")),
        Step(0.60 * seconds, "s7 comes, cold, with 30% of its capacity", lambda w: w.come("s7")),
    ]


def states(world: World) -> dict[str, str]:
    """What has become of each server."""
    out = {}
    for name, server in world.fleet.servers.items():
        out[name] = "in service" if server.up else "gone"
        if server.up and server.warm_ms:
            out[name] = "in service, came cold"
    out |= {"s2": "drained, gone", "s5": "died"}
    if not world.fleet["s7"].up:
        out["s7"] = "FELL OVER"
    return out


def report(verdict: Verdict, state: dict[str, str]) -> list[str]:
    """The tables and the verdict, in lines of at most 100 characters."""
    out = [
        "class     asked  in time   late  refused  failed   p50 ms   p99 ms   worth in time",
        "-" * 82,
    ]
    for name, t in verdict.classes.items():
        out.append(
            f"{name:8} {t.asked:6} {t.in_time:8} {t.late:6} {t.refused:8} {t.failed + t.left:7}"
            f" {t.percentile(0.5):8.0f} {t.percentile(0.99):8.0f}   {t.worth:13.1%}"
        )
    total = sum(s.received for s in verdict.servers.values()) or 1
    out += ["", "server  requests   share  turned away  repeats dropped  state", "-" * 82]
    for name, s in sorted(verdict.servers.items()):
        out.append(
            f"{name:6} {s.received:9} {s.received / total:7.1%} {s.turned_away:12} {s.repeats:16}"
            f"  {state.get(name, '')}"
        )
    several = sum(count for number, count in verdict.attempts.items() if number > 1)
    out += [
        "",
        f"tries that took more than one attempt: {several}",
        f"requests sent to a removed server after the grace: {verdict.sent_to_removed}",
        "",
        *verdict.lines(),
    ]
    for breach in verdict.breaches[:SHOWN]:
        out += ["", *breach.lines()]
    return out


async def demo(out: TextIO, seconds: float, seed: int = 1, records: Path | None = None) -> int:
    """Run it and write to `out`; returns 0 if no rule was broken, else 1. `records` takes the journal."""

    def say(text: str) -> None:
        out.write(text + "\n")
        out.flush()

    say(
        f"{NODES} nodes, {SERVERS} servers with 2 cores each, {RATE:.0f} requests a second"
        f" for {seconds:.0f} s, seed {seed}"
    )
    with tempfile.TemporaryDirectory(prefix="balancer-demo-") as directory:
        async with World(Path(directory), site=SITE, seed=seed, nodes=NODES, servers=SERVERS) as world:
            say("    0.0 s  all are up, clients begin")
            await world.play(RATE, seconds, script(seconds), lambda at, text: say(f"{at:7.1f} s  {text}"))
            say(f"{seconds:7.1f} s  clients have ended")
            state, verdict = states(world), world.verdict()
            if records is not None:
                world.journal.write(records)
    for line in ["", *report(verdict, state)]:
        say(line)
    return 0 if verdict.ok else 1
