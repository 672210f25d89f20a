"""`dillport lab play SCRIPT.toml`: play a script of faults on real processes, and say what came of it.

Prints what happens while it happens, the verdict on each rule, the time to full service after each fault,
and what must not be. `--report FILE` draws one picture (the ending chooses its format; it needs
matplotlib), and `--shrink` cuts a script that fails down to the fewest faults that still fail. Exit code 0
is well, 1 a rule that was broken, a crash or less worth than the script's `least`, 2 words or a script that
make no sense.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib.util
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TextIO

from dillport.lab import script as sc
from dillport.lab.script import Played, Script, Strike

SHOWN = 40  # lines of what is wrong
BAR = 30  # characters
SCRIPTS = Path(__file__).parent / "scripts"


def _found(name: str) -> Path:
    """A path, or the name of a script that comes with the package."""
    path = Path(name)
    own = SCRIPTS / f"{name}.toml"
    return own if not path.exists() and own.exists() else path


async def _played(script: Script, seed: int, out: TextIO, strikes: Sequence[Strike] | None = None) -> Played:
    """Play it, with a bar where somebody looks on."""
    begun = 0.0

    def tell(at_s: float, text: str) -> None:
        print(f"{text}", file=out, flush=True)

    async def bar() -> None:
        nonlocal begun
        while True:
            await asyncio.sleep(0.25)
            part = min(1.0, (time.monotonic() - begun) / script.seconds)
            full = round(part * BAR)
            text = f"[{'#' * full}{'.' * (BAR - full)}] {part * script.seconds:5.1f} of {script.seconds:g} s"
            print(f"\r{text}", end="\r", file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory(prefix="dillport-play-") as directory:
        begun = time.monotonic()
        looking = asyncio.create_task(bar()) if sys.stderr.isatty() else None
        try:
            return await sc.play(script, seed, Path(directory), strikes, tell)
        finally:
            if looking is not None:
                looking.cancel()


def lines(script: Script, played: Played) -> list[str]:
    """What came of it, for people."""
    total = played.verdict.classes["all"]
    out = [f"{script.name}, seed {played.seed}: {total.asked} requests, worth in time {played.worth:.1%}"]
    out += [f"  {line}" for line in played.verdict.lines()]
    seen: set[float] = set()
    for strike in played.strikes:
        full = dict(played.full_ms).get(strike.at_s)
        if strike.at_s not in seen:
            seen.add(strike.at_s)
            back = "not by the end" if full is None else f"after {full / 1000:.1f} s"
            out.append(f"  full service again {back}: {str(strike).strip()}")
    wrong = played.wrong(script.least)
    out += [f"  {line}" for line in wrong[:SHOWN]]
    return [*out, f"  and {len(wrong) - SHOWN} more lines"] if len(wrong) > SHOWN else out


def picture(script: Script, played: Played, file: Path) -> None:
    """Served, refused or failed, and nodes alive over time, the faults marked. Raises OSError, ValueError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    at = [row[0] for row in played.rows]
    good, bad = ([4 * row[n] for row in played.rows] for n in (2, 3))
    late = [4 * (row[1] - row[2] - row[3]) for row in played.rows]
    figure, (above, below) = pyplot.subplots(2, 1, sharex=True, height_ratios=(3, 1), figsize=(9, 5))
    try:
        labels = ["in time", "late", "refused or failed"]
        above.stackplot(at, good, late, bad, labels=labels, colors=["#4c956c", "#f2c14e", "#c8553d"])
        below.step(at, [row[4] for row in played.rows], where="post", color="#33415c")
        for strike in played.strikes:
            for axes in (above, below):
                axes.axvline(strike.at_s, color="#777777", linewidth=0.7, linestyle=":")
        for number, moment in enumerate(sorted({strike.at_s for strike in played.strikes})[:12]):
            kinds = sorted({strike.kind for strike in played.strikes if strike.at_s == moment})
            above.annotate(
                ", ".join(kinds), (moment, 0.97 - 0.05 * (number % 4)), xycoords=("data", "axes fraction"),
                fontsize=7,
            )  # fmt: skip
        above.set_ylabel("requests a second")
        above.legend(loc="lower left", fontsize=8)
        below.set_ylabel("nodes alive")
        below.set_ylim(0, script.nodes + 1)
        below.set_xlabel("s")
        figure.suptitle(f"{script.name}, seed {played.seed}: worth in time {played.worth:.1%}")
        figure.savefig(file)
    finally:
        pyplot.close(figure)


async def _cut_down(script: Script, played: Played, out: TextIO) -> None:
    async def fails(strikes: Sequence[Strike]) -> bool:
        again = await _played(script, played.seed, out, strikes)
        return bool(again.wrong(script.least))

    left = await sc.shrink(played.strikes, fails)
    print(f"  {len(left)} of {len(played.strikes)} faults are enough:", file=out)
    for strike in left:
        print(f"  {strike}", file=out)


def main(argv: Sequence[str] | None = None, out: TextIO | None = None) -> int:
    """The command; returns its exit code."""
    out = out or sys.stdout
    parser = argparse.ArgumentParser(prog="dillport lab", description=__doc__.partition("\n")[0])
    words = parser.add_subparsers(metavar="WORD", required=True)
    play = words.add_parser("play", help="play a script of faults on real processes")
    own = ", ".join(sorted(path.stem for path in SCRIPTS.glob("*.toml")))
    play.add_argument("script", metavar="SCRIPT", help=f"a TOML file, or one of: {own}")
    play.add_argument("--seeds", type=int, default=1, metavar="N", help="play it on so many seeds (1)")
    play.add_argument("--first", type=int, default=1, metavar="SEED", help="the first seed (1)")
    play.add_argument("--report", type=Path, metavar="FILE", help="draw one picture, of the last seed played")
    play.add_argument("--shrink", action="store_true", help="find the fewest faults that still fail")
    args = parser.parse_args(argv)
    if args.seeds < 1:
        parser.error(f"--seeds is {args.seeds}, it has to be 1 or more")
    if args.report is not None and importlib.util.find_spec("matplotlib") is None:
        print("dillport: lab: no package matplotlib: the install `dillport[report]` has it", file=sys.stderr)
        return 2
    path = _found(args.script)
    try:
        script = sc.parse(path.read_bytes())
    except (OSError, sc.ScriptError) as err:
        text = err.strerror or str(err) if isinstance(err, OSError) else str(err)
        for line in text.splitlines():
            print(f"dillport: lab: {path}: {line}", file=sys.stderr)
        return 2
    code = 0
    for seed in range(args.first, args.first + args.seeds):
        played = asyncio.run(_played(script, seed, out))
        print(*lines(script, played), sep="\n", file=out, flush=True)
        if played.wrong(script.least):
            code = 1
            if args.shrink:
                asyncio.run(_cut_down(script, played, out))
    if args.report is not None:
        try:
            picture(script, played, args.report)
        except (OSError, ValueError) as err:
            print(f"dillport: lab: {args.report}: {err}", file=sys.stderr)
            return 2
    return code


if __name__ == "__main__":
    sys.exit(main())
