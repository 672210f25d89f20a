"""What runs on the stand-in world, which an installation may lack: `demo`, and `lab play`.

`lab play SCRIPT` prints what happens while it happens, the verdict on each rule, the time to full service
after each fault, and what must not be; where somebody looks on, a bar shows how far it is. `--report FILE`
draws one picture (the ending chooses its format; it needs matplotlib), and `--shrink` cuts a script that
fails down to the fewest faults that still fail. Exit code 0 is well, 1 a rule that was broken, a crash or
less worth than the script's `least`, 2 words or a script that make no sense.
"""

from __future__ import annotations

import contextlib
import importlib
import importlib.util
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click

import balancer
from balancer.cli.common import PATH_TYPE, CommandError

DEFAULT_DEMO_S, MIN_DEMO_S = 20.0, 5.0  # how long a demo takes, and the shortest
SCENARIOS = sorted(path.stem for path in Path(balancer.__file__).parent.glob("testbed/scenarios/*.toml"))

DEMO = "Run a small fleet on stand-ins and judge it."
LAB = "Play scripts of faults on real processes; see lab --help."
PLAY = "Play a script of faults on real processes, and say what came of it."

Say = Callable[[str], None]
Look = Callable[[float], None]


def _testbed_module(module: str) -> Any:
    """A module of the stand-ins; says so in plain words where it, or what it needs, is not there."""
    name = f"balancer.testbed.{module}"
    try:
        return importlib.import_module(name)
    except ModuleNotFoundError as err:
        if err.name == "msgspec":
            raise CommandError(
                2, "lab: no package msgspec: the install `snowloom-balancer[timeline]` has it"
            ) from None
        if err.name not in (name, "balancer.testbed"):
            raise
        raise CommandError(2, f"{module}: there is no {name} in this installation") from None


# --- demo ---------------------------------------------------------------------------------------------


@click.command(short_help=DEMO)
@click.option(
    "--seconds",
    type=float,
    default=DEFAULT_DEMO_S,
    help=f"Length, {MIN_DEMO_S:.0f} or more ({DEFAULT_DEMO_S:g}).",
)
@click.option("--seed", type=int, default=1, help="Of all chance in it (1).")
@click.option("--records", type=PATH_TYPE, metavar="FILE", help="Write what was recorded, as JSON lines.")
def demo(seconds: float, seed: int, records: Path | None) -> int:
    """A small fleet on loopback for some twenty seconds: one server drains, one dies, one comes cold.

    At the end: what became of the requests, by class and by server, and the judge's verdict on the rules.
    """
    if not seconds >= MIN_DEMO_S:
        raise click.UsageError(f"--seconds is {seconds:g}, it has to be {MIN_DEMO_S:.0f} or more")
    found = _testbed_module("demo")
    import asyncio

    try:
        return int(asyncio.run(found.demo(sys.stdout, seconds, seed, records)))
    except KeyboardInterrupt:
        print("ended early: no verdict", file=sys.stderr)
        return 130


# --- lab ----------------------------------------------------------------------------------------------


@click.group(help="Scripts of faults on real processes.", short_help=LAB, no_args_is_help=False)
def lab() -> None:
    """The word; those under it do the work."""


@lab.command(help=PLAY, short_help=PLAY)
@click.argument("script", metavar="SCRIPT", help=f"A TOML file, or one of: {', '.join(SCENARIOS)}.")
@click.option("--seeds", type=int, default=1, metavar="N", help="Play it on so many seeds (1).")
@click.option("--first", type=int, default=1, metavar="SEED", help="The first seed (1).")
@click.option("--report", type=PATH_TYPE, metavar="FILE", help="Draw one picture, of the last seed played.")
@click.option("--shrink", is_flag=True, help="Find the fewest faults that still fail.")
def play(script: str, seeds: int, first: int, report: Path | None, shrink: bool) -> int:
    """The word."""
    if seeds < 1:
        raise click.UsageError(f"--seeds is {seeds}, it has to be 1 or more")
    if report is not None and importlib.util.find_spec("matplotlib") is None:
        raise CommandError(2, "lab: no package matplotlib: the install `snowloom-balancer[report]` has it")
    lp, scripts = _testbed_module("scenario_runner"), _testbed_module("scenario")
    import asyncio

    path, code = lp.found(script), 0
    try:
        told = scripts.parse(path.read_bytes())
    except (OSError, scripts.ScriptError) as err:
        text = err.strerror or str(err) if isinstance(err, OSError) else str(err)
        raise CommandError(2, *(f"lab: {path}: {line}" for line in text.splitlines())) from None
    for seed in range(first, first + seeds):
        got = asyncio.run(lp.played(told, seed, _progress_printer))
        print(*lp.lines(told, got), sep="\n", flush=True)
        if not got.wrong(told.least):
            continue
        code = 1
        if shrink:
            left = asyncio.run(lp.fewest(told, got, _progress_printer))
            print(f"  {len(left)} of {len(got.strikes)} faults are enough:")
            print(*(f"  {strike}" for strike in left), sep="\n")
    if report is not None:
        try:
            lp.picture(told, got, report)
        except (OSError, ValueError) as err:
            raise CommandError(2, f"lab: {report}: {err}") from None
    return code


@contextlib.contextmanager
def _progress_printer(seconds: float) -> Iterator[tuple[Say, Look | None]]:
    """How lines of a play are said, and how a bar of so many seconds moves: None where nobody looks on."""

    def plain(text: str) -> None:
        print(text, flush=True)

    if not sys.stderr.isatty():
        yield plain, None
        return
    label = f"{seconds:g} s"
    bar = click.progressbar(length=round(10 * seconds), label=label, file=sys.stderr, show_eta=False)

    def say(text: str) -> None:
        print("\r\x1b[K", end="", file=sys.stderr, flush=True)  # the bar goes until it moves on
        plain(text)

    with bar:
        yield say, lambda at_s: bar.update(round(10 * at_s) - bar.pos)
