"""The command line, on click: its words, what each reads and prints, exit codes. Nothing is decided here.

- `node`: `run`, also without a word: one node, as the platform asks; `check`: both files, every fault.
- `members`: what the sources say of whom. `peers`: which other nodes are there.
- `timeline`: `timeline`, `events`, `why`, `report`: what a running node recorded.
- `state`: `state show|verify|clear`, `recovery`: what a node keeps, how far it is back.
- `lab`: `demo`, a small fleet on stand-ins; `lab play`: scripts of faults on one.
- `common`: what several of them need.

Exit code 0 is well, 1 a running node that cannot be asked, 2 files or words that make no sense. A word's
module is loaded when it is called, and what a node needs by `run` alone, so that the others answer at once.
"""

from __future__ import annotations

import time

STARTED_S = time.monotonic()  # before what follows is loaded: a node's start is measured by part

# ruff: noqa: E402
import os
import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path

import click

import balancer
from balancer.cli.common import CommandError, settings_option
from balancer.net.config import CONFIG
from balancer.net.startup import SETTINGS_VAR

COMMAND_MODULES = {  # of each word, in the order of the help
    "run": "node",
    "check": "node",
    "members": "members",
    "peers": "peers",
    "timeline": "timeline",
    "events": "timeline",
    "why": "timeline",
    "report": "timeline",
    "state": "state",
    "recovery": "state",
    "lab": "testbed",
    "demo": "testbed",
}

EPILOG = f"""\
\b
environment:
  {CONFIG}        the JSON file in which the platform configures a node; needed by
                      run and check
  PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY
                      go before the file's own name, listen and discovery
  {SETTINGS_VAR}   the operators' settings where --settings is not given; without
                      either, all that they could switch on is off

\b
signals of a running node:
  SIGTERM             answer what was taken, then end with exit code 0
  SIGHUP              read both files again; a bad one changes nothing and is named
                      in the log

\b
exit codes: 0 well; 1 a running node that cannot be asked;
            2 files or words that make no sense

See deploy/operators.toml for every key of the operators' settings.
"""


class CommandGroup(click.Group):
    """The words, each out of its module when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All words."""
        return list(COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The word of this very name: nothing is abbreviated."""
        if cmd_name not in COMMAND_MODULES:
            return None
        found = getattr(import_module(f"balancer.cli.{COMMAND_MODULES[cmd_name]}"), cmd_name)
        assert isinstance(found, click.Command)
        return found


def _print_version(ctx: click.Context, param: click.Parameter, value: bool) -> None:
    if value and not ctx.resilient_parsing:
        click.echo(f"balancer {_version()}")
        ctx.exit()


@click.command(
    cls=CommandGroup,
    invoke_without_command=True,
    epilog=EPILOG,
    subcommand_metavar="[WORD ...]",
    help="A load-balancer node. Without a word it does what run does.",
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
)
@settings_option
@click.option(
    "--version",
    is_flag=True,
    is_eager=True,
    expose_value=False,
    callback=_print_version,
    help="Print the version and end.",
)
@click.pass_context
def command_line(ctx: click.Context, settings: Path | None) -> int:
    """The whole command line; without a word it runs a node."""
    ctx.obj = settings
    if ctx.invoked_subcommand is not None:
        return 0
    from balancer.cli.node import run_node

    return run_node(settings)


def main(argv: Sequence[str] | None = None) -> int:
    """Carry out a command line; the exit code."""
    try:
        code = _run_command(sys.argv[1:] if argv is None else list(argv))
        sys.stdout.flush()
    except click.UsageError as err:
        if err.ctx is not None:
            pieces = err.ctx.command.collect_usage_pieces(err.ctx)
            print("usage:", err.ctx.command_path, *pieces, file=sys.stderr)
        where = "balancer" if err.ctx is None else err.ctx.command_path
        print(f"{where}: error: {err.format_message()}", file=sys.stderr)
        return 2
    except CommandError as trouble:
        for line in trouble.lines:
            print(f"balancer: {line}", file=sys.stderr)
        return trouble.exit_code
    except BrokenPipeError:  # as in `balancer members | head`
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    return code


def _run_command(argv: list[str]) -> int:
    """As click's own `main` does, which would say and end all by itself."""
    try:
        with command_line.make_context("balancer", argv) as ctx:
            return int(command_line.invoke(ctx))
    except click.exceptions.Exit as end:  # after --help or --version
        return end.exit_code


def _version() -> str:
    from importlib import metadata

    try:
        return metadata.version("snowloom-balancer")
    except metadata.PackageNotFoundError:  # run from its folder, not installed
        return balancer.__version__


__all__ = ["SETTINGS_VAR", "main"]
