"""Names that other programs, stored files and operators see, collected from the version that runs."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import sys
import typing
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import click
import msgspec

from balancer import cli
from balancer import interface as api
from balancer.core import recovery, service_meter
from balancer.core.anomaly_detection import events
from balancer.core.cluster import partition_detector as cuts
from balancer.core.cluster.failure_detector import member_records, messages
from balancer.core.discovery import source_state
from balancer.core.persistence import persisted_state as kept
from balancer.observability.metrics import Metrics
from balancer.operator_settings import OperatorSettings
from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by
from balancer.store import errors
from balancer.store import sqlite_file as piece
from balancer.timeline import schema as keys
from balancer.timeline.monitor import TimelineMonitor
from tests.helpers import BASE
from tests.sockets import (
    ROOT,
    Backend,
    Message,
    Rig,
    answer,
    running,
)

SERVERS = 3
PEER_FIGURES = {
    "states": {"alive": 2.0},
    "events": {"failed": 3.0},
    "datagrams": {"sent": 7.0},
    "refused": {"code": 5.0},
    "cuts": {"discovery": 1.0},
    "disagreements": {"settings": 1.0},
    "taken": {"drains": 1.0},
    "shares": {"counted": 1.0},
}


def _values(kind: type[Enum]) -> list[Any]:
    return [member.value for member in kind]


def enum_values() -> dict[str, list[Any]]:
    """Values of the enums that are exported or stored, by a name of this file."""
    return {
        "idempotency": _values(api.Idempotency),
        "deduplication": _values(api.DeduplicationScope),
        "phase": _values(api.Phase),
        "update": _values(api.EndpointUpdateKind),
        "status": _values(api.AttemptStatus),
        "reports": _values(api.LoadReportSource),
        "reason": _values(api.DecisionReason),
        "note": _values(api.BackendDecision),
        "event_step": _values(events.EventType),
        "event_scope": _values(events.Scope),
        "event_signal": _values(events.Signal),
        "recovery_state": _values(recovery.RecoveryState),
        "recovery_end": _values(service_meter.RequestOutcome),
        "recovery_memory": _values(recovery.PersistedState),
        "membership_state": _values(source_state.SourceState),
        "peer_state": [member.name.lower() for member in member_records.PeerState],
        "peer_state_number": _values(member_records.PeerState),
        "message_kind_number": _values(messages.MessageKind),
        "partition": _values(cuts.Verdict),
        "store_fault": _values(errors.FaultKind),
        "timeline_counters": list(keys.NAMES.values()),
    }


def stored_names() -> dict[str, Any]:
    """Tables, the order of the fields of each row, and numbers of the file formats."""
    rows: dict[str, type[msgspec.Struct]] = {
        "self": kept.NodeIdentity,
        "view": kept.PersistedEndpoint,
        "ends": kept.Withdrawal,
        "sources": kept.SourcePosition,
        "usual": kept.ExpectedLatency,
        "limit": kept.ConcurrencyLimit,
        "weights": kept.BackendSlowness,
        "ejections": kept.BackendEjection,
    }
    return {
        "tables": list(kept.TABLE_NAMES),
        "urgent": sorted(kept.URGENT_TABLES),
        "row_lengths": {name: len(msgspec.structs.fields(kind)) for name, kind in rows.items()},
        "application_id": piece.APPLICATION_ID,
        "format": piece.FORMAT_VERSION,
        "gossip_version": gossip.PROTOCOL_VERSION,
        "gossip_size": gossip.MAX_DATAGRAM_BYTES,
        "sections": [
            goes_by.NODE_STATE,
            goes_by.QUOTA_REPORT,
            goes_by.TREE_DIGESTS,
            goes_by.LEAF_ENTRIES,
            goes_by.REMOVALS,
            goes_by.REMOVALS_QUERY,
        ],
    }


def metric_names() -> dict[str, list[str]]:
    """Label names of the samples of every metric that a node with all tables exposes."""
    meter = recovery.Recovery(0.0)
    metrics = Metrics(TimelineMonitor(BASE, 8.0), meter, lambda: PEER_FIGURES)
    watch = metrics.watch
    send = api.SendAttempt(
        "r1", "b1", 0.0, api.DecisionReason.LOWEST_ESTIMATE_BELOW_CAP, api.DecisionReason.FIRST_ATTEMPT, 3
    )
    watch.on_decision(0.0, api.RequestArrived("r1", "read", 1_000.0), [send])
    watch.on_decision(20.0, api.AttemptFinished("r1", 0, "b1", api.AttemptStatus.OK, 20.0, True), [])
    out: dict[str, set[str]] = {}
    for family in metrics.families():
        found = out.setdefault(f"{family.name} {family.type}", set())
        for sample in family.samples:
            found |= {f"{sample.name}{{{','.join(sorted(sample.labels))}}}"}
    return {name: sorted(samples) for name, samples in sorted(out.items())}


def command_line() -> dict[str, list[str]]:
    """Every command with its options and arguments."""
    out: dict[str, list[str]] = {}

    def walk(command: click.Command, path: str) -> None:
        shown = [f"{'/'.join(one.opts)} {one.metavar or ''}".strip() for one in command.params]
        out[path] = sorted(shown)
        if isinstance(command, click.Group):
            context = click.Context(command)
            for name in command.list_commands(context):
                inner = command.get_command(context, name)
                assert inner is not None
                walk(inner, f"{path} {name}".strip())

    walk(cli.command_line, "")
    return out


def operator_keys() -> list[str]:
    """Every key of the operators' file, by the path of its table."""

    def fields(kind: Any, path: str) -> Iterator[str]:
        hints = typing.get_type_hints(kind)
        for field in dataclasses.fields(kind):
            yield f"{path}{field.name}"
            for inner in (hints[field.name], *typing.get_args(hints[field.name])):
                if isinstance(inner, type) and dataclasses.is_dataclass(inner):
                    yield from fields(inner, f"{path}{field.name}.")

    return sorted(fields(OperatorSettings, ""))


def shape(value: Any, path: str = "") -> Iterator[str]:
    """Paths of the keys of a JSON value; keys of what was counted, and names of tables, count as `*`."""
    if isinstance(value, dict) and value:
        for key, inner in value.items():
            is_name = path.endswith((".counts", ".tables"))
            yield from shape(inner, f"{path}.{'*' if is_name else key}")
    elif isinstance(value, list) and value:
        for inner in value:
            yield from shape(inner, f"{path}[]")
    else:
        yield path + ("[]" if isinstance(value, list) else "")


async def _run(environment: dict[str, str], *words: str) -> list[Any]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "balancer",
        *words,
        cwd=ROOT,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, errors = await process.communicate()
    assert process.returncode == 0, (words, errors.decode())
    text, found = out.decode().strip(), []
    while text:
        value, end = json.JSONDecoder().raw_decode(text)
        found.append(value)
        text = text[end:].lstrip()
    return found


async def _respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"ok"))


async def _ask_all(rig: Rig, environment: dict[str, str], directory: Path) -> dict[str, list[str]]:
    client = await rig.client()
    for _ in range(30):
        got = await client.ask("/read/x")
        assert got.code == 200
        await asyncio.sleep(0.1)
    commands = {
        "members": ["members", "--json"],
        "timeline": ["timeline", "--json"],
        "timeline server": ["timeline", "s0", "--json"],
        "timeline class": ["timeline", "class:read", "--json"],
        "timeline node": ["timeline", "node", "--json"],
        "events": ["events", "--json"],
        "peers": ["peers", "--json"],
        "recovery": ["recovery", "--json"],
        "state show": ["state", "show", "--directory", str(directory), "--json"],
    }
    return {
        name: sorted({path for told in await _run(environment, *words) for path in shape(told)})
        for name, words in commands.items()
    }


async def json_keys(folder: Path) -> dict[str, list[str]]:
    """Key paths of the JSON of every command that asks a running node, or its directory after its end."""
    directory = folder / "state"
    directory.mkdir(mode=0o700)
    (folder / "keys").write_text("00112233445566778899aabbccddeeff\n")
    (folder / "keys").chmod(0o600)
    settings = folder / "operators.toml"
    settings.write_text(
        f'[control]\nsocket = "{folder / "c.sock"}"\n[timeline]\nmemory_mb = 8\n'
        f'[state]\ndirectory = "{directory}"\nevery = 1\n'
        f'[peers]\nlisten = "127.0.0.1:0"\nseeds = ["127.0.0.1:9"]\nkey_file = "{folder / "keys"}"\n'
    )
    environment = {**os.environ, "BALANCER_SETTINGS": str(settings)}
    previous = os.environ.get("BALANCER_SETTINGS")
    os.environ["BALANCER_SETTINGS"] = str(settings)
    try:
        async with running(folder, *[Backend(f"s{n}", _respond) for n in range(SERVERS)]) as rig:
            out = await _ask_all(rig, environment, directory)
        out["state show at rest"] = sorted(
            set(shape((await _run(environment, "state", "show", "--directory", str(directory), "--json"))[0]))
        )
    finally:
        os.environ.pop("BALANCER_SETTINGS")
        if previous is not None:
            os.environ["BALANCER_SETTINGS"] = previous
    return out


def static_names() -> dict[str, Any]:
    """All but the JSON of running nodes."""
    return {
        "enum_values": enum_values(),
        "stored": stored_names(),
        "metrics": metric_names(),
        "command_line": command_line(),
        "operator_keys": operator_keys(),
    }
