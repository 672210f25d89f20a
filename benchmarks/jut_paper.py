"""The numbers of the paper on Join-Up-To(m), with the module as its dispatcher
(`balancer.testbed.jut_model`).

    .venv-dev/bin/python -m benchmarks.jut_paper --jobs 2

`table1` and `table2` set the paper's numbers beside those of its rule to the letter, `ours` the module as it
stands, which takes m from an aim and also goes by its own attempts still out, in the same setting.
"""

from __future__ import annotations

import argparse
import multiprocessing
from collections.abc import Sequence
from typing import Any

from balancer.testbed.jut_model import (
    Result,
    Run,
    best_m,
    confidence,
    limit,
    simulate,
)

LOADS, DELTAS = (0.5, 0.8, 0.95), (0.4, 0.1, 0.025)
TABLE_1 = {
    0.0: (2.0, 5.0, 20.0),
    0.4: (1.2170, 1.5451, 1.7287),
    0.1: (1.6886, 2.7712, 3.6549),
    0.025: (1.9069, 3.9658, 6.9149),
}
TABLE_2 = {100: (5.3145, 7.28e-3), 1_000: (5.4347, 1.75e-3), 10_000: (5.4450, 5.95e-4)}
SETTING_2 = (0.8, 0.05, 10)  # load, delta, m
AIMS = (5.0, 20.0)  # in mean works
FEW = 50  # servers where their number does not matter
PARTS = ("table2", "table1", "ours", "large")


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A table in Markdown."""
    lines = [tuple(head), tuple("---" for _ in head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines) + "\n"


def shown(results: Sequence[Result]) -> tuple[float, float, str]:
    """Mean and half width of the runs' interval, and both in words."""
    mean, half = confidence([r.response for r in results])
    return mean, half, f"{mean:.4f} ± {half:.4f}"


def table_2(pool: Any, sizes: Sequence[int], runs: int, part: float) -> str:
    """Exponential work at each size; each run takes `part` of the paper's arrivals, 1,000 N."""
    rows = []
    load, delta, m = SETTING_2
    for servers in sizes:
        arrivals = int(1_000 * servers * part)
        plan = [Run(servers, load, delta, m, arrivals, seed) for seed in range(1, runs + 1)]
        mean, half, words = shown(pool.map(simulate, plan, chunksize=1))
        paper, conf = TABLE_2[servers]
        held = "yes" if abs(mean - paper) <= half + conf else "no"
        rows.append(
            (
                f"{servers:,}",
                str(runs),
                f"{arrivals:,}",
                words,
                f"{paper:.4f} ± {conf:.4f}",
                f"{mean - paper:+.4f}",
                held,
            )
        )
    head = ("servers", "runs", "arrivals a run", "simulated", "paper", "difference", "within the sum of both")
    return table(head, rows)


def table_1(pool: Any, servers: int, runs: int, part: float, loads: Sequence[float] = LOADS) -> str:
    """JUT(m_opt) and random choice; the paper's are those for N to infinity.

    Queues at load 0.95 forget slowly: these runs are four times as long. Random choice takes as many arrivals
    to few servers, as their number says nothing there.
    """
    rows = []
    for delta, papers in TABLE_1.items():
        for load, paper in zip(LOADS, papers, strict=True):
            if load not in loads:
                continue
            m = best_m(load, delta) if delta else 1
            arrivals = int(1_000 * servers * part * (4 if load > 0.9 else 1))
            size = servers if delta else FEW
            plan = [Run(size, load, delta, m, arrivals, seed) for seed in range(1, runs + 1)]
            mean, _, words = shown(pool.map(simulate, plan, chunksize=1))
            formula = limit(load, delta, m) if delta else 1 / (1 - load)
            off, wrong = mean / paper - 1, mean / formula - 1
            rows.append(
                (
                    f"{delta:g}",
                    f"{load:g}",
                    str(m) if delta else "-",
                    words,
                    f"{paper:.4f}",
                    f"{off:+.2%}",
                    f"{formula:.4f}",
                    f"{wrong:+.2%}",
                )
            )
    head = (
        "delta",
        "load",
        "m_opt",
        f"simulated, N {servers:,}",
        "paper's Table 1",
        "off by",
        "paper's Corollary 4",
        "off by",
    )
    return table(head, rows)


def ours(pool: Any, servers: int, runs: int, part: float) -> str:
    """The rule to the letter and the module as it stands."""
    rows = []
    for delta in DELTAS:
        for load in LOADS:
            m, arrivals = best_m(load, delta), int(1_000 * servers * part)
            cells = [f"{delta:g}", f"{load:g}", str(m)]
            seeds = range(1, runs + 1)
            plans = [[Run(servers, load, delta, m, arrivals, seed) for seed in seeds]]
            plans += [
                [Run(servers, load, delta, 0, arrivals, seed, False, aim) for seed in seeds] for aim in AIMS
            ]
            for plan in plans:
                results = pool.map(simulate, plan, chunksize=1)
                answered = sum(r.served for r in results) / sum(r.asked for r in results)
                more = f" ({answered:.1%} answered)" if answered < 1 else ""
                cells.append(f"{shown(results)[0]:.4f}{more}")
            rows.append(tuple(cells))
    head = ("delta", "load", "m_opt", "to the letter", *(f"as it stands, aim {aim:g}" for aim in AIMS))
    return table(head, rows)


def main() -> None:
    """Print the tables."""
    words = argparse.ArgumentParser(description="The paper's numbers, with the module's pick in the loop.")
    words.add_argument("--part", choices=PARTS, action="append")
    words.add_argument("--runs", type=int, default=20, help="runs of a figure of Table 2; a fifth elsewhere")
    words.add_argument("--arrivals", type=float, default=1.0, help="part of the paper's arrivals")
    words.add_argument("--jobs", type=int, default=2, help="processes")
    args = words.parse_args()
    few = max(2, args.runs // 5)
    with multiprocessing.Pool(args.jobs) as pool:
        for part in args.part or PARTS:
            match part:
                case "table2":
                    text = table_2(pool, (100, 1_000), args.runs, args.arrivals)
                case "large":
                    text = table_2(pool, (10_000,), few, args.arrivals / 4)
                case "table1":
                    text = table_1(pool, 1_000, few, args.arrivals / 2)
                case _:
                    text = ours(pool, 1_000, 2, args.arrivals / 10)
            print(f"### {part}\n\n{text}", flush=True)


if __name__ == "__main__":
    main()
