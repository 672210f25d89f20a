"""`run`: one node until its end. `check`: both files, every fault, and what is on."""

from __future__ import annotations

import os
from pathlib import Path

import click

from balancer.cli.common import (
    Trouble,
    at,
    cell,
    count,
    settings_option,
)
from balancer.net.config import CONFIG, read
from balancer.net.startup import SETTINGS, read_operators, start

RUN = "Run one node until SIGTERM or SIGINT."
CHECK = "Check the settings and the configuration, and say what is on."


@click.command(help=RUN, short_help=RUN)
@settings_option
def run(settings: Path | None) -> int:
    """The word."""
    return started(settings)


def started(settings: Path | None) -> int:
    """Run a node to its end; the exit code."""
    from balancer.__main__ import held_hangups
    from balancer.cli import BEGAN

    return start(settings, BEGAN, held_hangups())


@click.command(help=CHECK, short_help=CHECK)
@settings_option
def check(settings: Path | None) -> int:
    """The word."""
    path, operators, wrong = read_operators(settings)
    config, faults = read(os.environ)
    if config is not None:
        print(f"configuration {os.environ[CONFIG]}: no fault")
        print(f"  {cell(config.name or 'a node without a name')} listens on {at(config.listen)}")
        print(f"  discovery is at {at(config.discovery)}")
        print(f"  {count(len(config.known.records), 'server')} known at the start")
        names = ", ".join(cls.name for cls in config.settings.classes)
        print(f"  {count(len(config.settings.classes), 'class', 'es')}: {names}")
        for fault in config.known.invalid_entries:
            print(f"  the server {cell(fault.key)} cannot be read and is left out: {cell(fault.reason)}")
    if path is None:
        print(f"settings: none (neither --settings nor {SETTINGS}): all that they could switch on is off")
    elif not wrong:
        print(f"settings {path}: no fault")
        for line in operators.on() or ["nothing is on"]:
            print(f"  {line}")
    if faults or wrong:
        raise Trouble(2, *(f"configuration: {fault}" for fault in faults), *wrong)
    return 0
