"""The command line, built on click: commands, their output and exit codes. It contains no balancing logic.

- `node`: `run` (the default command) runs one node; `check` reports every fault of both files.
- `members`: the servers that the sources list. `peers`: the other nodes.
- `timeline`: `timeline`, `events`, `why`, `report`: what a running node recorded.
- `state`: `state show|verify|clear`, the state directory of a node; `recovery`, its progress after a start.
- `testbed`: `demo`, a small simulated fleet; `lab play`, fault scripts on such a fleet.
- `common`: shared helpers.

Exit codes: 0 success, 1 the running node cannot be queried, 2 invalid files or arguments. The module of a
command is imported when the command is called, and the node's own modules only by `run`, so that the others
start fast.
"""

from __future__ import annotations

import time

STARTED_S = time.monotonic()  # before the imports below: each phase of a start is measured

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

COMMAND_MODULES = {  # the module of each command, in the order of the help
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
                      override name, listen and discovery of that file
  {SETTINGS_VAR}   the operators' settings if --settings is not given; without
                      either, all optional features are off

\b
signals of a running node:
  SIGTERM             answer the accepted requests, then end with exit code 0
  SIGHUP              read both files again; an invalid one changes nothing and is
                      named in the log

\b
exit codes: 0 success; 1 the running node cannot be queried;
            2 invalid files or arguments

See deploy/operators.toml for every key of the operators' settings.
"""


class CommandGroup(click.Group):
    """The commands; each is imported from its module when it is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return list(COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command with exactly this name: abbreviations are not accepted."""
        if cmd_name not in COMMAND_MODULES:
            return None
        command = getattr(import_module(f"balancer.cli.{COMMAND_MODULES[cmd_name]}"), cmd_name)
        assert isinstance(command, click.Command)
        return command


def _print_version(ctx: click.Context, param: click.Parameter, value: bool) -> None:
    if value and not ctx.resilient_parsing:
        click.echo(f"balancer {_version()}")
        ctx.exit()


@click.command(
    cls=CommandGroup,
    invoke_without_command=True,
    epilog=EPILOG,
    subcommand_metavar="[COMMAND ...]",
    help="A load-balancer node. Without a command it does the same as run.",
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
)
@settings_option
@click.option(
    "--version",
    is_flag=True,
    is_eager=True,
    expose_value=False,
    callback=_print_version,
    help="Print the version and exit.",
)
@click.pass_context
def command_line(ctx: click.Context, settings: Path | None) -> int:
    """The top-level command; without a subcommand it runs a node."""
    ctx.obj = settings
    if ctx.invoked_subcommand is not None:
        return 0
    from balancer.cli.node import run_node

    return run_node(settings)


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a command line and returns the exit code."""
    try:
        code = _run_command(sys.argv[1:] if argv is None else list(argv))
        sys.stdout.flush()
    except click.UsageError as err:
        if err.ctx is not None:
            pieces = err.ctx.command.collect_usage_pieces(err.ctx)
            print("usage:", err.ctx.command_path, *pieces, file=sys.stderr)
        command_path = "balancer" if err.ctx is None else err.ctx.command_path
        print(f"{command_path}: error: {err.format_message()}", file=sys.stderr)
        return 2
    except CommandError as error:
        for line in error.lines:
            print(f"balancer: {line}", file=sys.stderr)
        return error.exit_code
    except BrokenPipeError:  # as in `balancer members | head`
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    return code


def _run_command(argv: list[str]) -> int:
    """Does the same as click's `main`, which would print errors and exit the process itself."""
    try:
        with command_line.make_context("balancer", argv) as ctx:
            return int(command_line.invoke(ctx))
    except click.exceptions.Exit as exit_request:  # after --help or --version
        return exit_request.exit_code


def _version() -> str:
    from importlib import metadata

    try:
        return metadata.version("snowloom-balancer")
    except metadata.PackageNotFoundError:  # run from a checkout, not installed
        return balancer.__version__


__all__ = ["SETTINGS_VAR", "main"]
