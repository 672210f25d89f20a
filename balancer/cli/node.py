"""`run` runs one node. `check` reports every fault of both files and the enabled features."""

from __future__ import annotations

import os
from pathlib import Path

import click

from balancer.cli.common import (
    CommandError,
    format_address,
    format_cell,
    format_count,
    settings_option,
)
from balancer.net.config import CONFIG, read
from balancer.net.startup import SETTINGS_VAR, read_operator_settings, start_with_operator_settings

RUN = "Run one node until SIGTERM or SIGINT."
CHECK = "Check the settings and the configuration, and show what is on."


@click.command(help=RUN, short_help=RUN)
@settings_option
def run(settings: Path | None) -> int:
    """Runs one node."""
    return run_node(settings)


def run_node(settings: Path | None) -> int:
    """Runs a node until it ends and returns the exit code."""
    from balancer.__main__ import record_hangups
    from balancer.cli import STARTED_S

    return start_with_operator_settings(settings, STARTED_S, record_hangups())


@click.command(help=CHECK, short_help=CHECK)
@settings_option
def check(settings: Path | None) -> int:
    """Prints a summary of both files, or all their faults."""
    path, operators, settings_faults = read_operator_settings(settings)
    config, config_faults = read(os.environ)
    if config is not None:
        print(f"configuration {os.environ[CONFIG]}: no fault")
        print(
            f"  {format_cell(config.name or 'a node without a name')}"
            f" listens on {format_address(config.listen_address)}"
        )
        print(f"  discovery is at {format_address(config.discovery_address)}")
        print(f"  {format_count(len(config.configured_endpoints.records), 'server')} known at the start")
        names = ", ".join(request_class.name for request_class in config.settings.classes)
        print(f"  {format_count(len(config.settings.classes), 'class', 'es')}: {names}")
        for fault in config.configured_endpoints.invalid_entries:
            print(
                f"  the server {format_cell(fault.key)} cannot be read and is left out:"
                f" {format_cell(fault.reason)}"
            )
    if path is None:
        print(f"settings: none (neither --settings nor {SETTINGS_VAR}): all optional features are off")
    elif not settings_faults:
        print(f"settings {path}: no fault")
        for line in operators.enabled_tables() or ["nothing is on"]:
            print(f"  {line}")
    if config_faults or settings_faults:
        raise CommandError(2, *(f"configuration: {fault}" for fault in config_faults), *settings_faults)
    return 0
