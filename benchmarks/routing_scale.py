"""Routing at large scale, in virtual time: sizes and numbers of nodes, against plain policies.

    .venv-dev/bin/python -m benchmarks.routing_scale --jobs 2 --svg docs/design/routing-fleet.svg

Each run gets the same traffic whatever the policy. The arrivals of a run are bounded (`--requests`), so a
large fleet is looked at for a shorter time: 10,000 servers at load 0.75 take 75,000 requests a second.
"""

from __future__ import annotations

import argparse
import multiprocessing
from collections.abc import Iterable
from pathlib import Path

from balancer.testbed.simulation import (
    Report,
    Scenario,
    play,
    rough,
)
from balancer.testbed.simulation.policies import POLICIES
from benchmarks.charts import Panel, svg

SIZES, NODES = (10, 100, 1_000, 10_000), (1, 10, 100, 1_000)
REQUESTS, LONGEST_S, LOAD = 200_000, 600.0, 0.75
MOST = 1_000_000  # servers times nodes: what each node knows of each server has to fit into memory
PARTS = ("steady", "rough")
ROUGH = ((10, 1), (10, 10), (100, 10), (1_000, 10), (1_000, 100))
ROUGH_S = 30.0


def steady(requests: int, most: int) -> list[Scenario]:
    """Equal work and a steady load, for each size, number of nodes and policy."""
    return [
        Scenario(servers, nodes, LONGEST_S, LOAD, policy, seed=1).bounded(requests)
        for servers in SIZES
        for nodes in NODES
        if servers * nodes <= most
        for policy in POLICIES
    ]


def troubled(requests: int) -> list[Scenario]:
    """Rough weather: a tenth of the servers drain or crash, a zone is cut, the list is silent, a burst."""
    out = []
    for servers, nodes in ROUGH:
        for policy in POLICIES:
            scenario = rough(7, servers, nodes, ROUGH_S, policy)
            seconds = min(ROUGH_S, 2 * requests / scenario.rate / 1_000)
            out.append(rough(7, servers, nodes, seconds, policy))
    return out


def table(reports: Iterable[Report]) -> list[str]:
    """The runs as a table in Markdown."""
    head = (
        "servers",
        "nodes",
        "policy",
        "requests",
        "seconds",
        "service",
        "waiting, mean ms",
        "p50",
        "p99",
        "attempts a request",
        "refused",
        "failed",
        "largest share",
        "rules 1 to 4",
        "CPU us",
    )
    lines = [head, tuple("---" for _ in head)]
    for r in reports:
        s = r.scenario
        lines.append(
            (
                f"{s.servers:,}",
                f"{s.nodes:,}",
                s.policy,
                f"{r.asked:,}",
                f"{s.seconds:.1f}",
                f"{r.service:.3f}",
                f"{r.wait_mean_ms:.1f}",
                f"{r.wait_p50_ms:.1f}",
                f"{r.wait_p99_ms:.0f}",
                f"{r.attempts / max(1, r.asked):.2f}",
                f"{r.refused / r.asked:.1%}",
                f"{r.failed / r.asked:.1%}",
                f"{r.largest_share:.2f}",
                " ".join(map(str, r.rules)),
                f"{r.cpu_us:.0f}",
            )
        )
    return [f"| {' | '.join(line)} |" for line in lines]


def picture(reports: Iterable[Report]) -> str:
    """Mean waiting over the size, a panel for each number of nodes."""
    panels: dict[int, dict[str, list[tuple[float, float]]]] = {}
    for r in reports:
        lines = panels.setdefault(r.scenario.nodes, {})
        lines.setdefault(r.scenario.policy, []).append((r.scenario.servers, r.wait_mean_ms))
    fields = [Panel(f"{nodes:,} node{'s' * (nodes > 1)}", panels[nodes]) for nodes in sorted(panels)]
    title = f"Mean waiting at load {LOAD:g}, work of 100 ms in the mean"
    return svg(title, "servers", "waiting, ms", fields, 1.0, 1_000.0)


def _timed(scenario: Scenario) -> Report:
    return play(scenario, timed=True)


def run(scenarios: list[Scenario], jobs: int) -> list[Report]:
    """All runs, in processes of their own."""
    with multiprocessing.Pool(jobs, maxtasksperchild=1) as pool:
        return pool.map(_timed, scenarios, chunksize=1)


def main() -> None:
    """Print the tables and draw the picture."""
    words = argparse.ArgumentParser(description="Routing at large scale, in virtual time.")
    words.add_argument("--part", choices=PARTS, action="append")
    words.add_argument("--requests", type=int, default=REQUESTS, help="arrivals of a run at the most")
    words.add_argument("--most", type=int, default=MOST, help="servers times nodes at the most")
    words.add_argument("--jobs", type=int, default=2, help="processes")
    words.add_argument("--svg", type=Path, help="where to draw the picture of the steady part")
    args = words.parse_args()
    for part in args.part or PARTS:
        even = part == "steady"
        runs = steady(args.requests, args.most) if even else troubled(args.requests)
        reports = run(runs, args.jobs)
        print("\n".join([f"### {part}", "", *table(reports), ""]), flush=True)
        if even and args.svg:
            args.svg.write_text(picture(reports))


if __name__ == "__main__":
    main()
