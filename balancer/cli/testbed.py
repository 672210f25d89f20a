"""`demo` and `lab play`, which run on the testbed; an installation may lack `balancer.testbed`.

`lab play SCRIPT` prints events as they happen, the verdict on each rule, the time to full service after each
fault, and violations; on a terminal it shows a progress bar. `--report FILE` draws one picture (the file
name extension selects the format; it needs matplotlib), and `--shrink` reduces a failing script to the fewest
faults that still fail. Exit codes: 0 success, 1 a broken rule, a crash or a value below the script's `least`,
2 invalid arguments or an invalid script.
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

DEFAULT_DEMO_S, MIN_DEMO_S = 20.0, 5.0  # default and minimum duration of a demo
SCENARIOS = sorted(path.stem for path in Path(balancer.__file__).parent.glob("testbed/scenarios/*.toml"))

DEMO = "Run a small simulated fleet and evaluate it."
LAB = "Play scripts of faults on real processes; see lab --help."
PLAY = "Play a script of faults on real processes and print the results."

PrintLine = Callable[[str], None]
ShowProgress = Callable[[float], None]


def _testbed_module(module: str) -> Any:
    """Imports a module of the testbed; raises CommandError if it or a package it needs is missing."""
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
@click.option("--seed", type=int, default=1, help="The seed of all random choices (1).")
@click.option("--records", type=PATH_TYPE, metavar="FILE", help="Write what was recorded, as JSON lines.")
def demo(seconds: float, seed: int, records: Path | None) -> int:
    """Run a small fleet on loopback for about 20 seconds: one server drains, one fails, one starts cold.

    At the end it prints the results of the requests by class and by server, and the verdict on each rule.
    """
    if not seconds >= MIN_DEMO_S:
        raise click.UsageError(f"--seconds is {seconds:g}, it has to be {MIN_DEMO_S:.0f} or more")
    demo_module = _testbed_module("demo")
    import asyncio

    try:
        return int(asyncio.run(demo_module.demo(sys.stdout, seconds, seed, records)))
    except KeyboardInterrupt:
        print("ended early: no verdict", file=sys.stderr)
        return 130


# --- lab ----------------------------------------------------------------------------------------------


@click.group(help="Scripts of faults on real processes.", short_help=LAB, no_args_is_help=False)
def lab() -> None:
    """Commands on fault scripts."""


@lab.command(help=PLAY, short_help=PLAY)
@click.argument("script", metavar="SCRIPT", help=f"A TOML file, or one of: {', '.join(SCENARIOS)}.")
@click.option("--seeds", type=int, default=1, metavar="N", help="The number of seeds to play (1).")
@click.option("--first", type=int, default=1, metavar="SEED", help="The first seed (1).")
@click.option("--report", type=PATH_TYPE, metavar="FILE", help="Draw one picture, of the last seed played.")
@click.option("--shrink", is_flag=True, help="Find the fewest faults that still fail.")
def play(script: str, seeds: int, first: int, report: Path | None, shrink: bool) -> int:
    """Plays a script on one or more seeds."""
    if seeds < 1:
        raise click.UsageError(f"--seeds is {seeds}, it has to be 1 or more")
    if report is not None and importlib.util.find_spec("matplotlib") is None:
        raise CommandError(2, "lab: no package matplotlib: the install `snowloom-balancer[report]` has it")
    scenario_runner, scenario = _testbed_module("scenario_runner"), _testbed_module("scenario")
    import asyncio

    path, code = scenario_runner.found(script), 0
    try:
        parsed_script = scenario.parse(path.read_bytes())
    except (OSError, scenario.ScriptError) as err:
        text = err.strerror or str(err) if isinstance(err, OSError) else str(err)
        raise CommandError(2, *(f"lab: {path}: {line}" for line in text.splitlines())) from None
    for seed in range(first, first + seeds):
        result = asyncio.run(scenario_runner.played(parsed_script, seed, _progress_printer))
        print(*scenario_runner.lines(parsed_script, result), sep="\n", flush=True)
        if not result.wrong(parsed_script.least):
            continue
        code = 1
        if shrink:
            remaining = asyncio.run(scenario_runner.fewest(parsed_script, result, _progress_printer))
            print(f"  {len(remaining)} of {len(result.strikes)} faults are enough:")
            print(*(f"  {strike}" for strike in remaining), sep="\n")
    if report is not None:
        try:
            scenario_runner.picture(parsed_script, result, report)
        except (OSError, ValueError) as err:
            raise CommandError(2, f"lab: {report}: {err}") from None
    return code


@contextlib.contextmanager
def _progress_printer(seconds: float) -> Iterator[tuple[PrintLine, ShowProgress | None]]:
    """Yields functions that print a line and that move a progress bar; the latter is None off a terminal."""

    def print_line(text: str) -> None:
        print(text, flush=True)

    if not sys.stderr.isatty():
        yield print_line, None
        return
    label = f"{seconds:g} s"
    bar = click.progressbar(length=round(10 * seconds), label=label, file=sys.stderr, show_eta=False)

    def print_over_bar(text: str) -> None:
        print("\r\x1b[K", end="", file=sys.stderr, flush=True)  # erases the bar until its next update
        print_line(text)

    with bar:
        yield print_over_bar, lambda at_s: bar.update(round(10 * at_s) - bar.pos)
