"""What m does in a fleet: the module's own m, fixed ones, and guides from a node's own figures.

    .venv-dev/bin/python -m benchmarks.cap_guidance --jobs 2

For each size, load and spread of work (the work's standard deviation over its mean) the mean waiting in
milliseconds and the service, with the same traffic for each guide.
"""

from __future__ import annotations

import argparse
import math
import multiprocessing
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from balancer import interface as api
from balancer.policy import selection
from balancer.policy.records import EWMA_WEIGHT, Backend, Request
from balancer.policy.state import NodeState
from balancer.policy.subsetting import NODES_PER_BACKEND
from balancer.testbed.simulation import Report, Scenario, play
from balancer.testbed.simulation.scenario import SITE

SIZES = ((10, 1), (10, 10), (100, 1), (100, 10), (100, 100), (1_000, 10))
LOADS, SPREADS = (0.5, 0.75, 0.9), (0.5, 1.0, 3.0)
FIXED = (1, 2, 4, 8, 32)


OWN_CAP, OWN_APPLY_LOAD_REPORT = selection.queue_cap, selection.apply_load_report
Cap = Callable[[NodeState, Request], int]


def fixed(cap: int) -> Cap:
    """m is what it is told, whatever the class and the group."""
    # The dispatcher's share of it is the whole again; the same holds for the guides below.
    return lambda state, request: cap * state.settings.node_count


class IdleReports:
    """The paper's best m for a load near 1, which needs no other figure than idle reports an attempt."""

    def __init__(self) -> None:
        self.rates: dict[NodeState, float] = {}
        self.square = 2.0  # spread of answers' times

    def apply_load_report(
        self, state: NodeState, backend: Backend, report: api.LoadReport | None, is_fresh: bool
    ) -> None:
        """Learn how many reports are idle ones, and go on."""
        is_idle = report is not None and report.in_flight is not None and report.in_flight < 0.5
        rate = self.rates.get(state, 0.1)
        self.rates[state] = rate + EWMA_WEIGHT / 10 * (is_idle - rate)
        OWN_APPLY_LOAD_REPORT(state, backend, report, is_fresh)

    def cap(self, state: NodeState, request: Request) -> int:
        """m."""
        delta = max(self.rates.get(state, 0.1), 1e-3)
        best = math.ceil(math.sqrt(0.25 + self.square / delta) - 0.5)
        return max(1, min(best, math.floor(1 / delta))) * state.settings.node_count


def by_feeders(state: NodeState, request: Request) -> int:
    """The module's m, shared by those that feed a server and not by the whole group."""
    sharing = min(NODES_PER_BACKEND, state.settings.node_count)
    return max(1, OWN_CAP(state, request) // sharing) * state.settings.node_count


def unshared(state: NodeState, request: Request) -> int:
    """The module's m, not shared."""
    return OWN_CAP(state, request) * state.settings.node_count


GUIDES: dict[str, Cap] = {"own": OWN_CAP, "by feeders": by_feeders, "unshared": unshared}
PAPER = "paper"


def one(what: tuple[Scenario, str]) -> Report:
    """One run with one guide in place of the module's."""
    scenario, guide = what
    cap, apply_load_report = GUIDES.get(guide), OWN_APPLY_LOAD_REPORT
    if guide == PAPER:
        learned = IdleReports()
        cap, apply_load_report = learned.cap, learned.apply_load_report
    with (
        mock.patch.object(selection, "queue_cap", cap or fixed(int(guide))),
        mock.patch.object(selection, "apply_load_report", apply_load_report),
    ):
        return play(scenario)


def main() -> None:
    """Print the table."""
    words = argparse.ArgumentParser(description="What m does in a fleet.")
    words.add_argument("--requests", type=int, default=40_000, help="arrivals of a run at the most")
    words.add_argument("--noise", type=float, default=0.0, help="chance of a report that is off by one")
    words.add_argument("--jobs", type=int, default=2, help="processes")
    args = words.parse_args()
    names = [*GUIDES, PAPER, *map(str, FIXED)]
    head = ("servers", "nodes", "load", "spread", *(f"m {n}" if n.isdigit() else n for n in names))
    print("\n".join(f"| {' | '.join(line)} |" for line in (head, ("---",) * len(head))), flush=True)
    with multiprocessing.Pool(args.jobs) as pool:
        for servers, nodes in SIZES:
            for load in LOADS:
                for spread in SPREADS:
                    classes = tuple(replace(c, spread=spread) for c in SITE.classes)
                    scenario = Scenario(
                        servers,
                        nodes,
                        600.0,
                        load,
                        seed=1,
                        noise=args.noise,
                        site=replace(SITE, classes=classes),
                    )
                    scenario = scenario.bounded(args.requests)
                    reports = pool.map(one, [(scenario, name) for name in names], chunksize=1)
                    cells = [f"{r.wait_mean_ms:.0f} ({r.service:.3f})" for r in reports]
                    line = (f"{servers:,}", f"{nodes:,}", f"{load:g}", f"{spread:g}", *cells)
                    print(f"| {' | '.join(line)} |", flush=True)


if __name__ == "__main__":
    main()
