"""A script of faults played on real processes, and what came of it: in lines for people, and as a picture.

`balancer lab play` (`balancer.cli.testbed`) is the command.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from pathlib import Path

from balancer.testbed import scenario as sc
from balancer.testbed.scenario import Played, Script, Strike

SHOWN = 40  # lines of what is wrong
LOOK = 0.25  # s between two words on how far it is
SCRIPTS = Path(__file__).parent / "scenarios"
Say = Callable[[str], None]
Look = Callable[[float], None]
Onlooker = Callable[[float], AbstractContextManager[tuple[Say, Look | None]]]
"""Around one play of so many seconds: who is told what happens, and every `LOOK` how many are over."""


def found(name: str) -> Path:
    """A path, or the name of a script that comes with the package."""
    path = Path(name)
    own = SCRIPTS / f"{name}.toml"
    return own if not path.exists() and own.exists() else path


async def played(
    script: Script, seed: int, onlooker: Onlooker, strikes: Sequence[Strike] | None = None
) -> Played:
    """Play it, or some of its strikes alone, and tell the onlooker."""

    async def looking(look: Look | None) -> None:
        begun = time.monotonic()
        while look is not None:
            await asyncio.sleep(LOOK)
            look(min(script.seconds, time.monotonic() - begun))

    directories = tempfile.TemporaryDirectory(prefix="balancer-play-")
    with directories as directory, onlooker(script.seconds) as (say, look):
        task = asyncio.create_task(looking(look))
        try:
            return await sc.play(script, seed, Path(directory), strikes, lambda at_s, text: say(text))
        finally:
            task.cancel()


def lines(script: Script, got: Played) -> list[str]:
    """What came of it, for people."""
    total = got.verdict.classes["all"]
    out = [f"{script.name}, seed {got.seed}: {total.asked} requests, worth in time {got.worth:.1%}"]
    out += [f"  {line}" for line in got.verdict.lines()]
    seen: set[float] = set()
    for strike in got.strikes:
        full = dict(got.full_ms).get(strike.at_s)
        if strike.at_s not in seen:
            seen.add(strike.at_s)
            back = "not by the end" if full is None else f"after {full / 1000:.1f} s"
            out.append(f"  full service again {back}: {str(strike).strip()}")
    wrong = got.wrong(script.least)
    out += [f"  {line}" for line in wrong[:SHOWN]]
    return [*out, f"  and {len(wrong) - SHOWN} more lines"] if len(wrong) > SHOWN else out


def picture(script: Script, got: Played, file: Path) -> None:
    """Served, refused or failed, and nodes alive over time, the faults marked. Raises OSError, ValueError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    at = [row[0] for row in got.rows]
    good, bad = ([4 * row[n] for row in got.rows] for n in (2, 3))
    late = [4 * (row[1] - row[2] - row[3]) for row in got.rows]
    figure, (above, below) = pyplot.subplots(2, 1, sharex=True, height_ratios=(3, 1), figsize=(9, 5))
    try:
        labels = ["in time", "late", "refused or failed"]
        above.stackplot(at, good, late, bad, labels=labels, colors=["#4c956c", "#f2c14e", "#c8553d"])
        below.step(at, [row[4] for row in got.rows], where="post", color="#33415c")
        for strike in got.strikes:
            for axes in (above, below):
                axes.axvline(strike.at_s, color="#777777", linewidth=0.7, linestyle=":")
        for number, moment in enumerate(sorted({strike.at_s for strike in got.strikes})[:12]):
            kinds = sorted({strike.kind for strike in got.strikes if strike.at_s == moment})
            above.annotate(
                ", ".join(kinds),
                (moment, 0.97 - 0.05 * (number % 4)),
                xycoords=("data", "axes fraction"),
                fontsize=7,
            )
        above.set_ylabel("requests a second")
        above.legend(loc="lower left", fontsize=8)
        below.set_ylabel("nodes alive")
        below.set_ylim(0, script.nodes + 1)
        below.set_xlabel("s")
        figure.suptitle(f"{script.name}, seed {got.seed}: worth in time {got.worth:.1%}")
        figure.savefig(file)
    finally:
        pyplot.close(figure)


async def fewest(script: Script, failed: Played, onlooker: Onlooker) -> list[Strike]:
    """The fewest of its strikes that still fail; it is played for each step towards them."""

    async def fails(strikes: Sequence[Strike]) -> bool:
        again = await played(script, failed.seed, onlooker, strikes)
        return bool(again.wrong(script.least))

    return await sc.shrink(failed.strikes, fails)
