"""What m does in a fleet: the module's own m, fixed ones, and guides from a node's own figures.

    .venv-dev/bin/python -m benchmarks.cap_guidance --jobs 2

For each size, load and spread of work (the work's standard deviation over its mean) the mean waiting in
milliseconds and the service, with the same traffic for each guide.
"""

from __future__ import annotations

import argparse
import math
import multiprocessing
from dataclasses import replace

from balancer import interface as api
from balancer.policy.balancer import EWMA_WEIGHT, NODES_PER_BACKEND, Balancer
from balancer.policy.records import Backend, Request
from balancer.testbed.simulation import Report, Scenario, play
from balancer.testbed.simulation.policies import Policy
from balancer.testbed.simulation.scenario import SITE

SIZES = ((10, 1), (10, 10), (100, 1), (100, 10), (100, 100), (1_000, 10))
LOADS, SPREADS = (0.5, 0.75, 0.9), (0.5, 1.0, 3.0)
FIXED = (1, 2, 4, 8, 32)


class Fixed(Balancer):
    """m is what it is told, whatever the class and the group."""

    told = 1

    def _cap(self, req: Request) -> int:
        return self.told * self.settings.node_count  # the dispatcher's share of it is the whole again


class Told(Balancer):
    """A common part of the guides: idle signs an own answer, and the spread of answers' times."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.signs, self.square = 0.1, 2.0

    def _report(self, b: Backend, report: api.LoadReport | None, fresh: bool) -> None:
        idle = report is not None and report.in_flight is not None and report.in_flight < 0.5
        self.signs += EWMA_WEIGHT / 10 * (idle - self.signs)
        super()._report(b, report, fresh)

    def _guide(self, delta: float) -> int:
        """The paper's best m for a load near 1, which needs no other figure than idle signs a send."""
        delta = max(delta, 1e-3)
        best = math.ceil(math.sqrt(0.25 + self.square / delta) - 0.5)
        return max(1, min(best, math.floor(1 / delta)))

    def _cap(self, req: Request) -> int:
        return self._guide(self.signs) * self.settings.node_count


class Feeders(Balancer):
    """The module's m, shared by those that feed a server and not by the whole group."""

    def _cap(self, req: Request) -> int:
        sharing = min(NODES_PER_BACKEND, self.settings.node_count)
        return max(1, super()._cap(req) // sharing) * self.settings.node_count


class Whole(Balancer):
    """The module's m, not shared."""

    def _cap(self, req: Request) -> int:
        return super()._cap(req) * self.settings.node_count


GUIDES: dict[str, type[Balancer]] = {"own": Balancer, "by feeders": Feeders, "unshared": Whole, "paper": Told}


def one(what: tuple[Scenario, str]) -> Report:
    """One run with one guide."""
    scenario, guide = what

    def maker(name: str, settings: api.Settings, seed: int) -> Policy:
        if guide in GUIDES:
            return GUIDES[guide](settings, seed)
        node = Fixed(settings, seed)
        node.told = int(guide)
        return node

    return play(scenario, maker)


def main() -> None:
    """Print the table."""
    words = argparse.ArgumentParser(description="What m does in a fleet.")
    words.add_argument("--requests", type=int, default=40_000, help="arrivals of a run at the most")
    words.add_argument("--noise", type=float, default=0.0, help="chance of a report that is off by one")
    words.add_argument("--jobs", type=int, default=2, help="processes")
    args = words.parse_args()
    names = [*GUIDES, *map(str, FIXED)]
    head = ("servers", "nodes", "load", "spread", *(n if n in GUIDES else f"m {n}" for n in names))
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
